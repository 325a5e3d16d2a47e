#include "Core.h"

namespace heatherchute {

/// Link id that denotes this daemon itself.
static constexpr LinkId thisDaemon = 0;

void NodeCore::run(const cell::AskAdvice& request)
{
    /// Added to the service's own time for the network delay and for requests queued before this one.
    constexpr Milliseconds adviceSlack { 1900 };
    const auto time = Clock::now();
    const auto timeout = request.cost + adviceSlack;
    const auto id = m_nextAdviceRequest++;
    m_adviceRequests.emplace(id, PendingAdviceRequest { request, time, time + timeout + Milliseconds(100) });
    m_metrics.count("orders", "advice");
    const AdviceRequest message { id, cell::stepText(request.step), request.vms, static_cast<std::uint64_t>(timeout.count()), static_cast<std::uint64_t>(request.cost.count()) };
    if (request.daemon == thisDaemon)
        requestAdvice(message, thisDaemon);
    else
        m_components.links->send(request.daemon, message);
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

void NodeCore::requestAdvice(const AdviceRequest& request, LinkId requester)
{
    /// A late response still tells how long the queue at the service is, and its tickets are valid. The longest
    /// queue of the service takes about this long.
    constexpr Milliseconds responseTimeout { 30'000 };
    AdviceResponse response { request.id, false, {}, 0, false, 0, request.step, request.vms };
    const auto time = Clock::now();
    if (!m_adviceQueue.canSend(time)) {
        m_metrics.count("advice", "deferred");
        response.isBusy = true;
        return sendAdvice(std::move(response), requester);
    }
    const auto number = m_adviceQueue.send(Milliseconds(request.costMs > 0 ? request.costMs : request.timeoutMs), time);
    HttpCallOptions options;
    options.timeout = responseTimeout;
    options.sendTimeout = Milliseconds(request.timeoutMs);
    m_components.outbound->runFiber([this, options, requester, number, response = std::move(response)]() mutable {
        auto result = platform::askAdvice(m_components.outbound->http(), m_settings.advice, response.step, response.vms, options);
        response.answered = result.outcome == platform::AdviceOutcome::Answered;
        response.validityMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, result.validity.count()));
        for (auto& ticket : result.allowed)
            response.allowed.emplace_back(std::move(ticket.vm), std::move(ticket.ticket));
        m_components.outbound->postToCore([this, requester, number, outcome = result.outcome, response = std::move(response)]() mutable {
            onAdviceOutcome(number, outcome);
            if (!response.answered)
                logEvent(LogLevel::Warning, "advice_missing", { { "step", response.step }, { "why", platform::adviceOutcomeName(outcome) } });
            sendAdvice(std::move(response), requester);
        });
    });
}

void NodeCore::onAdviceOutcome(cell::AdviceQueue::RequestId number, platform::AdviceOutcome outcome)
{
    const auto time = Clock::now();
    const bool wasKnown = m_adviceQueue.isLengthKnown(time);
    m_metrics.count("advice", std::string(platform::adviceOutcomeName(outcome)));
    switch (outcome) {
    case platform::AdviceOutcome::Answered:
        m_adviceQueue.onResponse(number, time);
        break;
    case platform::AdviceOutcome::Busy:
        m_adviceQueue.onRejected(number, time);
        break;
    case platform::AdviceOutcome::NotSent:
        m_adviceQueue.onNotSent(number);
        break;
    case platform::AdviceOutcome::Failed:
        m_adviceQueue.onFailure(number, time);
        break;
    }
    const bool isKnown = m_adviceQueue.isLengthKnown(time);
    if (wasKnown != isKnown)
        logEvent(LogLevel::Info, isKnown ? "advice_queue_known" : "advice_queue_unknown", { { "outcome", platform::adviceOutcomeName(outcome) }, { "wait_ms", m_adviceQueue.waitOf(time).count() } });
}

void NodeCore::sendAdvice(AdviceResponse response, LinkId requester)
{
    response.waitMs = static_cast<std::uint64_t>(m_adviceQueue.waitOf(Clock::now()).count());
    const auto peer = m_peers.find(requester);
    const bool isRequesterOwner = requester == thisDaemon ? m_scheduler != nullptr : peer != m_peers.end() && peer->second.hello.ownsCell;
    const auto owner = isRequesterOwner || m_scheduler ? thisDaemon : ownerLink();
    if (!isRequesterOwner && (m_scheduler || owner != 0)) {
        response.id = 0;
        requester = owner;
    }
    if (requester == thisDaemon)
        onAdviceResponse(response, thisDaemon);
    else
        m_components.links->send(requester, response);
}

void NodeCore::onAdviceResponse(const AdviceResponse& response, LinkId from)
{
    if (!m_scheduler)
        return;
    cell::AdviceAnswer answer;
    answer.daemon = from;
    answer.validity = Milliseconds(response.validityMs);
    answer.wait = Milliseconds(response.waitMs);
    answer.allowed = response.allowed;
    if (!response.answered)
        answer.result = response.isBusy ? cell::AdviceResult::Busy : cell::AdviceResult::Failed;
    if (const auto found = m_adviceRequests.find(response.id); found != m_adviceRequests.end()) {
        const auto& pending = found->second;
        answer.step = pending.request.step;
        answer.asked = pending.request.vms;
        answer.sentAt = pending.sentAt;
        answer.request = pending.request.request;
        m_adviceRequests.erase(found);
    } else {
        // The request is overdue, or an earlier owner sent it.
        auto step = cell::parseTaskId(response.step + ".0");
        if (!step)
            return;
        answer.step = std::move(*step);
        answer.asked = response.vms;
        answer.sentAt = Clock::now();
    }
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
        const auto& request = it->second.request;
        const cell::AdviceAnswer answer { request.daemon, request.step, request.vms, {}, Milliseconds(0), it->second.sentAt, cell::AdviceResult::Overdue, request.request };
        it = m_adviceRequests.erase(it);
        m_metrics.count("advice", "overdue");
        if (m_scheduler)
            m_scheduler->onAdvice(answer, now());
    }
}

} // namespace heatherchute
