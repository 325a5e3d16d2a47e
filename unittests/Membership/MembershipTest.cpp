#include "heatherchute/Membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace heatherchute {

static Hello makeHello(const std::string& name, const std::string& incarnation, std::uint16_t port)
{
    return { protocolVersion, name, incarnation, "d", "127.0.0.1:" + std::to_string(port) };
}

TEST_CASE("seeds are dialled, but not twice concurrently", "[membership]")
{
    Membership membership(makeHello("a", "1", 1), { { "127.0.0.1", 2 } });
    const TimePoint start(Seconds(100));
    REQUIRE(membership.tick(start).dials.size() == 1);
    membership.onDialled({ "127.0.0.1", 2 }, 5);
    CHECK(membership.tick(start + Milliseconds(500)).dials.empty());
    membership.onClosed(5);
    CHECK(membership.tick(start + Seconds(5)).dials.size() == 1);
}

TEST_CASE("a silent member is first suspected and its link dropped, then declared dead", "[membership]")
{
    Membership membership(makeHello("a", "1", 1), {});
    const TimePoint start(Seconds(100));
    CHECK(membership.onHello(7, false, makeHello("b", "1", 2), start) == 0);
    CHECK(membership.tick(start + Milliseconds(100)).changed);
    const auto suspected = membership.tick(start + Milliseconds(2600));
    CHECK(suspected.drops == std::vector<LinkId> { 7 });
    CHECK(membership.find("b")->state == MemberState::Suspect);
    CHECK(membership.domainPeers().size() == 2);
    CHECK(membership.tick(start + Milliseconds(5100)).changed);
    CHECK(membership.find("b")->state == MemberState::Dead);
    CHECK(membership.domainPeers() == std::vector<std::string> { "a" });
    membership.onHello(8, true, makeHello("b", "1", 2), start + Seconds(6));
    CHECK(membership.find("b")->state == MemberState::Alive);
}

TEST_CASE("of two concurrent links, both sides keep the same one", "[membership]")
{
    const TimePoint now(Seconds(100));
    Membership a(makeHello("a", "1", 1), {});
    Membership b(makeHello("b", "1", 2), {});
    // Daemon a dialled link 1, daemon b dialled link 2.
    CHECK(a.onHello(2, false, makeHello("b", "1", 2), now) == 0);
    CHECK(a.onHello(1, true, makeHello("b", "1", 2), now) == 2);
    CHECK(b.onHello(1, false, makeHello("a", "1", 1), now) == 0);
    CHECK(b.onHello(2, true, makeHello("a", "1", 1), now) == 2);
    CHECK(a.find("b")->link == 1);
    CHECK(b.find("a")->link == 1);
}

TEST_CASE("a new incarnation with the same name replaces the old one immediately", "[membership]")
{
    const TimePoint now(Seconds(100));
    Membership membership(makeHello("a", "1", 1), {});
    membership.onHello(3, true, makeHello("b", "1", 2), now);
    CHECK(membership.onHello(4, false, makeHello("b", "2", 2), now) == 3);
    CHECK(membership.find("b")->hello.boot == "2");
    CHECK(membership.find("b")->link == 4);
}

TEST_CASE("a leaving daemon is not among the possible owners", "[membership]")
{
    const TimePoint now(Seconds(100));
    Membership membership(makeHello("a", "1", 1), {});
    membership.onHello(3, true, makeHello("b", "1", 2), now);
    Heartbeat leaving;
    leaving.leaving = true;
    membership.onHeartbeat(3, leaving, now);
    CHECK(membership.domainPeers() == std::vector<std::string> { "a" });
    membership.setLeaving();
    CHECK(membership.domainPeers().empty());
}

TEST_CASE("in a large fleet, heartbeats to other failure domains are less frequent and their timeouts longer", "[membership]")
{
    const TimePoint start(Seconds(100));
    Membership membership(makeHello("a", "1", 1), {});
    for (std::uint16_t i = 0; i < 25; ++i) {
        auto hello = makeHello("b" + std::to_string(i), "1", static_cast<std::uint16_t>(10 + i));
        hello.failureDomain = i == 0 ? "d" : "far";
        membership.onHello(100U + i, true, hello, start);
    }
    int sameDomainHeartbeats = 0;
    int otherDomainHeartbeats = 0;
    for (int second = 0; second < 8; ++second) {
        CHECK(membership.tick(start + Seconds(second)).heartbeatDue);
        sameDomainHeartbeats += membership.isHeartbeatDue(*membership.find("b0")) ? 1 : 0;
        otherDomainHeartbeats += membership.isHeartbeatDue(*membership.find("b1")) ? 1 : 0;
    }
    CHECK(sameDomainHeartbeats == 8);
    CHECK(otherDomainHeartbeats == 2);
    CHECK(membership.find("b0")->state == MemberState::Dead);
    CHECK(membership.find("b1")->state == MemberState::Alive);
    membership.tick(start + Seconds(21));
    CHECK(membership.find("b1")->state == MemberState::Dead);
}

} // namespace heatherchute
