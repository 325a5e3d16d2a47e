/// VmDesk: slots of services on owned VMs, and status queries.
#include "heatherchute/Ownership.h"

#include <algorithm>

namespace heatherchute {

/// Weight of the newest service time in the exponential moving average.
static constexpr double newestSampleWeight = 0.2;
/// Time for which the slot of a request without a response counts as in use.
static constexpr Seconds unresponsiveSlotTime { 20 };
/// Consecutive failed requests after which a VM gets no work for `failurePause`.
static constexpr std::uint32_t failuresForPause = 5;
static constexpr Seconds failurePause { 2 };

std::optional<SlotGrant> VmDesk::takeSlot(const std::string& service, const std::set<std::string>& avoid, TimePoint now)
{
    Vm* best = nullptr;
    double bestLoad = 0;
    for (auto& [id, vm] : m_vms) {
        const auto& services = vm.info.services;
        if (freeSlots(vm, now) == 0 || std::find(services.begin(), services.end(), service) == services.end())
            continue;
        const double avoidPenalty = avoid.contains(id) ? 1000.0 : 0.0;
        // Consecutive failures and the share of slots in use outweigh the service time, which breaks
        // ties. The failures keep a VM whose requests fail immediately from looking fast.
        const double load = avoidPenalty + vm.failuresInRow + double(vm.slotsInUse) / vm.info.slots + vm.serviceMs / 1e6;
        if (!best || load < bestLoad) {
            best = &vm;
            bestLoad = load;
        }
    }
    if (!best)
        return std::nullopt;
    const auto address = parseAddress(best->info.serviceAddress);
    if (!address)
        return std::nullopt;
    ++best->slotsInUse;
    return SlotGrant { best->info.id, address.value(), best->fencingToken, best->incarnation, best->ownedUntil - m_times.ownerMargin };
}

void VmDesk::returnSlot(const std::string& name, SlotEnd end, Duration serviceTime, TimePoint now, OwnershipActions& actions)
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end() || found->second.slotsInUse == 0)
        return;
    auto& vm = found->second;
    if (end == SlotEnd::NoResponse)
        vm.unresponsiveSlots.push_back(now + unresponsiveSlotTime);
    else
        --vm.slotsInUse;
    if (end == SlotEnd::Answered) {
        const auto ms = std::chrono::duration<double, std::milli>(serviceTime).count();
        vm.serviceMs += newestSampleWeight * (ms - vm.serviceMs);
        vm.failuresInRow = 0;
    } else if (++vm.failuresInRow >= failuresForPause) {
        vm.quarantinedUntil = std::max(vm.quarantinedUntil, now + failurePause);
    }
    for (const auto& service : vm.info.services)
        actions.push_back(SlotFreed { service });
}

std::vector<ServiceRoom> VmDesk::serviceRoom(TimePoint now) const
{
    std::map<std::string, ServiceRoom> byService;
    for (const auto& [id, vm] : m_vms) {
        if (!acceptsWork(vm, now))
            continue;
        for (const auto& service : vm.info.services) {
            auto& capacity = byService[service];
            capacity.service = service;
            capacity.slots += vm.info.slots;
            capacity.free += freeSlots(vm, now);
        }
    }
    std::vector<ServiceRoom> list;
    list.reserve(byService.size());
    for (auto& [service, capacity] : byService)
        list.push_back(std::move(capacity));
    return list;
}

Resources VmDesk::totalFree(TimePoint now) const
{
    Resources total;
    for (const auto& [id, vm] : m_vms) {
        if (acceptsWork(vm, now))
            total += freeCapacity(vm);
    }
    return total;
}

Resources VmDesk::largestFree(TimePoint now) const
{
    Resources largest;
    for (const auto& [id, vm] : m_vms) {
        if (acceptsWork(vm, now))
            largest = largerOf(largest, freeCapacity(vm));
    }
    return largest;
}

std::vector<VmStatus> VmDesk::status(TimePoint now) const
{
    std::vector<VmStatus> list;
    for (const auto& [id, vm] : m_vms) {
        VmStatus status;
        status.info = vm.info;
        status.owned = isOwned(vm, now);
        status.leaving = vm.leaving || vm.info.leaving || m_drained.contains(id);
        status.quarantined = now < vm.quarantinedUntil;
        status.epoch = vm.fencingToken;
        status.tasks = static_cast<std::uint32_t>(std::count_if(vm.tasks.begin(), vm.tasks.end(), [](const auto& entry) {
            return !isFinal(entry.second.state);
        }));
        status.slotsInUse = vm.slotsInUse;
        status.free = freeCapacity(vm);
        list.push_back(std::move(status));
    }
    return list;
}

bool VmDesk::fitsEmptyVm(const Resources& size) const
{
    return std::any_of(m_vms.begin(), m_vms.end(), [&size](const auto& entry) { return size.fitsIn(entry.second.info.capacity); });
}

std::uint64_t VmDesk::maxTasksOnEmptyVms(const Resources& size) const
{
    std::uint64_t count = 0;
    for (const auto& [id, vm] : m_vms) {
        auto free = vm.info.capacity;
        // Bounds the loop for tasks that need almost no resources.
        constexpr int maxTasksOnVm = 1000;
        for (int i = 0; i < maxTasksOnVm && size.fitsIn(free); ++i) {
            free -= size;
            ++count;
        }
    }
    return count;
}

} // namespace heatherchute
