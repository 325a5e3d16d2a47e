/// VmDesk: tasks on owned VMs, with their reservations, starts, and reports to the shard leaders of
/// their jobs.
#include "heatherchute/Ownership.h"

#include <algorithm>

namespace heatherchute {

/// Interval at which unacknowledged reports are sent again.
static constexpr Seconds reportRetryInterval { 1 };
static constexpr std::size_t maxReportsAtOnce = 200;

VmDesk::Vm* VmDesk::bestFit(const ReserveAsk& request, const std::set<std::string>& racksUsed, TimePoint now)
{
    Vm* best = nullptr;
    double bestCost = 0;
    for (auto& [id, vm] : m_vms) {
        if (!acceptsWork(vm, now))
            continue;
        const auto free = freeCapacity(vm);
        if (!request.size.fitsIn(free))
            continue;
        auto left = free;
        left -= request.size;
        // Best fit keeps large amounts free for large tasks. Accelerators are the scarcest resource.
        constexpr double acceleratorWeight = 8;
        double cost = left.cpus / std::max(1.0, vm.info.capacity.cpus) + left.memoryMb / std::max(1.0, vm.info.capacity.memoryMb)
            + acceleratorWeight * left.accelerators;
        if (std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end())
            cost += 1000;
        if (request.spreadRacks && racksUsed.contains(vm.info.rack))
            cost += 500;
        if (!best || cost < bestCost) {
            best = &vm;
            bestCost = cost;
        }
    }
    return best;
}

ReserveReply VmDesk::reserve(const ReserveAsk& request, TimePoint now)
{
    ReserveReply reply;
    reply.ask = request.ask;
    auto& lowestToken = m_lowestTokens[request.shard];
    if (request.shardEpoch < lowestToken) {
        reply.fenced = true;
        return reply;
    }
    lowestToken = request.shardEpoch;
    std::set<std::string> racksUsed;
    while (reply.vms.size() < request.count) {
        auto* const vm = bestFit(request, racksUsed, now);
        if (!vm)
            break;
        const auto same = std::find_if(vm->reservations.begin(), vm->reservations.end(), [&request](const Reservation& reservation) {
            return reservation.requestId == request.ask && reservation.shard == request.shard;
        });
        if (same != vm->reservations.end())
            ++same->count;
        else
            vm->reservations.push_back({ request.ask, request.shard, request.size, 1, now + m_times.reservationTimeout });
        racksUsed.insert(vm->info.rack);
        reply.vms.push_back(vm->info.id);
    }
    return reply;
}

void VmDesk::commit(const CommitAsk& request, TimePoint now, OwnershipActions& actions)
{
    const bool isFenced = request.shardEpoch < m_lowestTokens[request.shard];
    for (const auto& attempt : request.tasks) {
        const auto found = m_vms.find(attempt.vm);
        if (found == m_vms.end())
            continue;
        auto& vm = found->second;
        if (vm.tasks.contains(attempt.id))
            continue;
        const auto reservation = std::find_if(vm.reservations.begin(), vm.reservations.end(), [&request](const Reservation& candidate) {
            return candidate.requestId == request.ask && candidate.shard == request.shard && candidate.count > 0;
        });
        auto& task = vm.tasks[attempt.id];
        task.attempt = attempt;
        task.sequence = vm.nextSequence++;
        task.nextStart = now;
        if (isFenced || reservation == vm.reservations.end() || !isOwned(vm, now))
            setTaskState(task, TaskState::NotStarted, "the reservation is no longer valid", now);
        else
            --reservation->count;
    }
    for (auto& [id, vm] : m_vms) {
        std::erase_if(vm.reservations, [&request](const Reservation& reservation) {
            return reservation.requestId == request.ask && reservation.shard == request.shard;
        });
        startDueTasks(vm, now, actions);
    }
}

void VmDesk::stop(const StopTasks& request, OwnershipActions& actions)
{
    if (request.shardEpoch < m_lowestTokens[request.shard])
        return;
    const std::set<std::string> wanted(request.tasks.begin(), request.tasks.end());
    for (auto& [name, vm] : m_vms) {
        for (auto& [id, task] : vm.tasks) {
            if (isFinal(task.state) || !wanted.contains(id))
                continue;
            task.stopRequested = true;
            if (task.state == TaskState::Running && vm.fencingToken != 0)
                actions.push_back(OrderCall { name, parseAddress(vm.info.address).value(), id, vm.fencingToken, TaskOrder::Stop });
        }
    }
}

TaskReport VmDesk::reportOf(const Vm& vm, const Task& task) const
{
    return { task.attempt.id, vm.info.id, std::string(taskStateName(task.state)), task.detail, task.used };
}

HomeClaimReply VmDesk::claim(const HomeClaim& claim)
{
    auto& lowestToken = m_lowestTokens[claim.shard];
    const bool isHigher = claim.epoch > lowestToken;
    lowestToken = std::max(lowestToken, claim.epoch);
    HomeClaimReply reply;
    reply.shard = claim.shard;
    reply.epoch = claim.epoch;
    for (auto& [id, vm] : m_vms) {
        vm.lowestTokensDue = vm.lowestTokensDue || isHigher;
        if (vm.fencingToken == 0) {
            if (vm.listed && !vm.lostAnnounced)
                reply.otherVms.push_back(id);
            continue;
        }
        reply.ownedVms.push_back(id);
        for (const auto& [taskId, task] : vm.tasks) {
            if (task.attempt.shard == claim.shard)
                reply.tasks.push_back(reportOf(vm, task));
        }
    }
    return reply;
}

void VmDesk::onOwnedElsewhere(const VmOwned& notice)
{
    const auto found = m_vms.find(notice.vm);
    if (found != m_vms.end())
        found->second.lostAnnounced = false;
}

void VmDesk::onLostElsewhere(const VmLost& notice)
{
    const auto found = m_vms.find(notice.vm);
    if (found != m_vms.end() && found->second.fencingToken == 0)
        found->second.lostAnnounced = true;
}

TaskReports VmDesk::query(const TaskQuery& query, TimePoint now)
{
    TaskReports reports;
    reports.shard = query.shard;
    const auto found = m_vms.find(query.vm);
    if (found == m_vms.end() || !isOwned(found->second, now))
        return reports;
    const auto& vm = found->second;
    for (const auto& id : query.tasks) {
        const auto task = vm.tasks.find(id);
        if (task != vm.tasks.end())
            reports.reports.push_back(reportOf(vm, task->second));
        else
            reports.reports.push_back({ id, query.vm, std::string(taskStateName(TaskState::Lost)), "not on the VM", {} });
    }
    return reports;
}

std::vector<TaskReports> VmDesk::dueReports(TimePoint now)
{
    std::map<std::string, TaskReports> byShard;
    std::size_t count = 0;
    for (auto& [name, vm] : m_vms) {
        for (auto& [id, task] : vm.tasks) {
            if (task.acknowledged || task.state == TaskState::Starting || now < task.nextReport || count >= maxReportsAtOnce)
                continue;
            task.nextReport = now + reportRetryInterval;
            auto& reports = byShard[task.attempt.shard];
            reports.shard = task.attempt.shard;
            reports.reports.push_back(reportOf(vm, task));
            ++count;
        }
    }
    std::vector<TaskReports> list;
    list.reserve(byShard.size());
    for (auto& [shard, reports] : byShard)
        list.push_back(std::move(reports));
    return list;
}

void VmDesk::acknowledge(const TaskAcks& acks)
{
    for (const auto& ack : acks.tasks) {
        for (auto& [name, vm] : m_vms) {
            const auto found = vm.tasks.find(ack.task);
            if (found == vm.tasks.end())
                continue;
            auto& task = found->second;
            if (taskStateName(task.state) != ack.state)
                break;
            task.acknowledged = true;
            if (!isFinal(task.state))
                break;
            vm.endedTasks.push_back({ ack.task, task.sequence });
            vm.tasks.erase(found);
            break;
        }
    }
}

} // namespace heatherchute
