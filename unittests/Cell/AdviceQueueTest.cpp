#include "heatherchute/AdviceQueue.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace heatherchute;
using namespace heatherchute::cell;

static const TimePoint start(Seconds(100));

/// Returns a queue that has had a response, so its length is known.
static AdviceQueue makeKnownQueue()
{
    AdviceQueue queue;
    queue.onResponse(queue.send(Milliseconds(10), start - Seconds(1)), start);
    REQUIRE(queue.isLengthKnown(start));
    return queue;
}

TEST_CASE("Requests are sent while they would not wait too long", "[advice]")
{
    auto queue = makeKnownQueue();
    CHECK(queue.waitOf(start) == Milliseconds(0));
    const auto first = queue.send(Milliseconds(300), start);
    CHECK(queue.canSend(start));
    const auto second = queue.send(Milliseconds(300), start);
    CHECK(queue.waitOf(start) == Milliseconds(600));
    CHECK_FALSE(queue.canSend(start + Milliseconds(199)));
    CHECK(queue.canSend(start + Milliseconds(200)));
    // Responses that come sooner or later than expected correct the estimate.
    queue.onResponse(first, start + Milliseconds(100));
    CHECK(queue.waitOf(start + Milliseconds(100)) == Milliseconds(300));
    queue.onResponse(second, start + Milliseconds(500));
    CHECK(queue.waitOf(start + Milliseconds(500)) == Milliseconds(0));
}

TEST_CASE("The number of requests is limited", "[advice]")
{
    auto queue = makeKnownQueue();
    std::size_t sent = 0;
    for (; queue.canSend(start) && sent < 100; ++sent)
        queue.send(Milliseconds(1), start);
    CHECK(sent == 32);
    // Nobody asks again before the service has processed one.
    CHECK(queue.waitOf(start) > AdviceQueue::maxWait);
    CHECK(queue.waitOf(start + Milliseconds(1)) <= AdviceQueue::maxWait);
}

TEST_CASE("After a start one probe at a time is sent until a response comes", "[advice]")
{
    AdviceQueue queue;
    CHECK_FALSE(queue.isLengthKnown(start));
    CHECK(queue.canSend(start));
    const auto probe = queue.send(Milliseconds(100), start);
    for (auto now = start; now < start + Milliseconds(1000); now += Milliseconds(10))
        REQUIRE_FALSE(queue.canSend(now));
    CHECK(queue.canSend(start + queue.waitOf(start)));
    const auto second = queue.send(Milliseconds(100), start + Milliseconds(1000));
    CHECK_FALSE(queue.canSend(start + Milliseconds(2900)));
    // The response to the first probe shows that only the second is left.
    queue.onResponse(probe, start + Milliseconds(2900));
    CHECK(queue.isLengthKnown(start + Milliseconds(2900)));
    CHECK(queue.waitOf(start + Milliseconds(2900)) == Milliseconds(100));
    queue.onResponse(second, start + Milliseconds(3000));
    CHECK(queue.waitOf(start + Milliseconds(3000)) == Milliseconds(0));
}

TEST_CASE("A missing, overdue or rejected request makes the length unknown", "[advice]")
{
    auto queue = makeKnownQueue();
    const auto request = queue.send(Milliseconds(100), start);
    auto now = start + Milliseconds(1099);
    SECTION("overdue")
    {
        CHECK(queue.isLengthKnown(now));
        now += Milliseconds(1);
    }
    SECTION("without a response") { queue.onFailure(request, now); }
    SECTION("rejected") { queue.onRejected(request, now); }
    CHECK_FALSE(queue.isLengthKnown(now));
    queue.onResponse(queue.send(Milliseconds(100), now + Seconds(1)), now + Seconds(2));
    CHECK(queue.isLengthKnown(now + Seconds(2)));
    CHECK(queue.canSend(now + Seconds(2)));
}

TEST_CASE("A request that was not sent has no place in the queue", "[advice]")
{
    auto queue = makeKnownQueue();
    queue.onNotSent(queue.send(Milliseconds(600), start));
    CHECK(queue.isLengthKnown(start));
    CHECK(queue.waitOf(start) == Milliseconds(0));
}

TEST_CASE("A request that failed before a later one got its response is not in the queue", "[advice]")
{
    auto queue = makeKnownQueue();
    const auto failed = queue.send(Milliseconds(100), start);
    queue.onResponse(queue.send(Milliseconds(100), start), start + Milliseconds(200));
    queue.onFailure(failed, start + Milliseconds(300));
    CHECK(queue.isLengthKnown(start + Milliseconds(300)));
}

// The service is a queue that outlives the daemon's process. Nothing is told of callers that give up, as the queue must not
// depend on them.
TEST_CASE("While its length is known, no request waits longer than the limit, and it becomes known again", "[advice]")
{
    CHECK(rc::check("wait of each request", [] {
        AdviceQueue queue;
        TimePoint serviceBusyUntil = start + Milliseconds(*rc::gen::inRange(0, 8000));
        std::map<AdviceQueue::RequestId, TimePoint> responses;
        std::optional<TimePoint> unknownSince = start;
        auto now = start;
        for (int i = 0; i < 300; ++i) {
            now += Milliseconds(*rc::gen::inRange(0, 100));
            while (!responses.empty() && responses.begin()->second <= now) {
                queue.onResponse(responses.begin()->first, responses.begin()->second);
                responses.erase(responses.begin());
            }
            if (*rc::gen::inRange(0, 100) == 0) {
                // The process ends, and its requests stay at the service.
                queue = {};
                responses.clear();
                unknownSince = now;
            }
            const bool isKnown = queue.isLengthKnown(now);
            if (isKnown)
                unknownSince.reset();
            else if (!unknownSince)
                unknownSince = now;
            // The queue is empty within 8 s without further requests, and probes come at most 4 s apart.
            RC_ASSERT(!unknownSince || now - *unknownSince < Milliseconds(13'000));
            if (!queue.canSend(now))
                continue;
            RC_ASSERT(!isKnown || serviceBusyUntil <= now + AdviceQueue::maxWait);
            const Milliseconds cost(*rc::gen::inRange(1, 900));
            serviceBusyUntil = std::max(serviceBusyUntil, now) + cost;
            responses.emplace(queue.send(cost, now), serviceBusyUntil);
        }
    }));
}
