/// Reads the fields of one JSON object and notes every fault: wrong types, bad ranges, fields
/// that are missing, and fields that nobody asked for.
#pragma once

#include "heatherchute/Support.h"

#include <set>

namespace heatherchute {

class FieldReader {
public:
    FieldReader(const Json& object, std::string path, Findings& findings);
    FieldReader(const FieldReader&) = delete;
    FieldReader& operator=(const FieldReader&) = delete;
    /// Reports the fields that were never read.
    ~FieldReader();

    /// A name: 1 to 64 letters, digits, '-', '_' or '.'.
    std::string name(std::string_view field);
    std::string optionalName(std::string_view field);
    /// Any text up to `maxBytes`.
    std::string text(std::string_view field, std::size_t maxBytes);
    std::uint64_t integer(std::string_view field, std::uint64_t low, std::uint64_t high);
    std::uint64_t integerOr(std::string_view field, std::uint64_t low, std::uint64_t high, std::uint64_t otherwise);
    double number(std::string_view field, double low, double high);
    double numberOr(std::string_view field, double low, double high, double otherwise);
    std::string textOr(std::string_view field, std::size_t maxBytes, std::string otherwise);
    bool booleanOr(std::string_view field, bool otherwise);
    /// Member that must be an array; an empty array when it is absent or wrong.
    const Json& array(std::string_view field, bool required);
    bool has(std::string_view field) const;
    void report(std::string_view field, std::string reason);
    std::string pathOf(std::string_view field) const;

private:
    const Json* find(std::string_view field, bool required);

    const Json& m_object;
    std::string m_path;
    Findings& m_findings;
    std::set<std::string, std::less<>> m_read;
};

} // namespace heatherchute
