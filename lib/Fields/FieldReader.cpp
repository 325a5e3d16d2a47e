#include "heatherchute/Fields.h"

#include <algorithm>
#include <cctype>

namespace heatherchute {

static constexpr std::size_t maxNameBytes = 64;

static bool isName(std::string_view text)
{
    const auto allowed = [](unsigned char byte) {
        return std::isalnum(byte) || byte == '-' || byte == '_' || byte == '.';
    };
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), allowed);
}

FieldReader::FieldReader(const Json& object, std::string path, Findings& findings)
    : m_object(object)
    , m_path(std::move(path))
    , m_findings(findings)
{
    if (!m_object.is_object())
        m_findings.push_back({ m_path.empty() ? "(top)" : m_path, "must be an object" });
}

FieldReader::~FieldReader()
{
    if (!m_object.is_object())
        return;
    for (const auto& [key, value] : m_object.items()) {
        if (!m_read.contains(key))
            report(key, "unknown field");
    }
}

std::string FieldReader::pathOf(std::string_view field) const
{
    return m_path.empty() ? std::string(field) : m_path + "." + std::string(field);
}

void FieldReader::report(std::string_view field, std::string reason)
{
    m_findings.push_back({ pathOf(field), std::move(reason) });
}

bool FieldReader::has(std::string_view field) const
{
    return m_object.is_object() && m_object.contains(field);
}

const Json* FieldReader::find(std::string_view field, bool required)
{
    m_read.emplace(field);
    if (has(field))
        return &m_object.at(std::string(field));
    if (required && m_object.is_object())
        report(field, "is required");
    return nullptr;
}

std::string FieldReader::name(std::string_view field)
{
    const auto* const value = find(field, true);
    if (!value)
        return {};
    if (!value->is_string() || !isName(value->get_ref<const std::string&>())) {
        report(field, "must be a name of 1 to 64 letters, digits, '-', '_' or '.'");
        return {};
    }
    return value->get<std::string>();
}

std::string FieldReader::optionalName(std::string_view field)
{
    return has(field) ? name(field) : std::string();
}

std::string FieldReader::text(std::string_view field, std::size_t maxBytes)
{
    const auto* const value = find(field, true);
    if (!value)
        return {};
    if (!value->is_string() || value->get_ref<const std::string&>().size() > maxBytes) {
        report(field, "must be a string of at most " + std::to_string(maxBytes) + " bytes");
        return {};
    }
    return value->get<std::string>();
}

std::uint64_t FieldReader::integer(std::string_view field, std::uint64_t low, std::uint64_t high)
{
    const auto* const value = find(field, true);
    if (!value)
        return low;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < low || value->get<std::uint64_t>() > high) {
        report(field, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return value->get<std::uint64_t>();
}

std::uint64_t FieldReader::integerOr(std::string_view field, std::uint64_t low, std::uint64_t high, std::uint64_t otherwise)
{
    return has(field) ? integer(field, low, high) : otherwise;
}

double FieldReader::number(std::string_view field, double low, double high)
{
    const auto* const value = find(field, true);
    if (!value)
        return low;
    if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
        report(field, "must be a number from " + Json(low).dump() + " to " + Json(high).dump());
        return low;
    }
    return value->get<double>();
}

double FieldReader::numberOr(std::string_view field, double low, double high, double otherwise)
{
    return has(field) ? number(field, low, high) : otherwise;
}

std::string FieldReader::textOr(std::string_view field, std::size_t maxBytes, std::string otherwise)
{
    return has(field) ? text(field, maxBytes) : std::move(otherwise);
}

bool FieldReader::booleanOr(std::string_view field, bool otherwise)
{
    const auto* const value = find(field, false);
    if (!value)
        return otherwise;
    if (!value->is_boolean()) {
        report(field, "must be true or false");
        return otherwise;
    }
    return value->get<bool>();
}

const Json& FieldReader::array(std::string_view field, bool required)
{
    static const Json empty = Json::array();
    const auto* const value = find(field, required);
    if (!value)
        return empty;
    if (!value->is_array()) {
        report(field, "must be an array");
        return empty;
    }
    return *value;
}

} // namespace heatherchute
