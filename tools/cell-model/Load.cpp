#include "World.h"

namespace heatherchute::cell {

std::map<std::string, ModelVm> makeVms(const ModelSettings& settings, TimePoint now)
{
    std::map<std::string, ModelVm> vms;
    for (std::uint32_t i = 0; i < settings.vms; ++i) {
        ModelVm vm;
        vm.report.id = "vm-" + std::to_string(i);
        vm.report.service = "workers";
        vm.report.address = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
        vm.report.failureDomain = "d" + std::to_string(i % settings.failureDomains);
        vm.report.capacity = settings.vmCapacity;
        vm.report.rack = "r" + std::to_string(i % settings.failureDomains) + "-" + std::to_string(i / settings.vmsPerRack);
        vm.report.labels = { i % 2 ? "a" : "b", vm.report.rack };
        vm.report.incarnation = 1 + i;
        vm.registered = vm.report;
        vm.clockRate = settings.vmClockRate;
        vm.speed = i % 3 == 2 ? settings.slowFactor : 1;
        vm.bornAt = now - Milliseconds(100 * i);
        vms.emplace(vm.report.id, vm);
    }
    return vms;
}

bool isAllowed(const std::string& step, const std::string& vm, double share)
{
    return static_cast<double>(stableHash(step + vm) % 1000) < share * 1000;
}

/// Slots of all VMs where the step may run.
static std::uint32_t slotsFor(const std::map<std::string, ModelVm>& vms, const std::string& job, int step, const Room& need, double share)
{
    std::int64_t slots = 0;
    for (const auto& [id, vm] : vms) {
        if (isAllowed(stepText({ job, 0, static_cast<std::uint32_t>(step), 0 }), id, share))
            slots += std::min(vm.report.capacity.cpuMilli / need.cpuMilli, vm.report.capacity.memoryMb / need.memoryMb);
    }
    return static_cast<std::uint32_t>(slots);
}

static JobSpec drawSpec(const ModelSettings& settings, const std::map<std::string, ModelVm>& vms, const ModelQueue& queue, ModelJob& job, ModelDice& dice)
{
    JobSpec spec;
    spec.payload = "work";
    const auto steps = std::max(1, static_cast<int>(std::lround(dice.around(queue.steps, 0.4))));
    for (int s = 0; s < std::min(steps, 4); ++s) {
        StepSpec step;
        step.tasks = std::clamp(static_cast<std::uint32_t>(std::lround(dice.around(queue.tasks, 0.8))), 1U, queue.maxTasks);
        step.need = { std::max<std::int64_t>(100, std::llround(dice.around(queue.cpuMilli, 0.4))), std::max<std::int64_t>(10, std::llround(dice.around(queue.memoryMb, 0.5))), 0 };
        step.need.cpuMilli = std::min(step.need.cpuMilli, settings.vmCapacity.cpuMilli / 2);
        step.need.memoryMb = std::min(step.need.memoryMb, settings.vmCapacity.memoryMb / 3);
        step.gang = dice.uniform() < queue.gangShare;
        // Half of the slots that advice leaves, since VMs may be lost for good.
        const auto slots = slotsFor(vms, job.id, s, step.need, queue.allowedShare);
        step.tasks = std::clamp(step.tasks, 1U, std::max(1U, slots / 2));
        if (queue.labelShare > 0 && dice.uniform() < queue.labelShare) {
            step.requiredLabel = dice.uniform() < 0.5 ? "a" : "b";
            // About half of the VMs have it.
            step.tasks = std::clamp(step.tasks, 1U, std::max(1U, slots / 4));
        }
        if (step.gang && queue.oversizedGangShare > 0 && dice.uniform() < queue.oversizedGangShare) {
            step.tasks = std::max(1U, slots);
            job.hasOversizedGang = true;
        }
        step.usesIdleRoom = queue.idleRoomShare > 0 && dice.uniform() < queue.idleRoomShare;
        step.checkpointing = dice.uniform() < queue.checkpointShare;
        step.maxTasksPerVm = dice.uniform() < queue.spreadShare && step.tasks < settings.vms / 6 ? 1 : 0;
        if (queue.isLongRunning) {
            step.longRunning = true;
            step.need = { std::llround(queue.cpuMilli), std::llround(queue.memoryMb), 0 };
            step.tasks = settings.vms;
            step.maxTasksPerVm = 1;
        }
        if (s > 0)
            step.after = { static_cast<std::uint32_t>(s - 1) };
        double longest = 0;
        const auto common = std::min(dice.around(queue.runMs, 0.5), queue.runMs * 2.5);
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            const auto runMs = step.gang ? common : std::max(20.0, dice.around(common, 0.15));
            job.tasks[{ job.id, 0, static_cast<std::uint32_t>(s), i }] = { runMs, 0, false, false };
            longest = std::max(longest, runMs);
            job.coreSeconds += runMs / 1000 * static_cast<double>(step.need.cpuMilli) / 1000;
        }
        step.estimateMs = std::llround(common * (1 + queue.estimateError * (2 * dice.uniform() - 1)));
        job.chainMs += longest;
        spec.steps.push_back(step);
    }
    return spec;
}

static ModelJob drawJob(const ModelSettings& settings, const std::map<std::string, ModelVm>& vms, const ModelQueue& queue, ModelDice& dice)
{
    ModelJob job;
    for (int i = 0; i < 16; ++i)
        job.id.push_back("0123456789abcdef"[dice.next() % 16]);
    job.queue = &queue;
    const auto hot = settings.hotTeamFactor / (settings.hotTeamFactor + settings.teams - 1);
    const auto team = dice.uniform() < hot ? 0 : 1 + dice.next() % std::max(1U, settings.teams - 1);
    job.team = "team-" + std::to_string(std::min<std::uint64_t>(team, settings.teams - 1));
    job.spec = drawSpec(settings, vms, queue, job, dice);
    if (dice.uniform() < settings.faults.cancelledJobs)
        job.cancelAfter = Milliseconds(static_cast<std::int64_t>(dice.around(1500, 0.8)));
    return job;
}

std::vector<ModelJob> drawJobs(const ModelSettings& settings, const std::map<std::string, ModelVm>& vms)
{
    /// The owner has found its VMs by then.
    constexpr Milliseconds firstArrival { 1500 };
    std::vector<ModelJob> jobs;
    for (const auto& queue : settings.queues) {
        ModelDice dice(settings.seed + stableHash(queue.policy.name));
        for (auto arrival = firstArrival; arrival < settings.load;) {
            auto job = drawJob(settings, vms, queue, dice);
            job.arrival = arrival;
            jobs.push_back(std::move(job));
            const auto gapMs = -std::log(1 - dice.uniform()) / queue.jobsPerSecond * 1000;
            arrival += Milliseconds(std::max<std::int64_t>(1, std::llround(gapMs)));
        }
    }
    return jobs;
}

void countJob(const ModelJob& job, Milliseconds took, ModelResult& result)
{
    const auto objective = job.queue->policy.stretch * job.chainMs + static_cast<double>(job.queue->policy.target.count());
    const auto mean = job.queue->steps * job.queue->tasks * job.queue->runMs / 1000 * job.queue->cpuMilli / 1000;
    const auto worth = std::min(4.0, 0.3 + 0.7 * job.coreSeconds / mean) * job.queue->worth;
    const auto tookMs = static_cast<double>(took.count());
    for (auto* const row : { &result.queues[job.queue->policy.name], &result.teams[job.team] }) {
        ++row->jobs;
        row->worthOwed += worth;
        if (tookMs <= objective) {
            ++row->inObjective;
            row->worthEarned += worth;
        } else if (tookMs <= 3 * objective) {
            ++row->late;
            row->worthEarned += worth / 5;
        }
    }
}

bool failsByItself(const ModelSettings& settings, const TaskId& task, std::uint32_t run)
{
    constexpr std::uint64_t parts = 100'000;
    const auto drawn = stableHash(taskText(task) + "/" + std::to_string(run) + "/" + std::to_string(settings.seed)) % parts;
    return static_cast<double>(drawn) < settings.faults.failedRuns * static_cast<double>(parts);
}

} // namespace heatherchute::cell
