#include "heatherchute/Wire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace heatherchute {

TEST_CASE("messages come back as they went", "[wire]")
{
    Heartbeat heartbeat;
    heartbeat.sequence = 7;
    heartbeat.homes = { { "a.0", 3 } };
    heartbeat.free = { 1.5, 1000, 2 };
    const auto decoded = decodeMessage(encodeMessage(heartbeat));
    REQUIRE(decoded);
    const auto& typed = std::get<Heartbeat>(decoded.value());
    CHECK(typed.sequence == 7);
    CHECK(typed.homes.front().epoch == 3);
    CHECK(typed.free == heartbeat.free);
}

TEST_CASE("requests and answers keep their bytes", "[wire]")
{
    CHECK(rc::check("bodies of any bytes", [](const std::string& body) {
        HttpRequest request { "POST", "/x?y=1", { { "A", "b" }, { "C", "" } }, body };
        CallAsk ask;
        packRequest(request, ask);
        auto decoded = decodeMessage(encodeMessage(ask));
        RC_ASSERT(bool(decoded));
        const auto back = unpackRequest(std::move(std::get<CallAsk>(decoded.value())));
        RC_ASSERT(back.body == body);
        RC_ASSERT(back.target == request.target);
        RC_ASSERT(back.headers.size() == 2u);
        RC_ASSERT(back.headers[1].name == "C");
    }));
}

TEST_CASE("bytes that are no message are refused", "[wire]")
{
    CHECK(rc::check("garbage", [](const std::string& bytes) {
        const auto decoded = decodeMessage(bytes);
        RC_ASSERT(!decoded);
    }));
    CHECK(rc::check("truncated messages", [] {
        const auto bytes = encodeMessage(FleetUpdate { { 4, "{}", { { "k", "t", "d" } }, { "vm" }, "c" } });
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!decodeMessage(std::string_view(bytes).substr(0, size)));
    }));
    CHECK(rc::check("changed bytes never crash", [] {
        auto bytes = encodeMessage(ReserveAsk { 1, "a.0", 2, "a.0.1", { 1, 2, 3 }, 4, true, { "vm" } });
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        (void)decodeMessage(bytes);
    }));
}

} // namespace heatherchute
