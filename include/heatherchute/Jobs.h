/// Durable jobs: each has one home, and each shard of jobs one journal in the store. A home is
/// whoever made the newest claim in the journal; every append is a compare-and-swap at its end,
/// so an older home cannot write. Pure: time is passed in, effects come out as actions.
#pragma once

#include "heatherchute/Limits.h"
#include "heatherchute/Wire.h"

#include <deque>
#include <map>
#include <set>
#include <variant>

namespace heatherchute {

/// A daemon became the home of the shard.
struct ClaimRecord {
    std::uint64_t epoch = 0;
    std::string daemon;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimRecord, epoch, daemon)

struct AcceptRecord {
    JobSpec job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptRecord, job)

/// One task has succeeded.
struct TaskDoneRecord {
    std::string job;
    std::uint32_t index = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskDoneRecord, job, index)

struct JobStateRecord {
    std::string job;
    std::string state;
    std::string detail;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStateRecord, job, state, detail)

/// A request with an idempotency key may be running from now on.
struct KeyBegunRecord {
    std::string key;
    std::string fingerprint;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyBegunRecord, key, fingerprint)

/// The request with that key is over; `ran` is false when it surely did not run.
struct KeyEndedRecord {
    std::string key;
    bool ran = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyEndedRecord, key, ran)

/// Everything still needed stands in entries from `from` on; older ones may go.
struct CompactedRecord {
    std::uint64_t from = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CompactedRecord, from)

/// Records may be applied twice without harm.
using JournalRecord = std::variant<ClaimRecord, AcceptRecord, TaskDoneRecord, JobStateRecord, KeyBegunRecord, KeyEndedRecord, CompactedRecord>;

/// One value of the journal: what one append writes.
struct JournalEntry {
    std::uint64_t sequence = 0;
    /// Names the writer's attempt, so that it knows its own write again.
    std::string nonce;
    std::vector<JournalRecord> records;
};
std::string journalPrefix(const std::string& shard);
std::string journalKey(const std::string& shard, std::uint64_t sequence);
std::string encodeEntry(const JournalEntry& entry);
Result<JournalEntry> decodeEntry(const std::string& text);

/// Number of shards in each failure domain.
inline constexpr int shardsPerDomain = 4;
std::vector<std::string> shardsOfDomain(const std::string& failureDomain);

/// How an append ended.
enum class AppendOutcome : std::uint8_t {
    Written,
    /// Another home has written there.
    Taken,
    /// Not known: the same entry has to be tried again.
    Unknown,
};

// What the desk wants done.

struct ReadJournal {
    std::string shard;
};
struct AppendJournal {
    std::string shard;
    JournalEntry entry;
};
struct TrimJournal {
    std::string shard;
    std::uint64_t below = 0;
};
/// To one daemon of the failure domain; an empty name means all, this one included.
struct SendToOwner {
    std::string daemon;
    PeerMessage message;
};
/// A caller's token is due: what it waited for is in the journal.
struct Durable {
    std::uint64_t token = 0;
};
/// A caller's token fails: the shard went to another home first.
struct NotDurable {
    std::uint64_t token = 0;
};
/// Somebody may be waiting for this job.
struct JobChanged {
    std::string job;
};
using JobAction = std::variant<ReadJournal, AppendJournal, TrimJournal, SendToOwner, Durable, NotDurable, JobChanged>;
using JobActions = std::vector<JobAction>;

/// Where one task of a job stands with its home.
enum class SlotState : std::uint8_t {
    Pending,
    /// Sent to a VM's owner; it may run.
    Committed,
    Running,
    /// It has succeeded; the record of that is being written.
    Succeeded,
    /// Its success is in the journal.
    Done,
};

struct TaskSlot {
    SlotState state = SlotState::Pending;
    TaskAttempt attempt;
    std::uint32_t failures = 0;
    /// When to ask the owner, if nothing is heard.
    TimePoint nextQueryAt;
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Waiting;
    std::string detail;
    std::vector<TaskSlot> slots;
    /// Why it waits, for `explain`.
    std::string reason;
    std::vector<std::string> failedOn;
    std::uint64_t version = 1;
    TimePoint acceptedAt;
    TimePoint startedAt;
    TimePoint nextPlacementAt;
    Milliseconds backoff { 0 };
    bool isPlacementPending = false;
    /// Waits for a part of its team's limit: it is tried as soon as there is one.
    bool waitsForQuota = false;
    /// A task of the gang was lost: all stop before any starts again.
    bool isGangStopping = false;
    bool accepted = false;
    /// Sizes learned from what its tasks used.
    Resources observed;

    std::uint32_t active() const;
    std::uint32_t pending() const;
};

/// What is known of an idempotency key.
enum class KeyState : std::uint8_t {
    Unseen,
    Running,
    Ended,
    /// It may have run; nobody knows its answer any more.
    Unknown,
    /// Used before for another request.
    Mismatch,
};

/// Room of another daemon's VMs, from its heartbeat.
struct OwnerRoom {
    std::string daemon;
    Resources free;
    Resources largestFree;
};

class JobDesk {
public:
    JobDesk(std::string self, std::string failureDomain, LimitDesk& limits);

    void tick(TimePoint now, JobActions& actions);
    /// Daemons of this failure domain, which may become homes, this one included; and the homes
    /// that others have announced.
    void setPeers(std::vector<std::string> peers, const std::map<std::string, ShardHome>& othersHomes, TimePoint now);
    void setRoom(std::vector<OwnerRoom> room) { m_freeCapacity = std::move(room); }
    /// Order in which teams' jobs are tried: parts of the cell by team, in percent.
    void setShares(std::map<std::string, double> shares) { m_shares = std::move(shares); }
    /// Targets by class: the wait after which work is urgent.
    void setWaitTargets(std::map<std::string, Milliseconds> targets) { m_waitTargets = std::move(targets); }
    /// Some daemon of the failure domain is silent, and may claim shards unheard. While that is
    /// so, a home starts tasks only shortly after the journal has confirmed it, and a new home
    /// waits until an older one must have stopped.
    void setSomeoneSilent(bool silent) { m_hasSilentPeer = silent; }
    /// After a pause: makes sure, by a write at the end of each journal, that no other home has
    /// claimed meanwhile.
    void revalidate();
    /// Hands every shard over, for a graceful shutdown.
    void setLeaving() { m_isShuttingDown = true; }

    // Journal results.
    void onJournalRead(const std::string& shard, const Result<std::vector<JournalEntry>>& entries, TimePoint now, JobActions& actions);
    void onAppended(const std::string& shard, std::uint64_t sequence, AppendOutcome outcome, TimePoint now, JobActions& actions);

    // Owners' messages.
    void onReserveReply(const std::string& from, const ReserveReply& reply, TimePoint now, JobActions& actions);
    TaskAcks onReports(const std::string& from, const TaskReports& reports, TimePoint now, JobActions& actions);
    void onClaimReply(const std::string& from, const HomeClaimReply& reply, TimePoint now, JobActions& actions);
    void onVmOwned(const std::string& from, const VmOwned& notice, TimePoint now, JobActions& actions);
    void onVmLost(const VmLost& notice, TimePoint now, JobActions& actions);

    // Callers.
    /// A shard of this daemon for a new job; empty when it has none that takes work.
    std::string shardForNewJob() const;
    bool isHome(const std::string& shard) const;
    /// Accepts a job; `token` comes back once it is durable. The id is set in the returned spec.
    /// A job that came with the same idempotency key before is returned instead.
    Result<JobSpec> submit(const std::string& shard, JobSpec spec, std::uint64_t token, TimePoint now, JobActions& actions);
    Result<void> cancel(const std::string& id, std::uint64_t token, TimePoint now, JobActions& actions);
    const Job* find(const std::string& id) const;
    std::vector<const Job*> list(const std::string& queue, const std::string& team, std::size_t most) const;
    std::uint32_t waitingIn(const std::string& queue) const;

    KeyState keyState(const std::string& shard, const std::string& key, const std::string& fingerprint) const;
    Result<void> beginKey(const std::string& shard, const std::string& key, const std::string& fingerprint, std::uint64_t token, TimePoint now);
    void endKey(const std::string& shard, const std::string& key, bool ran, TimePoint now);

    /// Shards that this daemon is the home of, for heartbeats.
    std::vector<ShardHome> homes() const;
    bool isIdle() const { return m_shards.empty(); }

private:
    enum class Phase : std::uint8_t {
        Reading,
        Claiming,
        /// Waits to hear of every VM before anything starts.
        Reconciling,
        Active,
        /// Being handed over: writes what is pending, starts nothing.
        Closing,
    };

    struct PendingRecord {
        JournalRecord record;
        std::uint64_t token = 0;
    };

    struct KeyEntry {
        std::string fingerprint;
        KeyState state = KeyState::Running;
        TimePoint since;
    };

    struct Shard {
        std::string name;
        Phase phase = Phase::Reading;
        std::uint64_t fencingToken = 0;
        std::uint64_t nextSequence = 1;
        std::uint64_t firstSequence = 1;
        std::uint64_t nextJobNumber = 1;
        std::deque<PendingRecord> pending;
        std::vector<PendingRecord> inFlightRecords;
        JournalEntry inFlightEntry;
        bool appendInFlight = false;
        bool appendOutcomeUnknown = false;
        TimePoint nextAppend;
        /// Since when an append has had no answer, if it has none.
        std::optional<TimePoint> stalledSince;
        std::map<std::string, Job> jobs;
        std::deque<std::string> finished;
        std::map<std::string, std::string> jobOfKey;
        std::map<std::string, KeyEntry> keys;
        /// VMs and daemons that a new home has not heard of yet.
        std::set<std::string> unreportedVms;
        std::set<std::string> reportedVms;
        std::set<std::string> unreportedPeers;
        TimePoint nextClaimBroadcast;
        TimePoint activeSince;
        /// When the last append that was written had been sent: nobody had claimed before.
        TimePoint confirmedAt;
        TimePoint appendSentAt;
        /// After a pause nothing starts until the journal has confirmed the home.
        bool isUnconfirmed = false;
        TimePoint reconcileUntil;
        bool compacting = false;
    };

    struct Placement {
        std::string shard;
        std::string job;
        std::uint32_t needed = 0;
        std::uint32_t granted = 0;
        std::vector<std::uint32_t> slots;
        std::deque<std::string> owners;
        std::string pendingOwner;
        std::map<std::string, std::vector<std::string>> vmsByOwner;
        TimePoint replyDeadline;
    };

    // Records.cpp and Shards.cpp
    void claimShards(TimePoint now, JobActions& actions);
    void tickShard(Shard& shard, TimePoint now, JobActions& actions);
    void replay(Shard& shard, const JournalRecord& record, TimePoint now);
    void apply(Shard& shard, const ClaimRecord& record, TimePoint now);
    void apply(Shard& shard, const AcceptRecord& record, TimePoint now);
    void apply(Shard& shard, const TaskDoneRecord& record, TimePoint now);
    void apply(Shard& shard, const JobStateRecord& record, TimePoint now);
    void apply(Shard& shard, const KeyBegunRecord& record, TimePoint now);
    void apply(Shard& shard, const KeyEndedRecord& record, TimePoint now);
    void apply(Shard& shard, const CompactedRecord& record, TimePoint now);
    void append(Shard& shard, JournalRecord record, std::uint64_t token = 0);
    void flush(Shard& shard, TimePoint now, JobActions& actions);
    void compact(Shard& shard);
    void onClaimWritten(Shard& shard, TimePoint now, JobActions& actions);
    void onRecordWritten(Shard& shard, const PendingRecord& written, TimePoint now, JobActions& actions);
    void activateIfReconciled(Shard& shard, TimePoint now);
    void confirmLeadership(Shard& shard, TimePoint now);
    bool mayStartTasks(const Shard& shard, TimePoint now) const;
    /// The home takes new work of this shard: it holds it, and the store takes its writes.
    Result<Shard*> shardForWrite(const std::string& name, TimePoint now);
    void dropShard(const std::string& name, JobActions& actions);
    void removeExpired(Shard& shard, TimePoint now);

    // Placement.cpp
    void placeJobs(TimePoint now, JobActions& actions);
    void startPlacement(Shard& shard, Job& job, TimePoint now, JobActions& actions);
    void requestNextOwner(std::uint64_t ask, Placement& placing, TimePoint now, JobActions& actions);
    void finishPlacement(std::uint64_t ask, TimePoint now, JobActions& actions);
    void commitTasks(const Shard& shard, Job& job, const Placement& placing, std::uint64_t ask, std::uint32_t count, TimePoint now, JobActions& actions);
    void releaseReservations(const Shard& shard, const Placement& placing, std::uint64_t ask, JobActions& actions);
    bool isPlacementDue(const Shard& shard, const Job& job, TimePoint now) const;
    void backOff(Job& job, TimePoint now, std::string reason);

    // Reports.cpp
    bool applyReport(Shard& shard, Job& job, const TaskReport& report, TimePoint now, JobActions& actions);
    void adoptOrphan(Shard& shard, Job& job, std::uint32_t index, const TaskReport& report, TaskState state, TimePoint now, JobActions& actions);
    void onSlotEnded(Shard& shard, Job& job, TaskSlot& slot, TaskState state, const TaskReport& report, TimePoint now, JobActions& actions);
    void endSlot(Shard& shard, Job& job, TaskSlot& slot, SlotState next);
    void recordSuccess(Shard& shard, Job& job, std::uint32_t index);
    void stopGang(Shard& shard, Job& job, JobActions& actions);
    void finish(Shard& shard, Job& job, JobState state, std::string detail, std::uint64_t token);
    void finishIfDone(Shard& shard, Job& job);
    void stopActive(Shard& shard, Job& job, JobActions& actions);
    void queryOverdueTasks(Shard& shard, TimePoint now, JobActions& actions);
    static std::string quotaHolder(const Shard& shard);
    static void markChanged(Job& job, JobActions& actions);

    std::string m_self;
    std::string m_failureDomain;
    LimitDesk& m_limits;
    std::vector<std::string> m_peers;
    std::map<std::string, ShardHome> m_otherLeaders;
    std::vector<OwnerRoom> m_freeCapacity;
    std::map<std::string, double> m_shares;
    std::map<std::string, Milliseconds> m_waitTargets;
    std::map<std::string, Shard> m_shards;
    std::map<std::string, TimePoint> m_nextClaim;
    std::map<std::uint64_t, Placement> m_placements;
    std::uint64_t m_nextRequest;
    std::optional<TimePoint> m_startedAt;
    bool m_hasSilentPeer = false;
    bool m_isShuttingDown = false;
};

} // namespace heatherchute
