/// What the stand-ins share: an append-only record of what they did, by which tests judge.
#pragma once

#include "heatherchute/Support.h"

#include <fstream>
#include <mutex>

namespace heatherchute {

/// Appends JSON lines to a file. Each line is on disk before the call returns.
class Record {
public:
    explicit Record(const std::string& path);
    void add(std::string_view event, Json fields);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace heatherchute
