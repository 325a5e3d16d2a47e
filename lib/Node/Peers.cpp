#include "Core.h"

namespace heatherchute {

static constexpr Milliseconds helloEvery { 400 };
/// Four heartbeats missed; a link that fell silent is replaced after this time.
static constexpr Milliseconds silenceLimit { 1600 };
static constexpr Milliseconds dialPause { 250 };

LinkId NodeCore::ownerLink() const
{
    const auto& record = m_election.record();
    for (const auto& [link, peer] : m_peers) {
        const bool isOwners = peer.hello.ownsCell && (!record || peer.hello.fencingToken >= record->revision);
        if (peer.isOpen && isOwners)
            return link;
    }
    return 0;
}

void NodeCore::sendHello(LinkId link, Peer& peer)
{
    peer.lastHello = Clock::now();
    m_ports.links->send(link, PeerHello { m_settings.name, m_settings.failureDomain, m_incarnation, m_policy ? m_policy->version : 0, m_desk != nullptr, addressText(m_settings.advertisePeers), m_desk ? m_election.fencingToken() : 0, m_settings.processorShare });
}

void NodeCore::keepReach(TimePoint time)
{
    /// An owner that cannot call most of the VMs for so long lets a daemon try that may reach them.
    constexpr Milliseconds patience { 1200 };
    /// Longer than most cuts last, so that the cell does not come back too early.
    constexpr Milliseconds abstention { 6000 };
    constexpr std::size_t fewVms = 4;
    if (!m_desk || m_election.tenure() != cell::Tenure::Owner) {
        m_reachedMostAt = time;
        return;
    }
    const auto [listed, reached] = m_desk->reach();
    if (listed < fewVms || reached * 2 >= listed)
        m_reachedMostAt = time;
    if (time - std::max(m_reachedMostAt, m_ownedSince) < patience)
        return;
    m_reachedMostAt = time;
    // Daemons that still hear this one are most likely behind the same cut.
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen)
            m_ports.links->send(link, OwnerYields {});
    }
    m_election.stepDown("only " + std::to_string(reached) + " of " + std::to_string(listed) + " VMs answer", time, time + abstention);
    schedulePump();
}

void NodeCore::handle(LinkId, const OwnerYields&)
{
    /// Leaves the claim to daemons that did not hear of it.
    constexpr Milliseconds deference { 700 };
    m_election.abstain(Clock::now() + deference);
}

void NodeCore::keepLinks()
{
    const auto time = Clock::now();
    std::vector<LinkId> silent;
    for (auto& [link, peer] : m_peers) {
        if (peer.isOpen && time - peer.lastHello >= helloEvery)
            sendHello(link, peer);
        if (time - peer.lastHeard > silenceLimit)
            silent.push_back(link);
    }
    for (const auto link : silent) {
        logEvent(LogLevel::Warning, "peer_silent", { { "peer", m_peers.at(link).hello.daemon }, { "address", addressText(m_peers.at(link).dialled) } });
        m_ports.links->drop(link);
        onLinkClosed(link);
    }
    keepReach(time);
    const auto& record = m_election.record();
    if (m_desk || m_election.isOwner() || !record || record->daemon == m_settings.name || time < m_nextDial)
        return;
    const auto address = parseAddress(record->peerAddress);
    if (!address)
        return;
    for (const auto& [link, peer] : m_peers) {
        if (peer.isOutgoing && peer.dialled == address.value())
            return;
    }
    m_nextDial = time + dialPause;
    m_ports.links->dial(address.value());
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
    nameAdvisers();
    // What the owner was asked is asked again, over the next link.
    if (wasOwner) {
        withdrawCalls();
        m_nextDial = TimePoint();
        // A link that fell silent says nothing of the process; one that was closed does.
        if (Clock::now() - lastHeard < silenceLimit && !m_isStopping)
            m_election.suspectOwner(Clock::now());
    }
    for (auto& [id, order] : m_orders) {
        if (order.link == link)
            order.deadline = TimePoint();
    }
    m_delegateResults.erase(link);
    for (auto& [id, advice] : m_advice) {
        if (advice.ask.daemon == link)
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
    if (isNew)
        nameAdvisers();
    if (isNew)
        logEvent(LogLevel::Info, "peer_met", { { "peer", hello.daemon }, { "failure_domain", hello.failureDomain }, { "owner", hello.ownsCell }, { "policy", hello.policyVersion } });
    if (m_policy && hello.policyVersion < m_policy->version)
        m_ports.links->send(link, PeerPolicy { m_policyText });
    if (hello.ownsCell)
        m_election.trustOwner();
    if (becameOwner)
        schedulePump();
}

void NodeCore::handle(LinkId, const PeerPolicy& policy)
{
    if (auto parsed = platform::parseCellPolicy(policy.text))
        adoptPolicy(policy.text, std::move(parsed.value()), "peer");
}

void NodeCore::handle(LinkId link, const OwnerCall& call)
{
    if (m_desk) {
        serveCall(call, { link, call.id });
        schedulePump();
        return;
    }
    OwnerAnswer answer;
    answer.id = call.id;
    answer.notOwner = true;
    m_ports.links->send(link, answer);
}

void NodeCore::handle(LinkId, const OwnerAnswer& answer)
{
    onOwnerAnswer(answer);
}

void NodeCore::handle(LinkId link, const AdviceOrder& order)
{
    askHere(order.id, order.step, order.vms, Milliseconds(order.timeoutMs), link);
}

void NodeCore::handle(LinkId, const AdviceReport& report)
{
    onAdvice(report);
}

} // namespace heatherchute
