#include "Core.h"
#include "DelegatedCommands.h"

namespace heatherchute {

static constexpr std::size_t ringCapacity = 32'768;
/// Period of the core's timer; bounds the delay of work that no event triggers.
static constexpr Milliseconds tickInterval { 20 };

Milliseconds electionLease(const NodeSettings& settings)
{
    return std::max(cell::ElectionSettings().lease, settings.shortestStoreLease);
}

cell::LeaseLimits leaseLimits(const NodeSettings& settings)
{
    /// A VM loses its runs when it is unreachable for longer than its lease, and the runs of a VM
    /// that has crashed wait for the lease to expire before they restart. This value limits the wait.
    constexpr Milliseconds longestUsefulLease { 8000 };
    return { std::min(longestUsefulLease, settings.longestVmLease), settings.longestVmLease, maxCommandAge + platform::orderTimeout };
}

void NodeCore::logStatistics()
{
    constexpr Seconds statisticsInterval { 5 };
    const auto time = Clock::now();
    if (time < m_nextStatisticsLog)
        return;
    m_nextStatisticsLog = time + statisticsInterval;
    const auto milliseconds = [](const Duty& eventLoop) { return std::chrono::duration_cast<Milliseconds>(eventLoop.processorTime()).count(); };
    Json fields { { "tenure", cell::tenureName(m_election.tenure()) }, { "calls", m_requests.size() }, { "peers", m_peers.size() }, { "policy", m_policy ? m_policy->version : 0 }, { "core_cpu_ms", milliseconds(m_eventLoop) }, { "outside_cpu_ms", milliseconds(m_components.outbound->eventLoop()) }, { "peer_cpu_ms", milliseconds(m_components.links->eventLoop()) }, { "front_cpu_ms", milliseconds(m_components.front->eventLoop()) }, { "passes", m_passes }, { "pass_ms", std::chrono::duration_cast<Milliseconds>(m_passTime).count() } };
    if (m_scheduler) {
        const auto statistics = m_scheduler->figures();
        fields.update({ { "jobs", statistics.jobs }, { "waiting_tasks", statistics.waitingTasks }, { "placements", statistics.placements }, { "vms", statistics.vms }, { "reachable_vms", statistics.reachableVms }, { "orders", m_commands.size() } });
    }
    logEvent(LogLevel::Info, "figures", std::move(fields));
}

void NodeCore::stepDownForBetterOwner()
{
    /// Long enough for all daemons to connect to the owner, short enough for few jobs to queue up.
    constexpr Milliseconds settleTime { 700 };
    constexpr Milliseconds abstention { 2500 };
    const auto time = Clock::now();
    // Also while the cell is being read, which a daemon with a slow link may not finish.
    if (!m_election.isOwner() || m_isStopping || time - m_ownedSince < settleTime || time < m_nextStepDownCheck)
        return;
    m_nextStepDownCheck = time + settleTime;
    for (const auto& [link, peer] : m_peers) {
        const DaemonCapacity other { peer.hello.processorShare, peer.hello.linkMbps };
        if (!peer.isOpen || !isBetterOwner(other, capacity(), m_loopDelay.isLate()))
            continue;
        m_nextStepDownCheck = time + 4 * abstention;
        logEvent(LogLevel::Info, "better_owner_known", { { "peer", peer.hello.daemon }, { "processor_share", other.processorShare }, { "link_mbps", other.linkMbps }, { "is_late", m_loopDelay.isLate() }, { "is_loading", isLoadingCell() } });
        m_loopDelay.reset();
        // The others must know of the better daemon before they can claim, or one of them is the next owner.
        m_bestSuccessor = std::max(m_bestSuccessor, suitabilityOf(other));
        sendHelloToAll();
        m_election.stepDown("daemon " + peer.hello.daemon + " has a larger capacity", time, time + abstention);
        schedulePass();
        return;
    }
}

void NodeCore::stepDownIfLoadOverdue()
{
    if (!isLoadingCell())
        return;
    const auto time = Clock::now();
    m_loadDeadline.tick(m_election.tenure() == cell::Tenure::Owner, time);
    if (!m_loadDeadline.isOverdue())
        return;
    const auto pause = m_loadDeadline.onFailed();
    logEvent(LogLevel::Warning, "cell_load_overdue", { { "elapsed_ms", m_loadDeadline.elapsed().count() }, { "next_claim_ms", pause.count() } });
    m_election.stepDown("the cell was not loaded in time", time, time + pause);
    schedulePass();
}

static cell::ElectionSettings electionSettings(const NodeSettings& settings)
{
    cell::ElectionSettings election;
    election.daemon = settings.name;
    election.lease = electionLease(settings);
    election.claimDelay = claimDelayOf({ settings.processorShare, settings.linkMbps }, sufficientSuitability);
    return election;
}

NodeCore::NodeCore(NodeSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomToken(8))
    , m_eventLoop("core")
    , m_inbox(m_eventLoop, ringCapacity, [](Closure&& closure) { closure(); })
    , m_election(electionSettings(m_settings), stableHash(m_incarnation))
    , m_loopDelay(tickInterval)
{
}

cell::Now NodeCore::now() const
{
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    return { Clock::now(), std::chrono::duration_cast<Milliseconds>(unixTime).count() };
}

void NodeCore::start()
{
    m_ownerReachedAt = Clock::now();
    Closure begin = [this] {
        watchPolicy();
        watchOwner();
    };
    post(begin);
    m_eventLoop.spawn([this] {
        for (;;) {
            tick();
            sleepFiber(m_eventLoop.io(), tickInterval);
        }
    });
}

void NodeCore::schedulePass()
{
    if (m_isPassScheduled)
        return;
    // Queued behind the pending events, so that a single pass handles all of them.
    Closure closure = [this] {
        m_isPassScheduled = false;
        runPass();
    };
    m_isPassScheduled = post(closure);
}

void NodeCore::checkLease()
{
    const auto tenureBefore = m_election.tenure();
    m_election.tick(Clock::now());
    if (tenureBefore == cell::Tenure::Owner && m_election.tenure() == cell::Tenure::Unconfirmed)
        logEvent(LogLevel::Warning, "tenure_changed", { { "from", cell::tenureName(tenureBefore) }, { "to", cell::tenureName(m_election.tenure()) } });
}

void NodeCore::runPass()
{
    checkLease();
    runElection();
    if (m_scheduler) {
        m_scheduler->setTenured(m_election.tenure() == cell::Tenure::Owner);
        const auto passStart = Clock::now();
        m_scheduler->advance(now());
        m_passTime += Clock::now() - passStart;
        ++m_passes;
        runSchedulerActions();
    }
    sendResults();
    dispatchRequests();
}

void NodeCore::tick()
{
    expireRequests();
    expireAdviceRequests();
    expireCommands();
    maintainLinks();
    m_loopDelay.onTick(Clock::now());
    stepDownIfLoadOverdue();
    stepDownForBetterOwner();
    logStatistics();
    runPass();
    updateReadiness();
    if (m_isStopping)
        continueStop();
}

void NodeCore::updateReadiness()
{
    const bool hasOwner = isOwnerReachable();
    if (hasOwner)
        m_ownerReachedAt = Clock::now();
    m_wasOwnerReached = m_wasOwnerReached || hasOwner;
    // Another daemon would serve the callers no better while there is no owner, so this one remains in rotation.
    const bool isServing = hasOwner || (m_wasOwnerReached && isOwnerAbsentForAll());
    m_components.front->setReady(m_policy && isServing && !m_isStopping);
}

void NodeCore::adoptPolicy(std::string text, cell::CellPolicyPointer policy, std::string_view source)
{
    // A slow store read or a lagging peer may deliver an older version after a newer one.
    if (m_policy && policy->version <= m_policy->version)
        return;
    logEvent(LogLevel::Info, "policy_adopted", { { "version", policy->version }, { "before", m_policy ? m_policy->version : 0 }, { "source", source }, { "queues", policy->queues.size() }, { "teams", policy->teams.size() } });
    m_policyText = std::move(text);
    m_policy = std::move(policy);
    if (m_scheduler)
        m_scheduler->setPolicy(m_policy);
    schedulePass();
}

void NodeCore::onMetrics(std::uint64_t id)
{
    if (m_scheduler) {
        const auto statistics = m_scheduler->figures();
        m_metrics.gauge("jobs", static_cast<double>(statistics.jobs));
        m_metrics.gauge("waiting_tasks", static_cast<double>(statistics.waitingTasks));
        m_metrics.gauge("placements", static_cast<double>(statistics.placements));
        m_metrics.gauge("vms", static_cast<double>(statistics.vms));
        m_metrics.gauge("reachable_vms", static_cast<double>(statistics.reachableVms));
        m_metrics.gauge("evacuated_domains", static_cast<double>(statistics.evacuatedDomains));
        m_metrics.gauge("placements_in_evacuated_domains", static_cast<double>(statistics.placementsInEvacuatedDomains));
    }
    m_metrics.gauge("owns_cell", m_scheduler ? 1 : 0);
    m_metrics.gauge("cell_load_seconds", isLoadingCell() ? static_cast<double>(m_loadDeadline.elapsed().count()) / 1000 : 0);
    m_metrics.gauge("policy_version", m_policy ? static_cast<double>(m_policy->version) : 0);
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = m_metrics.text();
    m_components.front->respond(id, std::move(response));
}

void NodeCore::onStopSignal(int count)
{
    logEvent(LogLevel::Info, "stop_signal", { { "count", count }, { "owns_cell", m_scheduler != nullptr } });
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopSignalledAt = Clock::now();
    m_components.front->setReady(false);
    m_components.front->beginDrain();
    // The successor takes over while this daemon still accepts requests and forwards them to it.
    m_election.stepDown("the daemon is stopping", m_stopSignalledAt, m_stopSignalledAt + Seconds(3600));
    schedulePass();
}

void NodeCore::continueStop()
{
    /// The platform's health checks take 2 s to remove a daemon from rotation.
    constexpr Milliseconds rotationTime { 2500 };
    /// Part of the grace period reserved for the last responses.
    constexpr Milliseconds lastResponses { 1200 };
    const auto elapsed = Clock::now() - m_stopSignalledAt;
    if (elapsed < std::min(rotationTime, m_settings.grace - lastResponses))
        return;
    const bool isIdle = m_requests.empty() && m_components.front->requestsInProgress() == 0;
    if (!isIdle && elapsed < m_settings.grace - lastResponses / 2)
        return;
    logEvent(LogLevel::Info, "stopped", { { "name", m_settings.name }, { "unanswered", m_requests.size() } });
    m_components.exit(0);
}

} // namespace heatherchute
