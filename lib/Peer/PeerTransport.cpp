#include "heatherchute/Peer.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace heatherchute {

namespace {

    /// Longest message a peer may send, in bytes: a whole service request with its envelope.
    constexpr std::size_t maxMessageBytes = 6U << 20;
    /// Bytes that may wait on one link before sends are refused.
    constexpr std::size_t maxBufferedBytes = 16U << 20;
    constexpr long handshakeTimeoutMs = 3000;

    using Server = websocketpp::server<websocketpp::config::asio>;
    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using Handle = websocketpp::connection_hdl;

    /// Either side of a link, by what both sides offer.
    struct Link {
        Server::connection_ptr incoming;
        Client::connection_ptr outgoing;
        bool open = false;
    };

} // namespace

struct PeerTransport::State {
    explicit State(PeerEvents peerEvents)
        : events(std::move(peerEvents))
    {
    }

    template <typename Endpoint>
    void prepare(Endpoint& endpoint, boost::asio::io_context& io);
    template <typename Endpoint>
    void addHandlers(Endpoint& endpoint, bool outgoing);

    LinkId find(const Handle& handle) const;
    void ended(const Handle& handle);

    PeerEvents events;
    Server server;
    Client client;
    std::map<LinkId, Link> links;
    std::map<Handle, LinkId, std::owner_less<Handle>> byHandle;
    LinkId nextLink = 1;
    bool listening = false;
};

LinkId PeerTransport::State::find(const Handle& handle) const
{
    const auto found = byHandle.find(handle);
    return found == byHandle.end() ? 0 : found->second;
}

void PeerTransport::State::ended(const Handle& handle)
{
    const auto link = find(handle);
    if (link == 0)
        return;
    byHandle.erase(handle);
    links.erase(link);
    events.onClosed(link);
}

template <typename Endpoint>
void PeerTransport::State::prepare(Endpoint& endpoint, boost::asio::io_context& io)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_max_message_size(maxMessageBytes);
    endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
    endpoint.set_close_handshake_timeout(handshakeTimeoutMs);
    endpoint.set_tcp_post_init_handler([&endpoint](const Handle& handle) {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        boost::system::error_code ignored;
        if (!error)
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    });
}

template <typename Endpoint>
void PeerTransport::State::addHandlers(Endpoint& endpoint, bool outgoing)
{
    endpoint.set_open_handler([this, outgoing](const Handle& handle) {
        const auto link = find(handle);
        if (link == 0)
            return;
        links[link].open = true;
        events.onOpen(link, outgoing);
    });
    endpoint.set_message_handler([this](const Handle& handle, typename Endpoint::message_ptr message) {
        const auto link = find(handle);
        if (link != 0)
            events.onMessage(link, std::move(message->get_raw_payload()));
    });
    endpoint.set_close_handler([this](const Handle& handle) { ended(handle); });
    endpoint.set_fail_handler([this](const Handle& handle) { ended(handle); });
}

PeerTransport::PeerTransport(boost::asio::io_context& io, PeerEvents events)
    : m_state(std::make_unique<State>(std::move(events)))
{
    auto& state = *m_state;
    state.prepare(state.server, io);
    state.prepare(state.client, io);
    state.addHandlers(state.server, false);
    state.addHandlers(state.client, true);
    state.server.set_reuse_addr(true);
    state.server.set_validate_handler([&state](const Handle& handle) {
        const auto link = state.nextLink++;
        state.byHandle[handle] = link;
        state.links[link].incoming = state.server.get_con_from_hdl(handle);
        return true;
    });
}

PeerTransport::~PeerTransport() = default;

std::error_code PeerTransport::listen(const std::string& host, std::uint16_t port)
{
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(host), port);
    websocketpp::lib::error_code error;
    m_state->server.listen(endpoint, error);
    if (error)
        return error;
    m_state->server.start_accept(error);
    m_state->listening = !error;
    return error;
}

LinkId PeerTransport::dial(const std::string& host, std::uint16_t port)
{
    const auto link = m_state->nextLink++;
    websocketpp::lib::error_code error;
    const auto connection = m_state->client.get_connection("ws://" + host + ":" + std::to_string(port), error);
    if (error)
        return 0;
    m_state->byHandle[connection->get_handle()] = link;
    m_state->links[link].outgoing = connection;
    m_state->client.connect(connection);
    return link;
}

template <typename ConnectionPointer>
static bool sendOn(const ConnectionPointer& connection, const std::string& message)
{
    if (connection->get_buffered_amount() + message.size() > maxBufferedBytes)
        return false;
    return !connection->send(message, websocketpp::frame::opcode::binary);
}

bool PeerTransport::send(LinkId link, const std::string& message)
{
    const auto found = m_state->links.find(link);
    if (found == m_state->links.end() || !found->second.open)
        return false;
    const auto& [incoming, outgoing, open] = found->second;
    return incoming ? sendOn(incoming, message) : sendOn(outgoing, message);
}

template <typename ConnectionPointer>
static void closeSocket(const ConnectionPointer& connection)
{
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
}

void PeerTransport::drop(LinkId link)
{
    const auto found = m_state->links.find(link);
    if (found == m_state->links.end())
        return;
    const auto copy = found->second;
    const auto handle = copy.incoming ? copy.incoming->get_handle() : copy.outgoing->get_handle();
    m_state->ended(handle);
    if (copy.incoming)
        closeSocket(copy.incoming);
    else
        closeSocket(copy.outgoing);
}

void PeerTransport::close()
{
    websocketpp::lib::error_code ignored;
    if (m_state->listening)
        m_state->server.stop_listening(ignored);
    while (!m_state->links.empty())
        drop(m_state->links.begin()->first);
}

} // namespace heatherchute
