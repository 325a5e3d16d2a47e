/// The daemon's components besides its core. Each has its own event loop and receives work through
/// a bounded ring of closures.
#pragma once

#include "Messages.h"
#include "heatherchute/Http.h"
#include "heatherchute/Node.h"
#include "heatherchute/Peer.h"
#include "platform/Adapter.h"

#include <boost/fiber/future.hpp>

namespace heatherchute {

using Closure = std::function<void()>;

/// Posts a closure to the core; returns false when the core's ring is full.
using CorePost = std::function<bool(Closure&)>;

/// Client of the store, the VMs and the advice service. Runs each operation in a fiber of its own.
class NodeOutbound {
public:
    NodeOutbound(const NodeSettings& settings, CorePost toCore);
    NodeOutbound(const NodeOutbound&) = delete;
    NodeOutbound& operator=(const NodeOutbound&) = delete;

    /// Runs `body` in a new fiber on this event loop. The number of operations in flight is bounded
    /// by the number of VMs and placements, far below the ring's capacity.
    void runFiber(Closure body);
    /// Posts a result to the core, and waits while the core's ring is full. Call it only from fibers
    /// of this event loop.
    void postToCore(Closure closure);
    void sleep(Milliseconds time);

    const Duty& eventLoop() const { return m_eventLoop; }
    platform::StoreClient& store() { return m_store; }
    platform::VmClient& vms() { return m_vms; }
    HttpClient& http() { return m_http; }
    /// Closes idle connections to VMs, because a VM limits the connections of all daemons together.
    void closeIdleVmConnections() { m_vmHttp.dropIdle(); }
    /// Ends the requests in progress to a VM. Requests of fibers that were run later are not affected.
    void cancelVmRequests(const Address& address)
    {
        runFiber([this, address] { m_vmHttp.cancelRequests(address); });
    }

private:
    Duty m_eventLoop;
    HttpClient m_http;
    HttpClient m_vmHttp;
    platform::StoreClient m_store;
    platform::VmClient m_vms;
    CorePost m_toCore;
    Mailbox<Closure> m_inbox;
};

/// Callbacks of NodeLinks; they run on the core's thread.
struct NodeLinkEvents {
    std::function<void(LinkId, bool outgoing)> onOpen;
    std::function<void(LinkId, PeerMessage)> onMessage;
    std::function<void(LinkId)> onClosed;
    std::function<void(Address, LinkId)> onDialled;
};

/// Sends and receives messages between daemons.
class NodeLinks {
public:
    NodeLinks(NodeLinkEvents events, CorePost toCore);
    NodeLinks(const NodeLinks&) = delete;
    NodeLinks& operator=(const NodeLinks&) = delete;

    /// Starts to accept links. Throws std::system_error when it cannot listen on the address.
    void open(const Address& listen);
    void dial(const Address& address);
    void send(LinkId link, const PeerMessage& message);
    void drop(LinkId link);
    const Duty& eventLoop() const { return m_eventLoop; }

private:
    /// Posts a closure to the core. When the core's ring is full, drops the closure and `link`,
    /// unless it is zero.
    void postToCore(Closure closure, LinkId link);
    void postToTransport(Closure closure);

    NodeLinkEvents m_events;
    CorePost m_toCore;
    Duty m_eventLoop;
    PeerTransport m_transport;
    Mailbox<Closure> m_inbox;
};

/// Requests from the front to the core. The core responds through NodeFront::respond with the same
/// id.
struct NodeFrontEvents {
    std::function<void(std::uint64_t id, platform::CallerCall request, std::string body)> onRequest;
    std::function<void(std::uint64_t id)> onMetrics;
};

/// HTTP servers for callers, the platform's health checks and metrics.
class NodeFront {
public:
    NodeFront(NodeFrontEvents events, CorePost toCore);
    NodeFront(const NodeFront&) = delete;
    NodeFront& operator=(const NodeFront&) = delete;

    /// Starts the servers. Throws std::system_error when one cannot listen on its address.
    void open(const NodeSettings& settings);
    void respond(std::uint64_t id, HttpResponse response);
    void setReady(bool ready) { m_ready.store(ready); }
    void beginDrain();
    std::size_t requestsInProgress() const { return m_callerServer->requestsInProgress(); }
    Duty& eventLoop() { return m_eventLoop; }

private:
    /// Posts `request` to the core with a new id, and waits for the core's response.
    HttpResponse waitForCore(std::function<void(std::uint64_t)> request);

    NodeFrontEvents m_events;
    CorePost m_toCore;
    Duty m_eventLoop;
    std::map<std::uint64_t, boost::fibers::promise<HttpResponse>> m_pendingResponses;
    std::uint64_t m_nextRequest = 1;
    std::atomic<bool> m_ready { false };
    Mailbox<Closure> m_inbox;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
};

} // namespace heatherchute
