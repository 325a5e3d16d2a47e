/// Cost of single decisions by number of VMs, beside a plain scan that knows nothing (first fit).
#include "heatherchute/Ownership.h"

#include <benchmark/benchmark.h>

namespace heatherchute {

static std::vector<VmInfo> makeVms(int count)
{
    std::vector<VmInfo> vms;
    for (int i = 0; i < count; ++i) {
        VmInfo info;
        info.id = "vm" + std::to_string(i);
        info.address = info.serviceAddress = "127.0.0.1:" + std::to_string(1000 + i);
        info.failureDomain = "d";
        info.rack = "r" + std::to_string(i / 8);
        info.capacity = { 64, 262144, 1 };
        info.slots = 8;
        info.services = { "s" };
        vms.push_back(info);
    }
    return vms;
}

static VmDesk makeDesk(int count, TimePoint now)
{
    VmDesk desk("me", "d");
    desk.setVmList(makeVms(count), now);
    OwnershipActions asked;
    OwnershipActions ignored;
    desk.tick(now, asked);
    for (const auto& action : asked) {
        const auto& lease = std::get<LeaseCall>(action);
        OwnerLeaseAnswer answer;
        answer.granted = true;
        answer.epoch = 1;
        answer.boot = "b";
        desk.onLease(lease.vm, lease.ask, now, answer, now, ignored);
    }
    return desk;
}

static void takeAndReturnSlot(benchmark::State& state)
{
    const TimePoint now(Seconds(100));
    auto desk = makeDesk(static_cast<int>(state.range(0)), now);
    OwnershipActions actions;
    for (auto _ : state) {
        const auto slot = desk.takeSlot("s", {}, now);
        desk.returnSlot(slot->vm, SlotEnd::Answered, Milliseconds(1), now, actions);
        actions.clear();
    }
}
BENCHMARK(takeAndReturnSlot)->Arg(10)->Arg(80)->Arg(160)->Arg(800);

static void reserveTask(benchmark::State& state)
{
    const TimePoint now(Seconds(100));
    auto desk = makeDesk(static_cast<int>(state.range(0)), now);
    OwnershipActions actions;
    std::uint64_t ask = 0;
    for (auto _ : state) {
        const auto reply = desk.reserve({ ++ask, "d.0", 1, "d.0.1", { 1, 100, 0 }, 1, false, {} }, now);
        benchmark::DoNotOptimize(reply);
        desk.commit({ ask, "d.0", 1, {} }, now, actions);
    }
}
BENCHMARK(reserveTask)->Arg(10)->Arg(80)->Arg(160)->Arg(800);

static void naiveFirstFit(benchmark::State& state)
{
    const auto vms = makeVms(static_cast<int>(state.range(0)));
    const Resources size { 1, 100, 0 };
    for (auto _ : state) {
        const VmInfo* chosen = nullptr;
        for (const auto& vm : vms) {
            if (size.fitsIn(vm.capacity)) {
                chosen = &vm;
                break;
            }
        }
        benchmark::DoNotOptimize(chosen);
    }
}
BENCHMARK(naiveFirstFit)->Arg(10)->Arg(160);

static void encodeHeartbeat(benchmark::State& state)
{
    Heartbeat heartbeat;
    heartbeat.sequence = heartbeat.echo = 123456;
    heartbeat.homes = { { "region-1-a.0", 12 }, { "region-1-a.1", 12 } };
    heartbeat.services = { { "parts", 640, 320, 0 } };
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = encodeMessage(heartbeat).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeHeartbeat);

} // namespace heatherchute

BENCHMARK_MAIN();
