#include "heatherchute/Http.h"

#include <catch2/catch.hpp>
#include <future>

namespace heatherchute {

TEST_CASE("targets are split and decoded", "[http]")
{
    const auto target = parseTarget("/v1//jobs/a%2Fb%zz?wait=3&x=%41&flag");
    CHECK(target.path == std::vector<std::string> { "v1", "jobs", "a/b%zz" });
    CHECK(findHeader(target.query, "wait") == "3");
    CHECK(findHeader(target.query, "x") == "A");
    CHECK(target.query.size() == 3);
}

TEST_CASE("addresses are IP numbers with ports", "[http]")
{
    CHECK(addressText(parseAddress("10.1.2.3:80").value()) == "10.1.2.3:80");
    for (const auto* const text : { "", "10.1.2.3", "host:80", "10.1.2.3:", "10.1.2.3:99999", "10.1.2.3:8x" })
        CHECK_FALSE(parseAddress(text));
}

TEST_CASE("an error's answer says what became of the work", "[http]")
{
    const auto response = errorResponse(ErrorKind::Overloaded, "why");
    CHECK(response.status == 503);
    CHECK(findHeader(response.headers, "Retry-After") == "1");
    const auto body = Json::parse(response.body);
    CHECK(body["outcome"] == "not run");
    CHECK(body["detail"] == "why");
}

namespace {

    /// A server and a client on one duty each.
    struct Pair {
        explicit Pair(HttpServer::Handler handler)
            : server(serverDuty, settings(), std::move(handler))
        {
        }

        ~Pair()
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
            clientDuty.spawn([&] {
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

        Duty serverDuty { "server" };
        Duty clientDuty { "client" };
        HttpServer server;
        std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>(clientDuty);
    };

} // namespace

TEST_CASE("requests arrive whole and answers come back whole", "[http]")
{
    Pair pair([](HttpRequest&& request) {
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

TEST_CASE("too large a body is refused, not truncated", "[http]")
{
    Pair pair([](HttpRequest&&) { return HttpResponse {}; });
    const auto result = pair.call({ "POST", "/", {}, std::string(5000, 'x') });
    REQUIRE(result);
    CHECK(result.value().status == 413);
}

TEST_CASE("an answer that does not come is unknown, and no port is not run", "[http]")
{
    Pair pair([](HttpRequest&& request) {
        return HttpResponse { request.target == "/drop" ? 0U : 200U, {}, {}, {} };
    });
    CHECK(errorKind(pair.call({ "POST", "/drop", {}, "x" }).error()) == ErrorKind::OutcomeUnknown);
    Result<HttpResponse> refused = ErrorKind::Internal;
    pair.run([&] { refused = pair.client->call({ "127.0.0.1", 1 }, {}, {}); });
    CHECK(errorKind(refused.error()) == ErrorKind::NoEndpoint);
    CHECK(pair.call({ "GET", "/", {}, {} }));
}

} // namespace heatherchute
