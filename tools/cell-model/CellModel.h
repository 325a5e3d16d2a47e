/// A model of what surrounds a cell's owner, in virtual time: VMs that run tasks under leases, a
/// store, an advice service, callers, and faults of all of them. Drives a CellDesk and checks what
/// must always hold from what the VMs see. Deterministic for a seed.
#pragma once

#include "heatherchute/Cell.h"

#include <random>

namespace heatherchute::cell {

/// Arrival law of one queue.
struct ModelQueue {
    QueuePolicy policy;
    double jobsPerSecond = 1;
    double steps = 1;
    double tasks = 2;
    std::uint32_t maxTasks = 48;
    double runMs = 800;
    double cpuMilli = 1000;
    double memoryMb = 1000;
    /// Share of steps that are gangs, that checkpoint, and that spread one task a VM.
    double gangShare = 0;
    double checkpointShare = 0;
    double spreadShare = 0;
    /// Share of steps that run on idle processor time.
    double idleRoomShare = 0;
    /// Share of steps that require one of the two kinds of VMs.
    double labelShare = 0;
    /// Share of gangs that need all that the VMs which they may use have when empty.
    double oversizedGangShare = 0;
    /// The jobs last until the end of the day, with one task on each VM.
    bool isLongRunning = false;
    /// Part by which the stated run time may be off, either way.
    double estimateError = 0.5;
    /// Share of VMs that advice allows.
    double allowedShare = 1;
    /// What a job within its objective is worth.
    double worth = 1;
};

/// How often things go wrong.
struct ModelFaults {
    /// Share of orders that are carried out without an answer, and of those carried out late.
    double lostAnswers = 0;
    double lateOrders = 0;
    /// Mean seconds between crashes of a VM; it is back under its id soon, or never. Zero: none.
    double secondsBetweenCrashes = 0;
    double secondsBetweenCuts = 0;
    double secondsBetweenOwners = 0;
    double secondsBetweenOutages = 0;
    double secondsBetweenDrains = 0;
    /// Share of runs that fail, and of jobs that are cancelled.
    double failedRuns = 0.02;
    double cancelledJobs = 0;
    /// Mean seconds between quick restarts of a VM under its id, of which the registry learns late; most of these VMs
    /// are cut off soon after. Zero: none.
    double secondsBetweenRestarts = 0;
    /// Whether a VM that has restarted is of the other kind.
    bool doKindsChange = false;
    /// Whether a VM that has restarted executes commands that were on their way to its earlier incarnation.
    bool areCommandsInherited = false;
    /// Whether it also executes those that a VM executes late, and the share of heartbeats that are executed late.
    bool areLateCommandsInherited = false;
    double lateHeartbeats = 0;
    /// Mean seconds between periods in which the link of a VM holds up everything, and the VM starts anew behind it.
    /// When the link is restored, it delivers all that was not reset by its sender. Zero: none.
    double secondsBetweenHeldLinks = 0;
    /// Mean seconds between evacuations of a failure domain, each for several seconds. Zero: none.
    double secondsBetweenEvacuations = 0;
    /// Mean time from an owner's end to the next one.
    double takeoverMs = 1500;
    /// Whether a daemon is restarted with each change of the owner.
    bool doOwnersRestart = false;
};

struct ModelSettings {
    std::uint64_t seed = 1;
    std::uint32_t vms = 48;
    Room vmCapacity { 64'000, 262'144, 0 };
    std::uint32_t vmsPerRack = 8;
    std::uint32_t failureDomains = 3;
    /// Daemons that can ask for advice; the service takes the calls of each one at a time.
    std::uint32_t daemons = 6;
    std::uint32_t teams = 6;
    /// Upper limit of each team as a share of the cell.
    double teamLimit = 1;
    Milliseconds networkDelay { 3 };
    Milliseconds storeDelay { 8 };
    Milliseconds vmLease { 8000 };
    /// Longest lease that a VM grants, on its own clock; nullopt: whatever the deadline says.
    std::optional<Milliseconds> longestVmLease;
    /// Rate of the VMs' clocks.
    double vmClockRate = 1;
    /// One VM in three is so much slower.
    double slowFactor = 1.3;
    /// Fleets differ in how long callers send; afterwards the model runs until all is done.
    Seconds load { 30 };
    Seconds longestTail { 120 };
    std::vector<ModelQueue> queues;
    ModelFaults faults;
    /// Decisions and VM answers that name this text are printed; empty: none.
    std::string trace;
    /// Load of one team relative to the others'.
    double hotTeamFactor = 1;
};

struct QueueResult {
    std::uint64_t jobs = 0;
    std::uint64_t inObjective = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    double worthOwed = 0;
    double worthEarned = 0;
    std::vector<double> waitMs;
};

struct ModelResult {
    std::map<std::string, QueueResult> queues;
    /// Jobs of all queues by team; without waiting times.
    std::map<std::string, QueueResult> teams;
    std::uint64_t starts = 0;
    std::uint64_t commits = 0;
    std::uint64_t adviceCalls = 0;
    /// Requests for advice whose response came after the owner had stopped waiting, or not at all.
    std::uint64_t overdueAdvice = 0;
    /// Longest time that a request for advice waited at the service before it was processed.
    Milliseconds longestAdviceWait { 0 };
    std::uint64_t wastedRuns = 0;
    /// Starts on an incarnation of a VM of which the owner could not know, by commands for the one before.
    std::uint64_t startsOnLaterIncarnations = 0;
    std::uint64_t unfinished = 0;
    /// What must never happen, in words; empty when all held.
    std::vector<std::string> broken;
    /// Time of one pass of the desk, in microseconds: the longest, the mean, and what 99 of 100 keep.
    double longestPassUs = 0;
    double meanPassUs = 0;
    double passP99Us = 0;
};

/// Plays one day.
ModelResult playModel(const ModelSettings& settings);
/// Plays the same load without faults, served first come first served with first fit.
ModelResult playFirstFit(const ModelSettings& settings);

/// The deployments of today and the target of two years, calm.
std::vector<std::string> modelDeployments();
ModelSettings modelDeployment(const std::string& name);
/// Adds quick restarts of VMs, with long tasks that run meanwhile.
void addRestarts(ModelSettings& settings);
/// Adds restarts after which a VM is of another kind, which the registry shows later.
void addKindChanges(ModelSettings& settings);
/// Adds evacuations of failure domains, beside new owners, crashes and drains.
void addEvacuations(ModelSettings& settings);
/// Adds many tasks that run on idle processor time and need much memory, beside new owners.
void addIdleRoom(ModelSettings& settings);
/// Adds a long-running task on each VM, and gangs that do not fit beside these.
void addLongRunning(ModelSettings& settings);
/// Adds quick changes of the owner, each with the restart of a daemon, and many gangs that request advice.
void addOwnerChanges(ModelSettings& settings);
/// Adds VMs that start anew as another kind behind a link that holds up commands and delivers them later.
void addHeldLinks(ModelSettings& settings);
/// Lets VMs execute commands late, also those for an earlier incarnation.
void addLateCommands(ModelSettings& settings);

} // namespace heatherchute::cell
