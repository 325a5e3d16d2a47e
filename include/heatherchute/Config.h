/// What operators state (teams, shares, limits, targets, queues, services) and what a daemon
/// needs to know of itself. Texts are checked whole: every fault is reported at once.
#pragma once

#include "heatherchute/Http.h"
#include "heatherchute/Support.h"

#include <map>
#include <memory>

namespace heatherchute {

/// How work of a class is run.
enum class WorkKind : std::uint8_t {
    Service,
    Batch,
    Gang,
};
std::string_view workKindName(WorkKind kind);

/// A class of work with the operators' target for it.
struct WorkClass {
    std::string name;
    WorkKind kind = WorkKind::Batch;
    /// Longest wait before a request or urgent task starts, 99th percentile. Zero: no target.
    Milliseconds waitTarget { 0 };
    /// Minute of the day (UTC) at which batches must be done. Negative: no target.
    int finishByMinute = -1;
    /// False for work that must not run in two places or twice.
    bool repeatable = false;
};

/// A customer of the cell.
struct Team {
    std::string name;
    /// Part of the cell when all is full, in percent. All teams together have at most 100.
    double sharePercent = 0;
    /// Requests and tasks that may run at once over the whole fleet.
    std::uint32_t runningLimit = 0;
};

/// Where jobs are submitted.
struct Queue {
    std::string name;
    std::string className;
    /// Team that an open queue's work counts for; empty for queues that need a key.
    std::string openForTeam;
    std::uint32_t maxWaiting = 10'000;
};

/// A service whose requests are passed through to endpoints.
struct Service {
    std::string name;
    std::string className;
    std::string openForTeam;
    Milliseconds timeout { 10'000 };
    std::uint32_t maxWaiting = 2'000;
};

/// Everything that operators state, checked.
struct Configuration {
    std::vector<std::string> failureDomains;
    std::vector<WorkClass> classes;
    std::vector<Team> teams;
    std::vector<Queue> queues;
    std::vector<Service> services;

    const WorkClass* findClass(std::string_view name) const;
    const Team* findTeam(std::string_view name) const;
    const Queue* findQueue(std::string_view name) const;
    const Service* findService(std::string_view name) const;
};

/// A configuration, or all that is wrong with its text.
struct CheckedConfiguration {
    Configuration configuration;
    Findings findings;
};
CheckedConfiguration parseConfiguration(std::string_view text);

/// A granted key. The token itself is shown once and never kept.
struct KeyGrant {
    std::string name;
    std::string team;
    std::string digest;
};

/// The one versioned document that all daemons hold: configuration, keys and drained VMs.
struct FleetDocument {
    /// Rises by one with every accepted change.
    std::uint64_t version = 0;
    std::string text = "{}";
    std::vector<KeyGrant> keys;
    std::vector<std::string> drainedVms;
    /// What the change was, for the history.
    std::string change;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyGrant, name, team, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FleetDocument, version, text, keys, drainedVms, change)

/// A fleet document with its configuration parsed: what daemons run by.
struct Fleet {
    FleetDocument document;
    Configuration configuration;

    /// Team of the key with this digest; empty when no such key is granted.
    std::string teamOfKey(std::string_view digest) const;
    bool isDrained(std::string_view vm) const;
};
using FleetPointer = std::shared_ptr<const Fleet>;
FleetPointer makeFleet(FleetDocument document);

/// Reserved team of operators' keys.
inline constexpr std::string_view operatorTeam = "operators";

/// A daemon's own settings.
struct DaemonSettings {
    std::string name;
    std::string failureDomain;
    Address listenHttp;
    Address listenPeer;
    Address store;
    Address vmList;
    /// Peer addresses to start from; the rest is learned from them.
    std::vector<Address> seeds;
    /// Digest of the first operator's key, so that a new fleet can be set up.
    std::string operatorKeyDigest;
    Milliseconds graceBound { 30'000 };
    /// Opens the calls under /test/ that bring about faults. Never on in production.
    bool testPoints = false;
};

struct CheckedSettings {
    DaemonSettings settings;
    Findings findings;
};
CheckedSettings parseDaemonSettings(const Json& value);

} // namespace heatherchute
