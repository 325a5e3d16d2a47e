#include "../../lib/Node/OwnerContact.h"

#include <catch2/catch.hpp>
#include <set>

using namespace heatherchute;

namespace {

const TimePoint start { Seconds(100) };

cell::OwnerRecord makeRecord(std::uint64_t revision, const std::string& address)
{
    return { "daemon", "nonce", address, 5, revision };
}

} // namespace

TEST_CASE("Callers are told to come back when a successor is expected, and not all at once")
{
    // All were told the same three seconds, however long the cell had been without an owner.
    std::set<std::int64_t> times;
    for (int i = 0; i < 50; ++i) {
        const auto soon = retryAfterAbsence(Milliseconds(1600), "job" + std::to_string(i));
        CHECK(soon >= Seconds(2));
        CHECK(soon <= Seconds(3));
        times.insert(soon.count());
        CHECK(retryAfterAbsence(Seconds(40), "job" + std::to_string(i)) <= Seconds(6));
        CHECK(retryAfterAbsence(Milliseconds(0), "job") >= Seconds(1));
    }
    CHECK(times.size() > 1);
}

TEST_CASE("A daemon without the store learns the owner's address from others")
{
    OwnerDirectory directory;
    CHECK(directory.address().empty());
    directory.onRecord(makeRecord(4, "10.0.0.1:7"));
    directory.onHeard(3, "10.0.0.9:7");
    CHECK(directory.address() == "10.0.0.1:7");
    directory.onHeard(8, "10.0.0.2:7");
    CHECK(directory.address() == "10.0.0.2:7");
    // A daemon that lags repeats an older record.
    directory.onHeard(4, "10.0.0.1:7");
    CHECK(directory.address() == "10.0.0.2:7");
    directory.onRecord(makeRecord(12, "10.0.0.3:7"));
    CHECK(directory.address() == "10.0.0.3:7");
    directory.onRecord(std::nullopt);
    CHECK(directory.address().empty());
}

TEST_CASE("Requests go to the next owner as soon as it is known, and only its answer counts")
{
    constexpr LinkId earlier = 4;
    constexpr LinkId next = 9;
    const UnansweredRequest request { start, start + Milliseconds(2850), false };
    OwnerDispatch dispatch;
    CHECK(isDue(request, dispatch, earlier, start));
    dispatch = { true, earlier };
    CHECK_FALSE(isDue(request, dispatch, earlier, start));
    CHECK(isAnswered(dispatch, earlier));
    // The earlier owner is silent, and its link has not been dropped yet.
    CHECK(isDue(request, dispatch, next, start));
    dispatch = { true, next };
    // "Not accepted" of the earlier owner arrives after its successor got the request.
    CHECK_FALSE(isAnswered(dispatch, earlier));
    CHECK(isAnswered(dispatch, next));
    // This daemon itself has become the owner.
    CHECK(isDue(request, dispatch, 0, start));
}

TEST_CASE("A daemon that was paused sends no request whose caller has gone")
{
    constexpr LinkId owner = 4;
    const UnansweredRequest request { start, start + Milliseconds(2850), false };
    CHECK(isDue(request, {}, owner, start + Milliseconds(2849)));
    CHECK_FALSE(isDue(request, {}, owner, start + Milliseconds(2850)));
    CHECK_FALSE(isDue(request, { true, owner }, owner + 1, start + Seconds(200)));
}

TEST_CASE("Callers at a daemon that is cut off from the owner are sent elsewhere at once")
{
    const UnansweredRequest fresh { start, start + Milliseconds(2850), false };
    const UnansweredRequest sent { start, start + Milliseconds(2850), true };
    const auto soon = start + Milliseconds(100);
    CHECK(expiryOf(fresh, false, soon) == RequestExpiry::Wait);
    CHECK(expiryOf(sent, false, soon) == RequestExpiry::Wait);
    CHECK(expiryOf(fresh, true, soon) == RequestExpiry::NotRun);
    // What an owner may have taken is never said to have not run.
    CHECK(expiryOf(sent, true, soon) == RequestExpiry::Unknown);
}

TEST_CASE("An owner that is cut off with a minority of the daemons leaves rotation")
{
    constexpr std::size_t all = 15;
    constexpr std::size_t ownDomain = 2;
    CHECK(isOwnerIsolated({ false, ownDomain, all }));
    CHECK(isOwnerIsolated({ false, 0, 1 }));
    // The lease holds: no successor can have claimed the cell.
    CHECK_FALSE(isOwnerIsolated({ true, ownDomain, all }));
    // The store is away for everybody, or the only daemon has lost it.
    CHECK_FALSE(isOwnerIsolated({ false, all - 1, all }));
    CHECK_FALSE(isOwnerIsolated({ false, 0, 0 }));
}

TEST_CASE("While the owner is replaced, requests wait for its successor")
{
    const UnansweredRequest fresh { start, start + Milliseconds(2850), false };
    const UnansweredRequest sent { start, start + Milliseconds(2850), true };
    CHECK_FALSE(isCutOffFromOwner(start, start + Milliseconds(1400)));
    CHECK(isCutOffFromOwner(start, start + Milliseconds(1600)));
    CHECK(expiryOf(fresh, false, start + Milliseconds(1400)) == RequestExpiry::Wait);
    CHECK(expiryOf(fresh, false, start + Milliseconds(1600)) == RequestExpiry::NotRun);
    CHECK(expiryOf(sent, false, start + Milliseconds(1600)) == RequestExpiry::Wait);
    CHECK(expiryOf(sent, false, start + Milliseconds(2850)) == RequestExpiry::Unknown);
}
