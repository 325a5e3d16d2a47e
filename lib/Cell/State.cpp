#include "heatherchute/Cell.h"

#include <algorithm>

namespace heatherchute::cell {

const std::string submissionPrefix = "heatherchute/job/";
const std::string progressPrefix = "heatherchute/progress/";

std::string CellDesk::encodeSubmission(const Job& job) const
{
    return encodeCbor({ { "queue", job.queue }, { "team", job.team }, { "service", job.service }, { "accepted", job.acceptedUnixMs }, { "spec", *job.spec }, { "policy", encodeAcceptancePolicy(job) } });
}

/// Encodes a task as [phase, run, failures, checkpoint, VM, incarnation]; trailing default values
/// are omitted.
static Json encodeTask(const Task& task, const Placement* placement)
{
    // A task of an ended job may still be in phase Placed after its run has ended.
    const auto phase = task.phase == TaskPhase::Placed && !placement ? TaskPhase::Waiting : task.phase;
    if (phase == TaskPhase::Waiting && task.run == 0)
        return Json::array();
    auto row = Json::array({ static_cast<int>(phase), task.run, task.failures });
    if (!task.checkpoint.empty() || placement)
        row.push_back(task.checkpoint);
    if (placement) {
        row.push_back(placement->vm);
        row.push_back(placement->incarnation);
    }
    return row;
}

std::string CellDesk::encodeProgress(const Job& job) const
{
    // Once a job has ended and has no runs left, clients can only query its phase.
    if (isFinal(job.phase) && job.placements == 0)
        return encodeCbor({ { "phase", static_cast<int>(job.phase) }, { "queue", job.queue }, { "team", job.team }, { "submitted", job.isSubmitted } });
    auto occurrences = Json::array();
    for (const auto& [number, occurrence] : job.occurrences) {
        auto steps = Json::array();
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            const auto& step = occurrence.steps[s];
            auto tasks = Json::array();
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                const auto placed = m_placements.find({ job.id, number, s, i });
                const bool isRelevant = placed != m_placements.end() && step.tasks[i].phase == TaskPhase::Placed;
                tasks.push_back(encodeTask(step.tasks[i], isRelevant ? &placed->second : nullptr));
            }
            steps.push_back({ step.gangFailures, step.lastFailedRun, std::move(tasks) });
        }
        occurrences.push_back({ number, std::move(steps) });
    }
    return encodeCbor({ { "phase", static_cast<int>(job.phase) }, { "next", job.nextOccurrence }, { "done", job.completedOccurrences }, { "occurrences", std::move(occurrences) } });
}

void CellDesk::flush(Now now)
{
    /// Minimum interval between the starts of two commits. A commit to a nearby store takes about as
    /// long; where it is faster, the interval lets several changes of a job share one commit.
    constexpr Milliseconds minCommitInterval { 20 };
    if (m_commitInFlight || now.steady < m_nextCommitAt)
        return;
    if (m_dirtyJobs.empty() && m_removedJobs.empty()) {
        // Effects that wait only for state that is already durable are released by an empty commit.
        if (m_afterNextCommit.empty())
            return;
    }
    CommitState commit;
    for (const auto& id : m_dirtyJobs) {
        const auto* const known = job(id);
        if (!known)
            continue;
        // The submission is written last: if a commit is interrupted between the two writes, the next
        // owner doesn't mistake the partial record for a job.
        commit.writes.push_back({ progressPrefix + id, encodeProgress(*known) });
        const bool isEnded = isFinal(known->phase) && known->placements == 0;
        if (isEnded)
            commit.writes.push_back({ submissionPrefix + id, {} });
        else if (!known->isDurable)
            commit.writes.push_back({ submissionPrefix + id, encodeSubmission(*known) });
        AfterCommit reported;
        reported.job = id;
        m_afterNextCommit.push_back(std::move(reported));
    }
    for (const auto& id : m_removedJobs) {
        commit.writes.push_back({ progressPrefix + id, {} });
        commit.writes.push_back({ submissionPrefix + id, {} });
    }
    m_dirtyJobs.clear();
    m_removedJobs.clear();
    m_afterCurrentCommit = std::exchange(m_afterNextCommit, {});
    m_commitInFlight = true;
    m_commitStartedAt = now.steady;
    m_nextCommitAt = now.steady + minCommitInterval;
    m_actions.emplace_back(std::move(commit));
}

/// Returns the retry delay for a client whose job can't be stored now. Clients make only a few attempts,
/// and store outages take seconds: a job with a long objective loses little by a longer delay, and its
/// attempts outlast the outage. The delay varies by job so that the clients don't all retry at once.
static Seconds retryAfterOutage(const std::string& job, Milliseconds objective)
{
    constexpr Seconds shortest { 1 };
    constexpr Seconds longest { 3 };
    constexpr int objectiveParts = 4;
    constexpr std::uint64_t spread = 2;
    return std::clamp(std::chrono::floor<Seconds>(objective / objectiveParts), shortest, longest) + Seconds(stableHash(job) % spread);
}

bool CellDesk::isStoreUnresponsive(Now now) const
{
    /// Store requests take milliseconds, or a few hundred when the store is slow.
    constexpr Milliseconds maxCommitDuration { 1000 };
    return m_commitInFlight && now.steady - m_commitStartedAt > maxCommitDuration;
}

void CellDesk::rejectSubmission(CallId call, const Job& job, Now now)
{
    const auto* const queue = findQueue(job.queue);
    const auto retryAfter = retryAfterOutage(job.id, queue ? objectiveOf(*queue, job.criticalPath) : Milliseconds(0));
    m_actions.emplace_back(Decision { "submission_refused", { { "job", job.id }, { "queue", job.queue }, { "team", job.team }, { "why", "store_silent" }, { "silent_ms", std::chrono::duration_cast<Milliseconds>(now.steady - m_commitStartedAt).count() }, { "retry_after_s", retryAfter.count() } } });
    m_actions.emplace_back(AnswerCall { call, ErrorKind::StoreUnavailable, retryAfter });
}

void CellDesk::removeUncommittedJob(const std::string& id)
{
    auto& job = m_jobs.at(id);
    std::vector<TaskId> placed;
    for (auto it = m_placements.lower_bound({ id, 0, 0, 0 }); it != m_placements.end() && it->first.job == id; ++it)
        placed.push_back(it->first);
    // None of these placements is durable, so no start command has been sent for them.
    for (const auto& task : placed)
        releasePlacement(task);
    m_outstandingCpuMs -= job.workCpuMs;
    m_activeJobs.erase(id);
    m_scheduledJobs.erase(id);
    m_dirtyJobs.erase(id);
    m_jobs.erase(id);
}

void CellDesk::rejectUncommittedSubmissions(Now now)
{
    if (m_afterNextCommit.empty() || !isStoreUnresponsive(now))
        return;
    std::set<std::string> inFlight;
    for (const auto& after : m_afterCurrentCommit)
        inFlight.insert(after.job);
    std::set<std::string> rejected;
    std::erase_if(m_afterNextCommit, [&](const AfterCommit& after) {
        const auto* const known = after.job.empty() ? nullptr : job(after.job);
        // The writes of a commit in progress may have been applied already.
        const bool isUncommitted = known && !known->isDurable && !isFinal(known->phase) && !inFlight.contains(after.job);
        if (!isUncommitted)
            return false;
        // All effects that depend on the write are dropped with it, as the job may have been submitted
        // again by the next commit.
        if (after.response)
            rejectSubmission(after.response->call, *known, now);
        rejected.insert(after.job);
        return true;
    });
    for (const auto& id : rejected)
        removeUncommittedJob(id);
}

void CellDesk::onCommitted(Now now)
{
    m_commitInFlight = false;
    for (auto& after : std::exchange(m_afterCurrentCommit, {})) {
        if (auto* const written = after.job.empty() ? nullptr : job(after.job)) {
            if (!written->isDurable)
                requestPlacementPass();
            written->isDurable = true;
            // A final phase that was reached after the write is not durable yet.
            if (!m_dirtyJobs.contains(written->id) || !isFinal(written->phase))
                written->reportedPhase = written->phase;
        }
        if (after.response)
            m_actions.emplace_back(*after.response);
        if (after.start) {
            const auto placed = m_placements.find(*after.start);
            if (placed != m_placements.end() && placed->second.run == after.run) {
                placed->second.isDurable = true;
                m_pendingCommands.insert(placed->first);
            }
        }
        if (after.acknowledge > 0) {
            const auto vm = m_vms.find(after.vm);
            if (vm != m_vms.end() && vm->second.incarnation == after.incarnation) {
                vm->second.lastAcknowledgedEnd = std::max(vm->second.lastAcknowledgedEnd, after.acknowledge);
                vm->second.nextHeartbeatAt = now.steady;
            }
        }
    }
}

static std::string textAt(const Json& row, std::size_t index)
{
    return row.size() > index ? row[index].get<std::string>() : std::string();
}

static Task decodeTask(const Json& row)
{
    Task task;
    if (row.empty())
        return task;
    task.phase = static_cast<TaskPhase>(row.at(0).get<int>());
    task.run = row.at(1).get<std::uint32_t>();
    task.failures = row.at(2).get<std::uint32_t>();
    task.checkpoint = textAt(row, 3);
    return task;
}

bool CellDesk::restoreEndedJob(const std::string& id, const Json& progress, Now now)
{
    Job job;
    job.id = id;
    job.phase = static_cast<JobPhase>(progress.at("phase").get<int>());
    // A partially written submission that was never acknowledged.
    if (!isFinal(job.phase))
        return true;
    job.queue = progress.at("queue");
    job.team = progress.at("team");
    // Earlier versions of this software keep submitted jobs only.
    job.isSubmitted = progress.value("submitted", true);
    m_unsubmittedJobs += job.isSubmitted ? 0 : 1;
    job.reportedPhase = job.phase;
    job.isDurable = true;
    job.endedAt = now.steady;
    m_jobs.emplace(id, std::move(job));
    return true;
}

bool CellDesk::restore(const StoredJob& stored, Now now)
{
    Job job;
    job.id = stored.id;
    job.isDurable = true;
    std::vector<Placement> placed;
    try {
        const auto progress = decodeCbor(stored.progress).value();
        if (stored.submission.empty())
            return restoreEndedJob(stored.id, progress, now);
        const auto submission = decodeCbor(stored.submission).value();
        job.queue = submission.at("queue");
        job.team = submission.at("team");
        job.service = submission.at("service");
        job.acceptedUnixMs = submission.at("accepted");
        // Earlier versions of this software don't store it.
        if (const auto policy = submission.find("policy"); policy != submission.end())
            restoreAcceptancePolicy(job, *policy);
        job.spec = std::make_shared<const JobSpec>(submission.at("spec").get<JobSpec>());
        job.phase = static_cast<JobPhase>(progress.at("phase").get<int>());
        job.nextOccurrence = progress.at("next");
        job.completedOccurrences = progress.at("done");
        for (const auto& row : progress.at("occurrences")) {
            const auto number = row.at(0).get<std::uint32_t>();
            auto& occurrence = job.occurrences[number];
            for (std::uint32_t s = 0; s < row.at(1).size(); ++s) {
                const auto& stepRow = row.at(1).at(s);
                auto& step = occurrence.steps.emplace_back();
                step.gangFailures = stepRow.at(0);
                step.lastFailedRun = stepRow.at(1);
                for (const auto& taskRow : stepRow.at(2)) {
                    step.tasks.push_back(decodeTask(taskRow));
                    step.done += step.tasks.back().phase == TaskPhase::Done ? 1 : 0;
                    if (step.tasks.back().phase != TaskPhase::Placed)
                        continue;
                    Placement placement;
                    placement.task = { job.id, number, s, static_cast<std::uint32_t>(step.tasks.size() - 1) };
                    placement.run = step.tasks.back().run;
                    placement.vm = taskRow.at(4);
                    placement.incarnation = taskRow.at(5);
                    placement.need = job.spec->steps.at(s).needOnVm();
                    placement.teamNeed = job.spec->steps.at(s).need;
                    placement.team = job.team;
                    placement.isLongRunning = job.spec->steps.at(s).longRunning;
                    placement.isDurable = true;
                    placement.started = true;
                    placed.push_back(std::move(placement));
                }
            }
        }
    } catch (const std::exception& exception) {
        m_actions.emplace_back(Decision { "stored_job_unreadable", { { "job", stored.id }, { "reason", exception.what() } } });
        m_unreadableJobs.insert(stored.id);
        return false;
    }
    job.reportedPhase = job.phase;
    // The job's age is derived from wall-clock time, which a clock step may falsify. It is only used
    // for ranking.
    job.acceptedAt = now.steady - Milliseconds(std::clamp<std::int64_t>(now.unixMs - job.acceptedUnixMs, 0, 600'000));
    job.endedAt = now.steady;
    job.criticalPath = chainOf(*job.spec);
    job.workCpuMs = workOf(*job.spec);
    if (!isFinal(job.phase))
        m_outstandingCpuMs += job.workCpuMs;
    if (job.nextOccurrence < job.spec->occurrences)
        m_scheduledJobs.insert(job.id);
    job.placements = static_cast<std::uint32_t>(placed.size());
    job.sequence = m_nextSequence++;
    for (auto& placement : placed) {
        auto& vm = m_vms[placement.vm];
        vm.report.id = placement.vm;
        vm.leases.inherit(m_inheritedLeaseEnd);
        const auto* const queue = lastKnownQueue(job.queue);
        placement.priority = queue ? queue->priority : 1;
        adjustUsage(placement, vm, 1);
        placement.stopRequested = isFinal(job.phase);
        if (placement.stopRequested)
            m_pendingCommands.insert(placement.task);
        m_placements.emplace(placement.task, std::move(placement));
    }
    const bool isActive = !isFinal(job.phase) || job.placements > 0;
    auto& added = m_jobs.emplace(job.id, std::move(job)).first->second;
    if (isActive)
        m_activeJobs.emplace(added.id, &added);
    return true;
}

void CellDesk::load(const std::vector<StoredJob>& jobs, Now now)
{
    std::size_t restored = 0;
    for (const auto& stored : jobs)
        restored += restore(stored, now) ? 1 : 0;
    m_actions.emplace_back(Decision { "jobs_loaded", { { "jobs", restored }, { "unreadable", jobs.size() - restored }, { "placements", m_placements.size() }, { "active", m_activeJobs.size() } } });
}

} // namespace heatherchute::cell
