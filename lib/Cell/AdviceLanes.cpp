#include "heatherchute/AdviceLanes.h"

#include "heatherchute/AdviceQueue.h"

#include <algorithm>

namespace heatherchute::cell {

/// Requests with a longer processing time use only every other daemon, so that short requests, whose
/// callers have tighter deadlines, don't wait behind them.
static constexpr Milliseconds maxShortRequest { 150 };
/// Pause of a daemon after an overdue request, doubled with each further one.
static constexpr Milliseconds overduePause { 500 };
static constexpr unsigned maxOverdueDoublings = 4;

void AdviceLanes::setDaemons(const std::vector<std::uint64_t>& daemons)
{
    std::vector<Lane> lanes;
    lanes.reserve(daemons.size());
    for (const auto daemon : daemons) {
        const auto known = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& lane) { return lane.daemon == daemon; });
        lanes.push_back(known == m_lanes.end() ? Lane { daemon, {}, 0, 0, false } : *known);
        lanes.back().takesShortRequestsOnly = lanes.size() % 2 == 0;
    }
    m_lanes = std::move(lanes);
}

const AdviceLanes::Lane* AdviceLanes::leastBusyLane(Milliseconds cost, TimePoint now) const
{
    const Lane* best = nullptr;
    for (const auto& lane : m_lanes) {
        const bool isEligible = now + AdviceQueue::maxWait >= lane.busyUntil && (!lane.takesShortRequestsOnly || cost <= maxShortRequest);
        if (isEligible && (!best || lane.busyUntil < best->busyUntil))
            best = &lane;
    }
    return best;
}

std::optional<std::uint64_t> AdviceLanes::acquire(Milliseconds cost, TimePoint now)
{
    const auto* const best = leastBusyLane(cost, now);
    if (!best)
        return std::nullopt;
    auto& lane = m_lanes[static_cast<std::size_t>(best - m_lanes.data())];
    lane.busyUntil = std::max(lane.busyUntil, now) + cost;
    ++lane.pendingRequests;
    return lane.daemon;
}

AdviceLanes::Lane* AdviceLanes::find(std::uint64_t daemon)
{
    const auto lane = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& candidate) { return candidate.daemon == daemon; });
    return lane == m_lanes.end() ? nullptr : &*lane;
}

void AdviceLanes::release(std::uint64_t daemon, Milliseconds wait, TimePoint now)
{
    auto* const lane = find(daemon);
    if (!lane || lane->pendingRequests == 0)
        return;
    --lane->pendingRequests;
    onLateResponse(daemon, wait, now);
}

void AdviceLanes::onLateResponse(std::uint64_t daemon, Milliseconds wait, TimePoint now)
{
    auto* const lane = find(daemon);
    if (!lane)
        return;
    lane->overdueRequests = 0;
    // The daemon may not have received the pending requests yet.
    lane->busyUntil = lane->pendingRequests == 0 ? now + wait : std::max(lane->busyUntil, now + wait);
}

void AdviceLanes::onOverdue(std::uint64_t daemon, TimePoint now)
{
    auto* const lane = find(daemon);
    if (!lane || lane->pendingRequests == 0)
        return;
    --lane->pendingRequests;
    const auto pause = overduePause * (1U << std::min(lane->overdueRequests++, maxOverdueDoublings));
    lane->busyUntil = std::max(lane->busyUntil, now + AdviceQueue::maxWait + pause);
}

} // namespace heatherchute::cell
