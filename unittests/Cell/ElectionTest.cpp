#include "heatherchute/Election.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

ElectionDesk makeElection(const std::string& name)
{
    ElectionSettings settings;
    settings.daemon = name;
    return { settings, 7 };
}

template <typename Action>
std::optional<Action> findAction(const std::vector<ElectionAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* const found = std::get_if<Action>(&action))
            return *found;
    }
    return std::nullopt;
}

/// Advances the time until a claim is issued, by at most `timeout`.
std::optional<ClaimCell> awaitClaim(ElectionDesk& election, TimePoint& now, Milliseconds timeout)
{
    const auto end = now + timeout;
    while (now < end) {
        election.tick(now);
        if (const auto claim = findAction<ClaimCell>(election.takeActions()))
            return claim;
        now += Milliseconds(10);
    }
    return std::nullopt;
}

OwnerRecord makeRecord(const std::string& daemon, std::uint64_t revision)
{
    return { daemon, "nonce-of-" + daemon, "127.0.0.1:1", 5, revision };
}

const TimePoint start { Seconds(100) };

} // namespace

TEST_CASE("A cell without an owner is claimed, an owned cell is not")
{
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(makeRecord("b", 4), now);
    CHECK_FALSE(awaitClaim(election, now, Milliseconds(3000)));
    election.onRecord(std::nullopt, now);
    // The result of the latest read counts: the record that was read before does not prevent a claim.
    const auto claim = awaitClaim(election, now, Milliseconds(500));
    REQUIRE(claim);
    CHECK(claim->expected == 0);
}

TEST_CASE("A restarted owner replaces its earlier record without delay")
{
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(makeRecord("a", 9), now);
    const auto claim = awaitClaim(election, now, Milliseconds(20));
    REQUIRE(claim);
    CHECK(claim->expected == 9);
}

TEST_CASE("Ownership is unconfirmed without renewals and confirmed by the next one")
{
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(election, now, Milliseconds(500));
    REQUIRE(claim);
    election.onClaim(claim->nonce, ClaimOutcome::Won, 77, 12, now, now);
    CHECK(findAction<OwnershipBegan>(election.takeActions())->fencingToken == 12);
    CHECK(election.tenure() == Tenure::Owner);
    now += Milliseconds(1500);
    election.tick(now);
    CHECK(election.tenure() == Tenure::Unconfirmed);
    CHECK(election.isOwner());
    election.onRenewal(77, RenewalOutcome::Renewed, now, now);
    CHECK(election.tenure() == Tenure::Owner);
    election.onRenewal(77, RenewalOutcome::Ended, now, now);
    CHECK(findAction<OwnershipEnded>(election.takeActions()));
    CHECK_FALSE(election.isOwner());
}

TEST_CASE("A record older than the claim does not end the ownership, a newer one does")
{
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(election, now, Milliseconds(500));
    REQUIRE(claim);
    election.onClaim(claim->nonce, ClaimOutcome::Won, 77, 12, now, now);
    election.onRecord(makeRecord("b", 4), now);
    CHECK(election.isOwner());
    election.onRecord(makeRecord("b", 40), now);
    CHECK_FALSE(election.isOwner());
}

TEST_CASE("Stepping down releases the lease and defers further claims")
{
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(election, now, Milliseconds(500));
    REQUIRE(claim);
    election.onClaim(claim->nonce, ClaimOutcome::Won, 77, 12, now, now);
    election.stepDown("stop", now, now + Seconds(10));
    CHECK(findAction<ReleaseClaim>(election.takeActions())->lease == 77);
    election.onRecord(std::nullopt, now);
    CHECK_FALSE(awaitClaim(election, now, Milliseconds(9000)));
    CHECK(awaitClaim(election, now, Milliseconds(2000)));
}

TEST_CASE("An owner whose connection was closed is replaced soon, unless it responds")
{
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(makeRecord("b", 4), now);
    election.suspectOwner(now);
    election.trustOwner();
    CHECK_FALSE(awaitClaim(election, now, Milliseconds(1000)));
    election.suspectOwner(now);
    const auto claim = awaitClaim(election, now, Milliseconds(500));
    REQUIRE(claim);
    CHECK(claim->expected == 4);
    CHECK(claim->replacedLease == 5);
    election.onClaim(claim->nonce, ClaimOutcome::Lost, 6, 0, now, now);
    election.onRecord(makeRecord("c", 9), now);
    // A daemon that alone has lost the connection to the owners does not depose one after another.
    election.suspectOwner(now);
    CHECK_FALSE(awaitClaim(election, now, Milliseconds(2000)));
}

TEST_CASE("A daemon makes no claim before the time to which it has deferred its claims")
{
    auto now = start;
    auto election = makeElection("a");
    election.abstain(now + Milliseconds(700));
    election.onRecord(std::nullopt, now);
    CHECK_FALSE(awaitClaim(election, now, Milliseconds(600)));
    CHECK(awaitClaim(election, now, Milliseconds(400)));
}

// Guards against a successor that takes runs for lost while the VM's lease holds: its predecessor was cut off from
// it just after a renewal, and extends leases until that renewal is over.
TEST_CASE("A successor counts with its predecessor until the predecessor's last renewal is over")
{
    auto now = start;
    auto predecessor = makeElection("b");
    predecessor.onRecord(std::nullopt, now);
    const auto first = awaitClaim(predecessor, now, Milliseconds(500));
    REQUIRE(first);
    predecessor.onClaim(first->nonce, ClaimOutcome::Won, 5, 4, now, now);
    auto successor = makeElection("a");
    successor.onRecord(makeRecord("b", 4), now);
    // The store renews the lease, and from then on the predecessor is cut off.
    predecessor.onRenewal(5, RenewalOutcome::Renewed, now, now);
    successor.suspectOwner(now);
    const auto claim = awaitClaim(successor, now, Milliseconds(500));
    REQUIRE(claim);
    successor.onClaim(claim->nonce, ClaimOutcome::Won, 6, 12, now, now);
    while (predecessor.tenure() == Tenure::Owner) {
        CHECK(now < successor.predecessorsEnd());
        now += Milliseconds(10);
        predecessor.tick(now);
    }
}

// Guards against an owner that goes on by its lease although another claim has replaced its record: a lease that is
// not revoked can be renewed for ever.
TEST_CASE("A renewed lease confirms the ownership only with the owner's own record")
{
    constexpr std::uint64_t token = 12;
    CHECK(confirmRenewal(RenewalOutcome::Renewed, token, token) == RenewalOutcome::Renewed);
    CHECK(confirmRenewal(RenewalOutcome::Renewed, 40, token) == RenewalOutcome::Replaced);
    CHECK(confirmRenewal(RenewalOutcome::Renewed, 0, token) == RenewalOutcome::Replaced);
    CHECK(confirmRenewal(RenewalOutcome::Renewed, std::nullopt, token) == RenewalOutcome::Unknown);
    CHECK(confirmRenewal(RenewalOutcome::Ended, std::nullopt, token) == RenewalOutcome::Ended);
    auto now = start;
    auto election = makeElection("a");
    election.onRecord(std::nullopt, now);
    const auto claim = awaitClaim(election, now, Milliseconds(500));
    REQUIRE(claim);
    election.onClaim(claim->nonce, ClaimOutcome::Won, 77, token, now, now);
    election.onRenewal(77, RenewalOutcome::Replaced, now, now);
    CHECK_FALSE(election.isOwner());
}
