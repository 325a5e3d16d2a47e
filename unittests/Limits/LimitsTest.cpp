#include "heatherchute/Limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace heatherchute {

TEST_CASE("allotments never add up to more than the limit", "[limits]")
{
    CHECK(rc::check("sum stays under the limit while it does not fall", [] {
        LimitRecord record;
        const auto limit = *rc::gen::inRange<std::uint32_t>(1, 50);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange<std::uint32_t>(0, 60)));
        for (const auto& [holder, wanted] : steps) {
            const auto got = applyAllotment(record, { "t", "h" + std::to_string(holder), wanted, limit, 1, "c" });
            RC_ASSERT(got <= wanted);
            RC_ASSERT(record.total() <= limit);
        }
    }));
}

TEST_CASE("a cap binds holders of an older version only", "[limits]")
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

/// Carries out what the desk wants against one stored record.
static void settle(LimitDesk& desk, LimitRecord& record, TimePoint now)
{
    for (const auto& change : desk.tick(now))
        desk.onChanged(change, applyAllotment(record, change), now);
}

TEST_CASE("a gang gets its whole part at the next try", "[limits]")
{
    LimitDesk desk;
    LimitRecord record;
    desk.setLimits({ { "t", 10 } }, 1);
    const TimePoint start(Seconds(100));
    CHECK(desk.take("t", "h", 4, true) == 0);
    settle(desk, record, start);
    CHECK(desk.take("t", "h", 4, true) == 4);
    // What is missing counts from what is in use, not from what is held.
    CHECK(desk.take("t", "h", 6, true) == 0);
    settle(desk, record, start + Seconds(1));
    CHECK(desk.take("t", "h", 6, true) == 6);
}

TEST_CASE("idle parts go back, and an error is looked into", "[limits]")
{
    LimitDesk desk;
    LimitRecord record;
    desk.setLimits({ { "t", 10 } }, 1);
    TimePoint now(Seconds(100));
    desk.take("t", "h", 6, false);
    for (const auto& change : desk.tick(now)) {
        // The write takes effect, its answer is lost.
        applyAllotment(record, change);
        desk.onChanged(change, ErrorKind::OutcomeUnknown, now);
    }
    CHECK(record.total() == 9);
    for (int i = 0; i < 20; ++i)
        settle(desk, record, now += Seconds(1));
    CHECK(record.total() == 0);
}

TEST_CASE("a reserve is kept for outages and given back by who leaves", "[limits]")
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
