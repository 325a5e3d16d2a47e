#include "heatherchute/AdviceLanes.h"

#include <algorithm>

namespace heatherchute::cell {

/// Calls that take longer keep to every other daemon, so that short ones, whose callers wait for
/// less, need not stand behind them.
static constexpr Milliseconds shortCall { 150 };
/// An ask that would wait longer is not made yet: tickets last about four times as long, and by its
/// answer other VMs would have room.
static constexpr Milliseconds longestWait { 400 };

void AdviceLanes::setDaemons(const std::vector<std::uint64_t>& daemons)
{
    std::vector<Lane> lanes;
    lanes.reserve(daemons.size());
    for (const auto daemon : daemons) {
        const auto known = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& lane) { return lane.daemon == daemon; });
        lanes.push_back(known == m_lanes.end() ? Lane { daemon, {}, 0, false } : *known);
        lanes.back().isShort = lanes.size() % 2 == 0;
    }
    m_lanes = std::move(lanes);
}

const AdviceLanes::Lane* AdviceLanes::bestFor(Milliseconds cost, TimePoint now) const
{
    const Lane* best = nullptr;
    for (const auto& lane : m_lanes) {
        const bool isOpen = now + longestWait >= lane.until && (!lane.isShort || cost <= shortCall);
        if (isOpen && (!best || lane.until < best->until))
            best = &lane;
    }
    return best;
}

std::optional<std::uint64_t> AdviceLanes::take(Milliseconds cost, TimePoint now)
{
    const auto* const best = bestFor(cost, now);
    if (!best)
        return std::nullopt;
    auto& lane = m_lanes[static_cast<std::size_t>(best - m_lanes.data())];
    lane.until = std::max(lane.until, now) + cost;
    ++lane.calls;
    return lane.daemon;
}

void AdviceLanes::giveBack(std::uint64_t daemon, TimePoint now)
{
    const auto lane = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& candidate) { return candidate.daemon == daemon; });
    if (lane == m_lanes.end() || lane->calls == 0)
        return;
    if (--lane->calls == 0)
        lane->until = std::min(lane->until, now);
}

} // namespace heatherchute::cell
