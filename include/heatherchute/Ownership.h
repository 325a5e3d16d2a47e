/// The VMs of this failure domain that this daemon owns, and what runs on them. One owner at a
/// time places on a VM, under an epoch that the VM itself grants and checks; no store call is
/// on the path of a placement. Pure: time is passed in, calls come out as actions.
#pragma once

#include "heatherchute/Platform.h"
#include "heatherchute/Wire.h"

#include <deque>
#include <map>
#include <set>
#include <variant>

namespace heatherchute {

struct OwnershipTimes {
    /// Ownership that is not renewed lapses after this.
    Milliseconds ownerLease { 10'000 };
    Milliseconds renewInterval { 3300 };
    /// Time before the lapse, by our clock, from which nothing more is sent under it.
    Milliseconds ownerMargin { 1000 };
    /// Tasks end by themselves after this time without a renewal by any owner.
    Milliseconds taskLease { 30'000 };
    /// Slack for clocks that run at unlike speeds and for calls under way.
    Milliseconds expiryMargin { 3000 };
    Milliseconds callTimeout { 2000 };
    Milliseconds reservationTimeout { 5000 };
    Milliseconds quarantine { 30'000 };
};

/// Asks a VM for its lease.
struct LeaseCall {
    std::string vm;
    Address address;
    OwnerLeaseAsk ask;
};

struct StartCall {
    std::string vm;
    Address address;
    TaskStart start;
    /// Nothing may be sent after this: the ownership may have lapsed.
    TimePoint sendBefore;
};

struct OrderCall {
    std::string vm;
    Address address;
    std::string task;
    std::uint64_t ownerEpoch = 0;
    TaskOrder order = TaskOrder::Stop;
};

/// To every daemon of the failure domain, this one included.
struct DomainNotice {
    std::variant<VmOwned, VmLost> notice;
};

/// A slot of some service became free on an owned VM.
struct SlotFreed {
    std::string service;
};

using OwnershipAction = std::variant<LeaseCall, StartCall, OrderCall, DomainNotice, SlotFreed>;
using OwnershipActions = std::vector<OwnershipAction>;

/// A slot taken for one request.
struct SlotGrant {
    std::string vm;
    Address address;
    std::uint64_t ownerEpoch = 0;
    std::string boot;
    TimePoint sendBefore;
};

/// How a request on a slot ended.
enum class SlotEnd : std::uint8_t {
    Answered,
    /// The endpoint could not be reached or broke off.
    Failed,
    /// Nothing came back: the slot may still be busy until its time is up.
    Silent,
};

/// One VM as `vm list` shows it.
struct VmStatus {
    VmInfo info;
    bool owned = false;
    bool leaving = false;
    bool quarantined = false;
    std::uint64_t epoch = 0;
    std::uint32_t tasks = 0;
    std::uint32_t slotsInUse = 0;
    Resources free;
};

class VmDesk {
public:
    VmDesk(std::string self, std::string failureDomain, OwnershipTimes times = {});

    /// Daemons of the failure domain that may own VMs, this one included.
    void setOwners(std::vector<std::string> owners);
    void setVmList(const std::vector<VmInfo>& vms, TimePoint now);
    void setDrained(std::set<std::string> drained);
    void tick(TimePoint now, OwnershipActions& actions);

    void onLease(const std::string& vm, const OwnerLeaseAsk& ask, TimePoint sentAt, const Result<OwnerLeaseAnswer>& answer, TimePoint now, OwnershipActions& actions);
    void onStarted(const std::string& vm, const std::string& task, std::error_code error, TimePoint now, OwnershipActions& actions);

    /// Takes a slot of the least loaded VM of the service that takes new work. VMs in `avoid`
    /// come last.
    std::optional<SlotGrant> takeSlot(const std::string& service, const std::set<std::string>& avoid, TimePoint now);
    void returnSlot(const std::string& vm, SlotEnd end, Duration serviceTime, TimePoint now, OwnershipActions& actions);

    ReserveReply reserve(const ReserveAsk& ask, TimePoint now);
    void commit(const CommitAsk& ask, TimePoint now, OwnershipActions& actions);
    void stop(const StopTasks& ask, OwnershipActions& actions);
    HomeClaimReply claim(const HomeClaim& claim);
    /// What another daemon of the failure domain announced.
    void onOwnedElsewhere(const VmOwned& notice);
    void onLostElsewhere(const VmLost& notice);
    /// Definite answers for tasks on a VM that this daemon owns; nothing for other VMs.
    TaskReports query(const TaskQuery& query, TimePoint now);
    /// Reports that are due, by shard: new ones at once, others again every second.
    std::vector<TaskReports> dueReports(TimePoint now);
    void acknowledge(const TaskAcks& acks);

    std::vector<ServiceRoom> serviceRoom(TimePoint now) const;
    Resources totalFree(TimePoint now) const;
    Resources largestFree(TimePoint now) const;
    std::vector<VmStatus> status(TimePoint now) const;
    /// True when a VM of this failure domain could take a task of this size when empty.
    bool fitsEmptyVm(const Resources& size) const;
    /// Tasks of this size that all VMs of the failure domain could take when empty.
    std::uint64_t maxTasksOnEmptyVms(const Resources& size) const;
    /// Gives up every VM at the next tick, for a graceful shutdown.
    void setLeaving() { m_isShuttingDown = true; }
    bool ownsAnything() const;

private:
    struct Task {
        TaskAttempt attempt;
        TaskState state = TaskState::Starting;
        Resources used;
        std::string detail;
        /// Zero for tasks that an earlier owner started.
        std::uint64_t sequence = 0;
        TimePoint nextStart;
        bool startInFlight = false;
        bool stopRequested = false;
        bool acknowledged = false;
        TimePoint nextReport;
    };

    struct EndedTask {
        std::string id;
        std::uint64_t sequence = 0;
    };

    struct Reservation {
        std::uint64_t requestId = 0;
        std::string shard;
        Resources size;
        std::uint32_t count = 0;
        TimePoint expiresAt;
    };

    struct Vm {
        VmInfo info;
        bool listed = true;
        std::string incarnation;
        /// Zero: not owned.
        std::uint64_t fencingToken = 0;
        TimePoint ownedUntil;
        /// When the last call that the VM granted was sent.
        TimePoint lastGranted;
        /// Since when it has not been reached at all.
        TimePoint unreachableSince;
        bool lostAnnounced = false;
        TimePoint nextLease;
        bool leaseInFlight = false;
        std::uint64_t lastSeenChange = 0;
        bool leaving = false;
        std::map<std::string, Task> tasks;
        std::vector<Reservation> reservations;
        /// Ended and acknowledged, to be forgotten by the VM once its start is settled.
        std::vector<EndedTask> endedTasks;
        std::uint64_t nextSequence = 1;
        bool lowestTokensDue = false;
        std::uint32_t slotsInUse = 0;
        /// Slots still busy with requests of an earlier owner.
        std::uint32_t previousOwnerSlots = 0;
        std::vector<TimePoint> unresponsiveSlots;
        double serviceMs = 0;
        std::uint32_t failuresInRow = 0;
        std::set<std::string> failedJobs;
        TimePoint quarantinedUntil;
        std::uint32_t quarantineCount = 0;
    };

    bool isOwned(const Vm& vm, TimePoint now) const;
    bool acceptsWork(const Vm& vm, TimePoint now) const;
    bool shouldOwn(const Vm& vm) const;
    Resources freeCapacity(const Vm& vm) const;
    std::uint32_t freeSlots(const Vm& vm, TimePoint now) const;
    void renewLease(Vm& vm, TimePoint now, OwnershipActions& actions);
    void onLeaseGranted(Vm& vm, const OwnerLeaseAsk& ask, const OwnerLeaseAnswer& answer, TimePoint sentAt, TimePoint now, OwnershipActions& actions);
    void applyChanges(Vm& vm, const OwnerLeaseAnswer& answer, TimePoint now);
    void applyChange(Vm& vm, const TaskChange& change, TimePoint now);
    void startIncarnation(Vm& vm, const std::string& boot, TimePoint now);
    /// Lowest sequence whose start may still be under way.
    static std::uint64_t firstUnsettledStart(const Vm& vm);
    void detectLoss(Vm& vm, TimePoint now, OwnershipActions& actions);
    void startDueTasks(Vm& vm, TimePoint now, OwnershipActions& actions);
    void stopMemoryOveruse(Vm& vm, OwnershipActions& actions);
    void setTaskState(Task& task, TaskState state, std::string detail, TimePoint now);
    void recordFailure(Vm& vm, const std::string& job, TimePoint now);
    void recordSuccess(Vm& vm);
    TaskReport reportOf(const Vm& vm, const Task& task) const;
    Vm* bestFit(const ReserveAsk& ask, const std::set<std::string>& racksUsed, TimePoint now);

    std::string m_self;
    std::string m_failureDomain;
    OwnershipTimes m_times;
    std::vector<std::string> m_owners;
    std::set<std::string> m_drained;
    std::map<std::string, Vm> m_vms;
    /// Lowest epoch that may start tasks, by shard.
    std::map<std::string, std::uint64_t> m_lowestTokens;
    bool m_isShuttingDown = false;
};

} // namespace heatherchute
