#include "Record.h"

namespace heatherchute {

Record::Record(const std::string& path)
    : m_file(path, std::ios::app)
{
}

void Record::add(std::string_view event, Json fields)
{
    // One clock for all processes of a test machine, so that records can be laid side by side.
    fields["t"] = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
    fields["event"] = event;
    const std::lock_guard lock(m_mutex);
    m_file << fields.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n'
           << std::flush;
}

} // namespace heatherchute
