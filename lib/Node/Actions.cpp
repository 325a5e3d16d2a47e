#include "Core.h"

namespace heatherchute {

void NodeCore::runSchedulerActions()
{
    for (const auto& action : m_scheduler->takeActions()) {
        std::visit([this](const auto& typed) { run(typed); }, action);
        // The action may have ended the ownership and destroyed the scheduler.
        if (!m_scheduler)
            return;
    }
    sendDelegatedCommands();
}

void NodeCore::run(const cell::AnswerCall& result)
{
    const auto found = m_requestOrigins.find(result.call);
    if (found == m_requestOrigins.end())
        return;
    const auto origin = found->second;
    m_requestOrigins.erase(found);
    OwnerResponse reply;
    reply.error = result.error;
    reply.retryAfter = static_cast<std::uint64_t>(result.retryAfter.count());
    respondTo(origin, reply);
}

void NodeCore::run(const cell::Decision& decision)
{
    logEvent(LogLevel::Info, decision.event, decision.fields);
}

void NodeCore::run(const cell::LostOwnership& lost)
{
    m_election.depose("VM " + lost.vm + " has accepted a higher fencing token", Clock::now());
    runElection();
}

} // namespace heatherchute
