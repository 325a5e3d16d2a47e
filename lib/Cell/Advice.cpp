#include "ReadyStep.h"

#include <cmath>

namespace heatherchute::cell {

StepAdvice* CellDesk::adviceOf(const TaskId& step)
{
    auto* const owner = job(step.job);
    if (!owner)
        return nullptr;
    const auto occurrence = owner->occurrences.find(step.occurrence);
    if (occurrence == owner->occurrences.end() || step.step >= occurrence->second.steps.size())
        return nullptr;
    return &occurrence->second.steps[step.step].advice;
}

void CellDesk::countPromise(const ReadyStep& ready, int sign)
{
    for (const auto& [id, tasks] : ready.step->advice.promised) {
        const auto vm = m_vms.find(id);
        if (vm == m_vms.end())
            continue;
        for (std::uint32_t i = 0; i < tasks; ++i) {
            if (sign > 0)
                vm->second.promised += ready.spec->need;
            else
                vm->second.promised -= ready.spec->need;
        }
    }
}

void CellDesk::dropPromise(const ReadyStep& ready)
{
    countPromise(ready, -1);
    ready.step->advice.promised.clear();
}

bool CellDesk::promiseRoom(const ReadyStep& ready, std::vector<Vm*> vms)
{
    auto& promised = ready.step->advice.promised;
    promised.clear();
    // The fullest VMs that still have room, as placing will take them.
    std::sort(vms.begin(), vms.end(), [](const Vm* left, const Vm* right) {
        const auto rank = [](const Vm* vm) { return std::make_tuple(vm->report.capacity.cpuMilli - vm->used.cpuMilli, std::string_view(vm->report.id)); };
        return rank(left) < rank(right);
    });
    auto left = ready.waiting.size();
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
    promised = std::move(rows);
    countPromise(ready, 1);
    return true;
}

void CellDesk::askForAdvice(const ReadyStep& ready, ServiceRoom& room, Now now)
{
    /// Share of VMs that an unknown queue's policy is taken to allow.
    constexpr double unknownShare = 0.4;
    /// The service takes at most this many in a call.
    constexpr std::size_t maxNamed = 100;
    /// Standard deviations by which the slots of VMs that a gang asks about should exceed its need:
    /// nineteen asks in twenty then name enough.
    constexpr double gangCertainty = 1.65;
    /// After an ask that did not lead to a start.
    constexpr Milliseconds askPause { 300 };
    auto& advice = ready.step->advice;
    Room whole;
    for (std::size_t i = 0; i < ready.waiting.size(); ++i)
        whole += ready.spec->need;
    const bool hasTickets = std::any_of(advice.allowed.begin(), advice.allowed.end(), [&](const auto& entry) { return entry.second.validUntil > now.steady; });
    if (advice.asking || hasTickets)
        room.free -= whole;
    const auto& costs = *ready.queue->advice;
    // A step that no daemon can ask for now leaves its room to those behind it.
    if (advice.asking || now.steady < advice.nextAsk || !m_adviceLanes.canTake(costs.base, now.steady))
        return;
    const bool isHolder = room.heldFor == ready.id;
    // A gang that room cannot be kept for yet learns first where it may run at all.
    const bool learns = ready.spec->gang && advice.allowed.empty() && advice.denied.empty();
    // A ticket is wasted on a step whose turn does not come before it lapses.
    const bool hasTurn = isHolder || learns || (room.free.cpuMilli > 0 && room.free.memoryMb >= 0);
    if (!hasTurn || !isWithinQuota(*ready.job, ready.spec->gang ? whole : ready.spec->need))
        return;
    const auto isKnown = [&](const Vm* vm) { return advice.allowed.contains(vm->report.id); };
    const auto known = m_adviceShare.find(ready.job->queue);
    const auto share = std::max(0.05, known == m_adviceShare.end() ? unknownShare : known->second);
    std::vector<Vm*> vms;
    double expected = 0;
    for (auto* const vm : room.usable) {
        const auto slots = slotsOn(*vm, ready);
        const bool isAskable = mayRun(*vm, ready) && !isHeldFromOthers(*vm, ready, room) && (slots > 0 || (ready.spec->gang && !isKnown(vm)));
        if (!isAskable)
            continue;
        vms.push_back(vm);
        expected += static_cast<double>(slots) * (isKnown(vm) ? 1.0 : share);
    }
    const auto needed = static_cast<double>(ready.waiting.size());
    const bool isAllAsked = std::all_of(vms.begin(), vms.end(), isKnown);
    // Tickets for a gang that does not fit now would lapse; those that teach something are asked for.
    if (vms.empty() || (ready.spec->gang && expected < needed && isAllAsked))
        return;
    // A gang that fits on VMs where it may run asks for these, and finds their room when it may start.
    if (ready.spec->gang && !learns) {
        auto known = vms;
        std::erase_if(known, [&](const Vm* vm) { return !isKnown(vm); });
        if (promiseRoom(ready, std::move(known)))
            std::erase_if(vms, [&](const Vm* vm) { return !advice.promised.contains(vm->report.id); });
    }
    // Known VMs first, then those with more room; among equals a choice of each step's own.
    using Rank = std::tuple<bool, std::int64_t, std::uint64_t>;
    std::vector<std::pair<Rank, Vm*>> ranked;
    ranked.reserve(vms.size());
    const auto salt = stableHash(ready.id.job) + ready.id.step;
    for (auto* const vm : vms) {
        const auto slots = static_cast<std::int64_t>(std::min<std::size_t>(slotsOn(*vm, ready), ready.waiting.size()));
        const auto mixed = (salt ^ vm->hash) * 0x9E3779B97F4A7C15ULL;
        ranked.emplace_back(Rank { !isKnown(vm), -slots, mixed ^ (mixed >> 29U) }, vm);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    AskAdvice ask { 0, ready.id, {}, Milliseconds(0) };
    double mean = 0;
    double variance = 0;
    for (const auto& [rank, vm] : ranked) {
        // Tasks of their own start as VMs allow; half as many again as are needed is enough. A gang
        // that gets too few has asked for nothing.
        const bool isEnough = ready.spec->gang ? mean - gangCertainty * std::sqrt(variance) >= needed : mean >= 1.5 * needed + 1;
        if (isEnough || ask.vms.size() >= maxNamed)
            break;
        const auto slots = static_cast<double>(std::max<std::size_t>(1, std::min(slotsOn(*vm, ready), ready.waiting.size())));
        const auto chance = isKnown(vm) ? 1.0 : share;
        mean += slots * chance;
        variance += slots * slots * chance * (1 - chance);
        ask.vms.push_back(vm->report.id);
    }
    ask.cost = costs.base + Milliseconds(std::lround(costs.perVmMs * static_cast<double>(ask.vms.size())));
    const auto daemon = m_adviceLanes.take(ask.cost, now.steady);
    if (!daemon)
        return dropPromise(ready);
    room.free -= whole;
    ask.daemon = *daemon;
    advice.asking = true;
    advice.nextAsk = now.steady + askPause;
    m_actions.emplace_back(std::move(ask));
}

bool CellDesk::knowsEnough(const TaskId& id)
{
    /// Times its need that a gang should have on VMs where it may run: others run there as well.
    constexpr std::size_t gangChoice = 2;
    auto* const owner = job(id.job);
    auto& step = owner->occurrences.at(id.occurrence).steps[id.step];
    const ReadyStep ready { owner, id, &step, &owner->spec->steps[id.step], nullptr, {}, false, {} };
    std::size_t slots = 0;
    for (const auto& [name, permission] : step.advice.allowed) {
        const auto vm = m_vms.find(name);
        if (vm != m_vms.end() && vm->second.listed)
            slots += slotsIn(vm->second.report.capacity, vm->second, ready);
    }
    return slots >= (ready.spec->gang ? gangChoice * step.tasks.size() : 1);
}

void CellDesk::onAdvice(const AdviceAnswer& answer, Now now)
{
    m_adviceLanes.giveBack(answer.daemon, now.steady);
    auto* const advice = adviceOf(answer.step);
    if (!advice)
        return;
    advice->asking = false;
    wantPlacing();
    if (!answer.allowed)
        return;
    /// What a ticket loses on its way back and with the start.
    constexpr Milliseconds ticketMargin { 100 };
    std::set<std::string> denied(answer.asked.begin(), answer.asked.end());
    // VMs that were known to be allowed say nothing of the others.
    const auto isNew = [advice](const std::string& vm) { return !advice->allowed.contains(vm); };
    const auto asked = std::count_if(answer.asked.begin(), answer.asked.end(), isNew);
    const auto taken = std::count_if(answer.allowed->begin(), answer.allowed->end(), [&](const auto& row) { return isNew(row.first); });
    for (const auto& [vmId, ticket] : *answer.allowed) {
        denied.erase(vmId);
        const auto vm = m_vms.find(vmId);
        if (vm != m_vms.end())
            advice->allowed[vmId] = { ticket, vm->second.incarnation, now.steady + answer.validity - ticketMargin };
    }
    advice->denied.merge(denied);
    // A step that knows too few VMs to run on asks about others at once.
    advice->nextAsk = now.steady + (knowsEnough(answer.step) ? answer.validity / 2 : Milliseconds(0));
    /// Weight of one answer in the running mean.
    constexpr double weight = 0.1;
    if (asked > 0) {
        const auto share = static_cast<double>(taken) / static_cast<double>(asked);
        const auto [mean, isFirst] = m_adviceShare.try_emplace(job(answer.step.job)->queue, share);
        mean->second += weight * (share - mean->second);
    }
    m_actions.emplace_back(Decision { "advice_taken", { { "step", stepText(answer.step) }, { "asked", answer.asked.size() }, { "allowed", answer.allowed->size() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(now.steady - answer.sentAt).count() } } });
}

} // namespace heatherchute::cell
