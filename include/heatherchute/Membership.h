/// Who is alive. Heartbeats with suspicion: a silent link is replaced first, and only a daemon
/// that stays silent over new links too is taken for dead. Pure: time is passed in.
#pragma once

#include "heatherchute/Wire.h"

#include <map>

namespace heatherchute {

/// Names a link of the transport.
using LinkNumber = std::uint64_t;

enum class MemberState : std::uint8_t {
    Alive,
    /// Silent for longer than usual: its link is being replaced.
    Suspect,
    Dead,
    /// Said that it leaves.
    Leaving,
};
std::string_view memberStateName(MemberState state);

struct MembershipTimes {
    Milliseconds heartbeatInterval { 1000 };
    /// Least silence that raises suspicion.
    Milliseconds suspectAfter { 2500 };
    /// Silence, new links included, after which a daemon is taken for dead.
    Milliseconds deadAfter { 5000 };
    Milliseconds redialInterval { 1000 };
    /// Dead members are forgotten after this.
    Seconds forgetAfter { 600 };
};

/// One other daemon.
struct Member {
    Hello hello;
    MemberState state = MemberState::Alive;
    LinkNumber link = 0;
    bool linkIsOutgoing = false;
    TimePoint lastHeard;
    Heartbeat lastHeartbeat;
    /// Last heartbeat received over the present link, for the echo.
    std::uint64_t lastSequence = 0;
};

/// What the membership wants done.
struct MembershipActions {
    std::vector<Address> dials;
    std::vector<LinkNumber> drops;
    /// Links of members that a heartbeat is due on.
    bool heartbeatDue = false;
    /// Somebody became alive, dead or leaving.
    bool changed = false;
};

class Membership {
public:
    Membership(Hello self, const std::vector<Address>& seeds, MembershipTimes times = {});

    /// A link said hello. Returns the link to drop, when there were two; zero otherwise.
    LinkNumber onHello(LinkNumber link, bool outgoing, const Hello& hello, TimePoint now);
    /// Unknown links are ignored.
    void onHeartbeat(LinkNumber link, const Heartbeat& heartbeat, TimePoint now);
    /// Anything else that was heard over a link.
    void onHeard(LinkNumber link, TimePoint now);
    void onClosed(LinkNumber link);
    /// Notes a dial in progress, so that one address is not dialled twice at once.
    void onDialled(const Address& address, LinkNumber link);
    void learnAddresses(const Members& members);
    MembershipActions tick(TimePoint now);

    const std::map<std::string, Member>& members() const { return m_members; }
    const Member* find(std::string_view name) const;
    /// Member at the other end of a link.
    const Member* atLink(LinkNumber link) const;
    /// Names of daemons of this failure domain that may own things, itself included unless it leaves.
    std::vector<std::string> domainPeers() const;
    Members knownAddresses() const;
    /// True when the heartbeat that is due goes to this member too.
    bool isHeartbeatDue(const Member& member) const;
    void setLeaving() { m_leaving = true; }

private:
    struct Dial {
        TimePoint nextTry;
        LinkNumber pending = 0;
    };

    Member* atLinkMutable(LinkNumber link);
    void updateStates(TimePoint now, MembershipActions& actions);
    bool isLinkedTo(const Address& address) const;

    Hello m_self;
    MembershipTimes m_times;
    /// Heartbeats to other failure domains are this many times rarer: all pairs of a large fleet
    /// at the full rate would use up the daemons' budget.
    int remoteFactor() const;
    int factorOf(const Member& member) const;

    std::map<std::string, Member> m_members;
    std::map<Address, Dial> m_dials;
    TimePoint m_nextHeartbeat;
    TimePoint m_lastTick;
    std::uint64_t m_round = 0;
    bool m_leaving = false;
    bool m_changed = false;
};

} // namespace heatherchute
