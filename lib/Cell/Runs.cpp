#include "heatherchute/Cell.h"

namespace heatherchute::cell {

static Task& taskOf(Job& job, const TaskId& id)
{
    return job.occurrences.at(id.occurrence).steps.at(id.step).tasks.at(id.index);
}

void CellDesk::adjustUsage(const Placement& placement, Vm& vm, int sign)
{
    auto& team = m_teamUsage[placement.team];
    if (sign > 0) {
        vm.used += placement.need;
        team += placement.teamNeed;
        vm.placements.insert(placement.task);
    } else {
        vm.used -= placement.need;
        team -= placement.teamNeed;
        vm.placements.erase(placement.task);
    }
    if (placement.isLongRunning && sign > 0)
        vm.usedByLongRunning += placement.need;
    else if (placement.isLongRunning)
        vm.usedByLongRunning -= placement.need;
    if (placement.priority == 0 && sign > 0)
        m_urgentUsage[vm.report.service] += placement.need;
    else if (placement.priority == 0)
        m_urgentUsage[vm.report.service] -= placement.need;
}

void CellDesk::moveUrgentUsage(const Vm& vm, const std::string& service)
{
    Room usage;
    for (const auto& task : vm.placements) {
        const auto& placement = m_placements.at(task);
        usage += placement.priority == 0 ? placement.need : Room();
    }
    m_urgentUsage[vm.report.service] -= usage;
    m_urgentUsage[service] += usage;
}

void CellDesk::releasePlacement(const TaskId& task)
{
    const auto found = m_placements.find(task);
    if (found == m_placements.end())
        return;
    const auto& placement = found->second;
    auto& vm = m_vms.at(placement.vm);
    adjustUsage(placement, vm, -1);
    if (placement.startUnconfirmed)
        rememberUnansweredStart(vm, placement);
    if (auto* const ownerJob = job(task.job))
        --ownerJob->placements;
    m_pendingCommands.erase(task);
    m_placements.erase(found);
    requestPlacementPass();
}

void CellDesk::onRunEnded(Vm& vm, const FinishedTask& finished, Now now)
{
    const auto found = m_placements.find(finished.task);
    const bool isCurrent = found != m_placements.end() && found->second.run == finished.run && found->second.vm == vm.report.id;
    m_actions.emplace_back(Decision { "run_ended", { { "task", taskText(finished.task) }, { "run", finished.run }, { "vm", vm.report.id }, { "end", runEndName(finished.end) }, { "number", finished.number }, { "current", isCurrent } } });
    if (!isCurrent)
        return;
    const auto placement = found->second;
    auto* const ownerJob = job(finished.task.job);
    releasePlacement(finished.task);
    if (!ownerJob)
        return;
    markDirty(ownerJob->id);
    if (placement.abandoned || isFinal(ownerJob->phase))
        return;
    markRunning(*ownerJob);
    switch (finished.end) {
    case RunEnd::Done:
        vm.consecutiveFailures = 0;
        taskDone(*ownerJob, placement, now);
        return;
    case RunEnd::Failed:
        if (vm.lastFailedJob != ownerJob->id)
            ++vm.consecutiveFailures;
        vm.lastFailedJob = ownerJob->id;
        taskFailed(*ownerJob, placement, now);
        break;
    case RunEnd::Stopped:
    case RunEnd::Lapsed:
    case RunEnd::Broken:
    case RunEnd::Alone:
        taskLost(*ownerJob, placement, finished.checkpoint, runEndName(finished.end), now);
        break;
    }
    /// Consecutive failures of different jobs, without a success in between, after which a VM is
    /// suspect. One task in fifty fails by its own fault, so three in a row are rarely a coincidence.
    constexpr unsigned suspectFailures = 3;
    if (vm.consecutiveFailures >= suspectFailures)
        quarantine(vm, Milliseconds(2000) * (1U << std::min(vm.consecutiveFailures - suspectFailures, 3U)), "failures_in_row", now);
}

void CellDesk::taskDone(Job& job, const Placement& placement, Now now)
{
    auto& occurrence = job.occurrences.at(placement.task.occurrence);
    auto& step = occurrence.steps.at(placement.task.step);
    if (job.spec->steps.at(placement.task.step).gang) {
        // The end of one member completes the whole gang. The resources of the others are released
        // when the VMs list their ends.
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            step.tasks[i].phase = TaskPhase::Done;
            const auto other = m_placements.find({ job.id, placement.task.occurrence, placement.task.step, i });
            if (other != m_placements.end())
                other->second.abandoned = true;
        }
        step.done = static_cast<std::uint32_t>(step.tasks.size());
    } else {
        auto& task = step.tasks.at(placement.task.index);
        if (job.spec->steps.at(placement.task.step).longRunning) {
            task.phase = TaskPhase::Waiting;
            return;
        }
        task.phase = TaskPhase::Done;
        ++step.done;
    }
    if (step.isDone())
        stepFinished(job, occurrence, now);
}

void CellDesk::taskFailed(Job& job, const Placement& placement, Now now)
{
    auto& step = job.occurrences.at(placement.task.occurrence).steps.at(placement.task.step);
    auto& task = step.tasks.at(placement.task.index);
    const auto& spec = job.spec->steps.at(placement.task.step);
    task.phase = TaskPhase::Waiting;
    std::uint32_t failures = 0;
    if (spec.gang) {
        if (step.lastFailedRun != placement.run) {
            ++step.gangFailures;
            step.lastFailedRun = placement.run;
        }
        failures = step.gangFailures;
    } else {
        failures = ++task.failures;
    }
    if (!spec.longRunning && failures >= maxAttempts(job)) {
        finishJob(job, JobPhase::Failed, now, { { "task", taskText(placement.task) }, { "attempts", failures } });
        stopAll(job, now);
        return;
    }
    if (spec.gang)
        stopGang(job, placement.task, now);
}

void CellDesk::taskLost(Job& job, const Placement& placement, const std::string& checkpoint, std::string_view reason, Now now)
{
    auto& task = taskOf(job, placement.task);
    task.phase = TaskPhase::Waiting;
    if (!checkpoint.empty())
        task.checkpoint = checkpoint;
    m_actions.emplace_back(Decision { "task_waits_again", { { "task", taskText(placement.task) }, { "run", placement.run }, { "vm", placement.vm }, { "why", reason } } });
    if (job.spec->steps.at(placement.task.step).gang)
        stopGang(job, placement.task, now);
}

void CellDesk::markRunLost(const TaskId& id, std::string_view reason, Now now)
{
    const auto found = m_placements.find(id);
    if (found == m_placements.end())
        return;
    const auto placement = found->second;
    releasePlacement(id);
    auto* const ownerJob = job(id.job);
    if (!ownerJob)
        return;
    markDirty(ownerJob->id);
    if (!placement.abandoned && !isFinal(ownerJob->phase))
        taskLost(*ownerJob, placement, {}, reason, now);
}

void CellDesk::stopGang(Job& job, const TaskId& member, Now now)
{
    const auto count = job.occurrences.at(member.occurrence).steps.at(member.step).tasks.size();
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto other = m_placements.find({ job.id, member.occurrence, member.step, i });
        if (other == m_placements.end() || i == member.index)
            continue;
        requestStop(other->second, now);
    }
}

void CellDesk::stopAll(Job& job, Now now)
{
    for (auto it = m_placements.lower_bound({ job.id, 0, 0, 0 }); it != m_placements.end() && it->first.job == job.id; ++it)
        requestStop(it->second, now);
}

void CellDesk::onStart(const StartResponse& response, Now now)
{
    /// How long a start command is retried at its VM before the run is abandoned there.
    constexpr Milliseconds startRetryWindow { 1200 };
    constexpr Milliseconds startRetry { 120 };
    const auto knownVm = m_vms.find(response.vm);
    if (knownVm == m_vms.end())
        return;
    auto& vm = knownVm->second;
    const auto& task = response.task;
    const auto found = m_placements.find(task);
    const bool isCurrent = found != m_placements.end() && found->second.run == response.run && found->second.vm == response.vm;
    checkClock(vm, isCurrent ? &found->second : nullptr, response, now);
    if (isResponse(response.answer))
        vm.starts.onAnswered(response.sentAt, now.steady);
    if (!isCurrent)
        return;
    auto& placement = found->second;
    placement.commandInFlight = false;
    if (response.answer != StartAnswer::Started)
        m_actions.emplace_back(Decision { "start_not_taken", { { "task", taskText(task) }, { "run", response.run }, { "vm", response.vm }, { "answer", startAnswerName(response.answer) } } });
    auto* const ownerJob = job(task.job);
    const bool isRetryWindowOver = now.steady - placement.firstCommandAt > startRetryWindow;
    switch (response.answer) {
    case StartAnswer::Started:
        placement.started = true;
        placement.lastResponseAt = now.steady;
        vm.missedHeartbeats = 0;
        if (ownerJob)
            markRunning(*ownerJob);
        return;
    case StartAnswer::Superseded:
        // The VM lists the end of the run, or it has been processed already; the next list shows which.
        placement.started = true;
        placement.lastResponseAt = now.steady;
        return;
    case StartAnswer::Fenced:
        m_actions.emplace_back(LostOwnership { response.vm });
        return;
    case StartAnswer::Unknown:
        placement.startUnconfirmed = true;
        placement.nextCommandAt = now.steady + startRetry;
        placement.stopRequested = placement.stopRequested || isRetryWindowOver;
        return;
    case StartAnswer::NotSent:
        placement.nextCommandAt = now.steady + startRetry;
        if (!isRetryWindowOver)
            return;
        quarantine(vm, Milliseconds(1000), "start_not_sent", now);
        break;
    case StartAnswer::TooLate:
        break;
    case StartAnswer::NoRoom:
        quarantine(vm, Milliseconds(500), "no_room", now);
        break;
    case StartAnswer::BadTicket:
        if (auto* const advice = findAdvice(task))
            advice->allowed.erase(response.vm);
        break;
    case StartAnswer::Unhealthy:
        quarantine(vm, Milliseconds(2000), "unhealthy", now);
        break;
    case StartAnswer::WrongVm:
        quarantine(vm, Milliseconds(1000), "wrong_vm", now);
        break;
    case StartAnswer::Malformed:
        quarantine(vm, Milliseconds(1000), "malformed", now);
        break;
    }
    // An earlier start command without a response may still be carried out unless the run is stopped.
    if (placement.startUnconfirmed) {
        placement.stopRequested = true;
        placement.nextCommandAt = now.steady;
        return;
    }
    markRunLost(task, startAnswerName(response.answer), now);
}

void CellDesk::onStop(const std::string& vmId, const TaskId& task, std::uint32_t run, StopAnswer response, Now now)
{
    constexpr Milliseconds stopRetry { 250 };
    /// Upper bound of the number of doublings of the delay at a VM that refuses stop commands.
    constexpr unsigned maxDoublings = 2;
    if (response == StopAnswer::Fenced)
        m_actions.emplace_back(LostOwnership { vmId });
    if (const auto vm = m_vms.find(vmId); vm != m_vms.end() && isResponse(response))
        vm->second.starts.onResponse();
    const auto found = m_placements.find(task);
    if (found == m_placements.end() || found->second.run != run || found->second.vm != vmId)
        return;
    auto& placement = found->second;
    placement.commandInFlight = false;
    placement.nextCommandAt = now.steady + stopRetry * (1U << std::min(placement.refusedStops, maxDoublings));
    if (!isStopConfirmed(response)) {
        placement.refusedStops += response == StopAnswer::Refused ? 1 : 0;
        return;
    }
    placement.stopAcknowledged = true;
    placement.lastResponseAt = now.steady;
}

} // namespace heatherchute::cell
