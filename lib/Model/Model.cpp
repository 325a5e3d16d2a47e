#include "heatherchute/Model.h"

#include <algorithm>

namespace heatherchute {

/// Slack for sums of fractions of a processor.
static constexpr double roundingSlack = 1e-6;

bool Resources::fitsIn(const Resources& room) const
{
    return cpus <= room.cpus + roundingSlack && memoryMb <= room.memoryMb + roundingSlack
        && accelerators <= room.accelerators + roundingSlack;
}

Resources& Resources::operator+=(const Resources& other)
{
    cpus += other.cpus;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    cpus -= other.cpus;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

Resources largerOf(const Resources& left, const Resources& right)
{
    return { std::max(left.cpus, right.cpus), std::max(left.memoryMb, right.memoryMb),
        std::max(left.accelerators, right.accelerators) };
}

static constexpr NamedValue<JobState> jobStateNames[] {
    { JobState::Waiting, "waiting" },
    { JobState::Running, "running" },
    { JobState::Succeeded, "succeeded" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
};

std::string_view jobStateName(JobState state) { return nameOf(jobStateNames, state); }
std::optional<JobState> jobStateFromName(std::string_view name) { return valueOf(jobStateNames, name); }

bool isFinal(JobState state)
{
    return state != JobState::Waiting && state != JobState::Running;
}

static constexpr NamedValue<TaskState> taskStateNames[] {
    { TaskState::Starting, "starting" },
    { TaskState::Running, "running" },
    { TaskState::Succeeded, "succeeded" },
    { TaskState::Failed, "failed" },
    { TaskState::Stopped, "stopped" },
    { TaskState::NotStarted, "not_started" },
    { TaskState::Lost, "lost" },
};

std::string_view taskStateName(TaskState state) { return nameOf(taskStateNames, state); }
std::optional<TaskState> taskStateFromName(std::string_view name) { return valueOf(taskStateNames, name); }

bool isFinal(TaskState state)
{
    return state != TaskState::Starting && state != TaskState::Running;
}

/// Everything before the `count`-th dot.
static std::string leadingParts(std::string_view id, int count)
{
    std::size_t end = 0;
    for (int i = 0; i < count; ++i) {
        end = id.find('.', i == 0 ? 0 : end + 1);
        if (end == std::string_view::npos)
            return std::string(id);
    }
    return std::string(id.substr(0, end));
}

std::string shardOf(std::string_view id) { return leadingParts(id, 2); }
std::string jobOf(std::string_view taskId) { return leadingParts(taskId, 3); }

} // namespace heatherchute
