/// Processing of task reports from VM owners and of callers' requests on jobs.
#include "heatherchute/Jobs.h"

#include <algorithm>

namespace heatherchute {

/// Number of failed attempts of one task after which its job fails.
static constexpr std::uint32_t maxFailures = 3;
static constexpr Milliseconds failureRetryDelay { 500 };
static constexpr std::size_t maxAvoidedVms = 16;

void JobDesk::markChanged(Job& job, JobActions& actions)
{
    ++job.version;
    actions.push_back(JobChanged { job.spec.id });
}

/// Returns the index of the task to which the attempt `task` of `job` belongs.
static std::uint32_t indexOf(const std::string& task, const std::string& job)
{
    return static_cast<std::uint32_t>(std::strtoul(task.c_str() + job.size() + 1, nullptr, 10));
}

TaskAcks JobDesk::onReports(const std::string&, const TaskReports& reports, TimePoint now, JobActions& actions)
{
    TaskAcks acks;
    const auto found = m_shards.find(reports.shard);
    if (found == m_shards.end() || !isHome(reports.shard))
        return acks;
    auto& shard = found->second;
    for (const auto& report : reports.reports) {
        const auto job = shard.jobs.find(jobOf(report.task));
        // The job has ended and been removed; the report only needs an acknowledgement.
        if (job == shard.jobs.end() || applyReport(shard, job->second, report, now, actions))
            acks.tasks.push_back({ report.task, report.state });
    }
    return acks;
}

bool JobDesk::applyReport(Shard& shard, Job& job, const TaskReport& report, TimePoint now, JobActions& actions)
{
    const auto state = taskStateFromName(report.state);
    const auto index = indexOf(report.task, job.spec.id);
    if (!state || index >= job.slots.size())
        return true;
    auto& slot = job.slots[index];
    if (slot.state == SlotState::Done)
        return true;
    const bool isCurrent = (slot.state == SlotState::Committed || slot.state == SlotState::Running) && slot.attempt.id == report.task;
    if (!isCurrent) {
        adoptOrphan(shard, job, index, report, *state, now, actions);
        return slot.state != SlotState::Succeeded;
    }
    job.observed = largerOf(job.observed, report.used);
    if (!isFinal(*state)) {
        if (*state == TaskState::Running && slot.state != SlotState::Running) {
            slot.state = SlotState::Running;
            markChanged(job, actions);
        }
        return *state == TaskState::Running;
    }
    if (*state == TaskState::Succeeded) {
        recordSuccess(shard, job, index);
        return false;
    }
    onSlotEnded(shard, job, slot, *state, report, now, actions);
    return true;
}

/// Adopts an orphaned attempt that a previous leader started.
void JobDesk::adoptOrphan(Shard& shard, Job& job, std::uint32_t index, const TaskReport& report, TaskState state, TimePoint now, JobActions& actions)
{
    auto& slot = job.slots[index];
    if (slot.state != SlotState::Pending || (isFinal(state) && state != TaskState::Succeeded))
        return;
    if (isFinal(job.state)) {
        if (!isFinal(state))
            actions.push_back(SendToOwner { {}, StopTasks { shard.name, shard.fencingToken, { report.task } } });
        return;
    }
    if (state == TaskState::Succeeded) {
        recordSuccess(shard, job, index);
        return;
    }
    slot.state = SlotState::Running;
    slot.attempt = { report.task, job.spec.id, index, shard.name, shard.fencingToken, report.vm, job.spec.perTask, job.spec.work };
    slot.nextQueryAt = now + Seconds(60);
    if (shard.phase == Phase::Active)
        m_limits.adopt(job.spec.team, quotaHolder(shard), 1);
    if (job.state == JobState::Waiting) {
        job.state = JobState::Running;
        job.startedAt = now;
    }
    markChanged(job, actions);
}

/// The report is acknowledged only when the owner repeats it after the record is durable.
void JobDesk::recordSuccess(Shard& shard, Job& job, std::uint32_t index)
{
    endSlot(shard, job, job.slots[index], SlotState::Succeeded);
    append(shard, TaskDoneRecord { job.spec.id, index });
}

void JobDesk::endSlot(Shard& shard, Job& job, TaskSlot& slot, SlotState next)
{
    const bool wasActive = slot.state == SlotState::Committed || slot.state == SlotState::Running;
    slot.state = next;
    // Once all tasks of the gang have ended, those that have not succeeded are started again together.
    job.isGangStopping = job.isGangStopping && job.active() > 0;
    // The tasks' use of quota is counted only from the time at which the shard becomes active.
    if (wasActive && (shard.phase == Phase::Active || shard.phase == Phase::Closing))
        m_limits.give(job.spec.team, quotaHolder(shard), 1);
}

void JobDesk::onSlotEnded(Shard& shard, Job& job, TaskSlot& slot, TaskState state, const TaskReport& report, TimePoint now, JobActions& actions)
{
    endSlot(shard, job, slot, SlotState::Pending);
    markChanged(job, actions);
    if (isFinal(job.state))
        return;
    if (state == TaskState::Failed) {
        ++slot.failures;
        if (job.failedOn.size() < maxAvoidedVms)
            job.failedOn.push_back(report.vm);
        if (slot.failures >= maxFailures) {
            finish(shard, job, JobState::Failed, "a task failed " + std::to_string(maxFailures) + " times: " + report.detail, 0);
            return;
        }
        job.nextPlacementAt = now + failureRetryDelay;
    }
    job.reason = "a task " + report.state + ": " + report.detail;
    if (job.spec.gang)
        stopGang(shard, job, actions);
    if (job.active() == 0 && job.state == JobState::Running)
        job.state = JobState::Waiting;
}

void JobDesk::stopGang(Shard& shard, Job& job, JobActions& actions)
{
    if (job.isGangStopping || job.active() == 0)
        return;
    job.isGangStopping = true;
    stopActive(shard, job, actions);
}

void JobDesk::stopActive(Shard& shard, Job& job, JobActions& actions)
{
    StopTasks stop { shard.name, shard.fencingToken, {} };
    for (const auto& slot : job.slots) {
        if (slot.state == SlotState::Committed || slot.state == SlotState::Running)
            stop.tasks.push_back(slot.attempt.id);
    }
    if (!stop.tasks.empty())
        actions.push_back(SendToOwner { {}, std::move(stop) });
}

void JobDesk::finish(Shard& shard, Job& job, JobState state, std::string detail, std::uint64_t token)
{
    append(shard, JobStateRecord { job.spec.id, std::string(jobStateName(state)), std::move(detail) }, token);
}

void JobDesk::finishIfDone(Shard& shard, Job& job)
{
    const bool isDone = std::all_of(job.slots.begin(), job.slots.end(), [](const TaskSlot& slot) { return slot.state == SlotState::Done; });
    if (isDone && job.accepted && !isFinal(job.state))
        finish(shard, job, JobState::Succeeded, {}, 0);
}

void JobDesk::onVmOwned(const std::string& from, const VmOwned& notice, TimePoint, JobActions& actions)
{
    for (auto& [name, shard] : m_shards) {
        if (shard.phase == Phase::Reconciling) {
            actions.push_back(SendToOwner { from, HomeClaim { name, shard.fencingToken } });
            continue;
        }
        TaskQuery query { name, shard.fencingToken, notice.vm, {} };
        for (const auto& [id, job] : shard.jobs) {
            for (const auto& slot : job.slots) {
                const bool isActive = slot.state == SlotState::Committed || slot.state == SlotState::Running;
                if (isActive && slot.attempt.vm == notice.vm)
                    query.tasks.push_back(slot.attempt.id);
            }
        }
        if (!query.tasks.empty())
            actions.push_back(SendToOwner { from, std::move(query) });
    }
}

void JobDesk::onVmLost(const VmLost& notice, TimePoint now, JobActions& actions)
{
    for (auto& [name, shard] : m_shards) {
        if (shard.phase == Phase::Reconciling) {
            shard.reportedVms.insert(notice.vm);
            shard.unreportedVms.erase(notice.vm);
            activateIfReconciled(shard, now);
        }
        for (auto& [id, job] : shard.jobs) {
            for (auto& slot : job.slots) {
                const bool isActive = slot.state == SlotState::Committed || slot.state == SlotState::Running;
                if (!isActive || slot.attempt.vm != notice.vm)
                    continue;
                const TaskReport report { slot.attempt.id, notice.vm, std::string(taskStateName(TaskState::Lost)), "its VM was lost", {} };
                onSlotEnded(shard, job, slot, TaskState::Lost, report, now, actions);
            }
        }
    }
}

Result<JobSpec> JobDesk::submit(const std::string& name, JobSpec spec, std::uint64_t token, TimePoint now, JobActions&)
{
    const auto found = shardForWrite(name, now);
    if (!found)
        return found.error();
    auto& shard = *found.value();
    const auto earlier = shard.jobOfKey.find(spec.idempotency);
    if (!spec.idempotency.empty() && earlier != shard.jobOfKey.end()) {
        const auto& job = shard.jobs.at(earlier->second);
        // Appends the record again under this caller's token, so that the caller gets its reply only
        // once the first record is durable too.
        append(shard, AcceptRecord { job.spec }, token);
        return job.spec;
    }
    spec.id = name + "." + std::to_string(shard.nextJobNumber++);
    auto& job = shard.jobs[spec.id];
    job.spec = spec;
    job.slots.resize(spec.tasks);
    job.acceptedAt = now;
    if (!spec.idempotency.empty())
        shard.jobOfKey[spec.idempotency] = spec.id;
    append(shard, AcceptRecord { spec }, token);
    return spec;
}

Result<void> JobDesk::cancel(const std::string& id, std::uint64_t token, TimePoint, JobActions& actions)
{
    const auto found = m_shards.find(shardOf(id));
    if (found == m_shards.end() || !isHome(shardOf(id)))
        return ErrorKind::HomeUnreachable;
    const auto job = found->second.jobs.find(id);
    if (job == found->second.jobs.end())
        return ErrorKind::NotFound;
    if (isFinal(job->second.state)) {
        actions.push_back(Durable { token });
        return boost::outcome_v2::success();
    }
    finish(found->second, job->second, JobState::Cancelled, "cancelled by its team", token);
    return boost::outcome_v2::success();
}

const Job* JobDesk::find(const std::string& id) const
{
    const auto found = m_shards.find(shardOf(id));
    if (found == m_shards.end())
        return nullptr;
    const auto job = found->second.jobs.find(id);
    return job == found->second.jobs.end() || !job->second.accepted ? nullptr : &job->second;
}

std::vector<const Job*> JobDesk::list(const std::string& queue, const std::string& team, std::size_t maxCount) const
{
    std::vector<const Job*> jobs;
    for (const auto& [name, shard] : m_shards) {
        for (const auto& [id, job] : shard.jobs) {
            const bool matches = job.accepted && (queue.empty() || job.spec.queue == queue) && (team.empty() || job.spec.team == team);
            if (matches && jobs.size() < maxCount)
                jobs.push_back(&job);
        }
    }
    return jobs;
}

std::uint32_t JobDesk::waitingIn(const std::string& queue) const
{
    std::uint32_t count = 0;
    for (const auto& [name, shard] : m_shards) {
        for (const auto& [id, job] : shard.jobs)
            count += job.spec.queue == queue && job.state == JobState::Waiting ? 1 : 0;
    }
    return count;
}

} // namespace heatherchute
