/// The daemon of a cell on the platform: takes callers' jobs, forwards them to the cell's owner,
/// and is ready to be that owner itself.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Support.h"

namespace heatherchute {

/// What one daemon needs to know of itself and of its surroundings.
struct NodeSettings {
    std::string name;
    std::string failureDomain;
    Address listenCallers;
    Address listenReadiness;
    Address listenPeers;
    /// Where other daemons reach this one, when a relay stands between; by default `listenPeers`.
    Address advertisePeers;
    Address listenMetrics;
    Address store;
    /// Service that knows which VMs may run a step; port zero when there is none.
    Address advice;
    /// Shortest lease that the store grants.
    Milliseconds shortestStoreLease { 1000 };
    /// Longest lease that a VM grants.
    Milliseconds longestVmLease { 10'000 };
    /// Time between a stop signal and the end of the process by force.
    Milliseconds grace { 6000 };
    /// How long a job that has ended must stay known.
    Seconds jobRetention { 120 };
    double spreadFactor = 2;
    /// Part of a core that the daemon may use.
    double processorShare = 1;
};

struct CheckedNodeSettings {
    NodeSettings settings;
    Findings findings;
};
CheckedNodeSettings parseNodeSettings(const Json& value);

/// Runs until a stop signal has been honoured; the process's exit code. Throws std::system_error
/// when a listener cannot be opened. `reload` reads the settings again after SIGHUP.
int runNode(const NodeSettings& settings, const std::function<CheckedNodeSettings()>& reload);

} // namespace heatherchute
