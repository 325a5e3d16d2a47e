/// State that the scheduler of a cell keeps of its jobs, their runs, and the VMs.
#pragma once

#include "heatherchute/LeaseBounds.h"
#include "heatherchute/StartResponsiveness.h"
#include "heatherchute/Work.h"

#include <map>
#include <set>

namespace heatherchute::cell {

enum class TaskPhase : std::uint8_t {
    Waiting,
    /// A run has been assigned to a VM and may be executing there.
    Placed,
    Done,
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    /// Number of the latest run; zero before the first.
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    std::string checkpoint;
    TimePoint notBefore;
};

/// Known responses of the advice service about the VMs that may run a step.
struct StepAdvice {
    struct Permission {
        std::string ticket;
        std::int64_t incarnation = 0;
        TimePoint validUntil;
    };
    std::map<std::string, Permission> allowed;
    std::set<std::string> denied;
    /// Number of the pending request; zero if there is none.
    std::uint64_t pendingRequest = 0;
    TimePoint nextRequestAt;
    /// Number of tasks by VM for which resources are reserved while tickets are requested for a gang
    /// that would fit now.
    std::map<std::string, std::uint32_t> ticketReservations;
};

/// Reservations of VMs for a gang that has waited for a long time.
struct GangReservation {
    /// VMs that were reserved in the latest placement pass with a reservation for the gang.
    std::set<std::string> vms;
    /// First round of the service's reservations in which the gang may get one; see ReservationPeriod.
    unsigned nextRound = 0;
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    /// Number of runs of the gang in which a member failed, and the last such run.
    std::uint32_t gangFailures = 0;
    std::uint32_t lastFailedRun = 0;
    StepAdvice advice;
    GangReservation reservation;
    bool isDone() const { return done == tasks.size(); }
};

struct Occurrence {
    std::vector<Step> steps;
};

struct Job {
    std::string id;
    std::string queue;
    std::string team;
    std::string service;
    std::shared_ptr<const JobSpec> spec;
    std::int64_t acceptedUnixMs = 0;
    TimePoint acceptedAt;
    JobPhase phase = JobPhase::Queued;
    /// Phase reported to clients; a final phase is reported only once it is durable.
    JobPhase reportedPhase = JobPhase::Queued;
    bool isDurable = false;
    /// False for a job that was cancelled and whose submission has not arrived. It is kept so that a submission
    /// still on its way is not accepted; to clients there is no such job.
    bool isSubmitted = true;
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t nextOccurrence = 0;
    std::uint32_t completedOccurrences = 0;
    std::uint32_t placements = 0;
    TimePoint endedAt;
    /// Estimated run time of the job's critical path.
    Milliseconds criticalPath { 0 };
    /// The job was submitted beyond the rate that the team's weight grants.
    bool isAboveTeamRate = false;
    /// Estimated processor time of the whole job, in core-milliseconds.
    double workCpuMs = 0;
    /// Order in which this scheduler received the jobs.
    std::uint64_t sequence = 0;
    /// Last known policy of the job's queue, as of the scheduler's policy number `policyNumber`; null if
    /// no policy with the queue is known.
    const QueuePolicy* policy = nullptr;
    std::uint64_t policyNumber = 0;
};

/// What the operators' policies last said of a queue or a team that the policy in force lacks.
template <typename Row>
struct RetainedRow {
    /// Version of the policy that has the row.
    std::uint64_t version = 0;
    Row row;
};

/// Token bucket that limits a team's submissions to the rate that its weight grants.
struct TeamRate {
    /// Number of jobs that the team may still submit within its rate.
    double tokens = 0;
    TimePoint refilledAt;
};

/// One run of a task, from the placement decision until it is certain that the run has ended.
struct Placement {
    TaskId task;
    std::uint32_t run = 0;
    std::string vm;
    std::int64_t incarnation = 0;
    /// Resources that the run takes of its VM's capacity, and of its team's limit.
    Room need;
    Room teamNeed;
    std::string team;
    std::string ticket;
    TimePoint ticketExpiresAt = TimePoint::max();
    int priority = 0;
    /// The run ends only when it is stopped or fails.
    bool isLongRunning = false;
    /// The run is stored, so that commands for it may be sent.
    bool isDurable = false;
    bool commandInFlight = false;
    /// The VM confirmed the start or has listed the run.
    bool started = false;
    /// A start command got no response, so the VM may still carry it out.
    bool startUnconfirmed = false;
    /// The incarnation in `incarnation` has confirmed that it has the run.
    bool isIncarnationConfirmed = false;
    bool stopRequested = false;
    bool stopAcknowledged = false;
    /// Number of stop commands in a row that the VM refused.
    unsigned refusedStops = 0;
    TimePoint firstCommandAt;
    TimePoint lastStartAt;
    TimePoint nextCommandAt;
    /// Latest response to a command for the run. Only a heartbeat sent later shows whether the VM
    /// still has the run.
    TimePoint lastResponseAt;
    /// The result of the run no longer matters; the run only occupies resources until it ends.
    bool abandoned = false;
};

/// A start command without a response for a run that has ended, or that its VM has been told to stop.
struct UnansweredStart {
    TaskId task;
    std::uint32_t run = 0;
    TimePoint sentAt;
};

struct Vm {
    VmReport report;
    /// Stable hash of the VM's id.
    std::uint64_t idHash = 0;
    bool listed = false;
    /// Until when the VM is slow after its start, by the registry.
    TimePoint coldUntil;
    /// Incarnation that has responded last; zero if none has in this ownership term.
    std::int64_t incarnation = 0;
    Room used;
    /// Part of `used` that is held by long-running tasks.
    Room usedByLongRunning;
    /// Resources reserved for gangs whose tickets are being requested, as of the current placement
    /// pass.
    Room ticketReserved;
    std::set<TaskId> placements;
    std::vector<UnansweredStart> unansweredStarts;
    /// The VM has responded in this ownership term, so it rejects lower fencing tokens.
    bool fenced = false;
    /// The latest heartbeat got a response, so the incarnation that numbered the listed ends is known.
    bool isIncarnationKnown = false;
    /// When the registry or a response last showed another incarnation. The response to an earlier heartbeat
    /// may be of the one before.
    TimePoint doubtedAt;
    /// The latest response to a heartbeat listed ended runs.
    bool hasListedEnds = false;
    unsigned missedHeartbeats = 0;
    TimePoint lastResponseAt;
    /// The VM's clock at `clockAt`, in milliseconds; zero if unknown.
    std::int64_t clockMs = 0;
    TimePoint clockAt;
    /// When the heartbeat was sent whose response has `clockMs`.
    TimePoint clockRequestedAt;
    /// When the latest command that grants a lease was sent.
    TimePoint lastGrantAt;
    LeaseBounds leases;
    StartResponsiveness starts;
    /// The start commands were overdue in the latest pass.
    bool areStartsOverdue = false;
    std::uint64_t lastProcessedEnd = 0;
    std::uint64_t lastAcknowledgedEnd = 0;
    bool heartbeatInFlight = false;
    TimePoint nextHeartbeatAt;
    /// End of the quarantine that follows rejected start commands or failed runs.
    TimePoint quarantinedUntil;
    unsigned consecutiveFailures = 0;
    std::string lastFailedJob;

    /// The report is of the incarnation that responds. The labels, service and capacity of another one may differ.
    bool isReportCurrent() const { return report.incarnation == incarnation; }
    /// Capacity that runs of limited duration use or could use.
    Room recurringCapacity() const { return report.capacity - usedByLongRunning; }
};

/// Order in which steps get their turn: the sequence number of the job, the occurrence and the step.
using StepTurn = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

/// Time for which a service's VMs have been reserved for gangs, over successive placement passes.
struct ReservationPeriod {
    /// Gang with the reservation as of the latest pass; nullopt if there was none.
    std::optional<TaskId> gang;
    /// Start of the period. The period ends when a gang with the reservation is placed, or none has one.
    TimePoint startedAt;
    /// Since when less than half of the service's capacity has been in use during reservations.
    std::optional<TimePoint> idleSince;
    /// Until when no VMs of the service are reserved.
    TimePoint blockedUntil;
    /// A gang whose reservation has expired gets the next one in a later round, when no other gang is left in
    /// this one.
    unsigned round = 0;
};

/// Decaying peak of a demand, in the units of Room.
struct DemandPeak {
    double cpuMilli = 0;
    double memoryMb = 0;
};

/// Capacity of one service's VMs during a placement pass.
struct ServiceCapacity {
    /// VMs that accept new runs now.
    std::vector<Vm*> usable;
    /// Upper bound of the free capacity of any single VM, by resource.
    Room largestFree;
    Room free;
    Room capacity;
    /// Resources in use on all listed VMs, also on those that accept no new runs.
    Room used;
    /// Recurring capacity of the usable VMs.
    Room recurring;
    /// VMs reserved for a gang, and the gang's step.
    std::set<const Vm*> reservedVms;
    std::optional<TaskId> reservedFor;
    /// Some gang waits for the next round of reservations.
    bool isNextRoundWanted = false;
    /// Capacity reserved for the queues of the highest priority. Only tasks that run on idle processor time have to
    /// leave the memory free: the reserve of processor capacity limits the number of all others.
    std::int64_t reservedCpuMilli = 0;
    std::int64_t reservedMemoryMb = 0;
};

} // namespace heatherchute::cell
