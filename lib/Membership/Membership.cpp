#include "heatherchute/Membership.h"

#include <algorithm>

namespace heatherchute {

static constexpr NamedValue<MemberState> memberStateNames[] {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Dead, "dead" },
    { MemberState::Leaving, "leaving" },
};

/// Addresses remembered at most, so that a peer cannot make us dial without end.
static constexpr std::size_t maxAddresses = 512;

/// Other daemons for each step by which heartbeats to other failure domains become rarer.
static constexpr int membersPerStep = 6;
static constexpr int maxRemoteFactor = 4;

std::string_view memberStateName(MemberState state) { return nameOf(memberStateNames, state); }

Membership::Membership(Hello self, const std::vector<Address>& seeds, MembershipTimes times)
    : m_self(std::move(self))
    , m_times(times)
{
    for (const auto& seed : seeds)
        learnAddresses({ { addressText(seed) } });
}

Member* Membership::atLinkMutable(LinkNumber link)
{
    for (auto& [name, member] : m_members) {
        if (member.link == link && link != 0)
            return &member;
    }
    return nullptr;
}

const Member* Membership::atLink(LinkNumber link) const
{
    return const_cast<Membership*>(this)->atLinkMutable(link);
}

const Member* Membership::find(std::string_view name) const
{
    const auto found = m_members.find(std::string(name));
    return found == m_members.end() ? nullptr : &found->second;
}

LinkNumber Membership::onHello(LinkNumber link, bool outgoing, const Hello& hello, TimePoint now)
{
    if (hello.daemon == m_self.daemon)
        return link;
    learnAddresses({ { hello.peerAddress } });
    auto& member = m_members[hello.daemon];
    const auto oldLink = member.link;
    const bool sameProcess = member.hello.boot == hello.boot;
    // Both sides may dial at once: the link that the lower name dialled stays.
    const bool keepsOld = oldLink != 0 && sameProcess && member.state == MemberState::Alive
        && outgoing != member.linkIsOutgoing && outgoing != (m_self.daemon < hello.daemon);
    if (keepsOld)
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

void Membership::onHeartbeat(LinkNumber link, const Heartbeat& heartbeat, TimePoint now)
{
    auto* const member = atLinkMutable(link);
    if (!member)
        return;
    const auto state = heartbeat.leaving ? MemberState::Leaving : MemberState::Alive;
    m_changed = m_changed || state != member->state;
    member->state = state;
    member->lastHeard = now;
    member->lastHeartbeat = heartbeat;
    member->lastSequence = heartbeat.sequence;
}

void Membership::onHeard(LinkNumber link, TimePoint now)
{
    if (auto* const member = atLinkMutable(link))
        member->lastHeard = now;
}

void Membership::onClosed(LinkNumber link)
{
    for (auto& [address, dial] : m_dials) {
        if (dial.pending != link)
            continue;
        dial.pending = 0;
        dial.nextTry = m_lastTick + m_times.redialInterval;
    }
    if (auto* const member = atLinkMutable(link))
        member->link = 0;
}

void Membership::onDialled(const Address& address, LinkNumber link)
{
    m_dials[address].pending = link;
}

void Membership::learnAddresses(const Members& members)
{
    for (const auto& text : members.addresses) {
        const auto address = parseAddress(text);
        if (address && text != m_self.peerAddress && m_dials.size() < maxAddresses)
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

int Membership::remoteFactor() const
{
    return std::clamp(static_cast<int>(m_members.size()) / membersPerStep, 1, maxRemoteFactor);
}

int Membership::factorOf(const Member& member) const
{
    return member.hello.failureDomain == m_self.failureDomain ? 1 : remoteFactor();
}

bool Membership::isHeartbeatDue(const Member& member) const
{
    return m_round % static_cast<std::uint64_t>(factorOf(member)) == 0;
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
        const auto factor = factorOf(member);
        if (silence >= m_times.suspectAfter * factor && member.link != 0) {
            actions.drops.push_back(member.link);
            member.link = 0;
        }
        const auto before = member.state;
        if (silence >= m_times.deadAfter * factor)
            member.state = MemberState::Dead;
        else if (silence >= m_times.suspectAfter * factor && member.state == MemberState::Alive)
            member.state = MemberState::Suspect;
        m_changed = m_changed || (before != member.state && member.state == MemberState::Dead);
        const bool isForgotten = silence >= m_times.forgetAfter;
        it = isForgotten ? m_members.erase(it) : std::next(it);
    }
}

MembershipActions Membership::tick(TimePoint now)
{
    MembershipActions actions;
    m_lastTick = now;
    updateStates(now, actions);
    for (auto& [address, dial] : m_dials) {
        if (isLinkedTo(address) || now < dial.nextTry)
            continue;
        if (dial.pending != 0) {
            // Connected, but nobody ever said hello.
            actions.drops.push_back(dial.pending);
            dial.pending = 0;
        }
        dial.nextTry = now + m_times.redialInterval + m_times.suspectAfter;
        actions.dials.push_back(address);
    }
    if (now >= m_nextHeartbeat) {
        actions.heartbeatDue = true;
        ++m_round;
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
        const bool counts = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (counts && member.hello.failureDomain == m_self.failureDomain)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace heatherchute
