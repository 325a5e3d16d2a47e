#include "CellModel.h"

namespace heatherchute::cell {

static ModelQueue makeQueue(const std::string& name, int priority, std::uint32_t attempts, double stretch, Milliseconds target, const AdvicePolicy& advice)
{
    ModelQueue queue;
    queue.policy.name = name;
    queue.policy.service = "workers";
    queue.policy.priority = priority;
    queue.policy.maxAttempts = attempts;
    queue.policy.stretch = stretch;
    queue.policy.target = target;
    queue.policy.advice = advice;
    return queue;
}

/// Three classes of work as the workshop has them: few large gangs, many medium jobs, and a
/// stream of short lookups that someone waits for.
static ModelSettings workshop(double rate, std::uint32_t vms, double widthFactor)
{
    ModelSettings settings;
    settings.vms = vms;
    auto large = makeQueue("large", 1, 2, 2.2, Milliseconds(1000), { Milliseconds(390), 5.5, Milliseconds(1500) });
    large.jobsPerSecond = 1.45 * rate;
    large.steps = 1.2;
    large.tasks = 8 * widthFactor;
    large.runMs = 5000;
    large.cpuMilli = 18'000;
    large.memoryMb = 37'000;
    large.gangShare = 1;
    large.checkpointShare = 0.5;
    large.allowedShare = 0.25;
    large.maxTasks = 24;
    large.worth = 12.8;
    auto medium = makeQueue("medium", 2, 4, 4, Milliseconds(3000), { Milliseconds(62), 0.88, Milliseconds(1500) });
    medium.jobsPerSecond = 4.35 * rate;
    medium.steps = 1.5;
    medium.tasks = 10 * widthFactor;
    medium.runMs = 3400;
    medium.cpuMilli = 3900;
    medium.memoryMb = 8000;
    medium.checkpointShare = 0.8;
    medium.spreadShare = 0.12;
    medium.allowedShare = 0.45;
    medium.maxTasks = 20;
    medium.worth = 2.67;
    auto urgent = makeQueue("urgent", 0, 4, 1.5, Milliseconds(250), { Milliseconds(7), 0.1, Milliseconds(1500) });
    urgent.jobsPerSecond = 38.6 * rate;
    urgent.tasks = 2;
    urgent.runMs = 800;
    urgent.cpuMilli = 5600;
    urgent.memoryMb = 16'000;
    urgent.gangShare = 0.3;
    urgent.estimateError = 0.9;
    urgent.allowedShare = 0.7;
    urgent.maxTasks = 12;
    urgent.worth = 0.422;
    settings.queues = { large, medium, urgent };
    return settings;
}

std::vector<std::string> modelDeployments()
{
    return { "workshop", "workshop-burst", "workshop-hot-team", "grown", "grown-burst", "large", "large-burst", "target" };
}

ModelSettings modelDeployment(const std::string& name)
{
    if (name == "workshop-burst")
        return workshop(1.6, 48, 1);
    if (name == "workshop-hot-team") {
        auto settings = workshop(1.8, 48, 1);
        settings.hotTeamFactor = 8;
        return settings;
    }
    if (name == "grown" || name == "grown-burst") {
        // Seven times the VMs, three times the jobs, each of them wider and heavier.
        auto settings = workshop(2.6, 350, 2.5);
        settings.teams = 20;
        settings.daemons = 41;
        settings.queues[0].jobsPerSecond = 4.33;
        settings.queues[1].jobsPerSecond = 7.17;
        settings.queues[1].cpuMilli = 6900;
        settings.queues[2].jobsPerSecond = 100;
        settings.queues[2].tasks = 3;
        settings.queues[2].cpuMilli = 9900;
        settings.load = Seconds(20);
        if (name == "grown-burst") {
            for (auto& queue : settings.queues)
                queue.jobsPerSecond *= 1.6;
        }
        return settings;
    }
    if (name == "large" || name == "large-burst") {
        // Ten times the VMs of the workshop, with wider and heavier work that fills four fifths of them.
        auto settings = workshop(1, 540, 1);
        settings.vmCapacity = { 64'000, 131'072, 0 };
        settings.vmsPerRack = 12;
        settings.failureDomains = 5;
        settings.teams = 29;
        settings.daemons = 97;
        auto& large = settings.queues[0];
        large.jobsPerSecond = 6.8;
        large.tasks = 20;
        large.maxTasks = 120;
        large.memoryMb = 33'000;
        large.worth = 5.77;
        large.policy.advice = AdvicePolicy { Milliseconds(480), 6.9, Milliseconds(1500) };
        auto& medium = settings.queues[1];
        medium.jobsPerSecond = 11.1;
        medium.tasks = 24;
        medium.maxTasks = 150;
        medium.runMs = 2200;
        medium.cpuMilli = 11'000;
        medium.memoryMb = 16'000;
        medium.worth = 2.21;
        medium.policy.advice = AdvicePolicy { Milliseconds(140), 2, Milliseconds(1500) };
        auto& urgent = settings.queues[2];
        urgent.jobsPerSecond = 78.9;
        urgent.tasks = 3.1;
        urgent.maxTasks = 19;
        urgent.runMs = 1000;
        urgent.cpuMilli = 16'000;
        urgent.worth = 0.435;
        urgent.policy.advice = AdvicePolicy { Milliseconds(20), 0.28, Milliseconds(1500) };
        if (name == "large-burst") {
            for (auto& queue : settings.queues)
                queue.jobsPerSecond *= 1.3;
        }
        settings.load = Seconds(25);
        return settings;
    }
    if (name == "target") {
        // 2,100 VMs, 190 starts a second, and some 20,000 tasks at once by the end of the load: tasks
        // of minutes.
        auto settings = workshop(1.22, 2100, 1);
        settings.failureDomains = 13;
        settings.teams = 200;
        settings.daemons = 210;
        for (auto& queue : settings.queues)
            queue.runMs *= 60;
        settings.load = Seconds(150);
        settings.longestTail = Seconds(3600);
        return settings;
    }
    return workshop(1, 48, 1);
}

void addRestarts(ModelSettings& settings)
{
    settings.longestVmLease = Milliseconds(10'000);
    settings.vmClockRate = 0.98;
    settings.faults.secondsBetweenRestarts = 0.7;
    settings.faults.areCommandsInherited = true;
    // Longer than any lease, and fewer, so that they leave room.
    auto& medium = settings.queues.at(1);
    medium.runMs = 14'000;
    medium.jobsPerSecond = 1.2;
    settings.longestTail = Seconds(240);
}

void addKindChanges(ModelSettings& settings)
{
    settings.faults.secondsBetweenRestarts = 0.7;
    settings.longestVmLease = Milliseconds(10'000);
    settings.vmClockRate = 0.98;
    settings.faults.doKindsChange = true;
    // Large gangs may not use enough VMs of one kind.
    for (std::size_t i = 1; i < settings.queues.size(); ++i)
        settings.queues[i].labelShare = 0.6;
    settings.longestTail = Seconds(240);
}

void addEvacuations(ModelSettings& settings)
{
    settings.faults.secondsBetweenEvacuations = 3;
    settings.faults.secondsBetweenOwners = 6;
    settings.faults.secondsBetweenCrashes = 4;
    settings.faults.secondsBetweenDrains = 9;
    // Two of three domains may be evacuated for much of the load.
    settings.longestTail = Seconds(240);
}

void addOwnerChanges(ModelSettings& settings)
{
    settings.faults.secondsBetweenOwners = 1;
    settings.faults.takeoverMs = 200;
    settings.faults.doOwnersRestart = true;
    // As many gangs as the advice service can just process, each small enough to leave free capacity.
    auto& large = settings.queues.at(0);
    large.jobsPerSecond = 4.5;
    large.steps = 1;
    large.tasks = 5;
    large.maxTasks = 8;
    large.runMs = 2500;
    large.cpuMilli = 8000;
    large.memoryMb = 20'000;
    for (std::size_t i = 1; i < settings.queues.size(); ++i)
        settings.queues[i].jobsPerSecond *= 0.1;
}

void addLongRunning(ModelSettings& settings)
{
    auto resident = makeQueue("resident", 2, 4, 4, Milliseconds(3000), {});
    resident.policy.advice.reset();
    // One job a day.
    resident.jobsPerSecond = 0.001;
    resident.isLongRunning = true;
    resident.runMs = 1e9;
    resident.cpuMilli = 20'000;
    resident.memoryMb = 1000;
    auto& large = settings.queues.at(0);
    large.oversizedGangShare = 0.05;
    // What the long-running tasks leave.
    for (auto& queue : settings.queues)
        queue.jobsPerSecond *= 0.6;
    settings.queues.push_back(std::move(resident));
}

void addHeldLinks(ModelSettings& settings)
{
    addKindChanges(settings);
    settings.faults.secondsBetweenRestarts = 0;
    settings.faults.secondsBetweenHeldLinks = 0.7;
    settings.faults.areCommandsInherited = true;
    settings.faults.failedRuns = 0.03;
}

void addIdleRoom(ModelSettings& settings)
{
    settings.faults.secondsBetweenOwners = 8;
    settings.teamLimit = 0.4;
    auto& medium = settings.queues.at(1);
    medium.idleRoomShare = 0.8;
    medium.memoryMb = static_cast<double>(settings.vmCapacity.memoryMb) / 4;
    settings.longestTail = Seconds(240);
}

void addLateCommands(ModelSettings& settings)
{
    settings.faults.lateOrders = 0.03;
    settings.faults.lateHeartbeats = 0.03;
    settings.faults.areLateCommandsInherited = true;
}

} // namespace heatherchute::cell
