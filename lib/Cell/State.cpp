#include "heatherchute/Cell.h"

namespace heatherchute::cell {

const std::string submissionPrefix = "heatherchute/job/";
const std::string progressPrefix = "heatherchute/progress/";

static std::string toBytes(const Json& json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

static Json fromBytes(const std::string& bytes)
{
    return Json::from_cbor(bytes, true, false);
}

std::string CellDesk::encodeSubmission(const Job& job) const
{
    return toBytes({ { "queue", job.queue }, { "team", job.team }, { "service", job.service }, { "accepted", job.acceptedUnixMs }, { "spec", *job.spec } });
}

/// A task is [phase, run, failures, checkpoint, VM, incarnation], cut where the rest is default.
static Json encodeTask(const Task& task, const Placement* placement)
{
    // A task of a job that has ended may still say that it is placed after its run is over.
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
    // Of a job that is over only the phase is ever asked.
    if (isFinal(job.phase) && job.placements == 0)
        return toBytes({ { "phase", static_cast<int>(job.phase) }, { "queue", job.queue }, { "team", job.team } });
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
    return toBytes({ { "phase", static_cast<int>(job.phase) }, { "next", job.nextOccurrence }, { "done", job.doneOccurrences }, { "occurrences", std::move(occurrences) } });
}

void CellDesk::flush(Now now)
{
    /// Between the beginnings of two commits. Near the store one takes about as long by itself;
    /// where it is shorter, more changes of the same job go into one.
    constexpr Milliseconds commitPause { 20 };
    if (m_commitInFlight || now.steady < m_nextCommit)
        return;
    if (m_dirty.empty() && m_forgotten.empty()) {
        // What waits only for state that is durable already follows at once.
        if (m_afterNext.empty())
            return;
    }
    CommitState commit;
    for (const auto& id : m_dirty) {
        const auto* const known = job(id);
        if (!known)
            continue;
        // The submission comes last: a commit that is cut between the two leaves no half of a job
        // that a successor would take for one.
        commit.writes.push_back({ progressPrefix + id, encodeProgress(*known) });
        const bool isClosed = isFinal(known->phase) && known->placements == 0;
        if (isClosed)
            commit.writes.push_back({ submissionPrefix + id, {} });
        else if (!known->isDurable)
            commit.writes.push_back({ submissionPrefix + id, encodeSubmission(*known) });
        AfterCommit shown;
        shown.job = id;
        m_afterNext.push_back(std::move(shown));
    }
    for (const auto& id : m_forgotten) {
        commit.writes.push_back({ progressPrefix + id, {} });
        commit.writes.push_back({ submissionPrefix + id, {} });
    }
    m_dirty.clear();
    m_forgotten.clear();
    m_afterInFlight = std::exchange(m_afterNext, {});
    m_commitInFlight = true;
    m_commitBeganAt = now.steady;
    m_nextCommit = now.steady + commitPause;
    m_actions.emplace_back(std::move(commit));
}

/// When a caller whose job cannot be written now should come back: outages of a store take seconds,
/// and callers that come back at different times do not meet it all at once.
static Seconds retryAfterOutage(const std::string& job)
{
    constexpr Seconds shortest { 1 };
    constexpr std::uint64_t spread = 2;
    return shortest + Seconds(stableHash(job) % spread);
}

bool CellDesk::isStoreSilent(Now now) const
{
    /// Calls of the store take milliseconds, and some hundreds where it is slow.
    constexpr Milliseconds longestCommit { 1000 };
    return m_commitInFlight && now.steady - m_commitBeganAt > longestCommit;
}

void CellDesk::refuseSubmission(CallId call, const Job& job, Now now)
{
    const auto retryAfter = retryAfterOutage(job.id);
    m_actions.emplace_back(Decision { "submission_refused", { { "job", job.id }, { "queue", job.queue }, { "team", job.team }, { "why", "store_silent" }, { "silent_ms", std::chrono::duration_cast<Milliseconds>(now.steady - m_commitBeganAt).count() }, { "retry_after_s", retryAfter.count() } } });
    m_actions.emplace_back(AnswerCall { call, ErrorKind::StoreUnavailable, retryAfter });
}

void CellDesk::withdraw(const std::string& id)
{
    auto& job = m_jobs.at(id);
    std::vector<TaskId> placed;
    for (auto it = m_placements.lower_bound({ id, 0, 0, 0 }); it != m_placements.end() && it->first.job == id; ++it)
        placed.push_back(it->first);
    // None of them is recorded, so none has been ordered.
    for (const auto& task : placed)
        release(task);
    m_openCpuMs -= job.workCpuMs;
    m_active.erase(id);
    m_scheduled.erase(id);
    m_dirty.erase(id);
    m_jobs.erase(id);
}

void CellDesk::refuseUnwritten(Now now)
{
    if (m_afterNext.empty() || !isStoreSilent(now))
        return;
    std::set<std::string> inFlight;
    for (const auto& after : m_afterInFlight)
        inFlight.insert(after.job);
    std::set<std::string> refused;
    std::erase_if(m_afterNext, [&](const AfterCommit& after) {
        const auto* const known = after.job.empty() ? nullptr : job(after.job);
        // What a commit on its way holds may be done already.
        const bool isUnwritten = known && !known->isDurable && !isFinal(known->phase) && !inFlight.contains(after.job);
        if (!isUnwritten)
            return false;
        // All that follows the write goes with it: the job may be handed in again by then.
        if (after.answer)
            refuseSubmission(after.answer->call, *known, now);
        refused.insert(after.job);
        return true;
    });
    for (const auto& id : refused)
        withdraw(id);
}

void CellDesk::onCommitted(Now now)
{
    m_commitInFlight = false;
    for (auto& after : std::exchange(m_afterInFlight, {})) {
        if (auto* const written = after.job.empty() ? nullptr : job(after.job)) {
            if (!written->isDurable)
                wantPlacing();
            written->isDurable = true;
            // A final phase that came after the write is still to be made durable.
            if (!m_dirty.contains(written->id) || !isFinal(written->phase))
                written->shownPhase = written->phase;
        }
        if (after.answer)
            m_actions.emplace_back(*after.answer);
        if (after.start) {
            const auto placed = m_placements.find(*after.start);
            if (placed != m_placements.end() && placed->second.run == after.run) {
                placed->second.recorded = true;
                m_orderable.insert(placed->first);
            }
        }
        if (after.acknowledge > 0) {
            const auto vm = m_vms.find(after.vm);
            if (vm != m_vms.end() && vm->second.incarnation == after.incarnation) {
                vm->second.acknowledged = std::max(vm->second.acknowledged, after.acknowledge);
                vm->second.nextBeat = now.steady;
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

bool CellDesk::restoreClosed(const std::string& id, const Json& progress, Now now)
{
    Job job;
    job.id = id;
    job.phase = static_cast<JobPhase>(progress.at("phase").get<int>());
    // Half of a submission that was never acknowledged.
    if (!isFinal(job.phase))
        return true;
    job.queue = progress.at("queue");
    job.team = progress.at("team");
    job.shownPhase = job.phase;
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
        const auto progress = fromBytes(stored.progress);
        if (stored.submission.empty())
            return restoreClosed(stored.id, progress, now);
        const auto submission = fromBytes(stored.submission);
        job.queue = submission.at("queue");
        job.team = submission.at("team");
        job.service = submission.at("service");
        job.acceptedUnixMs = submission.at("accepted");
        job.spec = std::make_shared<const JobSpec>(submission.at("spec").get<JobSpec>());
        job.phase = static_cast<JobPhase>(progress.at("phase").get<int>());
        job.nextOccurrence = progress.at("next");
        job.doneOccurrences = progress.at("done");
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
                    placement.need = job.spec->steps.at(s).usesIdleRoom ? Room {} : job.spec->steps.at(s).need;
                    placement.team = job.team;
                    placement.recorded = true;
                    placement.started = true;
                    placed.push_back(std::move(placement));
                }
            }
        }
    } catch (const Json::exception& exception) {
        m_actions.emplace_back(Decision { "stored_job_unreadable", { { "job", stored.id }, { "reason", exception.what() } } });
        m_unreadable.insert(stored.id);
        return false;
    }
    job.shownPhase = job.phase;
    // Its age is carried over by wall time, which may be off by a clock step; it only ranks.
    job.acceptedAt = now.steady - Milliseconds(std::clamp<std::int64_t>(now.unixMs - job.acceptedUnixMs, 0, 600'000));
    job.endedAt = now.steady;
    job.chain = chainOf(*job.spec);
    job.workCpuMs = workOf(*job.spec);
    if (!isFinal(job.phase))
        m_openCpuMs += job.workCpuMs;
    if (job.nextOccurrence < job.spec->occurrences)
        m_scheduled.insert(job.id);
    job.placements = static_cast<std::uint32_t>(placed.size());
    job.sequence = m_nextSequence++;
    for (auto& placement : placed) {
        auto& vm = m_vms[placement.vm];
        vm.report.id = placement.vm;
        if (vm.leaseEnd < m_inheritedLeaseEnd)
            vm.leaseEnd = m_inheritedLeaseEnd;
        const auto* const queue = m_policy ? m_policy->findQueue(job.queue) : nullptr;
        placement.priority = queue ? queue->priority : 1;
        countUse(placement, vm, 1);
        placement.stopWanted = isFinal(job.phase);
        if (placement.stopWanted)
            m_orderable.insert(placement.task);
        m_placements.emplace(placement.task, std::move(placement));
    }
    const bool isActive = !isFinal(job.phase) || job.placements > 0;
    auto& added = m_jobs.emplace(job.id, std::move(job)).first->second;
    if (isActive)
        m_active.emplace(added.id, &added);
    return true;
}

void CellDesk::load(const std::vector<StoredJob>& jobs, Now now)
{
    std::size_t restored = 0;
    for (const auto& stored : jobs)
        restored += restore(stored, now) ? 1 : 0;
    m_actions.emplace_back(Decision { "jobs_loaded", { { "jobs", restored }, { "unreadable", jobs.size() - restored }, { "placements", m_placements.size() }, { "active", m_active.size() } } });
}

} // namespace heatherchute::cell
