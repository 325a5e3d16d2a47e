#include "heatherchute/Routing.h"

#include <catch2/catch.hpp>
#include <set>

namespace heatherchute {

namespace {

    /// A request router with owned VMs, and the actions that it has returned.
    struct Fixture {
        explicit Fixture(int vmCount = 2, std::uint32_t slots = 2)
        {
            std::vector<VmInfo> list;
            for (int i = 0; i < vmCount; ++i) {
                VmInfo info;
                info.id = "vm" + std::to_string(i);
                info.address = info.serviceAddress = "127.0.0.1:" + std::to_string(100 + i);
                info.failureDomain = "d";
                info.slots = slots;
                info.services = { "s" };
                list.push_back(info);
            }
            vms.setVmList(list, now);
            OwnershipActions leaseCalls;
            vms.tick(now, leaseCalls);
            for (const auto& action : leaseCalls) {
                const auto& lease = std::get<LeaseCall>(action);
                OwnerLeaseAnswer response;
                response.granted = true;
                response.boot = "b";
                response.epoch = 1;
                vms.onLease(lease.vm, lease.ask, now, response, now, vmActions);
            }
            limits.setLimits({ { "t", 100 }, { "u", 100 } }, 1);
            limits.adopt("t", "h", 100);
            limits.give("t", "h", 100);
            limits.adopt("u", "h", 100);
            limits.give("u", "h", 100);
            router.setConfiguration({ { "s", { 10 } } }, { { "t", 50 }, { "u", 50 } });
        }

        void arrive(std::uint64_t id, const std::string& team = "t", bool repeatable = false, Duration timeout = Seconds(5))
        {
            ServiceCall call;
            call.id = id;
            call.service = "s";
            call.team = team;
            call.arrived = now;
            call.deadline = now + timeout;
            call.repeatable = repeatable;
            call.request = std::make_shared<HttpRequest>();
            router.arrive(std::move(call), now, actions);
        }

        /// Returns the pending actions of one type, and clears all pending actions.
        template <typename Action>
        std::vector<Action> takeActions()
        {
            std::vector<Action> matching;
            for (const auto& action : actions) {
                if (const auto* const typed = std::get_if<Action>(&action))
                    matching.push_back(*typed);
            }
            actions.clear();
            return matching;
        }

        void finish(const DispatchCall& call, Result<HttpResponse> result = HttpResponse {})
        {
            router.onDispatched(call.call, call.slot.vm, std::move(result), Milliseconds(5), now, actions, vmActions);
            router.pump("s", now, actions);
        }

        TimePoint now { Seconds(100) };
        VmDesk vms { "me", "d" };
        LimitDesk limits;
        RequestDesk router { vms, limits, "h" };
        RoutingActions actions;
        OwnershipActions vmActions;
    };

} // namespace

TEST_CASE("requests beyond the free slots are queued", "[routing]")
{
    Fixture fixture;
    for (std::uint64_t id = 1; id <= 6; ++id)
        fixture.arrive(id);
    const auto sent = fixture.takeActions<DispatchCall>();
    REQUIRE(sent.size() == 4);
    CHECK(fixture.router.waiting("s") == 2);
    fixture.finish(sent[0]);
    CHECK(fixture.takeActions<DispatchCall>().size() == 1);
    CHECK(fixture.router.waiting("s") == 1);
}

TEST_CASE("a request with an unknown outcome is retried only if it is repeatable", "[routing]")
{
    Fixture fixture;
    fixture.arrive(1, "t", false);
    fixture.arrive(2, "t", true);
    const auto sent = fixture.takeActions<DispatchCall>();
    fixture.finish(sent[0], ErrorKind::OutcomeUnknown);
    const auto ended = fixture.takeActions<CallEnded>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].error == ErrorKind::OutcomeUnknown);
    fixture.finish(sent[1], ErrorKind::OutcomeUnknown);
    CHECK(fixture.takeActions<DispatchCall>().size() == 1);
}

TEST_CASE("calls that expire together are not dispatched by each other's quota", "[routing]")
{
    // Ending an expired call with quota dispatched the next expired call, which was then reported as not run.
    Fixture fixture(1, 1);
    fixture.arrive(1, "u");
    fixture.arrive(2, "t", false, Milliseconds(100));
    fixture.arrive(3, "t", false, Milliseconds(100));
    fixture.arrive(4, "t", false, Milliseconds(100));
    const auto running = fixture.takeActions<DispatchCall>();
    REQUIRE(running.size() == 1);
    fixture.vms.returnSlot(running[0].slot.vm, SlotEnd::Answered, Milliseconds(5), fixture.now, fixture.vmActions);
    fixture.now += Milliseconds(200);
    fixture.router.tick(fixture.now, fixture.actions);
    std::set<std::uint64_t> ended;
    for (const auto& action : fixture.actions) {
        if (const auto* const end = std::get_if<CallEnded>(&action))
            ended.insert(end->call);
        CHECK_FALSE(std::holds_alternative<DispatchCall>(action));
    }
    CHECK(ended == std::set<std::uint64_t> { 2, 3, 4 });
}

TEST_CASE("a request that was not run is retried on another VM", "[routing]")
{
    Fixture fixture;
    fixture.arrive(1);
    const auto first = fixture.takeActions<DispatchCall>();
    fixture.finish(first[0], ErrorKind::NoEndpoint);
    const auto second = fixture.takeActions<DispatchCall>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].slot.vm != first[0].slot.vm);
}

TEST_CASE("the number of retries over all requests is bounded", "[routing]")
{
    Fixture fixture(4, 8);
    int dispatches = 0;
    for (std::uint64_t id = 1; id <= 300; ++id) {
        fixture.arrive(id, "t", true);
        for (auto sent = fixture.takeActions<DispatchCall>(); !sent.empty(); sent = fixture.takeActions<DispatchCall>()) {
            ++dispatches;
            fixture.router.onDispatched(sent[0].call, sent[0].slot.vm, ErrorKind::NoEndpoint, {}, fixture.now, fixture.actions, fixture.vmActions);
        }
        fixture.now += Milliseconds(1);
    }
    CHECK(dispatches < 300 * 1.2 + 25);
}

TEST_CASE("one team cannot fill the queue", "[routing]")
{
    Fixture fixture(1, 1);
    for (std::uint64_t id = 1; id <= 30; ++id)
        fixture.arrive(id, "t");
    fixture.takeActions<CallEnded>();
    fixture.arrive(100, "u");
    CHECK(fixture.takeActions<CallEnded>().empty());
    CHECK(fixture.router.waiting("s") <= 10);
}

TEST_CASE("the team with fewer requests in flight is served first", "[routing]")
{
    Fixture fixture(1, 2);
    for (std::uint64_t id = 1; id <= 4; ++id)
        fixture.arrive(id, "t");
    fixture.arrive(9, "u");
    const auto sent = fixture.takeActions<DispatchCall>();
    fixture.finish(sent[0]);
    const auto next = fixture.takeActions<DispatchCall>();
    REQUIRE(next.size() == 1);
    CHECK(next[0].call == 9);
}

TEST_CASE("a request whose deadline passes in the queue is reported as not run", "[routing]")
{
    Fixture fixture(1, 1);
    fixture.arrive(1);
    fixture.arrive(2, "t", false, Milliseconds(100));
    fixture.takeActions<DispatchCall>();
    fixture.now += Milliseconds(200);
    fixture.router.tick(fixture.now, fixture.actions);
    const auto ended = fixture.takeActions<CallEnded>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].call == 2);
    CHECK(ended[0].error == ErrorKind::DeadlineBeforeRun);
}

TEST_CASE("requests are relayed to peers with free capacity, in the same failure domain first", "[routing]")
{
    Fixture fixture(1, 1);
    fixture.router.setPeer({ "far", false, { { "s", 8, 8, 0 } } });
    fixture.router.setPeer({ "near", true, { { "s", 8, 1, 0 } } });
    for (std::uint64_t id = 1; id <= 3; ++id)
        fixture.arrive(id);
    const auto relays = fixture.takeActions<RelayCall>();
    REQUIRE(relays.size() == 2);
    CHECK(relays[0].daemon == "near");
    CHECK(relays[1].daemon == "far");
}

} // namespace heatherchute
