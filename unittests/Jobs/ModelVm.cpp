#include "World.h"

namespace heatherchute {

void ModelVm::end(Task& task, TaskState state)
{
    task.state = state;
    task.report = ++m_lastReport;
}

void ModelVm::tick(TimePoint now)
{
    for (auto& [id, task] : m_tasks) {
        if (isFinal(task.state))
            continue;
        if (now >= m_taskLeaseExpiry)
            end(task, TaskState::Stopped);
        else if (now >= task.endsAt)
            end(task, TaskState::Succeeded);
    }
}

OwnerLeaseAnswer ModelVm::lease(const OwnerLeaseAsk& ask, TimePoint now)
{
    tick(now);
    OwnerLeaseAnswer answer;
    answer.boot = std::to_string(m_incarnation);
    const bool heldByOther = now < m_ownerLeaseExpiry && m_owner != ask.owner;
    if (heldByOther || (ask.epoch != 0 && ask.epoch != m_fencingToken)) {
        answer.remainingMs = heldByOther ? 500 : 0;
        return answer;
    }
    if (ask.epoch == 0 || ask.owner != m_owner || now >= m_ownerLeaseExpiry)
        m_lowestSequence = 0, ++m_fencingToken;
    m_lowestSequence = std::max(m_lowestSequence, ask.settled);
    m_owner = ask.owner;
    m_ownerLeaseExpiry = ask.release ? now : now + Milliseconds(ask.ownerLeaseMs);
    m_taskLeaseExpiry = now + Milliseconds(ask.taskLeaseMs);
    for (const auto& floor : ask.floors)
        m_lowestFencingTokens[floor.shard] = std::max(m_lowestFencingTokens[floor.shard], floor.epoch);
    for (const auto& id : ask.forget)
        m_tasks.erase(id);
    answer.granted = true;
    answer.epoch = m_fencingToken;
    answer.seen = m_lastReport;
    for (auto& [id, task] : m_tasks) {
        if (ask.epoch == m_fencingToken && task.report <= ask.seen)
            continue;
        answer.changes.push_back({ id, std::string(taskStateName(task.state)), task.attempt.shardEpoch, task.attempt.size, task.attempt.size, {} });
    }
    for (const auto& [shard, epoch] : m_lowestFencingTokens)
        answer.floors.push_back({ shard, epoch });
    return answer;
}

ErrorKind ModelVm::start(const TaskStart& start, TimePoint now, Milliseconds runTime)
{
    tick(now);
    const auto& attempt = start.task;
    if (m_tasks.contains(attempt.id))
        return ErrorKind::None;
    const bool isStale = start.boot != std::to_string(m_incarnation) || start.ownerEpoch != m_fencingToken || now >= m_ownerLeaseExpiry || start.sequence < m_lowestSequence || attempt.shardEpoch < m_lowestFencingTokens[attempt.shard];
    if (isStale && !m_ignoresFencingTokens)
        return ErrorKind::Fenced;
    m_lowestFencingTokens[attempt.shard] = std::max(m_lowestFencingTokens[attempt.shard], attempt.shardEpoch);
    m_tasks[attempt.id] = { attempt, TaskState::Running, now + runTime, ++m_lastReport };
    m_taskLeaseExpiry = std::max(m_taskLeaseExpiry, now + Milliseconds(start.taskLeaseMs));
    return ErrorKind::None;
}

void ModelVm::stop(const std::string& id, std::uint64_t epoch)
{
    const auto found = m_tasks.find(id);
    if (epoch == m_fencingToken && found != m_tasks.end() && !isFinal(found->second.state))
        end(found->second, TaskState::Stopped);
}

void ModelVm::restart()
{
    m_tasks.clear();
    m_lowestFencingTokens.clear();
    m_owner.clear();
    m_fencingToken = 0;
    m_ownerLeaseExpiry = {};
    m_lastReport = 0;
    ++m_incarnation;
}

} // namespace heatherchute
