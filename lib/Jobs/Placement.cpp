/// Which job is tried next, and asking owners for room for its tasks.
#include "heatherchute/Jobs.h"

#include <algorithm>
#include <cassert>

namespace heatherchute {

static constexpr std::size_t maxConcurrentPlacements = 64;
static constexpr std::uint32_t maxTasksPerPlacement = 64;
/// An owner that has not answered after this is passed over.
static constexpr Seconds reserveTimeout { 2 };
static constexpr Milliseconds minBackoff { 50 };
static constexpr Milliseconds maxBackoff { 2000 };
/// After a commit, time until the owner is asked what became of it.
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

    /// A job that could be tried now, with what its turn depends on.
    struct Candidate {
        std::string shard;
        Job* job = nullptr;
        /// Past half of its class's wait target.
        bool urgent = false;
        /// Running tasks of its team for each percent of share.
        double usage = 0;
    };

    bool goesBefore(const Candidate& left, const Candidate& right)
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
    std::vector<std::uint64_t> late;
    for (const auto& [ask, placing] : m_placements) {
        if (now >= placing.replyDeadline)
            late.push_back(ask);
    }
    for (const auto ask : late)
        requestNextOwner(ask, m_placements[ask], now, actions);

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
            constexpr double leastShare = 0.1;
            const auto share = std::max(leastShare, m_shares[job.spec.team]);
            candidates.push_back({ name, &job, urgent, running[job.spec.team] / share });
        }
    }
    const auto room = maxConcurrentPlacements > m_placements.size() ? maxConcurrentPlacements - m_placements.size() : 0;
    const auto count = std::min(room, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), goesBefore);
    for (std::size_t i = 0; i < count; ++i)
        startPlacement(m_shards[candidates[i].shard], *candidates[i].job, now, actions);
}

bool JobDesk::isPlacementDue(const Shard& shard, const Job& job, TimePoint now) const
{
    if (!job.accepted || job.isPlacementPending || isFinal(job.state) || job.isGangStopping || job.pending() == 0)
        return false;
    const auto wanted = job.spec.gang ? job.pending() : 1;
    const bool limitHasRoom = job.waitsForQuota && m_limits.free(job.spec.team, quotaHolder(shard)) >= wanted;
    return limitHasRoom || now >= job.nextPlacementAt;
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
    const auto wanted = job.spec.gang ? job.pending() : std::min(job.pending(), maxTasksPerPlacement);
    const auto credits = m_limits.take(job.spec.team, quotaHolder(shard), wanted, job.spec.gang);
    job.waitsForQuota = credits == 0;
    if (job.waitsForQuota) {
        backOff(job, now, "the team's upper limit leaves no room");
        return;
    }
    Placement placing;
    placing.shard = shard.name;
    placing.job = job.spec.id;
    placing.needed = credits;
    auto room = m_freeCapacity;
    std::sort(room.begin(), room.end(), [](const OwnerRoom& left, const OwnerRoom& right) { return left.free.cpus > right.free.cpus; });
    const auto size = largerOf(job.spec.perTask, job.observed);
    for (const auto& owner : room) {
        if (size.fitsIn(owner.largestFree))
            placing.owners.push_back(owner.daemon);
    }
    if (placing.owners.empty()) {
        m_limits.give(job.spec.team, quotaHolder(shard), credits);
        backOff(job, now, "no VM has enough free at present");
        return;
    }
    job.isPlacementPending = true;
    const auto ask = m_nextRequest++;
    m_placements[ask] = std::move(placing);
    requestNextOwner(ask, m_placements[ask], now, actions);
}

void JobDesk::requestNextOwner(std::uint64_t ask, Placement& placing, TimePoint now, JobActions& actions)
{
    const auto& shard = m_shards[placing.shard];
    const auto& job = shard.jobs.at(placing.job);
    if (placing.granted >= placing.needed || placing.owners.empty()) {
        finishPlacement(ask, now, actions);
        return;
    }
    placing.pendingOwner = placing.owners.front();
    placing.owners.pop_front();
    placing.replyDeadline = now + reserveTimeout;
    ReserveAsk message { ask, shard.name, shard.fencingToken, job.spec.id, largerOf(job.spec.perTask, job.observed),
        placing.needed - placing.granted, job.spec.spreadRacks, job.failedOn };
    actions.push_back(SendToOwner { placing.pendingOwner, std::move(message) });
}

void JobDesk::onReserveReply(const std::string& from, const ReserveReply& reply, TimePoint now, JobActions& actions)
{
    const auto found = m_placements.find(reply.ask);
    if (found == m_placements.end() || found->second.pendingOwner != from)
        return;
    auto& placing = found->second;
    placing.granted += static_cast<std::uint32_t>(reply.vms.size());
    placing.vmsByOwner[from] = reply.vms;
    requestNextOwner(reply.ask, placing, now, actions);
}

void JobDesk::releaseReservations(const Shard& shard, const Placement& placing, std::uint64_t ask, JobActions& actions)
{
    for (const auto& [owner, vms] : placing.vmsByOwner)
        actions.push_back(SendToOwner { owner, CommitAsk { ask, shard.name, shard.fencingToken, {} } });
}

void JobDesk::finishPlacement(std::uint64_t ask, TimePoint now, JobActions& actions)
{
    const auto placing = std::move(m_placements[ask]);
    m_placements.erase(ask);
    auto& shard = m_shards[placing.shard];
    auto& job = shard.jobs.at(placing.job);
    job.isPlacementPending = false;
    const bool isWhole = placing.granted >= placing.needed;
    const bool starts = placing.granted > 0 && !isFinal(job.state) && mayStartTasks(shard, now) && (isWhole || !job.spec.gang);
    // Tasks that an earlier home had started may have turned up meanwhile.
    const auto started = starts ? std::min({ placing.granted, placing.needed, job.pending() }) : 0;
    m_limits.give(job.spec.team, quotaHolder(shard), placing.needed - started);
    if (!starts) {
        releaseReservations(shard, placing, ask, actions);
        backOff(job, now, job.spec.gang ? "not all tasks of the gang fit at once" : "no VM has enough free at present");
        return;
    }
    commitTasks(shard, job, placing, ask, started, now, actions);
    job.backoff = Milliseconds(0);
    job.reason.clear();
    if (job.state == JobState::Waiting) {
        job.state = JobState::Running;
        job.startedAt = now;
    }
    markChanged(job, actions);
}

void JobDesk::commitTasks(const Shard& shard, Job& job, const Placement& placing, std::uint64_t ask, std::uint32_t count, TimePoint now, JobActions& actions)
{
    auto left = count;
    std::uint32_t next = 0;
    for (const auto& [owner, vms] : placing.vmsByOwner) {
        CommitAsk commit { ask, shard.name, shard.fencingToken, {} };
        for (const auto& vm : vms) {
            if (left == 0)
                break;
            while (next < job.slots.size() && job.slots[next].state != SlotState::Pending)
                ++next;
            assert(next < job.slots.size() && "more room than pending tasks");
            --left;
            auto& slot = job.slots[next];
            auto& attempt = slot.attempt;
            // The epoch and the ask's number make the name new in every home's life.
            attempt = { job.spec.id + "." + std::to_string(next) + "." + std::to_string(shard.fencingToken) + "-" + std::to_string(ask), job.spec.id, next,
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
            constexpr Seconds queryRunning { 60 };
            slot.nextQueryAt = now + (slot.state == SlotState::Running ? queryRunning : commitQueryDelay);
            auto& query = byVm[slot.attempt.vm];
            query = { shard.name, shard.fencingToken, slot.attempt.vm, std::move(query.tasks) };
            query.tasks.push_back(slot.attempt.id);
        }
    }
    for (auto& [vm, query] : byVm)
        actions.push_back(SendToOwner { {}, std::move(query) });
}

} // namespace heatherchute
