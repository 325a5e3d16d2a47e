#include "World.h"

namespace heatherchute::cell {

static bool hasLabel(const VmReport& vm, const std::string& label)
{
    return label.empty() || std::find(vm.labels.begin(), vm.labels.end(), label) != vm.labels.end();
}

void World::checkStart(const ModelVm& vm, const StartRun& order, bool isIncarnationSeen)
{
    const auto name = taskText(order.task);
    const auto job = m_jobs.find(order.task.job);
    if (job == m_jobs.end())
        return broken("start of " + name + ", which nobody handed in");
    if (!job->second.isAccepted && !job->second.isUnsure && job->second.openCalls == 0)
        broken("start of " + name + ", whose submissions were all refused");
    const auto& step = job->second.spec.steps.at(order.task.step);
    const auto& task = job->second.tasks.at(order.task);
    if (!(vm.used() + takenOfVm(step)).fitsIn(vm.report.capacity))
        broken("start of " + name + " overcommits " + vm.report.id);
    // A command does not name the incarnation that it is meant for.
    if (isIncarnationSeen && !hasLabel(vm.report, step.requiredLabel))
        broken("start of " + name + " on " + vm.report.id + ", which does not have the label " + step.requiredLabel);
    /// Time after which an evacuation must be in force.
    constexpr Seconds evacuationBound { 5 };
    const auto evacuated = m_evacuatedSince.find(vm.report.failureDomain);
    if (evacuated != m_evacuatedSince.end() && m_clock.now() - evacuated->second > evacuationBound)
        broken("start of " + name + " on " + vm.report.id + " in the evacuated domain " + vm.report.failureDomain);
    if (task.doneNoted)
        broken("start of " + name + " after its end was taken note of");
    if (task.failuresNoted >= job->second.queue->policy.maxAttempts && !step.gang)
        broken("start of " + name + " after all its attempts");
    for (const auto& [id, other] : m_vms) {
        if (other.isUp && id != vm.report.id && other.running.contains(order.task))
            broken("start of " + name + " on " + vm.report.id + ", though it runs elsewhere");
    }
    for (const auto earlier : step.after) {
        for (const auto& [id, known] : job->second.tasks) {
            if (id.step == earlier && !known.isDone)
                return broken("start of " + name + " before step " + std::to_string(earlier) + " is done");
        }
    }
    std::size_t together = 0;
    for (const auto& [id, run] : vm.running)
        together += id.job == order.task.job && id.step == order.task.step ? 1 : 0;
    if (step.maxTasksPerVm > 0 && together >= step.maxTasksPerVm)
        broken("start of " + name + " beside too many of its step on " + vm.report.id);
    Room team = step.need;
    for (const auto& [id, other] : m_vms) {
        for (const auto& [running, run] : other.running) {
            if (other.isUp && m_jobs.at(running.job).team == job->second.team)
                team += run.teamNeed;
        }
    }
    const auto limit = m_policy->findTeam(job->second.team)->upperLimit;
    if (!team.fitsIn(limit))
        broken("start of " + name + " takes " + job->second.team + " over its limit");
}

void World::finishJobs()
{
    for (auto& [id, job] : m_jobs) {
        if (job.isOver || !m_desk)
            continue;
        const auto phase = m_desk->query(id);
        if (!phase || !isFinal(*phase))
            continue;
        job.isOver = true;
        auto& result = m_result.queues[job.queue->policy.name];
        if (*phase == JobPhase::Cancelled) {
            ++result.cancelled;
            continue;
        }
        if (*phase == JobPhase::Failed) {
            ++result.failed;
            continue;
        }
        for (const auto& [task, state] : job.tasks) {
            if (!state.isDone) {
                broken("job " + id + " is shown as completed, and " + taskText(task) + " is not done");
                break;
            }
        }
        countJob(job, std::chrono::duration_cast<Milliseconds>(m_clock.now() - job.handedIn), m_result);
    }
}

bool World::isEndless(const ModelJob& job) const
{
    const bool hasLongRunning = std::any_of(m_settings.queues.begin(), m_settings.queues.end(), [](const ModelQueue& queue) { return queue.isLongRunning; });
    return job.queue->isLongRunning || (job.hasOversizedGang && hasLongRunning);
}

bool World::couldRun(const ModelJob& job, const TaskId& step) const
{
    const auto& spec = job.spec.steps[step.step];
    std::size_t slots = 0;
    for (const auto& [name, vm] : m_vms) {
        if (!isReachable(vm) || vm.report.draining || m_evacuatedSince.contains(vm.report.failureDomain) || !isAllowed(stepText(step), name, job.queue->allowedShare) || !hasLabel(vm.report, spec.requiredLabel))
            continue;
        const auto free = vm.report.capacity - vm.used();
        const auto byMemory = free.memoryMb / spec.need.memoryMb;
        const auto here = spec.usesIdleRoom ? byMemory : std::min(free.cpuMilli / spec.need.cpuMilli, byMemory);
        slots += static_cast<std::size_t>(spec.maxTasksPerVm > 0 ? std::min<std::int64_t>(here, spec.maxTasksPerVm) : here);
    }
    const auto open = std::count_if(job.tasks.begin(), job.tasks.end(), [&](const auto& task) { return task.first.step == step.step && !task.second.isDone; });
    return open > 0 && slots >= 2 * static_cast<std::size_t>(spec.gang ? open : 1);
}

void World::checkStandstill()
{
    /// How long a job may stand still, and how long after the load all that is left should be run.
    constexpr Seconds longestStandstill { 3 };
    constexpr Seconds timeToFinish { 14 };
    constexpr Milliseconds interval { 200 };
    if (m_clock.now() < m_loadEnd + timeToFinish || m_clock.now() < m_nextStandstillCheck)
        return;
    m_nextStandstillCheck = m_clock.now() + interval;
    std::set<std::string> running;
    Room used;
    Room capacity;
    std::map<std::string, Room> teamUse;
    for (const auto& [name, vm] : m_vms) {
        if (!vm.isUp)
            continue;
        // What an evacuated domain has is not free for anybody.
        if (!m_evacuatedSince.contains(vm.report.failureDomain)) {
            capacity += vm.report.capacity;
            used += vm.used();
        }
        for (const auto& [task, run] : vm.running) {
            running.insert(task.job);
            teamUse[m_jobs.at(task.job).team] += run.teamNeed;
        }
    }
    const auto isHalfFree = [](const Room& taken, const Room& most) { return 2 * taken.cpuMilli < most.cpuMilli && 2 * taken.memoryMb < most.memoryMb; };
    const bool isCellFree = isHalfFree(used, capacity);
    for (auto& [id, job] : m_jobs) {
        if (!job.isAccepted || job.isOver)
            continue;
        bool isStill = isCellFree && !running.contains(id) && isHalfFree(teamUse[job.team], m_policy->findTeam(job.team)->upperLimit);
        for (std::uint32_t s = 0; isStill && s < job.spec.steps.size(); ++s) {
            const bool isDone = std::all_of(job.tasks.begin(), job.tasks.end(), [&](const auto& task) { return task.first.step != s || task.second.isDone; });
            if (isDone)
                continue;
            isStill = couldRun(job, { id, 0, s, 0 });
            break;
        }
        if (!isStill) {
            job.stillSince.reset();
            continue;
        }
        if (!job.stillSince)
            job.stillSince = m_clock.now();
        if (m_clock.now() - *job.stillSince > longestStandstill) {
            broken("job " + id + " of " + job.queue->policy.name + " stands still, with room for it twice over");
            job.stillSince = TimePoint::max();
        }
    }
}

} // namespace heatherchute::cell
