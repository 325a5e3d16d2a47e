/// Scheduler of one cell, run by the cell's owner: keeps the jobs, assigns their tasks to VMs, and
/// decides what to store and what to send. It uses no threads, clock or network: events are passed
/// in together with the current time, and the resulting actions are returned. One instance serves
/// one ownership term; the next owner builds its own from the store.
#pragma once

#include "heatherchute/AdviceLanes.h"
#include "heatherchute/CellState.h"
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
    /// Leases of the runs on a VM.
    LeaseLimits leases;
    /// How long a job is kept after it has ended.
    Seconds jobRetention { 120 };
    /// How long before its due time an occurrence may be created.
    Milliseconds earlyStartTolerance { 100 };
    /// Slowdown of a task outside its preferred rack, and of a same-rack step spread over several racks.
    double spreadFactor = 2;
    /// Operators may evacuate failure domains. Nothing is placed before the evacuated domains are known.
    bool hasEvacuations = false;
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

/// Gives up all commands to a VM that have no response yet, and resets their connections: they were issued for an
/// earlier incarnation of the VM. The result of each is still reported.
struct WithdrawCommands {
    std::string vm;
    /// Address of the earlier incarnation.
    Address address;
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
    /// Number of the request, from 1.
    std::uint64_t request = 0;
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

using Action = std::variant<CommitState, StartRun, StopRun, BeatVm, WithdrawCommands, AskAdvice, AnswerCall, Decision, LostOwnership>;

/// Response of a VM to a heartbeat; `state` is empty if there was no response.
struct BeatAnswer {
    std::string vm;
    TimePoint sentAt;
    bool fenced = false;
    std::optional<VmState> state;
};

/// Response of a VM to a start command.
struct StartResponse {
    std::string vm;
    TaskId task;
    std::uint32_t run = 0;
    StartAnswer answer = StartAnswer::Unknown;
    TimePoint sentAt;
    /// The VM's clock when it responded, in milliseconds; zero if unknown.
    std::int64_t clockMs = 0;
};

enum class AdviceResult : std::uint8_t {
    Answered,
    /// The daemon has not sent the request, as too many others wait there.
    Busy,
    Failed,
    /// The daemon has not responded in time.
    Overdue,
};

/// Result of a request for advice.
struct AdviceAnswer {
    std::uint64_t daemon = 0;
    TaskId step;
    std::vector<std::string> asked;
    /// Permitted VMs, each with its ticket.
    std::vector<std::pair<std::string, std::string>> allowed;
    Milliseconds validity { 0 };
    TimePoint sentAt;
    AdviceResult result = AdviceResult::Answered;
    /// Number of the request; zero for one that is overdue already, or that an earlier owner sent.
    std::uint64_t request = 0;
    /// Time that the daemon's next request would wait at the service.
    Milliseconds wait { 0 };
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
    /// Sets the failure domains on whose VMs no run may start. What runs there ends there.
    void setEvacuatedDomains(std::set<std::string> domains, Now now);
    /// Sets the daemons that can send advice requests.
    void setAdvisers(const std::vector<std::uint64_t>& daemons) { m_adviceLanes.setDaemons(daemons); }
    /// Restores the jobs that the store held at the start of the ownership term.
    void load(const std::vector<StoredJob>& jobs, Now now);

    /// Submits a job. An action with the result follows once the job is durable or rejected.
    void submit(CallId call, const std::string& id, const std::string& queue, const std::string& team, JobSpec spec, Now now);
    /// Cancels a job. A job that is unknown stays cancelled for the retention time, whenever its submission
    /// arrives; the result is ErrorKind::NotFound, once that is durable.
    void cancel(CallId call, const std::string& id, Now now);
    /// Returns nothing if the job doesn't exist.
    std::optional<JobPhase> query(const std::string& id) const;
    /// Returns true if the job exists but its stored state can't be decoded.
    bool isUnreadable(const std::string& id) const { return m_unreadableJobs.contains(id); }
    std::uint64_t pending(const std::string& queue) const;

    void onBeat(const BeatAnswer& response, Now now);
    void onStart(const StartResponse& response, Now now);
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
        std::size_t evacuatedDomains = 0;
        std::size_t placementsInEvacuatedDomains = 0;
    };
    Figures figures() const;
    /// Returns the number of VMs in the registry and how many of them respond.
    std::pair<std::size_t, std::size_t> reach() const;
    const std::map<std::string, Vm>& vms() const { return m_vms; }
    const std::map<TaskId, Placement>& placements() const { return m_placements; }
    const Job* findJob(const std::string& id) const;

private:
    struct ReadyStep;
    enum class ClockOrigin : std::uint8_t {
        KnownIncarnation,
        /// The clock is behind that of the known incarnation.
        LaterIncarnation,
        Unknown,
    };
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
    /// Result for a client whose call has taken effect on the job.
    static ErrorKind resultFor(const Job& job) { return job.isSubmitted ? ErrorKind::None : ErrorKind::NotFound; }
    /// Handles the submission of a job that this scheduler has already.
    void submitAgain(Job& job, const std::string& queue, const std::string& team, AfterCommit after);
    /// Adds a job that was cancelled before its submission arrived; null, with a response, if it can't be kept.
    Job* addCancelledJob(CallId call, const std::string& id, Now now);
    void markDirty(const std::string& id) { m_dirtyJobs.insert(id); }
    void createDueOccurrences(Job& job, Now now);
    void removeExpiredJobs(Now now);
    void finishJob(Job& job, JobPhase phase, Now now, Json details);
    void stepFinished(Job& job, Occurrence& occurrence, Now now);
    void markRunning(Job& job);

    // Policies.cpp
    /// Policy of the queue with this name in force; null if there is none, or no policy yet.
    const QueuePolicy* findQueue(const std::string& name) const { return m_policy ? m_policy->findQueue(name) : nullptr; }
    /// Last known policy of the queue of accepted jobs. They outlive their queue, and a scheduler may hold jobs
    /// before it has a policy. Null if no policy with the queue is known.
    const QueuePolicy* lastKnownQueue(const std::string& name) const;
    const TeamPolicy* lastKnownTeam(const std::string& name) const;
    /// Like lastKnownQueue() for the job's queue, and remembered for the next call.
    const QueuePolicy* policyOf(Job& job) const;
    std::uint32_t maxAttempts(const Job& job) const;
    /// Returns what the team may still take of each resource; the largest value where it has no limit.
    Room quotaLeft(const std::string& team) const;
    bool isWithinQuota(const Job& job, const Room& more) const { return more.fitsIn(quotaLeft(job.team)); }
    /// Encodes the policy under which a job was accepted, for owners whose policy lacks its queue or team.
    Json encodeAcceptancePolicy(const Job& job) const;
    void restoreAcceptancePolicy(const Job& job, const Json& row);

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
    /// Counts the usage of the highest-priority queues on the VM for another service.
    void moveUrgentUsage(const Vm& vm, const std::string& service);
    void stopGang(Job& job, const TaskId& member, Now now);
    void stopAll(Job& job, Now now);
    void markRunLost(const TaskId& task, std::string_view reason, Now now);

    // Leases.cpp
    /// Deadline of a new lease on the VM's clock; zero if the clock is unknown.
    std::int64_t leaseDeadlineMs(const Vm& vm, Now now) const;
    /// Accounts for a command that grants a lease and is sent now.
    void grantLease(Vm& vm, Now now) const;
    /// Grants the VM no lease and starts no runs there before a heartbeat has shown its incarnation. Withdraws the
    /// commands for the incarnation that was known.
    void doubtIncarnation(Vm& vm, std::string_view reason, Now now);
    /// Returns true if only the incarnation that has confirmed the run may have it.
    static bool isConfirmed(const Placement& placement);
    /// Returns when the run has ended for certain, if the VM does not respond until then.
    static TimePoint leaseEnd(const Vm& vm, const Placement& placement);
    /// Returns which incarnation the VM's clock in a response belongs to.
    static ClockOrigin originOf(const Vm& vm, std::int64_t clockMs, TimePoint sentAt, Now now);
    /// Compares the clock in the response to a start command with the clock of the known incarnation.
    /// `placement` is that of the run, null if there is none any more.
    void checkClock(Vm& vm, Placement* placement, const StartResponse& response, Now now);

    // Vms.cpp
    void sendHeartbeats(Now now);
    /// Returns true if it is unknown, for lack of a response, whether the VM still has some run.
    bool hasUnconfirmedRun(const Vm& vm) const;
    void requestStop(Placement& placement, Now now);
    /// Handles the first response of another incarnation of the VM.
    void onNewIncarnation(Vm& vm, const VmState& state, Now now);
    /// Remembers the start of a run that is given up, as the VM may still execute it.
    static void rememberUnansweredStart(Vm& vm, const Placement& placement);
    /// Stops the runs of earlier start commands that a new incarnation of the VM may still execute.
    void stopUnansweredStarts(Vm& vm, Now now);
    /// The VM of the run has started anew: what an earlier incarnation confirmed says nothing about it.
    void forgetIncarnation(Placement& placement);
    void markAbsentRunsLost(Vm& vm, const BeatAnswer& response, Now now);
    /// `sentAt` is the time of the heartbeat whose response lists the run.
    void reconcileListedRun(Vm& vm, const RunningTask& running, TimePoint sentAt, Now now);
    void expireUnresponsiveVms(Now now);
    void sendDueCommands(Now now);
    /// Withdraws the commands that the VM has not responded to, as their incarnation has ended.
    void withdrawCommands(const Vm& vm, std::string_view reason);
    /// Reports VMs whose start commands have become overdue, or are no longer.
    void reportOverdueStarts(Vm& vm, Now now);
    /// Returns true if a start command may be repeated at the VM: while its start commands are overdue, one at a time.
    bool mayRepeatStart(const Vm& vm, Now now) const;
    void sendStart(Placement& placement, Vm& vm, Now now);
    void sendStop(Placement& placement, Vm& vm);
    bool isUsable(const Vm& vm, Now now) const;
    void quarantine(Vm& vm, Milliseconds duration, std::string_view reason, Now now);

    // Evacuation.cpp
    bool areEvacuationsKnown() const { return m_evacuatedDomains || !m_limits.hasEvacuations; }
    bool isEvacuated(const Vm& vm) const { return m_evacuatedDomains && m_evacuatedDomains->contains(vm.report.failureDomain); }
    std::map<std::string, std::size_t> placementsInEvacuatedDomains() const;
    /// Reports the evacuated domains in which nothing runs any more.
    void reportEmptiedDomains(Now now);

    // Placing.cpp
    void runPlacementPass(Now now);
    void requestPlacementPass() { m_placementRequested = true; }
    std::vector<ReadyStep> readySteps(Now now);
    void placeStep(const ReadyStep& ready, ServiceCapacity& service, Now now);
    /// Returns the usable VMs that may run the step and have free capacity for one of its tasks.
    std::vector<Vm*> fittingVms(const ReadyStep& ready, const ServiceCapacity& service, Now now);
    void requestAdvice(const ReadyStep& ready, ServiceCapacity& service, Now now);
    /// Returns true if the step would fit on the VMs known to be permitted once their runs of limited
    /// duration have ended. A gang needs a multiple of that.
    bool hasEnoughPermittedVms(const TaskId& id, Now now);
    std::map<std::string, ServiceCapacity> measureCapacity(const std::vector<ReadyStep>& steps, Now now);
    /// Takes one of the team's submission tokens; returns true if none is left.
    bool exceedsTeamRate(const std::string& team, Now now);
    /// Returns the time in which the whole cell could complete its outstanding work.
    Milliseconds backlog() const;
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
    std::size_t tasksOn(const Vm& vm, const TaskId& step) const;
    void placeTask(const ReadyStep& ready, std::uint32_t index, std::uint32_t run, Vm& vm, Now now);
    StepAdvice* findAdvice(const TaskId& step);

    // Reservations.cpp
    /// Reserves VMs for a gang that has waited for a long time, unless its service has a reservation already or
    /// the gang would not fit even after the current runs of limited duration have ended.
    void reserveForGang(const ReadyStep& ready, ServiceCapacity& service, Now now);
    /// Returns the VMs to reserve for the gang; empty if it would not fit on all that it may use.
    std::set<const Vm*> vmsToReserve(const ReadyStep& ready, const ServiceCapacity& service) const;
    bool isReservedForAnother(const Vm& vm, const ReadyStep& ready, const ServiceCapacity& service) const;
    /// Bounds the time for which other tasks are held back by reservations; called after each placement pass.
    void updateReservationPeriods(const std::vector<ReadyStep>& steps, const std::map<std::string, ServiceCapacity>& services, Now now);
    void expireReservation(const ReadyStep& gang, ReservationPeriod& period, std::string_view reason, Milliseconds limit, Now now);

    CellLimits m_limits;
    TimePoint m_inheritedLeaseEnd;
    CellPolicyPointer m_policy;
    /// Incremented with each policy. Its address does not identify it, as a later one may get the same.
    std::uint64_t m_policyNumber = 1;
    std::map<std::string, RetainedRow<QueuePolicy>> m_retainedQueues;
    std::map<std::string, RetainedRow<TeamPolicy>> m_retainedTeams;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Vm> m_vms;
    std::map<TaskId, Placement> m_placements;
    /// Placements that need a start or stop command, now or later.
    std::set<TaskId> m_pendingCommands;
    std::map<std::string, Room> m_teamUsage;
    /// Resources in use by tasks of the highest-priority queues, by service.
    std::map<std::string, Room> m_urgentUsage;
    TimePoint m_nextVmCheckAt;
    /// Running mean of the share of requested VMs that the advice service permits, by queue.
    std::map<std::string, double> m_permittedShare;
    AdviceLanes m_adviceLanes;
    std::uint64_t m_nextAdviceRequest = 1;
    /// Unset until the operators' evacuations are known.
    std::optional<std::set<std::string>> m_evacuatedDomains;
    /// Evacuated domains that have been reported as emptied.
    std::set<std::string> m_emptiedDomains;
    TimePoint m_nextEmptiedCheckAt;
    std::map<std::string, Job*> m_activeJobs;
    std::uint64_t m_nextSequence = 1;
    std::set<std::string> m_unreadableJobs;
    /// Number of jobs with `isSubmitted` false.
    std::size_t m_unsubmittedJobs = 0;
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
    /// Reservation periods by service.
    std::map<std::string, ReservationPeriod> m_reservationPeriods;
    /// Decaying peaks of the demand of each service's highest-priority queues.
    std::map<std::string, DemandPeak> m_urgentPeak;
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
