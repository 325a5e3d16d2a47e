/// The daemon of a cell on the platform. Accepts jobs from callers, forwards them to the cell's owner,
/// and can become the owner itself.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Support.h"

namespace heatherchute {

/// Settings of one daemon.
struct NodeSettings {
    std::string name;
    std::string failureDomain;
    Address listenCallers;
    Address listenReadiness;
    Address listenPeers;
    /// Address at which other daemons reach this one, such as that of a relay; defaults to
    /// `listenPeers`.
    Address advertisePeers;
    Address listenMetrics;
    Address store;
    /// Advice service, which tells which VMs may run a step; port zero when there is none.
    Address advice;
    /// Shortest lease that the store grants.
    Milliseconds shortestStoreLease { 1000 };
    /// Longest lease that a VM grants.
    Milliseconds longestVmLease { 10'000 };
    /// Time between a stop signal and the forced end of the process.
    Milliseconds grace { 6000 };
    /// Time for which an ended job remains known.
    Seconds jobRetention { 120 };
    /// Slowdown factor of a task that runs outside its preferred rack, or of a same-rack step that runs
    /// on several racks.
    double spreadFactor = 2;
    /// Number of processor cores that the daemon may use; may be a fraction.
    double processorShare = 1;
    /// Bandwidth of the daemon's link in Mbit/s; zero if unknown.
    double linkMbps = 0;
    /// Time after which an evacuation by the operator must be in force; zero if there are no evacuations
    /// here, so that the store is not asked for any.
    Milliseconds evacuationBound { 0 };
};

/// Settings together with the errors found in them; the settings are usable when there are none.
struct CheckedNodeSettings {
    NodeSettings settings;
    Findings findings;
};
CheckedNodeSettings parseNodeSettings(const Json& value);

/// Runs the daemon until it has stopped after a stop signal, then ends the process. Ends it with status
/// 2 when a listener cannot be opened. `reload` reads the settings again after SIGHUP.
int runNode(const NodeSettings& settings, const std::function<CheckedNodeSettings()>& reload);

} // namespace heatherchute
