#include "heatherchute/Cell.h"

namespace heatherchute::cell {

/// Time for which a VM may hold back the response: long enough to save requests, short enough to
/// detect a silent connection soon.
static constexpr Milliseconds heartbeatWait { 1500 };
/// The same while it is unknown whether the VM has some run: only a list requested after the last
/// command tells.
static constexpr Milliseconds heartbeatWaitUnconfirmed { 250 };
/// Delay after a missed heartbeat.
static constexpr Milliseconds heartbeatRetryDelay { 200 };
/// Delay after a response before the next heartbeat.
static constexpr Milliseconds heartbeatPause { 15 };
/// Heartbeat interval while ended runs are being committed. Each heartbeat lists these ends again
/// until they are durable and acknowledged.
static constexpr Milliseconds heartbeatIntervalWhileCommitting { 500 };
/// Consecutive missed heartbeats after which the runs of a VM count as lost once its leases expire.
static constexpr unsigned missedHeartbeatsUntilUnresponsive = 2;
/// Time within which a VM may execute a command that it has left without a response.
static constexpr Milliseconds longestCommandDelay { 12'000 };

bool CellDesk::isUsable(const Vm& vm, Now now) const
{
    /// A VM without a response for longer than this gets no new runs.
    constexpr Milliseconds maxResponseAge { 2600 };
    return vm.listed && !vm.report.draining && !isEvacuated(vm) && vm.fenced && vm.isIncarnationKnown && vm.isReportCurrent() && vm.missedHeartbeats == 0 && !vm.starts.isOverdue(now.steady) && vm.clockMs > 0 && now.steady >= vm.quarantinedUntil && now.steady - vm.lastResponseAt < maxResponseAge;
}

void CellDesk::quarantine(Vm& vm, Milliseconds duration, std::string_view reason, Now now)
{
    vm.quarantinedUntil = std::max(vm.quarantinedUntil, now.steady + duration);
    m_actions.emplace_back(Decision { "vm_distrusted", { { "vm", vm.report.id }, { "why", reason }, { "for_ms", duration.count() }, { "failures_in_row", vm.consecutiveFailures } } });
}

void CellDesk::setVms(const std::vector<VmReport>& reports, Now now)
{
    for (auto& [id, vm] : m_vms)
        vm.listed = false;
    for (const auto& report : reports) {
        auto& vm = m_vms[report.id];
        const bool isNewIncarnation = vm.report.incarnation != report.incarnation;
        if (isNewIncarnation || vm.report.draining != report.draining)
            m_actions.emplace_back(Decision { "vm_reported", { { "vm", report.id }, { "incarnation", report.incarnation }, { "draining", report.draining }, { "service", report.service } } });
        const bool isKnownIncarnationOver = isNewIncarnation && report.incarnation != vm.incarnation;
        // The commands went to the address of the earlier entry.
        if (isKnownIncarnationOver) {
            vm.missedHeartbeats = 0;
            doubtIncarnation(vm, "registry", now);
        }
        if (vm.report != report)
            vm.coldUntil = now.steady + report.warmup;
        if (vm.report.service != report.service)
            moveUrgentUsage(vm, report.service);
        vm.report = report;
        vm.idHash = stableHash(report.id);
        vm.listed = true;
        vm.leases.inherit(m_inheritedLeaseEnd);
    }
    m_capacityCpuMilli = 0;
    for (const auto& [id, vm] : m_vms)
        m_capacityCpuMilli += vm.listed ? vm.report.capacity.cpuMilli : 0;
    std::erase_if(m_vms, [now](const auto& entry) {
        const auto& vm = entry.second;
        return !vm.listed && vm.placements.empty() && !vm.heartbeatInFlight && now.steady >= vm.leases.endOfAnyIncarnation();
    });
}

bool CellDesk::hasUnconfirmedRun(const Vm& vm) const
{
    return std::any_of(vm.placements.begin(), vm.placements.end(), [this](const TaskId& task) {
        const auto& placement = m_placements.at(task);
        return placement.stopRequested || (placement.startUnconfirmed && !placement.started);
    });
}

void CellDesk::sendHeartbeats(Now now)
{
    for (auto& [id, vm] : m_vms) {
        reportOverdueStarts(vm, now);
        if (vm.heartbeatInFlight || now.steady < vm.nextHeartbeatAt || vm.report.address.port == 0)
            continue;
        // A new incarnation of the VM restarts the numbering of its ended runs, and must not discard any because
        // an old number was acknowledged. So nothing is acknowledged twice.
        const auto acknowledged = vm.isIncarnationKnown && vm.hasListedEnds ? vm.lastAcknowledgedEnd : 0;
        BeatVm heartbeat { id, vm.report.address, 0, acknowledged, Milliseconds(0) };
        if (m_isOwnershipConfirmed && vm.fenced && vm.isIncarnationKnown) {
            heartbeat.deadlineMs = leaseDeadlineMs(vm, now);
            grantLease(vm, now);
        }
        if (vm.isIncarnationKnown && vm.missedHeartbeats == 0 && vm.lastProcessedEnd == vm.lastAcknowledgedEnd && vm.clockMs > 0)
            heartbeat.wait = hasUnconfirmedRun(vm) ? heartbeatWaitUnconfirmed : heartbeatWait;
        vm.heartbeatInFlight = true;
        m_actions.emplace_back(std::move(heartbeat));
    }
}

void CellDesk::reconcileListedRun(Vm& vm, const RunningTask& running, TimePoint sentAt, Now now)
{
    const auto found = m_placements.find(running.task);
    auto* const ownerJob = job(running.task.job);
    if (found == m_placements.end() || found->second.run != running.run || found->second.vm != vm.report.id || !ownerJob) {
        m_actions.emplace_back(Decision { "stray_run_stopped", { { "task", taskText(running.task) }, { "run", running.run }, { "vm", vm.report.id } } });
        m_actions.emplace_back(StopRun { vm.report.id, vm.report.address, running.task, running.run });
        // The resources of an orphaned run are unknown here, so the VM gets no other runs until it is
        // stopped.
        vm.quarantinedUntil = std::max(vm.quarantinedUntil, now.steady + Milliseconds(500));
        return;
    }
    auto& placement = found->second;
    placement.started = true;
    placement.incarnation = vm.incarnation;
    placement.isIncarnationConfirmed = true;
    if (sentAt - placement.lastStartAt > longestCommandDelay)
        placement.startUnconfirmed = false;
    if (!isFinal(ownerJob->phase))
        markRunning(*ownerJob);
    if (running.checkpoint.empty() || placement.abandoned)
        return;
    auto& step = ownerJob->occurrences.at(running.task.occurrence).steps.at(running.task.step);
    if (!ownerJob->spec->steps.at(running.task.step).gang) {
        step.tasks.at(running.task.index).checkpoint = running.checkpoint;
        return;
    }
    // A checkpoint of any member is valid for the whole gang, and all members must use the same one.
    for (auto& task : step.tasks)
        task.checkpoint = running.checkpoint;
}

void CellDesk::requestStop(Placement& placement, Now now)
{
    placement.stopRequested = true;
    placement.nextCommandAt = now.steady;
    m_pendingCommands.insert(placement.task);
}

void CellDesk::forgetIncarnation(Placement& placement)
{
    placement.isIncarnationConfirmed = false;
    placement.stopAcknowledged = false;
    if (placement.stopRequested)
        m_pendingCommands.insert(placement.task);
}

void CellDesk::rememberUnansweredStart(Vm& vm, const Placement& placement)
{
    std::erase_if(vm.unansweredStarts, [&](const UnansweredStart& start) { return placement.lastStartAt - start.sentAt > longestCommandDelay; });
    vm.unansweredStarts.push_back({ placement.task, placement.run, placement.lastStartAt });
}

void CellDesk::stopUnansweredStarts(Vm& vm, Now now)
{
    for (const auto& start : std::exchange(vm.unansweredStarts, {})) {
        if (now.steady - start.sentAt < longestCommandDelay)
            m_actions.emplace_back(StopRun { vm.report.id, vm.report.address, start.task, start.run });
    }
}

void CellDesk::onNewIncarnation(Vm& vm, const VmState& state, Now now)
{
    // A new incarnation restarts its numbering, its clock and its fencing token.
    if (vm.incarnation == 0) {
        vm.leases.onFirstResponse(m_limits.leases, now.steady);
    } else {
        withdrawCommands(vm, "heartbeat");
        vm.leases.onNewIncarnation();
        m_actions.emplace_back(Decision { "vm_reborn", { { "vm", vm.report.id }, { "before", vm.incarnation }, { "now", state.incarnation }, { "placements", vm.placements.size() }, { "lease_granted_ms_ago", std::chrono::duration_cast<Milliseconds>(now.steady - vm.lastGrantAt).count() }, { "acknowledged", vm.lastAcknowledgedEnd }, { "clock_ms", state.clockMs } } });
    }
    vm.incarnation = state.incarnation;
    vm.lastProcessedEnd = 0;
    vm.lastAcknowledgedEnd = 0;
    vm.consecutiveFailures = 0;
    for (const auto& task : vm.placements)
        forgetIncarnation(m_placements.at(task));
    stopUnansweredStarts(vm, now);
}

void CellDesk::markAbsentRunsLost(Vm& vm, const BeatAnswer& response, Now now)
{
    // A run that is absent may be among the ends that are not listed yet.
    if (!response.state->areAllEndsListed)
        return;
    std::set<std::pair<TaskId, std::uint32_t>> listed;
    for (const auto& running : response.state->running)
        listed.emplace(running.task, running.run);
    std::vector<TaskId> absent;
    for (const auto& task : vm.placements) {
        auto& placement = m_placements.at(task);
        const bool isSettled = placement.isDurable && !placement.commandInFlight && placement.lastResponseAt < response.sentAt && (placement.started || placement.stopAcknowledged);
        if (!isSettled || listed.contains({ task, placement.run }))
            continue;
        // An incarnation that has not had the run does not refuse a start that is executed late.
        if (placement.startUnconfirmed && !placement.isIncarnationConfirmed && !placement.stopAcknowledged)
            requestStop(placement, now);
        else
            absent.push_back(task);
    }
    for (const auto& task : absent)
        markRunLost(task, "not_on_vm", now);
}

void CellDesk::onBeat(const BeatAnswer& response, Now now)
{
    const auto found = m_vms.find(response.vm);
    if (found == m_vms.end())
        return;
    auto& vm = found->second;
    vm.heartbeatInFlight = false;
    if (response.fenced) {
        m_actions.emplace_back(LostOwnership { response.vm });
        return;
    }
    vm.isIncarnationKnown = response.state && (response.sentAt >= vm.doubtedAt || response.state->incarnation != vm.incarnation);
    if (!response.state) {
        // The heartbeat was withdrawn, or was sent to the incarnation before.
        if (response.sentAt < vm.doubtedAt)
            return;
        if (++vm.missedHeartbeats == missedHeartbeatsUntilUnresponsive)
            m_actions.emplace_back(Decision { "vm_silent", { { "vm", response.vm }, { "placements", vm.placements.size() } } });
        vm.nextHeartbeatAt = now.steady + heartbeatRetryDelay;
        return;
    }
    if (vm.missedHeartbeats >= missedHeartbeatsUntilUnresponsive)
        m_actions.emplace_back(Decision { "vm_answers_again", { { "vm", response.vm } } });
    const auto& state = *response.state;
    if (vm.incarnation != state.incarnation)
        onNewIncarnation(vm, state, now);
    vm.fenced = true;
    vm.missedHeartbeats = 0;
    vm.lastResponseAt = now.steady;
    vm.starts.onResponse();
    vm.clockMs = state.clockMs;
    vm.clockAt = now.steady;
    vm.clockRequestedAt = response.sentAt;
    vm.nextHeartbeatAt = now.steady + heartbeatPause;
    std::uint64_t newest = vm.lastProcessedEnd;
    for (const auto& finished : state.finished) {
        if (finished.number > vm.lastProcessedEnd)
            onRunEnded(vm, finished, now);
        newest = std::max(newest, finished.number);
    }
    vm.lastProcessedEnd = newest;
    vm.hasListedEnds = !state.finished.empty();
    for (const auto& running : state.running)
        reconcileListedRun(vm, running, response.sentAt, now);
    markAbsentRunsLost(vm, response, now);
    if (vm.lastProcessedEnd == vm.lastAcknowledgedEnd)
        return;
    vm.nextHeartbeatAt = now.steady + heartbeatIntervalWhileCommitting;
    AfterCommit after;
    after.vm = response.vm;
    after.incarnation = vm.incarnation;
    after.acknowledge = newest;
    m_afterNextCommit.push_back(std::move(after));
}

void CellDesk::expireUnresponsiveVms(Now now)
{
    std::vector<TaskId> expired;
    for (const auto& [id, vm] : m_vms) {
        const bool isUnresponsive = !vm.fenced || vm.missedHeartbeats >= missedHeartbeatsUntilUnresponsive || vm.report.address.port == 0;
        if (!isUnresponsive)
            continue;
        const auto expiredBefore = expired.size();
        std::size_t unconfirmed = 0;
        for (const auto& task : vm.placements) {
            const auto& placement = m_placements.at(task);
            if (!placement.isDurable || placement.commandInFlight || now.steady < leaseEnd(vm, placement))
                continue;
            expired.push_back(task);
            unconfirmed += isConfirmed(placement) ? 0 : 1;
        }
        if (expired.size() > expiredBefore)
            m_actions.emplace_back(Decision { "vm_leases_over", { { "vm", id }, { "runs", expired.size() - expiredBefore }, { "unconfirmed", unconfirmed }, { "incarnation", vm.incarnation }, { "lease_granted_ms_ago", std::chrono::duration_cast<Milliseconds>(now.steady - vm.lastGrantAt).count() }, { "inherited", vm.leases.endOfAnyIncarnation() == m_inheritedLeaseEnd }, { "fenced", vm.fenced }, { "listed", vm.listed } } });
    }
    for (const auto& task : expired)
        markRunLost(task, "lease_over", now);
}

void CellDesk::withdrawCommands(const Vm& vm, std::string_view reason)
{
    if (vm.incarnation == 0 || vm.report.address.port == 0)
        return;
    const auto inFlight = std::count_if(vm.placements.begin(), vm.placements.end(), [this](const TaskId& task) { return m_placements.at(task).commandInFlight; });
    m_actions.emplace_back(Decision { "commands_withdrawn", { { "vm", vm.report.id }, { "why", reason }, { "incarnation", vm.incarnation }, { "commands", inFlight }, { "heartbeat", vm.heartbeatInFlight } } });
    m_actions.emplace_back(WithdrawCommands { vm.report.id, vm.report.address });
}

void CellDesk::reportOverdueStarts(Vm& vm, Now now)
{
    const bool isOverdue = vm.starts.isOverdue(now.steady);
    if (std::exchange(vm.areStartsOverdue, isOverdue) != isOverdue)
        m_actions.emplace_back(Decision { "vm_starts_overdue", { { "vm", vm.report.id }, { "overdue", isOverdue }, { "bound_ms", vm.starts.bound().count() } } });
}

bool CellDesk::mayRepeatStart(const Vm& vm, Now now) const
{
    if (!vm.starts.isOverdue(now.steady))
        return true;
    return std::none_of(vm.placements.begin(), vm.placements.end(), [this](const TaskId& task) { return m_placements.at(task).commandInFlight; });
}

void CellDesk::sendStart(Placement& placement, Vm& vm, Now now)
{
    vm.starts.onSent(now.steady);
    const auto* const ownerJob = job(placement.task.job);
    const auto& task = ownerJob->occurrences.at(placement.task.occurrence).steps.at(placement.task.step).tasks.at(placement.task.index);
    placement.commandInFlight = true;
    if (placement.firstCommandAt == TimePoint())
        placement.firstCommandAt = now.steady;
    placement.lastStartAt = now.steady;
    grantLease(vm, now);
    m_actions.emplace_back(StartRun { vm.report.id, vm.report.address, placement.task, placement.run, ownerJob->spec, leaseDeadlineMs(vm, now), task.checkpoint, placement.ticket });
}

void CellDesk::sendStop(Placement& placement, Vm& vm)
{
    placement.commandInFlight = true;
    m_actions.emplace_back(StopRun { vm.report.id, vm.report.address, placement.task, placement.run });
}

void CellDesk::sendDueCommands(Now now)
{
    std::vector<std::pair<TaskId, std::string_view>> lost;
    for (auto it = m_pendingCommands.begin(); it != m_pendingCommands.end();) {
        auto& placement = m_placements.at(*it);
        const bool isSettled = placement.isDurable && (placement.stopRequested ? placement.stopAcknowledged : placement.started);
        if (isSettled) {
            it = m_pendingCommands.erase(it);
            continue;
        }
        const auto& id = *it++;
        if (!placement.isDurable || placement.commandInFlight || now.steady < placement.nextCommandAt)
            continue;
        auto& vm = m_vms.at(placement.vm);
        const bool noCommandSent = !placement.started && placement.firstCommandAt == TimePoint();
        if (placement.stopRequested) {
            if (noCommandSent)
                lost.emplace_back(id, "stopped_before_start");
            else if (vm.report.address.port != 0)
                sendStop(placement, vm);
            continue;
        }
        // The VM was chosen by the report of the incarnation for which the run was placed.
        const bool isVmRestarted = vm.isIncarnationKnown && placement.incarnation != vm.incarnation;
        if (noCommandSent && !isUsable(vm, now))
            lost.emplace_back(id, "vm_unusable");
        else if (noCommandSent && isVmRestarted)
            lost.emplace_back(id, "vm_restarted");
        else if (noCommandSent && now.steady >= placement.ticketExpiresAt)
            lost.emplace_back(id, "ticket_lapsed");
        else if (vm.report.draining || !vm.listed || isEvacuated(vm) || isVmRestarted)
            placement.stopRequested = true;
        else if (m_isOwnershipConfirmed && vm.isIncarnationKnown && mayRepeatStart(vm, now))
            sendStart(placement, vm, now);
    }
    for (const auto& [id, reason] : lost)
        markRunLost(id, reason, now);
}

} // namespace heatherchute::cell
