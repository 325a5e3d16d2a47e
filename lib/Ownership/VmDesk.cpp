#include "heatherchute/Ownership.h"

#include <algorithm>
#include <cassert>

namespace heatherchute {

VmDesk::VmDesk(std::string self, std::string failureDomain, OwnershipTimes times)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_times(times)
    , m_owners { m_self }
{
}

void VmDesk::setOwners(std::vector<std::string> owners)
{
    m_owners = std::move(owners);
}

void VmDesk::setDrained(std::set<std::string> drained)
{
    m_drained = std::move(drained);
}

void VmDesk::setVmList(const std::vector<VmInfo>& vms, TimePoint now)
{
    for (auto& [id, vm] : m_vms)
        vm.listed = false;
    for (const auto& info : vms) {
        if (info.failureDomain != m_failureDomain)
            continue;
        const auto [entry, isNew] = m_vms.try_emplace(info.id);
        auto& vm = entry->second;
        vm.info = info;
        vm.listed = true;
        if (isNew)
            vm.unreachableSince = now;
    }
}

bool VmDesk::isOwned(const Vm& vm, TimePoint now) const
{
    return vm.fencingToken != 0 && now + m_times.ownerMargin < vm.ownedUntil;
}

bool VmDesk::acceptsWork(const Vm& vm, TimePoint now) const
{
    return isOwned(vm, now) && vm.listed && !vm.leaving && !vm.info.leaving && !m_drained.contains(vm.info.id)
        && now >= vm.quarantinedUntil && shouldOwn(vm);
}

bool VmDesk::shouldOwn(const Vm& vm) const
{
    if (m_isShuttingDown || m_owners.empty())
        return false;
    return m_owners[rendezvousChoice(vm.info.id, m_owners)] == m_self;
}

Resources VmDesk::freeCapacity(const Vm& vm) const
{
    auto free = vm.info.capacity;
    for (const auto& [id, task] : vm.tasks) {
        // Declared sizes are unreliable, so the larger of declared and observed usage counts.
        if (!isFinal(task.state))
            free -= largerOf(task.attempt.size, task.used);
    }
    for (const auto& reservation : vm.reservations) {
        for (std::uint32_t i = 0; i < reservation.count; ++i)
            free -= reservation.size;
    }
    return free;
}

std::uint32_t VmDesk::freeSlots(const Vm& vm, TimePoint now) const
{
    const auto busy = vm.slotsInUse + vm.previousOwnerSlots;
    if (!acceptsWork(vm, now) || busy >= vm.info.slots)
        return 0;
    return vm.info.slots - busy;
}

void VmDesk::tick(TimePoint now, OwnershipActions& actions)
{
    for (auto it = m_vms.begin(); it != m_vms.end();) {
        auto& vm = it->second;
        std::erase_if(vm.reservations, [now](const Reservation& reservation) { return now >= reservation.expiresAt; });
        const auto freed = std::erase_if(vm.unresponsiveSlots, [now](TimePoint until) { return now >= until; });
        vm.slotsInUse -= static_cast<std::uint32_t>(freed);
        if (vm.fencingToken != 0 && now >= vm.ownedUntil)
            vm.fencingToken = 0;
        renewLease(vm, now, actions);
        detectLoss(vm, now, actions);
        startDueTasks(vm, now, actions);
        stopMemoryOveruse(vm, actions);
        const bool isRemovable = !vm.listed && vm.fencingToken == 0 && vm.tasks.empty() && vm.slotsInUse == 0 && vm.lostAnnounced;
        it = isRemovable ? m_vms.erase(it) : std::next(it);
    }
}

void VmDesk::renewLease(Vm& vm, TimePoint now, OwnershipActions& actions)
{
    if (vm.leaseInFlight || now < vm.nextLease)
        return;
    const auto address = parseAddress(vm.info.address);
    if (!address)
        return;
    const bool wanted = shouldOwn(vm);
    if (!wanted && vm.fencingToken == 0)
        return;
    // Starts in flight and requests on slots complete before the VM is released.
    const bool isBusy = vm.slotsInUse > 0 || std::any_of(vm.tasks.begin(), vm.tasks.end(), [](const auto& entry) {
        return entry.second.state == TaskState::Starting;
    });
    OwnerLeaseAsk request;
    request.owner = m_self;
    request.epoch = vm.fencingToken;
    request.ownerLeaseMs = static_cast<std::uint64_t>(m_times.ownerLease.count());
    request.taskLeaseMs = static_cast<std::uint64_t>(m_times.taskLease.count());
    request.seen = vm.lastSeenChange;
    request.settled = firstUnsettledStart(vm);
    for (const auto& task : vm.endedTasks) {
        if (task.sequence < request.settled)
            request.forget.push_back(task.id);
    }
    request.release = !wanted && !isBusy;
    if (vm.lowestTokensDue || vm.fencingToken == 0) {
        for (const auto& [shard, epoch] : m_lowestTokens)
            request.floors.push_back({ shard, epoch });
    }
    vm.leaseInFlight = true;
    vm.nextLease = now + m_times.renewInterval;
    actions.push_back(LeaseCall { vm.info.id, address.value(), std::move(request) });
}

void VmDesk::onLease(const std::string& name, const OwnerLeaseAsk& request, TimePoint sentAt, const Result<OwnerLeaseAnswer>& response, TimePoint now, OwnershipActions& actions)
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end())
        return;
    auto& vm = found->second;
    vm.leaseInFlight = false;
    if (!response) {
        // Retried soon, so that one lost call does not lose the ownership.
        vm.nextLease = now + m_times.renewInterval / 4;
        return;
    }
    vm.unreachableSince = now;
    vm.lostAnnounced = false;
    const auto& lease = response.value();
    if (!lease.granted) {
        vm.fencingToken = 0;
        vm.nextLease = now + std::min<Duration>(Milliseconds(lease.remainingMs + 20), m_times.renewInterval);
        return;
    }
    std::erase_if(vm.endedTasks, [&request](const EndedTask& task) {
        return std::find(request.forget.begin(), request.forget.end(), task.id) != request.forget.end();
    });
    vm.lowestTokensDue = false;
    if (request.release) {
        vm.fencingToken = 0;
        // The next owner reports what was not acknowledged.
        vm.tasks.clear();
        return;
    }
    onLeaseGranted(vm, request, lease, sentAt, now, actions);
}

void VmDesk::onLeaseGranted(Vm& vm, const OwnerLeaseAsk& request, const OwnerLeaseAnswer& response, TimePoint sentAt, TimePoint now, OwnershipActions& actions)
{
    // Compares with the request instead of the current state: the ownership lease may have expired
    // while a renewal was in flight, and the response to a renewal lists only changes.
    const bool isNewOwner = response.epoch != request.epoch || vm.incarnation != response.boot;
    if (vm.incarnation != response.boot)
        startIncarnation(vm, response.boot, now);
    vm.fencingToken = response.epoch;
    // Counted from the time the request was sent, so that the lease expires here before it expires
    // on the VM.
    vm.ownedUntil = sentAt + m_times.ownerLease;
    vm.lastGranted = sentAt;
    vm.leaving = response.leaving;
    // Requests of an earlier owner continue; the higher fencing token keeps new ones out.
    vm.previousOwnerSlots = isNewOwner ? response.slotsInUse : std::min(vm.previousOwnerSlots, response.slotsInUse);
    if (vm.previousOwnerSlots > 0)
        vm.nextLease = now + m_times.renewInterval / 5;
    for (const auto& lowest : response.floors)
        m_lowestTokens[lowest.shard] = std::max(m_lowestTokens[lowest.shard], lowest.epoch);
    if (isNewOwner) {
        // The response lists every task of the VM. A task that it lacks is not on the VM and, with
        // the higher fencing token, can no longer start there.
        std::set<std::string> present;
        for (const auto& change : response.changes)
            present.insert(change.id);
        for (auto& [id, task] : vm.tasks) {
            if (!present.contains(id) && !isFinal(task.state))
                setTaskState(task, task.state == TaskState::Starting ? TaskState::NotStarted : TaskState::Lost, "not on the VM", now);
        }
    }
    applyChanges(vm, response, now);
    if (isNewOwner) {
        actions.push_back(DomainNotice { VmOwned { vm.info.id } });
        for (const auto& service : vm.info.services)
            actions.push_back(SlotFreed { service });
    }
}

void VmDesk::startIncarnation(Vm& vm, const std::string& incarnation, TimePoint now)
{
    for (auto& [id, task] : vm.tasks) {
        if (!isFinal(task.state))
            setTaskState(task, task.state == TaskState::Starting ? TaskState::NotStarted : TaskState::Lost, "VM was restarted or replaced", now);
    }
    vm.incarnation = incarnation;
    vm.lastSeenChange = 0;
    vm.endedTasks.clear();
    vm.failuresInRow = 0;
    vm.failedJobs.clear();
}

void VmDesk::applyChanges(Vm& vm, const OwnerLeaseAnswer& response, TimePoint now)
{
    for (const auto& change : response.changes)
        applyChange(vm, change, now);
    vm.lastSeenChange = response.seen;
}

void VmDesk::applyChange(Vm& vm, const TaskChange& change, TimePoint now)
{
    const auto state = taskStateFromName(change.state);
    if (!state)
        return;
    const auto [entry, isNew] = vm.tasks.try_emplace(change.id);
    auto& task = entry->second;
    if (isNew) {
        task.attempt.id = change.id;
        task.attempt.job = jobOf(change.id);
        task.attempt.shard = shardOf(change.id);
        task.attempt.shardEpoch = change.shardEpoch;
        task.attempt.vm = vm.info.id;
        task.attempt.size = change.size;
    }
    task.used = change.used;
    if (isFinal(task.state) || task.state == *state)
        return;
    if (*state == TaskState::Failed)
        recordFailure(vm, task.attempt.job, now);
    else if (*state == TaskState::Succeeded)
        recordSuccess(vm);
    setTaskState(task, *state, change.detail.empty() ? task.detail : change.detail, now);
}

void VmDesk::setTaskState(Task& task, TaskState state, std::string detail, TimePoint now)
{
    task.state = state;
    task.detail = std::move(detail);
    task.acknowledged = false;
    task.nextReport = now;
}

std::uint64_t VmDesk::firstUnsettledStart(const Vm& vm)
{
    auto first = vm.nextSequence;
    for (const auto& [id, task] : vm.tasks) {
        if (task.state == TaskState::Starting || task.startInFlight)
            first = std::min(first, task.sequence);
    }
    return first;
}

void VmDesk::detectLoss(Vm& vm, TimePoint now, OwnershipActions& actions)
{
    if (vm.lostAnnounced || !shouldOwn(vm))
        return;
    const auto since = std::max(vm.unreachableSince, vm.lastGranted);
    const bool mayStillRun = now < since + m_times.taskLease + m_times.expiryMargin;
    if (mayStillRun || vm.fencingToken != 0)
        return;
    vm.lostAnnounced = true;
    for (auto& [id, task] : vm.tasks) {
        if (!isFinal(task.state))
            setTaskState(task, TaskState::Lost, "VM was unreachable until its task leases expired", now);
    }
    actions.push_back(DomainNotice { VmLost { vm.info.id } });
}

void VmDesk::startDueTasks(Vm& vm, TimePoint now, OwnershipActions& actions)
{
    if (!isOwned(vm, now))
        return;
    for (auto& [id, task] : vm.tasks) {
        if (task.state != TaskState::Starting || task.startInFlight || now < task.nextStart)
            continue;
        task.startInFlight = true;
        TaskStart start { vm.incarnation, vm.fencingToken, static_cast<std::uint64_t>(m_times.taskLease.count()), task.sequence, task.attempt };
        actions.push_back(StartCall { vm.info.id, parseAddress(vm.info.address).value(), std::move(start), vm.ownedUntil - m_times.ownerMargin });
    }
}

void VmDesk::onStarted(const std::string& name, const std::string& id, std::error_code error, TimePoint now, OwnershipActions& actions)
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end() || !found->second.tasks.contains(id))
        return;
    auto& vm = found->second;
    auto& task = vm.tasks[id];
    task.startInFlight = false;
    if (task.state != TaskState::Starting)
        return;
    if (!error) {
        setTaskState(task, TaskState::Running, {}, now);
        if (task.stopRequested)
            actions.push_back(OrderCall { name, parseAddress(vm.info.address).value(), id, vm.fencingToken, TaskOrder::Stop });
        return;
    }
    const auto kind = errorKind(error);
    if (kind == ErrorKind::Fenced || kind == ErrorKind::NeverRunnable) {
        setTaskState(task, TaskState::NotStarted, kind == ErrorKind::Fenced ? "fenced" : "insufficient capacity on the VM", now);
        return;
    }
    if (kind == ErrorKind::NoEndpoint && task.stopRequested) {
        setTaskState(task, TaskState::NotStarted, "stopped before start", now);
        return;
    }
    // The outcome is unknown: the same start is sent again until the VM reports it.
    task.nextStart = now + Milliseconds(200);
}

void VmDesk::stopMemoryOveruse(Vm& vm, OwnershipActions& actions)
{
    Resources used;
    Task* worst = nullptr;
    double worstExcess = 0;
    for (auto& [id, task] : vm.tasks) {
        if (task.state != TaskState::Running)
            continue;
        used += task.used;
        const auto excess = task.used.memoryMb - task.attempt.size.memoryMb;
        if (!task.stopRequested && excess > worstExcess) {
            worst = &task;
            worstExcess = excess;
        }
    }
    if (vm.fencingToken == 0 || !worst || used.memoryMb <= vm.info.capacity.memoryMb)
        return;
    worst->stopRequested = true;
    worst->detail = "stopped: task exceeded its declared memory and the VM is out of memory";
    const auto address = parseAddress(vm.info.address).value();
    actions.push_back(OrderCall { vm.info.id, address, worst->attempt.id, vm.fencingToken, TaskOrder::Checkpoint });
    actions.push_back(OrderCall { vm.info.id, address, worst->attempt.id, vm.fencingToken, TaskOrder::Stop });
}

void VmDesk::recordFailure(Vm& vm, const std::string& job, TimePoint now)
{
    // A faulty job fails on every VM; on a faulty VM different jobs fail and none succeeds.
    constexpr std::size_t failedJobsForQuarantine = 3;
    constexpr std::uint32_t maxDoublings = 6;
    vm.failedJobs.insert(job);
    ++vm.failuresInRow;
    if (vm.failedJobs.size() < failedJobsForQuarantine)
        return;
    vm.quarantinedUntil = now + m_times.quarantine * (1U << std::min(vm.quarantineCount, maxDoublings));
    ++vm.quarantineCount;
    // With these two placeholders, one more failure after the quarantine starts the next one.
    vm.failedJobs = { "previous", "evidence" };
}

void VmDesk::recordSuccess(Vm& vm)
{
    vm.failuresInRow = 0;
    vm.failedJobs.clear();
    vm.quarantineCount = 0;
}

bool VmDesk::ownsAnything() const
{
    return std::any_of(m_vms.begin(), m_vms.end(), [](const auto& entry) { return entry.second.fencingToken != 0; });
}

} // namespace heatherchute
