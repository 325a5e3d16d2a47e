#include "World.h"

namespace heatherchute {

void ModelVm::end(Task& task, TaskState state)
{
    task.state = state;
    task.report = ++m_report;
}

void ModelVm::tick(TimePoint now)
{
    for (auto& [id, task] : m_tasks) {
        if (isFinal(task.state))
            continue;
        if (now >= m_tasksUntil)
            end(task, TaskState::Stopped);
        else if (now >= task.endsAt)
            end(task, TaskState::Succeeded);
    }
}

OwnerLeaseAnswer ModelVm::lease(const OwnerLeaseAsk& ask, TimePoint now)
{
    tick(now);
    OwnerLeaseAnswer answer;
    answer.boot = std::to_string(m_boot);
    const bool heldByOther = now < m_ownedUntil && m_owner != ask.owner;
    if (heldByOther || (ask.epoch != 0 && ask.epoch != m_epoch)) {
        answer.remainingMs = heldByOther ? 500 : 0;
        return answer;
    }
    if (ask.epoch == 0 || ask.owner != m_owner || now >= m_ownedUntil)
        m_settled = 0, ++m_epoch;
    m_settled = std::max(m_settled, ask.settled);
    m_owner = ask.owner;
    m_ownedUntil = ask.release ? now : now + Milliseconds(ask.ownerLeaseMs);
    m_tasksUntil = now + Milliseconds(ask.taskLeaseMs);
    for (const auto& floor : ask.floors)
        m_floors[floor.shard] = std::max(m_floors[floor.shard], floor.epoch);
    for (const auto& id : ask.forget)
        m_tasks.erase(id);
    answer.granted = true;
    answer.epoch = m_epoch;
    answer.seen = m_report;
    for (auto& [id, task] : m_tasks) {
        if (ask.epoch == m_epoch && task.report <= ask.seen)
            continue;
        answer.changes.push_back({ id, std::string(taskStateName(task.state)), task.attempt.shardEpoch, task.attempt.size, task.attempt.size, {} });
    }
    for (const auto& [shard, epoch] : m_floors)
        answer.floors.push_back({ shard, epoch });
    return answer;
}

ErrorKind ModelVm::start(const TaskStart& start, TimePoint now, Milliseconds runTime)
{
    tick(now);
    const auto& attempt = start.task;
    if (m_tasks.contains(attempt.id))
        return ErrorKind::None;
    const bool isStale = start.boot != std::to_string(m_boot) || start.ownerEpoch != m_epoch || now >= m_ownedUntil || start.sequence < m_settled || attempt.shardEpoch < m_floors[attempt.shard];
    if (isStale && !m_ignoresEpochs)
        return ErrorKind::Fenced;
    m_floors[attempt.shard] = std::max(m_floors[attempt.shard], attempt.shardEpoch);
    m_tasks[attempt.id] = { attempt, TaskState::Running, now + runTime, ++m_report };
    m_tasksUntil = std::max(m_tasksUntil, now + Milliseconds(start.taskLeaseMs));
    return ErrorKind::None;
}

void ModelVm::stop(const std::string& id, std::uint64_t epoch)
{
    const auto found = m_tasks.find(id);
    if (epoch == m_epoch && found != m_tasks.end() && !isFinal(found->second.state))
        end(found->second, TaskState::Stopped);
}

void ModelVm::restart()
{
    m_tasks.clear();
    m_floors.clear();
    m_owner.clear();
    m_epoch = 0;
    m_ownedUntil = {};
    m_report = 0;
    ++m_boot;
}

} // namespace heatherchute
