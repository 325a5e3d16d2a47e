#include "Core.h"

namespace heatherchute {

/// Link id that denotes this daemon itself.
static constexpr LinkId thisDaemon = 0;

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

void NodeCore::run(const cell::AskAdvice& request)
{
    /// Added to the service's own time for the network delay and for requests queued before this one.
    constexpr Milliseconds adviceSlack { 1900 };
    const auto time = Clock::now();
    const auto timeout = request.cost + adviceSlack;
    const auto id = m_nextAdviceRequest++;
    m_adviceRequests.emplace(id, PendingAdviceRequest { request, time, time + timeout + Milliseconds(100) });
    m_metrics.count("orders", "advice");
    if (request.daemon == thisDaemon)
        requestAdvice(id, cell::stepText(request.step), request.vms, timeout, thisDaemon);
    else
        m_components.links->send(request.daemon, AdviceRequest { id, cell::stepText(request.step), request.vms, static_cast<std::uint64_t>(timeout.count()) });
}

void NodeCore::updateAdvisers()
{
    if (!m_scheduler)
        return;
    std::vector<std::uint64_t> daemons { thisDaemon };
    for (const auto& [link, peer] : m_peers) {
        if (peer.isOpen && !peer.hello.daemon.empty())
            daemons.push_back(link);
    }
    m_scheduler->setAdvisers(daemons);
}

void NodeCore::requestAdvice(std::uint64_t id, const std::string& step, const std::vector<std::string>& vms, Milliseconds timeout, LinkId replyTo)
{
    m_components.outbound->runFiber([this, id, step, vms, timeout, replyTo] {
        auto result = platform::askAdvice(m_components.outbound->http(), m_settings.advice, step, vms, timeout);
        AdviceResponse response { id, result.outcome == platform::AdviceOutcome::Answered, {}, static_cast<std::uint64_t>(std::max<std::int64_t>(0, result.validity.count())) };
        for (auto& ticket : result.allowed)
            response.allowed.emplace_back(std::move(ticket.vm), std::move(ticket.ticket));
        if (!response.answered)
            logEvent(LogLevel::Warning, "advice_missing", { { "step", step }, { "busy", result.outcome == platform::AdviceOutcome::Busy } });
        m_components.outbound->postToCore([this, replyTo, response = std::move(response)] {
            if (replyTo == thisDaemon)
                onAdviceResponse(response);
            else
                m_components.links->send(replyTo, response);
        });
    });
}

void NodeCore::onAdviceResponse(const AdviceResponse& response)
{
    const auto found = m_adviceRequests.find(response.id);
    if (found == m_adviceRequests.end() || !m_scheduler)
        return;
    const auto& pending = found->second;
    cell::AdviceAnswer answer { pending.request.daemon, pending.request.step, pending.request.vms, std::nullopt, Milliseconds(response.validityMs), pending.sentAt };
    if (response.answered)
        answer.allowed = response.allowed;
    m_adviceRequests.erase(found);
    m_scheduler->onAdvice(answer, now());
    schedulePass();
}

void NodeCore::expireAdviceRequests()
{
    const auto time = Clock::now();
    for (auto it = m_adviceRequests.begin(); it != m_adviceRequests.end();) {
        if (time < it->second.deadline) {
            ++it;
            continue;
        }
        const cell::AdviceAnswer answer { it->second.request.daemon, it->second.request.step, it->second.request.vms, std::nullopt, Milliseconds(0), it->second.sentAt };
        it = m_adviceRequests.erase(it);
        if (m_scheduler)
            m_scheduler->onAdvice(answer, now());
    }
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
