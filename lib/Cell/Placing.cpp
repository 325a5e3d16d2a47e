#include "ReadyStep.h"

#include <cmath>

namespace heatherchute::cell {

const QueuePolicy* CellDesk::policyOf(Job& job) const
{
    if (job.policyOf != m_policy.get()) {
        job.policy = m_policy->findQueue(job.queue);
        job.policyOf = m_policy.get();
    }
    return job.policy;
}

namespace {

    /// What a job can still earn; the order in which it is served.
    enum class Prospect : std::uint8_t {
        InTime,
        /// Its objective has passed, and it earns a part.
        Late,
        /// It earns nothing any more, but must run.
        Hopeless,
    };

    /// A step that may have waiting tasks, with what ranks it.
    struct RankedStep {
        bool isExcess = false;
        Prospect prospect = Prospect::InTime;
        int priority = 0;
        TimePoint deadline;
        std::uint64_t sequence = 0;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        Job* job = nullptr;

        auto rank() const { return std::tie(isExcess, prospect, priority, deadline, sequence, occurrence, step); }
    };

} // namespace

/// Whether the step's tasks may start as far as the job itself goes.
static bool isOpen(const Job& job, const Occurrence& occurrence, std::uint32_t number, Now now)
{
    const auto& step = occurrence.steps[number];
    const auto& spec = job.spec->steps[number];
    if (step.isDone())
        return false;
    if (std::any_of(spec.after.begin(), spec.after.end(), [&](auto earlier) { return !occurrence.steps[earlier].isDone(); }))
        return false;
    const auto isFree = [&](const Task& task) { return task.phase == TaskPhase::Waiting && now.steady >= task.notBefore; };
    // A gang starts whole, so every earlier run of it must be over.
    return spec.gang ? std::all_of(step.tasks.begin(), step.tasks.end(), isFree) : std::any_of(step.tasks.begin(), step.tasks.end(), isFree);
}

static Prospect prospectOf(const Job& job, Milliseconds objective, Now now)
{
    /// Past this many times its objective a job earns nothing.
    constexpr int lateFactor = 3;
    // What is left of the chain is not tracked by step; half of it is a fair guess for started jobs.
    const auto left = job.phase == JobPhase::Running ? job.chain / 2 : job.chain;
    const auto done = now.steady + left - job.acceptedAt;
    if (done <= objective)
        return Prospect::InTime;
    return done <= objective * lateFactor ? Prospect::Late : Prospect::Hopeless;
}

std::vector<CellDesk::ReadyStep> CellDesk::readySteps(Now now)
{
    /// Steps looked at in a pass, the most urgent first.
    constexpr std::size_t maxSteps = 200;
    std::vector<RankedStep> ranked;
    for (auto& [id, owner] : m_active) {
        if (isFinal(owner->phase))
            continue;
        const auto* const queue = policyOf(*owner);
        const auto objective = queue ? queue->target + std::chrono::duration_cast<Milliseconds>(owner->chain * queue->stretch) : Milliseconds(0);
        for (const auto& [number, occurrence] : owner->occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                if (isOpen(*owner, occurrence, s, now))
                    ranked.push_back({ owner->isExcess, prospectOf(*owner, objective, now), queue ? queue->priority : 0, owner->acceptedAt + objective, owner->sequence, number, s, owner });
            }
        }
    }
    const auto count = std::min(maxSteps, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), [](const auto& left, const auto& right) { return left.rank() < right.rank(); });
    ranked.resize(count);
    std::vector<ReadyStep> ready;
    ready.reserve(count);
    for (const auto& entry : ranked) {
        auto& step = entry.job->occurrences.at(entry.occurrence).steps[entry.step];
        ReadyStep row { entry.job, { entry.job->id, entry.occurrence, entry.step, 0 }, &step, &entry.job->spec->steps[entry.step], entry.job->policy, {}, entry.prospect == Prospect::Hopeless, entry.deadline };
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].phase == TaskPhase::Waiting && now.steady >= step.tasks[i].notBefore)
                row.waiting.push_back(i);
        }
        ready.push_back(std::move(row));
    }
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

std::size_t CellDesk::slotsIn(const Room& room, const Vm& vm, const ReadyStep& ready) const
{
    constexpr std::size_t unlimited = 1000;
    auto slots = unlimited;
    if (!ready.spec->usesIdleRoom) {
        const auto take = [&slots](std::int64_t free, std::int64_t need) {
            if (need > 0)
                slots = std::min(slots, static_cast<std::size_t>(std::max<std::int64_t>(0, free / need)));
        };
        take(room.cpuMilli, ready.spec->need.cpuMilli);
        take(room.memoryMb, ready.spec->need.memoryMb);
        take(room.accelerators, ready.spec->need.accelerators);
    }
    if (slots > 0 && ready.spec->maxTasksPerVm > 0) {
        const auto there = tasksOn(vm, ready.id);
        slots = std::min<std::size_t>(slots, there < ready.spec->maxTasksPerVm ? ready.spec->maxTasksPerVm - there : 0);
    }
    return slots;
}

std::size_t CellDesk::slotsOn(const Vm& vm, const ReadyStep& ready) const
{
    auto room = vm.report.capacity - vm.used - vm.promised;
    const auto own = ready.step->advice.promised.find(vm.report.id);
    if (own != ready.step->advice.promised.end()) {
        for (std::uint32_t i = 0; i < own->second; ++i)
            room += ready.spec->need;
    }
    return slotsIn(room, vm, ready);
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

bool CellDesk::mayRun(const Vm& vm, const ReadyStep& ready) const
{
    const auto& label = ready.spec->requiredLabel;
    const auto& labels = vm.report.labels;
    if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end())
        return false;
    return !ready.step->advice.denied.contains(vm.report.id);
}

bool CellDesk::isHeldFromOthers(const Vm& vm, const ReadyStep& ready, const ServiceRoom& room) const
{
    /// Work this short may pass through room that a gang waits for.
    constexpr std::int64_t shortRunMs = 1500;
    if (!room.heldFor || !room.held.contains(&vm) || *room.heldFor == ready.id)
        return false;
    const bool isShort = ready.queue && ready.queue->priority == 0 && ready.spec->estimateMs <= shortRunMs;
    return !isShort;
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
    countUse(placement, vm, 1);
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

std::vector<Vm*> CellDesk::fittingVms(const ReadyStep& ready, const ServiceRoom& room, Now now)
{
    std::vector<Vm*> vms;
    const auto consider = [&](Vm& vm) {
        if (slotsOn(vm, ready) > 0 && mayRun(vm, ready) && !isHeldFromOthers(vm, ready, room))
            vms.push_back(&vm);
    };
    if (!ready.queue || !ready.queue->advice) {
        for (auto* const vm : room.usable)
            consider(*vm);
        return vms;
    }
    // Advice names few of the VMs, so only these are looked at.
    for (const auto& [id, permission] : ready.step->advice.allowed) {
        if (permission.validUntil <= now.steady)
            continue;
        const auto vm = m_vms.find(id);
        if (vm != m_vms.end() && vm->second.incarnation == permission.incarnation && vm->second.report.service == ready.queue->service && mayUse(vm->second, now))
            consider(vm->second);
    }
    return vms;
}

void CellDesk::placeStep(const ReadyStep& ready, ServiceRoom& room, Now now)
{
    if (!ready.spec->usesIdleRoom && !ready.spec->need.fitsIn(room.largest))
        return;
    auto vms = fittingVms(ready, room, now);
    if (vms.empty())
        return;
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

void CellDesk::holdForGang(const ReadyStep& ready, ServiceRoom& room, Now now)
{
    /// A gang waits this long for room by chance before room is kept for it. The large runs
    /// that it waits for are a few seconds long.
    constexpr Milliseconds gangPatience { 2500 };
    const bool isGang = ready.spec->gang && ready.step->tasks.size() > 1;
    if (!isGang || room.heldFor || now.steady - ready.job->acceptedAt < gangPatience)
        return;
    Room whole;
    for (std::size_t i = 0; i < ready.waiting.size(); ++i)
        whole += ready.spec->need;
    if (!isWithinQuota(*ready.job, whole))
        return;
    const auto& advice = ready.step->advice;
    const bool needsAdvice = ready.queue && ready.queue->advice;
    std::vector<Vm*> vms;
    for (auto* const vm : room.usable) {
        const bool isCandidate = mayRun(*vm, ready) && (!needsAdvice || advice.allowed.contains(vm->report.id)) && slotsIn(vm->report.capacity, *vm, ready) > 0;
        if (isCandidate)
            vms.push_back(vm);
    }
    std::sort(vms.begin(), vms.end(), [&](const Vm* left, const Vm* right) {
        const auto rank = [&](const Vm* vm) { return std::make_tuple(!advice.held.contains(vm->report.id), vm->used.cpuMilli); };
        return rank(left) < rank(right);
    });
    std::size_t slots = 0;
    std::set<const Vm*> held;
    for (auto* const vm : vms) {
        if (slots >= ready.waiting.size())
            break;
        slots += slotsIn(vm->report.capacity, *vm, ready);
        held.insert(vm);
    }
    if (slots < ready.waiting.size())
        return;
    room.heldFor = ready.id;
    room.held = std::move(held);
    ready.step->advice.held.clear();
    for (const auto* const vm : room.held)
        ready.step->advice.held.insert(vm->report.id);
}

std::map<std::string, ServiceRoom> CellDesk::measureRooms(const std::vector<ReadyStep>& steps, Now now)
{
    /// Time in which the memory of a past peak halves: a few runs of an urgent task.
    constexpr double halfLifeSeconds = 6;
    /// Urgent work never holds back more than this part of a service.
    constexpr double mostReserved = 0.3;
    std::map<std::string, ServiceRoom> rooms;
    std::map<std::string, double> urgentDemand;
    ServiceRoom* newest = nullptr;
    const std::string* newestService = nullptr;
    for (auto& [id, vm] : m_vms) {
        if (!vm.listed)
            continue;
        if (!newestService || *newestService != vm.report.service) {
            newest = &rooms[vm.report.service];
            newestService = &vm.report.service;
        }
        auto& room = *newest;
        room.capacity += vm.report.capacity;
        vm.promised = {};
        if (!mayUse(vm, now))
            continue;
        const auto free = vm.report.capacity - vm.used;
        room.free += free;
        room.usable.push_back(&vm);
        room.largest = { std::max(room.largest.cpuMilli, free.cpuMilli), std::max(room.largest.memoryMb, free.memoryMb), std::max(room.largest.accelerators, free.accelerators) };
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
        const auto used = static_cast<double>(m_urgentUse[service]);
        peak = std::max(peak * decay, used + urgentDemand[service]);
        const auto reserved = std::min(peak - used, mostReserved * static_cast<double>(room.capacity.cpuMilli));
        room.reservedCpuMilli = std::max<std::int64_t>(0, std::llround(reserved));
    }
    return rooms;
}

void CellDesk::place(Now now)
{
    /// Without an event, for tickets that lapse and VMs that are trusted again.
    constexpr Milliseconds placeAnyway { 60 };
    /// Between two passes, and more for each step that waits, so that a long backlog, which a pass
    /// goes through, leaves the daemon's time to orders: a pass takes up to 20 us a step.
    constexpr Milliseconds placePause { 10 };
    constexpr std::chrono::microseconds pauseForStep { 100 };
    if (!m_policy || now.steady < m_nextPlace || (!m_placeWanted && now.steady < m_nextPlace + placeAnyway))
        return;
    m_placeWanted = false;
    auto steps = readySteps(now);
    m_nextPlace = now.steady + placePause + pauseForStep * steps.size();
    auto rooms = measureRooms(steps, now);
    for (const auto& ready : steps)
        countPromise(ready, 1);
    for (const auto& ready : steps) {
        auto& room = rooms[ready.queue ? ready.queue->service : ready.job->service];
        const auto before = m_placements.size();
        placeStep(ready, room, now);
        // The tickets are there, so the room has been used or will not be.
        if (!ready.step->advice.asking)
            dropPromise(ready);
        if (m_placements.size() == before)
            holdForGang(ready, room, now);
    }
    // Steps ask in the order in which they would be placed, as far as the room goes that is left.
    for (auto& ready : steps) {
        std::erase_if(ready.waiting, [&](auto index) { return ready.step->tasks[index].phase != TaskPhase::Waiting; });
        if (!ready.waiting.empty() && ready.queue && ready.queue->advice)
            askForAdvice(ready, rooms[ready.queue->service], now);
    }
}

} // namespace heatherchute::cell
