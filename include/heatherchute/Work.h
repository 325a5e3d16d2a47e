/// The nouns of a cell: jobs with their steps, what operators state about queues, services and
/// teams, and what VMs report of themselves. Plain data without behaviour beyond arithmetic and
/// its form in the store; nothing here knows a protocol.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Support.h"

#include <map>
#include <memory>

namespace heatherchute::cell {

/// What a task needs or a VM has. Processor in thousandths of a core, memory in MB.
struct Room {
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool fitsIn(const Room& room) const
    {
        return cpuMilli <= room.cpuMilli && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    Room& operator+=(const Room& other);
    Room& operator-=(const Room& other);
    friend Room operator+(Room left, const Room& right) { return left += right; }
    friend Room operator-(Room left, const Room& right) { return left -= right; }
    friend bool operator==(const Room&, const Room&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Room, cpuMilli, memoryMb, accelerators)

/// A group of equal tasks of one job.
struct StepSpec {
    std::uint32_t tasks = 0;
    Room need;
    /// Rough run time of one task that the caller states, in milliseconds.
    std::int64_t estimateMs = 0;
    /// Numbers of earlier steps that must be done first.
    std::vector<std::uint32_t> after;
    bool checkpointing = false;
    /// The tasks run only together, and end together.
    bool gang = false;
    /// Slower when the tasks are on more than one rack.
    bool sameRack = false;
    /// Copies of a task may run in parallel.
    bool speculative = false;
    /// Runs until the job is cancelled.
    bool longRunning = false;
    /// Uses only what other tasks leave idle, so it does not count against a VM's capacity.
    bool usesIdleRoom = false;
    std::string requiredLabel;
    /// Rack with the data; elsewhere the tasks are slower.
    std::string preferredRack;
    /// Most tasks of the step on one VM; zero: any number.
    std::uint32_t maxTasksPerVm = 0;
    std::string image;
    /// Bound of the tail latency that a serving task owes its own users; zero: none.
    std::int64_t tailTargetMs = 0;
    /// Long-running tasks that may be away at once by the scheduler's doing.
    std::uint32_t maxUnavailable = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepSpec, tasks, need, estimateMs, after, checkpointing, gang, sameRack, speculative, longRunning,
    usesIdleRoom, requiredLabel, preferredRack, maxTasksPerVm, image, tailTargetMs, maxUnavailable)

/// What a caller hands in.
struct JobSpec {
    /// Opaque to the scheduler, given to every task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Times that the steps run; zero for a job without a schedule, which runs once at once.
    std::uint32_t occurrences = 0;
    /// Unix milliseconds at which the first occurrence is due, and the distance of the next.
    std::int64_t firstDueMs = 0;
    std::int64_t intervalMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, payload, steps, occurrences, firstDueMs, intervalMs)

/// Estimated run time of the longest chain of steps that wait for each other.
Milliseconds chainOf(const JobSpec& spec);

/// Work of all tasks by the estimates, in core-milliseconds; long-running tasks count none.
double workOf(const JobSpec& spec);

/// Cost of asking the queue's policy which VMs may run a step.
struct AdvicePolicy {
    Milliseconds base { 0 };
    double perVmMs = 0;
    Milliseconds validity { 0 };
};

struct QueuePolicy {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    /// Zero goes first.
    int priority = 0;
    std::uint32_t maxAttempts = 1;
    /// The objective of a job: `stretch` times its longest chain of work, and `target` more.
    double stretch = 1;
    Milliseconds target { 0 };
    std::optional<AdvicePolicy> advice;
    /// Takes jobs without a key.
    bool open = false;
};

struct ServicePolicy {
    std::string name;
    std::uint32_t maxConnections = 0;
    /// Its VMs refuse what does not fit; otherwise they start whatever they are told.
    bool vmsEnforceCapacity = false;
    bool standby = false;
};

struct TeamPolicy {
    std::string name;
    std::vector<std::string> keys;
    /// Share when the cell is full, relative to the other teams'.
    double weight = 0;
    /// What may run at once; a zero in a resource means no limit.
    Room upperLimit;
};

/// Everything that operators state, as of one version.
struct CellPolicy {
    std::uint64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::vector<ServicePolicy> services;
    std::vector<TeamPolicy> teams;

    const QueuePolicy* findQueue(std::string_view name) const;
    /// Queue that a caller's host and path select: the longest prefix wins.
    const QueuePolicy* selectQueue(std::string_view host, std::string_view path) const;
    const TeamPolicy* findTeam(std::string_view name) const;
    const TeamPolicy* teamOfKey(std::string_view key) const;
};
using CellPolicyPointer = std::shared_ptr<const CellPolicy>;

/// What a VM says of itself in the registry.
struct VmReport {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    Room capacity;
    std::vector<std::string> labels;
    std::string rack;
    bool draining = false;
    /// Start of this life in Unix milliseconds, another one for each life under the same id.
    std::int64_t incarnation = 0;
    /// Slow for so long after its start.
    Milliseconds warmup { 0 };
};

/// Names one task: a job, the occurrence of its schedule, the step, and the place in it.
struct TaskId {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};
/// "JOB.OCCURRENCE.STEP.INDEX", as VMs know it.
std::string taskText(const TaskId& task);
std::optional<TaskId> parseTaskId(std::string_view text);
/// "JOB.OCCURRENCE.STEP".
std::string stepText(const TaskId& task);

/// How a run ended on its VM.
enum class RunEnd : std::uint8_t {
    Done,
    /// By its own fault or the VM's.
    Failed,
    /// By order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come in time.
    Alone,
};
std::string_view runEndName(RunEnd end);

/// One row of a VM's list of what runs.
struct RunningTask {
    TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    double percent = 0;
};

/// One row of a VM's list of what has ended. `number` rises within one life of the VM.
struct FinishedTask {
    std::uint64_t number = 0;
    TaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Lapsed;
    std::string checkpoint;
};

/// A VM's answer to a heartbeat.
struct VmState {
    std::int64_t clockMs = 0;
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished;
};

/// What a VM answers to a start.
enum class StartAnswer : std::uint8_t {
    Started,
    /// A higher fencing token has been seen there.
    Fenced,
    /// This run or a later one was stopped or has ended there.
    Superseded,
    /// The order's deadline had passed.
    TooLate,
    NoRoom,
    /// The permission that came with it is not valid.
    BadTicket,
    /// The VM is unhealthy and has done nothing.
    Unhealthy,
    /// Another VM, or another life of this one, lives at the address.
    WrongVm,
    /// The VM does not take the order at all.
    Malformed,
    /// Nothing was sent.
    NotSent,
    /// It may have been carried out, or may be later.
    Unknown,
};
std::string_view startAnswerName(StartAnswer answer);

/// Where a job stands, as callers see it.
enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};
std::string_view jobPhaseName(JobPhase phase);
inline bool isFinal(JobPhase phase) { return phase >= JobPhase::Completed; }

} // namespace heatherchute::cell
