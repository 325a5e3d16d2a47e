/// The nouns that daemons, workers and the journal share: resources, VMs, jobs and tasks, each
/// with its form in JSON and CBOR.
#pragma once

#include "heatherchute/Support.h"

namespace heatherchute {

/// Processors, memory and accelerators, as declared, observed or free.
struct Resources {
    double cpus = 0;
    double memoryMb = 0;
    double accelerators = 0;

    bool fitsIn(const Resources& room) const;
    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    friend bool operator==(const Resources&, const Resources&) = default;
};
/// The larger of each resource.
Resources largerOf(const Resources& left, const Resources& right);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, cpus, memoryMb, accelerators)

/// A worker as the platform's VM list describes it.
struct VmInfo {
    std::string id;
    /// "ip:port" where the VM takes leases and tasks.
    std::string address;
    /// "ip:port" where its services take requests; empty when it has none.
    std::string serviceAddress;
    std::string failureDomain;
    std::string rack;
    Resources capacity;
    /// Requests that its service takes at once.
    std::uint32_t slots = 0;
    /// Services that run on it.
    std::vector<std::string> services;
    bool leaving = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmInfo, id, address, serviceAddress, failureDomain, rack, capacity, slots, services, leaving)

/// A durable job as accepted.
struct JobSpec {
    /// "<shard>.<number>".
    std::string id;
    std::string queue;
    std::string team;
    std::string className;
    std::string name;
    bool gang = false;
    /// Gang tasks on different racks, where there are enough.
    bool spreadRacks = false;
    std::uint32_t tasks = 1;
    Resources perTask;
    /// Declared run time, which may be far off. Zero: none declared.
    std::uint64_t runtimeMs = 0;
    /// What a worker runs: text that only the worker understands.
    std::string work;
    /// Digest of the Idempotency-Key that it was submitted with; empty when there was none.
    std::string idempotency;
    bool repeatable = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, id, queue, team, className, name, gang, spreadRacks, tasks, perTask, runtimeMs, work, idempotency, repeatable)

/// Life of a job.
enum class JobState : std::uint8_t {
    Waiting,
    Running,
    Succeeded,
    Failed,
    Cancelled,
};
std::string_view jobStateName(JobState state);
std::optional<JobState> jobStateFromName(std::string_view name);
/// True for states that a job never leaves.
bool isFinal(JobState state);

/// What a worker says of one task.
enum class TaskState : std::uint8_t {
    Starting,
    Running,
    Succeeded,
    Failed,
    /// Ended because it was asked to, or its lease lapsed.
    Stopped,
    /// Known never to have run.
    NotStarted,
    /// Its VM is gone and the task with it.
    Lost,
};
std::string_view taskStateName(TaskState state);
std::optional<TaskState> taskStateFromName(std::string_view name);
bool isFinal(TaskState state);

/// One attempt to run one task of a job.
struct TaskAttempt {
    /// "<job>.<index>.<attempt>".
    std::string id;
    std::string job;
    std::uint32_t index = 0;
    std::string shard;
    std::uint64_t shardEpoch = 0;
    std::string vm;
    Resources size;
    std::string work;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskAttempt, id, job, index, shard, shardEpoch, vm, size, work)

/// Shard part of a job's or task's id: the first two parts between dots.
std::string shardOf(std::string_view id);
/// Job part of a task's id: the first three parts.
std::string jobOf(std::string_view taskId);

} // namespace heatherchute
