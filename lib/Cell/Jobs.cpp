#include "heatherchute/Cell.h"

namespace heatherchute::cell {

CellDesk::CellDesk(CellLimits limits, TimePoint inheritedLeaseEnd)
    : m_limits(limits)
    , m_inheritedLeaseEnd(inheritedLeaseEnd)
{
}

void CellDesk::setPolicy(CellPolicyPointer policy)
{
    m_policy = std::move(policy);
}

Job* CellDesk::job(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Job* CellDesk::findJob(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void CellDesk::submit(CallId call, const std::string& id, const std::string& queue, const std::string& team, JobSpec spec, Now now)
{
    AfterCommit after;
    after.answer = AnswerCall { call, ErrorKind::None };
    after.job = id;
    if (const auto* const known = job(id)) {
        // The same id is the same job, whoever repeats it and whenever.
        m_actions.emplace_back(Decision { "submission_repeated", { { "job", id }, { "phase", jobPhaseName(known->phase) } } });
        if (known->isDurable)
            m_actions.emplace_back(*after.answer);
        else
            m_afterNext.push_back(std::move(after));
        return;
    }
    const auto* const policy = m_policy ? m_policy->findQueue(queue) : nullptr;
    if (!policy) {
        m_actions.emplace_back(AnswerCall { call, ErrorKind::StaleConfiguration });
        return;
    }
    Job job;
    job.id = id;
    job.queue = queue;
    job.team = team;
    job.service = policy->service;
    job.spec = std::make_shared<const JobSpec>(std::move(spec));
    job.acceptedUnixMs = now.unixMs;
    job.acceptedAt = now.steady;
    job.chain = chainOf(*job.spec);
    job.workCpuMs = workOf(*job.spec);
    if (isStoreSilent(now))
        return refuseSubmission(call, job, now);
    job.isExcess = takesExcess(team, now);
    /// Past this many times its objective a job earns nothing, so a caller had better come back.
    constexpr int lateFactor = 3;
    const auto objective = policy->target + std::chrono::duration_cast<Milliseconds>(job.chain * policy->stretch);
    if (job.isExcess && backlog() > objective * lateFactor) {
        const auto wait = std::chrono::ceil<Seconds>(backlog() - objective);
        m_actions.emplace_back(Decision { "submission_refused", { { "job", id }, { "queue", queue }, { "team", team }, { "why", "beyond_rate" }, { "backlog_ms", backlog().count() }, { "objective_ms", objective.count() } } });
        m_actions.emplace_back(AnswerCall { call, ErrorKind::OverLimit, std::min(wait, Seconds(10)) });
        return;
    }
    m_openCpuMs += job.workCpuMs;
    auto& added = m_jobs.emplace(id, std::move(job)).first->second;
    added.sequence = m_nextSequence++;
    m_active.emplace(id, &added);
    openOccurrences(added, now);
    if (added.nextOccurrence < added.spec->occurrences)
        m_scheduled.insert(id);
    markDirty(id);
    m_afterNext.push_back(std::move(after));
}

bool CellDesk::takesExcess(const std::string& teamName, Now now)
{
    /// Seconds of its rate that a team may hand in at once.
    constexpr double burstSeconds = 1.5;
    const auto* const team = m_policy->findTeam(teamName);
    if (!team || team->weight <= 0)
        return false;
    const auto [rate, isNew] = m_teamRates.try_emplace(teamName);
    auto& [tokens, filledAt] = rate->second;
    const auto most = team->weight * burstSeconds;
    tokens = isNew ? most : std::min(most, tokens + team->weight * std::chrono::duration<double>(now.steady - filledAt).count());
    filledAt = now.steady;
    if (tokens < 1)
        return true;
    tokens -= 1;
    return false;
}

void CellDesk::cancel(CallId call, const std::string& id, Now now)
{
    auto* const known = job(id);
    if (!known) {
        m_actions.emplace_back(AnswerCall { call, ErrorKind::NotFound });
        return;
    }
    AfterCommit after;
    after.answer = AnswerCall { call, ErrorKind::None };
    after.job = id;
    if (!isFinal(known->phase)) {
        finishJob(*known, JobPhase::Cancelled, now, Json::object());
        stopAll(*known, now);
    }
    markDirty(id);
    m_afterNext.push_back(std::move(after));
}

std::optional<JobPhase> CellDesk::query(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return std::nullopt;
    return found->second.shownPhase;
}

std::uint64_t CellDesk::pending(const std::string& queue) const
{
    std::uint64_t count = 0;
    for (const auto& [id, job] : m_active)
        count += job->phase == JobPhase::Queued && job->queue == queue ? 1 : 0;
    return count;
}

Milliseconds CellDesk::backlog() const
{
    if (m_capacityCpuMilli == 0)
        return Milliseconds(0);
    return Milliseconds(static_cast<std::int64_t>(m_openCpuMs * 1000 / static_cast<double>(m_capacityCpuMilli)));
}

std::pair<std::size_t, std::size_t> CellDesk::reach() const
{
    std::pair<std::size_t, std::size_t> result { 0, 0 };
    for (const auto& [id, vm] : m_vms) {
        result.first += vm.listed ? 1 : 0;
        result.second += vm.listed && vm.fenced && vm.misses == 0 ? 1 : 0;
    }
    return result;
}

std::uint32_t CellDesk::maxAttempts(const Job& job) const
{
    const auto* const queue = m_policy ? m_policy->findQueue(job.queue) : nullptr;
    return queue ? queue->maxAttempts : 1;
}

void CellDesk::openOccurrences(Job& job, Now now)
{
    const auto total = std::max<std::uint32_t>(1, job.spec->occurrences);
    while (job.nextOccurrence < total) {
        const auto dueMs = job.spec->firstDueMs + job.nextOccurrence * job.spec->intervalMs;
        if (job.spec->occurrences > 0 && now.unixMs + m_limits.earliness.count() < dueMs)
            return;
        auto& occurrence = job.occurrences[job.nextOccurrence++];
        for (const auto& step : job.spec->steps) {
            occurrence.steps.emplace_back();
            occurrence.steps.back().tasks.resize(step.tasks);
        }
        markDirty(job.id);
        wantPlacing();
    }
}

void CellDesk::finishJob(Job& job, JobPhase phase, Now now, Json why)
{
    job.phase = phase;
    job.endedAt = now.steady;
    m_openCpuMs -= job.workCpuMs;
    wantPlacing();
    markDirty(job.id);
    why["job"] = job.id;
    why["queue"] = job.queue;
    why["phase"] = jobPhaseName(phase);
    why["age_ms"] = std::chrono::duration_cast<Milliseconds>(now.steady - job.acceptedAt).count();
    m_actions.emplace_back(Decision { "job_ended", std::move(why) });
}

void CellDesk::stepFinished(Job& job, Occurrence& occurrence, Now now)
{
    for (const auto& step : occurrence.steps) {
        if (!step.isDone())
            return;
    }
    ++job.doneOccurrences;
    if (job.doneOccurrences == std::max<std::uint32_t>(1, job.spec->occurrences))
        finishJob(job, JobPhase::Completed, now, Json::object());
}

void CellDesk::noteFirstStart(Job& job)
{
    if (job.phase != JobPhase::Queued)
        return;
    job.phase = JobPhase::Running;
    if (job.isDurable)
        job.shownPhase = JobPhase::Running;
}

void CellDesk::forgetOldJobs(Now now)
{
    /// Old jobs are looked for this often; how long they stay known is far longer.
    constexpr Milliseconds lookEvery { 500 };
    if (now.steady < m_nextForget)
        return;
    m_nextForget = now.steady + lookEvery;
    for (auto it = m_active.begin(); it != m_active.end();) {
        const auto& job = *it->second;
        const bool isOver = isFinal(job.phase) && job.shownPhase == job.phase && job.placements == 0;
        it = isOver ? m_active.erase(it) : std::next(it);
    }
    /// Jobs removed at once, so that a commit stays small.
    constexpr std::size_t maxForgotten = 20;
    for (auto it = m_jobs.begin(); it != m_jobs.end() && m_forgotten.size() < maxForgotten;) {
        const auto& job = it->second;
        const bool isOld = !m_active.contains(job.id) && isFinal(job.phase) && now.steady - job.endedAt > m_limits.jobRetention;
        if (isOld)
            m_forgotten.insert(job.id);
        it = isOld ? m_jobs.erase(it) : std::next(it);
    }
}

CellDesk::Figures CellDesk::figures() const
{
    Figures figures { m_jobs.size(), 0, m_placements.size(), 0, 0 };
    for (const auto& [id, job] : m_active) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const auto& step : occurrence.steps)
                figures.waitingTasks += static_cast<std::size_t>(std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto& task) { return task.phase == TaskPhase::Waiting; }));
        }
    }
    std::tie(figures.vms, figures.reachableVms) = reach();
    return figures;
}

std::vector<Action> CellDesk::takeActions()
{
    return std::exchange(m_actions, {});
}

void CellDesk::advance(Now now)
{
    for (auto it = m_scheduled.begin(); it != m_scheduled.end();) {
        auto& job = m_jobs.at(*it);
        if (!isFinal(job.phase))
            openOccurrences(job, now);
        const bool isOver = isFinal(job.phase) || job.nextOccurrence >= job.spec->occurrences;
        it = isOver ? m_scheduled.erase(it) : std::next(it);
    }
    /// VMs are looked at this often; heartbeats are not more urgent.
    constexpr Milliseconds lookPause { 4 };
    driveOrders(now);
    place(now);
    if (now.steady >= m_nextLook) {
        m_nextLook = now.steady + lookPause;
        lapseSilent(now);
        beatVms(now);
    }
    forgetOldJobs(now);
    refuseUnwritten(now);
    flush(now);
}

} // namespace heatherchute::cell
