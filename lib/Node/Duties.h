/// The daemon's duties beside its core: each has a thread of its own and is reached through a
/// bounded ring of closures.
#pragma once

#include "Messages.h"
#include "heatherchute/Http.h"
#include "heatherchute/Node.h"
#include "heatherchute/Peer.h"
#include "platform/Adapter.h"

#include <boost/fiber/future.hpp>

namespace heatherchute {

using Closure = std::function<void()>;

/// Posts a closure to the core; false when its ring is full.
using CorePost = std::function<bool(Closure&)>;

/// Talks to the store, to VMs and to the advice service: one fiber for each piece of work.
class NodeOutbound {
public:
    NodeOutbound(const NodeSettings& settings, CorePost toCore);
    NodeOutbound(const NodeOutbound&) = delete;
    NodeOutbound& operator=(const NodeOutbound&) = delete;

    /// Runs `body` as a fiber of this duty. The work in flight is bounded by the VMs and the
    /// placements, far below the ring's capacity.
    void run(Closure body);
    /// Hands a result to the core, waiting for room in its ring. Fibers of this duty only.
    void report(Closure closure);
    void sleep(Milliseconds time);

    const Duty& duty() const { return m_duty; }
    platform::StoreClient& store() { return m_store; }
    platform::VmClient& vms() { return m_vms; }
    HttpClient& http() { return m_http; }
    /// Closes idle connections to VMs, whose number of connections is bounded for all daemons.
    void forgetVms() { m_vmHttp.dropIdle(); }

private:
    Duty m_duty;
    HttpClient m_http;
    HttpClient m_vmHttp;
    platform::StoreClient m_store;
    platform::VmClient m_vms;
    CorePost m_toCore;
    Mailbox<Closure> m_inbox;
};

/// What the links report, on the core's thread.
struct NodeLinkEvents {
    std::function<void(LinkId, bool outgoing)> onOpen;
    std::function<void(LinkId, PeerMessage)> onMessage;
    std::function<void(LinkId)> onClosed;
    std::function<void(Address, LinkId)> onDialled;
};

/// Carries messages between daemons.
class NodeLinks {
public:
    NodeLinks(NodeLinkEvents events, CorePost toCore);
    NodeLinks(const NodeLinks&) = delete;
    NodeLinks& operator=(const NodeLinks&) = delete;

    /// Throws std::system_error when the address cannot be had.
    void open(const Address& listen);
    void dial(const Address& address);
    void send(LinkId link, const PeerMessage& message);
    void drop(LinkId link);
    const Duty& duty() const { return m_duty; }

private:
    void tell(Closure closure, LinkId link);
    void order(Closure closure);

    NodeLinkEvents m_events;
    CorePost m_toCore;
    Duty m_duty;
    PeerTransport m_transport;
    Mailbox<Closure> m_inbox;
};

/// What the front asks the core; each calls back through NodeFront::answer with the id.
struct NodeFrontEvents {
    std::function<void(std::uint64_t id, platform::CallerCall call, std::string body)> onCall;
    std::function<void(std::uint64_t id)> onMetrics;
};

/// Takes callers, health checks of the platform, and readers of metrics.
class NodeFront {
public:
    NodeFront(NodeFrontEvents events, CorePost toCore);
    NodeFront(const NodeFront&) = delete;
    NodeFront& operator=(const NodeFront&) = delete;

    /// Throws std::system_error when an address cannot be had.
    void open(const NodeSettings& settings);
    void answer(std::uint64_t id, HttpResponse response);
    void setReady(bool ready) { m_ready.store(ready); }
    void beginDrain();
    std::size_t requestsInProgress() const { return m_callers->requestsInProgress(); }
    Duty& duty() { return m_duty; }

private:
    HttpResponse wait(std::function<void(std::uint64_t)> ask);

    NodeFrontEvents m_events;
    CorePost m_toCore;
    Duty m_duty;
    std::map<std::uint64_t, boost::fibers::promise<HttpResponse>> m_waiting;
    std::uint64_t m_nextRequest = 1;
    std::atomic<bool> m_ready { false };
    Mailbox<Closure> m_inbox;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
};

} // namespace heatherchute
