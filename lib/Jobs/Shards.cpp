/// Claiming shards, replaying their write-ahead logs and handing shards over.
#include "heatherchute/Jobs.h"

#include <algorithm>

namespace heatherchute {

/// A new daemon does not claim shards until this long after its start, so that it has learned of the
/// existing leaders.
static constexpr Seconds claimDelayAfterStart { 3 };
static constexpr Seconds claimRetryInterval { 1 };
/// The store counts as unavailable once appends have had an unknown outcome for this long.
static constexpr Milliseconds storeStallTimeout { 1000 };
/// Interval at which a leader confirms its claim while messages from some peer are missing, and the
/// time for which a confirmation is valid.
static constexpr Milliseconds confirmInterval { 1000 };
static constexpr Milliseconds confirmationValidity { 3000 };
/// Time allowed for the last messages of a previous leader to arrive.
static constexpr Milliseconds messageDelayMargin { 2000 };
static constexpr std::size_t maxPendingRecords = 200'000;
/// A shard stays with its leader for at least this long before it moves to its preferred daemon.
static constexpr Seconds handOverDelay { 10 };
static constexpr std::size_t maxFinishedJobs = 1000;
static constexpr std::size_t maxKeys = 20'000;
static constexpr Seconds keyRetention { 3600 };

JobDesk::JobDesk(std::string self, std::string failureDomain, LimitDesk& limits)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_limits(limits)
    , m_peers { m_self }
    // Starts at a random number, so that request ids do not collide with those of a previous
    // incarnation of this process.
    , m_nextRequestId(stableHash(randomToken(8)) >> 16)
{
}

std::string JobDesk::quotaHolder(const Shard& shard)
{
    return "shard/" + shard.name;
}

void JobDesk::setPeers(std::vector<std::string> peers, const std::map<std::string, ShardHome>& otherLeaders, TimePoint now)
{
    m_peers = std::move(peers);
    m_otherLeaders = otherLeaders;
    for (auto& [name, shard] : m_shards) {
        std::erase_if(shard.unreportedPeers, [this](const std::string& peer) {
            return std::find(m_peers.begin(), m_peers.end(), peer) == m_peers.end();
        });
        if (shard.phase == Phase::Reconciling)
            activateIfReconciled(shard, now);
    }
}

void JobDesk::tick(TimePoint now, JobActions& actions)
{
    if (!m_startedAt)
        m_startedAt = now;
    claimShards(now, actions);
    for (auto& [name, shard] : m_shards)
        tickShard(shard, now, actions);
    placeJobs(now, actions);
    std::vector<std::string> closed;
    for (const auto& [name, shard] : m_shards) {
        const bool isPlacing = std::any_of(m_placements.begin(), m_placements.end(), [&name = name](const auto& entry) { return entry.second.shard == name; });
        if (shard.phase == Phase::Closing && shard.pending.empty() && !shard.appendInFlight && !shard.appendOutcomeUnknown && !isPlacing)
            closed.push_back(name);
    }
    for (const auto& name : closed)
        dropShard(name, actions);
}

void JobDesk::revalidate()
{
    for (auto& [name, shard] : m_shards) {
        if (shard.phase != Phase::Active && shard.phase != Phase::Reconciling)
            continue;
        shard.isUnconfirmed = true;
        append(shard, ClaimRecord { shard.fencingToken, m_self });
    }
}

void JobDesk::confirmLeadership(Shard& shard, TimePoint now)
{
    const bool isAppending = shard.appendInFlight || shard.appendOutcomeUnknown || !shard.pending.empty();
    if (m_hasSilentPeer && !isAppending && now >= shard.confirmedAt + confirmInterval)
        append(shard, ClaimRecord { shard.fencingToken, m_self });
}

bool JobDesk::mayStartTasks(const Shard& shard, TimePoint now) const
{
    if (shard.phase != Phase::Active || shard.isUnconfirmed)
        return false;
    return !m_hasSilentPeer || now - shard.confirmedAt <= confirmationValidity;
}

void JobDesk::claimShards(TimePoint now, JobActions& actions)
{
    if (now < *m_startedAt + claimDelayAfterStart)
        return;
    for (const auto& name : shardsOfDomain(m_failureDomain)) {
        const auto own = m_shards.find(name);
        const auto otherLeader = m_otherLeaders.find(name);
        const bool isPreferredLeader = !m_isShuttingDown && !m_peers.empty() && m_peers[rendezvousChoice(name, m_peers)] == m_self;
        if (own != m_shards.end()) {
            auto& shard = own->second;
            if (otherLeader != m_otherLeaders.end() && otherLeader->second.epoch > shard.fencingToken && shard.fencingToken > 0)
                dropShard(name, actions);
            // Not while another leader is announced: a superseded leader that does not know of this
            // claim must learn the newer fencing token first.
            else if (shard.phase == Phase::Active && !isPreferredLeader && otherLeader == m_otherLeaders.end() && (m_isShuttingDown || now >= shard.activeSince + handOverDelay))
                shard.phase = Phase::Closing;
            continue;
        }
        if (!isPreferredLeader || otherLeader != m_otherLeaders.end() || now < m_nextClaim[name])
            continue;
        m_nextClaim[name] = now + claimRetryInterval;
        m_shards[name].name = name;
        actions.push_back(ReadJournal { name });
    }
}

void JobDesk::onJournalRead(const std::string& name, const Result<std::vector<JournalEntry>>& entries, TimePoint now, JobActions& actions)
{
    const auto found = m_shards.find(name);
    if (found == m_shards.end() || found->second.phase != Phase::Reading)
        return;
    auto& shard = found->second;
    if (!entries) {
        dropShard(name, actions);
        return;
    }
    for (const auto& entry : entries.value()) {
        if (shard.nextSequence == 1)
            shard.firstSequence = entry.sequence;
        shard.nextSequence = entry.sequence + 1;
        for (const auto& record : entry.records)
            std::visit([&](const auto& typed) { apply(shard, typed, now); }, record);
    }
    for (auto& [key, entry] : shard.keys) {
        // The request was started by a previous leader, and its outcome is not recorded.
        if (entry.state == KeyState::Running)
            entry.state = KeyState::Unknown;
    }
    ++shard.fencingToken;
    shard.phase = Phase::Claiming;
    append(shard, ClaimRecord { shard.fencingToken, m_self });
    flush(shard, now, actions);
}

void JobDesk::onClaimWritten(Shard& shard, TimePoint now, JobActions& actions)
{
    if (shard.phase != Phase::Claiming)
        return;
    shard.phase = Phase::Reconciling;
    shard.unreportedPeers.insert(m_peers.begin(), m_peers.end());
    shard.nextClaimBroadcast = now + claimRetryInterval;
    if (m_hasSilentPeer)
        shard.reconcileUntil = now + confirmationValidity + messageDelayMargin;
    logEvent(LogLevel::Info, "shard_claimed", { { "shard", shard.name }, { "epoch", shard.fencingToken }, { "jobs", shard.jobs.size() } });
    actions.push_back(SendToOwner { {}, HomeClaim { shard.name, shard.fencingToken } });
}

void JobDesk::onClaimReply(const std::string& from, const HomeClaimReply& reply, TimePoint now, JobActions& actions)
{
    const auto found = m_shards.find(reply.shard);
    if (found == m_shards.end() || found->second.fencingToken != reply.epoch)
        return;
    auto& shard = found->second;
    onReports(from, { reply.shard, reply.tasks }, now, actions);
    if (shard.phase != Phase::Reconciling)
        return;
    shard.unreportedPeers.erase(from);
    for (const auto& vm : reply.ownedVms) {
        shard.reportedVms.insert(vm);
        shard.unreportedVms.erase(vm);
    }
    for (const auto& vm : reply.otherVms) {
        if (!shard.reportedVms.contains(vm))
            shard.unreportedVms.insert(vm);
    }
    activateIfReconciled(shard, now);
}

void JobDesk::activateIfReconciled(Shard& shard, TimePoint now)
{
    if (now < shard.reconcileUntil || !shard.unreportedPeers.empty() || !shard.unreportedVms.empty())
        return;
    shard.phase = Phase::Active;
    shard.activeSince = Clock::time_point {};
    m_limits.takeOver(quotaHolder(shard));
    std::map<std::string, std::uint32_t> activeTasks;
    for (auto& [id, job] : shard.jobs) {
        activeTasks[job.spec.team] += job.active();
        // The previous leader may have crashed after it recorded the last task and before it recorded
        // the job's final state.
        finishIfDone(shard, job);
    }
    for (const auto& [team, count] : activeTasks)
        m_limits.adopt(team, quotaHolder(shard), count);
    logEvent(LogLevel::Info, "shard_active", { { "shard", shard.name }, { "epoch", shard.fencingToken } });
}

void JobDesk::tickShard(Shard& shard, TimePoint now, JobActions& actions)
{
    if (shard.phase == Phase::Active && shard.activeSince == TimePoint {})
        shard.activeSince = now;
    if (shard.phase == Phase::Reconciling && now >= shard.nextClaimBroadcast) {
        shard.nextClaimBroadcast = now + claimRetryInterval;
        actions.push_back(SendToOwner { {}, HomeClaim { shard.name, shard.fencingToken } });
    }
    if (shard.phase == Phase::Reconciling)
        activateIfReconciled(shard, now);
    if (shard.phase == Phase::Active) {
        queryOverdueTasks(shard, now, actions);
        confirmLeadership(shard, now);
    }
    removeExpired(shard, now);
    flush(shard, now, actions);
}

void JobDesk::removeExpired(Shard& shard, TimePoint now)
{
    while (shard.finished.size() > maxFinishedJobs) {
        const auto found = shard.jobs.find(shard.finished.front());
        if (found != shard.jobs.end() && found->second.active() > 0)
            return;
        if (found != shard.jobs.end()) {
            shard.jobOfKey.erase(found->second.spec.idempotency);
            shard.jobs.erase(found);
        }
        shard.finished.pop_front();
    }
    if (shard.keys.size() < maxKeys / 2)
        return;
    std::erase_if(shard.keys, [now](const auto& entry) {
        return entry.second.state != KeyState::Running && now - entry.second.since >= keyRetention;
    });
}

void JobDesk::dropShard(const std::string& name, JobActions& actions)
{
    const auto found = m_shards.find(name);
    if (found == m_shards.end())
        return;
    auto& shard = found->second;
    for (const auto& record : shard.inFlightRecords) {
        if (record.token != 0)
            actions.push_back(NotDurable { record.token });
    }
    for (const auto& record : shard.pending) {
        if (record.token != 0)
            actions.push_back(NotDurable { record.token });
    }
    m_limits.drop(quotaHolder(shard));
    std::erase_if(m_placements, [&name](const auto& entry) { return entry.second.shard == name; });
    m_shards.erase(found);
}

std::vector<ShardHome> JobDesk::homes() const
{
    std::vector<ShardHome> homes;
    for (const auto& [name, shard] : m_shards) {
        if (shard.phase == Phase::Active || shard.phase == Phase::Reconciling)
            homes.push_back({ name, shard.fencingToken });
    }
    return homes;
}

bool JobDesk::isHome(const std::string& name) const
{
    const auto found = m_shards.find(name);
    return found != m_shards.end() && (found->second.phase == Phase::Active || found->second.phase == Phase::Reconciling);
}

std::string JobDesk::shardForNewJob() const
{
    const Shard* best = nullptr;
    for (const auto& [name, shard] : m_shards) {
        if (isHome(name) && shard.pending.size() < maxPendingRecords && (!best || shard.jobs.size() < best->jobs.size()))
            best = &shard;
    }
    return best ? best->name : std::string();
}

KeyState JobDesk::keyState(const std::string& name, const std::string& key, const std::string& fingerprint) const
{
    const auto found = m_shards.find(name);
    if (found == m_shards.end())
        return KeyState::Unseen;
    const auto entry = found->second.keys.find(key);
    if (entry == found->second.keys.end())
        return KeyState::Unseen;
    if (entry->second.fingerprint != fingerprint)
        return KeyState::Mismatch;
    return entry->second.state;
}

Result<JobDesk::Shard*> JobDesk::shardForWrite(const std::string& name, TimePoint now)
{
    const auto found = m_shards.find(name);
    if (found == m_shards.end() || !isHome(name))
        return ErrorKind::HomeUnreachable;
    auto& shard = found->second;
    // During a known outage of the store, rejects the request instead of queueing it until the
    // outage ends.
    if (shard.stalledSince && now - *shard.stalledSince >= storeStallTimeout)
        return ErrorKind::StoreUnavailable;
    if (shard.pending.size() >= maxPendingRecords)
        return ErrorKind::Overloaded;
    return &shard;
}

Result<void> JobDesk::beginKey(const std::string& name, const std::string& key, const std::string& fingerprint, std::uint64_t token, TimePoint now)
{
    const auto found = shardForWrite(name, now);
    if (!found)
        return found.error();
    auto& shard = *found.value();
    if (shard.keys.size() >= maxKeys)
        return ErrorKind::Overloaded;
    apply(shard, KeyBegunRecord { key, fingerprint }, now);
    append(shard, KeyBegunRecord { key, fingerprint }, token);
    return boost::outcome_v2::success();
}

void JobDesk::endKey(const std::string& name, const std::string& key, bool ran, TimePoint now)
{
    const auto found = m_shards.find(name);
    if (found == m_shards.end())
        return;
    apply(found->second, KeyEndedRecord { key, ran }, now);
    append(found->second, KeyEndedRecord { key, ran });
}

} // namespace heatherchute
