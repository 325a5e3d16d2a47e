/// HTTP/1.1 towards callers, operators, endpoints and the platform. Messages are plain
/// structures; the library behind them (Boost.Beast) stays inside lib/Http.
#pragma once

#include "heatherchute/Runtime.h"

#include <memory>

namespace heatherchute {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// A whole request. `target` is the path with its query.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    /// Number of the server's connection that it came over; zero in requests to be sent.
    std::uint64_t connection = 0;
};

/// A whole response.
struct HttpResponse {
    /// Zero closes the connection without an answer.
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    /// When set, the body is what successive calls give, until one gives nothing. May suspend.
    std::function<std::optional<std::string>()> nextChunk;
};

/// First value of the header `name`, letter case aside; empty when there is none.
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);
/// True for headers that concern one connection and are not passed through.
bool isHopHeader(std::string_view name);
/// Response with a JSON body.
HttpResponse jsonResponse(unsigned status, const Json& body);
/// Response for an error of the closed list: its status, Retry-After, and a body that names
/// the kind and says whether the work ran. `detail` may be empty.
HttpResponse errorResponse(ErrorKind kind, std::string_view detail = {});

/// Path and query of a target, split at its slashes and decoded.
struct Target {
    std::vector<std::string> path;
    std::vector<HttpHeader> query;
};
Target parseTarget(std::string_view target);
/// Undoes percent encoding; bytes that are no valid escape stay as they are.
std::string percentDecode(std::string_view text);

/// An IP address and port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Address&, const Address&) = default;
    friend auto operator<=>(const Address&, const Address&) = default;
};
std::string addressText(const Address& address);
/// Parses "10.0.0.1:80"; BadRequest for anything else.
Result<Address> parseAddress(std::string_view text);

struct HttpServerSettings {
    Address listen;
    std::size_t maxBodyBytes = 1U << 20;
    std::uint32_t maxHeaderBytes = 16U << 10;
    std::size_t maxConnections = 4096;
    /// Time for a whole request to arrive once its first byte has.
    Milliseconds readTimeout { 10'000 };
    Milliseconds idleTimeout { 60'000 };
};

/// Serves requests with one fiber for each connection.
class HttpServer {
public:
    /// Runs in a fiber on the server's duty and may suspend.
    using Handler = std::function<HttpResponse(HttpRequest&&)>;

    /// Binds at once; throws std::system_error when the address cannot be had.
    HttpServer(Duty& duty, HttpServerSettings settings, Handler handler);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    std::uint16_t port() const;
    /// From now on each answer closes its connection.
    void beginDrain();
    /// Requests read but not yet answered in full.
    std::size_t requestsInProgress() const;
    /// Closes the listener and all connections. Call it before the duty stops.
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

struct HttpCallOptions {
    Milliseconds timeout { 5000 };
    std::size_t maxBodyBytes = 4U << 20;
};

struct HttpClientLimits {
    /// Idle connections kept for one address.
    std::size_t maxIdlePerAddress = 16;
    /// Servers drop idle connections after a minute; ours go earlier so that none is reused late.
    Milliseconds maxIdleTime { 20'000 };
    /// Calls at once to one address; more wait for their turn within their own time.
    std::size_t maxCallsPerAddress = 256;
};

/// Calls other HTTP servers over kept-alive connections. Fibers of its duty only.
class HttpClient {
public:
    explicit HttpClient(Duty& duty, HttpClientLimits limits = {});
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    ~HttpClient();

    /// One call. NoEndpoint: nothing was sent. OutcomeUnknown: it may have run, no answer came
    /// in time. EndpointFailed: the answer broke off. A connection whose answer was not read
    /// whole is closed, so a late answer reaches nobody.
    Result<HttpResponse> call(const Address& address, const HttpRequest& request, const HttpCallOptions& options);
    /// Closes all connections that no call uses.
    void dropIdle();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace heatherchute
