/// Requests to services: which endpoint gets each, and who waits. A request runs on a slot of a
/// VM that this daemon owns, or is passed to the daemon that owns one. Pure: time is passed in.
#pragma once

#include "heatherchute/Limits.h"
#include "heatherchute/Ownership.h"

#include <memory>

namespace heatherchute {

/// A request to a service, from a caller or from another daemon.
struct ServiceCall {
    std::uint64_t id = 0;
    std::string service;
    std::string team;
    std::string className;
    TimePoint arrived;
    TimePoint deadline;
    /// May be sent again when its outcome is not known.
    bool repeatable = false;
    /// Came from another daemon, which has counted it against the team's limit.
    bool relayed = false;
    /// Came from a daemon that has no part of the team's limit, to be counted here.
    bool delegated = false;
    std::shared_ptr<const HttpRequest> request;
};

/// Send the request to an endpoint on the slot that was taken for it.
struct DispatchCall {
    std::uint64_t call = 0;
    SlotGrant slot;
    TimePoint deadline;
    std::shared_ptr<const HttpRequest> request;
};

/// Pass the request to another daemon.
struct RelayCall {
    std::uint64_t call = 0;
    std::string daemon;
    std::string service;
    std::string team;
    TimePoint deadline;
    /// The other daemon is to count it against the team's limit too.
    bool delegated = false;
    std::shared_ptr<const HttpRequest> request;
};

/// The call is over: `error` says how, unless it is None and there is a response.
struct CallEnded {
    std::uint64_t call = 0;
    ErrorKind error = ErrorKind::None;
    HttpResponse response;
    /// Time from arrival to the first dispatch.
    Duration waited {};
    std::string service;
    std::string team;
    std::string className;
};

using RoutingAction = std::variant<DispatchCall, RelayCall, CallEnded>;
using RoutingActions = std::vector<RoutingAction>;

/// Another daemon's room for services, from its heartbeat.
struct PeerCapacity {
    std::string daemon;
    bool sameDomain = false;
    std::vector<ServiceRoom> services;
};

/// What a configuration says of a service's queue.
struct ServiceLimits {
    std::uint32_t maxWaiting = 2000;
};

class RequestDesk {
public:
    /// `holder` names this daemon's part of each team's limit.
    RequestDesk(VmDesk& vms, LimitDesk& limits, std::string holder);

    void setConfiguration(std::map<std::string, ServiceLimits> services, std::map<std::string, double> shares);
    /// A peer's newest heartbeat.
    void setPeer(PeerCapacity room);
    /// A daemon that no longer takes requests. Calls it has are failed only by onRelayLost.
    void removePeer(const std::string& daemon);

    void arrive(ServiceCall call, TimePoint now, RoutingActions& actions);
    /// An endpoint answered, or not.
    void onDispatched(std::uint64_t call, const std::string& vm, Result<HttpResponse>&& result, Duration serviceTime, TimePoint now, RoutingActions& actions, OwnershipActions& vmActions);
    /// Another daemon answered. `NotRun` errors let the call go elsewhere.
    void onRelayed(std::uint64_t call, const std::string& daemon, Result<HttpResponse>&& result, TimePoint now, RoutingActions& actions);
    /// A slot or a peer's room may have become free.
    void pump(const std::string& service, TimePoint now, RoutingActions& actions);
    void tick(TimePoint now, RoutingActions& actions);

    /// Waiting requests by service, for heartbeats.
    std::uint32_t waiting(const std::string& service) const;
    std::size_t callsOpen() const { return m_calls.size(); }

private:
    struct PendingCall {
        ServiceCall serviceCall;
        bool queued = false;
        bool hasQuota = false;
        std::uint32_t attempts = 0;
        std::set<std::string> avoidVms;
        std::set<std::string> avoidDaemons;
        std::optional<Duration> waited;
        std::string relayedTo;
    };

    struct TeamQueue {
        /// By deadline, then by number of the call.
        std::set<std::pair<TimePoint, std::uint64_t>> calls;
        std::uint32_t inFlight = 0;
    };

    struct ServiceQueue {
        std::map<std::string, TeamQueue> teams;
        std::uint32_t waiting = 0;
    };

    bool tryDispatch(PendingCall& call, TimePoint now, RoutingActions& actions);
    bool acquireQuota(PendingCall& call);
    /// Hands a call to a daemon that may have a part of the team's limit when we have none.
    bool delegate(PendingCall& call, TimePoint now, RoutingActions& actions);
    const PeerCapacity* choosePeer(const PendingCall& call, bool sameDomain) const;
    std::int64_t remainingCapacity(const PeerCapacity& room, const std::string& service) const;
    bool mayQueue(const PendingCall& call) const;
    void enqueue(PendingCall& call);
    void dequeue(PendingCall& call);
    std::vector<std::string> teamsByUsage(const ServiceQueue& queue) const;
    void endCall(PendingCall& call, ErrorKind error, HttpResponse&& response, TimePoint now, RoutingActions& actions);
    bool retry(PendingCall& call, std::error_code error, TimePoint now, RoutingActions& actions);
    void markSent(PendingCall& call, TimePoint now);
    void markReturned(PendingCall& call);

    VmDesk& m_vms;
    LimitDesk& m_limits;
    std::string m_holder;
    std::map<std::string, ServiceLimits> m_services;
    std::map<std::string, double> m_shares;
    std::map<std::uint64_t, PendingCall> m_calls;
    std::map<std::string, ServiceQueue> m_queues;
    std::map<std::string, PeerCapacity> m_peers;
    /// Requests sent to a daemon since its last heartbeat, by service.
    std::map<std::string, std::map<std::string, std::uint32_t>> m_sentSinceHeartbeat;
    double m_retryTokens;
};

} // namespace heatherchute
