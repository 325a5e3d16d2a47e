/// What every command shares: the connection to an entry VM, the key, and the way results and
/// errors are shown.
#pragma once

#include "heatherchute/Http.h"

#include <boost/program_options.hpp>

namespace heatherchute::cli {

/// Exit codes that scripts can rely on.
enum class Exit : int {
    Done = 0,
    /// The cluster refused or failed; the work surely did not run.
    NotRun = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// It may have run.
    Unknown = 3,
    /// No entry VM answered.
    Unreachable = 4,
    /// A job that was waited for did not succeed.
    JobFailed = 5,
};

/// Options that every command takes.
struct CommonOptions {
    std::vector<Address> servers;
    std::string key;
    bool json = false;
    Milliseconds timeout { 20'000 };
};

class Client {
public:
    explicit Client(CommonOptions options);
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client();

    /// One call at the first entry VM that can be reached.
    Result<HttpResponse> call(HttpRequest request, Milliseconds timeout);
    Result<HttpResponse> call(HttpRequest request) { return call(std::move(request), m_options.timeout); }
    const CommonOptions& options() const { return m_options; }

private:
    CommonOptions m_options;
    Duty m_duty;
    std::unique_ptr<HttpClient> m_http;
};

/// Shows a result on standard output or an error on standard error; returns the exit code.
Exit show(const Client& client, const Result<HttpResponse>& result);
/// Shows JSON as JSON, or as lines a person reads.
void print(const Json& value, bool asJson);
/// Says on standard error why a command cannot be carried out.
Exit refuse(std::string_view reason);

} // namespace heatherchute::cli
