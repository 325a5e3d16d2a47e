#include "ReadyStep.h"

#include <cmath>

namespace heatherchute::cell {

namespace {

    /// Value that completing a job can still have. Jobs of higher value are served first.
    enum class RemainingValue : std::uint8_t {
        Full,
        /// The job completes after its objective, for a part of the value.
        Partial,
        /// The job is too late for any value, but must still run.
        None,
    };

    /// A step that may have waiting tasks, and the values that determine its rank.
    struct RankedStep {
        /// The team's quota leaves no room for another task of the step.
        bool isHeldByQuota = false;
        bool isAboveTeamRate = false;
        RemainingValue value = RemainingValue::Full;
        int priority = 0;
        TimePoint deadline;
        std::uint64_t sequence = 0;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        Job* job = nullptr;

        auto rank() const { return std::tie(isHeldByQuota, isAboveTeamRate, value, priority, deadline, sequence, occurrence, step); }
        auto turn() const { return std::make_tuple(sequence, occurrence, step); }
    };

} // namespace

/// Returns true if the job's own state (dependencies, retry delays) lets tasks of the step start.
static bool isReadyToStart(const Job& job, const Occurrence& occurrence, std::uint32_t number, Now now)
{
    const auto& step = occurrence.steps[number];
    const auto& spec = job.spec->steps[number];
    if (step.isDone())
        return false;
    if (std::any_of(spec.after.begin(), spec.after.end(), [&](auto earlier) { return !occurrence.steps[earlier].isDone(); }))
        return false;
    const auto isReady = [&](const Task& task) { return task.phase == TaskPhase::Waiting && now.steady >= task.notBefore; };
    // A gang starts all its tasks together, so every earlier run must have ended.
    return spec.gang ? std::all_of(step.tasks.begin(), step.tasks.end(), isReady) : std::any_of(step.tasks.begin(), step.tasks.end(), isReady);
}

static RemainingValue remainingValueOf(const Job& job, Milliseconds objective, Now now)
{
    /// A job that takes longer than this multiple of its objective has no value.
    constexpr int lateFactor = 3;
    // The remaining critical path is not tracked by step; a running job is estimated at half of it.
    const auto left = job.phase == JobPhase::Running ? job.criticalPath / 2 : job.criticalPath;
    const auto done = now.steady + left - job.acceptedAt;
    if (done <= objective)
        return RemainingValue::Full;
    return done <= objective * lateFactor ? RemainingValue::Partial : RemainingValue::None;
}

/// Sorts the steps of a placement pass to the front and returns their number. Most are those of the best
/// rank. The others are taken in turn from the rest: whatever keeps the best ones from being placed, no step
/// waits behind them forever. `lastTurn` is the latest step that was taken in turn.
static std::size_t selectSteps(std::vector<RankedStep>& ranked, StepTurn& lastTurn)
{
    constexpr std::size_t maxSteps = 200;
    constexpr std::size_t maxStepsInTurn = 20;
    const auto isBetter = [](const auto& left, const auto& right) { return left.rank() < right.rank(); };
    const auto begin = ranked.begin();
    if (ranked.size() <= maxSteps) {
        std::sort(begin, ranked.end(), isBetter);
        return ranked.size();
    }
    const auto rest = begin + (maxSteps - maxStepsInTurn);
    std::partial_sort(begin, rest, ranked.end(), isBetter);
    auto restEnd = std::partition(rest, ranked.end(), [&](const auto& entry) { return entry.turn() > lastTurn; });
    if (restEnd == rest)
        restEnd = ranked.end();
    const auto end = rest + std::min<std::ptrdiff_t>(maxStepsInTurn, restEnd - rest);
    std::partial_sort(rest, end, restEnd, [](const auto& left, const auto& right) { return left.turn() < right.turn(); });
    lastTurn = std::prev(end)->turn();
    std::sort(rest, end, isBetter);
    return static_cast<std::size_t>(end - begin);
}

std::vector<CellDesk::ReadyStep> CellDesk::readySteps(Now now)
{
    std::vector<RankedStep> ranked;
    std::map<std::string, Room> quotaLeftByTeam;
    for (auto& [id, ownerJob] : m_activeJobs) {
        if (isFinal(ownerJob->phase))
            continue;
        const auto* const queue = policyOf(*ownerJob);
        const auto objective = queue ? objectiveOf(*queue, ownerJob->criticalPath) : Milliseconds(0);
        const auto [left, isNew] = quotaLeftByTeam.try_emplace(ownerJob->team);
        if (isNew)
            left->second = quotaLeft(ownerJob->team);
        for (const auto& [number, occurrence] : ownerJob->occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                if (!isReadyToStart(*ownerJob, occurrence, s, now))
                    continue;
                const auto& spec = ownerJob->spec->steps[s];
                const auto least = spec.gang ? spec.need * spec.tasks : spec.need;
                ranked.push_back({ !least.fitsIn(left->second), ownerJob->isAboveTeamRate, remainingValueOf(*ownerJob, objective, now), queue ? queue->priority : 0, ownerJob->acceptedAt + objective, ownerJob->sequence, number, s, ownerJob });
            }
        }
    }
    ranked.resize(selectSteps(ranked, m_lastStepTurn));
    std::vector<ReadyStep> ready;
    ready.reserve(ranked.size());
    for (const auto& entry : ranked) {
        auto& step = entry.job->occurrences.at(entry.occurrence).steps[entry.step];
        ReadyStep row { entry.job, { entry.job->id, entry.occurrence, entry.step, 0 }, &step, &entry.job->spec->steps[entry.step], entry.job->policy, {}, entry.value == RemainingValue::None, entry.deadline };
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].phase == TaskPhase::Waiting && now.steady >= step.tasks[i].notBefore)
                row.waitingTasks.push_back(i);
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

std::size_t CellDesk::slotsIn(const Room& available, const Vm& vm, const ReadyStep& ready) const
{
    constexpr std::size_t unlimited = 1000;
    auto slots = unlimited;
    const auto limitBy = [&slots](std::int64_t free, std::int64_t need) {
        if (need > 0)
            slots = std::min(slots, static_cast<std::size_t>(std::max<std::int64_t>(0, free / need)));
    };
    const auto need = ready.spec->needOnVm();
    limitBy(available.cpuMilli, need.cpuMilli);
    limitBy(available.memoryMb, need.memoryMb);
    limitBy(available.accelerators, need.accelerators);
    if (slots > 0 && ready.spec->maxTasksPerVm > 0) {
        const auto placed = tasksOn(vm, ready.id);
        slots = std::min<std::size_t>(slots, placed < ready.spec->maxTasksPerVm ? ready.spec->maxTasksPerVm - placed : 0);
    }
    return slots;
}

std::size_t CellDesk::slotsOn(const Vm& vm, const ReadyStep& ready) const
{
    auto available = vm.report.capacity - vm.used - vm.ticketReserved;
    const auto own = ready.step->advice.ticketReservations.find(vm.report.id);
    if (own != ready.step->advice.ticketReservations.end())
        available += ready.spec->needOnVm() * own->second;
    return slotsIn(available, vm, ready);
}

bool CellDesk::isEligible(const Vm& vm, const ReadyStep& ready) const
{
    const auto& label = ready.spec->requiredLabel;
    const auto& labels = vm.report.labels;
    if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end())
        return false;
    return !ready.step->advice.denied.contains(vm.report.id);
}

void CellDesk::placeTask(const ReadyStep& ready, std::uint32_t index, std::uint32_t run, Vm& vm, Now now)
{
    Placement placement;
    placement.task = ready.id;
    placement.task.index = index;
    placement.run = run;
    placement.vm = vm.report.id;
    placement.incarnation = vm.incarnation;
    placement.need = ready.spec->needOnVm();
    placement.teamNeed = ready.spec->need;
    placement.team = ready.job->team;
    placement.priority = ready.queue ? ready.queue->priority : 0;
    placement.isLongRunning = ready.spec->longRunning;
    const auto permission = ready.step->advice.allowed.find(vm.report.id);
    if (permission != ready.step->advice.allowed.end())
        placement.ticket = permission->second.ticket;
    if (permission != ready.step->advice.allowed.end() && ready.queue && ready.queue->advice)
        placement.ticketExpiresAt = permission->second.validUntil;
    auto& task = ready.step->tasks[index];
    task.phase = TaskPhase::Placed;
    task.run = run;
    adjustUsage(placement, vm, 1);
    ++ready.job->placements;
    markDirty(ready.job->id);
    m_actions.emplace_back(Decision { "run_placed", { { "task", taskText(placement.task) }, { "run", run }, { "vm", vm.report.id }, { "queue", ready.job->queue }, { "waited_ms", std::chrono::duration_cast<Milliseconds>(now.steady - ready.job->acceptedAt).count() }, { "policy", m_policy->version } } });
    AfterCommit after;
    after.start = placement.task;
    after.run = run;
    after.job = ready.job->id;
    m_afterNextCommit.push_back(std::move(after));
    m_placements.emplace(placement.task, std::move(placement));
}

/// Best fit: VMs in the preferred rack come first, then those with the least free processor
/// capacity. Cold VMs come last: a gang runs at the pace of its slowest member, and the work that waits when
/// a failure domain comes back must not all go to VMs that are still slow.
static void sortByFit(std::vector<Vm*>& vms, const StepSpec& spec, Now now)
{
    std::sort(vms.begin(), vms.end(), [&spec, now](const Vm* left, const Vm* right) {
        const auto rank = [&spec, now](const Vm* vm) {
            const bool isNear = spec.preferredRack.empty() || vm->report.rack == spec.preferredRack;
            return std::make_tuple(now.steady < vm->coldUntil, !isNear, vm->report.capacity.cpuMilli - vm->used.cpuMilli, vm->report.id);
        };
        return rank(left) < rank(right);
    });
}

std::vector<Vm*> CellDesk::fittingVms(const ReadyStep& ready, const ServiceCapacity& service, Now now)
{
    std::vector<Vm*> vms;
    const auto consider = [&](Vm& vm) {
        if (slotsOn(vm, ready) > 0 && isEligible(vm, ready) && !isReservedForAnother(vm, ready, service))
            vms.push_back(&vm);
    };
    if (!ready.queue || !ready.queue->advice) {
        for (auto* const vm : service.usable)
            consider(*vm);
        return vms;
    }
    // Advice permits only a few of the VMs, so only these are considered.
    for (const auto& [id, permission] : ready.step->advice.allowed) {
        if (permission.validUntil <= now.steady)
            continue;
        const auto vm = m_vms.find(id);
        if (vm != m_vms.end() && vm->second.incarnation == permission.incarnation && vm->second.report.service == ready.queue->service && isUsable(vm->second, now))
            consider(vm->second);
    }
    return vms;
}

void CellDesk::placeStep(const ReadyStep& ready, ServiceCapacity& service, Now now)
{
    if (!ready.spec->needOnVm().fitsIn(service.largestFree))
        return;
    auto vms = fittingVms(ready, service, now);
    if (vms.empty())
        return;
    sortByFit(vms, *ready.spec, now);
    // Those that are reserved for a gang come last.
    if (service.reservedFor != ready.id)
        std::stable_partition(vms.begin(), vms.end(), [&service](const Vm* vm) { return !service.reservedVms.contains(vm); });
    std::uint32_t lastRun = 0;
    if (ready.spec->gang) {
        std::size_t slots = 0;
        for (const auto* const vm : vms)
            slots += slotsOn(*vm, ready);
        const auto tasks = ready.waitingTasks.size();
        if (slots < tasks || !ready.keepsReserve(service, tasks) || !isWithinQuota(*ready.job, ready.spec->need * tasks))
            return;
        for (const auto& task : ready.step->tasks)
            lastRun = std::max(lastRun, task.run);
    }
    auto vm = vms.begin();
    for (const auto index : ready.waitingTasks) {
        while (vm != vms.end() && slotsOn(**vm, ready) == 0)
            ++vm;
        const bool isBlocked = vm == vms.end() || !isWithinQuota(*ready.job, ready.spec->need) || (!ready.spec->gang && !ready.keepsReserve(service, 1));
        if (isBlocked)
            return;
        service.free -= ready.spec->needOnVm();
        placeTask(ready, index, (ready.spec->gang ? lastRun : ready.step->tasks[index].run) + 1, **vm, now);
    }
}

std::map<std::string, ServiceCapacity> CellDesk::measureCapacity(const std::vector<ReadyStep>& steps, Now now)
{
    /// Half-life of a past demand peak: a few runs of an urgent task.
    constexpr double halfLifeSeconds = 6;
    /// Maximum share of a service's capacity that is reserved for urgent tasks.
    constexpr double maxReservedShare = 0.3;
    std::map<std::string, ServiceCapacity> services;
    std::map<std::string, Room> urgentDemand;
    ServiceCapacity* current = nullptr;
    const std::string* currentName = nullptr;
    for (auto& [id, vm] : m_vms) {
        if (!vm.listed)
            continue;
        if (!currentName || *currentName != vm.report.service) {
            current = &services[vm.report.service];
            currentName = &vm.report.service;
        }
        auto& service = *current;
        service.capacity += vm.report.capacity;
        service.used += vm.used;
        vm.ticketReserved = {};
        if (!isUsable(vm, now))
            continue;
        const auto free = vm.report.capacity - vm.used;
        service.free += free;
        service.recurring += vm.recurringCapacity();
        service.usable.push_back(&vm);
        service.largestFree = { std::max(service.largestFree.cpuMilli, free.cpuMilli), std::max(service.largestFree.memoryMb, free.memoryMb), std::max(service.largestFree.accelerators, free.accelerators) };
    }
    for (const auto& ready : steps) {
        const bool isUrgent = ready.queue && ready.queue->priority == 0 && !ready.job->isAboveTeamRate && !ready.hasNoValue;
        if (isUrgent)
            urgentDemand[ready.queue->service] += ready.spec->needOnVm() * ready.waitingTasks.size();
    }
    const auto decay = std::exp2(-std::chrono::duration<double>(now.steady - m_urgentPeakAt).count() / halfLifeSeconds);
    m_urgentPeakAt = now.steady;
    for (auto& [name, service] : services) {
        const auto reserve = [decay](double& peak, std::int64_t used, std::int64_t demand, std::int64_t capacity) {
            peak = std::max(peak * decay, static_cast<double>(used) + static_cast<double>(demand));
            const auto reserved = std::min(peak - static_cast<double>(used), maxReservedShare * static_cast<double>(capacity));
            return std::max<std::int64_t>(0, std::llround(reserved));
        };
        auto& peak = m_urgentPeak[name];
        const auto& used = m_urgentUsage[name];
        const auto& demand = urgentDemand[name];
        service.reservedCpuMilli = reserve(peak.cpuMilli, used.cpuMilli, demand.cpuMilli, service.capacity.cpuMilli);
        service.reservedMemoryMb = reserve(peak.memoryMb, used.memoryMb, demand.memoryMb, service.capacity.memoryMb);
    }
    return services;
}

void CellDesk::runPlacementPass(Now now)
{
    /// Interval of passes without an event, needed because tickets expire and quarantines end.
    constexpr Milliseconds idlePassInterval { 60 };
    /// Pause between two passes, extended for each waiting step. A pass takes up to 20 us a step, so
    /// that without the extension a long backlog would delay the daemon's commands.
    constexpr Milliseconds passPause { 10 };
    constexpr std::chrono::microseconds passPausePerStep { 100 };
    if (!m_policy || !areEvacuationsKnown() || now.steady < m_nextPlacementAt || (!m_placementRequested && now.steady < m_nextPlacementAt + idlePassInterval))
        return;
    m_placementRequested = false;
    auto steps = readySteps(now);
    m_nextPlacementAt = now.steady + passPause + passPausePerStep * steps.size();
    auto services = measureCapacity(steps, now);
    for (const auto& ready : steps)
        adjustTicketReservations(ready, 1);
    for (const auto& ready : steps) {
        auto& service = services[ready.service()];
        const auto before = m_placements.size();
        placeStep(ready, service, now);
        // With the tickets received, the reservation has either been used or is no longer needed.
        if (ready.step->advice.pendingRequest == 0)
            dropTicketReservations(ready);
        if (m_placements.size() == before)
            reserveForGang(ready, service, now);
    }
    updateReservationPeriods(steps, services, now);
    // Steps request advice in placement order, as far as the remaining free capacity lasts.
    for (auto& ready : steps) {
        std::erase_if(ready.waitingTasks, [&](auto index) { return ready.step->tasks[index].phase != TaskPhase::Waiting; });
        if (!ready.waitingTasks.empty() && ready.queue && ready.queue->advice)
            requestAdvice(ready, services[ready.queue->service], now);
    }
}

} // namespace heatherchute::cell
