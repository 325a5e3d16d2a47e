#include "heatherchute/AdviceLanes.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace heatherchute;
using namespace heatherchute::cell;

static const TimePoint start(Seconds(100));

TEST_CASE("requests are spread over the daemons and deferred while all are busy for too long", "[advice]")
{
    AdviceLanes lanes;
    CHECK_FALSE(lanes.acquire(Milliseconds(10), start));
    lanes.setDaemons({ 7, 8 });
    CHECK(lanes.acquire(Milliseconds(100), start) == 7);
    CHECK(lanes.acquire(Milliseconds(100), start) == 8);
    // Both daemons are busy for 100 ms; another request waits for at most 400 ms.
    for (int i = 0; i < 8; ++i)
        CHECK(lanes.acquire(Milliseconds(100), start));
    CHECK_FALSE(lanes.canAcquire(Milliseconds(1), start));
    CHECK(lanes.canAcquire(Milliseconds(1), start + Milliseconds(100)));
}

TEST_CASE("long requests use only every other daemon", "[advice]")
{
    AdviceLanes lanes;
    lanes.setDaemons({ 7, 8 });
    CHECK(lanes.acquire(Milliseconds(900), start) == 7);
    CHECK_FALSE(lanes.acquire(Milliseconds(900), start));
    CHECK(lanes.acquire(Milliseconds(10), start) == 8);
    // The daemon is idle once its last pending request has completed.
    lanes.release(7, Milliseconds(0), start + Milliseconds(200));
    CHECK(lanes.acquire(Milliseconds(900), start + Milliseconds(200)) == 7);
}

TEST_CASE("a removed daemon gets no requests, and its responses have no effect", "[advice]")
{
    AdviceLanes lanes;
    lanes.setDaemons({ 7, 8, 9 });
    CHECK(lanes.acquire(Milliseconds(300), start) == 7);
    lanes.setDaemons({ 8, 9 });
    lanes.release(7, Milliseconds(0), start);
    CHECK(lanes.acquire(Milliseconds(300), start) == 8);
    CHECK_FALSE(lanes.acquire(Milliseconds(500), start) == 7);
}

TEST_CASE("a daemon gets no request that would wait too long by its own account", "[advice]")
{
    AdviceLanes lanes;
    lanes.setDaemons({ 7 });
    CHECK(lanes.acquire(Milliseconds(100), start) == 7);
    lanes.release(7, Milliseconds(1000), start);
    CHECK_FALSE(lanes.canAcquire(Milliseconds(100), start + Milliseconds(599)));
    CHECK(lanes.acquire(Milliseconds(100), start + Milliseconds(600)) == 7);
    // So do responses to requests of an earlier owner.
    lanes.onLateResponse(7, Milliseconds(2000), start + Milliseconds(700));
    CHECK_FALSE(lanes.canAcquire(Milliseconds(100), start + Milliseconds(2299)));
    CHECK(lanes.canAcquire(Milliseconds(100), start + Milliseconds(2300)));
}

// Guards against owners that prefer the daemon with the longest queue, as no responses come from there.
TEST_CASE("a daemon whose responses are overdue is used less and less, until it responds", "[advice]")
{
    AdviceLanes lanes;
    lanes.setDaemons({ 7, 8 });
    auto now = start;
    Milliseconds longestPause(0);
    for (int i = 0; i < 8; ++i) {
        REQUIRE(lanes.acquire(Milliseconds(900), now) == 7);
        now += Milliseconds(2800);
        lanes.onOverdue(7, now);
        CHECK_FALSE(lanes.canAcquire(Milliseconds(900), now));
        // The other daemon takes requests meanwhile.
        CHECK(lanes.acquire(Milliseconds(10), now) == 8);
        lanes.release(8, Milliseconds(0), now);
        const auto overdueAt = now;
        while (!lanes.canAcquire(Milliseconds(900), now))
            now += Milliseconds(10);
        const auto pause = std::chrono::duration_cast<Milliseconds>(now - overdueAt);
        CHECK(pause >= longestPause);
        longestPause = pause;
    }
    CHECK(longestPause >= Milliseconds(4000));
    CHECK(longestPause <= Milliseconds(10'000));
    REQUIRE(lanes.acquire(Milliseconds(900), now) == 7);
    lanes.onOverdue(7, now);
    lanes.onLateResponse(7, Milliseconds(0), now);
    CHECK(lanes.acquire(Milliseconds(900), now) == 7);
}

TEST_CASE("no request waits longer than the limit", "[advice]")
{
    CHECK(rc::check("wait of each request", [] {
        const auto count = *rc::gen::inRange(1, 6);
        std::vector<std::uint64_t> daemons;
        for (int i = 0; i < count; ++i)
            daemons.push_back(10 + static_cast<std::uint64_t>(i));
        AdviceLanes lanes;
        lanes.setDaemons(daemons);
        // Reference model: when the service has processed the requests of each daemon.
        std::map<std::uint64_t, TimePoint> busyUntil;
        auto now = start;
        for (int i = 0; i < 200; ++i) {
            now += Milliseconds(*rc::gen::inRange(0, 60));
            const Milliseconds cost(*rc::gen::inRange(1, 900));
            const auto daemon = lanes.acquire(cost, now);
            if (!daemon) {
                for (std::size_t lane = 0; lane < daemons.size(); ++lane)
                    RC_ASSERT(busyUntil[daemons[lane]] > now + Milliseconds(400) || (lane % 2 == 1 && cost > Milliseconds(150)));
                continue;
            }
            RC_ASSERT(busyUntil[*daemon] <= now + Milliseconds(400));
            busyUntil[*daemon] = std::max(busyUntil[*daemon], now) + cost;
        }
    }));
}
