#include "Core.h"

namespace heatherchute {

static constexpr std::size_t inboxCapacity = 60'000;
static constexpr Milliseconds tickInterval { 20 };
/// Between two ticks this much time passes only when the process was paused.
static constexpr Milliseconds pauseTime { 2000 };
static constexpr Milliseconds fleetPollInterval { 1000 };
static constexpr Milliseconds vmListInterval { 5000 };
static constexpr Seconds holderListInterval { 30 };
/// Longer than any request may run and any heartbeat takes to be missed.
static constexpr Seconds holderAbsence { 75 };
/// The balancer and the other daemons get this long to learn that we leave.
static constexpr Milliseconds leaveNotice { 1500 };
/// Nothing may have happened for this long before the process ends.
static constexpr Milliseconds quietTime { 300 };
static constexpr Milliseconds expiryInterval { 500 };
/// What decides a call's outcome gets this long past the call's deadline.
static constexpr Seconds expiryGrace { 2 };
static constexpr std::size_t keptPeerCalls = 20'000;
static constexpr Seconds peerCallLife { 120 };

Core::Core(DaemonSettings settings, CorePorts ports)
    : m_settings(std::move(settings))
    , m_ports(std::move(ports))
    , m_self { protocolVersion, m_settings.name, randomToken(8), m_settings.failureDomain, addressText(m_settings.listenPeer) }
    , m_membership(m_self, m_settings.seeds)
    , m_vms(m_settings.name, m_settings.failureDomain)
    , m_jobs(m_settings.name, m_settings.failureDomain, m_limits)
    , m_requests(m_vms, m_limits, holderName())
    , m_fleet(makeFleet({}))
    , m_duty("core")
    , m_inbox(m_duty, inboxCapacity, [this](CoreEvent&& event) { handle(std::move(event)); })
{
}

void Core::start()
{
    m_duty.spawn([this] {
        for (;;) {
            tick();
            sleepFiber(m_duty.io(), tickInterval);
        }
    });
}

void Core::handle(CoreEvent&& event)
{
    // What came during a pause must not be acted on before the pause is noticed.
    noticePause(Clock::now());
    std::visit([this](auto& typed) { on(typed); }, event);
    deliverToSelf();
}

void Core::noticePause(TimePoint now)
{
    if (m_lastTick == TimePoint {} || now - m_lastTick < pauseTime)
        return;
    logEvent(LogLevel::Warning, "paused", { { "ms", std::chrono::duration_cast<Milliseconds>(now - m_lastTick).count() } });
    m_lastTick = now;
    m_jobs.revalidate();
}

void Core::tick()
{
    const auto now = Clock::now();
    noticePause(now);
    m_lastTick = now;
    flushBacklog();
    tickMembership(now);
    tickPolls(now);
    OwnershipActions vmActions;
    m_vms.tick(now, vmActions);
    run(std::move(vmActions));
    for (auto& reports : m_vms.dueReports(now)) {
        const auto home = m_homeDaemons.find(reports.shard);
        if (home != m_homeDaemons.end())
            send(home->second, std::move(reports));
    }
    JobActions jobActions;
    m_jobs.tick(now, jobActions);
    run(std::move(jobActions));
    RoutingActions routingActions;
    m_requests.tick(now, routingActions);
    run(std::move(routingActions));
    for (auto& change : m_limits.tick(now))
        order(std::move(change));
    expireRelays(now);
    expireKeyed(now);
    expireCalls(now);
    retryParked(now);
    wakeJobWaiters({}, now);
    deliverToSelf();
    tickShutdown(now);
}

void Core::tickMembership(TimePoint now)
{
    const auto actions = m_membership.tick(now);
    for (const auto link : actions.drops) {
        PeerOrder drop = DropPeer { link };
        m_ports.toPeers(drop);
    }
    for (const auto& address : actions.dials) {
        PeerOrder dial = DialPeer { address };
        m_ports.toPeers(dial);
    }
    // A new home is announced at once: callers are waiting for it.
    const bool isNews = m_jobs.homes().size() != m_homesAnnounced;
    if (actions.heartbeatDue || isNews)
        sendHeartbeats(now, isNews);
    refreshMembers();
}

void Core::tickPolls(TimePoint now)
{
    const bool polls = isReader() || !m_everConfirmed;
    if (polls && !m_pollInFlight && now >= m_nextPoll) {
        m_pollInFlight = true;
        m_nextPoll = now + fleetPollInterval;
        order(PollFleet {});
    }
    if (!m_vmListInFlight && now >= m_nextVmList) {
        m_vmListInFlight = true;
        m_nextVmList = now + vmListInterval;
        order(FetchVmList {});
    }
    if (isReader() && now >= m_nextHolderList) {
        m_nextHolderList = now + holderListInterval;
        order(ListHolders {});
    }
    std::erase_if(m_peerCalls, [now](const auto& entry) { return entry.second.reply && now - entry.second.since >= peerCallLife; });
    std::erase_if(m_keyedAnswers, [now](const auto& entry) { return now >= entry.second.until; });
    while (m_peerCalls.size() > keptPeerCalls)
        m_peerCalls.erase(m_peerCalls.begin());
}

void Core::expireCalls(TimePoint now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryInterval;
    std::vector<std::uint64_t> late;
    for (const auto& [call, open] : m_calls) {
        if (now >= open.deadline + expiryGrace)
            late.push_back(call);
    }
    for (const auto call : late)
        fail(call, ErrorKind::OutcomeUnknown);
}

void Core::order(OutsideOrder order)
{
    if (!m_backlog.empty() || !m_ports.toOutside(order))
        m_backlog.push_back(std::move(order));
}

void Core::flushBacklog()
{
    while (!m_backlog.empty() && m_ports.toOutside(m_backlog.front()))
        m_backlog.pop_front();
}

void Core::run(OwnershipActions&& actions)
{
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [this](LeaseCall& call) { order(std::move(call)); },
                       [this](StartCall& call) { order(std::move(call)); },
                       [this](OrderCall& call) { order(std::move(call)); },
                       [this](DomainNotice& notice) {
                           std::visit([this](const auto& typed) { sendToDomain(typed); }, notice.notice);
                       },
                       [this](SlotFreed& freed) {
                           RoutingActions routing;
                           m_requests.pump(freed.service, Clock::now(), routing);
                           run(std::move(routing));
                       },
                   },
            action);
    }
}

void Core::run(JobActions&& actions)
{
    const auto finishStep = [this](std::uint64_t token, bool durable) {
        const auto found = m_durableSteps.find(token);
        if (found == m_durableSteps.end())
            return;
        const auto step = std::move(found->second);
        m_durableSteps.erase(found);
        step.run(durable);
    };
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [this](ReadJournal& read) { order(std::move(read)); },
                       [this](AppendJournal& append) { order(std::move(append)); },
                       [this](TrimJournal& trim) { order(std::move(trim)); },
                       [this](SendToOwner& message) {
                           if (message.daemon.empty())
                               sendToDomain(message.message);
                           else
                               send(message.daemon, std::move(message.message));
                       },
                       [&](Durable& durable) { finishStep(durable.token, true); },
                       [&](NotDurable& failed) { finishStep(failed.token, false); },
                       [this](JobChanged& changed) { wakeJobWaiters(changed.job, Clock::now()); },
                   },
            action);
    }
}

void Core::run(RoutingActions&& actions)
{
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [this](DispatchCall& call) { order(std::move(call)); },
                       [this](RelayCall& call) {
                           if (relay(call.call, RelayKind::Service, call.daemon, call.delegated ? CallTarget::Entry : CallTarget::Endpoint, call.service, call.team, *call.request, call.deadline))
                               return;
                           RoutingActions routing;
                           m_requests.onRelayed(call.call, call.daemon, ErrorKind::NoEndpoint, Clock::now(), routing);
                           run(std::move(routing));
                       },
                       [this](CallEnded& ended) {
                           m_metrics.observe(Measure::Waiting, ended.className, ended.team, ended.waited);
                           if (ended.error == ErrorKind::None)
                               answer(ended.call, std::move(ended.response));
                           else
                               fail(ended.call, ended.error);
                       },
                   },
            action);
    }
}

void Core::on(JournalRead& event)
{
    JobActions actions;
    m_jobs.onJournalRead(event.shard, event.entries, Clock::now(), actions);
    run(std::move(actions));
}

void Core::on(JournalAppended& event)
{
    JobActions actions;
    m_jobs.onAppended(event.shard, event.sequence, event.outcome, Clock::now(), actions);
    run(std::move(actions));
}

void Core::on(AllotmentChanged& event)
{
    m_limits.onChanged(event.change, event.held, Clock::now());
}

void Core::on(VmListFetched& event)
{
    m_vmListInFlight = false;
    if (!event.vms)
        return;
    m_hasVmList = true;
    m_vmList = std::move(event.vms.value());
    m_vms.setVmList(m_vmList, Clock::now());
}

void Core::on(HoldersListed& event)
{
    if (!event.holders)
        return;
    const auto now = Clock::now();
    const auto prefix = "daemon/" + m_settings.failureDomain + "/";
    std::set<std::string> present { holderName() };
    for (const auto& [name, member] : m_membership.members()) {
        if (member.state != MemberState::Dead)
            present.insert(prefix + name + "/" + member.hello.boot);
    }
    ReclaimAllotments reclaim;
    for (const auto& holder : event.holders.value()) {
        if (!holder.starts_with(prefix) || present.contains(holder)) {
            m_absentHolders.erase(holder);
            continue;
        }
        const auto since = m_absentHolders.try_emplace(holder, now).first->second;
        if (now - since >= holderAbsence)
            reclaim.holders.push_back(holder);
    }
    if (!reclaim.holders.empty())
        order(std::move(reclaim));
}

void Core::on(LeaseEnded& event)
{
    OwnershipActions actions;
    m_vms.onLease(event.vm, event.ask, event.sentAt, event.answer, Clock::now(), actions);
    run(std::move(actions));
}

void Core::on(StartEnded& event)
{
    OwnershipActions actions;
    m_vms.onStarted(event.vm, event.task, event.error, Clock::now(), actions);
    run(std::move(actions));
}

void Core::on(DispatchEnded& event)
{
    RoutingActions routing;
    OwnershipActions vmActions;
    m_metrics.count("dispatches", event.result ? "answered" : std::string(errorAnswer(errorKind(event.result.error())).name));
    m_requests.onDispatched(event.call, event.vm, std::move(event.result), event.serviceTime, Clock::now(), routing, vmActions);
    run(std::move(routing));
    run(std::move(vmActions));
}

void Core::on(StopSignal& event)
{
    if (event.count > 1) {
        logEvent(LogLevel::Warning, "stopped_at_once", { { "calls_open", m_calls.size() }, { "owned", m_vms.ownsAnything() } });
        m_ports.exit(1);
        return;
    }
    logEvent(LogLevel::Info, "stopping", { { "calls_open", m_calls.size() } });
    m_stopping = true;
    m_stopSince = Clock::now();
    m_quietSince = m_stopSince;
    m_membership.setLeaving();
    m_vms.setLeaving();
    m_jobs.setLeaving();
    m_limits.setLeaving();
    sendHeartbeats(m_stopSince, true);
}

void Core::tickShutdown(TimePoint now)
{
    if (!m_stopping)
        return;
    const bool isQuiet = m_ports.frontInProgress() == 0 && m_calls.empty() && !m_vms.ownsAnything() && m_jobs.isIdle() && m_limits.isSettled();
    if (!isQuiet)
        m_quietSince = now;
    if (now - m_stopSince >= leaveNotice && now - m_quietSince >= quietTime) {
        logEvent(LogLevel::Info, "stopped");
        m_ports.exit(0);
    } else if (now - m_stopSince >= m_settings.graceBound) {
        logEvent(LogLevel::Warning, "grace_bound_reached",
            { { "calls_open", m_calls.size() }, { "owns_vms", m_vms.ownsAnything() }, { "has_shards", !m_jobs.isIdle() }, { "allotments_settled", m_limits.isSettled() } });
        m_ports.exit(1);
    }
}

} // namespace heatherchute
