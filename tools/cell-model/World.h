/// The parts of the model: its clock, its VMs and its judge.
#pragma once

#include "CellModel.h"
#include "heatherchute/AdviceQueue.h"

#include <cmath>
#include <queue>

namespace heatherchute::cell {

/// Virtual time and what happens in it.
class ModelClock {
public:
    TimePoint now() const { return m_now; }
    std::int64_t milliseconds() const { return std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count(); }
    Now deskTime() const { return { m_now, unixStartMs + milliseconds() }; }
    void at(TimePoint time, std::function<void()> action);
    void after(Milliseconds delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    /// False when nothing is left before `end`.
    bool step(TimePoint end);

private:
    static constexpr std::int64_t unixStartMs = 1'700'000'000'000;

    struct Event {
        TimePoint time;
        std::uint64_t number;
        std::shared_ptr<std::function<void()>> action;
        bool operator<(const Event& other) const { return std::tie(other.time, other.number) < std::tie(time, number); }
    };
    std::priority_queue<Event> m_events;
    std::uint64_t m_number = 0;
    TimePoint m_now { Seconds(1000) };
};

/// A random stream. What arrives has streams of its own, so that the same seed plays the same load
/// whatever is decided.
class ModelDice {
public:
    explicit ModelDice(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t next() { return m_engine(); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }
    /// Positive, with that mean and a moderate spread.
    double around(double mean, double spread) { return mean * std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(m_engine)); }

private:
    std::mt19937_64 m_engine;
};

/// One run on a model VM.
struct ModelRun {
    std::uint32_t run = 0;
    /// Resources that it takes of its VM, and of its team's limit.
    Room need;
    Room teamNeed;
    TimePoint endsAt;
    std::uint64_t life = 0;
    std::string checkpoint;
};

/// One run of a gang: its members work only together and end together.
struct ModelGang {
    /// Members that are present, and the VM of each.
    std::map<TaskId, std::string> members;
    bool isWorking = false;
};

struct ModelVm;

/// A command on its way to a VM.
struct ModelCommand {
    /// When its sender gives it up.
    TimePoint expiresAt;
    std::function<void(ModelVm&)> execute;
    /// Tells the owner that there was no response.
    std::function<void()> giveUp;
};

/// A VM, as the platform's pages describe one; naive and separate from the desk's idea of it.
struct ModelVm {
    VmReport report;
    double speed = 1;
    bool isUp = true;
    /// While it is down for a quick restart.
    bool isRestarting = false;
    TimePoint cutUntil;
    /// Until then the VM's link holds up commands, which are in `heldCommands`, and its responses are lost.
    TimePoint heldUntil;
    std::vector<std::shared_ptr<ModelCommand>> heldCommands;
    /// Number of times that its commands were withdrawn.
    std::uint64_t withdrawals = 0;
    TimePoint bornAt;
    /// What the registry shows.
    VmReport registered;
    /// Number of the owner that has had a response of the present incarnation.
    std::uint64_t seenBy = 0;
    /// Number of the owner to which the registry has shown the present incarnation, and when.
    std::uint64_t shownTo = 0;
    TimePoint shownAt;
    double clockRate = 1;
    std::uint64_t life = 1;
    std::uint64_t fence = 0;
    TimePoint leaseUntil;
    std::map<TaskId, ModelRun> running;
    std::map<TaskId, std::uint32_t> forbidden;
    std::vector<FinishedTask> finished;
    std::uint64_t nextEnd = 1;
    /// Ends up to this number were listed before its lease lapsed.
    std::uint64_t lapsedThrough = 0;
    std::vector<std::function<void()>> waiters;

    std::int64_t clockMs(TimePoint now) const { return 1000 + static_cast<std::int64_t>(static_cast<double>(std::chrono::duration_cast<Milliseconds>(now - bornAt).count()) * clockRate); }
    Room used() const;
};

/// A daemon that requests advice, and its queue at the service, which outlives the process.
struct ModelAdviser {
    AdviceQueue queue;
    TimePoint serviceBusyUntil;
};

/// Resources that a task of the step takes of a VM, by the platform's pages.
inline Room takenOfVm(const StepSpec& spec)
{
    auto taken = spec.need;
    if (spec.usesIdleRoom)
        taken.cpuMilli = 0;
    return taken;
}

/// What the model knows of a task that the desk does not.
struct ModelTask {
    double runMs = 0;
    std::uint32_t failuresNoted = 0;
    bool doneNoted = false;
    bool isDone = false;
};

struct ModelJob {
    std::string id;
    const ModelQueue* queue = nullptr;
    std::string team;
    JobSpec spec;
    /// After the beginning of the day.
    Milliseconds arrival { 0 };
    std::optional<Milliseconds> cancelAfter;
    TimePoint handedIn;
    std::optional<TimePoint> cancelAcknowledged;
    bool isAccepted = false;
    /// Submissions without an answer yet, and whether one will never get any.
    std::uint32_t openCalls = 0;
    bool isUnsure = false;
    bool isOver = false;
    bool hasStarted = false;
    double chainMs = 0;
    double coreSeconds = 0;
    bool hasOversizedGang = false;
    /// Since when nothing of it runs although it could.
    std::optional<TimePoint> stillSince;
    std::map<TaskId, ModelTask> tasks;
};

// Load.cpp: what a day brings, the same whoever decides.

std::map<std::string, ModelVm> makeVms(const ModelSettings& settings, TimePoint now);
std::vector<ModelJob> drawJobs(const ModelSettings& settings, const std::map<std::string, ModelVm>& vms);
/// Whether advice lets the step run on the VM.
bool isAllowed(const std::string& step, const std::string& vm, double share);
bool failsByItself(const ModelSettings& settings, const TaskId& task, std::uint32_t run);
/// Adds a job that is done to the result.
void countJob(const ModelJob& job, Milliseconds took, ModelResult& result);

/// One day: the owner, what surrounds it, and the judge of both.
class World {
public:
    explicit World(const ModelSettings& settings);
    ModelResult play();

private:
    /// An action that schedules itself again lives as long as the world, which owns it.
    template <typename T>
    T* keep()
    {
        auto kept = std::make_shared<T>();
        m_kept.push_back(kept);
        return kept.get();
    }
    void makePolicy();
    void scheduleArrivals();
    void handIn(const std::string& id);
    void scheduleFaults();
    void beginOwner();
    void changeOwner();
    void pump();
    void carryOut(std::uint64_t owner, std::uint64_t fence, const Action& action);
    void commit(std::uint64_t owner, const CommitState& state);
    void start(std::uint64_t owner, std::uint64_t fence, const StartRun& order);
    void stop(std::uint64_t owner, std::uint64_t fence, const StopRun& order);
    void beat(std::uint64_t owner, std::uint64_t fence, const BeatVm& order);
    void advise(std::uint64_t owner, const AskAdvice& order);
    /// Restarts one of the daemons that request advice. What it has sent remains at the service.
    void restartAdviser();
    void answered(const AnswerCall& answer);
    /// `isIncarnationSeen` is true if the owner knew the VM's present incarnation when it sent the command.
    StartAnswer startAt(ModelVm& vm, std::uint64_t fence, const StartRun& order, bool isIncarnationSeen);
    void endRun(ModelVm& vm, const TaskId& task, RunEnd end);
    void beginRun(ModelVm& vm, const TaskId& task, std::uint32_t run, double runMs);
    void joinGang(ModelVm& vm, const TaskId& task, std::uint32_t run, double runMs);
    void breakGang(const TaskId& member, std::uint32_t run);
    bool isGang(const TaskId& task) const { return m_jobs.at(task.job).spec.steps.at(task.step).gang; }
    void acknowledge(ModelVm& vm, std::uint64_t number);
    void extendLease(ModelVm& vm, std::int64_t deadlineMs);
    void lapse(ModelVm& vm);
    void goDown(ModelVm& vm);
    void crash(ModelVm& vm, bool isBack);
    void restart(ModelVm& vm);
    /// Lets a VM that is down for a restart respond again.
    void beginIncarnation(ModelVm& vm);
    /// Lets the registry show the present incarnation.
    void registerVm(ModelVm& vm);
    /// Delivers a command after `delay`; a VM that is down for a restart may get it when it is back.
    void deliver(const std::string& vm, Milliseconds delay, ModelCommand command);
    void waitForRestart(ModelVm& vm, TimePoint end, std::function<void(ModelVm&)> execute);
    /// Lets the VM start anew behind a link that holds up commands.
    void holdLink(ModelVm& vm);
    void holdUp(ModelVm& vm, ModelCommand command);
    /// Delivers what the link has held up.
    void releaseLink(ModelVm& vm);
    /// The owner resets the connections of its commands to the VM.
    void withdraw(const std::string& vm);
    /// Returns true if the owner has had the time to withdraw commands for the VM's earlier incarnation.
    bool isKnownTo(std::uint64_t owner, const ModelVm& vm) const;
    void executeHeartbeat(ModelVm& vm, std::uint64_t fence, const BeatVm& order);
    /// Gives the owner the result of a heartbeat after `delay`.
    void answerHeartbeat(std::uint64_t owner, Milliseconds delay, const BeatAnswer& answer);
    /// Executes a heartbeat late and gives the owner no response.
    void beatLate(std::uint64_t owner, std::uint64_t fence, const BeatVm& order);
    void checkStart(const ModelVm& vm, const StartRun& order, bool isIncarnationSeen);
    void broken(const std::string& text);
    void toOwner(std::uint64_t owner, Milliseconds delay, std::function<void()> action);
    bool isReachable(const ModelVm& vm) const { return vm.isUp && m_clock.now() >= std::max(vm.cutUntil, vm.heldUntil); }
    void finishJobs();
    /// Returns true if the job is not expected to end: a long-running one, or one with a gang that does not
    /// fit beside these.
    bool isEndless(const ModelJob& job) const;
    /// After the load: no job may stand still while there is room for it twice over.
    void checkStandstill();
    bool couldRun(const ModelJob& job, const TaskId& step) const;
    void trace(std::string_view what, const std::string& text);
    void updateRegistry();
    void evacuate(const std::string& domain);
    /// Tells the owner of the evacuated domains, as its watch of the store does.
    void updateEvacuations();

    Milliseconds uniformMs(std::int64_t least, std::int64_t most) { return Milliseconds(least + std::llround(m_dice.uniform() * static_cast<double>(most - least))); }
    Milliseconds wire() { return Milliseconds(std::max<std::int64_t>(1, std::llround(m_dice.around(static_cast<double>(m_settings.networkDelay.count()), 0.3)))); }
    void repeat(double meanSeconds, std::function<void()> fault);

    std::vector<std::shared_ptr<void>> m_kept;
    ModelSettings m_settings;
    /// Of the network and the faults.
    ModelDice m_dice;
    ModelClock m_clock;
    TimePoint m_loadEnd;
    std::map<std::string, ModelVm> m_vms;
    std::map<std::string, ModelJob> m_jobs;
    /// By the gang's step, with the run number as the index.
    std::map<TaskId, ModelGang> m_gangs;
    std::map<std::string, std::string> m_store;
    std::map<CallId, std::string> m_calls;
    std::set<CallId> m_cancels;
    CallId m_nextCall = 1;
    CellPolicyPointer m_policy;
    std::unique_ptr<CellDesk> m_desk;
    std::uint64_t m_owner = 0;
    TimePoint m_storeDownUntil;
    /// Evacuated failure domains, and since when.
    std::map<std::string, TimePoint> m_evacuatedSince;
    TimePoint m_nextStandstillCheck;
    /// By link; a daemon that has been restarted gets a new one.
    std::map<std::uint64_t, ModelAdviser> m_advisers;
    std::uint64_t m_nextAdviser = 0;
    bool m_pumpWanted = false;
    ModelResult m_result;
    /// One entry for each pass.
    std::vector<float> m_passUs;
};

} // namespace heatherchute::cell
