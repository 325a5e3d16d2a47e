#include "heatherchute/Cell.h"

namespace heatherchute::cell {

std::int64_t CellDesk::leaseDeadlineMs(const Vm& vm, Now now) const
{
    if (vm.clockMs == 0)
        return 0;
    const auto sinceClock = std::chrono::duration_cast<Milliseconds>(now.steady - vm.clockAt);
    return vm.clockMs + (sinceClock + m_limits.vmLease).count();
}

void CellDesk::extendLeaseEnd(Vm& vm, Now now) const
{
    /// A VM's clock may be 2% slow, and is ahead of its last known reading by the one-way network
    /// latency.
    constexpr double slowestClock = 1.03;
    constexpr Milliseconds clockSlack { 300 };
    const auto longest = std::chrono::duration_cast<Duration>(m_limits.vmLease * slowestClock) + clockSlack;
    vm.leaseEnd = std::max(vm.leaseEnd, now.steady + longest);
    vm.lastGrantAt = now.steady;
}

CellDesk::ClockOrigin CellDesk::originOf(const Vm& vm, std::int64_t clockMs, TimePoint sentAt, Now now)
{
    constexpr double slowestClock = 0.97;
    constexpr double fastestClock = 1.03;
    if (clockMs == 0 || vm.clockMs == 0)
        return ClockOrigin::Unknown;
    const auto milliseconds = [](Duration duration) { return static_cast<double>(std::chrono::duration_cast<Milliseconds>(duration).count()); };
    const auto clock = static_cast<double>(clockMs);
    if (clock < static_cast<double>(vm.clockMs) + milliseconds(sentAt - vm.clockAt) * slowestClock - 1)
        return ClockOrigin::LaterIncarnation;
    // A later incarnation began, and its clock with it, after the heartbeat that the known one answered was sent.
    const bool isBeforeHeartbeat = clock > milliseconds(now.steady - vm.clockRequestedAt) * fastestClock + 1;
    return isBeforeHeartbeat ? ClockOrigin::KnownIncarnation : ClockOrigin::Unknown;
}

void CellDesk::checkClock(Vm& vm, const StartResponse& response, Now now)
{
    if (originOf(vm, response.clockMs, response.sentAt, now) != ClockOrigin::LaterIncarnation)
        return;
    m_actions.emplace_back(Decision { "vm_clock_behind", { { "vm", vm.report.id }, { "incarnation", vm.incarnation }, { "clock_ms", response.clockMs }, { "known_clock_ms", vm.clockMs }, { "known_ms_ago", std::chrono::duration_cast<Milliseconds>(now.steady - vm.clockAt).count() }, { "task", taskText(response.task) }, { "run", response.run }, { "answer", startAnswerName(response.answer) } } });
}

} // namespace heatherchute::cell
