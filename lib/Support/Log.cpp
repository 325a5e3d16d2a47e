#include "heatherchute/Support.h"

#include <fstream>
#include <glog/logging.h>
#include <sstream>

namespace heatherchute {

void startLogging(const char* programName)
{
    // The line itself carries time and level, so glog's own prefix is off.
    FLAGS_log_prefix = false;
    FLAGS_logtostdout = true;
    google::InitGoogleLogging(programName);
}

static std::string_view levelName(LogLevel level)
{
    static constexpr NamedValue<LogLevel> names[] {
        { LogLevel::Info, "info" },
        { LogLevel::Warning, "warning" },
        { LogLevel::Error, "error" },
    };
    return nameOf(names, level);
}

void logEvent(LogLevel level, std::string_view event, Json fields)
{
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    fields["time_ms"] = std::chrono::duration_cast<Milliseconds>(wallTime).count();
    fields["level"] = levelName(level);
    fields["event"] = event;
    const auto line = fields.dump(-1, ' ', false, Json::error_handler_t::replace);
    switch (level) {
    case LogLevel::Info:
        LOG(INFO) << line;
        return;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        return;
    case LogLevel::Error:
        LOG(ERROR) << line;
        return;
    }
}

ParsedJson parseJsonWithComments(std::string_view text)
{
    constexpr bool allowExceptions = true;
    constexpr bool ignoreComments = true;
    try {
        return { Json::parse(text, nullptr, allowExceptions, ignoreComments), {} };
    } catch (const Json::exception& exception) {
        return { Json(), exception.what() };
    }
}

Json withoutDefaults(Json object)
{
    for (auto it = object.begin(); it != object.end();) {
        const bool isDefault = it->empty() || *it == false || *it == 0 || *it == "";
        it = isDefault ? object.erase(it) : std::next(it);
    }
    return object;
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return ErrorKind::NotFound;
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace heatherchute
