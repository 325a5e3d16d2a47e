#include "heatherchute/Membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace heatherchute {

static Hello helloOf(const std::string& name, const std::string& boot, std::uint16_t port)
{
    return { protocolVersion, name, boot, "d", "127.0.0.1:" + std::to_string(port) };
}

TEST_CASE("seeds are dialled, and not twice at once", "[membership]")
{
    Membership membership(helloOf("a", "1", 1), { { "127.0.0.1", 2 } });
    const TimePoint start(Seconds(100));
    REQUIRE(membership.tick(start).dials.size() == 1);
    membership.onDialled({ "127.0.0.1", 2 }, 5);
    CHECK(membership.tick(start + Milliseconds(500)).dials.empty());
    membership.onClosed(5);
    CHECK(membership.tick(start + Seconds(5)).dials.size() == 1);
}

TEST_CASE("silence first costs the link, then the life", "[membership]")
{
    Membership membership(helloOf("a", "1", 1), {});
    const TimePoint start(Seconds(100));
    CHECK(membership.onHello(7, false, helloOf("b", "1", 2), start) == 0);
    CHECK(membership.tick(start + Milliseconds(100)).changed);
    const auto suspected = membership.tick(start + Milliseconds(2600));
    CHECK(suspected.drops == std::vector<LinkNumber> { 7 });
    CHECK(membership.find("b")->state == MemberState::Suspect);
    CHECK(membership.domainPeers().size() == 2);
    CHECK(membership.tick(start + Milliseconds(5100)).changed);
    CHECK(membership.find("b")->state == MemberState::Dead);
    CHECK(membership.domainPeers() == std::vector<std::string> { "a" });
    membership.onHello(8, true, helloOf("b", "1", 2), start + Seconds(6));
    CHECK(membership.find("b")->state == MemberState::Alive);
}

TEST_CASE("of two links one stays, the same on both sides", "[membership]")
{
    const TimePoint now(Seconds(100));
    Membership a(helloOf("a", "1", 1), {});
    Membership b(helloOf("b", "1", 2), {});
    // Link 1 was dialled by a, link 2 by b.
    CHECK(a.onHello(2, false, helloOf("b", "1", 2), now) == 0);
    CHECK(a.onHello(1, true, helloOf("b", "1", 2), now) == 2);
    CHECK(b.onHello(1, false, helloOf("a", "1", 1), now) == 0);
    CHECK(b.onHello(2, true, helloOf("a", "1", 1), now) == 2);
    CHECK(a.find("b")->link == 1);
    CHECK(b.find("a")->link == 1);
}

TEST_CASE("a new process under an old name replaces it at once", "[membership]")
{
    const TimePoint now(Seconds(100));
    Membership membership(helloOf("a", "1", 1), {});
    membership.onHello(3, true, helloOf("b", "1", 2), now);
    CHECK(membership.onHello(4, false, helloOf("b", "2", 2), now) == 3);
    CHECK(membership.find("b")->hello.boot == "2");
    CHECK(membership.find("b")->link == 4);
}

TEST_CASE("who leaves owns nothing new", "[membership]")
{
    const TimePoint now(Seconds(100));
    Membership membership(helloOf("a", "1", 1), {});
    membership.onHello(3, true, helloOf("b", "1", 2), now);
    Heartbeat leaving;
    leaving.leaving = true;
    membership.onHeartbeat(3, leaving, now);
    CHECK(membership.domainPeers() == std::vector<std::string> { "a" });
    membership.setLeaving();
    CHECK(membership.domainPeers().empty());
}

TEST_CASE("a large fleet's far heartbeats are rarer, and silence is judged by that", "[membership]")
{
    const TimePoint start(Seconds(100));
    Membership membership(helloOf("a", "1", 1), {});
    for (std::uint16_t i = 0; i < 25; ++i) {
        auto hello = helloOf("b" + std::to_string(i), "1", static_cast<std::uint16_t>(10 + i));
        hello.failureDomain = i == 0 ? "d" : "far";
        membership.onHello(100U + i, true, hello, start);
    }
    int near = 0;
    int far = 0;
    for (int second = 0; second < 8; ++second) {
        CHECK(membership.tick(start + Seconds(second)).heartbeatDue);
        near += membership.isHeartbeatDue(*membership.find("b0")) ? 1 : 0;
        far += membership.isHeartbeatDue(*membership.find("b1")) ? 1 : 0;
    }
    CHECK(near == 8);
    CHECK(far == 2);
    CHECK(membership.find("b0")->state == MemberState::Dead);
    CHECK(membership.find("b1")->state == MemberState::Alive);
    membership.tick(start + Seconds(21));
    CHECK(membership.find("b1")->state == MemberState::Dead);
}

} // namespace heatherchute
