#include "heatherchute/Cell.h"

namespace heatherchute::cell {

CellDesk::CellDesk(CellLimits limits, TimePoint inheritedLeaseEnd)
    : m_limits(limits)
    , m_inheritedLeaseEnd(inheritedLeaseEnd)
{
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
    after.response = AnswerCall { call, ErrorKind::None };
    after.job = id;
    if (auto* const known = job(id))
        return submitAgain(*known, queue, team, std::move(after));
    if (isUnreadable(id)) {
        m_actions.emplace_back(AnswerCall { call, ErrorKind::StoreUnavailable });
        return;
    }
    const auto* const policy = findQueue(queue);
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
    job.criticalPath = chainOf(*job.spec);
    job.workCpuMs = workOf(*job.spec);
    if (isStoreUnresponsive(now))
        return rejectSubmission(call, job, now);
    job.isAboveTeamRate = exceedsTeamRate(team, now);
    /// A job that takes longer than this multiple of its objective has no value, so the client should
    /// rather retry later.
    constexpr int lateFactor = 3;
    const auto objective = objectiveOf(*policy, job.criticalPath);
    if (job.isAboveTeamRate && backlog() > objective * lateFactor) {
        const auto wait = std::chrono::ceil<Seconds>(backlog() - objective);
        m_actions.emplace_back(Decision { "submission_refused", { { "job", id }, { "queue", queue }, { "team", team }, { "why", "beyond_rate" }, { "backlog_ms", backlog().count() }, { "objective_ms", objective.count() } } });
        m_actions.emplace_back(AnswerCall { call, ErrorKind::OverLimit, std::min(wait, Seconds(10)) });
        return;
    }
    m_outstandingCpuMs += job.workCpuMs;
    m_removedJobs.erase(id);
    auto& added = m_jobs.emplace(id, std::move(job)).first->second;
    added.sequence = m_nextSequence++;
    m_activeJobs.emplace(id, &added);
    createDueOccurrences(added, now);
    if (added.nextOccurrence < added.spec->occurrences)
        m_scheduledJobs.insert(id);
    markDirty(id);
    m_afterNextCommit.push_back(std::move(after));
}

void CellDesk::submitAgain(Job& job, const std::string& queue, const std::string& team, AfterCommit after)
{
    // Submissions are idempotent: the same id means the same job, whoever repeats it and whenever.
    m_actions.emplace_back(Decision { "submission_repeated", { { "job", job.id }, { "phase", jobPhaseName(job.phase) }, { "first", !job.isSubmitted } } });
    if (!job.isSubmitted) {
        job.isSubmitted = true;
        job.isDurable = false;
        job.queue = queue;
        job.team = team;
        --m_unsubmittedJobs;
        markDirty(job.id);
    }
    // A commit in progress may confirm an earlier state of the job.
    if (job.isDurable && !m_dirtyJobs.contains(job.id))
        m_actions.emplace_back(*after.response);
    else
        m_afterNextCommit.push_back(std::move(after));
}

bool CellDesk::exceedsTeamRate(const std::string& teamName, Now now)
{
    /// Burst size of a team's submissions, in seconds of its rate.
    constexpr double burstSeconds = 1.5;
    const auto* const team = m_policy->findTeam(teamName);
    if (!team || team->weight <= 0)
        return false;
    const auto [rate, isNew] = m_teamRates.try_emplace(teamName);
    auto& [tokens, refilledAt] = rate->second;
    const auto maxTokens = team->weight * burstSeconds;
    tokens = isNew ? maxTokens : std::min(maxTokens, tokens + team->weight * std::chrono::duration<double>(now.steady - refilledAt).count());
    refilledAt = now.steady;
    if (tokens < 1)
        return true;
    tokens -= 1;
    return false;
}

Job* CellDesk::addCancelledJob(CallId call, const std::string& id, Now now)
{
    /// Bounds the memory, and the records in the store, that calls with arbitrary ids can occupy.
    constexpr std::size_t maxUnsubmittedJobs = 10'000;
    const bool isFull = m_unsubmittedJobs >= maxUnsubmittedJobs;
    const bool isStorable = !isUnreadable(id) && !isStoreUnresponsive(now);
    m_actions.emplace_back(Decision { "cancel_of_unknown_job", { { "job", id }, { "unreadable", isUnreadable(id) }, { "confirmed", m_isOwnershipConfirmed }, { "kept", isStorable && !isFull } } });
    if (!isStorable || isFull) {
        m_actions.emplace_back(AnswerCall { call, isStorable ? ErrorKind::Overloaded : ErrorKind::StoreUnavailable });
        return nullptr;
    }
    auto& added = m_jobs[id];
    m_removedJobs.erase(id);
    added.id = id;
    added.phase = JobPhase::Cancelled;
    added.isSubmitted = false;
    added.endedAt = now.steady;
    ++m_unsubmittedJobs;
    return &added;
}

void CellDesk::cancel(CallId call, const std::string& id, Now now)
{
    auto* known = job(id);
    if (!known)
        known = addCancelledJob(call, id, now);
    if (!known)
        return;
    AfterCommit after;
    after.response = AnswerCall { call, resultFor(*known) };
    after.job = id;
    if (!isFinal(known->phase)) {
        finishJob(*known, JobPhase::Cancelled, now, Json::object());
        stopAll(*known, now);
    }
    markDirty(id);
    m_afterNextCommit.push_back(std::move(after));
}

std::optional<JobPhase> CellDesk::query(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.isSubmitted)
        return std::nullopt;
    return found->second.reportedPhase;
}

std::uint64_t CellDesk::pending(const std::string& queue) const
{
    std::uint64_t count = 0;
    for (const auto& [id, job] : m_activeJobs)
        count += job->phase == JobPhase::Queued && job->queue == queue ? 1 : 0;
    return count;
}

Milliseconds CellDesk::backlog() const
{
    if (m_capacityCpuMilli == 0)
        return Milliseconds(0);
    return Milliseconds(static_cast<std::int64_t>(m_outstandingCpuMs * 1000 / static_cast<double>(m_capacityCpuMilli)));
}

std::pair<std::size_t, std::size_t> CellDesk::reach() const
{
    std::pair<std::size_t, std::size_t> result { 0, 0 };
    for (const auto& [id, vm] : m_vms) {
        result.first += vm.listed ? 1 : 0;
        result.second += vm.listed && vm.fenced && vm.missedHeartbeats == 0 ? 1 : 0;
    }
    return result;
}

void CellDesk::createDueOccurrences(Job& job, Now now)
{
    /// Maximum number of unfinished occurrences of a job; the next ones wait, even if they are due.
    constexpr std::uint32_t maxOverlap = 100;
    const auto total = std::max<std::uint32_t>(1, job.spec->occurrences);
    while (job.nextOccurrence < total && job.nextOccurrence - job.completedOccurrences < maxOverlap) {
        const auto dueMs = job.spec->firstDueMs + job.nextOccurrence * job.spec->intervalMs;
        if (job.spec->occurrences > 0 && now.unixMs + m_limits.earlyStartTolerance.count() < dueMs)
            return;
        auto& occurrence = job.occurrences[job.nextOccurrence++];
        for (const auto& step : job.spec->steps) {
            occurrence.steps.emplace_back();
            occurrence.steps.back().tasks.resize(step.tasks);
        }
        markDirty(job.id);
        requestPlacementPass();
    }
}

void CellDesk::finishJob(Job& job, JobPhase phase, Now now, Json details)
{
    job.phase = phase;
    job.endedAt = now.steady;
    m_outstandingCpuMs -= job.workCpuMs;
    requestPlacementPass();
    markDirty(job.id);
    details["job"] = job.id;
    details["queue"] = job.queue;
    details["phase"] = jobPhaseName(phase);
    details["policy"] = m_policy ? m_policy->version : 0;
    details["queue_known"] = findQueue(job.queue) != nullptr;
    details["age_ms"] = std::chrono::duration_cast<Milliseconds>(now.steady - job.acceptedAt).count();
    m_actions.emplace_back(Decision { "job_ended", std::move(details) });
}

void CellDesk::stepFinished(Job& job, Occurrence& occurrence, Now now)
{
    for (const auto& step : occurrence.steps) {
        if (!step.isDone())
            return;
    }
    ++job.completedOccurrences;
    if (job.completedOccurrences == std::max<std::uint32_t>(1, job.spec->occurrences))
        finishJob(job, JobPhase::Completed, now, Json::object());
}

void CellDesk::markRunning(Job& job)
{
    if (job.phase != JobPhase::Queued)
        return;
    job.phase = JobPhase::Running;
    if (job.isDurable)
        job.reportedPhase = JobPhase::Running;
}

void CellDesk::removeExpiredJobs(Now now)
{
    /// Interval of the search for expired jobs; short compared with the retention time.
    constexpr Milliseconds cleanupInterval { 500 };
    if (now.steady < m_nextCleanupAt)
        return;
    m_nextCleanupAt = now.steady + cleanupInterval;
    for (auto it = m_activeJobs.begin(); it != m_activeJobs.end();) {
        const auto& job = *it->second;
        const bool isEnded = isFinal(job.phase) && job.reportedPhase == job.phase && job.placements == 0;
        it = isEnded ? m_activeJobs.erase(it) : std::next(it);
    }
    /// Maximum number of jobs removed at once, to keep the commit small.
    constexpr std::size_t maxRemovedAtOnce = 20;
    for (auto it = m_jobs.begin(); it != m_jobs.end() && m_removedJobs.size() < maxRemovedAtOnce;) {
        const auto& job = it->second;
        const bool isExpired = !m_activeJobs.contains(job.id) && isFinal(job.phase) && now.steady - job.endedAt > m_limits.jobRetention;
        if (isExpired) {
            m_removedJobs.insert(job.id);
            m_unsubmittedJobs -= job.isSubmitted ? 0 : 1;
        }
        it = isExpired ? m_jobs.erase(it) : std::next(it);
    }
}

CellDesk::Figures CellDesk::figures() const
{
    Figures figures;
    figures.jobs = m_jobs.size();
    figures.placements = m_placements.size();
    for (const auto& [id, job] : m_activeJobs) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const auto& step : occurrence.steps)
                figures.waitingTasks += static_cast<std::size_t>(std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto& task) { return task.phase == TaskPhase::Waiting; }));
        }
    }
    std::tie(figures.vms, figures.reachableVms) = reach();
    for (const auto& [domain, placements] : placementsInEvacuatedDomains()) {
        ++figures.evacuatedDomains;
        figures.placementsInEvacuatedDomains += placements;
    }
    return figures;
}

std::vector<Action> CellDesk::takeActions()
{
    return std::exchange(m_actions, {});
}

void CellDesk::advance(Now now)
{
    for (auto it = m_scheduledJobs.begin(); it != m_scheduledJobs.end();) {
        auto& job = m_jobs.at(*it);
        if (!isFinal(job.phase))
            createDueOccurrences(job, now);
        const bool isEnded = isFinal(job.phase) || job.nextOccurrence >= job.spec->occurrences;
        it = isEnded ? m_scheduledJobs.erase(it) : std::next(it);
    }
    /// Interval at which the VMs are checked; heartbeats need no finer resolution.
    constexpr Milliseconds vmCheckInterval { 4 };
    sendDueCommands(now);
    runPlacementPass(now);
    if (now.steady >= m_nextVmCheckAt) {
        m_nextVmCheckAt = now.steady + vmCheckInterval;
        expireUnresponsiveVms(now);
        sendHeartbeats(now);
    }
    reportEmptiedDomains(now);
    removeExpiredJobs(now);
    rejectUncommittedSubmissions(now);
    flush(now);
}

} // namespace heatherchute::cell
