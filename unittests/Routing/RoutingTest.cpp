#include "heatherchute/Routing.h"

#include <catch2/catch.hpp>

namespace heatherchute {

namespace {

    /// A desk with VMs that this daemon owns, and everything it decided.
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
            OwnershipActions asked;
            vms.tick(now, asked);
            for (const auto& action : asked) {
                const auto& lease = std::get<LeaseCall>(action);
                OwnerLeaseAnswer answer;
                answer.granted = true;
                answer.boot = "b";
                answer.epoch = 1;
                vms.onLease(lease.vm, lease.ask, now, answer, now, vmActions);
            }
            limits.setLimits({ { "t", 100 }, { "u", 100 } }, 1);
            limits.adopt("t", "h", 100);
            limits.give("t", "h", 100);
            limits.adopt("u", "h", 100);
            limits.give("u", "h", 100);
            desk.setConfiguration({ { "s", { 10 } } }, { { "t", 50 }, { "u", 50 } });
        }

        void arrive(std::uint64_t id, const std::string& team = "t", bool repeatable = false, Duration time = Seconds(5))
        {
            ServiceCall call;
            call.id = id;
            call.service = "s";
            call.team = team;
            call.arrived = now;
            call.deadline = now + time;
            call.repeatable = repeatable;
            call.request = std::make_shared<HttpRequest>();
            desk.arrive(std::move(call), now, actions);
        }

        template <typename Action>
        std::vector<Action> taken()
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
            desk.onDispatched(call.call, call.slot.vm, std::move(result), Milliseconds(5), now, actions, vmActions);
            desk.pump("s", now, actions);
        }

        TimePoint now { Seconds(100) };
        VmDesk vms { "me", "d" };
        LimitDesk limits;
        RequestDesk desk { vms, limits, "h" };
        RoutingActions actions;
        OwnershipActions vmActions;
    };

} // namespace

TEST_CASE("slots are never exceeded and requests wait in turn", "[routing]")
{
    Fixture fixture;
    for (std::uint64_t id = 1; id <= 6; ++id)
        fixture.arrive(id);
    const auto sent = fixture.taken<DispatchCall>();
    REQUIRE(sent.size() == 4);
    CHECK(fixture.desk.waiting("s") == 2);
    fixture.finish(sent[0]);
    CHECK(fixture.taken<DispatchCall>().size() == 1);
    CHECK(fixture.desk.waiting("s") == 1);
}

TEST_CASE("an unknown outcome is never sent again unless it may be repeated", "[routing]")
{
    Fixture fixture;
    fixture.arrive(1, "t", false);
    fixture.arrive(2, "t", true);
    const auto sent = fixture.taken<DispatchCall>();
    fixture.finish(sent[0], ErrorKind::OutcomeUnknown);
    const auto ended = fixture.taken<CallEnded>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].error == ErrorKind::OutcomeUnknown);
    fixture.finish(sent[1], ErrorKind::OutcomeUnknown);
    CHECK(fixture.taken<DispatchCall>().size() == 1);
}

TEST_CASE("what surely did not run goes elsewhere", "[routing]")
{
    Fixture fixture;
    fixture.arrive(1);
    const auto first = fixture.taken<DispatchCall>();
    fixture.finish(first[0], ErrorKind::NoEndpoint);
    const auto second = fixture.taken<DispatchCall>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].slot.vm != first[0].slot.vm);
}

TEST_CASE("retries are bounded over all requests", "[routing]")
{
    Fixture fixture(4, 8);
    int dispatches = 0;
    for (std::uint64_t id = 1; id <= 300; ++id) {
        fixture.arrive(id, "t", true);
        for (auto sent = fixture.taken<DispatchCall>(); !sent.empty(); sent = fixture.taken<DispatchCall>()) {
            ++dispatches;
            fixture.desk.onDispatched(sent[0].call, sent[0].slot.vm, ErrorKind::NoEndpoint, {}, fixture.now, fixture.actions, fixture.vmActions);
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
    fixture.taken<CallEnded>();
    fixture.arrive(100, "u");
    CHECK(fixture.taken<CallEnded>().empty());
    CHECK(fixture.desk.waiting("s") <= 10);
}

TEST_CASE("the team with less running goes first", "[routing]")
{
    Fixture fixture(1, 2);
    for (std::uint64_t id = 1; id <= 4; ++id)
        fixture.arrive(id, "t");
    fixture.arrive(9, "u");
    const auto sent = fixture.taken<DispatchCall>();
    fixture.finish(sent[0]);
    const auto next = fixture.taken<DispatchCall>();
    REQUIRE(next.size() == 1);
    CHECK(next[0].call == 9);
}

TEST_CASE("a deadline that passes in the queue is told as not run", "[routing]")
{
    Fixture fixture(1, 1);
    fixture.arrive(1);
    fixture.arrive(2, "t", false, Milliseconds(100));
    fixture.taken<DispatchCall>();
    fixture.now += Milliseconds(200);
    fixture.desk.tick(fixture.now, fixture.actions);
    const auto ended = fixture.taken<CallEnded>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].call == 2);
    CHECK(ended[0].error == ErrorKind::DeadlineBeforeRun);
}

TEST_CASE("a peer with room is used, the same failure domain first", "[routing]")
{
    Fixture fixture(1, 1);
    fixture.desk.setPeer({ "far", false, { { "s", 8, 8, 0 } } });
    fixture.desk.setPeer({ "near", true, { { "s", 8, 1, 0 } } });
    for (std::uint64_t id = 1; id <= 3; ++id)
        fixture.arrive(id);
    const auto relays = fixture.taken<RelayCall>();
    REQUIRE(relays.size() == 2);
    CHECK(relays[0].daemon == "near");
    CHECK(relays[1].daemon == "far");
}

} // namespace heatherchute
