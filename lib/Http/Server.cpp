#include "heatherchute/Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace heatherchute {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct HttpServer::State {
    State(Duty& serverLoop, HttpServerSettings serverSettings, Handler requestHandler)
        : eventLoop(serverLoop)
        , settings(std::move(serverSettings))
        , handler(std::move(requestHandler))
        , acceptor(serverLoop.io())
    {
    }

    Duty& eventLoop;
    HttpServerSettings settings;
    Handler handler;
    tcp::acceptor acceptor;
    std::set<beast::tcp_stream*> streams;
    std::atomic<bool> draining { false };
    std::atomic<bool> closed { false };
    std::atomic<std::size_t> activeRequests { 0 };
    std::atomic<std::uint64_t> nextConnection { 1 };
    std::uint16_t boundPort = 0;
};

namespace {

    /// Outcome of reading one request from a connection.
    enum class ReadOutcome : std::uint8_t {
        Complete,
        Closed,
        TooLarge,
        Malformed,
    };

    using RequestParser = http::request_parser<http::string_body>;

    ReadOutcome readOutcomeOf(const boost::system::error_code& error)
    {
        if (!error)
            return ReadOutcome::Complete;
        if (error == http::error::body_limit || error == http::error::header_limit)
            return ReadOutcome::TooLarge;
        const bool isProtocolError = error.category() == make_error_code(http::error::bad_method).category();
        if (!isProtocolError || error == http::error::end_of_stream || error == http::error::partial_message)
            return ReadOutcome::Closed;
        return ReadOutcome::Malformed;
    }

    /// Reads one request. The idle timeout applies until its first byte, the read timeout to the rest.
    ReadOutcome readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
        const HttpServerSettings& settings)
    {
        parser.body_limit(settings.maxBodyBytes);
        parser.header_limit(settings.maxHeaderBytes);
        if (buffer.size() == 0) {
            stream.expires_after(settings.idleTimeout);
            const auto firstRead = awaitIo([&](auto handler) {
                stream.async_read_some(buffer.prepare(4096), std::move(handler));
            });
            if (firstRead.error)
                return ReadOutcome::Closed;
            buffer.commit(firstRead.bytes);
        }
        stream.expires_after(settings.readTimeout);
        const auto read = awaitIo([&](auto handler) {
            http::async_read(stream, buffer, parser, std::move(handler));
        });
        return readOutcomeOf(read.error);
    }

    HttpRequest toRequest(RequestParser& parser)
    {
        auto message = parser.release();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        return request;
    }

    http::response<http::string_body> toBeast(HttpResponse&& response, bool keepAlive)
    {
        http::response<http::string_body> message { http::int_to_status(response.status), 11 };
        message.result(response.status);
        for (const auto& header : response.headers) {
            if (!isHopHeader(header.name))
                message.insert(header.name, header.value);
        }
        message.body() = std::move(response.body);
        message.keep_alive(keepAlive);
        constexpr unsigned notModified = 304;
        if (message.result_int() != notModified)
            message.prepare_payload();
        return message;
    }

    /// Sends a complete response; false if the connection failed.
    bool writeResponse(beast::tcp_stream& stream, HttpResponse&& response, bool keepAlive, Milliseconds timeout)
    {
        const auto message = toBeast(std::move(response), keepAlive);
        stream.expires_after(timeout);
        const auto written = awaitIo([&](auto handler) {
            http::async_write(stream, message, std::move(handler));
        });
        return !written.error;
    }

    /// Sends a response of unknown length in chunks; false if the connection failed.
    bool writeChunkedResponse(beast::tcp_stream& stream, const HttpResponse& response, Milliseconds timeout)
    {
        http::response<http::empty_body> message { http::int_to_status(response.status), 11 };
        for (const auto& header : response.headers)
            message.insert(header.name, header.value);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer { message };
        stream.expires_after(timeout);
        auto written = awaitIo([&](auto handler) { http::async_write_header(stream, serializer, std::move(handler)); });
        while (!written.error) {
            stream.expires_never();
            const auto chunk = response.nextChunk();
            if (!chunk)
                break;
            stream.expires_after(timeout);
            written = awaitIo([&](auto handler) {
                asio::async_write(stream, http::make_chunk(asio::buffer(*chunk)), std::move(handler));
            });
        }
        if (written.error)
            return false;
        written = awaitIo([&](auto handler) { asio::async_write(stream, http::make_chunk_last(), std::move(handler)); });
        return !written.error;
    }

    bool send(beast::tcp_stream& stream, HttpResponse&& response, bool keepAlive, Milliseconds timeout)
    {
        if (response.status == 0)
            return false;
        if (response.nextChunk)
            return writeChunkedResponse(stream, response, timeout);
        return writeResponse(stream, std::move(response), keepAlive, timeout);
    }

} // namespace

template <typename State>
static void serveConnection(State& state, beast::tcp_stream& stream)
{
    const auto number = state.nextConnection.fetch_add(1);
    beast::flat_buffer buffer;
    for (;;) {
        RequestParser parser;
        const auto outcome = readRequest(stream, buffer, parser, state.settings);
        if (outcome == ReadOutcome::Closed)
            return;
        if (outcome != ReadOutcome::Complete) {
            const auto kind = outcome == ReadOutcome::TooLarge ? ErrorKind::TooLarge : ErrorKind::BadRequest;
            writeResponse(stream, errorResponse(kind), false, state.settings.readTimeout);
            return;
        }
        state.activeRequests.fetch_add(1);
        const bool clientKeepsAlive = parser.keep_alive();
        const bool isHead = parser.get().method() == http::verb::head;
        auto request = toRequest(parser);
        request.connection = number;
        auto response = state.handler(std::move(request));
        const bool keepAlive = clientKeepsAlive && !isHead && !response.closesConnection && !state.draining.load();
        const bool written = send(stream, std::move(response), keepAlive, state.settings.readTimeout);
        state.activeRequests.fetch_sub(1);
        if (!written || !keepAlive)
            return;
    }
}

template <typename StatePointer>
static void runConnection(const StatePointer& state, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    state->streams.insert(&stream);
    serveConnection(*state, stream);
    state->streams.erase(&stream);
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

template <typename StatePointer>
static void acceptLoop(const StatePointer& state)
{
    while (!state->closed.load()) {
        tcp::socket socket(state->eventLoop.io());
        const auto accepted = awaitIo([&](auto handler) {
            state->acceptor.async_accept(socket, std::move(handler));
        });
        if (accepted.error) {
            if (state->closed.load())
                return;
            // Most likely the process has no free file descriptor. Retry after a pause, so that the loop
            // does not spin.
            sleepFiber(state->eventLoop.io(), Milliseconds(10));
            continue;
        }
        if (state->streams.size() >= state->settings.maxConnections)
            continue;
        boost::fibers::fiber([state, socket = std::move(socket)]() mutable {
            runConnection(state, std::move(socket));
        }).detach();
    }
}

HttpServer::HttpServer(Duty& eventLoop, HttpServerSettings settings, Handler handler)
    : m_state(std::make_shared<State>(eventLoop, std::move(settings), std::move(handler)))
{
    const auto& listen = m_state->settings.listen;
    auto& acceptor = m_state->acceptor;
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(listen.host), listen.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        m_state->boundPort = acceptor.local_endpoint().port();
    } catch (const boost::system::system_error& failure) {
        // The library's own exception type is unknown outside lib/Http.
        throw std::system_error(failure.code(), "cannot listen for HTTP on " + addressText(listen));
    }
    eventLoop.spawn([state = m_state] { acceptLoop(state); });
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return m_state->boundPort;
}

void HttpServer::beginDrain()
{
    m_state->draining.store(true);
}

std::size_t HttpServer::requestsInProgress() const
{
    return m_state->activeRequests.load();
}

void HttpServer::close()
{
    // Completed in a fiber: the lock of the promise may be contended, and only a fiber can wait for it.
    // The fiber shares the promise, because the waiting thread returns as soon as the value is set.
    const auto done = std::make_shared<boost::fibers::promise<void>>();
    auto closed = done->get_future();
    m_state->eventLoop.spawn([state = m_state, done] {
        state->closed.store(true);
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
        for (auto* stream : state->streams)
            stream->cancel();
        done->set_value();
    });
    closed.wait();
}

} // namespace heatherchute
