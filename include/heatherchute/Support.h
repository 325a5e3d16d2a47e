/// Ground layer of every other library: the closed list of errors, names for
/// enumerations, clocks, hashing, secrets, JSON with comments, and logging.
/// Nothing here starts a thread or touches the network.
#pragma once

#include <boost/outcome/std_result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

namespace heatherchute {

using Json = nlohmann::json;

/// Monotonic time of this process. Never compared between two VMs.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Milliseconds since the start of this machine. Unlike Clock, it counts the time for which the machine was
/// suspended. Never compared between two VMs.
std::int64_t bootTimeMs();

/// What an error says about the work it answers for.
enum class Outcome : std::uint8_t {
    NotRun,
    Run,
    Unknown,
};

/// The closed list of errors. The table in Errors.cpp gives each its answer.
enum class ErrorKind : std::uint8_t {
    None,
    BadRequest,
    BadJson,
    BadConfiguration,
    TooLarge,
    Unauthorized,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    Conflict,
    PreconditionRequired,
    NeverRunnable,
    OverLimit,
    Overloaded,
    NoEndpoint,
    StoreUnavailable,
    StaleConfiguration,
    HomeUnreachable,
    ShuttingDown,
    DeadlineBeforeRun,
    OutcomeUnknown,
    EndpointFailed,
    Fenced,
    Internal,
};

/// One row of the error table.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name;
    /// HTTP status that callers see.
    unsigned httpStatus;
    Outcome outcome;
    /// Seconds for Retry-After; zero when a retry cannot help.
    unsigned retryAfterSeconds;
    std::string_view text;
};

/// Row of the closed table for `kind`.
const ErrorAnswer& errorAnswer(ErrorKind kind);
/// Kind with that name; Internal when the name is not in the table.
ErrorKind errorKindFromName(std::string_view name);
/// Name of an outcome: "not run", "run" or "unknown".
std::string_view outcomeName(Outcome outcome);

const std::error_category& errorCategory();
std::error_code make_error_code(ErrorKind kind);
/// Kind carried by `code`; Internal for codes of other categories.
ErrorKind errorKind(std::error_code code);

} // namespace heatherchute

template <>
struct std::is_error_code_enum<heatherchute::ErrorKind> : std::true_type {
};

namespace heatherchute {

/// Value or error code.
template <typename T>
using Result = boost::outcome_v2::std_result<T>;

/// One row of a table that names the values of an enumeration.
template <typename Enum>
struct NamedValue {
    Enum value;
    std::string_view name;
};

/// Name of `value` in `table`; asserts nothing, returns "?" for a value that the table lacks.
template <typename Enum, std::size_t size>
constexpr std::string_view nameOf(const NamedValue<Enum> (&table)[size], Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/// Value named `name` in `table`, if any.
template <typename Enum, std::size_t size>
constexpr std::optional<Enum> valueOf(const NamedValue<Enum> (&table)[size], std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

/// Stable 64-bit hash, the same in every process and release.
std::uint64_t stableHash(std::string_view text);

/// Highest-random-weight choice: the index of the candidate that `key` maps to. Removing a
/// candidate moves only the keys it had. `candidates` must not be empty.
std::size_t rendezvousChoice(std::string_view key, std::span<const std::string> candidates);

/// A new random token with `bytes` bytes from the system's generator, in hex.
std::string randomToken(std::size_t bytes);
/// SHA-256 of a secret, in hex. Only digests are kept or compared.
std::string secretDigest(std::string_view secret);
/// Compares two digests in time that does not depend on where they differ.
bool sameDigest(std::string_view left, std::string_view right);

std::string encodeBase64(std::string_view text);
/// Empty for texts that are no valid base64.
std::string decodeBase64(std::string_view text);

std::string encodeCbor(const Json& json);
/// Decodes one CBOR document; std::nullopt for anything else, and for one nested deeper than any of ours.
std::optional<Json> decodeCbor(std::string_view bytes);

/// Drops the fields of an object that hold what a reader with defaults assumes anyway: false,
/// zero, and empty texts and lists.
Json withoutDefaults(Json object);

/// A variant as [number of the alternative, its JSON].
template <typename Variant>
Json toTagged(const Variant& value)
{
    auto payload = std::visit([](const auto& typed) { return Json(typed); }, value);
    return Json::array({ value.index(), std::move(payload) });
}

/// Undoes toTagged; BadJson for anything that it cannot have made.
template <typename Variant>
Result<Variant> fromTagged(const Json& json)
{
    if (!json.is_array() || json.size() != 2 || !json[0].is_number_unsigned())
        return ErrorKind::BadJson;
    const auto index = json[0].get<std::size_t>();
    if (index >= std::variant_size_v<Variant>)
        return ErrorKind::BadJson;
    Variant value;
    const auto decodeOne = [&]<std::size_t candidate>(std::integral_constant<std::size_t, candidate>) {
        if (candidate == index)
            value = json[1].get<std::variant_alternative_t<candidate, Variant>>();
    };
    try {
        [&]<std::size_t... indices>(std::index_sequence<indices...>)
        {
            (decodeOne(std::integral_constant<std::size_t, indices> {}), ...);
        }
        (std::make_index_sequence<std::variant_size_v<Variant>>());
    } catch (const std::exception&) {
        return ErrorKind::BadJson;
    }
    return value;
}

/// JSON with // and /* */ comments. The error text says where parsing stopped.
struct ParsedJson {
    Json value;
    std::string error;
};
ParsedJson parseJsonWithComments(std::string_view text);

/// Whole file, or an error.
Result<std::string> readFile(const std::string& path);

/// One fault found in a settings or configuration text.
struct Finding {
    /// Path of the field, such as "teams[2].share".
    std::string field;
    std::string reason;
};
using Findings = std::vector<Finding>;

/// Writes JSON lines to standard error through glog.
void startLogging(const char* programName);

enum class LogLevel : std::uint8_t {
    Info,
    Warning,
    Error,
};
/// Logs one line: `event` is a short fixed name, `fields` an object with ids (request, job,
/// team, failure_domain, vm) and figures.
void logEvent(LogLevel level, std::string_view event, Json fields = Json::object());
/// Takes the finished lines instead of standard output; none: they are written at once. Set it
/// while no other thread logs.
void setLogSink(std::function<void(std::string)> sink);
/// Writes lines, without a line feed after the last one, to standard output. May wait for a reader.
void writeLogLines(const std::string& lines);
/// A line as logEvent writes it, not counted against any bound.
std::string logLine(LogLevel level, std::string_view event, Json fields);

} // namespace heatherchute
