/// The owner of a cell: which jobs exist, where their tasks run, what is durable, and what to do
/// next. Pure: events come in with the time, actions go out; it knows no thread, clock or network.
/// One desk lives as long as one ownership; a successor builds its own from the store.
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

/// Figures that bound the desk's decisions; from the daemon's settings.
struct CellLimits {
    /// Lease that a heartbeat or a start gives to what runs on a VM.
    Milliseconds vmLease { 8000 };
    /// How long a job that has ended stays known.
    Seconds jobRetention { 120 };
    /// Tasks farther away than this from their due time are not started.
    Milliseconds earliness { 100 };
    /// How much slower a task is away from its preferred rack, or a same-rack step on several.
    double spreadFactor = 2;
};

/// Time as the desk sees it: steady for all arithmetic, Unix milliseconds for due times only.
struct Now {
    TimePoint steady;
    std::int64_t unixMs = 0;
};

/// Identifies a caller's pending call.
using CallId = std::uint64_t;

/// A job as the store has it.
struct StoredJob {
    std::string id;
    /// What was handed in, and how far it is.
    std::string submission;
    std::string progress;
};

// Actions that the desk asks for.

/// Makes the writes durable, all of them before onCommitted.
struct CommitState {
    std::vector<StateWrite> writes;
};

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

struct StopRun {
    std::string vm;
    Address address;
    TaskId task;
    std::uint32_t run = 0;
};

struct BeatVm {
    std::string vm;
    Address address;
    std::int64_t deadlineMs = 0;
    std::uint64_t acknowledged = 0;
    Milliseconds wait { 0 };
};

struct AskAdvice {
    /// Daemon that asks, as named to AdviceLanes.
    std::uint64_t daemon = 0;
    /// Job, occurrence and step; the index is zero.
    TaskId step;
    std::vector<std::string> vms;
    /// How long the advice service is expected to work on it.
    Milliseconds cost { 0 };
};

/// Final answer to a submission or a cancellation.
struct AnswerCall {
    CallId call = 0;
    ErrorKind error = ErrorKind::None;
    /// When a refused caller should come back; zero: as the error says.
    Seconds retryAfter { 0 };
};

/// A line for the log.
struct Decision {
    std::string_view event;
    Json fields;
};

/// Another daemon has a higher fencing token.
struct LostOwnership {
    std::string vm;
};

using Action = std::variant<CommitState, StartRun, StopRun, BeatVm, AskAdvice, AnswerCall, Decision, LostOwnership>;

/// Answer of a VM to a heartbeat; no state when there was none.
struct BeatAnswer {
    std::string vm;
    TimePoint sentAt;
    bool fenced = false;
    std::optional<VmState> state;
};

/// Answer of the advice service; no rows when it gave none.
struct AdviceAnswer {
    std::uint64_t daemon = 0;
    TaskId step;
    std::vector<std::string> asked;
    /// VM and the ticket for it.
    std::optional<std::vector<std::pair<std::string, std::string>>> allowed;
    Milliseconds validity { 0 };
    TimePoint sentAt;
};

enum class TaskPhase : std::uint8_t {
    Waiting,
    /// A run of it is recorded, and may be on a VM.
    Placed,
    Done,
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    /// Number of its latest run; zero before the first.
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    std::string checkpoint;
    TimePoint notBefore;
};

/// What is known of which VMs may run a step.
struct StepAdvice {
    struct Permission {
        std::string ticket;
        std::int64_t incarnation = 0;
        TimePoint validUntil;
    };
    std::map<std::string, Permission> allowed;
    std::set<std::string> denied;
    bool asking = false;
    TimePoint nextAsk;
    /// VMs that are kept free for the step, a gang that has waited long.
    std::set<std::string> held;
    /// Tasks by VM whose room is kept while the tickets of a gang that fits now are fetched.
    std::map<std::string, std::uint32_t> promised;
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    /// Runs of the gang in which a member has failed, and the last of them.
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
    /// Phase that is durable, and so may be shown.
    JobPhase shownPhase = JobPhase::Queued;
    bool isDurable = false;
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t nextOccurrence = 0;
    std::uint32_t doneOccurrences = 0;
    std::uint32_t placements = 0;
    TimePoint endedAt;
    /// Estimated run time of the longest chain of steps.
    Milliseconds chain { 0 };
    /// It came on top of the rate that the team's weight grants.
    bool isExcess = false;
    /// Work that was handed in with it, in core-milliseconds by its estimates.
    double workCpuMs = 0;
    /// Order in which jobs came to this desk.
    std::uint64_t sequence = 0;
    /// Policy of its queue, as of `policyOf`; none when the queue is gone.
    const QueuePolicy* policy = nullptr;
    const CellPolicy* policyOf = nullptr;
};

/// What a team hands in, against the rate that its weight grants.
struct TeamRate {
    /// Jobs that it may still hand in within its rate.
    double tokens = 0;
    TimePoint filledAt;
};

/// One run of a task from its decision until it is surely over.
struct Placement {
    TaskId task;
    std::uint32_t run = 0;
    std::string vm;
    std::int64_t incarnation = 0;
    Room need;
    std::string team;
    std::string ticket;
    TimePoint ticketUntil = TimePoint::max();
    int priority = 0;
    /// The run is durable, so orders may be sent.
    bool recorded = false;
    bool orderInFlight = false;
    /// A start was answered, or the run was seen on the VM.
    bool started = false;
    /// A start got no answer: it may still be carried out.
    bool startUnknown = false;
    bool stopWanted = false;
    bool stopAnswered = false;
    TimePoint firstOrderAt;
    TimePoint nextOrderAt;
    /// Newest answer to an order about it; a list asked for later tells whether it is there.
    TimePoint answeredAt;
    /// The run has ended for the desk, and only its room is still taken.
    bool abandoned = false;
};

struct Vm {
    VmReport report;
    /// Of its id.
    std::uint64_t hash = 0;
    bool listed = false;
    std::int64_t incarnation = 0;
    Room used;
    /// Room kept for gangs whose tickets are being fetched, as of the pass over the waiting work.
    Room promised;
    std::set<TaskId> placements;
    /// It has answered under this ownership.
    bool fenced = false;
    /// Its newest heartbeat was answered, so that the life which holds its ends is known.
    bool isLifeKnown = false;
    unsigned misses = 0;
    TimePoint lastAnswer;
    /// Its clock at `clockAt`; zero when unknown.
    std::int64_t clockMs = 0;
    TimePoint clockAt;
    /// By then every lease that it may have has run out.
    TimePoint leaseEnd;
    std::uint64_t processed = 0;
    std::uint64_t acknowledged = 0;
    bool beatInFlight = false;
    TimePoint nextBeat;
    /// Not to be used before: it refused, or failed what it ran.
    TimePoint distrustedUntil;
    unsigned failuresInRow = 0;
    std::string lastFailedJob;
};

/// Room of one service's VMs during a pass over the waiting work.
struct ServiceRoom {
    /// VMs that may take work now.
    std::vector<Vm*> usable;
    /// No VM has more than this free.
    Room largest;
    Room free;
    Room capacity;
    /// VMs kept for a gang, and the gang's step.
    std::set<const Vm*> held;
    std::optional<TaskId> heldFor;
    /// Processor that is kept for the most urgent queues.
    std::int64_t reservedCpuMilli = 0;
};

class CellDesk {
public:
    /// `inheritedLeaseEnd`: by then every lease that an earlier owner gave has run out.
    CellDesk(CellLimits limits, TimePoint inheritedLeaseEnd);

    void setPolicy(CellPolicyPointer policy);
    /// Whether the ownership surely holds: only then are leases extended and runs started.
    void setTenured(bool tenured) { m_isTenured = tenured; }
    /// The registry as it is now; VMs that are no longer in it are not used any more.
    void setVms(const std::vector<VmReport>& reports, Now now);
    /// Daemons that advice can be asked through.
    void setAdvisers(const std::vector<std::uint64_t>& daemons) { m_adviceLanes.setDaemons(daemons); }
    /// Jobs that the store had when the ownership began.
    void load(const std::vector<StoredJob>& jobs, Now now);

    /// Answered by AnswerCall once durable.
    void submit(CallId call, const std::string& id, const std::string& queue, const std::string& team, JobSpec spec, Now now);
    void cancel(CallId call, const std::string& id, Now now);
    /// Nothing when no such job exists.
    std::optional<JobPhase> query(const std::string& id) const;
    /// The job exists, but what is stored of it cannot be read.
    bool isUnreadable(const std::string& id) const { return m_unreadable.contains(id); }
    std::uint64_t pending(const std::string& queue) const;

    void onBeat(const BeatAnswer& answer, Now now);
    void onStart(const std::string& vm, const TaskId& task, std::uint32_t run, StartAnswer answer, Now now);
    void onStop(const std::string& vm, const TaskId& task, std::uint32_t run, bool answered, bool fenced, Now now);
    void onAdvice(const AdviceAnswer& answer, Now now);
    void onCommitted(Now now);
    /// Moves everything that time or earlier events have made possible.
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
    /// VMs in the registry, and those of them that answer.
    std::pair<std::size_t, std::size_t> reach() const;
    const std::map<std::string, Vm>& vms() const { return m_vms; }
    const std::map<TaskId, Placement>& placements() const { return m_placements; }
    const Job* findJob(const std::string& id) const;

private:
    struct ReadyStep;
    /// What follows once the state written with it is durable.
    struct AfterCommit {
        std::optional<AnswerCall> answer;
        std::optional<TaskId> start;
        std::uint32_t run = 0;
        std::string job;
        std::string vm;
        std::int64_t incarnation = 0;
        std::uint64_t acknowledge = 0;
    };

    // Jobs.cpp
    Job* job(const std::string& id);
    void markDirty(const std::string& id) { m_dirty.insert(id); }
    void openOccurrences(Job& job, Now now);
    void forgetOldJobs(Now now);
    void finishJob(Job& job, JobPhase phase, Now now, Json why);
    void stepFinished(Job& job, Occurrence& occurrence, Now now);
    std::uint32_t maxAttempts(const Job& job) const;
    void noteFirstStart(Job& job);

    // State.cpp
    void flush(Now now);
    /// A commit has been on its way for so long that the store seems to be away.
    bool isStoreSilent(Now now) const;
    /// Answers the submissions that no commit holds, and forgets their jobs.
    void refuseUnwritten(Now now);
    void withdraw(const std::string& id);
    void refuseSubmission(CallId call, const Job& job, Now now);
    std::string encodeSubmission(const Job& job) const;
    std::string encodeProgress(const Job& job) const;
    bool restore(const StoredJob& stored, Now now);
    bool restoreClosed(const std::string& id, const Json& progress, Now now);

    // Runs.cpp
    void onEnd(Vm& vm, const FinishedTask& finished, Now now);
    void taskDone(Job& job, const Placement& placement, Now now);
    void taskFailed(Job& job, const Placement& placement, Now now);
    void taskLost(Job& job, const Placement& placement, const std::string& checkpoint, std::string_view why, Now now);
    /// The run is surely over and its room is free.
    void release(const TaskId& task);
    void countUse(const Placement& placement, Vm& vm, int sign);
    void stopGang(Job& job, const TaskId& member, Now now);
    void stopAll(Job& job, Now now);
    void loseRun(const TaskId& task, std::string_view why, Now now);

    // Vms.cpp
    void beatVms(Now now);
    /// Whether a run of the VM may be there or not, for want of an answer.
    bool hasOpenRun(const Vm& vm) const;
    void resolveAbsent(Vm& vm, const BeatAnswer& answer, Now now);
    void adoptListed(Vm& vm, const RunningTask& running, Now now);
    void lapseSilent(Now now);
    void driveOrders(Now now);
    void sendStart(Placement& placement, Vm& vm, Now now);
    void sendStop(Placement& placement, Vm& vm);
    std::int64_t vmDeadline(const Vm& vm, Now now) const;
    void extendLeaseEnd(Vm& vm, Now now) const;
    bool mayUse(const Vm& vm, Now now) const;
    void distrust(Vm& vm, Milliseconds time, std::string_view why, Now now);

    // Placing.cpp
    void place(Now now);
    void wantPlacing() { m_placeWanted = true; }
    std::vector<ReadyStep> readySteps(Now now);
    void placeStep(const ReadyStep& ready, ServiceRoom& room, Now now);
    /// Usable VMs with room for a task of the step, on which it may run now.
    std::vector<Vm*> fittingVms(const ReadyStep& ready, const ServiceRoom& room, Now now);
    void holdForGang(const ReadyStep& ready, ServiceRoom& room, Now now);
    void askForAdvice(const ReadyStep& ready, ServiceRoom& room, Now now);
    /// Whether the step could start on the VMs where it is known to be allowed, were they empty.
    bool knowsEnough(const TaskId& id);
    std::map<std::string, ServiceRoom> measureRooms(const std::vector<ReadyStep>& steps, Now now);
    bool takesExcess(const std::string& team, Now now);
    /// How long the work that is open would take the whole cell.
    Milliseconds backlog() const;
    const QueuePolicy* policyOf(Job& job) const;
    bool mayRun(const Vm& vm, const ReadyStep& ready) const;
    std::size_t slotsIn(const Room& room, const Vm& vm, const ReadyStep& ready) const;
    /// Tasks of the step that fit on the VM now, beside what is promised to others.
    std::size_t slotsOn(const Vm& vm, const ReadyStep& ready) const;
    /// Keeps room for the step's gang on the VMs with most of it; false when it does not fit whole.
    bool promiseRoom(const ReadyStep& ready, std::vector<Vm*> vms);
    /// Counts what is promised to the step for or against the VMs' room.
    void countPromise(const ReadyStep& ready, int sign);
    void dropPromise(const ReadyStep& ready);
    bool isHeldFromOthers(const Vm& vm, const ReadyStep& ready, const ServiceRoom& room) const;
    std::size_t tasksOn(const Vm& vm, const TaskId& step) const;
    bool isWithinQuota(const Job& job, const Room& more) const;
    void put(const ReadyStep& ready, std::uint32_t index, std::uint32_t run, Vm& vm, Now now);
    StepAdvice* adviceOf(const TaskId& step);

    CellLimits m_limits;
    TimePoint m_inheritedLeaseEnd;
    CellPolicyPointer m_policy;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Vm> m_vms;
    std::map<TaskId, Placement> m_placements;
    /// Placements that an order is to be sent for, now or later.
    std::set<TaskId> m_orderable;
    std::map<std::string, Room> m_teamUse;
    /// Processor in use by tasks of the most urgent queues, by service.
    std::map<std::string, std::int64_t> m_urgentUse;
    TimePoint m_nextLook;
    /// Share of asked VMs that advice allows, by queue.
    std::map<std::string, double> m_adviceShare;
    AdviceLanes m_adviceLanes;
    std::map<std::string, Job*> m_active;
    std::uint64_t m_nextSequence = 1;
    std::set<std::string> m_unreadable;
    /// Active jobs with occurrences that are not due yet.
    std::set<std::string> m_scheduled;
    /// Something has changed that may let a task start.
    bool m_placeWanted = true;
    TimePoint m_nextPlace;
    TimePoint m_nextForget;
    std::set<std::string> m_dirty;
    std::set<std::string> m_forgotten;
    std::map<std::string, TeamRate> m_teamRates;
    /// Work of the jobs that are not over, in core-milliseconds, and the processor of all VMs in use.
    double m_openCpuMs = 0;
    std::int64_t m_capacityCpuMilli = 0;
    /// Highest recent demand of the most urgent queues of a service, in thousandths of a core.
    std::map<std::string, double> m_urgentPeak;
    TimePoint m_peakAt;
    bool m_isTenured = true;
    bool m_commitInFlight = false;
    TimePoint m_nextCommit;
    TimePoint m_commitBeganAt;
    std::vector<AfterCommit> m_afterNext;
    std::vector<AfterCommit> m_afterInFlight;
    std::vector<Action> m_actions;
};

/// Keys of the cell's durable state.
extern const std::string submissionPrefix;
extern const std::string progressPrefix;

} // namespace heatherchute::cell
