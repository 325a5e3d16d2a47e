#include "Core.h"

#include <algorithm>

namespace heatherchute {

static constexpr Milliseconds helloInterval { 400 };
/// A silent link is dropped and replaced after this time, which is four missed heartbeats.
static constexpr Milliseconds silenceTimeout { 1600 };
static constexpr Milliseconds dialInterval { 250 };

/// The owner's links are silent for about this time before callers are sent elsewhere: three missed
/// heartbeats. The link itself is kept for longer.
static constexpr Milliseconds doubtTimeout { 1200 };

bool NodeCore::isHeard(const Peer& peer)
{
    return peer.isOpen && Clock::now() - peer.lastHeard < doubtTimeout;
}

LinkId NodeCore::ownerLink() const
{
    const auto& record = m_election.record();
    // An owner that has been replaced without noticing still says that it owns the cell.
    LinkId newest = 0;
    std::uint64_t newestToken = record ? record->revision : 0;
    for (const auto& [link, peer] : m_peers) {
        if (!peer.isOpen || !peer.hello.ownsCell || peer.hello.fencingToken < newestToken)
            continue;
        newest = link;
        newestToken = peer.hello.fencingToken;
    }
    return newest;
}

bool NodeCore::isOwnerReachable() const
{
    if (m_scheduler)
        return !isIsolatedOwner();
    const auto link = ownerLink();
    return link != 0 && isHeard(m_peers.at(link));
}

void NodeCore::updateBestSuccessor(TimePoint time)
{
    if (time < m_nextSuccessorUpdate)
        return;
    m_nextSuccessorUpdate = time + helloInterval;
    m_bestSuccessor = 0;
    for (const auto& [link, peer] : m_peers) {
        if (peer.isOpen && !peer.hello.daemon.empty())
            m_bestSuccessor = std::max(m_bestSuccessor, suitabilityOf({ peer.hello.processorShare, peer.hello.linkMbps }));
    }
}

bool NodeCore::isOwnerAbsentForAll() const
{
    /// Two watches of the owner record without a response, and a margin.
    constexpr Milliseconds maxRecordAge { 2500 };
    if (Clock::now() - m_ownerReadAt > maxRecordAge)
        return false;
    if (isLoadingCell() || m_ownerDirectory.address().empty())
        return true;
    return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& entry) { return isHeard(entry.second) && entry.second.hello.isLoadingCell; });
}

std::size_t NodeCore::peersHeard() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) { return isHeard(entry.second); }));
}

bool NodeCore::isIsolatedOwner() const
{
    // The peers are not counted while the lease holds: each heartbeat to each of them asks.
    const bool isConfirmed = m_election.tenure() == cell::Tenure::Owner;
    return m_scheduler && !isConfirmed && isOwnerIsolated({ isConfirmed, peersHeard(), m_peersAtRenewal });
}

std::optional<Address> NodeCore::ownerAddress() const
{
    const auto address = parseAddress(m_ownerDirectory.address());
    if (!address || address.value() == m_settings.advertisePeers)
        return std::nullopt;
    return address.value();
}

void NodeCore::sendHello(LinkId link, Peer& peer)
{
    peer.lastHello = Clock::now();
    PeerHello hello { m_settings.name, m_settings.failureDomain, m_incarnation, m_policy ? m_policy->version : 0, m_scheduler && !isIsolatedOwner(), addressText(m_settings.advertisePeers), m_scheduler ? m_election.fencingToken() : 0, m_settings.processorShare, {}, 0, bootTimeMs(), m_settings.linkMbps, isLoadingCell(), m_bestSuccessor };
    if (const auto& record = m_election.record()) {
        hello.ownerAddress = record->peerAddress;
        hello.ownerRevision = record->revision;
    }
    m_components.links->send(link, hello);
}

void NodeCore::sendHelloToAll()
{
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen)
            sendHello(link, peer);
    }
}

void NodeCore::stepDownIfVmsUnreachable(TimePoint time)
{
    /// An owner that cannot reach most VMs for this time gives up the cell, since another daemon may
    /// be able to reach them.
    constexpr Milliseconds unreachableTimeout { 1200 };
    /// Longer than most network partitions, so that this daemon does not reclaim the cell too early.
    constexpr Milliseconds abstention { 6000 };
    constexpr std::size_t minVms = 4;
    if (!m_scheduler || m_election.tenure() != cell::Tenure::Owner) {
        m_majorityReachedAt = time;
        return;
    }
    const auto [listed, reached] = m_scheduler->reach();
    if (listed < minVms || reached * 2 >= listed)
        m_majorityReachedAt = time;
    if (time - std::max(m_majorityReachedAt, m_ownedSince) < unreachableTimeout)
        return;
    m_majorityReachedAt = time;
    // Daemons that this one can still reach are most likely on the same side of the partition.
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen)
            m_components.links->send(link, OwnerStepDown {});
    }
    m_election.stepDown("only " + std::to_string(reached) + " of " + std::to_string(listed) + " VMs are reachable", time, time + abstention);
    schedulePass();
}

void NodeCore::handle(LinkId, const OwnerStepDown&)
{
    /// Lets daemons that did not receive the message claim the cell first.
    constexpr Milliseconds claimPause { 700 };
    m_election.abstain(Clock::now() + claimPause);
}

void NodeCore::maintainLinks()
{
    const auto time = Clock::now();
    updateBestSuccessor(time);
    std::vector<LinkId> silent;
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen && time - peer.lastHello >= helloInterval)
            sendHello(link, peer);
        if (time - peer.lastHeard > silenceTimeout)
            silent.push_back(link);
    }
    for (const auto link : silent) {
        logEvent(LogLevel::Warning, "peer_silent", { { "peer", m_peers.at(link).hello.daemon }, { "address", addressText(m_peers.at(link).dialled) } });
        m_components.links->drop(link);
        onLinkClosed(link);
    }
    stepDownIfVmsUnreachable(time);
    if (m_scheduler || m_election.isOwner() || time < m_nextDial)
        return;
    const auto address = ownerAddress();
    if (!address)
        return;
    for (const auto& [link, peer] : m_peers) {
        if (peer.isOutgoing && peer.dialled == *address)
            return;
    }
    m_nextDial = time + dialInterval;
    m_components.links->dial(*address);
}

void NodeCore::onDialled(const Address& address, LinkId link)
{
    if (link == 0)
        return;
    auto& peer = m_peers[link];
    peer.isOutgoing = true;
    peer.dialled = address;
    peer.lastHeard = Clock::now();
}

void NodeCore::onLinkOpen(LinkId link, bool outgoing)
{
    auto& peer = m_peers[link];
    peer.isOpen = true;
    peer.isOutgoing = outgoing;
    peer.lastHeard = Clock::now();
    sendHello(link, peer);
}

void NodeCore::onLinkClosed(LinkId link)
{
    const auto found = m_peers.find(link);
    if (found == m_peers.end())
        return;
    const bool wasOwner = link == ownerLink();
    const auto lastHeard = found->second.lastHeard;
    logEvent(LogLevel::Info, "peer_lost", { { "peer", found->second.hello.daemon }, { "owner", wasOwner } });
    m_peers.erase(found);
    updateAdvisers();
    // Requests without a response from the owner are sent again over the next link.
    if (wasOwner) {
        requeueRequests();
        m_nextDial = TimePoint();
        // A closed link suggests that the owner's process has ended; a silent link does not.
        if (Clock::now() - lastHeard < silenceTimeout && !m_isStopping)
            m_election.suspectOwner(Clock::now());
    }
    for (auto& [id, command] : m_commands) {
        if (command.link == link)
            command.deadline = TimePoint();
    }
    m_delegateResults.erase(link);
    for (auto& [id, advice] : m_adviceRequests) {
        if (advice.request.daemon == link)
            advice.deadline = TimePoint();
    }
}

void NodeCore::onLinkMessage(LinkId link, PeerMessage message)
{
    const auto found = m_peers.find(link);
    if (found == m_peers.end())
        return;
    found->second.lastHeard = Clock::now();
    std::visit([this, link](const auto& typed) { handle(link, typed); }, message);
}

void NodeCore::handle(LinkId link, const PeerHello& hello)
{
    auto& peer = m_peers.at(link);
    const bool isNew = peer.hello.daemon.empty();
    const bool becameOwner = hello.ownsCell && !peer.hello.ownsCell;
    peer.hello = hello;
    peer.helloAtMs = bootTimeMs();
    if (isNew)
        updateAdvisers();
    if (isNew)
        logEvent(LogLevel::Info, "peer_met", { { "peer", hello.daemon }, { "failure_domain", hello.failureDomain }, { "owner", hello.ownsCell }, { "policy", hello.policyVersion } });
    sendPolicyIfLagging(link, peer);
    m_ownerDirectory.onHeard(hello.ownerRevision, hello.ownerAddress);
    if (m_election.isOwner() && hello.ownerRevision > m_election.fencingToken()) {
        m_election.depose("daemon " + hello.daemon + " knows a newer owner record", Clock::now());
        schedulePass();
    }
    if (hello.ownsCell)
        m_election.trustOwner();
    // The owner reports this daemon, too.
    if (hello.ownsCell || hello.isLoadingCell)
        m_election.setClaimDelay(claimDelayOf(capacity(), hello.bestSuccessor));
    if (becameOwner)
        schedulePass();
}

void NodeCore::sendPolicyIfLagging(LinkId link, Peer& peer)
{
    /// Daemons that reach the store have a new policy within this time. The document is large, and
    /// sending it to all of them would fill the links of a large cell.
    constexpr Milliseconds storeTime { 500 };
    if (!m_policy || peer.hello.policyVersion >= m_policy->version) {
        peer.policyLagsSince.reset();
        return;
    }
    const auto time = Clock::now();
    if (!peer.policyLagsSince)
        peer.policyLagsSince = time;
    if (time - *peer.policyLagsSince < storeTime)
        return;
    peer.policyLagsSince = time;
    m_components.links->send(link, PeerPolicy { m_policyText });
}

void NodeCore::handle(LinkId, const PeerPolicy& policy)
{
    if (auto parsed = platform::parseCellPolicy(policy.text))
        adoptPolicy(policy.text, std::move(parsed.value()), "peer");
}

void NodeCore::handle(LinkId link, const OwnerRequest& request)
{
    if (m_scheduler) {
        checkLease();
        serveRequest(request, { link, request.id });
        schedulePass();
        return;
    }
    OwnerResponse reply;
    reply.id = request.id;
    reply.notOwner = true;
    m_components.links->send(link, reply);
}

void NodeCore::handle(LinkId link, const OwnerResponse& reply)
{
    onOwnerResponse(link, reply);
}

void NodeCore::handle(LinkId link, const AdviceRequest& request)
{
    requestAdvice(request, link);
}

void NodeCore::handle(LinkId link, const AdviceResponse& response)
{
    onAdviceResponse(response, link);
}

} // namespace heatherchute
