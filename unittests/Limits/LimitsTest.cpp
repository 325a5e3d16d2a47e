#include "heatherchute/Limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace heatherchute {

TEST_CASE("the sum of quota allocations never exceeds the quota", "[limits]")
{
    CHECK(rc::check("the sum does not exceed a constant quota", [] {
        LimitRecord record;
        const auto limit = *rc::gen::inRange<std::uint32_t>(1, 50);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange<std::uint32_t>(0, 60)));
        for (const auto& [holder, wanted] : steps) {
            const auto allocated = applyAllotment(record, { "t", "h" + std::to_string(holder), wanted, limit, 1, "c" });
            RC_ASSERT(allocated <= wanted);
            RC_ASSERT(record.total() <= limit);
        }
    }));
}

TEST_CASE("a cap applies only to holders with an older configuration version", "[limits]")
{
    LimitRecord record;
    applyAllotment(record, { "t", "a", 8, 10, 1, "c" });
    record.cap = 5;
    record.capVersion = 2;
    CHECK(applyAllotment(record, { "t", "b", 2, 10, 1, "c" }) == 0);
    CHECK(applyAllotment(record, { "t", "a", 9, 10, 1, "c" }) == 8);
    CHECK(applyAllotment(record, { "t", "a", 3, 10, 1, "c" }) == 3);
    CHECK(applyAllotment(record, { "t", "b", 7, 10, 1, "c" }) == 2);
    CHECK(applyAllotment(record, { "t", "b", 7, 10, 2, "c" }) == 7);
}

/// Applies the changes that `desk` requests to `record` and reports their results to `desk`.
static void settle(LimitDesk& desk, LimitRecord& record, TimePoint now)
{
    for (const auto& change : desk.tick(now))
        desk.onChanged(change, applyAllotment(record, change), now);
}

TEST_CASE("a gang acquires its full quota after one update of the allocation", "[limits]")
{
    LimitDesk desk;
    LimitRecord record;
    desk.setLimits({ { "t", 10 } }, 1);
    const TimePoint start(Seconds(100));
    CHECK(desk.take("t", "h", 4, true) == 0);
    settle(desk, record, start);
    CHECK(desk.take("t", "h", 4, true) == 4);
    // The shortfall is added to the quota in use, not to the allocated quota.
    CHECK(desk.take("t", "h", 6, true) == 0);
    settle(desk, record, start + Seconds(1));
    CHECK(desk.take("t", "h", 6, true) == 6);
}

TEST_CASE("idle quota is released, also after a change with an unknown outcome", "[limits]")
{
    LimitDesk desk;
    LimitRecord record;
    desk.setLimits({ { "t", 10 } }, 1);
    TimePoint now(Seconds(100));
    desk.take("t", "h", 6, false);
    for (const auto& change : desk.tick(now)) {
        // The write takes effect, but its response is lost.
        applyAllotment(record, change);
        desk.onChanged(change, ErrorKind::OutcomeUnknown, now);
    }
    CHECK(record.total() == 9);
    for (int i = 0; i < 20; ++i)
        settle(desk, record, now += Seconds(1));
    CHECK(record.total() == 0);
}

TEST_CASE("a reserve is allocated for store outages and released on shutdown", "[limits]")
{
    LimitDesk desk;
    LimitRecord record;
    desk.setLimits({ { "t", 100 } }, 1);
    desk.setReserve("h", 20);
    TimePoint now(Seconds(100));
    settle(desk, record, now);
    CHECK(desk.take("t", "h", 5, true) == 5);
    desk.give("t", "h", 5);
    desk.setLeaving();
    settle(desk, record, now + Seconds(5));
    CHECK(record.total() == 0);
    CHECK(desk.isSettled());
}

} // namespace heatherchute
