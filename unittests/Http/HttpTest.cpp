#include "heatherchute/Http.h"

#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

namespace heatherchute {

TEST_CASE("targets are split and decoded", "[http]")
{
    const auto target = parseTarget("/v1//jobs/a%2Fb%zz?wait=3&x=%41&flag");
    CHECK(target.path == std::vector<std::string> { "v1", "jobs", "a/b%zz" });
    CHECK(findHeader(target.query, "wait") == "3");
    CHECK(findHeader(target.query, "x") == "A");
    CHECK(target.query.size() == 3);
}

TEST_CASE("addresses are IP addresses with ports", "[http]")
{
    CHECK(addressText(parseAddress("10.1.2.3:80").value()) == "10.1.2.3:80");
    for (const auto* const text : { "", "10.1.2.3", "host:80", "10.1.2.3:", "10.1.2.3:99999", "10.1.2.3:8x" })
        CHECK_FALSE(parseAddress(text));
}

TEST_CASE("an error response says whether the request was executed", "[http]")
{
    const auto response = errorResponse(ErrorKind::Overloaded, "why");
    CHECK(response.status == 503);
    CHECK(findHeader(response.headers, "Retry-After") == "1");
    const auto body = Json::parse(response.body);
    CHECK(body["outcome"] == "not run");
    CHECK(body["detail"] == "why");
}

namespace {

    /// A server and a client, each on its own event loop.
    struct ClientServerPair {
        explicit ClientServerPair(HttpServer::Handler handler)
            : server(serverLoop, settings(), std::move(handler))
        {
        }

        ~ClientServerPair()
        {
            run([this] { client.reset(); });
            server.close();
        }

        static HttpServerSettings settings()
        {
            HttpServerSettings settings;
            settings.listen = { "127.0.0.1", 0 };
            settings.maxBodyBytes = 1000;
            return settings;
        }

        void run(const std::function<void()>& body)
        {
            std::promise<void> done;
            clientLoop.spawn([&] {
                body();
                done.set_value();
            });
            done.get_future().wait();
        }

        Result<HttpResponse> call(const HttpRequest& request, Milliseconds timeout = Milliseconds(5000))
        {
            Result<HttpResponse> result = ErrorKind::Internal;
            run([&] { result = client->call({ "127.0.0.1", server.port() }, request, { timeout }); });
            return result;
        }

        Duty serverLoop { "server" };
        Duty clientLoop { "client" };
        HttpServer server;
        std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>(clientLoop);
    };

    /// Answers one request in parts, with a pause before each, as a slow link delivers a large response.
    class SlowServer {
    public:
        SlowServer(std::size_t parts, Milliseconds pause)
            : m_thread([this, parts, pause] { serve(parts, pause); })
        {
        }
        SlowServer(const SlowServer&) = delete;
        SlowServer& operator=(const SlowServer&) = delete;
        ~SlowServer()
        {
            m_isClosing = true;
            m_thread.join();
        }

        std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    private:
        void serve(std::size_t parts, Milliseconds pause)
        {
            using boost::asio::buffer;
            boost::asio::ip::tcp::socket socket(m_io);
            m_acceptor.accept(socket);
            std::array<char, 4096> request {};
            socket.read_some(buffer(request));
            boost::system::error_code ignored;
            boost::asio::write(socket, buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(10 * parts) + "\r\n\r\n"), ignored);
            for (std::size_t i = 0; i < parts && !m_isClosing; ++i) {
                std::this_thread::sleep_for(pause);
                boost::asio::write(socket, buffer(std::string(10, 'x')), ignored);
            }
        }

        boost::asio::io_context m_io;
        boost::asio::ip::tcp::acceptor m_acceptor { m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
        std::atomic<bool> m_isClosing = false;
        std::thread m_thread;
    };

} // namespace

TEST_CASE("a response that keeps arriving is not cut off by a deadline", "[http]")
{
    // A fixed deadline for the whole response made large responses unreadable on slow links.
    ClientServerPair pair([](HttpRequest&&) { return HttpResponse {}; });
    const auto read = [&pair](std::size_t parts, Milliseconds pause, const HttpCallOptions& options) {
        SlowServer server(parts, pause);
        Result<HttpResponse> result = ErrorKind::Internal;
        pair.run([&] { result = pair.client->call({ "127.0.0.1", server.port() }, {}, options); });
        return result;
    };
    const HttpCallOptions byProgress { .timeout = Milliseconds(400), .stallTimeout = Milliseconds(400) };
    const auto slow = read(8, Milliseconds(100), byProgress);
    REQUIRE(slow);
    CHECK(slow.value().body.size() == 80);
    CHECK_FALSE(read(8, Milliseconds(100), { .timeout = Milliseconds(400) }));
    // Neither a silent connection nor a trickle is waited for without a bound.
    CHECK_FALSE(read(2, Milliseconds(1500), byProgress));
    auto bounded = byProgress;
    bounded.maxReadTime = Milliseconds(500);
    CHECK_FALSE(read(20, Milliseconds(100), bounded));
}

TEST_CASE("requests and responses are transferred completely", "[http]")
{
    ClientServerPair pair([](HttpRequest&& request) {
        return HttpResponse { 201, { { "X-Method", request.method } }, request.target + "|" + request.body, {} };
    });
    for (int i = 0; i < 3; ++i) {
        const auto result = pair.call({ "PUT", "/a?b=" + std::to_string(i), { { "Q", "r" } }, std::string(900, 'x') });
        REQUIRE(result);
        CHECK(result.value().status == 201);
        CHECK(findHeader(result.value().headers, "x-method") == "PUT");
        CHECK(result.value().body == "/a?b=" + std::to_string(i) + "|" + std::string(900, 'x'));
    }
}

TEST_CASE("a server closes from another thread while its event loop completes the request", "[http]")
{
    // The completion of close() once ran outside any fiber, where a contended lock ended the process.
    Duty serverLoop { "server" };
    for (int i = 0; i < 2000; ++i) {
        HttpServer server(serverLoop, ClientServerPair::settings(), [](HttpRequest&&) { return HttpResponse {}; });
        REQUIRE(server.port() != 0);
        server.close();
    }
}

TEST_CASE("a server whose port is taken reports the address", "[http]")
{
    Duty loop { "server" };
    HttpServer first(loop, ClientServerPair::settings(), [](HttpRequest&&) { return HttpResponse {}; });
    auto settings = ClientServerPair::settings();
    settings.listen.port = first.port();
    const auto open = [&] { HttpServer(loop, settings, [](HttpRequest&&) { return HttpResponse {}; }); };
    CHECK_THROWS_AS(open(), std::system_error);
    CHECK_THROWS_WITH(open(), Catch::Contains(addressText(settings.listen)));
    first.close();
}

TEST_CASE("a request body over the limit is rejected, not truncated", "[http]")
{
    ClientServerPair pair([](HttpRequest&&) { return HttpResponse {}; });
    const auto result = pair.call({ "POST", "/", {}, std::string(5000, 'x') });
    REQUIRE(result);
    CHECK(result.value().status == 413);
}

TEST_CASE("a request that cannot be sent in time is not sent later", "[http]")
{
    std::atomic<int> received = 0;
    std::function<void()> hold;
    ClientServerPair pair([&](HttpRequest&&) {
        ++received;
        hold();
        return HttpResponse { 200, {}, {}, {} };
    });
    hold = [&pair] { sleepFiber(pair.serverLoop.io(), Milliseconds(600)); };
    pair.client = std::make_unique<HttpClient>(pair.clientLoop, HttpClientLimits { .maxRequestsPerAddress = 1 });
    Result<HttpResponse> first = ErrorKind::Internal;
    Result<HttpResponse> second = ErrorKind::Internal;
    pair.run([&] {
        const Address server { "127.0.0.1", pair.server.port() };
        auto running = boost::fibers::async([&] { first = pair.client->call(server, {}, {}); });
        sleepFiber(pair.clientLoop.io(), Milliseconds(50));
        second = pair.client->call(server, {}, { .sendTimeout = Milliseconds(100) });
        running.get();
    });
    CHECK(first);
    CHECK(errorKind(second.error()) == ErrorKind::NoEndpoint);
    CHECK(received == 1);
}

// Guards against requests that a link holds up and delivers after the client has no use for them any more.
TEST_CASE("cancelled requests end at once, reset their connection and do not take a slot", "[http]")
{
    std::atomic<int> received = 0;
    std::function<void()> hold;
    ClientServerPair pair([&](HttpRequest&& request) {
        ++received;
        if (request.target == "/held")
            hold();
        return HttpResponse { 200, {}, {}, {} };
    });
    constexpr Milliseconds responseTime { 1000 };
    std::atomic<bool> isHeld = false;
    hold = [&] {
        isHeld = true;
        sleepFiber(pair.serverLoop.io(), responseTime);
        isHeld = false;
    };
    pair.client = std::make_unique<HttpClient>(pair.clientLoop, HttpClientLimits { .maxRequestsPerAddress = 1 });
    Result<HttpResponse> sent = ErrorKind::Internal;
    Result<HttpResponse> waiting = ErrorKind::Internal;
    Result<HttpResponse> later = ErrorKind::Internal;
    Duration elapsed { 0 };
    pair.run([&] {
        const Address server { "127.0.0.1", pair.server.port() };
        const auto begin = Clock::now();
        auto first = boost::fibers::async([&] { sent = pair.client->call(server, { "GET", "/held", {}, {} }, {}); });
        sleepFiber(pair.clientLoop.io(), Milliseconds(50));
        auto second = boost::fibers::async([&] { waiting = pair.client->call(server, { "GET", "/waits", {}, {} }, {}); });
        sleepFiber(pair.clientLoop.io(), Milliseconds(20));
        pair.client->cancelRequests(server);
        first.get();
        second.get();
        elapsed = Clock::now() - begin;
        // The server's event loop stops only after its handlers.
        while (isHeld)
            sleepFiber(pair.clientLoop.io(), Milliseconds(10));
        later = pair.client->call(server, { "GET", "/later", {}, {} }, {});
    });
    CHECK(errorKind(sent.error()) == ErrorKind::OutcomeUnknown);
    CHECK(errorKind(waiting.error()) == ErrorKind::NoEndpoint);
    CHECK(elapsed < responseTime);
    CHECK(later);
    CHECK(received == 2);
}

TEST_CASE("cancelling a request that waits for its connection gives NoEndpoint", "[http]")
{
    ClientServerPair pair([](HttpRequest&&) { return HttpResponse {}; });
    // With its queue of new connections full, a listener leaves further ones without a response.
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor full(io, boost::asio::ip::tcp::v4());
    full.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    full.listen(0);
    std::vector<boost::asio::ip::tcp::socket> queued;
    for (int i = 0; i < 4; ++i) {
        auto& socket = queued.emplace_back(io, boost::asio::ip::tcp::v4());
        socket.async_connect(full.local_endpoint(), [](const auto&) {});
    }
    Result<HttpResponse> result = ErrorKind::Internal;
    Duration elapsed { 0 };
    pair.run([&] {
        const Address server { "127.0.0.1", full.local_endpoint().port() };
        const auto begin = Clock::now();
        auto call = boost::fibers::async([&] { result = pair.client->call(server, {}, {}); });
        sleepFiber(pair.clientLoop.io(), Milliseconds(50));
        pair.client->cancelRequests(server);
        call.get();
        elapsed = Clock::now() - begin;
    });
    CHECK(errorKind(result.error()) == ErrorKind::NoEndpoint);
    CHECK(elapsed < Milliseconds(1000));
}

TEST_CASE("a missing response gives OutcomeUnknown, and a refused connection gives NoEndpoint", "[http]")
{
    ClientServerPair pair([](HttpRequest&& request) {
        return HttpResponse { request.target == "/drop" ? 0U : 200U, {}, {}, {} };
    });
    CHECK(errorKind(pair.call({ "POST", "/drop", {}, "x" }).error()) == ErrorKind::OutcomeUnknown);
    Result<HttpResponse> refused = ErrorKind::Internal;
    pair.run([&] { refused = pair.client->call({ "127.0.0.1", 1 }, {}, {}); });
    CHECK(errorKind(refused.error()) == ErrorKind::NoEndpoint);
    CHECK(pair.call({ "GET", "/", {}, {} }));
}

} // namespace heatherchute
