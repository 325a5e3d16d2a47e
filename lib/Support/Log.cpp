#include "heatherchute/Support.h"

#include <fstream>
#include <glog/logging.h>
#include <map>
#include <mutex>
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

namespace {

    /// Bounds the lines of each event a second, so that no storm of one kind hides the others or
    /// costs the daemon its processor.
    class LineBudget {
    public:
        /// Lines of `event` that were suppressed before this one; nothing when it is over the bound.
        std::optional<std::uint64_t> admit(std::string_view event, TimePoint now)
        {
            /// The busiest daemons start some 200 tasks a second, and each has a line.
            constexpr std::uint64_t maxLinesPerSecond = 250;
            const std::lock_guard lock(m_mutex);
            auto found = m_events.find(event);
            if (found == m_events.end())
                found = m_events.emplace(std::string(event), Event {}).first;
            auto& entry = found->second;
            if (now - entry.since >= Seconds(1)) {
                entry.since = now;
                entry.lines = 0;
            }
            if (entry.lines >= maxLinesPerSecond) {
                ++entry.suppressed;
                return std::nullopt;
            }
            ++entry.lines;
            return std::exchange(entry.suppressed, 0);
        }

    private:
        struct Event {
            TimePoint since;
            std::uint64_t lines = 0;
            std::uint64_t suppressed = 0;
        };
        std::mutex m_mutex;
        std::map<std::string, Event, std::less<>> m_events;
    };

} // namespace

static std::function<void(std::string)>& logSink()
{
    static std::function<void(std::string)> sink;
    return sink;
}

void setLogSink(std::function<void(std::string)> sink)
{
    logSink() = std::move(sink);
}

void writeLogLines(const std::string& lines)
{
    // The level stands in the lines; glog's own would only choose a file.
    LOG(INFO) << lines;
}

std::string logLine(LogLevel level, std::string_view event, Json fields)
{
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    fields["time_ms"] = std::chrono::duration_cast<Milliseconds>(wallTime).count();
    fields["level"] = levelName(level);
    fields["event"] = event;
    return fields.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void logEvent(LogLevel level, std::string_view event, Json fields)
{
    static LineBudget budget;
    const auto suppressed = budget.admit(event, Clock::now());
    if (!suppressed)
        return;
    if (*suppressed > 0)
        fields["suppressed"] = *suppressed;
    auto line = logLine(level, event, std::move(fields));
    if (const auto& sink = logSink())
        sink(std::move(line));
    else
        writeLogLines(line);
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
