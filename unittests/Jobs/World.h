/// Discrete-event simulation of a small cluster for tests with random interleavings: the job, VM and
/// quota logic of two daemons, VMs that check fencing tokens, a store, and messages that are delayed
/// or lost. Time is virtual.
#pragma once

#include "heatherchute/Jobs.h"
#include "heatherchute/Ownership.h"

#include <functional>
#include <random>

namespace heatherchute {

/// Kind of an injected fault.
enum class Fault : std::uint8_t {
    None,
    PauseDaemon,
    KillDaemon,
    PartitionDaemons,
    StoreDown,
    StoreLosesReplies,
    FreezeVm,
    RestartVm,
    CancelJob,
};

/// One injected fault. It starts when the step is reached and lasts for `seconds`. `target` selects the
/// daemon or VM, modulo their number.
struct FaultStep {
    Fault fault = Fault::None;
    std::uint32_t target = 0;
    std::uint32_t seconds = 1;
};

/// Model of a VM: grants owner leases, starts and stops tasks, and rejects commands with outdated
/// fencing tokens according to the rules of the platform.
class ModelVm {
public:
    explicit ModelVm(VmInfo info)
        : m_info(std::move(info))
    {
    }

    OwnerLeaseAnswer lease(const OwnerLeaseAsk& request, TimePoint now);
    ErrorKind start(const TaskStart& start, TimePoint now, Milliseconds runTime);
    void stop(const std::string& task, std::uint64_t fencingToken);
    void tick(TimePoint now);
    void restart();
    void ignoreFencingTokens() { m_ignoresFencingTokens = true; }

    struct Task {
        TaskAttempt attempt;
        TaskState state = TaskState::Running;
        TimePoint endsAt;
        std::uint64_t report = 0;
    };
    const std::map<std::string, Task>& tasks() const { return m_tasks; }
    const VmInfo& info() const { return m_info; }

private:
    void end(Task& task, TaskState state);

    VmInfo m_info;
    int m_incarnation = 1;
    bool m_ignoresFencingTokens = false;
    std::string m_owner;
    std::uint64_t m_fencingToken = 0;
    TimePoint m_ownerLeaseExpiry;
    std::uint64_t m_lowestSequence = 0;
    TimePoint m_taskLeaseExpiry;
    std::uint64_t m_lastReport = 0;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::uint64_t> m_lowestFencingTokens;
};

class World {
public:
    explicit World(std::uint32_t seed);

    /// Injects `faults` in order, `gap` apart, and runs the simulation until all jobs have ended or the
    /// time limit is reached. Returns a description of the first violated invariant, or an empty string.
    std::string run(const std::vector<FaultStep>& faults, Milliseconds gap);
    /// Disables the VMs' check of fencing tokens, to show that a violation is detected.
    void ignoreFencingTokens();

private:
    struct Daemon {
        std::string name;
        std::unique_ptr<LimitDesk> limits;
        std::unique_ptr<VmDesk> vms;
        std::unique_ptr<JobDesk> jobs;
        TimePoint pausedUntil;
        TimePoint deadUntil;
        TimePoint downSince;
        TimePoint lastTick;
        std::deque<std::function<void()>> inbox;
        std::uint32_t incarnation = 0;
    };
    struct Event {
        TimePoint due;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Event& other) const { return due != other.due ? due > other.due : order > other.order; }
    };

    void injectFault(const FaultStep& step);
    void step();
    void tickDaemon(Daemon& daemon);
    void restart(Daemon& daemon);
    void submit(Daemon& daemon);
    bool isUp(const Daemon& daemon) const { return m_now >= daemon.pausedUntil && m_now >= daemon.deadUntil; }
    bool isSilent(const Daemon& daemon, const Daemon& other, Duration since) const;
    Duration delay();
    /// Runs `body` at the daemon after `after`, later if the daemon is paused, and not at all if it has
    /// crashed by then.
    void scheduleAtDaemon(Daemon& daemon, Duration after, std::function<void()> body);
    void schedule(Duration after, std::function<void()> body);
    void send(Daemon& from, const std::string& to, const PeerMessage& message);
    void receive(Daemon& daemon, const std::string& from, const PeerMessage& message);
    void perform(Daemon& daemon, OwnershipActions&& actions);
    void perform(Daemon& daemon, JobActions&& actions);
    void sendLease(Daemon& daemon, const LeaseCall& call);
    void sendStart(Daemon& daemon, const StartCall& call);
    void sendAppend(Daemon& daemon, const AppendJournal& append);
    void noteRecordedSuccesses(const JournalEntry& entry);
    void sendAllotmentChange(Daemon& daemon, const AllotmentChange& change);
    Daemon& daemonNamed(const std::string& name);
    std::string findViolation();
    bool allJobsEnded() const;
    std::string describeUnfinished() const;

    std::mt19937 m_random;
    TimePoint m_now;
    std::uint64_t m_nextEventOrder = 0;
    std::vector<Event> m_events;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::string, ModelVm> m_vms;
    std::map<std::string, TimePoint> m_frozenUntil;
    std::map<std::pair<std::string, std::string>, TimePoint> m_lastDelivery;
    std::map<std::string, JournalEntry> m_store;
    LimitRecord m_limit;
    TimePoint m_storeDownUntil;
    TimePoint m_repliesLostUntil;
    TimePoint m_partitionedUntil;
    TimePoint m_partitionedSince;
    /// Tokens of the jobs whose submission was acknowledged.
    std::set<std::uint64_t> m_accepted;
    /// Tasks whose success is in the write-ahead log, each with the attempts that VMs had at that time.
    std::map<std::string, std::set<std::string>> m_recordedSuccesses;
    std::uint32_t m_submitted = 0;
};

} // namespace heatherchute
