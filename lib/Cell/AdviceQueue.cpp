#include "heatherchute/AdviceQueue.h"

#include <algorithm>

namespace heatherchute::cell {

/// A response that is so much later than expected shows that the queue is longer than known, or that the
/// service does not respond.
static constexpr Milliseconds overdueAfter { 1000 };
/// Time between two probes, doubled with each that gets no response. A probe adds to a queue that is perhaps
/// long already.
static constexpr Milliseconds probeInterval { 1000 };
static constexpr unsigned maxProbeDoublings = 2;
/// The service rejects requests beyond this number.
static constexpr std::size_t maxRequests = 32;

bool AdviceQueue::isLengthKnown(TimePoint now) const
{
    return !m_isUnknown && (m_requests.empty() || now < m_requests.front().expectedEnd + overdueAfter);
}

bool AdviceQueue::canSend(TimePoint now) const
{
    if (!isLengthKnown(now))
        return now >= m_nextProbeAt;
    return m_requests.size() < maxRequests && waitOf(now) <= maxWait;
}

Milliseconds AdviceQueue::waitOf(TimePoint now) const
{
    const auto until = [now](TimePoint time) { return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(time - now)); };
    if (!isLengthKnown(now))
        return until(m_nextProbeAt + maxWait);
    if (m_requests.size() >= maxRequests)
        return until(m_requests.front().expectedEnd + maxWait);
    return m_requests.empty() ? Milliseconds(0) : until(m_requests.back().expectedEnd);
}

AdviceQueue::RequestId AdviceQueue::send(Milliseconds cost, TimePoint now)
{
    if (!isLengthKnown(now))
        forgetLength(now);
    const auto begin = m_requests.empty() ? now : std::max(now, m_requests.back().expectedEnd);
    m_requests.push_back({ m_nextId, cost, begin + cost });
    if (m_requests.size() > maxRequests)
        m_requests.pop_front();
    return m_nextId++;
}

void AdviceQueue::forgetLength(TimePoint now)
{
    m_isUnknown = true;
    m_nextProbeAt = now + probeInterval * (1U << std::min(m_probesWithoutResponse, maxProbeDoublings));
    ++m_probesWithoutResponse;
}

void AdviceQueue::onResponse(RequestId id, TimePoint now)
{
    std::erase_if(m_requests, [id](const Request& request) { return request.id <= id; });
    m_isUnknown = false;
    m_probesWithoutResponse = 0;
    m_nextProbeAt = TimePoint();
    auto end = now;
    for (auto& request : m_requests)
        end = request.expectedEnd = end + request.cost;
}

void AdviceQueue::onFailure(RequestId id, TimePoint now)
{
    const auto isCurrent = std::any_of(m_requests.begin(), m_requests.end(), [id](const Request& request) { return request.id == id; });
    // A response to a later request has shown that this one is no longer in the queue.
    if (isCurrent && !m_isUnknown)
        forgetLength(now);
}

void AdviceQueue::onNotSent(RequestId id)
{
    std::erase_if(m_requests, [id](const Request& request) { return request.id == id; });
}

void AdviceQueue::onRejected(RequestId id, TimePoint now)
{
    std::erase_if(m_requests, [id](const Request& request) { return request.id == id; });
    if (!m_isUnknown)
        forgetLength(now);
}

} // namespace heatherchute::cell
