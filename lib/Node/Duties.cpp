#include "Duties.h"
#include "heatherchute/Node.h"

namespace heatherchute {

static constexpr std::size_t ringCapacity = 16'384;

/// A VM takes 64 connections from all daemons of the present and of the past minute together.
static constexpr HttpClientLimits vmConnections { 4, Milliseconds(10'000), 8 };

static void logRingFull(const char* duty)
{
    logEvent(LogLevel::Error, "ring_full", { { "duty", duty }, { "capacity", ringCapacity } });
}

NodeOutbound::NodeOutbound(const NodeSettings& settings, CorePost toCore)
    : m_duty("outside")
    , m_http(m_duty)
    , m_vmHttp(m_duty, vmConnections)
    , m_store(m_http, settings.store)
    , m_vms(m_vmHttp)
    , m_toCore(std::move(toCore))
    , m_inbox(m_duty, ringCapacity, [](Closure&& body) { boost::fibers::fiber(std::move(body)).detach(); })
{
}

void NodeOutbound::run(Closure body)
{
    if (!m_inbox.push(body))
        logRingFull("outside");
}

void NodeOutbound::report(Closure closure)
{
    while (!m_toCore(closure))
        sleep(Milliseconds(1));
}

void NodeOutbound::sleep(Milliseconds time)
{
    sleepFiber(m_duty.io(), time);
}

NodeLinks::NodeLinks(NodeLinkEvents events, CorePost toCore)
    : m_events(std::move(events))
    , m_toCore(std::move(toCore))
    , m_duty("peer")
    , m_transport(m_duty.io(),
          { [this](LinkId link, bool outgoing) { tell([this, link, outgoing] { m_events.onOpen(link, outgoing); }, link); },
              [this](LinkId link, const std::string& bytes) {
                  auto message = decodePeerMessage(bytes);
                  if (!message) {
                      logEvent(LogLevel::Warning, "peer_message_unreadable", { { "link", link }, { "bytes", bytes.size() } });
                      m_transport.drop(link);
                      return;
                  }
                  tell([this, link, message = std::move(message.value())]() mutable { m_events.onMessage(link, std::move(message)); }, link);
              },
              [this](LinkId link) { tell([this, link] { m_events.onClosed(link); }, 0); } })
    , m_inbox(m_duty, ringCapacity, [](Closure&& closure) { closure(); })
{
}

void NodeLinks::open(const Address& listen)
{
    std::promise<std::error_code> bound;
    boost::asio::post(m_duty.io(), [&] { bound.set_value(m_transport.listen(listen.host, listen.port)); });
    if (const auto error = bound.get_future().get())
        throw std::system_error(error, "cannot listen for peers on " + addressText(listen));
}

void NodeLinks::tell(Closure closure, LinkId link)
{
    if (m_toCore(closure))
        return;
    // What was asked over the link is asked again over the next one.
    logRingFull("core");
    if (link)
        m_transport.drop(link);
}

void NodeLinks::order(Closure closure)
{
    if (!m_inbox.push(closure))
        logRingFull("peer");
}

void NodeLinks::dial(const Address& address)
{
    order([this, address] {
        const auto link = m_transport.dial(address.host, address.port);
        tell([this, address, link] { m_events.onDialled(address, link); }, link);
    });
}

void NodeLinks::send(LinkId link, const PeerMessage& message)
{
    order([this, link, bytes = encodePeerMessage(message)] {
        if (!m_transport.send(link, bytes))
            m_transport.drop(link);
    });
}

void NodeLinks::drop(LinkId link)
{
    order([this, link] { m_transport.drop(link); });
}

NodeFront::NodeFront(NodeFrontEvents events, CorePost toCore)
    : m_events(std::move(events))
    , m_toCore(std::move(toCore))
    , m_duty("front")
    , m_inbox(m_duty, ringCapacity, [](Closure&& closure) { closure(); })
{
}

HttpResponse NodeFront::wait(std::function<void(std::uint64_t)> ask)
{
    /// The core answers every call by its deadline; this only catches an answer that was dropped.
    constexpr Seconds longestAnswer { 60 };
    const auto id = m_nextRequest++;
    auto answered = m_waiting[id].get_future();
    Closure arrived = [ask = std::move(ask), id] { ask(id); };
    if (!m_toCore(arrived)) {
        m_waiting.erase(id);
        return errorResponse(ErrorKind::Overloaded);
    }
    const bool isAnswered = answered.wait_for(longestAnswer) == boost::fibers::future_status::ready;
    auto response = isAnswered ? answered.get() : errorResponse(ErrorKind::OutcomeUnknown);
    m_waiting.erase(id);
    return response;
}

void NodeFront::open(const NodeSettings& settings)
{
    HttpServerSettings callers;
    callers.listen = settings.listenCallers;
    m_callers = std::make_unique<HttpServer>(m_duty, callers, [this](HttpRequest&& request) {
        auto call = platform::parseCaller(request);
        return wait([this, call = std::move(call), body = std::move(request.body)](std::uint64_t id) mutable {
            m_events.onCall(id, std::move(call), std::move(body));
        });
    });
    HttpServerSettings readiness;
    readiness.listen = settings.listenReadiness;
    m_readiness = std::make_unique<HttpServer>(m_duty, readiness, [this](HttpRequest&&) {
        return m_ready.load() ? jsonResponse(200, { { "ready", true } }) : jsonResponse(503, { { "ready", false } });
    });
    if (settings.listenMetrics.port == 0)
        return;
    HttpServerSettings metrics;
    metrics.listen = settings.listenMetrics;
    m_metrics = std::make_unique<HttpServer>(m_duty, metrics, [this](HttpRequest&&) {
        return wait([this](std::uint64_t id) { m_events.onMetrics(id); });
    });
}

void NodeFront::answer(std::uint64_t id, HttpResponse response)
{
    Closure closure = [this, id, response = std::move(response)]() mutable {
        const auto found = m_waiting.find(id);
        if (found != m_waiting.end())
            found->second.set_value(std::move(response));
    };
    if (!m_inbox.push(closure))
        logRingFull("front");
}

void NodeFront::beginDrain()
{
    m_callers->beginDrain();
}

} // namespace heatherchute
