#include "heatherchute/Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>

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

    /// True when the peer has closed or sent bytes nobody asked for.
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

    /// Counts one call to an address for as long as it lives.
    class CallCount {
    public:
        CallCount(std::map<Address, std::size_t>& calls, Address address)
            : m_calls(calls)
            , m_address(std::move(address))
        {
            ++m_calls[m_address];
        }
        CallCount(const CallCount&) = delete;
        CallCount& operator=(const CallCount&) = delete;
        ~CallCount()
        {
            const auto found = m_calls.find(m_address);
            if (--found->second == 0)
                m_calls.erase(found);
        }

    private:
        std::map<Address, std::size_t>& m_calls;
        Address m_address;
    };

} // namespace

struct HttpClient::State {
    State(Duty& clientDuty, HttpClientLimits clientLimits)
        : duty(clientDuty)
        , limits(clientLimits)
    {
    }

    ConnectionPointer takeIdle(const Address& address);
    void keepIdle(const Address& address, ConnectionPointer connection);
    ConnectionPointer connect(const Address& address, Duration timeout);

    Duty& duty;
    HttpClientLimits limits;
    std::map<Address, std::vector<ConnectionPointer>> idle;
    std::map<Address, std::size_t> calls;
};

ConnectionPointer HttpClient::State::takeIdle(const Address& address)
{
    auto& connections = idle[address];
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (!isStale(*connection, limits.maxIdleTime))
            return connection;
    }
    return nullptr;
}

void HttpClient::State::keepIdle(const Address& address, ConnectionPointer connection)
{
    auto& connections = idle[address];
    connection->idleSince = Clock::now();
    connection->stream.expires_never();
    if (connections.size() < limits.maxIdlePerAddress)
        connections.push_back(std::move(connection));
}

ConnectionPointer HttpClient::State::connect(const Address& address, Duration timeout)
{
    auto connection = std::make_unique<Connection>(duty.io());
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    connection->stream.expires_after(timeout);
    const auto connected = awaitIo([&](auto handler) {
        connection->stream.async_connect(endpoint, std::move(handler));
    });
    if (connected.error)
        return nullptr;
    boost::system::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    return connection;
}

HttpClient::HttpClient(Duty& duty, HttpClientLimits limits)
    : m_state(std::make_unique<State>(duty, limits))
{
}

void HttpClient::dropIdle()
{
    m_state->idle.clear();
}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::call(const Address& address, const HttpRequest& request, const HttpCallOptions& options)
{
    const auto deadline = Clock::now() + options.timeout;
    while (m_state->calls[address] >= m_state->limits.maxCallsPerAddress) {
        if (Clock::now() >= deadline)
            return ErrorKind::NoEndpoint;
        constexpr Milliseconds turnPause { 2 };
        sleepFiber(m_state->duty.io(), turnPause);
    }
    const CallCount counted(m_state->calls, address);
    auto connection = m_state->takeIdle(address);
    if (!connection)
        connection = m_state->connect(address, deadline - Clock::now());
    if (!connection)
        return ErrorKind::NoEndpoint;

    auto& stream = connection->stream;
    const auto message = toBeast(address, request);
    stream.expires_at(deadline);
    const auto written = awaitIo([&](auto handler) { http::async_write(stream, message, std::move(handler)); });
    // A peer that saw part of a request may answer it, so no byte on the wire means "not run".
    if (written.error)
        return written.bytes == 0 ? ErrorKind::NoEndpoint : ErrorKind::OutcomeUnknown;

    http::response_parser<http::string_body> parser;
    parser.body_limit(options.maxBodyBytes);
    if (request.method == "HEAD")
        parser.skip(true);
    const auto read = awaitIo([&](auto handler) { http::async_read(stream, connection->buffer, parser, std::move(handler)); });
    // Whatever silenced this connection may have silenced those that idle beside it.
    if (read.error == beast::error::timeout)
        m_state->idle.erase(address);
    if (read.error)
        return parser.is_header_done() ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown;
    const bool keepAlive = parser.keep_alive();
    auto response = toResponse(parser.release());
    if (keepAlive)
        m_state->keepIdle(address, std::move(connection));
    return response;
}

} // namespace heatherchute
