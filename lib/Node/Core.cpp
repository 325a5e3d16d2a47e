#include "Core.h"

namespace heatherchute {

static constexpr std::size_t ringCapacity = 32'768;
/// Distance of the core's ticks; what events do not move moves within this time.
static constexpr Milliseconds tickEvery { 20 };

Milliseconds electionLease(const NodeSettings& settings)
{
    return std::max(cell::ElectionSettings().lease, settings.shortestStoreLease);
}

Milliseconds vmLease(const NodeSettings& settings)
{
    /// Longer outages of the path to a VM cost the work on it; a VM that is lost costs the wait.
    constexpr Milliseconds longestUseful { 8000 };
    return std::min(longestUseful, settings.longestVmLease);
}

Milliseconds inheritedLease(const NodeSettings& settings)
{
    /// A VM's clock may be 2% slow, and be ahead of the owner's idea of it by the network's delay.
    constexpr std::int64_t slowClockPercent = 103;
    constexpr Milliseconds clockSlack { 400 };
    return vmLease(settings) * slowClockPercent / 100 + clockSlack;
}

void NodeCore::logFigures()
{
    constexpr Seconds figuresEvery { 5 };
    const auto time = Clock::now();
    if (time < m_nextFigures)
        return;
    m_nextFigures = time + figuresEvery;
    const auto milliseconds = [](const Duty& duty) { return std::chrono::duration_cast<Milliseconds>(duty.processorTime()).count(); };
    Json fields { { "tenure", cell::tenureName(m_election.tenure()) }, { "calls", m_calls.size() }, { "peers", m_peers.size() }, { "policy", m_policy ? m_policy->version : 0 }, { "core_cpu_ms", milliseconds(m_duty) }, { "outside_cpu_ms", milliseconds(m_ports.outbound->duty()) }, { "peer_cpu_ms", milliseconds(m_ports.links->duty()) }, { "front_cpu_ms", milliseconds(m_ports.front->duty()) }, { "passes", m_passes }, { "pass_ms", std::chrono::duration_cast<Milliseconds>(m_passTime).count() } };
    if (m_desk) {
        const auto figures = m_desk->figures();
        fields.update({ { "jobs", figures.jobs }, { "waiting_tasks", figures.waitingTasks }, { "placements", figures.placements }, { "vms", figures.vms }, { "reachable_vms", figures.reachableVms }, { "orders", m_orders.size() } });
    }
    logEvent(LogLevel::Info, "figures", std::move(fields));
}

void NodeCore::yieldToStronger()
{
    /// An owner must be this many times weaker than another daemon to hand the cell over to it.
    constexpr double clearlyStronger = 2;
    /// Long enough that all daemons have met the owner, short enough that little is queued.
    constexpr Milliseconds settleTime { 700 };
    constexpr Milliseconds yieldTime { 2500 };
    const auto time = Clock::now();
    if (!m_desk || m_isStopping || time - m_ownedSince < settleTime || time < m_nextYield)
        return;
    m_nextYield = time + settleTime;
    for (const auto& [link, peer] : m_peers) {
        if (!peer.isOpen || peer.hello.processorShare < clearlyStronger * m_settings.processorShare)
            continue;
        m_nextYield = time + 4 * yieldTime;
        m_election.stepDown("daemon " + peer.hello.daemon + " is stronger", time, time + yieldTime);
        schedulePump();
        return;
    }
}

static cell::ElectionSettings electionSettings(const NodeSettings& settings)
{
    cell::ElectionSettings election;
    election.daemon = settings.name;
    election.lease = electionLease(settings);
    // The owner's work grows with the fleet, so the stronger daemons claim first.
    constexpr double strongShare = 0.25;
    constexpr Milliseconds weakDelay { 250 };
    if (settings.processorShare < strongShare)
        election.claimDelay = weakDelay;
    return election;
}

NodeCore::NodeCore(NodeSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomToken(8))
    , m_duty("core")
    , m_inbox(m_duty, ringCapacity, [](Closure&& closure) { closure(); })
    , m_election(electionSettings(m_settings), stableHash(m_incarnation))
{
}

cell::Now NodeCore::now() const
{
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    return { Clock::now(), std::chrono::duration_cast<Milliseconds>(unixTime).count() };
}

void NodeCore::start(NodePorts ports)
{
    m_ports = std::move(ports);
    Closure begin = [this] {
        watchPolicy();
        watchOwner();
    };
    post(begin);
    m_duty.spawn([this] {
        for (;;) {
            tick();
            sleepFiber(m_duty.io(), tickEvery);
        }
    });
}

void NodeCore::schedulePump()
{
    if (m_pumpScheduled)
        return;
    // Behind the events that have already come, so that one pass serves them all.
    Closure closure = [this] {
        m_pumpScheduled = false;
        pump();
    };
    m_pumpScheduled = post(closure);
}

void NodeCore::pump()
{
    runElection();
    if (m_desk) {
        m_desk->setTenured(m_election.tenure() == cell::Tenure::Owner);
        const auto began = Clock::now();
        m_desk->advance(now());
        m_passTime += Clock::now() - began;
        ++m_passes;
        runDesk();
    }
    sendResults();
    dispatchCalls();
}

void NodeCore::tick()
{
    m_election.tick(Clock::now());
    expireCalls();
    expireAdvice();
    expireOrders();
    keepLinks();
    yieldToStronger();
    logFigures();
    pump();
    updateReadiness();
    if (m_isStopping)
        continueStop();
}

void NodeCore::updateReadiness()
{
    const bool hasOwner = m_desk || ownerLink() != 0;
    m_ports.front->setReady(m_policy && hasOwner && !m_isStopping);
}

void NodeCore::adoptPolicy(std::string text, cell::CellPolicyPointer policy, std::string_view source)
{
    // A slow reader or a lagging peer may deliver an older version after a newer one.
    if (m_policy && policy->version <= m_policy->version)
        return;
    logEvent(LogLevel::Info, "policy_adopted", { { "version", policy->version }, { "before", m_policy ? m_policy->version : 0 }, { "source", source }, { "queues", policy->queues.size() }, { "teams", policy->teams.size() } });
    m_policyText = std::move(text);
    m_policy = std::move(policy);
    if (m_desk)
        m_desk->setPolicy(m_policy);
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen && peer.hello.policyVersion < m_policy->version)
            m_ports.links->send(link, PeerPolicy { m_policyText });
    }
    schedulePump();
}

void NodeCore::onMetrics(std::uint64_t id)
{
    if (m_desk) {
        const auto figures = m_desk->figures();
        m_metrics.gauge("jobs", static_cast<double>(figures.jobs));
        m_metrics.gauge("waiting_tasks", static_cast<double>(figures.waitingTasks));
        m_metrics.gauge("placements", static_cast<double>(figures.placements));
        m_metrics.gauge("vms", static_cast<double>(figures.vms));
        m_metrics.gauge("reachable_vms", static_cast<double>(figures.reachableVms));
    }
    m_metrics.gauge("owns_cell", m_desk ? 1 : 0);
    m_metrics.gauge("policy_version", m_policy ? static_cast<double>(m_policy->version) : 0);
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = m_metrics.text();
    m_ports.front->answer(id, std::move(response));
}

void NodeCore::onStopSignal(int count)
{
    logEvent(LogLevel::Info, "stop_signal", { { "count", count }, { "owns_cell", m_desk != nullptr } });
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopAt = Clock::now();
    m_ports.front->setReady(false);
    m_ports.front->beginDrain();
    // The successor begins while this daemon still answers, through it.
    m_election.stepDown("the daemon stops", m_stopAt, m_stopAt + Seconds(3600));
    schedulePump();
}

void NodeCore::continueStop()
{
    /// The platform's health checks need two seconds to take a daemon out of rotation.
    constexpr Milliseconds rotationTime { 2500 };
    /// Kept of the grace for the last answers.
    constexpr Milliseconds lastAnswers { 1200 };
    const auto since = Clock::now() - m_stopAt;
    if (since < std::min(rotationTime, m_settings.grace - lastAnswers))
        return;
    const bool isIdle = m_calls.empty() && m_ports.front->requestsInProgress() == 0;
    if (!isIdle && since < m_settings.grace - lastAnswers / 2)
        return;
    logEvent(LogLevel::Info, "stopped", { { "name", m_settings.name }, { "unanswered", m_calls.size() } });
    m_ports.exit(0);
}

} // namespace heatherchute
