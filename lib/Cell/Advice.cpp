#include "ReadyStep.h"

#include <cmath>

namespace heatherchute::cell {

StepAdvice* CellDesk::findAdvice(const TaskId& step)
{
    auto* const ownerJob = job(step.job);
    if (!ownerJob)
        return nullptr;
    const auto occurrence = ownerJob->occurrences.find(step.occurrence);
    if (occurrence == ownerJob->occurrences.end() || step.step >= occurrence->second.steps.size())
        return nullptr;
    return &occurrence->second.steps[step.step].advice;
}

void CellDesk::adjustTicketReservations(const ReadyStep& ready, int sign)
{
    for (const auto& [id, tasks] : ready.step->advice.ticketReservations) {
        const auto vm = m_vms.find(id);
        if (vm == m_vms.end())
            continue;
        const auto reserved = ready.spec->needOnVm() * tasks;
        if (sign > 0)
            vm->second.ticketReserved += reserved;
        else
            vm->second.ticketReserved -= reserved;
    }
}

void CellDesk::dropTicketReservations(const ReadyStep& ready)
{
    adjustTicketReservations(ready, -1);
    ready.step->advice.ticketReservations.clear();
}

bool CellDesk::reserveForTickets(const ReadyStep& ready, std::vector<Vm*> vms)
{
    auto& reservations = ready.step->advice.ticketReservations;
    reservations.clear();
    // Take the fullest VMs that still fit, in the order in which placement will use them.
    std::sort(vms.begin(), vms.end(), [](const Vm* left, const Vm* right) {
        const auto rank = [](const Vm* vm) { return std::make_tuple(vm->report.capacity.cpuMilli - vm->used.cpuMilli, std::string_view(vm->report.id)); };
        return rank(left) < rank(right);
    });
    auto left = ready.waitingTasks.size();
    std::map<std::string, std::uint32_t> rows;
    for (const auto* const vm : vms) {
        const auto tasks = std::min(slotsOn(*vm, ready), left);
        if (tasks > 0)
            rows.emplace(vm->report.id, static_cast<std::uint32_t>(tasks));
        left -= tasks;
        if (left == 0)
            break;
    }
    if (left > 0)
        return false;
    reservations = std::move(rows);
    adjustTicketReservations(ready, 1);
    return true;
}

void CellDesk::requestAdvice(const ReadyStep& ready, ServiceCapacity& service, Now now)
{
    /// Assumed share of permitted VMs for a queue without earlier responses.
    constexpr double defaultPermittedShare = 0.4;
    /// Maximum number of VMs that the advice service accepts in a request.
    constexpr std::size_t maxVmsPerRequest = 100;
    /// Margin, in standard deviations, by which the expected permitted slots should exceed a gang's
    /// need: 19 of 20 responses then permit enough VMs.
    constexpr double gangMarginDeviations = 1.65;
    /// Pause after a request that did not lead to a start.
    constexpr Milliseconds requestPause { 300 };
    auto& advice = ready.step->advice;
    const auto total = ready.spec->needOnVm() * ready.waitingTasks.size();
    const auto ofTeam = ready.spec->gang ? ready.spec->need * ready.waitingTasks.size() : ready.spec->need;
    const bool hasTickets = std::any_of(advice.allowed.begin(), advice.allowed.end(), [&](const auto& entry) { return entry.second.validUntil > now.steady; });
    // A gang that will not fit even once the runs of limited duration have ended leaves the free capacity to the
    // following steps.
    const bool takesCapacity = !ready.spec->gang || total.fitsIn(service.recurring);
    if (takesCapacity && (advice.pendingRequest != 0 || hasTickets))
        service.free -= total;
    const auto& costs = *ready.queue->advice;
    // A step for which no daemon can send a request now leaves its capacity to the following steps.
    if (advice.pendingRequest != 0 || now.steady < advice.nextRequestAt || !m_adviceLanes.canAcquire(costs.base, now.steady))
        return;
    const bool hasReservation = service.reservedFor == ready.id;
    // A gang for which no VMs can be reserved yet first has to learn where it may run at all.
    const bool isExploratory = ready.spec->gang && advice.allowed.empty() && advice.denied.empty();
    // A ticket is wasted if it expires before the step can be placed.
    const bool isPlaceableSoon = hasReservation || isExploratory || ((service.free.cpuMilli > 0 || ready.spec->usesIdleRoom) && service.free.memoryMb >= 0);
    if (!isPlaceableSoon || !isWithinQuota(*ready.job, ofTeam))
        return;
    const auto isKnown = [&](const Vm* vm) { return advice.allowed.contains(vm->report.id); };
    const auto known = m_permittedShare.find(ready.job->queue);
    const auto share = std::max(0.05, known == m_permittedShare.end() ? defaultPermittedShare : known->second);
    std::vector<Vm*> vms;
    double expected = 0;
    for (auto* const vm : service.usable) {
        const auto slots = slotsOn(*vm, ready);
        const bool isCandidate = isEligible(*vm, ready) && !isReservedForAnother(*vm, ready, service) && (slots > 0 || (ready.spec->gang && !isKnown(vm)));
        if (!isCandidate)
            continue;
        vms.push_back(vm);
        expected += static_cast<double>(slots) * (isKnown(vm) ? 1.0 : share);
    }
    const auto needed = static_cast<double>(ready.waitingTasks.size());
    const bool areAllKnown = std::all_of(vms.begin(), vms.end(), isKnown);
    // Tickets for a gang that doesn't fit now would expire; a request is only worthwhile if it
    // includes VMs whose permission is unknown.
    if (vms.empty() || (ready.spec->gang && expected < needed && areAllKnown))
        return;
    // A gang that fits on permitted VMs requests tickets for just these, and their resources are
    // reserved until the response.
    if (ready.spec->gang && !isExploratory) {
        auto known = vms;
        std::erase_if(known, [&](const Vm* vm) { return !isKnown(vm); });
        if (reserveForTickets(ready, std::move(known)))
            std::erase_if(vms, [&](const Vm* vm) { return !advice.ticketReservations.contains(vm->report.id); });
    }
    // Permitted VMs first, then those with more free slots. Ties are broken by a hash that differs by
    // step, so that steps request different VMs.
    using Rank = std::tuple<bool, std::int64_t, std::uint64_t>;
    std::vector<std::pair<Rank, Vm*>> ranked;
    ranked.reserve(vms.size());
    const auto salt = stableHash(ready.id.job) + ready.id.step;
    for (auto* const vm : vms) {
        const auto slots = static_cast<std::int64_t>(std::min<std::size_t>(slotsOn(*vm, ready), ready.waitingTasks.size()));
        const auto mixed = (salt ^ vm->idHash) * 0x9E3779B97F4A7C15ULL;
        ranked.emplace_back(Rank { !isKnown(vm), -slots, mixed ^ (mixed >> 29U) }, vm);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    AskAdvice request { 0, ready.id, {}, Milliseconds(0) };
    double mean = 0;
    double variance = 0;
    for (const auto& [rank, vm] : ranked) {
        // Independent tasks start on whichever VMs are permitted, so 1.5 times the need is enough.
        // For a gang, a response that permits too few VMs is useless.
        const bool isEnough = ready.spec->gang ? mean - gangMarginDeviations * std::sqrt(variance) >= needed : mean >= 1.5 * needed + 1;
        if (isEnough || request.vms.size() >= maxVmsPerRequest)
            break;
        const auto slots = static_cast<double>(std::max<std::size_t>(1, std::min(slotsOn(*vm, ready), ready.waitingTasks.size())));
        const auto chance = isKnown(vm) ? 1.0 : share;
        mean += slots * chance;
        variance += slots * slots * chance * (1 - chance);
        request.vms.push_back(vm->report.id);
    }
    request.cost = costs.base + Milliseconds(std::lround(costs.perVmMs * static_cast<double>(request.vms.size())));
    const auto daemon = m_adviceLanes.acquire(request.cost, now.steady);
    if (!daemon)
        return dropTicketReservations(ready);
    if (takesCapacity)
        service.free -= total;
    request.daemon = *daemon;
    request.request = m_nextAdviceRequest++;
    advice.pendingRequest = request.request;
    advice.nextRequestAt = now.steady + requestPause;
    m_actions.emplace_back(std::move(request));
}

bool CellDesk::hasEnoughPermittedVms(const TaskId& id, Now now)
{
    /// Multiple of its need that a gang should have on permitted VMs, as other runs occupy them too.
    constexpr std::size_t gangSlotFactor = 2;
    auto* const ownerJob = job(id.job);
    auto& step = ownerJob->occurrences.at(id.occurrence).steps[id.step];
    const ReadyStep ready { ownerJob, id, &step, &ownerJob->spec->steps[id.step], nullptr, {}, false, {} };
    std::size_t slots = 0;
    for (const auto& [name, permission] : step.advice.allowed) {
        const auto vm = m_vms.find(name);
        if (vm != m_vms.end() && isUsable(vm->second, now))
            slots += slotsIn(vm->second.recurringCapacity(), vm->second, ready);
    }
    return slots >= (ready.spec->gang ? gangSlotFactor * step.tasks.size() : 1);
}

void CellDesk::onAdvice(const AdviceAnswer& response, Now now)
{
    if (response.result == AdviceResult::Overdue)
        m_adviceLanes.onOverdue(response.daemon, now.steady);
    else if (response.request != 0)
        m_adviceLanes.release(response.daemon, response.wait, now.steady);
    else
        m_adviceLanes.onLateResponse(response.daemon, response.wait, now.steady);
    auto* const advice = findAdvice(response.step);
    if (!advice)
        return;
    if (response.request != 0 && response.request == advice->pendingRequest)
        advice->pendingRequest = 0;
    requestPlacementPass();
    // The step may ask another daemon at once.
    if (response.result == AdviceResult::Busy)
        advice->nextRequestAt = now.steady;
    if (response.result != AdviceResult::Answered)
        return;
    /// Part of a ticket's validity that is lost to the latency of the response and the start command.
    constexpr Milliseconds ticketMargin { 100 };
    std::set<std::string> denied(response.asked.begin(), response.asked.end());
    // VMs already known to be permitted would bias the share, so only new ones are counted.
    const auto isNew = [advice](const std::string& vm) { return !advice->allowed.contains(vm); };
    const auto asked = std::count_if(response.asked.begin(), response.asked.end(), isNew);
    const auto newPermitted = std::count_if(response.allowed.begin(), response.allowed.end(), [&](const auto& row) { return isNew(row.first); });
    for (const auto& [vmId, ticket] : response.allowed) {
        denied.erase(vmId);
        const auto vm = m_vms.find(vmId);
        if (vm != m_vms.end())
            advice->allowed[vmId] = { ticket, vm->second.incarnation, now.steady + response.validity - ticketMargin };
    }
    advice->denied.merge(denied);
    // A step with too few permitted VMs requests advice about others at once.
    advice->nextRequestAt = now.steady + (hasEnoughPermittedVms(response.step, now) ? response.validity / 2 : Milliseconds(0));
    /// Weight of one response in the running mean.
    constexpr double smoothingFactor = 0.1;
    if (asked > 0) {
        const auto share = static_cast<double>(newPermitted) / static_cast<double>(asked);
        const auto [mean, isFirst] = m_permittedShare.try_emplace(job(response.step.job)->queue, share);
        mean->second += smoothingFactor * (share - mean->second);
    }
    m_actions.emplace_back(Decision { "advice_taken", { { "step", stepText(response.step) }, { "asked", response.asked.size() }, { "allowed", response.allowed.size() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(now.steady - response.sentAt).count() }, { "late", response.request == 0 } } });
}

} // namespace heatherchute::cell
