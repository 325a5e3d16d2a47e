#include "heatherchute/Support.h"

#include <array>
#include <cassert>

namespace heatherchute {

static constexpr std::array errorTable {
    ErrorAnswer { ErrorKind::None, "none", 200, Outcome::Run, 0, "no error" },
    ErrorAnswer { ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, 0, "the request is malformed" },
    ErrorAnswer { ErrorKind::BadJson, "bad_json", 400, Outcome::NotRun, 0, "the body is not the JSON that this call takes" },
    ErrorAnswer { ErrorKind::BadConfiguration, "bad_configuration", 422, Outcome::NotRun, 0, "the configuration was refused" },
    ErrorAnswer { ErrorKind::TooLarge, "too_large", 413, Outcome::NotRun, 0, "the body or header exceeds the limit" },
    ErrorAnswer { ErrorKind::Unauthorized, "unauthorized", 401, Outcome::NotRun, 0, "no valid key came with the request" },
    ErrorAnswer { ErrorKind::Forbidden, "forbidden", 403, Outcome::NotRun, 0, "the key does not allow this" },
    ErrorAnswer { ErrorKind::NotFound, "not_found", 404, Outcome::NotRun, 0, "no such thing" },
    ErrorAnswer { ErrorKind::MethodNotAllowed, "method_not_allowed", 405, Outcome::NotRun, 0, "the path does not take this method" },
    ErrorAnswer { ErrorKind::Conflict, "conflict", 412, Outcome::NotRun, 0, "the version has changed since it was read" },
    ErrorAnswer { ErrorKind::PreconditionRequired, "precondition_required", 428, Outcome::NotRun, 0, "If-Match with the version read is required" },
    ErrorAnswer { ErrorKind::NeverRunnable, "never_runnable", 422, Outcome::NotRun, 0, "no VM could ever run this" },
    ErrorAnswer { ErrorKind::OverLimit, "over_limit", 429, Outcome::NotRun, 1, "the team has reached its upper limit" },
    ErrorAnswer { ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, 1, "a queue is full" },
    ErrorAnswer { ErrorKind::NoEndpoint, "no_endpoint", 503, Outcome::NotRun, 2, "no endpoint can take the request" },
    ErrorAnswer { ErrorKind::StoreUnavailable, "store_unavailable", 503, Outcome::NotRun, 5, "the platform's key-value service does not answer" },
    ErrorAnswer { ErrorKind::StaleConfiguration, "stale_configuration", 503, Outcome::NotRun, 5, "keys cannot be confirmed from this failure domain" },
    ErrorAnswer { ErrorKind::HomeUnreachable, "home_unreachable", 503, Outcome::NotRun, 3, "the daemon that keeps this job cannot be reached" },
    ErrorAnswer { ErrorKind::ShuttingDown, "shutting_down", 503, Outcome::NotRun, 1, "the daemon is shutting down" },
    ErrorAnswer { ErrorKind::DeadlineBeforeRun, "deadline_before_run", 504, Outcome::NotRun, 1, "the deadline passed before the work was sent to an endpoint" },
    ErrorAnswer { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Outcome::Unknown, 0, "the work was sent but its answer did not arrive" },
    ErrorAnswer { ErrorKind::EndpointFailed, "endpoint_failed", 502, Outcome::Unknown, 0, "the endpoint broke off its answer" },
    ErrorAnswer { ErrorKind::Fenced, "fenced", 503, Outcome::NotRun, 1, "another daemon has taken this over" },
    ErrorAnswer { ErrorKind::Internal, "internal", 500, Outcome::Unknown, 0, "internal error" },
};

const ErrorAnswer& errorAnswer(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < errorTable.size() && "error kind outside the closed list");
    assert(errorTable[index].kind == kind && "error table out of order");
    return errorTable[index];
}

ErrorKind errorKindFromName(std::string_view name)
{
    for (const auto& row : errorTable) {
        if (row.name == name)
            return row.kind;
    }
    return ErrorKind::Internal;
}

std::string_view outcomeName(Outcome outcome)
{
    static constexpr NamedValue<Outcome> names[] {
        { Outcome::NotRun, "not run" },
        { Outcome::Run, "run" },
        { Outcome::Unknown, "unknown" },
    };
    return nameOf(names, outcome);
}

namespace {

    class Category final : public std::error_category {
    public:
        const char* name() const noexcept override { return "heatherchute"; }

        std::string message(int value) const override
        {
            return std::string(errorAnswer(static_cast<ErrorKind>(value)).text);
        }
    };

} // namespace

const std::error_category& errorCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorKind kind)
{
    return { static_cast<int>(kind), errorCategory() };
}

ErrorKind errorKind(std::error_code code)
{
    if (!code)
        return ErrorKind::None;
    if (code.category() != errorCategory())
        return ErrorKind::Internal;
    return static_cast<ErrorKind>(code.value());
}

} // namespace heatherchute
