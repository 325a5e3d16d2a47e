#include "CellLoad.h"

#include "heatherchute/Cell.h"

#include <algorithm>

namespace heatherchute {

void CellReading::begin(std::uint64_t headRevision)
{
    if (m_headRevision == headRevision)
        return;
    *this = {};
    m_headRevision = headRevision;
}

const std::string& CellReading::prefixOf(Listing listing)
{
    switch (listing) {
    case Listing::Submissions:
        return cell::submissionPrefix;
    case Listing::Progress:
        return cell::progressPrefix;
    case Listing::LogRecords:
        break;
    }
    return cell::stateLogPrefix;
}

void CellReading::addPage(Listing listing, platform::StorePage page)
{
    auto& position = m_positions[static_cast<std::size_t>(listing)];
    ++m_pages;
    m_bytes += page.bytes;
    position.isComplete = !page.hasMore;
    if (!page.items.empty())
        position.after = page.items.back().key;
    auto& values = listing == Listing::LogRecords ? m_records : m_state;
    for (auto& item : page.items)
        values[item.key] = std::move(item.value);
}

bool CellReading::isComplete() const
{
    return std::all_of(m_positions.begin(), m_positions.end(), [](const auto& position) { return position.isComplete; });
}

/// Failures after which the times of LoadDeadline no longer grow.
static constexpr unsigned maxGrowth = 3;

void LoadDeadline::begin(TimePoint now)
{
    m_elapsed = Duration(0);
    m_sinceLastPage = Duration(0);
    m_tickedAt = now;
}

void LoadDeadline::tick(bool isLeaseConfirmed, TimePoint now)
{
    /// A longer time between two ticks is a pause of the process.
    constexpr Milliseconds maxTick { 1000 };
    const auto passed = isLeaseConfirmed ? std::min<Duration>(now - m_tickedAt, maxTick) : Duration(0);
    m_elapsed += passed;
    m_sinceLastPage += passed;
    m_tickedAt = now;
}

bool LoadDeadline::isOverdue() const
{
    /// A daemon with 10 Mbit/s reads three of the largest pages at the same time in this time.
    constexpr Milliseconds maxPageTime { 5000 };
    /// A daemon with 2 Mbit/s loads a cell of 2,000 jobs in less than this time.
    constexpr Milliseconds maxLoadTime { 15'000 };
    const auto growth = 1U << std::min(m_failures, maxGrowth);
    return m_sinceLastPage > maxPageTime * growth || m_elapsed > maxLoadTime * growth;
}

Milliseconds LoadDeadline::onFailed()
{
    /// Longer than the claim delay of the least suitable daemon.
    constexpr Milliseconds firstPause { 3000 };
    return firstPause * (1U << std::min(m_failures++, maxGrowth));
}

double suitabilityOf(const DaemonCapacity& capacity)
{
    /// The owner of a cell of 350 VMs uses up to about 0.2 of a core.
    constexpr double sufficientShare = 0.25;
    /// Carries the state of 2,000 jobs in a quarter of a second, beside the commands to the VMs.
    constexpr double sufficientMbps = 50;
    const auto linkPart = capacity.linkMbps > 0 ? std::min(1.0, capacity.linkMbps / sufficientMbps) : 1.0;
    return capacity.processorShare / sufficientShare * linkPart;
}

Milliseconds claimDelayOf(const DaemonCapacity& capacity, double bestSuitability)
{
    /// Several claims of a suitable daemon, each with its jitter, fit into this time.
    constexpr double maxDelayMs = 600;
    const auto wanted = std::min(sufficientSuitability, bestSuitability);
    const auto missing = wanted > 0 ? 1 - suitabilityOf(capacity) / wanted : 0;
    return Milliseconds(std::llround(maxDelayMs * std::max(0.0, missing)));
}

bool isBetterOwner(const DaemonCapacity& other, const DaemonCapacity& owner, bool isOwnerLate)
{
    constexpr double minRatio = 2;
    constexpr double minRatioIfLate = 1.25;
    return suitabilityOf(other) >= (isOwnerLate ? minRatioIfLate : minRatio) * suitabilityOf(owner);
}

void LoopDelayMonitor::onTick(TimePoint now)
{
    /// Half of the interval of lease renewals: beyond it renewals are late as well.
    constexpr Milliseconds maxDelay { 150 };
    const bool isTickLate = m_tickedAt != TimePoint() && now - m_tickedAt > m_interval + maxDelay;
    m_lateTicks = isTickLate ? m_lateTicks + 1 : 0;
    m_tickedAt = now;
}

bool LoopDelayMonitor::isLate() const
{
    /// At least 1.7 s in a row.
    constexpr unsigned minLateTicks = 10;
    return m_lateTicks >= minLateTicks;
}

} // namespace heatherchute
