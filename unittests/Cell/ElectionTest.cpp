#include "heatherchute/Election.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

ElectionDesk makeDesk(const std::string& name)
{
    ElectionSettings settings;
    settings.daemon = name;
    return { settings, 7 };
}

template <typename Wanted>
std::optional<Wanted> find(const std::vector<ElectionAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* const wanted = std::get_if<Wanted>(&action))
            return *wanted;
    }
    return std::nullopt;
}

/// Ticks until a claim comes out.
std::optional<ClaimCell> awaitClaim(ElectionDesk& desk, TimePoint& now, Milliseconds longest)
{
    const auto end = now + longest;
    while (now < end) {
        desk.tick(now);
        if (const auto claim = find<ClaimCell>(desk.takeActions()))
            return claim;
        now += Milliseconds(10);
    }
    return std::nullopt;
}

OwnerRecord recordOf(const std::string& daemon, std::uint64_t revision)
{
    return { daemon, "nonce-of-" + daemon, "127.0.0.1:1", 5, revision };
}

const TimePoint start { Seconds(100) };

} // namespace

TEST_CASE("A free cell is claimed, a taken one is not")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.onRecord(recordOf("b", 4), now);
    CHECK_FALSE(awaitClaim(desk, now, Milliseconds(3000)));
    desk.onRecord(std::nullopt, now);
    // The record that was read last decides, so an older answer does not bring the owner back.
    const auto claim = awaitClaim(desk, now, Milliseconds(500));
    REQUIRE(claim);
    CHECK(claim->expected == 0);
}

TEST_CASE("A restarted owner takes its own record over at once")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.onRecord(recordOf("a", 9), now);
    const auto claim = awaitClaim(desk, now, Milliseconds(20));
    REQUIRE(claim);
    CHECK(claim->expected == 9);
}

TEST_CASE("Without renewals the owner becomes doubtful, and owns again when one comes through")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(desk, now, Milliseconds(500));
    REQUIRE(claim);
    desk.onClaim(claim->nonce, ClaimOutcome::Won, 77, 12, now, now);
    CHECK(find<OwnershipBegan>(desk.takeActions())->fencingToken == 12);
    CHECK(desk.tenure() == Tenure::Owner);
    now += Milliseconds(1500);
    desk.tick(now);
    CHECK(desk.tenure() == Tenure::Doubtful);
    CHECK(desk.isOwner());
    desk.onRenewal(77, RenewalOutcome::Renewed, now, now);
    CHECK(desk.tenure() == Tenure::Owner);
    desk.onRenewal(77, RenewalOutcome::Ended, now, now);
    CHECK(find<OwnershipEnded>(desk.takeActions()));
    CHECK_FALSE(desk.isOwner());
}

TEST_CASE("A record read before the claim does not end the ownership, a later one does")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(desk, now, Milliseconds(500));
    REQUIRE(claim);
    desk.onClaim(claim->nonce, ClaimOutcome::Won, 77, 12, now, now);
    desk.onRecord(recordOf("b", 4), now);
    CHECK(desk.isOwner());
    desk.onRecord(recordOf("b", 40), now);
    CHECK_FALSE(desk.isOwner());
}

TEST_CASE("Stepping down releases the lease and claims no more for a while")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(desk, now, Milliseconds(500));
    REQUIRE(claim);
    desk.onClaim(claim->nonce, ClaimOutcome::Won, 77, 12, now, now);
    desk.stepDown("stop", now, now + Seconds(10));
    CHECK(find<ReleaseClaim>(desk.takeActions())->lease == 77);
    desk.onRecord(std::nullopt, now);
    CHECK_FALSE(awaitClaim(desk, now, Milliseconds(9000)));
    CHECK(awaitClaim(desk, now, Milliseconds(2000)));
}

TEST_CASE("An owner whose connection was closed is replaced soon, unless it shows itself")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.onRecord(recordOf("b", 4), now);
    desk.suspectOwner(now);
    desk.trustOwner();
    CHECK_FALSE(awaitClaim(desk, now, Milliseconds(1000)));
    desk.suspectOwner(now);
    const auto claim = awaitClaim(desk, now, Milliseconds(500));
    REQUIRE(claim);
    CHECK(claim->expected == 4);
    CHECK(claim->replacedLease == 5);
    desk.onClaim(claim->nonce, ClaimOutcome::Lost, 6, 0, now, now);
    desk.onRecord(recordOf("c", 9), now);
    // A daemon that alone cannot reach the owners does not depose one after the other.
    desk.suspectOwner(now);
    CHECK_FALSE(awaitClaim(desk, now, Milliseconds(2000)));
}

TEST_CASE("A daemon that abstains leaves the claim to others")
{
    auto now = start;
    auto desk = makeDesk("a");
    desk.abstain(now + Milliseconds(700));
    desk.onRecord(std::nullopt, now);
    CHECK_FALSE(awaitClaim(desk, now, Milliseconds(600)));
    CHECK(awaitClaim(desk, now, Milliseconds(400)));
}
