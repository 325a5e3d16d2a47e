#include "heatherchute/Cell.h"

namespace heatherchute::cell {

static Task& taskOf(Job& job, const TaskId& id)
{
    return job.occurrences.at(id.occurrence).steps.at(id.step).tasks.at(id.index);
}

void CellDesk::countUse(const Placement& placement, Vm& vm, int sign)
{
    auto& team = m_teamUse[placement.team];
    if (sign > 0) {
        vm.used += placement.need;
        team += placement.need;
        vm.placements.insert(placement.task);
    } else {
        vm.used -= placement.need;
        team -= placement.need;
        vm.placements.erase(placement.task);
    }
    if (placement.priority == 0)
        m_urgentUse[vm.report.service] += sign * placement.need.cpuMilli;
}

void CellDesk::release(const TaskId& task)
{
    const auto found = m_placements.find(task);
    if (found == m_placements.end())
        return;
    const auto& placement = found->second;
    countUse(placement, m_vms.at(placement.vm), -1);
    if (auto* const owner = job(task.job))
        --owner->placements;
    m_orderable.erase(task);
    m_placements.erase(found);
    wantPlacing();
}

void CellDesk::onEnd(Vm& vm, const FinishedTask& finished, Now now)
{
    const auto found = m_placements.find(finished.task);
    const bool isCurrent = found != m_placements.end() && found->second.run == finished.run && found->second.vm == vm.report.id;
    m_actions.emplace_back(Decision { "run_ended", { { "task", taskText(finished.task) }, { "run", finished.run }, { "vm", vm.report.id }, { "end", runEndName(finished.end) }, { "number", finished.number }, { "current", isCurrent } } });
    if (!isCurrent)
        return;
    const auto placement = found->second;
    auto* const owner = job(finished.task.job);
    release(finished.task);
    if (!owner)
        return;
    markDirty(owner->id);
    if (placement.abandoned || isFinal(owner->phase))
        return;
    noteFirstStart(*owner);
    switch (finished.end) {
    case RunEnd::Done:
        vm.failuresInRow = 0;
        taskDone(*owner, placement, now);
        return;
    case RunEnd::Failed:
        if (vm.lastFailedJob != owner->id)
            ++vm.failuresInRow;
        vm.lastFailedJob = owner->id;
        taskFailed(*owner, placement, now);
        break;
    case RunEnd::Stopped:
    case RunEnd::Lapsed:
    case RunEnd::Broken:
    case RunEnd::Alone:
        taskLost(*owner, placement, finished.checkpoint, runEndName(finished.end), now);
        break;
    }
    /// Failures of different jobs in a row, without a success between, that make a VM suspect:
    /// one task in fifty fails by its own fault, so three of them by chance are rare.
    constexpr unsigned suspectFailures = 3;
    if (vm.failuresInRow >= suspectFailures)
        distrust(vm, Milliseconds(2000) * (1U << std::min(vm.failuresInRow - suspectFailures, 3U)), "failures_in_row", now);
}

void CellDesk::taskDone(Job& job, const Placement& placement, Now now)
{
    auto& occurrence = job.occurrences.at(placement.task.occurrence);
    auto& step = occurrence.steps.at(placement.task.step);
    if (job.spec->steps.at(placement.task.step).gang) {
        // One end stands for the whole gang; the others' rooms are freed as their ends are listed.
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

void CellDesk::taskLost(Job& job, const Placement& placement, const std::string& checkpoint, std::string_view why, Now now)
{
    auto& task = taskOf(job, placement.task);
    task.phase = TaskPhase::Waiting;
    if (!checkpoint.empty())
        task.checkpoint = checkpoint;
    m_actions.emplace_back(Decision { "task_waits_again", { { "task", taskText(placement.task) }, { "run", placement.run }, { "vm", placement.vm }, { "why", why } } });
    if (job.spec->steps.at(placement.task.step).gang)
        stopGang(job, placement.task, now);
}

void CellDesk::loseRun(const TaskId& id, std::string_view why, Now now)
{
    const auto found = m_placements.find(id);
    if (found == m_placements.end())
        return;
    const auto placement = found->second;
    release(id);
    auto* const owner = job(id.job);
    if (!owner)
        return;
    markDirty(owner->id);
    if (!placement.abandoned && !isFinal(owner->phase))
        taskLost(*owner, placement, {}, why, now);
}

void CellDesk::stopGang(Job& job, const TaskId& member, Now now)
{
    const auto count = job.occurrences.at(member.occurrence).steps.at(member.step).tasks.size();
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto other = m_placements.find({ job.id, member.occurrence, member.step, i });
        if (other == m_placements.end() || i == member.index)
            continue;
        other->second.stopWanted = true;
        other->second.nextOrderAt = now.steady;
        m_orderable.insert(other->first);
    }
}

void CellDesk::stopAll(Job& job, Now now)
{
    for (auto it = m_placements.lower_bound({ job.id, 0, 0, 0 }); it != m_placements.end() && it->first.job == job.id; ++it) {
        it->second.stopWanted = true;
        it->second.nextOrderAt = now.steady;
        m_orderable.insert(it->first);
    }
}

void CellDesk::onStart(const std::string& vmId, const TaskId& task, std::uint32_t run, StartAnswer answer, Now now)
{
    /// How long a start is repeated at its VM before the run is given up there.
    constexpr Milliseconds startWindow { 1200 };
    constexpr Milliseconds startRetry { 120 };
    const auto found = m_placements.find(task);
    if (found == m_placements.end() || found->second.run != run || found->second.vm != vmId)
        return;
    auto& placement = found->second;
    auto& vm = m_vms.at(vmId);
    placement.orderInFlight = false;
    if (answer != StartAnswer::Started)
        m_actions.emplace_back(Decision { "start_not_taken", { { "task", taskText(task) }, { "run", run }, { "vm", vmId }, { "answer", startAnswerName(answer) } } });
    auto* const owner = job(task.job);
    const bool isLong = now.steady - placement.firstOrderAt > startWindow;
    switch (answer) {
    case StartAnswer::Started:
        placement.started = true;
        placement.answeredAt = now.steady;
        vm.misses = 0;
        if (owner)
            noteFirstStart(*owner);
        return;
    case StartAnswer::Superseded:
        // Its end stands in the VM's list, or has been handled; the next list decides.
        placement.started = true;
        placement.answeredAt = now.steady;
        return;
    case StartAnswer::Fenced:
        m_actions.emplace_back(LostOwnership { vmId });
        return;
    case StartAnswer::Unknown:
        placement.startUnknown = true;
        placement.nextOrderAt = now.steady + startRetry;
        placement.stopWanted = placement.stopWanted || isLong;
        return;
    case StartAnswer::NotSent:
        placement.nextOrderAt = now.steady + startRetry;
        if (!isLong)
            return;
        distrust(vm, Milliseconds(1000), "start_not_sent", now);
        break;
    case StartAnswer::TooLate:
        break;
    case StartAnswer::NoRoom:
        distrust(vm, Milliseconds(500), "no_room", now);
        break;
    case StartAnswer::BadTicket:
        if (auto* const advice = adviceOf(task))
            advice->allowed.erase(vmId);
        break;
    case StartAnswer::Unhealthy:
        distrust(vm, Milliseconds(2000), "unhealthy", now);
        break;
    case StartAnswer::WrongVm:
        distrust(vm, Milliseconds(1000), "wrong_vm", now);
        break;
    case StartAnswer::Malformed:
        distrust(vm, Milliseconds(1000), "malformed", now);
        break;
    }
    // An earlier order without an answer may still be carried out, unless a stop forbids it.
    if (placement.startUnknown) {
        placement.stopWanted = true;
        placement.nextOrderAt = now.steady;
        return;
    }
    loseRun(task, startAnswerName(answer), now);
}

void CellDesk::onStop(const std::string& vmId, const TaskId& task, std::uint32_t run, bool answered, bool fenced, Now now)
{
    constexpr Milliseconds stopRetry { 250 };
    if (fenced)
        m_actions.emplace_back(LostOwnership { vmId });
    const auto found = m_placements.find(task);
    if (found == m_placements.end() || found->second.run != run || found->second.vm != vmId)
        return;
    auto& placement = found->second;
    placement.orderInFlight = false;
    placement.nextOrderAt = now.steady + stopRetry;
    if (!answered)
        return;
    placement.stopAnswered = true;
    placement.answeredAt = now.steady;
}

} // namespace heatherchute::cell
