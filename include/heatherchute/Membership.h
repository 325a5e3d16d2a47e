/// Membership of the cluster with heartbeat-based failure detection. A silent link is replaced
/// first; only a daemon that stays silent over new links too is declared dead. The code does no
/// I/O and reads no clock: the caller passes the time and carries out the returned actions.
#pragma once

#include "heatherchute/Wire.h"

#include <map>

namespace heatherchute {

/// Identifies a link of the transport; zero stands for none.
using LinkId = std::uint64_t;

/// State of a member according to failure detection.
enum class MemberState : std::uint8_t {
    Alive,
    /// Silent for at least `suspectAfter`: its link is being replaced.
    Suspect,
    Dead,
    /// Has announced that it leaves.
    Leaving,
};
std::string_view memberStateName(MemberState state);

/// Intervals and timeouts of the failure detection.
struct MembershipTimes {
    Milliseconds heartbeatInterval { 1000 };
    /// Silence after which a daemon is suspected and its link replaced.
    Milliseconds suspectAfter { 2500 };
    /// Silence, over new links too, after which a daemon is declared dead.
    Milliseconds deadAfter { 5000 };
    /// Pause before an address is dialled again.
    Milliseconds redialInterval { 1000 };
    /// Silence after which a member is removed from the member list.
    Seconds forgetAfter { 600 };
};

/// Another daemon of the cluster.
struct Member {
    Hello hello;
    MemberState state = MemberState::Alive;
    LinkId link = 0;
    bool linkIsOutgoing = false;
    TimePoint lastHeard;
    Heartbeat lastHeartbeat;
    /// Sequence of the last heartbeat received over the current link, to be echoed.
    std::uint64_t lastSequence = 0;
};

/// Actions that the caller of `tick` must carry out.
struct MembershipActions {
    /// Addresses to connect to.
    std::vector<Address> dials;
    /// Links to close.
    std::vector<LinkId> drops;
    /// Heartbeats are due, to the members for which `isHeartbeatDue` is true.
    bool heartbeatDue = false;
    /// A member became alive, dead or leaving since the last tick.
    bool changed = false;
};

/// The members known to one daemon and their states.
class Membership {
public:
    Membership(Hello self, const std::vector<Address>& seeds, MembershipTimes times = {});

    /// Handles the hello message of a link. Returns the link to drop if there are now two links to the
    /// member or the link leads back to this daemon, else zero.
    LinkId onHello(LinkId link, bool outgoing, const Hello& hello, TimePoint now);
    /// Handles a heartbeat; ignored if the link is unknown.
    void onHeartbeat(LinkId link, const Heartbeat& heartbeat, TimePoint now);
    /// Notes that any other message arrived over a link.
    void onHeard(LinkId link, TimePoint now);
    /// Handles a failed dial or a closed link.
    void onClosed(LinkId link);
    /// Notes a dial in progress, so that an address is not dialled twice concurrently.
    void onDialled(const Address& address, LinkId link);
    /// Adds addresses to dial; invalid ones are ignored.
    void learnAddresses(const Members& members);
    /// Updates the states of the members and returns the actions due at `now`.
    MembershipActions tick(TimePoint now);

    const std::map<std::string, Member>& members() const { return m_members; }
    /// Member with the given name; null if unknown.
    const Member* find(std::string_view name) const;
    /// Member at the other end of a link; null if unknown.
    const Member* atLink(LinkId link) const;
    /// Sorted names of the daemons of this failure domain that may be owners: the alive and
    /// suspected members, and this daemon unless it leaves.
    std::vector<std::string> domainPeers() const;
    /// Addresses of this daemon and of all members that are not dead.
    Members knownAddresses() const;
    /// True if the current heartbeat round includes this member.
    bool isHeartbeatDue(const Member& member) const;
    void setLeaving() { m_leaving = true; }

private:
    /// Dial state of an address.
    struct Dial {
        TimePoint nextAttempt;
        /// Link of the dial in progress; zero if there is none.
        LinkId pendingLink = 0;
    };

    Member* findMutableByLink(LinkId link);
    void updateStates(TimePoint now, MembershipActions& actions);
    bool isLinkedTo(const Address& address) const;

    Hello m_self;
    MembershipTimes m_times;
    /// Factor by which heartbeats to other failure domains are less frequent. At the full rate, the
    /// heartbeats between all pairs of a large fleet would exceed the resource budget of the daemons.
    int remoteHeartbeatFactor() const;
    /// Factor by which the heartbeats of `member` are less frequent, and its timeouts longer.
    int heartbeatFactor(const Member& member) const;

    std::map<std::string, Member> m_members;
    std::map<Address, Dial> m_dials;
    TimePoint m_nextHeartbeat;
    TimePoint m_lastTick;
    std::uint64_t m_heartbeatRound = 0;
    bool m_leaving = false;
    bool m_changed = false;
};

} // namespace heatherchute
