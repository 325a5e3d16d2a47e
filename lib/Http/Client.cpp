#include "heatherchute/Http.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <set>

namespace heatherchute {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    struct Connection {
        explicit Connection(asio::io_context& io)
            : stream(io)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        TimePoint idleSince;
    };

    using ConnectionPointer = std::unique_ptr<Connection>;

    /// True if the connection was idle for too long, was closed by the peer, or received data without a
    /// request.
    bool isStale(Connection& connection, Duration maxIdleTime)
    {
        if (Clock::now() - connection.idleSince > maxIdleTime || connection.buffer.size() > 0)
            return true;
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block;
    }

    http::request<http::string_body> toBeast(const Address& address, const HttpRequest& request)
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        message.set(http::field::host, addressText(address));
        for (const auto& header : request.headers) {
            if (!isHopHeader(header.name))
                message.insert(header.name, header.value);
        }
        message.body() = request.body;
        message.keep_alive(true);
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
            message.content_length(request.body.size());
        return message;
    }

    HttpResponse toResponse(http::response<http::string_body>&& message)
    {
        HttpResponse response;
        response.status = message.result_int();
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        return response;
    }

    /// Reads a response whose duration is bounded by its progress instead of a deadline.
    template <typename Parser>
    boost::system::error_code readWhileProgressing(Connection& connection, Parser& parser, const HttpCallOptions& options)
    {
        const auto readDeadline = Clock::now() + options.maxReadTime;
        while (!parser.is_done()) {
            const auto read = awaitIo([&](auto handler) { http::async_read_some(connection.stream, connection.buffer, parser, std::move(handler)); });
            if (read.error)
                return read.error;
            connection.stream.expires_at(std::min(readDeadline, Clock::now() + options.stallTimeout));
        }
        return {};
    }

    class PendingRequest;

    /// Requests to one address that have not ended.
    struct AddressRequests {
        std::set<PendingRequest*> pending;
        /// Number of those that hold a slot.
        std::size_t active = 0;
    };

    /// A request from its wait for a slot to its end.
    class PendingRequest {
    public:
        PendingRequest(std::map<Address, AddressRequests>& requests, Address address)
            : m_requests(requests)
            , m_address(std::move(address))
            , m_siblings(m_requests[m_address])
        {
            m_siblings.pending.insert(this);
        }
        PendingRequest(const PendingRequest&) = delete;
        PendingRequest& operator=(const PendingRequest&) = delete;
        ~PendingRequest()
        {
            m_siblings.active -= m_hasSlot ? 1 : 0;
            m_siblings.pending.erase(this);
            if (m_siblings.pending.empty())
                m_requests.erase(m_address);
        }

        std::size_t activeSiblings() const { return m_siblings.active; }
        void takeSlot()
        {
            m_hasSlot = true;
            ++m_siblings.active;
        }
        /// Sets the connection that cancel() closes; null for none.
        void setConnection(Connection* connection) { m_connection = connection; }
        void cancel()
        {
            m_isCancelled = true;
            if (m_connection)
                m_connection->stream.close();
        }
        bool isCancelled() const { return m_isCancelled; }

    private:
        std::map<Address, AddressRequests>& m_requests;
        Address m_address;
        AddressRequests& m_siblings;
        Connection* m_connection = nullptr;
        bool m_hasSlot = false;
        bool m_isCancelled = false;
    };

} // namespace

struct HttpClient::State {
    State(Duty& clientLoop, HttpClientLimits clientLimits)
        : eventLoop(clientLoop)
        , limits(clientLimits)
    {
    }

    /// An idle connection to `address` that is still usable; null if there is none.
    ConnectionPointer popIdleConnection(const Address& address);
    /// Keeps a connection for reuse, or closes it if enough are idle.
    void pushIdleConnection(const Address& address, ConnectionPointer connection);
    /// Opens a connection for the request; null on failure.
    ConnectionPointer connect(const Address& address, Duration timeout, PendingRequest& request);

    Duty& eventLoop;
    HttpClientLimits limits;
    std::map<Address, std::vector<ConnectionPointer>> idleConnections;
    std::map<Address, AddressRequests> requests;
};

ConnectionPointer HttpClient::State::popIdleConnection(const Address& address)
{
    auto& connections = idleConnections[address];
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (!isStale(*connection, limits.maxIdleTime))
            return connection;
    }
    return nullptr;
}

void HttpClient::State::pushIdleConnection(const Address& address, ConnectionPointer connection)
{
    auto& connections = idleConnections[address];
    connection->idleSince = Clock::now();
    connection->stream.expires_never();
    if (connections.size() < limits.maxIdlePerAddress)
        connections.push_back(std::move(connection));
}

ConnectionPointer HttpClient::State::connect(const Address& address, Duration timeout, PendingRequest& request)
{
    auto connection = std::make_unique<Connection>(eventLoop.io());
    request.setConnection(connection.get());
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    connection->stream.expires_after(timeout);
    const auto connected = awaitIo([&](auto handler) {
        connection->stream.async_connect(endpoint, std::move(handler));
    });
    if (connected.error) {
        request.setConnection(nullptr);
        return nullptr;
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    // Closing resets the connection: a request that was given up is not delivered later.
    connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    return connection;
}

HttpClient::HttpClient(Duty& eventLoop, HttpClientLimits limits)
    : m_state(std::make_unique<State>(eventLoop, limits))
{
}

void HttpClient::dropIdle()
{
    m_state->idleConnections.clear();
}

void HttpClient::cancelRequests(const Address& address)
{
    m_state->idleConnections.erase(address);
    const auto found = m_state->requests.find(address);
    if (found == m_state->requests.end())
        return;
    for (auto* const request : found->second.pending)
        request->cancel();
}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::call(const Address& address, const HttpRequest& request, const HttpCallOptions& options)
{
    const auto deadline = Clock::now() + options.timeout;
    const auto sendDeadline = options.sendTimeout.count() > 0 ? std::min(deadline, Clock::now() + options.sendTimeout) : deadline;
    PendingRequest pending(m_state->requests, address);
    while (pending.activeSiblings() >= m_state->limits.maxRequestsPerAddress) {
        if (pending.isCancelled() || Clock::now() >= sendDeadline)
            return ErrorKind::NoEndpoint;
        constexpr Milliseconds slotPollInterval { 2 };
        sleepFiber(m_state->eventLoop.io(), slotPollInterval);
    }
    pending.takeSlot();
    auto connection = m_state->popIdleConnection(address);
    if (!connection)
        connection = m_state->connect(address, sendDeadline - Clock::now(), pending);
    // The process may have been paused while it waited for a slot or for the connection.
    if (!connection || pending.isCancelled() || Clock::now() >= sendDeadline)
        return ErrorKind::NoEndpoint;
    pending.setConnection(connection.get());

    auto& stream = connection->stream;
    const auto message = toBeast(address, request);
    stream.expires_at(deadline);
    const auto written = awaitIo([&](auto handler) { http::async_write(stream, message, std::move(handler)); });
    // A peer that received a part of a request may respond to it. Only if no byte was sent, the
    // request was certainly not executed.
    if (written.error)
        return written.bytes == 0 ? ErrorKind::NoEndpoint : ErrorKind::OutcomeUnknown;

    http::response_parser<http::string_body> parser;
    parser.body_limit(options.maxBodyBytes);
    if (request.method == "HEAD")
        parser.skip(true);
    const auto readError = options.stallTimeout.count() > 0
        ? readWhileProgressing(*connection, parser, options)
        : awaitIo([&](auto handler) { http::async_read(stream, connection->buffer, parser, std::move(handler)); }).error;
    // The cause of a timeout may affect the idle connections to the same address too: close them.
    if (readError == beast::error::timeout)
        m_state->idleConnections.erase(address);
    if (readError)
        return parser.is_header_done() ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown;
    const bool keepAlive = parser.keep_alive();
    auto response = toResponse(parser.release());
    if (keepAlive && !pending.isCancelled())
        m_state->pushIdleConnection(address, std::move(connection));
    return response;
}

} // namespace heatherchute
