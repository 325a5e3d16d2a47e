/// HTTP/1.1 server and client for callers, operators, endpoints and the platform. Messages are
/// plain structures; only lib/Http depends on the underlying library, Boost.Beast.
#pragma once

#include "heatherchute/Runtime.h"

#include <memory>

namespace heatherchute {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// A complete request. `target` is the path with its query.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    /// Number of the server connection that the request arrived on; zero in outgoing requests.
    std::uint64_t connection = 0;
};

/// A complete response.
struct HttpResponse {
    /// HTTP status. Zero closes the connection without a response.
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    /// If set, the body is sent in chunks: each call returns the next chunk, and std::nullopt ends the
    /// body. May suspend the fiber.
    std::function<std::optional<std::string>()> nextChunk;
    /// The connection is closed after this response.
    bool closesConnection = false;
};

/// First value of the header `name`, compared without regard to case; empty if there is none.
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);
/// True for hop-by-hop headers, which apply to one connection and must not be forwarded.
bool isHopHeader(std::string_view name);
/// Response with a JSON body and its Content-Type.
HttpResponse jsonResponse(unsigned status, const Json& body);
/// Response for an error of the closed list `ErrorKind`: its status, Retry-After, and a body with
/// the error's name and whether the request was executed. `detail` may be empty.
HttpResponse errorResponse(ErrorKind kind, std::string_view detail = {});

/// Path segments and query parameters of a request target, percent-decoded.
struct Target {
    std::vector<std::string> path;
    std::vector<HttpHeader> query;
};
Target parseTarget(std::string_view target);
/// Decodes percent-encoding; invalid escapes are left unchanged.
std::string percentDecode(std::string_view text);

/// An IP address and port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Address&, const Address&) = default;
    friend auto operator<=>(const Address&, const Address&) = default;
};
/// Formats an address as "10.0.0.1:80".
std::string addressText(const Address& address);
/// Parses "10.0.0.1:80"; BadRequest for anything else.
Result<Address> parseAddress(std::string_view text);

/// Listen address and limits of a server.
struct HttpServerSettings {
    Address listen;
    std::size_t maxBodyBytes = 1U << 20;
    std::uint32_t maxHeaderBytes = 16U << 10;
    std::size_t maxConnections = 4096;
    /// Time in which a complete request must arrive after its first byte, and in which a response
    /// must be written.
    Milliseconds readTimeout { 10'000 };
    /// Time after which a connection without a request is closed.
    Milliseconds idleTimeout { 60'000 };
};

/// HTTP server with one fiber per connection.
class HttpServer {
public:
    /// Handles one request. Runs in a fiber on the server's event loop and may suspend.
    using Handler = std::function<HttpResponse(HttpRequest&&)>;

    /// Binds and listens immediately; throws std::system_error if the address cannot be bound.
    HttpServer(Duty& eventLoop, HttpServerSettings settings, Handler handler);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /// Port that the server listens on, also if the settings left its choice to the system.
    std::uint16_t port() const;
    /// Makes every further response close its connection.
    void beginDrain();
    /// Number of requests that were read and whose response is not completely written yet.
    std::size_t requestsInProgress() const;
    /// Closes the listener and cancels the pending I/O of all connections. Must be called before the
    /// event loop stops.
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Limits of one request of the client.
struct HttpCallOptions {
    /// For the whole request, from waiting for a free slot to the end of the response.
    Milliseconds timeout { 5000 };
    std::size_t maxBodyBytes = 4U << 20;
    /// For the free slot and the connection; the request is not sent after it. Zero is the whole timeout.
    Milliseconds sendTimeout { 0 };
    /// If positive, `timeout` bounds only the time until the first bytes of the response. From then on the
    /// response may take any time in which this time never passes without further bytes, up to `maxReadTime`.
    /// For large responses, whose duration depends on the bandwidth of the link.
    Milliseconds stallTimeout { 0 };
    Milliseconds maxReadTime { 60'000 };
};

/// Limits of a client.
struct HttpClientLimits {
    /// Idle connections kept per address.
    std::size_t maxIdlePerAddress = 16;
    /// Servers close idle connections after one minute. The client closes its own earlier, so that it
    /// does not reuse a connection that the server is about to close.
    Milliseconds maxIdleTime { 20'000 };
    /// Concurrent requests per address. Further requests wait for a free slot within their own
    /// timeout.
    std::size_t maxRequestsPerAddress = 256;
};

/// HTTP client with persistent connections. Call it only from fibers on its event loop.
class HttpClient {
public:
    explicit HttpClient(Duty& eventLoop, HttpClientLimits limits = {});
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    ~HttpClient();

    /// Sends a request and waits for its response. Errors: NoEndpoint if nothing was sent;
    /// OutcomeUnknown if no response arrived in time, so the request may have been executed;
    /// EndpointFailed if the response was cut short. A connection whose response was not read
    /// completely is closed, so a late response is never taken for that of another request.
    Result<HttpResponse> call(const Address& address, const HttpRequest& request, const HttpCallOptions& options);
    /// Closes all idle connections.
    void dropIdle();
    /// Resets all connections to the address and ends the requests in progress there, with the errors of call().
    /// What the network still holds of them is not delivered. Later requests use new connections.
    void cancelRequests(const Address& address);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace heatherchute
