#include "Core.h"

namespace heatherchute {

/// Stands among the links for asks that this daemon makes itself.
static constexpr LinkId thisDaemon = 0;

void NodeCore::runDesk()
{
    for (const auto& action : m_desk->takeActions()) {
        std::visit([this](const auto& typed) { run(typed); }, action);
        // An answer may have shown that the ownership is over.
        if (!m_desk)
            return;
    }
    sendOrders();
}

void NodeCore::run(const cell::AskAdvice& ask)
{
    /// Beyond the service's own time: the ways, and the calls that it has before.
    constexpr Milliseconds adviceSlack { 1900 };
    const auto time = Clock::now();
    const auto timeout = ask.cost + adviceSlack;
    const auto id = m_nextAdvice++;
    m_advice.emplace(id, PendingAdvice { ask, time, time + timeout + Milliseconds(100) });
    m_metrics.count("orders", "advice");
    if (ask.daemon == thisDaemon)
        askHere(id, cell::stepText(ask.step), ask.vms, timeout, thisDaemon);
    else
        m_ports.links->send(ask.daemon, AdviceOrder { id, cell::stepText(ask.step), ask.vms, static_cast<std::uint64_t>(timeout.count()) });
}

void NodeCore::nameAdvisers()
{
    if (!m_desk)
        return;
    std::vector<std::uint64_t> daemons { thisDaemon };
    for (const auto& [link, peer] : m_peers) {
        if (peer.isOpen && !peer.hello.daemon.empty())
            daemons.push_back(link);
    }
    m_desk->setAdvisers(daemons);
}

void NodeCore::askHere(std::uint64_t id, const std::string& step, const std::vector<std::string>& vms, Milliseconds timeout, LinkId replyTo)
{
    m_ports.outbound->run([this, id, step, vms, timeout, replyTo] {
        auto result = platform::askAdvice(m_ports.outbound->http(), m_settings.advice, step, vms, timeout);
        AdviceReport report { id, result.outcome == platform::AdviceOutcome::Answered, {}, static_cast<std::uint64_t>(std::max<std::int64_t>(0, result.validity.count())) };
        for (auto& ticket : result.allowed)
            report.allowed.emplace_back(std::move(ticket.vm), std::move(ticket.ticket));
        if (!report.answered)
            logEvent(LogLevel::Warning, "advice_missing", { { "step", step }, { "busy", result.outcome == platform::AdviceOutcome::Busy } });
        m_ports.outbound->report([this, replyTo, report = std::move(report)] {
            if (replyTo == thisDaemon)
                onAdvice(report);
            else
                m_ports.links->send(replyTo, report);
        });
    });
}

void NodeCore::onAdvice(const AdviceReport& report)
{
    const auto found = m_advice.find(report.id);
    if (found == m_advice.end() || !m_desk)
        return;
    const auto& pending = found->second;
    cell::AdviceAnswer answer { pending.ask.daemon, pending.ask.step, pending.ask.vms, std::nullopt, Milliseconds(report.validityMs), pending.sentAt };
    if (report.answered)
        answer.allowed = report.allowed;
    m_advice.erase(found);
    m_desk->onAdvice(answer, now());
    schedulePump();
}

void NodeCore::expireAdvice()
{
    const auto time = Clock::now();
    for (auto it = m_advice.begin(); it != m_advice.end();) {
        if (time < it->second.deadline) {
            ++it;
            continue;
        }
        const cell::AdviceAnswer answer { it->second.ask.daemon, it->second.ask.step, it->second.ask.vms, std::nullopt, Milliseconds(0), it->second.sentAt };
        it = m_advice.erase(it);
        if (m_desk)
            m_desk->onAdvice(answer, now());
    }
}

void NodeCore::run(const cell::AnswerCall& answered)
{
    const auto found = m_origins.find(answered.call);
    if (found == m_origins.end())
        return;
    const auto origin = found->second;
    m_origins.erase(found);
    OwnerAnswer answer;
    answer.error = answered.error;
    answer.retryAfter = static_cast<std::uint64_t>(answered.retryAfter.count());
    replyTo(origin, answer);
}

void NodeCore::run(const cell::Decision& decision)
{
    logEvent(LogLevel::Info, decision.event, decision.fields);
}

void NodeCore::run(const cell::LostOwnership& lost)
{
    m_election.depose("VM " + lost.vm + " has seen a higher fencing token", Clock::now());
    runElection();
}

} // namespace heatherchute
