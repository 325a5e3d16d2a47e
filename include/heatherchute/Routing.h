/// Routing of requests to services: selects an endpoint for each request and queues those that must
/// wait. A request runs on a slot of a VM that this daemon owns, or is relayed to a daemon that owns
/// one. The class does no I/O and reads no clock: time is passed in, and actions are returned.
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
    /// May be sent again if its outcome is unknown.
    bool repeatable = false;
    /// Relayed by another daemon, which has counted it against the team's quota.
    bool relayed = false;
    /// Relayed by a daemon without an allocation of the team's quota; to be counted here.
    bool delegated = false;
    std::shared_ptr<const HttpRequest> request;
};

/// Sends the request to an endpoint on the slot that was acquired for it.
struct DispatchCall {
    std::uint64_t call = 0;
    SlotGrant slot;
    TimePoint deadline;
    std::shared_ptr<const HttpRequest> request;
};

/// Relays the request to another daemon.
struct RelayCall {
    std::uint64_t call = 0;
    std::string daemon;
    std::string service;
    std::string team;
    TimePoint deadline;
    /// The receiving daemon is also to count the request against the team's quota.
    bool delegated = false;
    std::shared_ptr<const HttpRequest> request;
};

/// A request has ended: with a response if `error` is None, otherwise with this error.
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

/// Another daemon's free capacity by service, from its heartbeat.
struct PeerCapacity {
    std::string daemon;
    bool sameDomain = false;
    std::vector<ServiceRoom> services;
};

/// Configured limits of a service's queue.
struct ServiceLimits {
    /// Maximum number of queued requests.
    std::uint32_t maxWaiting = 2000;
};

/// Dispatches, relays and queues requests to services, within the quotas of teams.
class RequestDesk {
public:
    /// `holder` identifies this daemon's allocations of the teams' quotas.
    RequestDesk(VmDesk& vms, LimitDesk& limits, std::string holder);

    /// Sets the limits by service, and the shares of teams in percent.
    void setConfiguration(std::map<std::string, ServiceLimits> services, std::map<std::string, double> shares);
    /// Sets a peer's free capacity, from its latest heartbeat.
    void setPeer(PeerCapacity capacity);
    /// Removes a daemon that no longer accepts requests. Requests that were relayed to it stay open
    /// until onRelayed() reports a result.
    void removePeer(const std::string& daemon);

    void arrive(ServiceCall call, TimePoint now, RoutingActions& actions);
    /// Handles a new request: dispatches, relays, queues or rejects it.
    void onDispatched(std::uint64_t call, const std::string& vm, Result<HttpResponse>&& result, Duration serviceTime, TimePoint now, RoutingActions& actions, OwnershipActions& vmActions);
    /// Handles the result of a relayed request. After an error with outcome `NotRun`, the request may
    /// be sent elsewhere.
    void onRelayed(std::uint64_t call, const std::string& daemon, Result<HttpResponse>&& result, TimePoint now, RoutingActions& actions);
    /// Dispatches queued requests of a service, after a slot or capacity of a peer may have become
    /// free.
    void pump(const std::string& service, TimePoint now, RoutingActions& actions);
    /// Ends queued requests whose deadline has passed, and dispatches others.
    void tick(TimePoint now, RoutingActions& actions);

    /// Number of queued requests of a service, for heartbeats.
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
        /// Deadline and id of each queued request.
        std::set<std::pair<TimePoint, std::uint64_t>> calls;
        std::uint32_t inFlight = 0;
    };

    struct ServiceQueue {
        std::map<std::string, TeamQueue> teams;
        std::uint32_t waiting = 0;
    };

    bool tryDispatch(PendingCall& call, TimePoint now, RoutingActions& actions);
    bool acquireQuota(PendingCall& call);
    /// Relays a request to a daemon that may have an allocation of the team's quota, if this daemon
    /// has none.
    bool delegate(PendingCall& call, TimePoint now, RoutingActions& actions);
    /// Returns the peer with the most remaining capacity; null if none has any.
    const PeerCapacity* choosePeer(const PendingCall& call, bool sameDomain) const;
    /// Free slots of the peer, without its queued requests and those sent since its heartbeat.
    std::int64_t remainingCapacity(const PeerCapacity& peer, const std::string& service) const;
    bool mayQueue(const PendingCall& call) const;
    void enqueue(PendingCall& call);
    void dequeue(PendingCall& call);
    /// Teams with queued requests, those with the least use of their share first.
    std::vector<std::string> teamsByUsage(const ServiceQueue& queue) const;
    void endCall(PendingCall& call, ErrorKind error, HttpResponse&& response, TimePoint now, RoutingActions& actions);
    /// Retries a failed request if that is safe; returns false if it must end.
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
    /// Number of requests sent to a daemon since its last heartbeat, by daemon and service.
    std::map<std::string, std::map<std::string, std::uint32_t>> m_sentSinceHeartbeat;
    double m_retryTokens;
};

} // namespace heatherchute
