#include "heatherchute/Membership.h"

#include <algorithm>

namespace heatherchute {

static constexpr NamedValue<MemberState> memberStateNames[] {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Dead, "dead" },
    { MemberState::Leaving, "leaving" },
};

/// Bound on the known addresses, so that a peer cannot cause an unlimited number of dials.
static constexpr std::size_t maxKnownAddresses = 512;

/// Number of members per step of the factor by which heartbeats to other failure domains are less
/// frequent.
static constexpr int membersPerFactorStep = 6;
static constexpr int maxRemoteHeartbeatFactor = 4;

std::string_view memberStateName(MemberState state) { return nameOf(memberStateNames, state); }

Membership::Membership(Hello self, const std::vector<Address>& seeds, MembershipTimes times)
    : m_self(std::move(self))
    , m_times(times)
{
    for (const auto& seed : seeds)
        learnAddresses({ { addressText(seed) } });
}

Member* Membership::findMutableByLink(LinkId link)
{
    for (auto& [name, member] : m_members) {
        if (member.link == link && link != 0)
            return &member;
    }
    return nullptr;
}

const Member* Membership::atLink(LinkId link) const
{
    return const_cast<Membership*>(this)->findMutableByLink(link);
}

const Member* Membership::find(std::string_view name) const
{
    const auto found = m_members.find(std::string(name));
    return found == m_members.end() ? nullptr : &found->second;
}

LinkId Membership::onHello(LinkId link, bool outgoing, const Hello& hello, TimePoint now)
{
    if (hello.daemon == m_self.daemon)
        return link;
    learnAddresses({ { hello.peerAddress } });
    auto& member = m_members[hello.daemon];
    const auto oldLink = member.link;
    const bool sameProcess = member.hello.boot == hello.boot;
    // Both sides may dial concurrently: the link dialled by the daemon with the lower name is kept.
    const bool keepsOldLink = oldLink != 0 && sameProcess && member.state == MemberState::Alive
        && outgoing != member.linkIsOutgoing && outgoing != (m_self.daemon < hello.daemon);
    if (keepsOldLink)
        return link;
    if (!sameProcess)
        member.lastHeartbeat = {};
    member.hello = hello;
    member.link = link;
    member.linkIsOutgoing = outgoing;
    member.lastHeard = now;
    member.lastSequence = 0;
    if (member.state != MemberState::Alive || !sameProcess)
        m_changed = true;
    member.state = MemberState::Alive;
    return oldLink;
}

void Membership::onHeartbeat(LinkId link, const Heartbeat& heartbeat, TimePoint now)
{
    auto* const member = findMutableByLink(link);
    if (!member)
        return;
    const auto state = heartbeat.leaving ? MemberState::Leaving : MemberState::Alive;
    m_changed = m_changed || state != member->state;
    member->state = state;
    member->lastHeard = now;
    member->lastHeartbeat = heartbeat;
    member->lastSequence = heartbeat.sequence;
}

void Membership::onHeard(LinkId link, TimePoint now)
{
    if (auto* const member = findMutableByLink(link))
        member->lastHeard = now;
}

void Membership::onClosed(LinkId link)
{
    for (auto& [address, dial] : m_dials) {
        if (dial.pendingLink != link)
            continue;
        dial.pendingLink = 0;
        dial.nextAttempt = m_lastTick + m_times.redialInterval;
    }
    if (auto* const member = findMutableByLink(link))
        member->link = 0;
}

void Membership::onDialled(const Address& address, LinkId link)
{
    m_dials[address].pendingLink = link;
}

void Membership::learnAddresses(const Members& members)
{
    for (const auto& text : members.addresses) {
        const auto address = parseAddress(text);
        if (address && text != m_self.peerAddress && m_dials.size() < maxKnownAddresses)
            m_dials.try_emplace(address.value());
    }
}

Members Membership::knownAddresses() const
{
    Members known;
    known.addresses.push_back(m_self.peerAddress);
    for (const auto& [name, member] : m_members) {
        if (member.state != MemberState::Dead)
            known.addresses.push_back(member.hello.peerAddress);
    }
    return known;
}

int Membership::remoteHeartbeatFactor() const
{
    return std::clamp(static_cast<int>(m_members.size()) / membersPerFactorStep, 1, maxRemoteHeartbeatFactor);
}

int Membership::heartbeatFactor(const Member& member) const
{
    return member.hello.failureDomain == m_self.failureDomain ? 1 : remoteHeartbeatFactor();
}

bool Membership::isHeartbeatDue(const Member& member) const
{
    return m_heartbeatRound % static_cast<std::uint64_t>(heartbeatFactor(member)) == 0;
}

bool Membership::isLinkedTo(const Address& address) const
{
    const auto text = addressText(address);
    return std::any_of(m_members.begin(), m_members.end(), [&text](const auto& entry) {
        return entry.second.link != 0 && entry.second.hello.peerAddress == text;
    });
}

void Membership::updateStates(TimePoint now, MembershipActions& actions)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto& member = it->second;
        const auto silence = now - member.lastHeard;
        const auto factor = heartbeatFactor(member);
        if (silence >= m_times.suspectAfter * factor && member.link != 0) {
            actions.drops.push_back(member.link);
            member.link = 0;
        }
        const auto previousState = member.state;
        if (silence >= m_times.deadAfter * factor)
            member.state = MemberState::Dead;
        else if (silence >= m_times.suspectAfter * factor && member.state == MemberState::Alive)
            member.state = MemberState::Suspect;
        m_changed = m_changed || (previousState != member.state && member.state == MemberState::Dead);
        const bool isExpired = silence >= m_times.forgetAfter;
        it = isExpired ? m_members.erase(it) : std::next(it);
    }
}

MembershipActions Membership::tick(TimePoint now)
{
    MembershipActions actions;
    m_lastTick = now;
    updateStates(now, actions);
    for (auto& [address, dial] : m_dials) {
        if (isLinkedTo(address) || now < dial.nextAttempt)
            continue;
        if (dial.pendingLink != 0) {
            // The link was dialled, but no hello message arrived.
            actions.drops.push_back(dial.pendingLink);
            dial.pendingLink = 0;
        }
        dial.nextAttempt = now + m_times.redialInterval + m_times.suspectAfter;
        actions.dials.push_back(address);
    }
    if (now >= m_nextHeartbeat) {
        actions.heartbeatDue = true;
        ++m_heartbeatRound;
        m_nextHeartbeat = now + m_times.heartbeatInterval;
    }
    actions.changed = m_changed;
    m_changed = false;
    return actions;
}

std::vector<std::string> Membership::domainPeers() const
{
    std::vector<std::string> names;
    if (!m_leaving)
        names.push_back(m_self.daemon);
    for (const auto& [name, member] : m_members) {
        const bool mayOwn = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (mayOwn && member.hello.failureDomain == m_self.failureDomain)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace heatherchute
