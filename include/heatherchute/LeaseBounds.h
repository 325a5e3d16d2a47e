/// Bounds of the leases under which a VM's runs go on while the VM cannot be reached.
#pragma once

#include "heatherchute/Support.h"

#include <algorithm>

namespace heatherchute::cell {

struct LeaseLimits {
    /// Lease that a heartbeat or a start command is meant to grant.
    Milliseconds lease { 8000 };
    /// Longest lease that a VM grants, whatever the deadline in a command.
    Milliseconds longestLease { 10'000 };
    /// Time after which a command that has not arrived at its VM is not sent to it any more.
    Milliseconds delivery { 1800 };
};

/// Time after the end of an ownership by which every lease that it granted has expired.
Milliseconds inheritedLease(const LeaseLimits& limits);

/// Upper bounds of the leases that one VM may hold.
///
/// A command grants a lease by a deadline on the clock of the incarnation that was known when it was sent. A
/// later incarnation restarts its clock and executes the command all the same: the deadline is far ahead there,
/// so that the VM grants its longest lease, from the moment when it executes the command.
class LeaseBounds {
public:
    /// An earlier owner may have granted leases that expire at `end`, to incarnations that this owner doesn't know.
    void inherit(TimePoint end);
    /// A command that grants a lease was sent.
    void onGrant(const LeaseLimits& limits, TimePoint now);
    /// The VM responded for the first time to this owner, whose fencing token ends the commands of earlier owners.
    void onFirstResponse(const LeaseLimits& limits, TimePoint now);
    /// A later incarnation has responded. Commands for the earlier one may still grant it leases.
    void onNewIncarnation();

    /// Returns when every lease of the known incarnation has expired.
    TimePoint endOfKnownIncarnation() const { return m_knownIncarnation; }
    /// Returns when every lease of the known incarnation and of any later one has expired.
    TimePoint endOfAnyIncarnation() const { return std::max(m_knownIncarnation, m_laterIncarnation); }

private:
    TimePoint m_knownIncarnation;
    TimePoint m_laterIncarnation;
};

} // namespace heatherchute::cell
