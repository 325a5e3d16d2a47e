/// Data model of a cell: jobs and their steps, the operators' policies for queues, services and
/// teams, and the reports of VMs. Plain data with arithmetic and the stored form, independent of
/// any protocol.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Support.h"

#include <map>
#include <memory>

namespace heatherchute::cell {

/// Resources that a task needs or a VM has: CPU in thousandths of a core, memory in MB, and
/// accelerators as a count.
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
    /// Resources of that many tasks.
    friend Room operator*(const Room& room, std::size_t tasks)
    {
        const auto count = static_cast<std::int64_t>(tasks);
        return { room.cpuMilli * count, room.memoryMb * count, room.accelerators * count };
    }
    friend bool operator==(const Room&, const Room&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Room, cpuMilli, memoryMb, accelerators)

/// A group of identical tasks of one job.
struct StepSpec {
    std::uint32_t tasks = 0;
    /// Resources that one task requests. They count against the limit of its team.
    Room need;
    /// The caller's estimate of the run time of one task, in milliseconds.
    std::int64_t estimateMs = 0;
    /// Indices of earlier steps that must complete before this step starts.
    std::vector<std::uint32_t> after;
    /// The tasks save checkpoints.
    bool checkpointing = false;
    /// The tasks start together and end together (gang scheduling).
    bool gang = false;
    /// The tasks run slower if they are spread over more than one rack.
    bool sameRack = false;
    /// Several copies of a task may run in parallel.
    bool speculative = false;
    /// Runs until the job is cancelled.
    bool longRunning = false;
    /// The tasks run on the processor time that others leave idle, so that their processor request does not count
    /// against the VM's capacity. Their memory and accelerators do.
    bool usesIdleRoom = false;
    std::string requiredLabel;
    /// Rack that holds the data; the tasks run slower elsewhere.
    std::string preferredRack;
    /// Maximum number of tasks of the step on one VM; zero for no limit.
    std::uint32_t maxTasksPerVm = 0;
    std::string image;
    /// Tail latency objective of a serving task towards its own users, in milliseconds; zero for
    /// none.
    std::int64_t tailTargetMs = 0;
    /// Maximum number of long-running tasks that the scheduler may make unavailable at the same time.
    std::uint32_t maxUnavailable = 0;

    /// Resources that one task takes of its VM's capacity.
    Room needOnVm() const { return { usesIdleRoom ? 0 : need.cpuMilli, need.memoryMb, need.accelerators }; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepSpec, tasks, need, estimateMs, after, checkpointing, gang, sameRack, speculative, longRunning,
    usesIdleRoom, requiredLabel, preferredRack, maxTasksPerVm, image, tailTargetMs, maxUnavailable)

/// A job as submitted by a caller.
struct JobSpec {
    /// Opaque to the scheduler; passed to every task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of scheduled runs of the steps; zero for a job without a schedule, which runs once,
    /// immediately.
    std::uint32_t occurrences = 0;
    /// Time at which the first occurrence is due, in Unix milliseconds.
    std::int64_t firstDueMs = 0;
    /// Time between two occurrences in milliseconds.
    std::int64_t intervalMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, payload, steps, occurrences, firstDueMs, intervalMs)

/// Returns true if every step depends on earlier steps only.
bool hasValidOrder(const JobSpec& spec);

/// Estimated run time of the job's critical path: the longest sequence of dependent steps.
Milliseconds chainOf(const JobSpec& spec);

/// Estimated CPU time of all tasks in core-milliseconds, without long-running tasks.
double workOf(const JobSpec& spec);

/// Expected duration of a request to the queue's advice service, which decides on which VMs a step
/// may run, and the validity of its response.
struct AdvicePolicy {
    Milliseconds base { 0 };
    double perVmMs = 0;
    Milliseconds validity { 0 };
};

/// Operators' policy for a queue.
struct QueuePolicy {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    /// Zero is the highest priority.
    int priority = 0;
    std::uint32_t maxAttempts = 1;
    /// Latency objective of a job: `stretch` times its critical path, plus `target`.
    double stretch = 1;
    Milliseconds target { 0 };
    std::optional<AdvicePolicy> advice;
    /// Accepts jobs without an API key.
    bool open = false;
};

/// Latency objective of a job with this critical path; bounded, so that the objective and small multiples
/// of it can be added to a time.
Milliseconds objectiveOf(const QueuePolicy& queue, Milliseconds criticalPath);

/// Operators' policy for a service.
struct ServicePolicy {
    std::string name;
    std::uint32_t maxConnections = 0;
    /// The VMs reject tasks that exceed their capacity; otherwise they start every task.
    bool vmsEnforceCapacity = false;
    bool standby = false;
};

/// Operators' policy for a team.
struct TeamPolicy {
    std::string name;
    std::vector<std::string> keys;
    /// Weight of the team's share relative to the other teams when the cell is full.
    double weight = 0;
    /// Quota of resources that may be in use at the same time; zero means no limit of that resource.
    Room upperLimit;
};

/// All of the operators' policies, of one version.
struct CellPolicy {
    std::uint64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::vector<ServicePolicy> services;
    std::vector<TeamPolicy> teams;

    /// Returns null if there is no such queue.
    const QueuePolicy* findQueue(std::string_view name) const;
    /// Returns the queue for the host and path of a request, by the longest matching path prefix;
    /// null if none matches.
    const QueuePolicy* selectQueue(std::string_view host, std::string_view path) const;
    /// Returns null if there is no such team.
    const TeamPolicy* findTeam(std::string_view name) const;
    /// Returns the team that an API key belongs to; null if the key is unknown.
    const TeamPolicy* teamOfKey(std::string_view key) const;
};
using CellPolicyPointer = std::shared_ptr<const CellPolicy>;

/// A VM's entry in the registry.
struct VmReport {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    Room capacity;
    std::vector<std::string> labels;
    std::string rack;
    bool draining = false;
    /// Start time in Unix milliseconds; identifies the incarnation among those with the same id.
    std::int64_t incarnation = 0;
    /// Time after the start during which the VM is slow.
    Milliseconds warmup { 0 };

    friend bool operator==(const VmReport&, const VmReport&) = default;
};

/// Identifies a task by its job, the occurrence of the job's schedule, the step, and the task's
/// index in the step.
struct TaskId {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};
/// Formats "JOB.OCCURRENCE.STEP.INDEX", the id under which VMs know the task.
std::string taskText(const TaskId& task);
/// Parses the format of taskText(); returns nothing if `text` does not match it.
std::optional<TaskId> parseTaskId(std::string_view text);
/// Formats "JOB.OCCURRENCE.STEP".
std::string stepText(const TaskId& task);

/// How a run ended on its VM.
enum class RunEnd : std::uint8_t {
    Done,
    /// The task or the VM failed.
    Failed,
    /// Ended by a stop command.
    Stopped,
    /// The lease of the task expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
};
std::string_view runEndName(RunEnd end);

/// An entry in a VM's list of running tasks.
struct RunningTask {
    TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    double percent = 0;
};

/// An entry in a VM's list of ended runs. `number` increases within an incarnation of the VM.
struct FinishedTask {
    std::uint64_t number = 0;
    TaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Lapsed;
    std::string checkpoint;
};

/// A VM's response to a heartbeat.
struct VmState {
    std::int64_t clockMs = 0;
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished;
    /// False if the VM may have further ended runs that it lists only once these are acknowledged.
    bool areAllEndsListed = true;
};

/// Result of a start command.
enum class StartAnswer : std::uint8_t {
    Started,
    /// The VM has seen a higher fencing token.
    Fenced,
    /// This run or a later run of the task was stopped or has ended on the VM.
    Superseded,
    /// The command arrived after its deadline.
    TooLate,
    /// The VM's free capacity is not sufficient.
    NoRoom,
    /// The ticket that was sent with the command is not valid.
    BadTicket,
    /// The VM is unhealthy and did not execute the command.
    Unhealthy,
    /// The address belongs to another VM or to another incarnation of the VM.
    WrongVm,
    /// The VM rejected the command as malformed.
    Malformed,
    /// The command was not sent.
    NotSent,
    /// The outcome is unknown: the command may have been executed or may still be.
    Unknown,
};
std::string_view startAnswerName(StartAnswer answer);
/// Returns true if the VM itself has responded.
constexpr bool isResponse(StartAnswer answer) { return answer != StartAnswer::NotSent && answer != StartAnswer::Unknown; }

/// Result of a stop command.
enum class StopAnswer : std::uint8_t {
    /// The VM has stopped the run, or will not start it.
    Stopped,
    /// The address belongs to another VM or to another incarnation of the VM, which doesn't have the run.
    WrongVm,
    /// The VM has seen a higher fencing token.
    Fenced,
    /// The VM rejected the command and did nothing.
    Refused,
    /// The command was not sent.
    NotSent,
    /// The outcome is unknown: the command may have been executed or may still be.
    Unknown,
};
/// Returns true if the run no longer runs on the VM, or ends there soon, and is not started there later.
bool isStopConfirmed(StopAnswer answer);
/// Returns true if the VM itself has responded.
constexpr bool isResponse(StopAnswer answer) { return answer != StopAnswer::NotSent && answer != StopAnswer::Unknown; }

/// State of a job as reported to callers.
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
