#include "ReadyStep.h"

namespace heatherchute::cell {

bool CellDesk::isReservedForAnother(const Vm& vm, const ReadyStep& ready, const ServiceCapacity& service) const
{
    /// Urgent tasks up to this length may use VMs that are reserved for a gang.
    constexpr std::int64_t shortRunMs = 1500;
    if (!service.reservedFor || !service.reservedVms.contains(&vm) || *service.reservedFor == ready.id)
        return false;
    const bool isShort = ready.queue && ready.queue->priority == 0 && ready.spec->estimateMs <= shortRunMs;
    // The users of a long-running task are without it while it waits.
    return !isShort && !ready.spec->longRunning;
}

std::set<const Vm*> CellDesk::vmsToReserve(const ReadyStep& ready, const ServiceCapacity& service) const
{
    const auto& advice = ready.step->advice;
    const bool needsAdvice = ready.queue && ready.queue->advice;
    std::vector<std::pair<std::size_t, const Vm*>> candidates;
    for (const auto* const vm : service.usable) {
        if (!isEligible(*vm, ready) || (needsAdvice && !advice.allowed.contains(vm->report.id)))
            continue;
        if (const auto slots = slotsIn(vm->recurringCapacity(), *vm, ready); slots > 0)
            candidates.emplace_back(slots, vm);
    }
    std::sort(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
        const auto rank = [&](const Vm* vm) { return std::make_tuple(!ready.step->reservation.vms.contains(vm->report.id), vm->used.cpuMilli); };
        return rank(left.second) < rank(right.second);
    });
    std::size_t slots = 0;
    std::set<const Vm*> reserved;
    for (const auto& [slotsOfVm, vm] : candidates) {
        if (slots >= ready.waitingTasks.size())
            break;
        slots += slotsOfVm;
        reserved.insert(vm);
    }
    if (slots < ready.waitingTasks.size())
        reserved.clear();
    return reserved;
}

void CellDesk::reserveForGang(const ReadyStep& ready, ServiceCapacity& service, Now now)
{
    /// A gang waits this long for free capacity before VMs are reserved for it. The large runs that
    /// it waits for take a few seconds.
    constexpr Milliseconds maxGangWait { 2500 };
    const bool isGang = ready.spec->gang && ready.step->tasks.size() > 1;
    if (!isGang || service.reservedFor || now.steady - ready.job->acceptedAt < maxGangWait)
        return;
    auto& reservation = ready.step->reservation;
    const auto& period = m_reservationPeriods[ready.service()];
    if (now.steady < period.blockedUntil)
        return;
    if (reservation.nextRound > period.round) {
        service.isNextRoundWanted = true;
        return;
    }
    const auto tasks = ready.waitingTasks.size();
    const auto total = ready.spec->needOnVm() * tasks;
    const auto reserve = ready.mayUseReserve() ? 0 : service.reservedCpuMilli;
    if (!isWithinQuota(*ready.job, ready.spec->need * tasks) || service.recurring.cpuMilli - total.cpuMilli < reserve)
        return;
    auto vms = vmsToReserve(ready, service);
    if (vms.empty())
        return;
    reservation.vms.clear();
    for (const auto* const vm : vms)
        reservation.vms.insert(vm->report.id);
    service.reservedFor = ready.id;
    service.reservedVms = std::move(vms);
}

void CellDesk::updateReservationPeriods(const std::vector<ReadyStep>& steps, const std::map<std::string, ServiceCapacity>& services, Now now)
{
    /// Longest time for which other tasks are held back without any gang being placed. A gang that would
    /// fit by the capacity of the VMs may still never be: estimates of run times are rough, and VMs fail.
    constexpr Milliseconds maxPeriod { 10'000 };
    /// The same while less than half of the service's capacity is in use. No task should stand still for
    /// 3 s beside so much free capacity.
    constexpr Milliseconds maxIdlePeriod { 2000 };
    for (const auto& [name, service] : services) {
        auto& period = m_reservationPeriods[name];
        const bool isUnchanged = period.gang && service.reservedFor == period.gang;
        if (period.gang && !isUnchanged) {
            const bool isPlaced = m_placements.contains(*period.gang);
            m_actions.emplace_back(Decision { "gang_reservation_ended", { { "step", stepText(*period.gang) }, { "service", name }, { "why", isPlaced ? "placed" : "withdrawn" }, { "period_ms", std::chrono::duration_cast<Milliseconds>(now.steady - period.startedAt).count() } } });
            if (isPlaced || !service.reservedFor)
                period.startedAt = now.steady;
        }
        if (!service.reservedFor) {
            period.gang.reset();
            period.idleSince.reset();
            period.round += service.isNextRoundWanted ? 1 : 0;
            continue;
        }
        if (!isUnchanged) {
            if (!period.gang)
                period.startedAt = now.steady;
            period.gang = service.reservedFor;
            m_actions.emplace_back(Decision { "gang_reservation_begun", { { "step", stepText(*period.gang) }, { "service", name }, { "vms", service.reservedVms.size() } } });
        }
        if (2 * service.used.cpuMilli >= service.capacity.cpuMilli)
            period.idleSince.reset();
        else if (!period.idleSince)
            period.idleSince = now.steady;
        const auto gang = std::find_if(steps.begin(), steps.end(), [&](const ReadyStep& ready) { return ready.id == *period.gang; });
        if (now.steady - period.startedAt >= maxPeriod)
            expireReservation(*gang, period, "too_long", maxPeriod, now);
        else if (period.idleSince && now.steady - *period.idleSince >= maxIdlePeriod)
            expireReservation(*gang, period, "capacity_idle", maxIdlePeriod, now);
    }
}

void CellDesk::expireReservation(const ReadyStep& gang, ReservationPeriod& period, std::string_view reason, Milliseconds limit, Now now)
{
    // Other tasks may use the VMs for as long as they may have been held back.
    period.blockedUntil = now.steady + limit;
    gang.step->reservation = { {}, period.round + 1 };
    m_actions.emplace_back(Decision { "gang_reservation_ended", { { "step", stepText(gang.id) }, { "service", gang.service() }, { "why", reason }, { "round", period.round }, { "period_ms", std::chrono::duration_cast<Milliseconds>(now.steady - period.startedAt).count() } } });
    period.gang.reset();
    period.idleSince.reset();
}

} // namespace heatherchute::cell
