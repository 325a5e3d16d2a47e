#include "heatherchute/Work.h"

#include <algorithm>
#include <charconv>

namespace heatherchute::cell {

Room& Room::operator+=(const Room& other)
{
    cpuMilli += other.cpuMilli;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Room& Room::operator-=(const Room& other)
{
    cpuMilli -= other.cpuMilli;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

Milliseconds objectiveOf(const QueuePolicy& queue, Milliseconds criticalPath)
{
    /// Thirty years.
    constexpr double longestObjectiveMs = 1e12;
    const auto objective = static_cast<double>(queue.target.count()) + static_cast<double>(criticalPath.count()) * queue.stretch;
    return Milliseconds(static_cast<std::int64_t>(std::min(objective, longestObjectiveMs)));
}

const QueuePolicy* CellPolicy::findQueue(std::string_view name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [name](const auto& queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const QueuePolicy* CellPolicy::selectQueue(std::string_view host, std::string_view path) const
{
    const QueuePolicy* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const TeamPolicy* CellPolicy::findTeam(std::string_view name) const
{
    const auto found = std::find_if(teams.begin(), teams.end(), [name](const auto& team) { return team.name == name; });
    return found == teams.end() ? nullptr : &*found;
}

const TeamPolicy* CellPolicy::teamOfKey(std::string_view key) const
{
    for (const auto& team : teams) {
        if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end())
            return &team;
    }
    return nullptr;
}

bool hasValidOrder(const JobSpec& spec)
{
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto& after = spec.steps[i].after;
        if (std::any_of(after.begin(), after.end(), [i](auto earlier) { return earlier >= i; }))
            return false;
    }
    return true;
}

Milliseconds chainOf(const JobSpec& spec)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const auto& step : spec.steps) {
        std::int64_t start = 0;
        for (const auto earlier : step.after)
            start = std::max(start, ends.at(earlier));
        ends.push_back(start + step.estimateMs);
        longest = std::max(longest, ends.back());
    }
    return Milliseconds(longest);
}

double workOf(const JobSpec& spec)
{
    double work = 0;
    for (const auto& step : spec.steps) {
        if (!step.longRunning)
            work += static_cast<double>(step.tasks) * static_cast<double>(step.estimateMs) * static_cast<double>(step.need.cpuMilli) / 1000;
    }
    return work;
}

std::string stepText(const TaskId& task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step);
}

std::string taskText(const TaskId& task)
{
    return stepText(task) + '.' + std::to_string(task.index);
}

/// Removes the last dot and the number after it from `text` and returns the number; returns nothing
/// and leaves `text` unchanged if it does not end like this.
static std::optional<std::uint32_t> removeTrailingNumber(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    std::uint32_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + dot + 1, end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    text = text.substr(0, dot);
    return value;
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    const auto index = removeTrailingNumber(text);
    const auto step = index ? removeTrailingNumber(text) : std::nullopt;
    const auto occurrence = step ? removeTrailingNumber(text) : std::nullopt;
    if (!occurrence || text.empty())
        return std::nullopt;
    return TaskId { std::string(text), *occurrence, *step, *index };
}

std::string_view runEndName(RunEnd end)
{
    static constexpr NamedValue<RunEnd> names[] {
        { RunEnd::Done, "done" },
        { RunEnd::Failed, "failed" },
        { RunEnd::Stopped, "stopped" },
        { RunEnd::Lapsed, "lapsed" },
        { RunEnd::Broken, "broken" },
        { RunEnd::Alone, "alone" },
    };
    return nameOf(names, end);
}

std::string_view startAnswerName(StartAnswer answer)
{
    static constexpr NamedValue<StartAnswer> names[] {
        { StartAnswer::Started, "started" },
        { StartAnswer::Fenced, "fenced" },
        { StartAnswer::Superseded, "superseded" },
        { StartAnswer::TooLate, "too_late" },
        { StartAnswer::NoRoom, "no_room" },
        { StartAnswer::BadTicket, "bad_ticket" },
        { StartAnswer::Unhealthy, "unhealthy" },
        { StartAnswer::WrongVm, "wrong_vm" },
        { StartAnswer::Malformed, "malformed" },
        { StartAnswer::NotSent, "not_sent" },
        { StartAnswer::Unknown, "unknown" },
    };
    return nameOf(names, answer);
}

bool isStopConfirmed(StopAnswer answer)
{
    return answer == StopAnswer::Stopped || answer == StopAnswer::WrongVm;
}

std::string_view jobPhaseName(JobPhase phase)
{
    static constexpr NamedValue<JobPhase> names[] {
        { JobPhase::Queued, "queued" },
        { JobPhase::Running, "running" },
        { JobPhase::Completed, "completed" },
        { JobPhase::Failed, "failed" },
        { JobPhase::Cancelled, "cancelled" },
    };
    return nameOf(names, phase);
}

} // namespace heatherchute::cell
