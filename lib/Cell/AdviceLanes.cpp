#include "heatherchute/AdviceLanes.h"

#include <algorithm>

namespace heatherchute::cell {

/// Requests with a longer processing time use only every other daemon, so that short requests, whose
/// callers have tighter deadlines, don't wait behind them.
static constexpr Milliseconds maxShortRequest { 150 };
/// A request that would wait longer is deferred. Tickets last about four times as long, and by the
/// time of the response other VMs would have free capacity.
static constexpr Milliseconds maxWait { 400 };

void AdviceLanes::setDaemons(const std::vector<std::uint64_t>& daemons)
{
    std::vector<Lane> lanes;
    lanes.reserve(daemons.size());
    for (const auto daemon : daemons) {
        const auto known = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& lane) { return lane.daemon == daemon; });
        lanes.push_back(known == m_lanes.end() ? Lane { daemon, {}, 0, false } : *known);
        lanes.back().takesShortRequestsOnly = lanes.size() % 2 == 0;
    }
    m_lanes = std::move(lanes);
}

const AdviceLanes::Lane* AdviceLanes::leastBusyLane(Milliseconds cost, TimePoint now) const
{
    const Lane* best = nullptr;
    for (const auto& lane : m_lanes) {
        const bool isEligible = now + maxWait >= lane.busyUntil && (!lane.takesShortRequestsOnly || cost <= maxShortRequest);
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

void AdviceLanes::release(std::uint64_t daemon, TimePoint now)
{
    const auto lane = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& candidate) { return candidate.daemon == daemon; });
    if (lane == m_lanes.end() || lane->pendingRequests == 0)
        return;
    if (--lane->pendingRequests == 0)
        lane->busyUntil = std::min(lane->busyUntil, now);
}

} // namespace heatherchute::cell
