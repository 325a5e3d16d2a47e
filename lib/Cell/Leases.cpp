#include "heatherchute/Cell.h"

namespace heatherchute::cell {

/// A VM's clock may be 2% slow.
static Milliseconds onSlowClock(Milliseconds lease)
{
    constexpr std::int64_t slowClockPercent = 103;
    return lease * slowClockPercent / 100;
}

/// Time by which a lease that a VM grants now has expired. The VM's clock is ahead of its last known reading by
/// the one-way network latency.
static TimePoint expiryOf(Milliseconds lease, TimePoint now)
{
    constexpr Milliseconds clockSlack { 300 };
    return now + onSlowClock(lease) + clockSlack;
}

Milliseconds inheritedLease(const LeaseLimits& limits)
{
    constexpr Milliseconds clockSlack { 400 };
    return limits.delivery + onSlowClock(limits.longestLease) + clockSlack;
}

void LeaseBounds::inherit(TimePoint end)
{
    m_laterIncarnation = std::max(m_laterIncarnation, end);
}

void LeaseBounds::onGrant(const LeaseLimits& limits, TimePoint now)
{
    m_knownIncarnation = std::max(m_knownIncarnation, expiryOf(limits.lease, now));
    m_laterIncarnation = std::max(m_laterIncarnation, expiryOf(limits.longestLease, now + limits.delivery));
}

void LeaseBounds::onFirstResponse(const LeaseLimits& limits, TimePoint now)
{
    m_knownIncarnation = std::max(m_knownIncarnation, expiryOf(limits.longestLease, now));
}

void LeaseBounds::onNewIncarnation()
{
    m_knownIncarnation = endOfAnyIncarnation();
}

std::int64_t CellDesk::leaseDeadlineMs(const Vm& vm, Now now) const
{
    if (vm.clockMs == 0)
        return 0;
    const auto sinceClock = std::chrono::duration_cast<Milliseconds>(now.steady - vm.clockAt);
    return vm.clockMs + (sinceClock + m_limits.leases.lease).count();
}

void CellDesk::grantLease(Vm& vm, Now now) const
{
    vm.leases.onGrant(m_limits.leases, now.steady);
    vm.lastGrantAt = now.steady;
}

void CellDesk::doubtIncarnation(Vm& vm, std::string_view reason, Now now)
{
    withdrawCommands(vm, reason);
    vm.isIncarnationKnown = false;
    vm.doubtedAt = now.steady;
    vm.nextHeartbeatAt = now.steady;
}

bool CellDesk::isConfirmed(const Placement& placement)
{
    return placement.isIncarnationConfirmed && !placement.startUnconfirmed;
}

TimePoint CellDesk::leaseEnd(const Vm& vm, const Placement& placement)
{
    return isConfirmed(placement) ? vm.leases.endOfKnownIncarnation() : vm.leases.endOfAnyIncarnation();
}

CellDesk::ClockOrigin CellDesk::originOf(const Vm& vm, std::int64_t clockMs, TimePoint sentAt, Now now)
{
    constexpr double slowestClock = 0.97;
    constexpr double fastestClock = 1.03;
    if (clockMs == 0 || vm.clockMs == 0)
        return ClockOrigin::Unknown;
    const auto milliseconds = [](Duration duration) { return static_cast<double>(std::chrono::duration_cast<Milliseconds>(duration).count()); };
    const auto sinceKnown = static_cast<double>(clockMs - vm.clockMs);
    const auto shortest = milliseconds(sentAt - vm.clockAt);
    const auto longest = milliseconds(now.steady - vm.clockRequestedAt) * fastestClock + 1;
    // Negative if the start command was sent before the heartbeat's response arrived.
    if (sinceKnown < shortest * (shortest < 0 ? fastestClock : slowestClock) - 1)
        return ClockOrigin::LaterIncarnation;
    // A later incarnation began, and its clock with it, after the heartbeat that the known one answered was sent.
    const bool isBeforeHeartbeat = static_cast<double>(clockMs) > longest;
    return isBeforeHeartbeat && sinceKnown <= longest ? ClockOrigin::KnownIncarnation : ClockOrigin::Unknown;
}

void CellDesk::checkClock(Vm& vm, Placement* placement, const StartResponse& response, Now now)
{
    switch (originOf(vm, response.clockMs, response.sentAt, now)) {
    case ClockOrigin::KnownIncarnation:
        if (placement && response.answer == StartAnswer::Started && vm.isIncarnationKnown) {
            placement->incarnation = vm.incarnation;
            placement->isIncarnationConfirmed = true;
        }
        return;
    case ClockOrigin::LaterIncarnation:
        doubtIncarnation(vm, "clock", now);
        m_actions.emplace_back(Decision { "vm_clock_behind", { { "vm", vm.report.id }, { "incarnation", vm.incarnation }, { "clock_ms", response.clockMs }, { "known_clock_ms", vm.clockMs }, { "known_ms_ago", std::chrono::duration_cast<Milliseconds>(now.steady - vm.clockAt).count() }, { "task", taskText(response.task) }, { "run", response.run }, { "answer", startAnswerName(response.answer) } } });
        return;
    case ClockOrigin::Unknown:
        return;
    }
}

} // namespace heatherchute::cell
