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

OwnerLeaseAnswer ModelVm::lease(const OwnerLeaseAsk& request, TimePoint now)
{
    tick(now);
    OwnerLeaseAnswer response;
    response.boot = std::to_string(m_incarnation);
    const bool ownedByOther = now < m_ownerLeaseExpiry && m_owner != request.owner;
    if (ownedByOther || (request.epoch != 0 && request.epoch != m_fencingToken)) {
        response.remainingMs = ownedByOther ? 500 : 0;
        return response;
    }
    if (request.epoch == 0 || request.owner != m_owner || now >= m_ownerLeaseExpiry)
        m_lowestSequence = 0, ++m_fencingToken;
    m_lowestSequence = std::max(m_lowestSequence, request.settled);
    m_owner = request.owner;
    m_ownerLeaseExpiry = request.release ? now : now + Milliseconds(request.ownerLeaseMs);
    m_taskLeaseExpiry = now + Milliseconds(request.taskLeaseMs);
    for (const auto& lowest : request.floors)
        m_lowestFencingTokens[lowest.shard] = std::max(m_lowestFencingTokens[lowest.shard], lowest.epoch);
    for (const auto& id : request.forget)
        m_tasks.erase(id);
    response.granted = true;
    response.epoch = m_fencingToken;
    response.seen = m_lastReport;
    for (auto& [id, task] : m_tasks) {
        if (request.epoch == m_fencingToken && task.report <= request.seen)
            continue;
        response.changes.push_back({ id, std::string(taskStateName(task.state)), task.attempt.shardEpoch, task.attempt.size, task.attempt.size, {} });
    }
    for (const auto& [shard, fencingToken] : m_lowestFencingTokens)
        response.floors.push_back({ shard, fencingToken });
    return response;
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

void ModelVm::stop(const std::string& id, std::uint64_t fencingToken)
{
    const auto found = m_tasks.find(id);
    if (fencingToken == m_fencingToken && found != m_tasks.end() && !isFinal(found->second.state))
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
