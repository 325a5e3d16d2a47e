/// Durable jobs. Jobs are divided into shards; each shard has one leader and one write-ahead log
/// in the store. The leader is the daemon with the newest claim in the log. Every append is a
/// compare-and-swap at the end of the log, so a superseded leader cannot write. The code does no
/// I/O and reads no clock: time is passed in, and effects are returned as actions.
#pragma once

#include "heatherchute/Limits.h"
#include "heatherchute/Wire.h"

#include <deque>
#include <map>
#include <set>
#include <variant>

namespace heatherchute {

/// A daemon became the leader of the shard. `epoch` is its fencing token.
struct ClaimRecord {
    std::uint64_t epoch = 0;
    std::string daemon;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimRecord, epoch, daemon)

struct AcceptRecord {
    JobSpec job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptRecord, job)

/// A task of the job succeeded.
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

/// Written before a request with an idempotency key runs: from then on the request may be running.
struct KeyBegunRecord {
    std::string key;
    std::string fingerprint;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyBegunRecord, key, fingerprint)

/// The request with this idempotency key completed. `ran` is false only if the request is known not
/// to have run.
struct KeyEndedRecord {
    std::string key;
    bool ran = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyEndedRecord, key, ran)

/// Compaction completed: entries with a sequence number below `from` are no longer needed and may be
/// deleted.
struct CompactedRecord {
    std::uint64_t from = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CompactedRecord, from)

/// A record of the write-ahead log. Applying a record is idempotent.
using JournalRecord = std::variant<ClaimRecord, AcceptRecord, TaskDoneRecord, JobStateRecord, KeyBegunRecord, KeyEndedRecord, CompactedRecord>;

/// One entry of the write-ahead log, written by a single append.
struct JournalEntry {
    std::uint64_t sequence = 0;
    /// Identifies the append attempt, so that the writer recognizes its own write after an unknown
    /// outcome.
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

/// Outcome of an append to the write-ahead log.
enum class AppendOutcome : std::uint8_t {
    Written,
    /// Another leader has already written an entry with this sequence number.
    Taken,
    /// The write may or may not have taken effect; the same entry must be appended again.
    Unknown,
};

// Actions that JobDesk returns for its caller to perform.

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
/// Sends a message to one daemon of the failure domain, or to all of them (including this daemon) if
/// `daemon` is empty.
struct SendToOwner {
    std::string daemon;
    PeerMessage message;
};
/// The record that a caller submitted under `token` is in the write-ahead log.
struct Durable {
    std::uint64_t token = 0;
};
/// The record that a caller submitted under `token` was not confirmed before this daemon gave up the
/// shard.
struct NotDurable {
    std::uint64_t token = 0;
};
/// The state of the job changed; callers that wait for it are notified.
struct JobChanged {
    std::string job;
};
using JobAction = std::variant<ReadJournal, AppendJournal, TrimJournal, SendToOwner, Durable, NotDurable, JobChanged>;
using JobActions = std::vector<JobAction>;

/// State of one task of a job, as known to the shard leader.
enum class SlotState : std::uint8_t {
    Pending,
    /// Sent to the owner of a VM; the task may be running.
    Committed,
    Running,
    /// Succeeded, but the record of its success is not yet durable.
    Succeeded,
    /// The record of its success is in the write-ahead log.
    Done,
};

struct TaskSlot {
    SlotState state = SlotState::Pending;
    TaskAttempt attempt;
    std::uint32_t failures = 0;
    /// Time at which the VM's owner is queried if it has sent no report.
    TimePoint nextQueryAt;
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Waiting;
    std::string detail;
    std::vector<TaskSlot> slots;
    /// Why the job is waiting, as shown by `explain`.
    std::string reason;
    std::vector<std::string> failedOn;
    std::uint64_t version = 1;
    TimePoint acceptedAt;
    TimePoint startedAt;
    TimePoint nextPlacementAt;
    Milliseconds backoff { 0 };
    bool isPlacementPending = false;
    /// The job waits for quota of its team; placement is retried as soon as enough is available.
    bool waitsForQuota = false;
    /// A task of the gang failed or was lost; the remaining tasks are stopped before any task is
    /// started again.
    bool isGangStopping = false;
    bool accepted = false;
    /// Largest resource usage reported by the job's tasks.
    Resources observed;

    std::uint32_t active() const;
    std::uint32_t pending() const;
};

/// State of the request with an idempotency key.
enum class KeyState : std::uint8_t {
    Unseen,
    Running,
    Ended,
    /// The request may have run, but its response is lost.
    Unknown,
    /// The key was used before for a different request.
    Mismatch,
};

/// Free capacity of the VMs that a daemon owns, from its heartbeat.
struct OwnerRoom {
    std::string daemon;
    Resources free;
    Resources largestFree;
};

/// Schedules the jobs of the shards that this daemon leads: claims shards, replays and appends to
/// their write-ahead logs, reserves resources at VM owners and processes task reports.
class JobDesk {
public:
    JobDesk(std::string self, std::string failureDomain, LimitDesk& limits);

    void tick(TimePoint now, JobActions& actions);
    /// Sets the daemons of this failure domain that may lead shards (including this daemon), and the
    /// shard leaders that other daemons have announced.
    void setPeers(std::vector<std::string> peers, const std::map<std::string, ShardHome>& otherLeaders, TimePoint now);
    void setRoom(std::vector<OwnerRoom> room) { m_freeCapacity = std::move(room); }
    /// Sets each team's share of the cell in percent; it determines the order in which jobs are placed.
    void setShares(std::map<std::string, double> shares) { m_shares = std::move(shares); }
    /// Sets the target waiting time of each job class. A job is urgent once it has waited for half of
    /// its target.
    void setWaitTargets(std::map<std::string, Milliseconds> targets) { m_waitTargets = std::move(targets); }
    /// Set while no messages arrive from some daemon of the failure domain, which may claim shards
    /// without this daemon noticing. During that time a leader starts tasks only for a short period
    /// after an append has confirmed its claim, and a new leader waits until a previous leader must
    /// have stopped starting tasks.
    void setSomeoneSilent(bool silent) { m_hasSilentPeer = silent; }
    /// Called after the process was paused. Appends to the write-ahead log of each shard to verify
    /// that no other leader has claimed it in the meantime.
    void revalidate();
    /// Starts a graceful shutdown: hands over every shard.
    void setLeaving() { m_isShuttingDown = true; }

    // Results of reads from and appends to the write-ahead logs.
    void onJournalRead(const std::string& shard, const Result<std::vector<JournalEntry>>& entries, TimePoint now, JobActions& actions);
    void onAppended(const std::string& shard, std::uint64_t sequence, AppendOutcome outcome, TimePoint now, JobActions& actions);

    // Messages from VM owners.
    void onReserveReply(const std::string& from, const ReserveReply& reply, TimePoint now, JobActions& actions);
    TaskAcks onReports(const std::string& from, const TaskReports& reports, TimePoint now, JobActions& actions);
    void onClaimReply(const std::string& from, const HomeClaimReply& reply, TimePoint now, JobActions& actions);
    void onVmOwned(const std::string& from, const VmOwned& notice, TimePoint now, JobActions& actions);
    void onVmLost(const VmLost& notice, TimePoint now, JobActions& actions);

    // API for callers.
    /// Returns a shard led by this daemon that accepts a new job, or an empty string if there is none.
    std::string shardForNewJob() const;
    bool isHome(const std::string& shard) const;
    /// Accepts a job; `Durable` or `NotDurable` with `token` follows. The job id is set in the returned
    /// spec. If a job was submitted with the same idempotency key before, returns that job instead.
    /// Fails if this daemon does not lead the shard, the store is unavailable or too many records
    /// are pending.
    Result<JobSpec> submit(const std::string& shard, JobSpec spec, std::uint64_t token, TimePoint now, JobActions& actions);
    Result<void> cancel(const std::string& id, std::uint64_t token, TimePoint now, JobActions& actions);
    const Job* find(const std::string& id) const;
    std::vector<const Job*> list(const std::string& queue, const std::string& team, std::size_t maxCount) const;
    std::uint32_t waitingIn(const std::string& queue) const;

    KeyState keyState(const std::string& shard, const std::string& key, const std::string& fingerprint) const;
    Result<void> beginKey(const std::string& shard, const std::string& key, const std::string& fingerprint, std::uint64_t token, TimePoint now);
    void endKey(const std::string& shard, const std::string& key, bool ran, TimePoint now);

    /// Shards that this daemon leads, for its heartbeats.
    std::vector<ShardHome> homes() const;
    bool isIdle() const { return m_shards.empty(); }

private:
    enum class Phase : std::uint8_t {
        Reading,
        Claiming,
        /// Waits for reports from every peer and VM before any task is started.
        Reconciling,
        Active,
        /// Being handed over: pending records are written, no task is started.
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
        /// Time of the first append with an unknown outcome since the last successful append.
        std::optional<TimePoint> stalledSince;
        std::map<std::string, Job> jobs;
        std::deque<std::string> finished;
        std::map<std::string, std::string> jobOfKey;
        std::map<std::string, KeyEntry> keys;
        /// VMs and peers that have, or have not, reported to this leader since it claimed the shard.
        std::set<std::string> unreportedVms;
        std::set<std::string> reportedVms;
        std::set<std::string> unreportedPeers;
        TimePoint nextClaimBroadcast;
        TimePoint activeSince;
        /// Send time of the last successful append; no other daemon had claimed the shard by then.
        TimePoint confirmedAt;
        TimePoint appendSentAt;
        /// Set after a pause of the process: no task is started until an append confirms the claim.
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

    // Defined in Records.cpp and Shards.cpp.
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
    /// Returns the shard if it accepts new work. Fails if this daemon does not lead the shard, the store
    /// is unavailable or too many records are pending.
    Result<Shard*> shardForWrite(const std::string& name, TimePoint now);
    void dropShard(const std::string& name, JobActions& actions);
    void removeExpired(Shard& shard, TimePoint now);

    // Defined in Placement.cpp.
    void placeJobs(TimePoint now, JobActions& actions);
    void startPlacement(Shard& shard, Job& job, TimePoint now, JobActions& actions);
    void requestNextOwner(std::uint64_t requestId, Placement& placement, TimePoint now, JobActions& actions);
    void finishPlacement(std::uint64_t requestId, TimePoint now, JobActions& actions);
    void commitTasks(const Shard& shard, Job& job, const Placement& placement, std::uint64_t requestId, std::uint32_t count, TimePoint now, JobActions& actions);
    void releaseReservations(const Shard& shard, const Placement& placement, std::uint64_t requestId, JobActions& actions);
    bool isPlacementDue(const Shard& shard, const Job& job, TimePoint now) const;
    void backOff(Job& job, TimePoint now, std::string reason);

    // Defined in Reports.cpp.
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
    std::uint64_t m_nextRequestId;
    std::optional<TimePoint> m_startedAt;
    bool m_hasSilentPeer = false;
    bool m_isShuttingDown = false;
};

} // namespace heatherchute
