/// Message links between daemons over WebSocket. The library behind it (websocketpp) needs an
/// older language level than the rest, so this header keeps to C++17 and names no type of it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace heatherchute {

/// Identifies one connection for the life of the transport.
using LinkId = std::uint64_t;

/// What the transport reports, on its event loop's thread.
struct PeerEvents {
    std::function<void(LinkId, bool outgoing)> onOpen;
    std::function<void(LinkId, std::string message)> onMessage;
    /// Follows every dial that fails and every open link that ends, once.
    std::function<void(LinkId)> onClosed;
};

/// Opens, accepts and closes links. All calls are made on the event loop's thread.
class PeerTransport {
public:
    PeerTransport(boost::asio::io_context& io, PeerEvents events);
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;
    ~PeerTransport();

    /// Accepts links at an IP address and port; an error when the address cannot be had.
    std::error_code listen(const std::string& host, std::uint16_t port);
    /// Starts a link to another daemon.
    LinkId dial(const std::string& host, std::uint16_t port);
    /// Queues one binary message; false when the link is gone or its buffer is full.
    bool send(LinkId link, const std::string& message);
    /// Ends a link without waiting for the other side, which may be silent for good.
    void drop(LinkId link);
    /// Stops accepting and ends all links.
    void close();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace heatherchute
