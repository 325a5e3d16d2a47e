#include "heatherchute/AdviceLanes.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace heatherchute;
using namespace heatherchute::cell;

static const TimePoint start(Seconds(100));

TEST_CASE("asks are spread over the daemons, and wait once all are busy for long", "[advice]")
{
    AdviceLanes lanes;
    CHECK_FALSE(lanes.take(Milliseconds(10), start));
    lanes.setDaemons({ 7, 8 });
    CHECK(lanes.take(Milliseconds(100), start) == 7);
    CHECK(lanes.take(Milliseconds(100), start) == 8);
    // Both have 100 ms before them; 400 ms is the most that another ask waits.
    for (int i = 0; i < 8; ++i)
        CHECK(lanes.take(Milliseconds(100), start));
    CHECK_FALSE(lanes.canTake(Milliseconds(1), start));
    CHECK(lanes.canTake(Milliseconds(1), start + Milliseconds(100)));
}

TEST_CASE("long calls leave every other daemon to the short ones", "[advice]")
{
    AdviceLanes lanes;
    lanes.setDaemons({ 7, 8 });
    CHECK(lanes.take(Milliseconds(900), start) == 7);
    CHECK_FALSE(lanes.take(Milliseconds(900), start));
    CHECK(lanes.take(Milliseconds(10), start) == 8);
    // The last answer says that nothing waits there any more.
    lanes.giveBack(7, start + Milliseconds(200));
    CHECK(lanes.take(Milliseconds(900), start + Milliseconds(200)) == 7);
}

TEST_CASE("a daemon that is gone is not asked, and its answers change nothing", "[advice]")
{
    AdviceLanes lanes;
    lanes.setDaemons({ 7, 8, 9 });
    CHECK(lanes.take(Milliseconds(300), start) == 7);
    lanes.setDaemons({ 8, 9 });
    lanes.giveBack(7, start);
    CHECK(lanes.take(Milliseconds(300), start) == 8);
    CHECK_FALSE(lanes.take(Milliseconds(500), start) == 7);
}

TEST_CASE("no daemon gets more than it would be through with in time", "[advice]")
{
    CHECK(rc::check("work before each ask", [] {
        const auto count = *rc::gen::inRange(1, 6);
        std::vector<std::uint64_t> daemons;
        for (int i = 0; i < count; ++i)
            daemons.push_back(10 + static_cast<std::uint64_t>(i));
        AdviceLanes lanes;
        lanes.setDaemons(daemons);
        // The naive model: when the service is through with what each daemon has asked.
        std::map<std::uint64_t, TimePoint> until;
        auto now = start;
        for (int i = 0; i < 200; ++i) {
            now += Milliseconds(*rc::gen::inRange(0, 60));
            const Milliseconds cost(*rc::gen::inRange(1, 900));
            const auto daemon = lanes.take(cost, now);
            if (!daemon) {
                for (std::size_t lane = 0; lane < daemons.size(); ++lane)
                    RC_ASSERT(until[daemons[lane]] > now + Milliseconds(400) || (lane % 2 == 1 && cost > Milliseconds(150)));
                continue;
            }
            RC_ASSERT(until[*daemon] <= now + Milliseconds(400));
            until[*daemon] = std::max(until[*daemon], now) + cost;
        }
    }));
}
