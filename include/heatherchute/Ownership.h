/// The VMs of this failure domain that this daemon owns, with their tasks and slots. Each VM has
/// one owner at a time, which places work on it with a fencing token that the VM grants and checks,
/// so a placement needs no request to the store. The class does no I/O and reads no clock: time is
/// passed in, and calls are returned as actions.
#pragma once

#include "heatherchute/Platform.h"
#include "heatherchute/Wire.h"

#include <deque>
#include <map>
#include <set>
#include <variant>

namespace heatherchute {

/// Lease durations, intervals and margins of VM ownership.
struct OwnershipTimes {
    /// Lease duration of the ownership of a VM.
    Milliseconds ownerLease { 10'000 };
    Milliseconds renewInterval { 3300 };
    /// Time before the lease expiry, by the local clock, from which nothing is sent under the lease.
    Milliseconds ownerMargin { 1000 };
    /// Lease duration of tasks: a VM ends its tasks if no owner renews the lease in this time.
    Milliseconds taskLease { 30'000 };
    /// Added to the lease duration of tasks before a VM counts as lost, to allow for clock drift and
    /// calls in flight.
    Milliseconds expiryMargin { 3000 };
    Milliseconds callTimeout { 2000 };
    Milliseconds reservationTimeout { 5000 };
    /// Duration of a VM's first quarantine; doubles with each further quarantine.
    Milliseconds quarantine { 30'000 };
};

/// Requests or renews the ownership lease of a VM.
struct LeaseCall {
    std::string vm;
    Address address;
    OwnerLeaseAsk ask;
};

/// Sends a start command to a VM.
struct StartCall {
    std::string vm;
    Address address;
    TaskStart start;
    /// Must not be sent after this time, because the ownership lease may have expired.
    TimePoint sendBefore;
};

/// Sends a stop or checkpoint command to a VM.
struct OrderCall {
    std::string vm;
    Address address;
    std::string task;
    std::uint64_t ownerEpoch = 0;
    TaskOrder order = TaskOrder::Stop;
};

/// Notification to every daemon of the failure domain, including this one.
struct DomainNotice {
    std::variant<VmOwned, VmLost> notice;
};

/// A slot of a service became free on an owned VM.
struct SlotFreed {
    std::string service;
};

using OwnershipAction = std::variant<LeaseCall, StartCall, OrderCall, DomainNotice, SlotFreed>;
using OwnershipActions = std::vector<OwnershipAction>;

/// A slot acquired for one request.
struct SlotGrant {
    std::string vm;
    Address address;
    std::uint64_t ownerEpoch = 0;
    /// Incarnation of the VM.
    std::string boot;
    /// The request must not be sent after this time.
    TimePoint sendBefore;
};

/// Result of a request on a slot.
enum class SlotEnd : std::uint8_t {
    Answered,
    /// The endpoint was unreachable or closed the connection early.
    Failed,
    /// The endpoint may still be busy, so the slot stays in use until a timeout.
    NoResponse,
};

/// Status of one VM, as shown by `vm list`.
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

/// Manages the ownership, tasks and slots of the VMs of one failure domain.
class VmDesk {
public:
    VmDesk(std::string self, std::string failureDomain, OwnershipTimes times = {});

    /// Sets the daemons of the failure domain that may own VMs, including this one.
    void setOwners(std::vector<std::string> owners);
    /// Sets the current VM list; VMs of other failure domains are ignored.
    void setVmList(const std::vector<VmInfo>& vms, TimePoint now);
    /// Sets the VMs that operators are draining.
    void setDrained(std::set<std::string> drained);
    /// Expires leases, reservations and slots, and issues renewals and starts that are due.
    void tick(TimePoint now, OwnershipActions& actions);

    /// Handles the response to a lease request that was sent at `sentAt`.
    void onLease(const std::string& vm, const OwnerLeaseAsk& request, TimePoint sentAt, const Result<OwnerLeaseAnswer>& response, TimePoint now, OwnershipActions& actions);
    /// Handles the result of a start command.
    void onStarted(const std::string& vm, const std::string& task, std::error_code error, TimePoint now, OwnershipActions& actions);

    /// Acquires a slot on the least loaded VM that accepts new work of the service. VMs in `avoid`
    /// are a last resort. Returns nothing if no slot is free.
    std::optional<SlotGrant> takeSlot(const std::string& service, const std::set<std::string>& avoid, TimePoint now);
    /// Releases a slot after a request that took `serviceTime`.
    void returnSlot(const std::string& vm, SlotEnd end, Duration serviceTime, TimePoint now, OwnershipActions& actions);

    /// Reserves resources for up to `request.count` tasks. Rejected if the fencing token of the shard
    /// is stale.
    ReserveReply reserve(const ReserveAsk& request, TimePoint now);
    /// Starts tasks on their reserved resources and releases the rest of the reservation.
    void commit(const CommitAsk& request, TimePoint now, OwnershipActions& actions);
    /// Stops the tasks. Ignored if the shard's fencing token is stale.
    void stop(const StopTasks& request, OwnershipActions& actions);
    /// Accepts a new leader of a shard, fences off earlier ones and returns the shard's tasks.
    HomeClaimReply claim(const HomeClaim& claim);
    /// Handles an announcement of another daemon of the failure domain that it owns a VM.
    void onOwnedElsewhere(const VmOwned& notice);
    /// Handles an announcement of another daemon of the failure domain that a VM is lost.
    void onLostElsewhere(const VmLost& notice);
    /// Returns the definite state of tasks on a VM that this daemon owns; nothing for other VMs.
    TaskReports query(const TaskQuery& query, TimePoint now);
    /// Returns the reports that are due, by shard. New reports are due immediately, and again every
    /// second until they are acknowledged.
    std::vector<TaskReports> dueReports(TimePoint now);
    void acknowledge(const TaskAcks& acks);

    /// Total and free slots by service on owned VMs.
    std::vector<ServiceRoom> serviceRoom(TimePoint now) const;
    /// Sum of the free capacity of all owned VMs that accept work.
    Resources totalFree(TimePoint now) const;
    /// Largest free amount of each resource on any one VM; the amounts may be of different VMs.
    Resources largestFree(TimePoint now) const;
    std::vector<VmStatus> status(TimePoint now) const;
    /// Returns true if a VM of this failure domain could run a task of this size when empty.
    bool fitsEmptyVm(const Resources& size) const;
    /// Number of tasks of this size that all VMs of the failure domain could run when empty.
    std::uint64_t maxTasksOnEmptyVms(const Resources& size) const;
    /// Releases every VM, for a graceful shutdown: with the next renewal, once its starts in flight
    /// and its slots are done.
    void setLeaving() { m_isShuttingDown = true; }
    bool ownsAnything() const;

private:
    struct Task {
        TaskAttempt attempt;
        TaskState state = TaskState::Starting;
        Resources used;
        /// Reason of the last state change, for the task's report.
        std::string detail;
        /// Sequence number of the start; zero for tasks that an earlier owner started.
        std::uint64_t sequence = 0;
        TimePoint nextStart;
        bool startInFlight = false;
        bool stopRequested = false;
        bool acknowledged = false;
        TimePoint nextReport;
    };

    /// An ended task that the VM may forget.
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
        /// Zero if this daemon does not own the VM.
        std::uint64_t fencingToken = 0;
        TimePoint ownedUntil;
        /// When the last lease request that the VM granted was sent.
        TimePoint lastGranted;
        /// When the VM last responded, or was first listed.
        TimePoint unreachableSince;
        bool lostAnnounced = false;
        TimePoint nextLease;
        bool leaseInFlight = false;
        /// Number of the last task change received from the VM.
        std::uint64_t lastSeenChange = 0;
        bool leaving = false;
        std::map<std::string, Task> tasks;
        std::vector<Reservation> reservations;
        /// Acknowledged tasks that the VM is to forget once their starts are settled.
        std::vector<EndedTask> endedTasks;
        std::uint64_t nextSequence = 1;
        /// The next lease request is to carry the lowest accepted fencing tokens.
        bool lowestTokensDue = false;
        std::uint32_t slotsInUse = 0;
        /// Slots still in use by requests of an earlier owner.
        std::uint32_t previousOwnerSlots = 0;
        /// Times at which slots of requests without a response count as free again.
        std::vector<TimePoint> unresponsiveSlots;
        /// Moving average of the service time in milliseconds.
        double serviceMs = 0;
        std::uint32_t failuresInRow = 0;
        std::set<std::string> failedJobs;
        TimePoint quarantinedUntil;
        std::uint32_t quarantineCount = 0;
    };

    /// True while the ownership lease is valid, with the margin for calls in flight.
    bool isOwned(const Vm& vm, TimePoint now) const;
    bool acceptsWork(const Vm& vm, TimePoint now) const;
    /// True if rendezvous hashing assigns the VM to this daemon.
    bool shouldOwn(const Vm& vm) const;
    Resources freeCapacity(const Vm& vm) const;
    std::uint32_t freeSlots(const Vm& vm, TimePoint now) const;
    void renewLease(Vm& vm, TimePoint now, OwnershipActions& actions);
    void onLeaseGranted(Vm& vm, const OwnerLeaseAsk& request, const OwnerLeaseAnswer& response, TimePoint sentAt, TimePoint now, OwnershipActions& actions);
    void applyChanges(Vm& vm, const OwnerLeaseAnswer& response, TimePoint now);
    void applyChange(Vm& vm, const TaskChange& change, TimePoint now);
    void startIncarnation(Vm& vm, const std::string& incarnation, TimePoint now);
    /// Lowest sequence number of a start that may still be in flight.
    static std::uint64_t firstUnsettledStart(const Vm& vm);
    /// Announces a VM as lost once its tasks must have ended because their leases expired.
    void detectLoss(Vm& vm, TimePoint now, OwnershipActions& actions);
    void startDueTasks(Vm& vm, TimePoint now, OwnershipActions& actions);
    /// If the VM is out of memory, stops the task that exceeds its declared memory most.
    void stopMemoryOveruse(Vm& vm, OwnershipActions& actions);
    void setTaskState(Task& task, TaskState state, std::string detail, TimePoint now);
    /// Quarantines the VM if different jobs keep failing on it.
    void recordFailure(Vm& vm, const std::string& job, TimePoint now);
    void recordSuccess(Vm& vm);
    TaskReport reportOf(const Vm& vm, const Task& task) const;
    Vm* bestFit(const ReserveAsk& request, const std::set<std::string>& racksUsed, TimePoint now);

    std::string m_self;
    std::string m_failureDomain;
    OwnershipTimes m_times;
    std::vector<std::string> m_owners;
    std::set<std::string> m_drained;
    std::map<std::string, Vm> m_vms;
    /// Lowest accepted fencing token, by shard.
    std::map<std::string, std::uint64_t> m_lowestTokens;
    bool m_isShuttingDown = false;
};

} // namespace heatherchute
