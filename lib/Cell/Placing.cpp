#include "heatherchute/Cell.h"

#include <cmath>

namespace heatherchute::cell {

/// A step with tasks that could run now.
struct CellDesk::ReadyStep {
    Job* job = nullptr;
    TaskId id;
    Step* step = nullptr;
    const StepSpec* spec = nullptr;
    const QueuePolicy* queue = nullptr;
    std::vector<std::uint32_t> waiting;
    /// Its objective can no longer earn anything.
    bool isHopeless = false;
    /// Its team has more than its share of the room.
    bool isBeyondShare = false;
    TimePoint deadline;
};

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

std::vector<CellDesk::ReadyStep> CellDesk::readySteps(Now now)
{
    /// Past this many times its objective a job earns nothing.
    constexpr int lateFactor = 3;
    std::vector<ReadyStep> ready;
    for (const auto& id : m_active) {
        auto& owner = m_jobs.at(id);
        if (isFinal(owner.phase))
            continue;
        const auto* const queue = m_policy->findQueue(owner.queue);
        const auto objective = queue ? queue->target + std::chrono::duration_cast<Milliseconds>(owner.chain * queue->stretch) : Milliseconds(0);
        for (auto& [number, occurrence] : owner.occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                auto& step = occurrence.steps[s];
                const auto& spec = owner.spec->steps[s];
                const bool isBlocked = std::any_of(spec.after.begin(), spec.after.end(), [&](auto earlier) { return !occurrence.steps[earlier].isDone(); });
                if (step.isDone() || isBlocked)
                    continue;
                ReadyStep entry { &owner, { id, number, s, 0 }, &step, &spec, queue, {}, now.steady > owner.acceptedAt + objective * lateFactor, false, owner.acceptedAt + objective };
                for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                    const bool isFree = step.tasks[i].phase == TaskPhase::Waiting && now.steady >= step.tasks[i].notBefore;
                    if (isFree)
                        entry.waiting.push_back(i);
                }
                // A gang starts whole, so every earlier run of it must be over.
                if (entry.waiting.empty() || (spec.gang && entry.waiting.size() != step.tasks.size()))
                    continue;
                ready.push_back(std::move(entry));
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const auto& left, const auto& right) {
        const auto rank = [](const ReadyStep& entry) { return std::make_tuple(entry.isHopeless, entry.job->isExcess, entry.queue ? entry.queue->priority : 0, entry.deadline, entry.id); };
        return rank(left) < rank(right);
    });
    return ready;
}

std::size_t CellDesk::tasksOn(const Vm& vm, const TaskId& step) const
{
    std::size_t count = 0;
    for (auto it = vm.placements.lower_bound({ step.job, step.occurrence, step.step, 0 }); it != vm.placements.end(); ++it) {
        if (it->job != step.job || it->occurrence != step.occurrence || it->step != step.step)
            break;
        ++count;
    }
    return count;
}

std::size_t CellDesk::slotsOn(const Vm& vm, const ReadyStep& ready) const
{
    constexpr std::size_t unlimited = 1000;
    auto slots = unlimited;
    if (!ready.spec->usesIdleRoom) {
        const auto room = vm.report.capacity - vm.used;
        const auto take = [&slots](std::int64_t free, std::int64_t need) {
            if (need > 0)
                slots = std::min(slots, static_cast<std::size_t>(std::max<std::int64_t>(0, free / need)));
        };
        take(room.cpuMilli, ready.spec->need.cpuMilli);
        take(room.memoryMb, ready.spec->need.memoryMb);
        take(room.accelerators, ready.spec->need.accelerators);
    }
    if (ready.spec->maxTasksPerVm > 0) {
        const auto there = tasksOn(vm, ready.id);
        slots = std::min<std::size_t>(slots, there < ready.spec->maxTasksPerVm ? ready.spec->maxTasksPerVm - there : 0);
    }
    return slots;
}

bool CellDesk::isWithinQuota(const Job& job, const Room& more) const
{
    const auto* const team = m_policy->findTeam(job.team);
    if (!team)
        return true;
    const auto used = m_teamUse.find(job.team);
    const auto total = used == m_teamUse.end() ? more : used->second + more;
    const auto& limit = team->upperLimit;
    const auto isWithin = [](std::int64_t wanted, std::int64_t most) { return most == 0 || wanted <= most; };
    return isWithin(total.cpuMilli, limit.cpuMilli) && isWithin(total.memoryMb, limit.memoryMb) && isWithin(total.accelerators, limit.accelerators);
}

std::vector<Vm*> CellDesk::candidates(const ReadyStep& ready, Now now)
{
    const auto& service = ready.queue ? ready.queue->service : ready.job->service;
    std::vector<Vm*> result;
    for (auto& [id, vm] : m_vms) {
        if (vm.report.service != service || !mayUse(vm, now))
            continue;
        const auto& label = ready.spec->requiredLabel;
        if (!label.empty() && std::find(vm.report.labels.begin(), vm.report.labels.end(), label) == vm.report.labels.end())
            continue;
        if (ready.step->advice.denied.contains(id))
            continue;
        result.push_back(&vm);
    }
    return result;
}

void CellDesk::put(const ReadyStep& ready, std::uint32_t index, std::uint32_t run, Vm& vm, Now now)
{
    Placement placement;
    placement.task = ready.id;
    placement.task.index = index;
    placement.run = run;
    placement.vm = vm.report.id;
    placement.incarnation = vm.incarnation;
    placement.need = ready.spec->usesIdleRoom ? Room {} : ready.spec->need;
    placement.team = ready.job->team;
    placement.priority = ready.queue ? ready.queue->priority : 0;
    const auto permission = ready.step->advice.allowed.find(vm.report.id);
    if (permission != ready.step->advice.allowed.end())
        placement.ticket = permission->second.ticket;
    if (permission != ready.step->advice.allowed.end() && ready.queue && ready.queue->advice)
        placement.ticketUntil = permission->second.validUntil;
    auto& task = ready.step->tasks[index];
    task.phase = TaskPhase::Placed;
    task.run = run;
    vm.used += placement.need;
    vm.placements.insert(placement.task);
    m_teamUse[placement.team] += placement.need;
    ++ready.job->placements;
    markDirty(ready.job->id);
    m_actions.emplace_back(Decision { "run_placed", { { "task", taskText(placement.task) }, { "run", run }, { "vm", vm.report.id }, { "queue", ready.job->queue }, { "waited_ms", std::chrono::duration_cast<Milliseconds>(now.steady - ready.job->acceptedAt).count() }, { "policy", m_policy->version } } });
    AfterCommit after;
    after.start = placement.task;
    after.run = run;
    after.job = ready.job->id;
    m_afterNext.push_back(std::move(after));
    m_placements.emplace(placement.task, std::move(placement));
}

/// Best fit: the VM with the least processor left takes the task, after those with the data near.
static void sortByFit(std::vector<Vm*>& vms, const StepSpec& spec)
{
    std::sort(vms.begin(), vms.end(), [&spec](const Vm* left, const Vm* right) {
        const auto rank = [&spec](const Vm* vm) {
            const bool isNear = spec.preferredRack.empty() || vm->report.rack == spec.preferredRack;
            return std::make_tuple(!isNear, vm->report.capacity.cpuMilli - vm->used.cpuMilli, vm->report.id);
        };
        return rank(left) < rank(right);
    });
}

void CellDesk::placeStep(const ReadyStep& ready, ServiceRoom& room, Now now)
{
    auto vms = candidates(ready, now);
    if (ready.queue && ready.queue->advice) {
        const auto& allowed = ready.step->advice.allowed;
        std::erase_if(vms, [&](const Vm* vm) {
            const auto permission = allowed.find(vm->report.id);
            return permission == allowed.end() || permission->second.incarnation != vm->incarnation || permission->second.validUntil <= now.steady;
        });
    }
    sortByFit(vms, *ready.spec);
    const bool takesReserve = ready.spec->usesIdleRoom || !ready.queue || ready.queue->priority == 0;
    const auto leavesReserve = [&](std::size_t tasks) {
        return takesReserve || room.free.cpuMilli - static_cast<std::int64_t>(tasks) * ready.spec->need.cpuMilli >= room.reservedCpuMilli;
    };
    std::uint32_t lastRun = 0;
    if (ready.spec->gang) {
        std::size_t slots = 0;
        Room whole;
        for (const auto* const vm : vms)
            slots += slotsOn(*vm, ready);
        for (std::size_t i = 0; i < ready.waiting.size(); ++i)
            whole += ready.spec->need;
        if (slots < ready.waiting.size() || !leavesReserve(ready.waiting.size()) || !isWithinQuota(*ready.job, whole))
            return;
        for (const auto& task : ready.step->tasks)
            lastRun = std::max(lastRun, task.run);
    }
    auto vm = vms.begin();
    for (const auto index : ready.waiting) {
        while (vm != vms.end() && slotsOn(**vm, ready) == 0)
            ++vm;
        const bool isBlocked = vm == vms.end() || !isWithinQuota(*ready.job, ready.spec->need) || (!ready.spec->gang && !leavesReserve(1));
        if (isBlocked)
            return;
        if (!ready.spec->usesIdleRoom)
            room.free -= ready.spec->need;
        put(ready, index, (ready.spec->gang ? lastRun : ready.step->tasks[index].run) + 1, **vm, now);
    }
}

std::map<std::string, ServiceRoom> CellDesk::measureRooms(const std::vector<ReadyStep>& steps, Now now)
{
    /// Time in which the memory of a past peak halves: a few runs of an urgent task.
    constexpr double halfLifeSeconds = 6;
    /// Urgent work never holds back more than this part of a service.
    constexpr double mostReserved = 0.3;
    std::map<std::string, ServiceRoom> rooms;
    std::map<std::string, double> urgentUse;
    std::map<std::string, double> urgentDemand;
    for (const auto& [id, vm] : m_vms) {
        if (!vm.listed)
            continue;
        auto& room = rooms[vm.report.service];
        room.capacity += vm.report.capacity;
        if (mayUse(vm, now))
            room.free += vm.report.capacity - vm.used;
    }
    for (const auto& [task, placement] : m_placements) {
        const auto vm = m_vms.find(placement.vm);
        if (placement.priority == 0 && vm != m_vms.end())
            urgentUse[vm->second.report.service] += static_cast<double>(placement.need.cpuMilli);
    }
    for (const auto& ready : steps) {
        const bool isUrgent = ready.queue && ready.queue->priority == 0 && !ready.job->isExcess && !ready.isHopeless;
        if (isUrgent)
            urgentDemand[ready.queue->service] += static_cast<double>(ready.spec->need.cpuMilli) * static_cast<double>(ready.waiting.size());
    }
    const auto decay = std::exp2(-std::chrono::duration<double>(now.steady - m_peakAt).count() / halfLifeSeconds);
    m_peakAt = now.steady;
    for (auto& [service, room] : rooms) {
        auto& peak = m_urgentPeak[service];
        peak = std::max(peak * decay, urgentUse[service] + urgentDemand[service]);
        const auto reserved = std::min(peak - urgentUse[service], mostReserved * static_cast<double>(room.capacity.cpuMilli));
        room.reservedCpuMilli = std::max<std::int64_t>(0, std::llround(reserved));
    }
    return rooms;
}

void CellDesk::askForAdvice(const ReadyStep& ready, Room& askable, Now now)
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
        askable -= whole;
    if (advice.asking || now.steady < advice.nextAsk)
        return;
    // A ticket is wasted on a step whose turn does not come before it lapses.
    const bool hasTurn = askable.cpuMilli > 0 && askable.memoryMb >= 0;
    if (!hasTurn || !isWithinQuota(*ready.job, ready.spec->gang ? whole : ready.spec->need))
        return;
    auto vms = candidates(ready, now);
    std::erase_if(vms, [&](const Vm* vm) { return slotsOn(*vm, ready) == 0; });
    if (vms.empty())
        return;
    const auto known = m_adviceShare.find(ready.job->queue);
    const auto share = std::max(0.05, known == m_adviceShare.end() ? unknownShare : known->second);
    const auto isKnown = [&](const Vm* vm) { return advice.allowed.contains(vm->report.id); };
    double expected = 0;
    for (const auto* const vm : vms)
        expected += static_cast<double>(slotsOn(*vm, ready)) * (isKnown(vm) ? 1.0 : share);
    // A gang that would not fit even if luck is fair waits for more room before it asks.
    if (ready.spec->gang && expected < static_cast<double>(ready.waiting.size()) && advice.allowed.empty())
        return;
    std::sort(vms.begin(), vms.end(), [&](const Vm* left, const Vm* right) {
        const auto rank = [&](const Vm* vm) { return std::make_tuple(!isKnown(vm), -static_cast<std::int64_t>(std::min<std::size_t>(slotsOn(*vm, ready), ready.waiting.size())), stableHash(ready.id.job + vm->report.id)); };
        return rank(left) < rank(right);
    });
    // Enough VMs that half as many again as are needed should be allowed.
    const auto wanted = 1.5 * static_cast<double>(ready.waiting.size()) + 1;
    AskAdvice ask { ready.id, {}, Milliseconds(0) };
    double named = 0;
    for (const auto* const vm : vms) {
        if (named >= wanted || ask.vms.size() >= maxNamed)
            break;
        named += static_cast<double>(std::min(slotsOn(*vm, ready), ready.waiting.size())) * (isKnown(vm) ? 1.0 : share);
        ask.vms.push_back(vm->report.id);
    }
    const auto& costs = *ready.queue->advice;
    ask.cost = costs.base + Milliseconds(std::lround(costs.perVmMs * static_cast<double>(ask.vms.size())));
    advice.asking = true;
    advice.nextAsk = now.steady + askPause;
    askable -= whole;
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
    advice->nextAsk = now.steady + answer.validity - ticketMargin;
    /// Weight of one answer in the running mean.
    constexpr double weight = 0.1;
    if (const auto* const owner = job(answer.step.job); owner && !answer.asked.empty()) {
        const auto share = static_cast<double>(answer.allowed->size()) / static_cast<double>(answer.asked.size());
        const auto [mean, isNew] = m_adviceShare.try_emplace(owner->queue, share);
        mean->second += weight * (share - mean->second);
    }
    m_actions.emplace_back(Decision { "advice_taken", { { "step", stepText(answer.step) }, { "asked", answer.asked.size() }, { "allowed", answer.allowed->size() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(now.steady - answer.sentAt).count() } } });
}

void CellDesk::place(Now now)
{
    /// Without an event, for tickets that lapse and VMs that are trusted again.
    constexpr Milliseconds placeAnyway { 60 };
    /// Between two passes, so that a busy cell spends its time on orders too.
    constexpr Milliseconds placePause { 8 };
    /// Steps looked at in a pass, the most urgent first.
    constexpr std::size_t maxSteps = 250;
    if (!m_policy || now.steady < m_nextPlace || (!m_placeWanted && now.steady < m_nextPlace + placeAnyway))
        return;
    m_nextPlace = now.steady + placePause;
    m_placeWanted = false;
    auto steps = readySteps(now);
    auto rooms = measureRooms(steps, now);
    if (steps.size() > maxSteps)
        steps.erase(steps.begin() + maxSteps, steps.end());
    for (const auto& ready : steps)
        placeStep(ready, rooms[ready.queue ? ready.queue->service : ready.job->service], now);
    // Steps ask in the order in which they would be placed, as far as the room goes that is left.
    for (auto& ready : steps) {
        std::erase_if(ready.waiting, [&](auto index) { return ready.step->tasks[index].phase != TaskPhase::Waiting; });
        if (!ready.waiting.empty() && ready.queue && ready.queue->advice)
            askForAdvice(ready, rooms[ready.queue->service].free, now);
    }
}

} // namespace heatherchute::cell
