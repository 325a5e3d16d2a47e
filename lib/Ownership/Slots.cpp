/// Slots of services on owned VMs, and what the desk tells of itself.
#include "heatherchute/Ownership.h"

#include <algorithm>

namespace heatherchute {

/// Weight of the newest service time in the moving average.
static constexpr double newestSampleWeight = 0.2;
/// A slot whose request went silent counts as busy for this long.
static constexpr Seconds unresponsiveSlotTime { 20 };
/// Failures in a row after which a VM is left alone for a moment.
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
        const double avoidance = avoid.contains(id) ? 1000.0 : 0.0;
        // Load in use weighs most; among equals the quicker one, but a VM that fails at once
        // must not look quick.
        const double load = avoidance + vm.failuresInRow + double(vm.slotsInUse) / vm.info.slots + vm.serviceMs / 1e6;
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
    if (end == SlotEnd::Silent)
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
    std::map<std::string, ServiceRoom> rooms;
    for (const auto& [id, vm] : m_vms) {
        if (!acceptsWork(vm, now))
            continue;
        for (const auto& service : vm.info.services) {
            auto& room = rooms[service];
            room.service = service;
            room.slots += vm.info.slots;
            room.free += freeSlots(vm, now);
        }
    }
    std::vector<ServiceRoom> list;
    list.reserve(rooms.size());
    for (auto& [service, room] : rooms)
        list.push_back(std::move(room));
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
        auto room = vm.info.capacity;
        // Tasks that ask for next to nothing are bounded by this, not by the VM's size.
        constexpr int maxTasksOnVm = 1000;
        for (int i = 0; i < maxTasksOnVm && size.fitsIn(room); ++i) {
            room -= size;
            ++count;
        }
    }
    return count;
}

} // namespace heatherchute
