/// Write-ahead log of a shard: queueing records, appending them one entry at a time, applying
/// written records and compaction.
#include "heatherchute/Jobs.h"

#include <algorithm>

namespace heatherchute {

/// Minimum interval between appends; records that arrive in between are batched into one entry.
static constexpr Milliseconds commitInterval { 20 };
/// Delay before an append with an unknown outcome is retried.
static constexpr Milliseconds unknownOutcomeRetryInterval { 500 };
/// Target size of an entry; its last record may exceed it.
static constexpr std::size_t maxEntryBytes = 700U << 10;
/// Number of entries after which the log is compacted.
static constexpr std::uint64_t entriesBeforeCompaction = 512;

void JobDesk::apply(Shard& shard, const ClaimRecord& record, TimePoint)
{
    shard.fencingToken = std::max(shard.fencingToken, record.epoch);
}

void JobDesk::apply(Shard& shard, const AcceptRecord& record, TimePoint now)
{
    const auto& spec = record.job;
    const auto [entry, isNew] = shard.jobs.try_emplace(spec.id);
    auto& job = entry->second;
    job.accepted = true;
    if (!isNew)
        return;
    job.spec = spec;
    job.slots.resize(spec.tasks);
    job.acceptedAt = now;
    if (!spec.idempotency.empty())
        shard.jobOfKey[spec.idempotency] = spec.id;
    const auto number = std::strtoull(spec.id.c_str() + shard.name.size() + 1, nullptr, 10);
    shard.nextJobNumber = std::max<std::uint64_t>(shard.nextJobNumber, number + 1);
}

void JobDesk::apply(Shard& shard, const TaskDoneRecord& record, TimePoint)
{
    const auto found = shard.jobs.find(record.job);
    if (found == shard.jobs.end() || record.index >= found->second.slots.size())
        return;
    auto& slot = found->second.slots[record.index];
    endSlot(shard, found->second, slot, SlotState::Done);
}

void JobDesk::apply(Shard& shard, const JobStateRecord& record, TimePoint)
{
    const auto found = shard.jobs.find(record.job);
    const auto state = jobStateFromName(record.state);
    if (found == shard.jobs.end() || !state || isFinal(found->second.state))
        return;
    found->second.state = *state;
    found->second.detail = record.detail;
    if (isFinal(*state))
        shard.finished.push_back(record.job);
}

void JobDesk::apply(Shard& shard, const KeyBegunRecord& record, TimePoint now)
{
    shard.keys.try_emplace(record.key, KeyEntry { record.fingerprint, KeyState::Running, now });
}

void JobDesk::apply(Shard& shard, const KeyEndedRecord& record, TimePoint)
{
    const auto found = shard.keys.find(record.key);
    if (found == shard.keys.end())
        return;
    if (record.ran)
        found->second.state = KeyState::Ended;
    else
        shard.keys.erase(found);
}

void JobDesk::apply(Shard& shard, const CompactedRecord& record, TimePoint)
{
    shard.firstSequence = std::max(shard.firstSequence, record.from);
}

void JobDesk::append(Shard& shard, JournalRecord record, std::uint64_t token)
{
    shard.pending.push_back({ std::move(record), token });
}

void JobDesk::flush(Shard& shard, TimePoint now, JobActions& actions)
{
    if (shard.appendInFlight || now < shard.nextAppend)
        return;
    // A previous leader may still be acting on its own state, so nothing is recorded until the
    // waiting period has passed.
    if (shard.phase == Phase::Reconciling && now < shard.reconcileUntil && !shard.appendOutcomeUnknown)
        return;
    if (shard.appendOutcomeUnknown) {
        shard.appendOutcomeUnknown = false;
        shard.appendInFlight = true;
        shard.appendSentAt = now;
        actions.push_back(AppendJournal { shard.name, shard.inFlightEntry });
        return;
    }
    if (shard.pending.empty())
        return;
    shard.inFlightEntry = { shard.nextSequence, randomToken(8), {} };
    shard.inFlightRecords.clear();
    std::size_t bytes = 0;
    while (!shard.pending.empty() && bytes < maxEntryBytes) {
        bytes += toTagged(shard.pending.front().record).dump(-1, ' ', false, Json::error_handler_t::replace).size();
        shard.inFlightEntry.records.push_back(shard.pending.front().record);
        shard.inFlightRecords.push_back(std::move(shard.pending.front()));
        shard.pending.pop_front();
    }
    shard.appendInFlight = true;
    shard.appendSentAt = now;
    shard.nextAppend = now + commitInterval;
    actions.push_back(AppendJournal { shard.name, shard.inFlightEntry });
}

void JobDesk::onAppended(const std::string& name, std::uint64_t sequence, AppendOutcome outcome, TimePoint now, JobActions& actions)
{
    const auto found = m_shards.find(name);
    if (found == m_shards.end() || !found->second.appendInFlight || found->second.inFlightEntry.sequence != sequence)
        return;
    auto& shard = found->second;
    shard.appendInFlight = false;
    if (outcome == AppendOutcome::Taken) {
        logEvent(LogLevel::Warning, "shard_lost", { { "shard", name }, { "epoch", shard.fencingToken } });
        dropShard(name, actions);
        return;
    }
    if (outcome == AppendOutcome::Unknown) {
        if (!shard.stalledSince)
            shard.stalledSince = now;
        shard.appendOutcomeUnknown = true;
        shard.nextAppend = now + unknownOutcomeRetryInterval;
        return;
    }
    shard.stalledSince.reset();
    shard.confirmedAt = std::max(shard.confirmedAt, shard.appendSentAt);
    // The claim that revalidate() appended is durable once no record is pending.
    shard.isUnconfirmed = shard.isUnconfirmed && !shard.pending.empty();
    shard.nextSequence = sequence + 1;
    const auto written = std::move(shard.inFlightRecords);
    shard.inFlightRecords.clear();
    for (const auto& record : written)
        onRecordWritten(shard, record, now, actions);
    compact(shard);
}

void JobDesk::onRecordWritten(Shard& shard, const PendingRecord& written, TimePoint now, JobActions& actions)
{
    // Key records were applied when they were queued; applying them again could overwrite a newer use
    // of the key.
    const bool isKeyRecord = std::holds_alternative<KeyBegunRecord>(written.record) || std::holds_alternative<KeyEndedRecord>(written.record);
    if (!isKeyRecord)
        std::visit([&](const auto& typed) { apply(shard, typed, now); }, written.record);
    if (written.token != 0)
        actions.push_back(Durable { written.token });
    if (std::holds_alternative<ClaimRecord>(written.record)) {
        onClaimWritten(shard, now, actions);
    } else if (const auto* const done = std::get_if<TaskDoneRecord>(&written.record)) {
        auto& job = shard.jobs[done->job];
        markChanged(job, actions);
        finishIfDone(shard, job);
    } else if (const auto* const state = std::get_if<JobStateRecord>(&written.record)) {
        auto& job = shard.jobs[state->job];
        markChanged(job, actions);
        if (isFinal(job.state))
            stopActive(shard, job, actions);
    } else if (const auto* const compacted = std::get_if<CompactedRecord>(&written.record)) {
        shard.compacting = false;
        actions.push_back(TrimJournal { shard.name, compacted->from });
    }
}

void JobDesk::compact(Shard& shard)
{
    if (shard.compacting || shard.phase != Phase::Active || shard.nextSequence - shard.firstSequence < entriesBeforeCompaction)
        return;
    shard.compacting = true;
    const auto from = shard.nextSequence;
    append(shard, ClaimRecord { shard.fencingToken, m_self });
    for (const auto& [id, job] : shard.jobs) {
        if (!job.accepted)
            continue;
        append(shard, AcceptRecord { job.spec });
        for (std::uint32_t i = 0; i < job.slots.size(); ++i) {
            if (job.slots[i].state == SlotState::Done)
                append(shard, TaskDoneRecord { id, i });
        }
        if (isFinal(job.state))
            append(shard, JobStateRecord { id, std::string(jobStateName(job.state)), job.detail });
    }
    for (const auto& [key, entry] : shard.keys) {
        append(shard, KeyBegunRecord { key, entry.fingerprint });
        if (entry.state == KeyState::Ended)
            append(shard, KeyEndedRecord { key, true });
    }
    append(shard, CompactedRecord { from });
}

} // namespace heatherchute
