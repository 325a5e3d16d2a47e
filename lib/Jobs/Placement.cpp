/// Which job is tried next, and asking owners for room for its tasks.
#include "heatherchute/Jobs.h"

#include <algorithm>
#include <cassert>

namespace heatherchute {

static constexpr std::size_t maxPlacingAtOnce = 64;
static constexpr std::uint32_t maxTasksAtOnce = 64;
/// An owner that has not answered after this is passed over.
static constexpr Seconds askTimeout { 2 };
static constexpr Milliseconds firstBackoff { 50 };
static constexpr Milliseconds lastBackoff { 2000 };
/// After a commit, time until the owner is asked what became of it.
static constexpr Seconds queryAfterCommit { 3 };

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

void JobDesk::place(TimePoint now, JobActions& actions)
{
    std::vector<std::uint64_t> late;
    for (const auto& [ask, placing] : m_placing) {
        if (now >= placing.until)
            late.push_back(ask);
    }
    for (const auto ask : late)
        askNext(ask, m_placing[ask], now, actions);

    std::map<std::string, std::uint32_t> running;
    for (const auto& [name, shard] : m_shards) {
        for (const auto& [id, job] : shard.jobs)
            running[job.spec.team] += isFinal(job.state) ? 0 : job.active();
    }
    std::vector<Candidate> candidates;
    for (auto& [name, shard] : m_shards) {
        if (!mayStart(shard, now))
            continue;
        for (auto& [id, job] : shard.jobs) {
            if (!isDue(shard, job, now))
                continue;
            const auto target = m_waitTargets[job.spec.className];
            const bool urgent = target.count() > 0 && now - job.acceptedAt >= target / 2;
            constexpr double leastShare = 0.1;
            const auto share = std::max(leastShare, m_shares[job.spec.team]);
            candidates.push_back({ name, &job, urgent, running[job.spec.team] / share });
        }
    }
    const auto room = maxPlacingAtOnce > m_placing.size() ? maxPlacingAtOnce - m_placing.size() : 0;
    const auto count = std::min(room, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), goesBefore);
    for (std::size_t i = 0; i < count; ++i)
        startPlacing(m_shards[candidates[i].shard], *candidates[i].job, now, actions);
}

bool JobDesk::isDue(const Shard& shard, const Job& job, TimePoint now) const
{
    if (!job.accepted || job.placing || isFinal(job.state) || job.gangBroken || job.pending() == 0)
        return false;
    const auto wanted = job.spec.gang ? job.pending() : 1;
    const bool limitHasRoom = job.waitsForLimit && m_limits.free(job.spec.team, holderOf(shard)) >= wanted;
    return limitHasRoom || now >= job.nextTry;
}

void JobDesk::backOff(Job& job, TimePoint now, std::string reason)
{
    job.placing = false;
    job.reason = std::move(reason);
    job.backoff = std::clamp(job.backoff * 2, firstBackoff, lastBackoff);
    job.nextTry = now + job.backoff;
}

void JobDesk::startPlacing(Shard& shard, Job& job, TimePoint now, JobActions& actions)
{
    const auto wanted = job.spec.gang ? job.pending() : std::min(job.pending(), maxTasksAtOnce);
    const auto credits = m_limits.take(job.spec.team, holderOf(shard), wanted, job.spec.gang);
    job.waitsForLimit = credits == 0;
    if (job.waitsForLimit) {
        backOff(job, now, "the team's upper limit leaves no room");
        return;
    }
    Placing placing;
    placing.shard = shard.name;
    placing.job = job.spec.id;
    placing.needed = credits;
    auto room = m_room;
    std::sort(room.begin(), room.end(), [](const OwnerRoom& left, const OwnerRoom& right) { return left.free.cpus > right.free.cpus; });
    const auto size = largerOf(job.spec.perTask, job.observed);
    for (const auto& owner : room) {
        if (size.fitsIn(owner.largestFree))
            placing.owners.push_back(owner.daemon);
    }
    if (placing.owners.empty()) {
        m_limits.give(job.spec.team, holderOf(shard), credits);
        backOff(job, now, "no VM has enough free at present");
        return;
    }
    job.placing = true;
    const auto ask = m_nextAsk++;
    m_placing[ask] = std::move(placing);
    askNext(ask, m_placing[ask], now, actions);
}

void JobDesk::askNext(std::uint64_t ask, Placing& placing, TimePoint now, JobActions& actions)
{
    const auto& shard = m_shards[placing.shard];
    const auto& job = shard.jobs.at(placing.job);
    if (placing.granted >= placing.needed || placing.owners.empty()) {
        finishPlacing(ask, now, actions);
        return;
    }
    placing.askedOwner = placing.owners.front();
    placing.owners.pop_front();
    placing.until = now + askTimeout;
    ReserveAsk message { ask, shard.name, shard.epoch, job.spec.id, largerOf(job.spec.perTask, job.observed),
        placing.needed - placing.granted, job.spec.spreadRacks, job.failedOn };
    actions.push_back(SendToOwner { placing.askedOwner, std::move(message) });
}

void JobDesk::onReserveReply(const std::string& from, const ReserveReply& reply, TimePoint now, JobActions& actions)
{
    const auto found = m_placing.find(reply.ask);
    if (found == m_placing.end() || found->second.askedOwner != from)
        return;
    auto& placing = found->second;
    placing.granted += static_cast<std::uint32_t>(reply.vms.size());
    placing.vmsByOwner[from] = reply.vms;
    askNext(reply.ask, placing, now, actions);
}

void JobDesk::release(const Shard& shard, const Placing& placing, std::uint64_t ask, JobActions& actions)
{
    for (const auto& [owner, vms] : placing.vmsByOwner)
        actions.push_back(SendToOwner { owner, CommitAsk { ask, shard.name, shard.epoch, {} } });
}

void JobDesk::finishPlacing(std::uint64_t ask, TimePoint now, JobActions& actions)
{
    const auto placing = std::move(m_placing[ask]);
    m_placing.erase(ask);
    auto& shard = m_shards[placing.shard];
    auto& job = shard.jobs.at(placing.job);
    job.placing = false;
    const bool isWhole = placing.granted >= placing.needed;
    const bool starts = placing.granted > 0 && !isFinal(job.state) && mayStart(shard, now) && (isWhole || !job.spec.gang);
    // Tasks that an earlier home had started may have turned up meanwhile.
    const auto started = starts ? std::min({ placing.granted, placing.needed, job.pending() }) : 0;
    m_limits.give(job.spec.team, holderOf(shard), placing.needed - started);
    if (!starts) {
        release(shard, placing, ask, actions);
        backOff(job, now, job.spec.gang ? "not all tasks of the gang fit at once" : "no VM has enough free at present");
        return;
    }
    commitTo(shard, job, placing, ask, started, now, actions);
    job.backoff = Milliseconds(0);
    job.reason.clear();
    if (job.state == JobState::Waiting) {
        job.state = JobState::Running;
        job.startedAt = now;
    }
    changed(job, actions);
}

void JobDesk::commitTo(const Shard& shard, Job& job, const Placing& placing, std::uint64_t ask, std::uint32_t count, TimePoint now, JobActions& actions)
{
    auto left = count;
    std::uint32_t next = 0;
    for (const auto& [owner, vms] : placing.vmsByOwner) {
        CommitAsk commit { ask, shard.name, shard.epoch, {} };
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
            attempt = { job.spec.id + "." + std::to_string(next) + "." + std::to_string(shard.epoch) + "-" + std::to_string(ask), job.spec.id, next,
                shard.name, shard.epoch, vm, largerOf(job.spec.perTask, job.observed), job.spec.work };
            slot.state = SlotState::Committed;
            slot.queryAt = now + queryAfterCommit;
            commit.tasks.push_back(attempt);
        }
        actions.push_back(SendToOwner { owner, std::move(commit) });
    }
}

void JobDesk::queryOverdue(Shard& shard, TimePoint now, JobActions& actions)
{
    std::map<std::string, TaskQuery> byVm;
    for (auto& [id, job] : shard.jobs) {
        for (auto& slot : job.slots) {
            const bool isActive = slot.state == SlotState::Committed || slot.state == SlotState::Running;
            if (!isActive || now < slot.queryAt)
                continue;
            constexpr Seconds queryRunning { 60 };
            slot.queryAt = now + (slot.state == SlotState::Running ? queryRunning : queryAfterCommit);
            auto& query = byVm[slot.attempt.vm];
            query = { shard.name, shard.epoch, slot.attempt.vm, std::move(query.tasks) };
            query.tasks.push_back(slot.attempt.id);
        }
    }
    for (auto& [vm, query] : byVm)
        actions.push_back(SendToOwner { {}, std::move(query) });
}

} // namespace heatherchute
