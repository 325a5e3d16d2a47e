/// Tasks on owned VMs: reservations, starts, and reports to the homes of their jobs.
#include "heatherchute/Ownership.h"

#include <algorithm>

namespace heatherchute {

/// Reports that no home has acknowledged are sent again this often.
static constexpr Seconds reportRetryInterval { 1 };
static constexpr std::size_t maxReportsAtOnce = 200;

VmDesk::Vm* VmDesk::bestFit(const ReserveAsk& ask, const std::set<std::string>& racksUsed, TimePoint now)
{
    Vm* best = nullptr;
    double bestLeft = 0;
    for (auto& [id, vm] : m_vms) {
        if (!acceptsWork(vm, now))
            continue;
        const auto free = freeCapacity(vm);
        if (!ask.size.fitsIn(free))
            continue;
        auto left = free;
        left -= ask.size;
        // The tightest fit leaves large holes for large tasks. Accelerators are the scarcest.
        constexpr double acceleratorWeight = 8;
        double cost = left.cpus / std::max(1.0, vm.info.capacity.cpus) + left.memoryMb / std::max(1.0, vm.info.capacity.memoryMb)
            + acceleratorWeight * left.accelerators;
        if (std::find(ask.avoid.begin(), ask.avoid.end(), id) != ask.avoid.end())
            cost += 1000;
        if (ask.spreadRacks && racksUsed.contains(vm.info.rack))
            cost += 500;
        if (!best || cost < bestLeft) {
            best = &vm;
            bestLeft = cost;
        }
    }
    return best;
}

ReserveReply VmDesk::reserve(const ReserveAsk& ask, TimePoint now)
{
    ReserveReply reply;
    reply.ask = ask.ask;
    auto& floor = m_lowestTokens[ask.shard];
    if (ask.shardEpoch < floor) {
        reply.fenced = true;
        return reply;
    }
    floor = ask.shardEpoch;
    std::set<std::string> racksUsed;
    while (reply.vms.size() < ask.count) {
        auto* const vm = bestFit(ask, racksUsed, now);
        if (!vm)
            break;
        const auto same = std::find_if(vm->reservations.begin(), vm->reservations.end(), [&ask](const Reservation& reservation) {
            return reservation.requestId == ask.ask && reservation.shard == ask.shard;
        });
        if (same != vm->reservations.end())
            ++same->count;
        else
            vm->reservations.push_back({ ask.ask, ask.shard, ask.size, 1, now + m_times.reservationTimeout });
        racksUsed.insert(vm->info.rack);
        reply.vms.push_back(vm->info.id);
    }
    return reply;
}

void VmDesk::commit(const CommitAsk& ask, TimePoint now, OwnershipActions& actions)
{
    const bool isFenced = ask.shardEpoch < m_lowestTokens[ask.shard];
    for (const auto& attempt : ask.tasks) {
        const auto found = m_vms.find(attempt.vm);
        if (found == m_vms.end())
            continue;
        auto& vm = found->second;
        if (vm.tasks.contains(attempt.id))
            continue;
        const auto reservation = std::find_if(vm.reservations.begin(), vm.reservations.end(), [&ask](const Reservation& candidate) {
            return candidate.requestId == ask.ask && candidate.shard == ask.shard && candidate.count > 0;
        });
        auto& task = vm.tasks[attempt.id];
        task.attempt = attempt;
        task.sequence = vm.nextSequence++;
        task.nextStart = now;
        if (isFenced || reservation == vm.reservations.end() || !isOwned(vm, now))
            setTaskState(task, TaskState::NotStarted, "the reservation lapsed", now);
        else
            --reservation->count;
    }
    for (auto& [id, vm] : m_vms) {
        std::erase_if(vm.reservations, [&ask](const Reservation& reservation) {
            return reservation.requestId == ask.ask && reservation.shard == ask.shard;
        });
        startDueTasks(vm, now, actions);
    }
}

void VmDesk::stop(const StopTasks& ask, OwnershipActions& actions)
{
    if (ask.shardEpoch < m_lowestTokens[ask.shard])
        return;
    const std::set<std::string> wanted(ask.tasks.begin(), ask.tasks.end());
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
    auto& floor = m_lowestTokens[claim.shard];
    const bool isNewFloor = claim.epoch > floor;
    floor = std::max(floor, claim.epoch);
    HomeClaimReply reply;
    reply.shard = claim.shard;
    reply.epoch = claim.epoch;
    for (auto& [id, vm] : m_vms) {
        vm.lowestTokensDue = vm.lowestTokensDue || isNewFloor;
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
