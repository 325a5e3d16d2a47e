/// Scheduler of one cell, run by the cell's owner: keeps the jobs, assigns their tasks to VMs, and
/// decides what to store and what to send. It uses no threads, clock or network: events are passed
/// in together with the current time, and the resulting actions are returned. One instance serves
/// one ownership term; the next owner builds its own from the store.
#pragma once

#include "heatherchute/AdviceLanes.h"
#include "heatherchute/StateLog.h"
#include "heatherchute/Support.h"
#include "heatherchute/Work.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace heatherchute::cell {

/// Settings that bound the scheduler's decisions; read from the daemon's configuration.
struct CellLimits {
    /// Lease that a heartbeat or a start command grants to the runs on a VM.
    Milliseconds vmLease { 8000 };
    /// How long a job is kept after it has ended.
    Seconds jobRetention { 120 };
    /// How long before its due time an occurrence may be created.
    Milliseconds earlyStartTolerance { 100 };
    /// Slowdown of a task outside its preferred rack, and of a same-rack step spread over several racks.
    double spreadFactor = 2;
};

/// Current time: the steady clock for all arithmetic, Unix milliseconds only for due times.
struct Now {
    TimePoint steady;
    std::int64_t unixMs = 0;
};

/// Identifies a client's pending request.
using CallId = std::uint64_t;

/// A job as read from the store.
struct StoredJob {
    std::string id;
    /// Encoded submission and progress records; see submissionPrefix and progressPrefix.
    std::string submission;
    std::string progress;
};

// Actions that the scheduler returns for its caller to carry out.

/// Makes the writes durable. `onCommitted` must be called once all of them are.
struct CommitState {
    std::vector<StateWrite> writes;
};

/// Sends a start command for a run to its VM.
struct StartRun {
    std::string vm;
    Address address;
    TaskId task;
    std::uint32_t run = 0;
    std::shared_ptr<const JobSpec> spec;
    std::int64_t deadlineMs = 0;
    std::string checkpoint;
    std::string ticket;
};

/// Sends a stop command for a run to its VM.
struct StopRun {
    std::string vm;
    Address address;
    TaskId task;
    std::uint32_t run = 0;
};

/// Sends a heartbeat to a VM, with the lease deadline on the VM's clock (zero grants no lease) and
/// the number of the last ended run that the VM may discard.
struct BeatVm {
    std::string vm;
    Address address;
    std::int64_t deadlineMs = 0;
    std::uint64_t acknowledged = 0;
    Milliseconds wait { 0 };
};

/// Requests advice on which of the VMs may run a step.
struct AskAdvice {
    /// Daemon that sends the request.
    std::uint64_t daemon = 0;
    /// Identifies the job, occurrence and step; the task index is zero.
    TaskId step;
    std::vector<std::string> vms;
    /// Expected processing time at the advice service.
    Milliseconds cost { 0 };
};

/// Final result of a submission or a cancellation.
struct AnswerCall {
    CallId call = 0;
    ErrorKind error = ErrorKind::None;
    /// Delay after which a rejected client should retry; zero selects the default of the error.
    Seconds retryAfter { 0 };
};

/// A structured log event.
struct Decision {
    std::string_view event;
    Json fields;
};

/// A VM rejected a command because another daemon holds a higher fencing token.
struct LostOwnership {
    std::string vm;
};

using Action = std::variant<CommitState, StartRun, StopRun, BeatVm, AskAdvice, AnswerCall, Decision, LostOwnership>;

/// Response of a VM to a heartbeat; `state` is empty if there was no response.
struct BeatAnswer {
    std::string vm;
    TimePoint sentAt;
    bool fenced = false;
    std::optional<VmState> state;
};

/// Response of the advice service; `allowed` is empty if there was no response.
struct AdviceAnswer {
    std::uint64_t daemon = 0;
    TaskId step;
    std::vector<std::string> asked;
    /// Permitted VMs, each with its ticket.
    std::optional<std::vector<std::pair<std::string, std::string>>> allowed;
    Milliseconds validity { 0 };
    TimePoint sentAt;
};

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
    bool requestPending = false;
    TimePoint nextRequestAt;
    /// VMs reserved for the step if it is a gang that has waited for a long time.
    std::set<std::string> reservedVms;
    /// Number of tasks by VM for which resources are reserved while tickets are requested for a gang
    /// that would fit now.
    std::map<std::string, std::uint32_t> ticketReservations;
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    /// Number of runs of the gang in which a member failed, and the last such run.
    std::uint32_t gangFailures = 0;
    std::uint32_t lastFailedRun = 0;
    StepAdvice advice;
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
    /// Policy of the job's queue in `policySource`; null if the queue no longer exists.
    const QueuePolicy* policy = nullptr;
    const CellPolicy* policySource = nullptr;
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
    Room need;
    std::string team;
    std::string ticket;
    TimePoint ticketExpiresAt = TimePoint::max();
    int priority = 0;
    /// The run is stored, so that commands for it may be sent.
    bool isDurable = false;
    bool commandInFlight = false;
    /// The VM confirmed the start or has listed the run.
    bool started = false;
    /// A start command got no response, so the VM may still carry it out.
    bool startUnconfirmed = false;
    bool stopRequested = false;
    bool stopAcknowledged = false;
    /// Number of stop commands in a row that the VM refused.
    unsigned refusedStops = 0;
    TimePoint firstCommandAt;
    TimePoint nextCommandAt;
    /// Latest response to a command for the run. Only a heartbeat sent later shows whether the VM
    /// still has the run.
    TimePoint lastResponseAt;
    /// The result of the run no longer matters; the run only occupies resources until it ends.
    bool abandoned = false;
};

struct Vm {
    VmReport report;
    /// Stable hash of the VM's id.
    std::uint64_t idHash = 0;
    bool listed = false;
    std::int64_t incarnation = 0;
    Room used;
    /// Resources reserved for gangs whose tickets are being requested, as of the current placement
    /// pass.
    Room ticketReserved;
    std::set<TaskId> placements;
    /// The VM has responded in this ownership term, so it rejects lower fencing tokens.
    bool fenced = false;
    /// The latest heartbeat got a response, so the incarnation that numbered the listed ends is known.
    bool isIncarnationKnown = false;
    unsigned missedHeartbeats = 0;
    TimePoint lastResponseAt;
    /// The VM's clock at `clockAt`, in milliseconds; zero if unknown.
    std::int64_t clockMs = 0;
    TimePoint clockAt;
    /// Time by which every lease that the VM may hold has expired.
    TimePoint leaseEnd;
    std::uint64_t lastProcessedEnd = 0;
    std::uint64_t lastAcknowledgedEnd = 0;
    bool heartbeatInFlight = false;
    TimePoint nextHeartbeatAt;
    /// End of the quarantine that follows rejected start commands or failed runs.
    TimePoint quarantinedUntil;
    unsigned consecutiveFailures = 0;
    std::string lastFailedJob;
};

/// Order in which steps get their turn: the sequence number of the job, the occurrence and the step.
using StepTurn = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

/// Capacity of one service's VMs during a placement pass.
struct ServiceCapacity {
    /// VMs that accept new runs now.
    std::vector<Vm*> usable;
    /// Upper bound of the free capacity of any single VM, by resource.
    Room largestFree;
    Room free;
    Room capacity;
    /// VMs reserved for a gang, and the gang's step.
    std::set<const Vm*> reservedVms;
    std::optional<TaskId> reservedFor;
    /// Processor capacity reserved for the queues of the highest priority.
    std::int64_t reservedCpuMilli = 0;
};

class CellDesk {
public:
    /// `inheritedLeaseEnd` is the time by which every lease granted by an earlier owner has expired.
    CellDesk(CellLimits limits, TimePoint inheritedLeaseEnd);

    void setPolicy(CellPolicyPointer policy);
    /// Sets whether the ownership is confirmed. Leases are extended and runs are started only then.
    void setTenured(bool isConfirmed) { m_isOwnershipConfirmed = isConfirmed; }
    /// Sets the current content of the VM registry. VMs that are no longer in it get no more runs.
    void setVms(const std::vector<VmReport>& reports, Now now);
    /// Sets the daemons that can send advice requests.
    void setAdvisers(const std::vector<std::uint64_t>& daemons) { m_adviceLanes.setDaemons(daemons); }
    /// Restores the jobs that the store held at the start of the ownership term.
    void load(const std::vector<StoredJob>& jobs, Now now);

    /// Submits a job. An action with the result follows once the job is durable or rejected.
    void submit(CallId call, const std::string& id, const std::string& queue, const std::string& team, JobSpec spec, Now now);
    void cancel(CallId call, const std::string& id, Now now);
    /// Returns nothing if the job doesn't exist.
    std::optional<JobPhase> query(const std::string& id) const;
    /// Returns true if the job exists but its stored state can't be decoded.
    bool isUnreadable(const std::string& id) const { return m_unreadableJobs.contains(id); }
    std::uint64_t pending(const std::string& queue) const;

    void onBeat(const BeatAnswer& response, Now now);
    void onStart(const std::string& vm, const TaskId& task, std::uint32_t run, StartAnswer response, Now now);
    void onStop(const std::string& vm, const TaskId& task, std::uint32_t run, StopAnswer response, Now now);
    void onAdvice(const AdviceAnswer& response, Now now);
    void onCommitted(Now now);
    /// Performs all work that is due: sends commands and heartbeats, places tasks, expires leases,
    /// removes old jobs and commits state.
    void advance(Now now);

    std::vector<Action> takeActions();

    struct Figures {
        std::size_t jobs = 0;
        std::size_t waitingTasks = 0;
        std::size_t placements = 0;
        std::size_t vms = 0;
        std::size_t reachableVms = 0;
    };
    Figures figures() const;
    /// Returns the number of VMs in the registry and how many of them respond.
    std::pair<std::size_t, std::size_t> reach() const;
    const std::map<std::string, Vm>& vms() const { return m_vms; }
    const std::map<TaskId, Placement>& placements() const { return m_placements; }
    const Job* findJob(const std::string& id) const;

private:
    struct ReadyStep;
    /// Effects that are applied once the commit that contains the related state is durable.
    struct AfterCommit {
        std::optional<AnswerCall> response;
        std::optional<TaskId> start;
        std::uint32_t run = 0;
        std::string job;
        std::string vm;
        std::int64_t incarnation = 0;
        std::uint64_t acknowledge = 0;
    };

    // Jobs.cpp
    Job* job(const std::string& id);
    void markDirty(const std::string& id) { m_dirtyJobs.insert(id); }
    void createDueOccurrences(Job& job, Now now);
    void removeExpiredJobs(Now now);
    void finishJob(Job& job, JobPhase phase, Now now, Json details);
    void stepFinished(Job& job, Occurrence& occurrence, Now now);
    std::uint32_t maxAttempts(const Job& job) const;
    void markRunning(Job& job);

    // State.cpp
    void flush(Now now);
    /// Returns true if the current commit has taken so long that the store seems to be unavailable.
    bool isStoreUnresponsive(Now now) const;
    /// While the store is unresponsive, rejects the submissions that no commit contains and removes
    /// their jobs.
    void rejectUncommittedSubmissions(Now now);
    void removeUncommittedJob(const std::string& id);
    void rejectSubmission(CallId call, const Job& job, Now now);
    std::string encodeSubmission(const Job& job) const;
    std::string encodeProgress(const Job& job) const;
    bool restore(const StoredJob& stored, Now now);
    bool restoreEndedJob(const std::string& id, const Json& progress, Now now);

    // Runs.cpp
    void onRunEnded(Vm& vm, const FinishedTask& finished, Now now);
    void taskDone(Job& job, const Placement& placement, Now now);
    void taskFailed(Job& job, const Placement& placement, Now now);
    void taskLost(Job& job, const Placement& placement, const std::string& checkpoint, std::string_view reason, Now now);
    /// Removes the placement of a run that has certainly ended, and releases its resources.
    void releasePlacement(const TaskId& task);
    void adjustUsage(const Placement& placement, Vm& vm, int sign);
    void stopGang(Job& job, const TaskId& member, Now now);
    void stopAll(Job& job, Now now);
    void markRunLost(const TaskId& task, std::string_view reason, Now now);

    // Vms.cpp
    void sendHeartbeats(Now now);
    /// Returns true if it is unknown, for lack of a response, whether the VM still has some run.
    bool hasUnconfirmedRun(const Vm& vm) const;
    void markAbsentRunsLost(Vm& vm, const BeatAnswer& response, Now now);
    void reconcileListedRun(Vm& vm, const RunningTask& running, Now now);
    void expireUnresponsiveVms(Now now);
    void sendDueCommands(Now now);
    void sendStart(Placement& placement, Vm& vm, Now now);
    void sendStop(Placement& placement, Vm& vm);
    std::int64_t leaseDeadlineMs(const Vm& vm, Now now) const;
    void extendLeaseEnd(Vm& vm, Now now) const;
    bool isUsable(const Vm& vm, Now now) const;
    void quarantine(Vm& vm, Milliseconds duration, std::string_view reason, Now now);

    // Placing.cpp
    void runPlacementPass(Now now);
    void requestPlacementPass() { m_placementRequested = true; }
    std::vector<ReadyStep> readySteps(Now now);
    void placeStep(const ReadyStep& ready, ServiceCapacity& service, Now now);
    /// Returns the usable VMs that may run the step and have free capacity for one of its tasks.
    std::vector<Vm*> fittingVms(const ReadyStep& ready, const ServiceCapacity& service, Now now);
    void reserveForGang(const ReadyStep& ready, ServiceCapacity& service, Now now);
    void requestAdvice(const ReadyStep& ready, ServiceCapacity& service, Now now);
    /// Returns true if the step would fit on the VMs known to be permitted, were these empty. A gang
    /// needs a multiple of that.
    bool hasEnoughPermittedVms(const TaskId& id);
    std::map<std::string, ServiceCapacity> measureCapacity(const std::vector<ReadyStep>& steps, Now now);
    /// Takes one of the team's submission tokens; returns true if none is left.
    bool exceedsTeamRate(const std::string& team, Now now);
    /// Returns the time in which the whole cell could complete its outstanding work.
    Milliseconds backlog() const;
    /// Policy of the queue with this name; null if there is none, or no policy yet.
    const QueuePolicy* findQueue(const std::string& name) const { return m_policy ? m_policy->findQueue(name) : nullptr; }
    const QueuePolicy* policyOf(Job& job) const;
    bool isEligible(const Vm& vm, const ReadyStep& ready) const;
    std::size_t slotsIn(const Room& available, const Vm& vm, const ReadyStep& ready) const;
    /// Returns how many tasks of the step fit on the VM now, beside the reservations of other steps.
    std::size_t slotsOn(const Vm& vm, const ReadyStep& ready) const;
    /// Reserves resources for all waiting tasks of the gang, on the fullest VMs first. Returns false
    /// and reserves nothing if they don't all fit.
    bool reserveForTickets(const ReadyStep& ready, std::vector<Vm*> vms);
    /// Adds (`sign` > 0) or removes the step's ticket reservations in the VMs' totals.
    void adjustTicketReservations(const ReadyStep& ready, int sign);
    void dropTicketReservations(const ReadyStep& ready);
    bool isReservedForAnother(const Vm& vm, const ReadyStep& ready, const ServiceCapacity& service) const;
    std::size_t tasksOn(const Vm& vm, const TaskId& step) const;
    /// Returns what the team may still take of each resource; the largest value where it has no limit.
    Room quotaLeft(const std::string& team) const;
    bool isWithinQuota(const Job& job, const Room& more) const { return more.fitsIn(quotaLeft(job.team)); }
    void placeTask(const ReadyStep& ready, std::uint32_t index, std::uint32_t run, Vm& vm, Now now);
    StepAdvice* findAdvice(const TaskId& step);

    CellLimits m_limits;
    TimePoint m_inheritedLeaseEnd;
    CellPolicyPointer m_policy;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Vm> m_vms;
    std::map<TaskId, Placement> m_placements;
    /// Placements that need a start or stop command, now or later.
    std::set<TaskId> m_pendingCommands;
    std::map<std::string, Room> m_teamUsage;
    /// Processor capacity in use by tasks of the highest-priority queues, by service.
    std::map<std::string, std::int64_t> m_urgentCpuMilli;
    TimePoint m_nextVmCheckAt;
    /// Running mean of the share of requested VMs that the advice service permits, by queue.
    std::map<std::string, double> m_permittedShare;
    AdviceLanes m_adviceLanes;
    std::map<std::string, Job*> m_activeJobs;
    std::uint64_t m_nextSequence = 1;
    std::set<std::string> m_unreadableJobs;
    /// Active jobs with occurrences that have not been created yet.
    std::set<std::string> m_scheduledJobs;
    /// Something has changed that may allow a task to start.
    bool m_placementRequested = true;
    TimePoint m_nextPlacementAt;
    /// Latest step that took part in a placement pass out of its rank.
    StepTurn m_lastStepTurn;
    TimePoint m_nextCleanupAt;
    std::set<std::string> m_dirtyJobs;
    std::set<std::string> m_removedJobs;
    std::map<std::string, TeamRate> m_teamRates;
    /// Estimated work of the jobs that have not ended, in core-milliseconds.
    double m_outstandingCpuMs = 0;
    /// Processor capacity of all listed VMs, in thousandths of a core.
    std::int64_t m_capacityCpuMilli = 0;
    /// Decaying peak of the demand of a service's highest-priority queues, in thousandths of a core.
    std::map<std::string, double> m_urgentPeak;
    TimePoint m_urgentPeakAt;
    bool m_isOwnershipConfirmed = true;
    bool m_commitInFlight = false;
    TimePoint m_nextCommitAt;
    TimePoint m_commitStartedAt;
    std::vector<AfterCommit> m_afterNextCommit;
    std::vector<AfterCommit> m_afterCurrentCommit;
    std::vector<Action> m_actions;
};

/// Prefixes of the store keys that hold the jobs' submissions and progress.
extern const std::string submissionPrefix;
extern const std::string progressPrefix;

} // namespace heatherchute::cell
