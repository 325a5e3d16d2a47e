#include "../../lib/Node/CellLoad.h"

#include <catch2/catch.hpp>

using namespace heatherchute;

namespace {

using Listing = CellReading::Listing;

const TimePoint start { Seconds(100) };

platform::StorePage makePage(const std::string& key, bool hasMore)
{
    return { { { key, "value", 1, 0, false } }, 7, hasMore, 100 };
}

/// Lets time pass in a load, in ticks as the core makes them.
void pass(LoadDeadline& deadline, TimePoint& now, Milliseconds time, bool isLeaseConfirmed)
{
    for (const auto end = now + time; now < end;) {
        now += Milliseconds(20);
        deadline.tick(isLeaseConfirmed, now);
    }
}

/// Lets a load fail, and returns how long it was given.
Duration fail(LoadDeadline& deadline, TimePoint& now)
{
    const auto began = now;
    deadline.begin(now);
    while (!deadline.isOverdue() && now < began + Seconds(120))
        pass(deadline, now, Milliseconds(20), true);
    return now - began;
}

} // namespace

TEST_CASE("An interrupted reading of the cell resumes behind the last complete page")
{
    // Owners on slow links once read everything again after each timeout, and never finished.
    CellReading reading;
    reading.begin(9);
    reading.addPage(Listing::Progress, makePage("heatherchute/progress/a", true));
    reading.addPage(Listing::Submissions, makePage("heatherchute/job/a", false));
    reading.begin(9);
    CHECK(reading.positionOf(Listing::Progress) == "heatherchute/progress/a");
    CHECK(reading.isComplete(Listing::Submissions));
    CHECK_FALSE(reading.isComplete());
    reading.addPage(Listing::Progress, makePage("heatherchute/progress/b", false));
    reading.addPage(Listing::LogRecords, { {}, 7, false, 50 });
    CHECK(reading.isComplete());
    CHECK(reading.state().size() == 3);
    CHECK(reading.bytes() == 350);
}

TEST_CASE("Pages of a cell that has changed since are not used")
{
    CellReading reading;
    reading.begin(9);
    reading.addPage(Listing::LogRecords, makePage("heatherchute/log/1", false));
    reading.begin(10);
    CHECK(reading.positionOf(Listing::LogRecords).empty());
    CHECK_FALSE(reading.isComplete(Listing::LogRecords));
    CHECK(reading.records().empty());
    CHECK(reading.headRevision() == 10);
    // A cell without a head has no pages yet either.
    CellReading empty;
    empty.begin(0);
    CHECK(empty.headRevision() == 0);
}

TEST_CASE("A load that does not end gives up the cell, later each time, until one succeeds")
{
    auto now = start;
    LoadDeadline deadline;
    const auto first = fail(deadline, now);
    CHECK(first < Seconds(6));
    const auto firstPause = deadline.onFailed();
    const auto second = fail(deadline, now);
    CHECK(second > first + Seconds(1));
    CHECK(deadline.onFailed() > firstPause);
    for (int i = 0; i < 20; ++i) {
        CHECK(fail(deadline, now) < Seconds(60));
        CHECK(deadline.onFailed() < Seconds(60));
    }
    deadline.onLoaded();
    CHECK(fail(deadline, now) == first);
}

TEST_CASE("A load that makes progress is given up later than one that does not")
{
    // With a slow link everywhere, every daemon once gave up just before its last page.
    auto now = start;
    LoadDeadline deadline;
    deadline.begin(now);
    for (int page = 0; page < 3; ++page) {
        pass(deadline, now, Seconds(3), true);
        deadline.onPage();
    }
    CHECK_FALSE(deadline.isOverdue());
    // A trickle of pages is not waited for without a bound.
    for (int page = 0; page < 20; ++page) {
        pass(deadline, now, Seconds(3), true);
        deadline.onPage();
    }
    CHECK(deadline.isOverdue());
}

TEST_CASE("A load is not given up for the time in which the store is away")
{
    // The lease lapses then, so that other daemons can claim the cell.
    auto now = start;
    LoadDeadline deadline;
    deadline.begin(now);
    pass(deadline, now, Seconds(60), false);
    CHECK_FALSE(deadline.isOverdue());
    // Nor for a pause of the process.
    now += Seconds(60);
    deadline.tick(true, now);
    CHECK_FALSE(deadline.isOverdue());
    pass(deadline, now, Seconds(10), true);
    CHECK(deadline.isOverdue());
}

TEST_CASE("Daemons with little capacity claim later, and give the cell to better ones")
{
    // A daemon with 0.3 of a core and 10 Mbit/s once won the claim before one with 0.5 and 200 Mbit/s.
    const DaemonCapacity large { 0.5, 200 };
    const DaemonCapacity slowLink { 0.3, 10 };
    const DaemonCapacity small { 0.09, 10 };
    const DaemonCapacity unknownLink { 0.5, 0 };
    const auto best = suitabilityOf(large);
    CHECK(claimDelayOf(large, best) == Milliseconds(0));
    CHECK(claimDelayOf(unknownLink, best) == Milliseconds(0));
    CHECK(claimDelayOf(slowLink, best) >= Milliseconds(300));
    CHECK(claimDelayOf(small, best) > claimDelayOf(slowLink, best));
    // Where no daemon has more, no claim is delayed for a better one.
    CHECK(claimDelayOf(slowLink, suitabilityOf(slowLink)) == Milliseconds(0));
    CHECK(claimDelayOf(small, suitabilityOf(slowLink)) > Milliseconds(0));
    CHECK(claimDelayOf(small, 0) == Milliseconds(0));
    CHECK(isBetterOwner(large, slowLink, false));
    CHECK_FALSE(isBetterOwner(slowLink, large, true));
    // Daemons that differ little keep the cell where it is, unless its owner cannot keep up.
    const DaemonCapacity medium { 0.35, 200 };
    CHECK_FALSE(isBetterOwner(large, medium, false));
    CHECK(isBetterOwner(large, medium, true));
    CHECK_FALSE(isBetterOwner(large, large, true));
}

TEST_CASE("An event loop counts as late only if it stays late")
{
    constexpr Milliseconds interval { 20 };
    LoopDelayMonitor monitor(interval);
    auto now = start;
    const auto tick = [&](Milliseconds time, int count) {
        for (int i = 0; i < count; ++i)
            monitor.onTick(now += time);
    };
    tick(interval, 100);
    tick(Seconds(10), 1);
    tick(interval, 1);
    CHECK_FALSE(monitor.isLate());
    tick(Milliseconds(250), 12);
    CHECK(monitor.isLate());
    tick(interval, 1);
    CHECK_FALSE(monitor.isLate());
}
