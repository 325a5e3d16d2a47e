#include "Links.h"

namespace heatherchute {

static constexpr std::size_t inboxCapacity = 16'384;

Links::Links(std::function<bool(CoreEvent&)> toCore)
    : m_toCore(std::move(toCore))
    , m_duty("peer")
    , m_transport(m_duty.io(),
          { [this](LinkId link, bool outgoing) { tell(PeerOpened { link, outgoing }); },
              [this](LinkId link, const std::string& message) { received(link, message); },
              [this](LinkId link) { tell(PeerClosed { link }); } })
    , m_inbox(m_duty, inboxCapacity, [this](PeerOrder&& order) { handle(std::move(order)); })
{
}

void Links::open(const Address& listen)
{
    std::promise<std::error_code> bound;
    boost::asio::post(m_duty.io(), [&] { bound.set_value(m_transport.listen(listen.host, listen.port)); });
    if (const auto error = bound.get_future().get())
        throw std::system_error(error, "cannot listen for peers on " + addressText(listen));
}

bool Links::tell(CoreEvent event)
{
    return m_toCore(event);
}

void Links::received(LinkId link, const std::string& bytes)
{
    auto message = decodeMessage(bytes);
    // A peer that speaks nonsense, or more than the core can take, loses its link; what it
    // asked is asked again over the next one.
    if (!message || !tell(PeerReceived { link, std::move(message.value()) })) {
        logEvent(LogLevel::Warning, "peer_link_dropped", { { "link", link }, { "readable", message.has_value() } });
        m_transport.drop(link);
    }
}

void Links::handle(PeerOrder&& order)
{
    std::visit(Overloaded {
                   [this](const DialPeer& dial) { tell(PeerDialled { dial.address, m_transport.dial(dial.address.host, dial.address.port) }); },
                   [this](const SendPeer& send) {
                       if (!m_transport.send(send.link, encodeMessage(send.message)))
                           m_transport.drop(send.link);
                   },
                   [this](const DropPeer& drop) { m_transport.drop(drop.link); },
               },
        order);
}

} // namespace heatherchute
