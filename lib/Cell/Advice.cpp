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

void CellDesk::askForAdvice(const ReadyStep& ready, ServiceRoom& room, Now now)
{
    /// Share of VMs that an unknown queue's policy is taken to allow.
    constexpr double unknownShare = 0.4;
    /// The service takes at most this many in a call.
    constexpr std::size_t maxNamed = 100;
    /// After an ask that did not lead to a start.
    constexpr Milliseconds askPause { 300 };
    auto& advice = ready.step->advice;
    Room whole;
    for (std::size_t i = 0; i < ready.waiting.size(); ++i)
        whole += ready.spec->need;
    const bool hasTickets = std::any_of(advice.allowed.begin(), advice.allowed.end(), [&](const auto& entry) { return entry.second.validUntil > now.steady; });
    if (advice.asking || hasTickets)
        room.free -= whole;
    if (advice.asking || now.steady < advice.nextAsk)
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
    // Enough VMs that half as many again as are needed should be allowed.
    const auto wanted = 1.5 * needed + 1;
    AskAdvice ask { ready.id, {}, Milliseconds(0) };
    double named = 0;
    for (const auto& [rank, vm] : ranked) {
        if (named >= wanted || ask.vms.size() >= maxNamed)
            break;
        const auto slots = std::max<std::size_t>(1, std::min(slotsOn(*vm, ready), ready.waiting.size()));
        named += static_cast<double>(slots) * (isKnown(vm) ? 1.0 : share);
        ask.vms.push_back(vm->report.id);
    }
    const auto& costs = *ready.queue->advice;
    ask.cost = costs.base + Milliseconds(std::lround(costs.perVmMs * static_cast<double>(ask.vms.size())));
    advice.asking = true;
    advice.nextAsk = now.steady + askPause;
    room.free -= whole;
    m_actions.emplace_back(std::move(ask));
}

void CellDesk::onAdvice(const AdviceAnswer& answer, Now now)
{
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
    for (const auto& [vmId, ticket] : *answer.allowed) {
        denied.erase(vmId);
        const auto vm = m_vms.find(vmId);
        if (vm != m_vms.end())
            advice->allowed[vmId] = { ticket, vm->second.incarnation, now.steady + answer.validity - ticketMargin };
    }
    advice->denied.merge(denied);
    // Without a VM with room among the allowed ones the rest is asked about soon.
    advice->nextAsk = now.steady + (answer.allowed->empty() ? Milliseconds(0) : answer.validity / 2);
    /// Weight of one answer in the running mean.
    constexpr double weight = 0.1;
    if (const auto* const owner = job(answer.step.job); owner && !answer.asked.empty()) {
        const auto share = static_cast<double>(answer.allowed->size()) / static_cast<double>(answer.asked.size());
        const auto [mean, isNew] = m_adviceShare.try_emplace(owner->queue, share);
        mean->second += weight * (share - mean->second);
    }
    m_actions.emplace_back(Decision { "advice_taken", { { "step", stepText(answer.step) }, { "asked", answer.asked.size() }, { "allowed", answer.allowed->size() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(now.steady - answer.sentAt).count() } } });
}

} // namespace heatherchute::cell
