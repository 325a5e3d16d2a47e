#include "heatherchute/Cell.h"

#include <limits>

namespace heatherchute::cell {

/// Retains the rows of `before` that `after` lacks and that are still in use; drops the retained rows that
/// `after` has, or that are no longer in use.
template <typename Row>
static void retainRows(std::map<std::string, RetainedRow<Row>>& retained, std::uint64_t versionBefore, const std::vector<Row>& before, const std::vector<Row>& after, const std::set<std::string>& inUse)
{
    for (const auto& row : before)
        retained.insert_or_assign(row.name, RetainedRow<Row> { versionBefore, row });
    for (const auto& row : after)
        retained.erase(row.name);
    std::erase_if(retained, [&](const auto& entry) { return !inUse.contains(entry.first); });
}

void CellDesk::setPolicy(CellPolicyPointer policy)
{
    std::set<std::string> queues;
    std::set<std::string> teams;
    for (const auto& [id, job] : m_activeJobs) {
        queues.insert(job->queue);
        teams.insert(job->team);
    }
    static const CellPolicy none;
    const auto& before = m_policy ? *m_policy : none;
    retainRows(m_retainedQueues, before.version, before.queues, policy->queues, queues);
    retainRows(m_retainedTeams, before.version, before.teams, policy->teams, teams);
    m_policy = std::move(policy);
    ++m_policyNumber;
}

const QueuePolicy* CellDesk::lastKnownQueue(const std::string& name) const
{
    if (const auto* const queue = findQueue(name))
        return queue;
    const auto retained = m_retainedQueues.find(name);
    return retained == m_retainedQueues.end() ? nullptr : &retained->second.row;
}

const TeamPolicy* CellDesk::lastKnownTeam(const std::string& name) const
{
    if (const auto* const team = m_policy ? m_policy->findTeam(name) : nullptr)
        return team;
    const auto retained = m_retainedTeams.find(name);
    return retained == m_retainedTeams.end() ? nullptr : &retained->second.row;
}

const QueuePolicy* CellDesk::policyOf(Job& job) const
{
    if (std::exchange(job.policyNumber, m_policyNumber) != m_policyNumber)
        job.policy = lastKnownQueue(job.queue);
    return job.policy;
}

std::uint32_t CellDesk::maxAttempts(const Job& job) const
{
    // A job whose limit is unknown must not fail for good.
    const auto* const queue = lastKnownQueue(job.queue);
    return queue ? queue->maxAttempts : std::numeric_limits<std::uint32_t>::max();
}

Room CellDesk::quotaLeft(const std::string& teamName) const
{
    constexpr auto unlimited = std::numeric_limits<std::int64_t>::max();
    const auto* const team = lastKnownTeam(teamName);
    if (!team)
        return { unlimited, unlimited, unlimited };
    const auto found = m_teamUsage.find(teamName);
    const auto used = found == m_teamUsage.end() ? Room() : found->second;
    const auto left = [](std::int64_t limit, std::int64_t inUse) { return limit == 0 ? unlimited : limit - inUse; };
    return { left(team->upperLimit.cpuMilli, used.cpuMilli), left(team->upperLimit.memoryMb, used.memoryMb), left(team->upperLimit.accelerators, used.accelerators) };
}

Json CellDesk::encodeAcceptancePolicy(const Job& job) const
{
    Json row { { "version", m_policy ? m_policy->version : 0 } };
    if (const auto* const queue = lastKnownQueue(job.queue)) {
        row["queue"] = { { "service", queue->service }, { "priority", queue->priority }, { "max_attempts", queue->maxAttempts }, { "stretch", queue->stretch }, { "target_ms", queue->target.count() } };
        if (queue->advice)
            row["advice"] = { { "base_ms", queue->advice->base.count() }, { "per_vm_ms", queue->advice->perVmMs }, { "validity_ms", queue->advice->validity.count() } };
    }
    if (const auto* const team = lastKnownTeam(job.team))
        row["team"] = { { "weight", team->weight }, { "upper_limit", team->upperLimit } };
    return row;
}

static QueuePolicy decodeQueue(const std::string& name, const Json& row)
{
    const auto& fields = row.at("queue");
    QueuePolicy queue;
    queue.name = name;
    queue.service = fields.at("service");
    queue.priority = fields.at("priority");
    queue.maxAttempts = fields.at("max_attempts");
    queue.stretch = fields.at("stretch");
    queue.target = Milliseconds(fields.at("target_ms").get<std::int64_t>());
    if (const auto advice = row.find("advice"); advice != row.end())
        queue.advice = AdvicePolicy { Milliseconds(advice->at("base_ms").get<std::int64_t>()), advice->at("per_vm_ms"), Milliseconds(advice->at("validity_ms").get<std::int64_t>()) };
    return queue;
}

/// Retains a row unless a newer one is.
template <typename Row>
static void retainNewest(std::map<std::string, RetainedRow<Row>>& retained, std::uint64_t version, Row row)
{
    auto& known = retained[row.name];
    if (known.version <= version)
        known = { version, std::move(row) };
}

void CellDesk::restoreAcceptancePolicy(const Job& job, const Json& row)
{
    const auto version = row.at("version").get<std::uint64_t>();
    if (row.contains("queue") && !findQueue(job.queue))
        retainNewest(m_retainedQueues, version, decodeQueue(job.queue, row));
    if (!row.contains("team") || (m_policy && m_policy->findTeam(job.team)))
        return;
    const auto& fields = row.at("team");
    retainNewest(m_retainedTeams, version, TeamPolicy { job.team, {}, fields.at("weight"), fields.at("upper_limit").get<Room>() });
}

} // namespace heatherchute::cell
