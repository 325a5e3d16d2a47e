#include "World.h"

namespace heatherchute::cell {

/// Time after which the owner gives up a command without a response.
static constexpr Milliseconds orderTimeout { 700 };

Room ModelVm::used() const
{
    Room sum;
    for (const auto& [task, run] : running)
        sum += run.need;
    return sum;
}

StartAnswer World::startAt(ModelVm& vm, std::uint64_t fence, const StartRun& order, bool isIncarnationSeen)
{
    if (fence < vm.fence)
        return StartAnswer::Fenced;
    vm.fence = fence;
    const auto nowMs = vm.clockMs(m_clock.now());
    const auto running = vm.running.find(order.task);
    if (running != vm.running.end() && running->second.run == order.run)
        return StartAnswer::Started;
    const auto barred = vm.forbidden.find(order.task);
    if (barred != vm.forbidden.end() && order.run <= barred->second)
        return StartAnswer::Superseded;
    if (running != vm.running.end())
        return StartAnswer::Superseded;
    if (order.deadlineMs <= nowMs)
        return StartAnswer::TooLate;
    checkStart(vm, order, isIncarnationSeen);
    ++m_result.starts;
    auto& job = m_jobs.at(order.task.job);
    if (!job.hasStarted) {
        job.hasStarted = true;
        m_result.queues[job.queue->policy.name].waitMs.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - job.handedIn).count());
    }
    ++vm.life;
    const auto runMs = job.tasks.at(order.task).runMs * vm.speed;
    const auto& spec = job.spec.steps.at(order.task.step);
    vm.running[order.task] = { order.run, takenOfVm(spec), spec.need, m_clock.now() + Milliseconds(std::llround(runMs)), vm.life, order.checkpoint };
    if (isGang(order.task))
        joinGang(vm, order.task, order.run, runMs);
    else
        beginRun(vm, order.task, order.run, runMs);
    extendLease(vm, order.deadlineMs);
    return StartAnswer::Started;
}

void World::beginRun(ModelVm& vm, const TaskId& task, std::uint32_t run, double runMs)
{
    const bool isFailing = failsByItself(m_settings, task, run);
    m_clock.after(Milliseconds(std::llround(isFailing ? runMs / 2 : runMs)), [this, &vm, task, run, isFailing] {
        const auto found = vm.running.find(task);
        if (vm.isUp && found != vm.running.end() && found->second.run == run)
            endRun(vm, task, isFailing ? RunEnd::Failed : RunEnd::Done);
    });
}

void World::joinGang(ModelVm& vm, const TaskId& task, std::uint32_t run, double runMs)
{
    constexpr Milliseconds gangTimeout { 3000 };
    const TaskId key { task.job, task.occurrence, task.step, run };
    auto& gang = m_gangs[key];
    gang.members[task] = vm.report.id;
    m_clock.after(gangTimeout, [this, key, &vm, task, run] {
        const auto found = vm.running.find(task);
        if (!m_gangs[key].isWorking && vm.isUp && found != vm.running.end() && found->second.run == run)
            endRun(vm, task, RunEnd::Alone);
    });
    if (gang.members.size() < m_jobs.at(task.job).spec.steps.at(task.step).tasks)
        return;
    gang.isWorking = true;
    const bool isFailing = failsByItself(m_settings, task, run);
    m_clock.after(Milliseconds(std::llround(isFailing ? runMs / 2 : runMs)), [this, key, &vm, task, run, isFailing] {
        const auto found = vm.running.find(task);
        if (!vm.isUp || found == vm.running.end() || found->second.run != run)
            return;
        if (isFailing)
            return endRun(vm, task, RunEnd::Failed);
        for (const auto& [member, id] : std::exchange(m_gangs[key].members, {})) {
            auto& other = m_vms.at(id);
            if (other.isUp && other.running.contains(member))
                endRun(other, member, RunEnd::Done);
            m_jobs.at(member.job).tasks.at(member).isDone = true;
        }
    });
}

void World::breakGang(const TaskId& member, std::uint32_t run)
{
    auto& gang = m_gangs[{ member.job, member.occurrence, member.step, run }];
    const auto others = std::exchange(gang.members, {});
    if (!gang.isWorking)
        return;
    for (const auto& [task, id] : others) {
        auto& vm = m_vms.at(id);
        const auto found = vm.running.find(task);
        if (task != member && vm.isUp && found != vm.running.end() && found->second.run == run)
            endRun(vm, task, RunEnd::Broken);
    }
}

void World::endRun(ModelVm& vm, const TaskId& task, RunEnd end)
{
    const auto run = vm.running.at(task).run;
    vm.running.erase(task);
    if (end != RunEnd::Done && isGang(task))
        breakGang(task, run);
    vm.forbidden[task] = std::max(vm.forbidden[task], run);
    vm.finished.push_back({ vm.nextEnd++, task, run, end, {} });
    trace(runEndName(end), "end " + taskText(task) + " run " + std::to_string(run) + " on " + vm.report.id);
    m_result.wastedRuns += end == RunEnd::Done ? 0 : 1;
    if (end == RunEnd::Done)
        m_jobs.at(task.job).tasks.at(task).isDone = true;
    for (auto& waiter : std::exchange(vm.waiters, {}))
        waiter();
}

void World::extendLease(ModelVm& vm, std::int64_t deadlineMs)
{
    const auto meant = Milliseconds(deadlineMs - vm.clockMs(m_clock.now()));
    const auto granted = std::min(meant, m_settings.longestVmLease.value_or(meant));
    vm.leaseUntil = std::max(vm.leaseUntil, m_clock.now() + Milliseconds(std::llround(static_cast<double>(granted.count()) / vm.clockRate)));
    m_clock.at(vm.leaseUntil, [this, &vm] { lapse(vm); });
}

void World::lapse(ModelVm& vm)
{
    if (!vm.isUp || m_clock.now() < vm.leaseUntil)
        return;
    // What ended before the lapse cannot be taken note of any more.
    vm.lapsedThrough = vm.nextEnd - 1;
    std::vector<TaskId> tasks;
    for (const auto& [task, run] : vm.running)
        tasks.push_back(task);
    for (const auto& task : tasks) {
        // The end of one member of a gang ends the others with it.
        if (vm.running.contains(task))
            endRun(vm, task, RunEnd::Lapsed);
    }
}

void World::goDown(ModelVm& vm)
{
    vm.isUp = false;
    const auto running = std::exchange(vm.running, {});
    for (const auto& [task, run] : running) {
        if (isGang(task))
            breakGang(task, run.run);
    }
    vm.finished.clear();
    vm.forbidden.clear();
    vm.waiters.clear();
    vm.seenBy = 0;
    vm.shownTo = 0;
    vm.nextEnd = 1;
    vm.lapsedThrough = 0;
    vm.fence = 0;
    ++vm.life;
}

void World::crash(ModelVm& vm, bool isBack)
{
    if (!vm.isUp)
        return;
    trace("crash", vm.report.id);
    goDown(vm);
    m_clock.after(Milliseconds(3000), [this] { updateRegistry(); pump(); });
    if (!isBack)
        return;
    m_clock.after(Milliseconds(std::llround(m_dice.around(2500, 0.5))), [this, &vm] {
        vm.isUp = true;
        vm.bornAt = m_clock.now();
        vm.report.incarnation += 1000;
        vm.registered = vm.report;
        updateRegistry();
        pump();
    });
}

void World::beginIncarnation(ModelVm& vm)
{
    vm.isRestarting = false;
    vm.isUp = true;
    vm.bornAt = m_clock.now();
    vm.leaseUntil = TimePoint();
    vm.report.incarnation += 1000;
    if (m_settings.faults.doKindsChange)
        vm.report.labels.at(0) = vm.report.labels.at(0) == "a" ? "b" : "a";
}

void World::registerVm(ModelVm& vm)
{
    vm.registered = vm.report;
    updateRegistry();
    pump();
}

void World::restart(ModelVm& vm)
{
    constexpr double cutShare = 0.7;
    if (!vm.isUp)
        return;
    trace("restart", vm.report.id);
    goDown(vm);
    vm.isRestarting = true;
    m_clock.after(uniformMs(200, 1500), [this, &vm] {
        beginIncarnation(vm);
        m_clock.after(uniformMs(0, 1500), [this, &vm] { registerVm(vm); });
        if (m_dice.uniform() < cutShare)
            m_clock.after(uniformMs(50, 1500), [this, &vm] { vm.cutUntil = m_clock.now() + uniformMs(4000, 16'000); });
    });
}

void World::deliver(const std::string& vm, Milliseconds delay, ModelCommand command)
{
    /// A command waits for so long in its queue and for its connection.
    constexpr Milliseconds longestDelivery { 1700 };
    m_clock.after(delay, [this, vm, end = m_clock.now() + longestDelivery, withdrawals = m_vms.at(vm).withdrawals, command = std::move(command)] {
        auto& recipient = m_vms.at(vm);
        if (m_clock.now() < recipient.heldUntil && withdrawals != recipient.withdrawals)
            command.giveUp();
        else if (m_clock.now() < recipient.heldUntil)
            holdUp(recipient, command);
        else
            waitForRestart(recipient, end, command.execute);
    });
}

void World::waitForRestart(ModelVm& vm, TimePoint end, std::function<void(ModelVm&)> execute)
{
    if (!m_settings.faults.areCommandsInherited || !vm.isRestarting || m_clock.now() >= end)
        return execute(vm);
    m_clock.after(Milliseconds(10), [this, &vm, end, execute = std::move(execute)] { waitForRestart(vm, end, execute); });
}

void World::start(std::uint64_t owner, std::uint64_t fence, const StartRun& order)
{
    const auto sentAt = m_clock.now();
    const auto giveUp = [this, owner, order, sentAt](Milliseconds delay) {
        toOwner(owner, delay, [this, order, sentAt] { m_desk->onStart({ order.vm, order.task, order.run, StartAnswer::Unknown, sentAt, 0 }, m_clock.deskTime()); });
    };
    const auto lost = [giveUp] { giveUp(orderTimeout); };
    auto delay = wire();
    const bool isLate = m_dice.uniform() < m_settings.faults.lateOrders;
    const bool isLost = isLate || m_dice.uniform() < m_settings.faults.lostAnswers;
    if (isLate)
        delay += Milliseconds(2000 + std::llround(m_dice.uniform() * 10'000));
    if (isLost)
        lost();
    const auto sentTo = m_vms.at(order.vm).bornAt;
    const bool isSeen = m_vms.at(order.vm).seenBy == owner;
    const bool isInherited = isLate ? m_settings.faults.areLateCommandsInherited : m_settings.faults.areCommandsInherited;
    const auto execute = [this, owner, fence, order, isLost, isLate, lost, sentAt, sentTo, isSeen, isInherited](ModelVm& vm) {
        const bool isDelivered = isReachable(vm) && (isInherited || vm.bornAt == sentTo);
        if (!isDelivered && !isLost)
            return lost();
        if (!isDelivered)
            return;
        const bool isIncarnationSeen = (isSeen && vm.bornAt == sentTo) || (!isLate && isKnownTo(owner, vm));
        const auto startsBefore = m_result.starts;
        const auto answer = startAt(vm, fence, order, isIncarnationSeen);
        m_result.startsOnLaterIncarnations += isIncarnationSeen || vm.bornAt == sentTo ? 0 : m_result.starts - startsBefore;
        trace(startAnswerName(answer), "start " + taskText(order.task) + " run " + std::to_string(order.run) + " on " + order.vm + " fence " + std::to_string(fence));
        if (!isLost)
            toOwner(owner, wire(), [this, order, answer, sentAt, clockMs = vm.clockMs(m_clock.now())] { m_desk->onStart({ order.vm, order.task, order.run, answer, sentAt, clockMs }, m_clock.deskTime()); });
    };
    const auto giveUpHeld = [isLost, giveUp] {
        if (!isLost)
            giveUp(Milliseconds(0));
    };
    deliver(order.vm, delay, { sentAt + delay + orderTimeout, execute, giveUpHeld });
}

void World::stop(std::uint64_t owner, std::uint64_t fence, const StopRun& order)
{
    const auto execute = [this, owner, fence, order](ModelVm& vm) {
        const bool isReached = isReachable(vm);
        const bool isFenced = isReached && fence < vm.fence;
        if (isReached && !isFenced) {
            vm.fence = fence;
            vm.forbidden[order.task] = std::max(vm.forbidden[order.task], order.run);
            const auto found = vm.running.find(order.task);
            if (found != vm.running.end() && found->second.run <= order.run) {
                m_clock.after(Milliseconds(80), [this, &vm, task = order.task, life = found->second.life] {
                    const auto still = vm.running.find(task);
                    if (vm.isUp && still != vm.running.end() && still->second.life == life)
                        endRun(vm, task, RunEnd::Stopped);
                });
            }
        }
        toOwner(owner, isReached ? wire() : orderTimeout, [this, order, isReached, isFenced] {
            const auto answer = isFenced ? StopAnswer::Fenced : isReached ? StopAnswer::Stopped
                                                                          : StopAnswer::Unknown;
            m_desk->onStop(order.vm, order.task, order.run, answer, m_clock.deskTime());
        });
    };
    const auto giveUp = [this, owner, order] {
        toOwner(owner, Milliseconds(0), [this, order] { m_desk->onStop(order.vm, order.task, order.run, StopAnswer::Unknown, m_clock.deskTime()); });
    };
    deliver(order.vm, wire(), { m_clock.now() + orderTimeout, execute, giveUp });
}

void World::acknowledge(ModelVm& vm, std::uint64_t number)
{
    std::erase_if(vm.finished, [&](const FinishedTask& ended) {
        if (ended.number > number)
            return false;
        auto& task = m_jobs.at(ended.task.job).tasks.at(ended.task);
        const bool isNoted = ended.end == RunEnd::Done && ended.number > vm.lapsedThrough;
        task.doneNoted = task.doneNoted || isNoted;
        if (isNoted && isGang(ended.task)) {
            // One end stands for the whole gang.
            for (auto& [id, other] : m_jobs.at(ended.task.job).tasks) {
                if (id.step == ended.task.step && id.occurrence == ended.task.occurrence)
                    other.doneNoted = other.isDone = true;
            }
        }
        task.failuresNoted += ended.end == RunEnd::Failed ? 1 : 0;
        return true;
    });
}

void World::executeHeartbeat(ModelVm& vm, std::uint64_t fence, const BeatVm& order)
{
    vm.fence = fence;
    acknowledge(vm, order.acknowledged);
    if (order.deadlineMs > 0)
        extendLease(vm, order.deadlineMs);
}

void World::answerHeartbeat(std::uint64_t owner, Milliseconds delay, const BeatAnswer& answer)
{
    toOwner(owner, delay, [this, answer] { m_desk->onBeat(answer, m_clock.deskTime()); });
}

void World::beatLate(std::uint64_t owner, std::uint64_t fence, const BeatVm& order)
{
    const auto sentTo = m_vms.at(order.vm).bornAt;
    m_clock.after(uniformMs(2000, 12'000), [this, fence, order, sentTo] {
        auto& vm = m_vms.at(order.vm);
        const bool isInherited = m_settings.faults.areLateCommandsInherited || vm.bornAt == sentTo;
        if (isReachable(vm) && isInherited && fence >= vm.fence)
            executeHeartbeat(vm, fence, order);
    });
    const BeatAnswer answer { order.vm, m_clock.now(), false, std::nullopt };
    answerHeartbeat(owner, order.wait + orderTimeout, answer);
}

void World::beat(std::uint64_t owner, std::uint64_t fence, const BeatVm& order)
{
    if (m_settings.faults.lateHeartbeats > 0 && m_dice.uniform() < m_settings.faults.lateHeartbeats)
        return beatLate(owner, fence, order);
    const auto sentAt = m_clock.now();
    const auto execute = [this, owner, fence, order, sentAt](ModelVm& vm) {
        BeatAnswer answer { order.vm, sentAt, false, std::nullopt };
        if (!isReachable(vm)) {
            answerHeartbeat(owner, orderTimeout, answer);
            return;
        }
        if (fence < vm.fence) {
            answer.fenced = true;
            answerHeartbeat(owner, wire(), answer);
            return;
        }
        executeHeartbeat(vm, fence, order);
        auto isAnswered = std::make_shared<bool>(false);
        auto reply = [this, &vm, owner, answer, isAnswered, bornAt = vm.bornAt]() mutable {
            if (std::exchange(*isAnswered, true))
                return;
            if (!isReachable(vm) || vm.bornAt != bornAt) {
                answerHeartbeat(owner, orderTimeout, answer);
                return;
            }
            VmState state { vm.clockMs(m_clock.now()), vm.report.incarnation, {}, vm.finished };
            for (const auto& [task, run] : vm.running)
                state.running.push_back({ task, run.run, run.checkpoint, 100 });
            answer.state = state;
            toOwner(owner, wire(), [this, &vm, owner, answer] {
                // A VM that is down keeps the number of its last incarnation until it is back.
                if (vm.isUp && vm.report.incarnation == answer.state->incarnation)
                    vm.seenBy = owner;
                m_desk->onBeat(answer, m_clock.deskTime());
            });
        };
        if (order.wait.count() == 0 || !vm.finished.empty())
            return reply();
        vm.waiters.emplace_back(reply);
        m_clock.after(order.wait, reply);
    };
    const auto giveUp = [this, owner, order, sentAt] {
        answerHeartbeat(owner, Milliseconds(0), { order.vm, sentAt, false, std::nullopt });
    };
    deliver(order.vm, wire(), { sentAt + order.wait + orderTimeout, execute, giveUp });
}

} // namespace heatherchute::cell
