/// Selects the job to place next and reserves resources for its tasks at VM owners.
#include "heatherchute/Jobs.h"

#include <algorithm>
#include <cassert>

namespace heatherchute {

static constexpr std::size_t maxConcurrentPlacements = 64;
static constexpr std::uint32_t maxTasksPerPlacement = 64;
/// An owner that has not replied to a reservation request after this time is skipped.
static constexpr Seconds reserveTimeout { 2 };
static constexpr Milliseconds minBackoff { 50 };
static constexpr Milliseconds maxBackoff { 2000 };
/// Time after a commit at which the owner is queried for the state of the task.
static constexpr Seconds commitQueryDelay { 3 };

std::uint32_t Job::active() const
{
    return static_cast<std::uint32_t>(std::count_if(slots.begin(), slots.end(), [](const TaskSlot& slot) {
        return slot.state == SlotState::Committed || slot.state == SlotState::Running;
    }));
}

std::uint32_t Job::pending() const
{
    return static_cast<std::uint32_t>(std::count_if(slots.begin(), slots.end(), [](const TaskSlot& slot) {
        return slot.state == SlotState::Pending;
    }));
}

namespace {

    /// A job that is due for placement, with the values that determine its priority.
    struct Candidate {
        std::string shard;
        Job* job = nullptr;
        /// The job has waited for more than half of its class's target waiting time.
        bool urgent = false;
        /// Running tasks of the job's team per percent of the team's share.
        double usage = 0;
    };

    bool precedes(const Candidate& left, const Candidate& right)
    {
        if (left.urgent != right.urgent)
            return left.urgent;
        if (left.usage != right.usage)
            return left.usage < right.usage;
        return left.job->acceptedAt < right.job->acceptedAt;
    }

} // namespace

void JobDesk::placeJobs(TimePoint now, JobActions& actions)
{
    std::vector<std::uint64_t> timedOut;
    for (const auto& [requestId, placement] : m_placements) {
        if (now >= placement.replyDeadline)
            timedOut.push_back(requestId);
    }
    for (const auto requestId : timedOut)
        requestNextOwner(requestId, m_placements[requestId], now, actions);

    std::map<std::string, std::uint32_t> running;
    for (const auto& [name, shard] : m_shards) {
        for (const auto& [id, job] : shard.jobs)
            running[job.spec.team] += isFinal(job.state) ? 0 : job.active();
    }
    std::vector<Candidate> candidates;
    for (auto& [name, shard] : m_shards) {
        if (!mayStartTasks(shard, now))
            continue;
        for (auto& [id, job] : shard.jobs) {
            if (!isPlacementDue(shard, job, now))
                continue;
            const auto target = m_waitTargets[job.spec.className];
            const bool urgent = target.count() > 0 && now - job.acceptedAt >= target / 2;
            constexpr double minSharePercent = 0.1;
            const auto share = std::max(minSharePercent, m_shares[job.spec.team]);
            candidates.push_back({ name, &job, urgent, running[job.spec.team] / share });
        }
    }
    const auto available = maxConcurrentPlacements > m_placements.size() ? maxConcurrentPlacements - m_placements.size() : 0;
    const auto count = std::min(available, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), precedes);
    for (std::size_t i = 0; i < count; ++i)
        startPlacement(m_shards[candidates[i].shard], *candidates[i].job, now, actions);
}

bool JobDesk::isPlacementDue(const Shard& shard, const Job& job, TimePoint now) const
{
    if (!job.accepted || job.isPlacementPending || isFinal(job.state) || job.isGangStopping || job.pending() == 0)
        return false;
    const auto required = job.spec.gang ? job.pending() : 1;
    const bool quotaAvailable = job.waitsForQuota && m_limits.free(job.spec.team, quotaHolder(shard)) >= required;
    return quotaAvailable || now >= job.nextPlacementAt;
}

void JobDesk::backOff(Job& job, TimePoint now, std::string reason)
{
    job.isPlacementPending = false;
    job.reason = std::move(reason);
    job.backoff = std::clamp(job.backoff * 2, minBackoff, maxBackoff);
    job.nextPlacementAt = now + job.backoff;
}

void JobDesk::startPlacement(Shard& shard, Job& job, TimePoint now, JobActions& actions)
{
    const auto requested = job.spec.gang ? job.pending() : std::min(job.pending(), maxTasksPerPlacement);
    const auto acquired = m_limits.take(job.spec.team, quotaHolder(shard), requested, job.spec.gang);
    job.waitsForQuota = acquired == 0;
    if (job.waitsForQuota) {
        backOff(job, now, "the quota of the team is exhausted");
        return;
    }
    Placement placement;
    placement.shard = shard.name;
    placement.job = job.spec.id;
    placement.needed = acquired;
    auto capacity = m_freeCapacity;
    std::sort(capacity.begin(), capacity.end(), [](const OwnerRoom& left, const OwnerRoom& right) { return left.free.cpus > right.free.cpus; });
    const auto size = largerOf(job.spec.perTask, job.observed);
    for (const auto& owner : capacity) {
        if (size.fitsIn(owner.largestFree))
            placement.owners.push_back(owner.daemon);
    }
    if (placement.owners.empty()) {
        m_limits.give(job.spec.team, quotaHolder(shard), acquired);
        backOff(job, now, "no VM has enough free capacity");
        return;
    }
    job.isPlacementPending = true;
    const auto requestId = m_nextRequestId++;
    m_placements[requestId] = std::move(placement);
    requestNextOwner(requestId, m_placements[requestId], now, actions);
}

void JobDesk::requestNextOwner(std::uint64_t requestId, Placement& placement, TimePoint now, JobActions& actions)
{
    const auto& shard = m_shards[placement.shard];
    const auto& job = shard.jobs.at(placement.job);
    if (placement.granted >= placement.needed || placement.owners.empty()) {
        finishPlacement(requestId, now, actions);
        return;
    }
    placement.pendingOwner = placement.owners.front();
    placement.owners.pop_front();
    placement.replyDeadline = now + reserveTimeout;
    ReserveAsk message { requestId, shard.name, shard.fencingToken, job.spec.id, largerOf(job.spec.perTask, job.observed),
        placement.needed - placement.granted, job.spec.spreadRacks, job.failedOn };
    actions.push_back(SendToOwner { placement.pendingOwner, std::move(message) });
}

void JobDesk::onReserveReply(const std::string& from, const ReserveReply& reply, TimePoint now, JobActions& actions)
{
    const auto found = m_placements.find(reply.ask);
    if (found == m_placements.end() || found->second.pendingOwner != from)
        return;
    auto& placement = found->second;
    placement.granted += static_cast<std::uint32_t>(reply.vms.size());
    placement.vmsByOwner[from] = reply.vms;
    requestNextOwner(reply.ask, placement, now, actions);
}

void JobDesk::releaseReservations(const Shard& shard, const Placement& placement, std::uint64_t requestId, JobActions& actions)
{
    for (const auto& [owner, vms] : placement.vmsByOwner)
        actions.push_back(SendToOwner { owner, CommitAsk { requestId, shard.name, shard.fencingToken, {} } });
}

void JobDesk::finishPlacement(std::uint64_t requestId, TimePoint now, JobActions& actions)
{
    const auto placement = std::move(m_placements[requestId]);
    m_placements.erase(requestId);
    auto& shard = m_shards[placement.shard];
    auto& job = shard.jobs.at(placement.job);
    job.isPlacementPending = false;
    const bool isComplete = placement.granted >= placement.needed;
    const bool starts = placement.granted > 0 && !isFinal(job.state) && mayStartTasks(shard, now) && (isComplete || !job.spec.gang);
    // Fewer tasks may be pending now: tasks started by a previous leader may have been adopted in the
    // meantime.
    const auto started = starts ? std::min({ placement.granted, placement.needed, job.pending() }) : 0;
    m_limits.give(job.spec.team, quotaHolder(shard), placement.needed - started);
    if (!starts) {
        releaseReservations(shard, placement, requestId, actions);
        backOff(job, now, job.spec.gang ? "not enough free capacity for all tasks of the gang" : "no VM has enough free capacity");
        return;
    }
    commitTasks(shard, job, placement, requestId, started, now, actions);
    job.backoff = Milliseconds(0);
    job.reason.clear();
    if (job.state == JobState::Waiting) {
        job.state = JobState::Running;
        job.startedAt = now;
    }
    markChanged(job, actions);
}

void JobDesk::commitTasks(const Shard& shard, Job& job, const Placement& placement, std::uint64_t requestId, std::uint32_t count, TimePoint now, JobActions& actions)
{
    auto remaining = count;
    std::uint32_t next = 0;
    for (const auto& [owner, vms] : placement.vmsByOwner) {
        CommitAsk commit { requestId, shard.name, shard.fencingToken, {} };
        for (const auto& vm : vms) {
            if (remaining == 0)
                break;
            while (next < job.slots.size() && job.slots[next].state != SlotState::Pending)
                ++next;
            assert(next < job.slots.size() && "more reservations than pending tasks");
            --remaining;
            auto& slot = job.slots[next];
            auto& attempt = slot.attempt;
            // The fencing token and the request id make the attempt's id unique across leaders and
            // their incarnations.
            attempt = { job.spec.id + "." + std::to_string(next) + "." + std::to_string(shard.fencingToken) + "-" + std::to_string(requestId), job.spec.id, next,
                shard.name, shard.fencingToken, vm, largerOf(job.spec.perTask, job.observed), job.spec.work };
            slot.state = SlotState::Committed;
            slot.nextQueryAt = now + commitQueryDelay;
            commit.tasks.push_back(attempt);
        }
        actions.push_back(SendToOwner { owner, std::move(commit) });
    }
}

void JobDesk::queryOverdueTasks(Shard& shard, TimePoint now, JobActions& actions)
{
    std::map<std::string, TaskQuery> byVm;
    for (auto& [id, job] : shard.jobs) {
        for (auto& slot : job.slots) {
            const bool isActive = slot.state == SlotState::Committed || slot.state == SlotState::Running;
            if (!isActive || now < slot.nextQueryAt)
                continue;
            constexpr Seconds runningQueryInterval { 60 };
            slot.nextQueryAt = now + (slot.state == SlotState::Running ? runningQueryInterval : commitQueryDelay);
            auto& query = byVm[slot.attempt.vm];
            query = { shard.name, shard.fencingToken, slot.attempt.vm, std::move(query.tasks) };
            query.tasks.push_back(slot.attempt.id);
        }
    }
    for (auto& [vm, query] : byVm)
        actions.push_back(SendToOwner { {}, std::move(query) });
}

} // namespace heatherchute
