#include "Duties.h"
#include "heatherchute/Node.h"

namespace heatherchute {

static constexpr std::size_t ringCapacity = 16'384;

/// A VM accepts 64 connections in total, from all daemons that run now or ran in the past minute.
static constexpr HttpClientLimits vmConnections { 4, Milliseconds(10'000), 8 };

static void logRingFull(const char* eventLoop)
{
    logEvent(LogLevel::Error, "ring_full", { { "duty", eventLoop }, { "capacity", ringCapacity } });
}

NodeOutbound::NodeOutbound(const NodeSettings& settings, CorePost toCore)
    : m_eventLoop("outside")
    , m_http(m_eventLoop)
    , m_vmHttp(m_eventLoop, vmConnections)
    , m_store(m_http, settings.store)
    , m_vms(m_vmHttp)
    , m_toCore(std::move(toCore))
    , m_inbox(m_eventLoop, ringCapacity, [](Closure&& body) { boost::fibers::fiber(std::move(body)).detach(); })
{
}

void NodeOutbound::runFiber(Closure body)
{
    if (!m_inbox.push(body))
        logRingFull("outside");
}

void NodeOutbound::postToCore(Closure closure)
{
    while (!m_toCore(closure))
        sleep(Milliseconds(1));
}

void NodeOutbound::sleep(Milliseconds time)
{
    sleepFiber(m_eventLoop.io(), time);
}

NodeLinks::NodeLinks(NodeLinkEvents events, CorePost toCore)
    : m_events(std::move(events))
    , m_toCore(std::move(toCore))
    , m_eventLoop("peer")
    , m_transport(m_eventLoop.io(),
          { [this](LinkId link, bool outgoing) { postToCore([this, link, outgoing] { m_events.onOpen(link, outgoing); }, link); },
              [this](LinkId link, const std::string& bytes) {
                  auto message = decodePeerMessage(bytes);
                  if (!message) {
                      logEvent(LogLevel::Warning, "peer_message_unreadable", { { "link", link }, { "bytes", bytes.size() } });
                      m_transport.drop(link);
                      return;
                  }
                  postToCore([this, link, message = std::move(message.value())]() mutable { m_events.onMessage(link, std::move(message)); }, link);
              },
              [this](LinkId link) { postToCore([this, link] { m_events.onClosed(link); }, 0); } })
    , m_inbox(m_eventLoop, ringCapacity, [](Closure&& closure) { closure(); })
{
}

void NodeLinks::open(const Address& listen)
{
    std::promise<std::error_code> bound;
    boost::asio::post(m_eventLoop.io(), [&] { bound.set_value(m_transport.listen(listen.host, listen.port)); });
    if (const auto error = bound.get_future().get())
        throw std::system_error(error, "cannot listen for peers on " + addressText(listen));
}

void NodeLinks::postToCore(Closure closure, LinkId link)
{
    if (m_toCore(closure))
        return;
    // The peer repeats its requests over the next link.
    logRingFull("core");
    if (link)
        m_transport.drop(link);
}

void NodeLinks::postToTransport(Closure closure)
{
    if (!m_inbox.push(closure))
        logRingFull("peer");
}

void NodeLinks::dial(const Address& address)
{
    postToTransport([this, address] {
        const auto link = m_transport.dial(address.host, address.port);
        postToCore([this, address, link] { m_events.onDialled(address, link); }, link);
    });
}

void NodeLinks::send(LinkId link, const PeerMessage& message)
{
    postToTransport([this, link, bytes = encodePeerMessage(message)] {
        if (!m_transport.send(link, bytes))
            m_transport.drop(link);
    });
}

void NodeLinks::drop(LinkId link)
{
    postToTransport([this, link] { m_transport.drop(link); });
}

NodeFront::NodeFront(NodeFrontEvents events, CorePost toCore)
    : m_events(std::move(events))
    , m_toCore(std::move(toCore))
    , m_eventLoop("front")
    , m_inbox(m_eventLoop, ringCapacity, [](Closure&& closure) { closure(); })
{
}

HttpResponse NodeFront::waitForCore(std::function<void(std::uint64_t)> request)
{
    /// The core responds to every request by its deadline; this timeout applies only to a response
    /// that was dropped.
    constexpr Seconds responseTimeout { 60 };
    const auto id = m_nextRequest++;
    auto future = m_pendingResponses[id].get_future();
    Closure closure = [request = std::move(request), id] { request(id); };
    if (!m_toCore(closure)) {
        m_pendingResponses.erase(id);
        return errorResponse(ErrorKind::Overloaded);
    }
    const bool isReady = future.wait_for(responseTimeout) == boost::fibers::future_status::ready;
    auto response = isReady ? future.get() : errorResponse(ErrorKind::OutcomeUnknown);
    m_pendingResponses.erase(id);
    return response;
}

void NodeFront::open(const NodeSettings& settings)
{
    HttpServerSettings callers;
    callers.listen = settings.listenCallers;
    m_callerServer = std::make_unique<HttpServer>(m_eventLoop, callers, [this](HttpRequest&& request) {
        auto parsed = platform::parseCaller(request);
        return waitForCore([this, parsed = std::move(parsed), body = std::move(request.body)](std::uint64_t id) mutable {
            m_events.onRequest(id, std::move(parsed), std::move(body));
        });
    });
    HttpServerSettings readiness;
    readiness.listen = settings.listenReadiness;
    m_readinessServer = std::make_unique<HttpServer>(m_eventLoop, readiness, [this](HttpRequest&&) {
        return m_ready.load() ? jsonResponse(200, { { "ready", true } }) : jsonResponse(503, { { "ready", false } });
    });
    if (settings.listenMetrics.port == 0)
        return;
    HttpServerSettings metrics;
    metrics.listen = settings.listenMetrics;
    m_metricsServer = std::make_unique<HttpServer>(m_eventLoop, metrics, [this](HttpRequest&&) {
        return waitForCore([this](std::uint64_t id) { m_events.onMetrics(id); });
    });
}

void NodeFront::respond(std::uint64_t id, HttpResponse response)
{
    Closure closure = [this, id, response = std::move(response)]() mutable {
        const auto found = m_pendingResponses.find(id);
        if (found != m_pendingResponses.end())
            found->second.set_value(std::move(response));
    };
    if (!m_inbox.push(closure))
        logRingFull("front");
}

void NodeFront::beginDrain()
{
    m_callerServer->beginDrain();
}

} // namespace heatherchute
