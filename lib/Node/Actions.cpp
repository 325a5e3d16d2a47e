#include "Core.h"

namespace heatherchute {

void NodeCore::runDesk()
{
    for (const auto& action : m_desk->takeActions()) {
        std::visit([this](const auto& typed) { run(typed); }, action);
        // An answer may have shown that the ownership is over.
        if (!m_desk)
            return;
    }
}

void NodeCore::run(const cell::StartRun& start)
{
    m_metrics.count("orders", "start");
    platform::StartOrder order { start.address, start.vm, start.task, start.run, start.spec->payload, start.deadlineMs, m_election.fencingToken(), start.checkpoint, start.ticket };
    m_ports.outbound->run([this, over = m_tenureOver, order = std::move(order)] {
        if (over->load())
            return;
        const auto result = m_ports.outbound->vms().start(order);
        m_ports.outbound->report([this, over, vm = order.vm, task = order.task, run = order.run, answer = result.answer] {
            if (over->load() || !m_desk)
                return;
            m_metrics.count("starts", std::string(cell::startAnswerName(answer)));
            if (const auto* const job = m_desk->findJob(task.job); job && answer == cell::StartAnswer::Started)
                m_metrics.observe(Measure::Waiting, job->queue, job->team, Clock::now() - job->acceptedAt);
            m_desk->onStart(vm, task, run, answer, now());
            schedulePump();
        });
    });
}

void NodeCore::run(const cell::StopRun& stop)
{
    m_metrics.count("orders", "stop");
    platform::StopOrder order { stop.address, stop.vm, stop.task, stop.run, m_election.fencingToken() };
    m_ports.outbound->run([this, over = m_tenureOver, order = std::move(order)] {
        if (over->load())
            return;
        const auto outcome = m_ports.outbound->vms().stop(order);
        m_ports.outbound->report([this, over, order, outcome] {
            if (over->load() || !m_desk)
                return;
            logEvent(LogLevel::Info, "stop_answered", { { "task", cell::taskText(order.task) }, { "run", order.run }, { "vm", order.vm }, { "outcome", platform::orderOutcomeName(outcome) } });
            // Another life of the VM does not have the run, and takes no stop for it.
            const bool isAnswered = outcome == platform::OrderOutcome::Done || outcome == platform::OrderOutcome::Refused || outcome == platform::OrderOutcome::WrongVm;
            m_desk->onStop(order.vm, order.task, order.run, isAnswered, outcome == platform::OrderOutcome::Fenced, now());
            schedulePump();
        });
    });
}

void NodeCore::run(const cell::BeatVm& beat)
{
    m_metrics.count("orders", "heartbeat");
    platform::HeartbeatOrder order { beat.address, beat.vm, beat.deadlineMs, m_election.fencingToken(), beat.acknowledged, beat.wait };
    m_ports.outbound->run([this, over = m_tenureOver, order = std::move(order)] {
        if (over->load())
            return;
        cell::BeatAnswer answer { order.vm, Clock::now(), false, std::nullopt };
        auto result = m_ports.outbound->vms().heartbeat(order);
        answer.fenced = result.outcome == platform::OrderOutcome::Fenced;
        if (result.outcome == platform::OrderOutcome::Done)
            answer.state = std::move(result.state);
        m_ports.outbound->report([this, over, answer = std::move(answer)] {
            if (over->load() || !m_desk)
                return;
            m_desk->onBeat(answer, now());
            schedulePump();
        });
    });
}

void NodeCore::run(const cell::AskAdvice& ask)
{
    /// Calls that take longer are kept apart from the others.
    constexpr Milliseconds longAdvice { 150 };
    /// Beyond the service's own time: the ways, and the calls that it has before.
    constexpr Milliseconds adviceSlack { 1500 };
    // The service takes the calls of each daemon one at a time, so the least busy one asks.
    const auto time = Clock::now();
    LinkId chosen = 0;
    auto* until = &m_ownAdviceUntil;
    const bool isLong = ask.cost > longAdvice;
    std::size_t asked = 1;
    for (auto& [link, peer] : m_peers) {
        if (!peer.isOpen || peer.hello.daemon.empty())
            continue;
        // Long calls keep to every other daemon, so that short ones need not wait behind them.
        if (isLong && ++asked % 2 == 0)
            continue;
        if (peer.adviceUntil < *until) {
            chosen = link;
            until = &peer.adviceUntil;
        }
    }
    *until = std::max(*until, time) + ask.cost;
    const auto timeout = std::chrono::duration_cast<Milliseconds>(*until - time) + adviceSlack;
    const auto id = m_nextAdvice++;
    m_advice.emplace(id, PendingAdvice { ask, chosen, time, time + timeout + Milliseconds(100) });
    m_metrics.count("orders", "advice");
    if (chosen == 0)
        askHere(id, cell::stepText(ask.step), ask.vms, timeout, 0);
    else
        m_ports.links->send(chosen, AdviceOrder { id, cell::stepText(ask.step), ask.vms, static_cast<std::uint64_t>(timeout.count()) });
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
            if (replyTo == 0)
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
    cell::AdviceAnswer answer { pending.ask.step, pending.ask.vms, std::nullopt, Milliseconds(report.validityMs), pending.sentAt };
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
        const cell::AdviceAnswer answer { it->second.ask.step, it->second.ask.vms, std::nullopt, Milliseconds(0), it->second.sentAt };
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
