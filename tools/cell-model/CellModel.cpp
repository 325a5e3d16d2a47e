#include "World.h"

#include <iostream>
#include <numeric>

namespace heatherchute::cell {

void ModelClock::at(TimePoint time, std::function<void()> action)
{
    m_events.push({ std::max(time, m_now), m_number++, std::make_shared<std::function<void()>>(std::move(action)) });
}

bool ModelClock::step(TimePoint end)
{
    if (m_events.empty() || m_events.top().time > end)
        return false;
    const auto event = m_events.top();
    m_events.pop();
    m_now = event.time;
    (*event.action)();
    return true;
}

World::World(const ModelSettings& settings)
    : m_settings(settings)
    , m_dice(settings.seed)
    , m_loadEnd(m_clock.now() + settings.load)
{
}

void World::broken(const std::string& text)
{
    constexpr std::size_t maxKept = 20;
    if (m_result.broken.size() < maxKept)
        m_result.broken.push_back(std::to_string(m_clock.milliseconds()) + " ms: " + text);
}

void World::trace(std::string_view what, const std::string& text)
{
    if (!m_settings.trace.empty() && text.find(m_settings.trace) != std::string::npos)
        std::cout << m_clock.milliseconds() << " owner " << m_owner << ' ' << what << ' ' << text << '\n';
}

void World::makePolicy()
{
    auto policy = std::make_shared<CellPolicy>();
    policy->version = 1;
    policy->services.push_back({ "workers", 64, false, false });
    double rate = 0;
    for (const auto& queue : m_settings.queues) {
        policy->queues.push_back(queue.policy);
        rate += queue.jobsPerSecond;
    }
    const auto cells = static_cast<double>(m_settings.vms) * m_settings.teamLimit;
    for (std::uint32_t i = 0; i < m_settings.teams; ++i) {
        const Room limit { static_cast<std::int64_t>(cells * static_cast<double>(m_settings.vmCapacity.cpuMilli)), static_cast<std::int64_t>(cells * static_cast<double>(m_settings.vmCapacity.memoryMb)), 0 };
        policy->teams.push_back({ "team-" + std::to_string(i), { "key-" + std::to_string(i) }, 2 * rate / m_settings.teams + 1, limit });
    }
    m_policy = policy;
}

void World::handIn(const std::string& id)
{
    m_jobs.at(id).handedIn = m_clock.now();
    auto* const tries = keep<std::function<void(int)>>();
    // A caller without an owner in reach, or without an answer, asks again.
    *tries = [this, id, tries](int left) {
        auto& known = m_jobs.at(id);
        if (known.isAccepted || left == 0)
            return;
        if (m_desk) {
            m_calls[m_nextCall] = id;
            ++known.openCalls;
            m_desk->submit(m_nextCall++, id, known.queue->policy.name, known.team, known.spec, m_clock.deskTime());
            pump();
        }
        m_clock.after(Milliseconds(700), [tries, left] { (*tries)(left - 1); });
    };
    (*tries)(200);
    if (const auto patience = m_jobs.at(id).cancelAfter) {
        m_clock.after(*patience, [this, id] {
            if (!m_desk || !m_jobs.at(id).isAccepted)
                return;
            m_calls[m_nextCall] = id;
            m_cancels.insert(m_nextCall);
            m_desk->cancel(m_nextCall++, id, m_clock.deskTime());
            pump();
        });
    }
}

void World::scheduleArrivals()
{
    for (auto& job : drawJobs(m_settings, m_vms)) {
        const auto id = job.id;
        m_clock.after(job.arrival, [this, id] { handIn(id); });
        m_jobs.emplace(id, std::move(job));
    }
}

void World::repeat(double meanSeconds, std::function<void()> fault)
{
    if (meanSeconds <= 0)
        return;
    auto* const next = keep<std::function<void()>>();
    *next = [this, meanSeconds, fault = std::move(fault), next] {
        if (m_clock.now() >= m_loadEnd)
            return;
        fault();
        m_clock.after(Milliseconds(std::llround(-std::log(1 - m_dice.uniform()) * meanSeconds * 1000) + 1), [next] { (*next)(); });
    };
    m_clock.after(Milliseconds(2000 + std::llround(m_dice.uniform() * meanSeconds * 1000)), [next] { (*next)(); });
}

void World::scheduleFaults()
{
    const auto anyVm = [this]() -> ModelVm& { return std::next(m_vms.begin(), static_cast<std::ptrdiff_t>(m_dice.next() % m_vms.size()))->second; };
    repeat(m_settings.faults.secondsBetweenCrashes, [this, anyVm] { crash(anyVm(), m_dice.uniform() < 0.7); });
    repeat(m_settings.faults.secondsBetweenCuts, [this, anyVm] { anyVm().cutUntil = m_clock.now() + Milliseconds(std::llround(m_dice.around(5000, 0.6))); });
    repeat(m_settings.faults.secondsBetweenOwners, [this] { changeOwner(); });
    repeat(m_settings.faults.secondsBetweenOutages, [this] { m_storeDownUntil = m_clock.now() + Milliseconds(std::llround(m_dice.around(3000, 0.5))); });
    repeat(m_settings.faults.secondsBetweenRestarts, [this, anyVm] { restart(anyVm()); });
    repeat(m_settings.faults.secondsBetweenHeldLinks, [this, anyVm] { holdLink(anyVm()); });
    repeat(m_settings.faults.secondsBetweenEvacuations, [this, anyVm] { evacuate(anyVm().report.failureDomain); });
    repeat(m_settings.faults.secondsBetweenDrains, [this, anyVm] {
        auto& vm = anyVm();
        vm.report.draining = true;
        updateRegistry();
        m_clock.after(Milliseconds(6000), [this, &vm] {
            vm.report.draining = false;
            crash(vm, true);
        });
    });
}

void World::evacuate(const std::string& domain)
{
    if (!m_evacuatedSince.emplace(domain, m_clock.now()).second)
        return;
    updateEvacuations();
    m_clock.after(Milliseconds(std::llround(m_dice.around(9000, 0.5))), [this, domain] {
        m_evacuatedSince.erase(domain);
        updateEvacuations();
    });
}

void World::updateEvacuations()
{
    toOwner(m_owner, uniformMs(2, 900), [this] {
        std::set<std::string> domains;
        for (const auto& [domain, since] : m_evacuatedSince)
            domains.insert(domain);
        m_desk->setEvacuatedDomains(std::move(domains), m_clock.deskTime());
    });
}

void World::updateRegistry()
{
    if (!m_desk)
        return;
    std::vector<VmReport> reports;
    for (auto& [id, vm] : m_vms) {
        if (!vm.isUp && !vm.isRestarting)
            continue;
        if (vm.isUp && vm.registered.incarnation == vm.report.incarnation && std::exchange(vm.shownTo, m_owner) != m_owner)
            vm.shownAt = m_clock.now();
        reports.push_back(vm.registered);
        reports.back().draining = vm.report.draining;
    }
    m_desk->setVms(reports, m_clock.deskTime());
}

void World::beginOwner()
{
    ++m_owner;
    CellLimits limits;
    limits.leases.lease = m_settings.vmLease;
    limits.hasEvacuations = m_settings.faults.secondsBetweenEvacuations > 0;
    m_desk = std::make_unique<CellDesk>(limits, m_clock.now() + inheritedLease(limits.leases));
    m_desk->setPolicy(m_policy);
    std::map<std::string, StoredJob> jobs;
    for (const auto& [key, value] : m_store) {
        const bool isSubmission = key.starts_with(submissionPrefix);
        const auto id = key.substr(isSubmission ? submissionPrefix.size() : progressPrefix.size());
        jobs[id].id = id;
        (isSubmission ? jobs[id].submission : jobs[id].progress) = value;
    }
    std::vector<StoredJob> stored;
    stored.reserve(jobs.size());
    for (auto& [id, job] : jobs)
        stored.push_back(std::move(job));
    std::vector<std::uint64_t> daemons;
    for (const auto& [daemon, adviser] : m_advisers)
        daemons.push_back(daemon);
    m_desk->setAdvisers(daemons);
    m_desk->load(stored, m_clock.deskTime());
    updateRegistry();
    if (limits.hasEvacuations)
        updateEvacuations();
    pump();
}

void World::changeOwner()
{
    if (m_settings.faults.doOwnersRestart)
        restartAdviser();
    m_desk.reset();
    ++m_owner;
    for (auto& [id, job] : m_jobs)
        job.isUnsure = job.isUnsure || std::exchange(job.openCalls, 0) > 0;
    const auto gone = m_owner;
    m_clock.after(Milliseconds(std::llround(m_dice.around(m_settings.faults.takeoverMs, 0.5))), [this, gone] {
        if (m_owner == gone)
            beginOwner();
    });
}

void World::toOwner(std::uint64_t owner, Milliseconds delay, std::function<void()> action)
{
    m_clock.after(delay, [this, owner, action = std::move(action)] {
        if (owner != m_owner || !m_desk)
            return;
        action();
        pump();
    });
}

void World::pump()
{
    // One pass serves all that happens in the same millisecond, as in the daemon.
    if (m_pumpWanted)
        return;
    m_pumpWanted = true;
    m_clock.after(Milliseconds(1), [this] {
        m_pumpWanted = false;
        if (!m_desk)
            return;
        const auto began = Clock::now();
        m_desk->advance(m_clock.deskTime());
        const auto tookUs = std::chrono::duration<double, std::micro>(Clock::now() - began).count();
        m_passUs.push_back(static_cast<float>(tookUs));
        m_result.longestPassUs = std::max(m_result.longestPassUs, tookUs);
        const auto owner = m_owner;
        for (const auto& action : m_desk->takeActions()) {
            if (owner != m_owner || !m_desk)
                return;
            carryOut(owner, owner, action);
        }
    });
}

void World::carryOut(std::uint64_t owner, std::uint64_t fence, const Action& action)
{
    if (const auto* const state = std::get_if<CommitState>(&action))
        commit(owner, *state);
    else if (const auto* const order = std::get_if<StartRun>(&action))
        start(owner, fence, *order);
    else if (const auto* const ended = std::get_if<StopRun>(&action))
        stop(owner, fence, *ended);
    else if (const auto* const heartbeat = std::get_if<BeatVm>(&action))
        beat(owner, fence, *heartbeat);
    else if (const auto* const withdrawal = std::get_if<WithdrawCommands>(&action))
        withdraw(withdrawal->vm);
    else if (const auto* const ask = std::get_if<AskAdvice>(&action))
        advise(owner, *ask);
    else if (const auto* const answer = std::get_if<AnswerCall>(&action))
        answered(*answer);
    else if (const auto* const decision = std::get_if<Decision>(&action))
        trace(decision->event, m_settings.trace.empty() ? std::string() : decision->fields.dump());
    else if (std::holds_alternative<LostOwnership>(action))
        changeOwner();
}

void World::commit(std::uint64_t owner, const CommitState& state)
{
    ++m_result.commits;
    const auto delay = std::max<Duration>(m_settings.storeDelay, m_storeDownUntil - m_clock.now());
    m_clock.after(std::chrono::duration_cast<Milliseconds>(delay), [this, owner, state] {
        // An earlier owner's write fails on its condition.
        if (owner != m_owner || !m_desk)
            return;
        for (const auto& write : state.writes) {
            if (write.value.empty())
                m_store.erase(write.key);
            else
                m_store[write.key] = write.value;
        }
        toOwner(owner, wire(), [this] { m_desk->onCommitted(m_clock.deskTime()); });
    });
}

void World::answered(const AnswerCall& answer)
{
    auto& job = m_jobs.at(m_calls.at(answer.call));
    const bool isCancel = m_cancels.contains(answer.call);
    if (!isCancel && job.openCalls > 0)
        --job.openCalls;
    if (answer.error != ErrorKind::None)
        return;
    if (isCancel)
        job.cancelAcknowledged = m_clock.now();
    else
        job.isAccepted = true;
}

void World::advise(std::uint64_t owner, const AskAdvice& order)
{
    /// Time beyond the expected processing time after which the owner stops waiting.
    constexpr Milliseconds adviceSlack { 2000 };
    ++m_result.adviceCalls;
    const auto sentAt = m_clock.now();
    auto& adviser = m_advisers.at(order.daemon);
    AdviceAnswer answer { order.daemon, order.step, order.vms, {}, Milliseconds(0), sentAt, AdviceResult::Busy, order.request, adviser.queue.waitOf(sentAt) };
    if (!adviser.queue.canSend(sentAt)) {
        toOwner(owner, wire() + wire(), [this, answer] { m_desk->onAdvice(answer, m_clock.deskTime()); });
        return;
    }
    const auto number = adviser.queue.send(order.cost, sentAt);
    m_result.longestAdviceWait = std::max(m_result.longestAdviceWait, std::chrono::duration_cast<Milliseconds>(adviser.serviceBusyUntil - sentAt));
    adviser.serviceBusyUntil = std::max(adviser.serviceBusyUntil, sentAt) + order.cost;
    const auto isOverdue = std::make_shared<bool>(false);
    const auto isAnswered = std::make_shared<bool>(false);
    m_clock.after(order.cost + adviceSlack, [this, owner, answer, isOverdue, isAnswered]() mutable {
        if (*isAnswered)
            return;
        *isOverdue = true;
        ++m_result.overdueAdvice;
        answer.result = AdviceResult::Overdue;
        toOwner(owner, Milliseconds(0), [this, answer] { m_desk->onAdvice(answer, m_clock.deskTime()); });
    });
    m_clock.at(adviser.serviceBusyUntil + wire(), [this, owner, answer, number, isOverdue, isAnswered]() mutable {
        const auto found = m_advisers.find(answer.daemon);
        if (found == m_advisers.end())
            return;
        auto& known = found->second;
        *isAnswered = true;
        known.queue.onResponse(number, m_clock.now());
        const auto& queue = *m_jobs.at(answer.step.job).queue;
        answer.result = AdviceResult::Answered;
        answer.wait = known.queue.waitOf(m_clock.now());
        answer.validity = queue.policy.advice->validity;
        for (const auto& vm : answer.asked) {
            if (isAllowed(stepText(answer.step), vm, queue.allowedShare))
                answer.allowed.emplace_back(vm, "ticket");
        }
        if (*isOverdue || owner != m_owner)
            answer.request = 0;
        toOwner(m_owner, wire(), [this, answer] { m_desk->onAdvice(answer, m_clock.deskTime()); });
    });
}

void World::restartAdviser()
{
    auto daemon = m_advisers.extract(std::next(m_advisers.begin(), static_cast<std::ptrdiff_t>(m_dice.next() % m_advisers.size())));
    daemon.mapped().queue = {};
    daemon.key() = m_nextAdviser++;
    m_advisers.insert(std::move(daemon));
}

ModelResult World::play()
{
    m_vms = makeVms(m_settings, m_clock.now());
    makePolicy();
    for (std::uint32_t i = 0; i < m_settings.daemons; ++i)
        m_advisers.try_emplace(m_nextAdviser++);
    beginOwner();
    scheduleArrivals();
    scheduleFaults();
    const auto end = m_loadEnd + m_settings.longestTail;
    auto* const tick = keep<std::function<void()>>();
    *tick = [this, tick] {
        pump();
        finishJobs();
        checkStandstill();
        m_clock.after(Milliseconds(20), [tick] { (*tick)(); });
    };
    m_clock.after(Milliseconds(1), [tick] { (*tick)(); });
    while (m_clock.step(end)) {
        const bool isDone = m_clock.now() > m_loadEnd + Seconds(2)
            && std::all_of(m_jobs.begin(), m_jobs.end(), [this](const auto& entry) { return entry.second.isOver || isEndless(entry.second); });
        if (isDone)
            break;
    }
    for (const auto& [id, job] : m_jobs) {
        if (job.isAccepted && !job.isOver && !isEndless(job)) {
            ++m_result.unfinished;
            broken("job " + id + " of " + job.queue->policy.name + " was accepted and is not over");
        }
    }
    if (!m_passUs.empty()) {
        m_result.meanPassUs = std::accumulate(m_passUs.begin(), m_passUs.end(), 0.0) / static_cast<double>(m_passUs.size());
        const auto nearLast = m_passUs.begin() + static_cast<std::ptrdiff_t>(m_passUs.size() * 99 / 100);
        std::nth_element(m_passUs.begin(), nearLast, m_passUs.end());
        m_result.passP99Us = *nearLast;
    }
    return m_result;
}

ModelResult playModel(const ModelSettings& settings)
{
    return World(settings).play();
}

} // namespace heatherchute::cell
