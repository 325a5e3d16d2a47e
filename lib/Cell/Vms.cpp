#include "heatherchute/Cell.h"

namespace heatherchute::cell {

/// Long enough to save calls, short enough that a connection which went silent shows soon.
static constexpr Milliseconds beatWait { 1500 };
/// While it is open whether a run is on the VM: only a list asked for after the last order tells.
static constexpr Milliseconds beatWaitUnsettled { 250 };
/// After a heartbeat without an answer.
static constexpr Milliseconds beatRetry { 200 };
/// Distance of heartbeats whose answers came early.
static constexpr Milliseconds beatPause { 15 };
/// An end that is not yet durable is listed again by each heartbeat until it is.
static constexpr Milliseconds beatWhileCommitting { 500 };
/// Heartbeats missed in a row before leases are no longer extended, so that they run out.
static constexpr unsigned missesBeforeSilence = 2;

std::int64_t CellDesk::vmDeadline(const Vm& vm, Now now) const
{
    if (vm.clockMs == 0)
        return 0;
    const auto sinceClock = std::chrono::duration_cast<Milliseconds>(now.steady - vm.clockAt);
    return vm.clockMs + (sinceClock + m_limits.vmLease).count();
}

void CellDesk::extendLeaseEnd(Vm& vm, Now now) const
{
    /// A VM's clock may be 2% slow, and runs ahead of what is known of it by one way of the network.
    constexpr double slowestClock = 1.03;
    constexpr Milliseconds clockSlack { 300 };
    const auto longest = std::chrono::duration_cast<Duration>(m_limits.vmLease * slowestClock) + clockSlack;
    vm.leaseEnd = std::max(vm.leaseEnd, now.steady + longest);
}

bool CellDesk::mayUse(const Vm& vm, Now now) const
{
    /// Without an answer for longer than this a VM gets no new work.
    constexpr Milliseconds recentAnswer { 2600 };
    return vm.listed && !vm.report.draining && vm.fenced && vm.isLifeKnown && vm.misses == 0 && vm.clockMs > 0 && now.steady >= vm.distrustedUntil && now.steady - vm.lastAnswer < recentAnswer;
}

void CellDesk::distrust(Vm& vm, Milliseconds time, std::string_view why, Now now)
{
    vm.distrustedUntil = std::max(vm.distrustedUntil, now.steady + time);
    m_actions.emplace_back(Decision { "vm_distrusted", { { "vm", vm.report.id }, { "why", why }, { "for_ms", time.count() }, { "failures_in_row", vm.failuresInRow } } });
}

void CellDesk::setVms(const std::vector<VmReport>& reports, Now now)
{
    for (auto& [id, vm] : m_vms)
        vm.listed = false;
    for (const auto& report : reports) {
        auto& vm = m_vms[report.id];
        const bool isNewLife = vm.report.incarnation != report.incarnation;
        if (isNewLife || vm.report.draining != report.draining)
            m_actions.emplace_back(Decision { "vm_reported", { { "vm", report.id }, { "incarnation", report.incarnation }, { "draining", report.draining }, { "service", report.service } } });
        vm.report = report;
        vm.hash = stableHash(report.id);
        vm.listed = true;
        if (isNewLife) {
            vm.nextBeat = now.steady;
            vm.misses = 0;
            vm.isLifeKnown = false;
        }
        if (vm.leaseEnd < m_inheritedLeaseEnd)
            vm.leaseEnd = m_inheritedLeaseEnd;
    }
    m_capacityCpuMilli = 0;
    for (const auto& [id, vm] : m_vms)
        m_capacityCpuMilli += vm.listed ? vm.report.capacity.cpuMilli : 0;
    std::erase_if(m_vms, [](const auto& entry) { return !entry.second.listed && entry.second.placements.empty() && !entry.second.beatInFlight; });
}

bool CellDesk::hasOpenRun(const Vm& vm) const
{
    return std::any_of(vm.placements.begin(), vm.placements.end(), [this](const TaskId& task) {
        const auto& placement = m_placements.at(task);
        return placement.stopWanted || (placement.startUnknown && !placement.started);
    });
}

void CellDesk::beatVms(Now now)
{
    for (auto& [id, vm] : m_vms) {
        if (vm.beatInFlight || now.steady < vm.nextBeat || vm.report.address.port == 0)
            continue;
        // Another life of the VM numbers its ends anew, and must not forget any on an old number.
        BeatVm beat { id, vm.report.address, 0, vm.isLifeKnown ? vm.acknowledged : 0, Milliseconds(0) };
        // Deadlines are on the clock of one life: to a later one, whose clock starts anew, they would
        // mean a lease far longer than is counted on here.
        if (m_isTenured && vm.fenced && vm.isLifeKnown) {
            beat.deadlineMs = vmDeadline(vm, now);
            extendLeaseEnd(vm, now);
        }
        if (vm.isLifeKnown && vm.misses == 0 && vm.processed == vm.acknowledged && vm.clockMs > 0)
            beat.wait = hasOpenRun(vm) ? beatWaitUnsettled : beatWait;
        vm.beatInFlight = true;
        m_actions.emplace_back(std::move(beat));
    }
}

void CellDesk::adoptListed(Vm& vm, const RunningTask& running, Now now)
{
    const auto found = m_placements.find(running.task);
    auto* const owner = job(running.task.job);
    if (found == m_placements.end() || found->second.run != running.run || found->second.vm != vm.report.id || !owner) {
        m_actions.emplace_back(Decision { "stray_run_stopped", { { "task", taskText(running.task) }, { "run", running.run }, { "vm", vm.report.id } } });
        m_actions.emplace_back(StopRun { vm.report.id, vm.report.address, running.task, running.run });
        // Its size is not known here, so nothing else may go there until it is gone.
        vm.distrustedUntil = std::max(vm.distrustedUntil, now.steady + Milliseconds(500));
        return;
    }
    auto& placement = found->second;
    placement.started = true;
    placement.incarnation = vm.incarnation;
    if (!isFinal(owner->phase))
        noteFirstStart(*owner);
    if (running.checkpoint.empty() || placement.abandoned)
        return;
    auto& step = owner->occurrences.at(running.task.occurrence).steps.at(running.task.step);
    if (!owner->spec->steps.at(running.task.step).gang) {
        step.tasks.at(running.task.index).checkpoint = running.checkpoint;
        return;
    }
    // Any member's checkpoint is good for the gang, and all must carry the same.
    for (auto& task : step.tasks)
        task.checkpoint = running.checkpoint;
}

void CellDesk::resolveAbsent(Vm& vm, const BeatAnswer& answer, Now now)
{
    std::set<std::pair<TaskId, std::uint32_t>> listed;
    for (const auto& running : answer.state->running)
        listed.emplace(running.task, running.run);
    std::vector<TaskId> absent;
    for (const auto& task : vm.placements) {
        const auto& placement = m_placements.at(task);
        const bool isSettled = placement.recorded && !placement.orderInFlight && placement.answeredAt < answer.sentAt && (placement.started || placement.stopAnswered);
        if (isSettled && !listed.contains({ task, placement.run }))
            absent.push_back(task);
    }
    for (const auto& task : absent)
        loseRun(task, "not_on_vm", now);
}

void CellDesk::onBeat(const BeatAnswer& answer, Now now)
{
    const auto found = m_vms.find(answer.vm);
    if (found == m_vms.end())
        return;
    auto& vm = found->second;
    vm.beatInFlight = false;
    if (answer.fenced) {
        m_actions.emplace_back(LostOwnership { answer.vm });
        return;
    }
    vm.isLifeKnown = answer.state.has_value();
    if (!answer.state) {
        if (++vm.misses == missesBeforeSilence)
            m_actions.emplace_back(Decision { "vm_silent", { { "vm", answer.vm }, { "placements", vm.placements.size() } } });
        vm.nextBeat = now.steady + beatRetry;
        return;
    }
    if (vm.misses >= missesBeforeSilence)
        m_actions.emplace_back(Decision { "vm_answers_again", { { "vm", answer.vm } } });
    const auto& state = *answer.state;
    if (vm.incarnation != state.incarnation) {
        // Another life: its numbers, its clock and its fencing token start anew.
        if (vm.incarnation != 0)
            m_actions.emplace_back(Decision { "vm_reborn", { { "vm", answer.vm }, { "before", vm.incarnation }, { "now", state.incarnation }, { "placements", vm.placements.size() } } });
        vm.incarnation = state.incarnation;
        vm.processed = 0;
        vm.acknowledged = 0;
        vm.failuresInRow = 0;
    }
    vm.fenced = true;
    vm.misses = 0;
    vm.lastAnswer = now.steady;
    vm.clockMs = state.clockMs;
    vm.clockAt = now.steady;
    vm.nextBeat = now.steady + beatPause;
    std::uint64_t newest = vm.processed;
    for (const auto& finished : state.finished) {
        if (finished.number > vm.processed)
            onEnd(vm, finished, now);
        newest = std::max(newest, finished.number);
    }
    vm.processed = newest;
    for (const auto& running : state.running)
        adoptListed(vm, running, now);
    resolveAbsent(vm, answer, now);
    if (vm.processed == vm.acknowledged)
        return;
    vm.nextBeat = now.steady + beatWhileCommitting;
    AfterCommit after;
    after.vm = answer.vm;
    after.incarnation = vm.incarnation;
    after.acknowledge = newest;
    m_afterNext.push_back(std::move(after));
}

void CellDesk::lapseSilent(Now now)
{
    std::vector<TaskId> lapsed;
    for (const auto& [id, vm] : m_vms) {
        const bool isSilent = !vm.fenced || vm.misses >= missesBeforeSilence || vm.report.address.port == 0;
        if (!isSilent || now.steady < vm.leaseEnd)
            continue;
        for (const auto& task : vm.placements) {
            const auto& placement = m_placements.at(task);
            if (placement.recorded && !placement.orderInFlight)
                lapsed.push_back(task);
        }
    }
    for (const auto& task : lapsed)
        loseRun(task, "lease_over", now);
}

void CellDesk::sendStart(Placement& placement, Vm& vm, Now now)
{
    const auto* const owner = job(placement.task.job);
    const auto& task = owner->occurrences.at(placement.task.occurrence).steps.at(placement.task.step).tasks.at(placement.task.index);
    placement.orderInFlight = true;
    if (placement.firstOrderAt == TimePoint())
        placement.firstOrderAt = now.steady;
    extendLeaseEnd(vm, now);
    m_actions.emplace_back(StartRun { vm.report.id, vm.report.address, placement.task, placement.run, owner->spec, vmDeadline(vm, now), task.checkpoint, placement.ticket });
}

void CellDesk::sendStop(Placement& placement, Vm& vm)
{
    placement.orderInFlight = true;
    m_actions.emplace_back(StopRun { vm.report.id, vm.report.address, placement.task, placement.run });
}

void CellDesk::driveOrders(Now now)
{
    std::vector<std::pair<TaskId, std::string_view>> lost;
    for (auto it = m_orderable.begin(); it != m_orderable.end();) {
        auto& placement = m_placements.at(*it);
        const bool isSettled = placement.recorded && (placement.stopWanted ? placement.stopAnswered : placement.started);
        if (isSettled) {
            it = m_orderable.erase(it);
            continue;
        }
        const auto& id = *it++;
        if (!placement.recorded || placement.orderInFlight || now.steady < placement.nextOrderAt)
            continue;
        auto& vm = m_vms.at(placement.vm);
        const bool neverOrdered = !placement.started && placement.firstOrderAt == TimePoint();
        if (placement.stopWanted) {
            if (neverOrdered)
                lost.emplace_back(id, "stopped_before_start");
            else if (vm.report.address.port != 0)
                sendStop(placement, vm);
            continue;
        }
        if (neverOrdered && !mayUse(vm, now))
            lost.emplace_back(id, "vm_unusable");
        else if (neverOrdered && now.steady >= placement.ticketUntil)
            lost.emplace_back(id, "ticket_lapsed");
        else if (vm.report.draining || !vm.listed)
            placement.stopWanted = true;
        else if (m_isTenured && vm.isLifeKnown)
            sendStart(placement, vm, now);
    }
    for (const auto& [id, why] : lost)
        loseRun(id, why, now);
}

} // namespace heatherchute::cell
