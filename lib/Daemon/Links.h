/// The duty that carries messages between daemons.
#pragma once

#include "Events.h"
#include "heatherchute/Config.h"

namespace heatherchute {

class Links {
public:
    explicit Links(std::function<bool(CoreEvent&)> toCore);
    Links(const Links&) = delete;
    Links& operator=(const Links&) = delete;

    /// Starts to accept links; throws std::system_error when the address cannot be had.
    void open(const Address& listen);
    /// False when the ring is full; the order is then as it was.
    bool order(PeerOrder& order) { return m_inbox.push(order); }

private:
    void handle(PeerOrder&& order);
    void received(LinkId link, const std::string& bytes);
    bool tell(CoreEvent event);

    std::function<bool(CoreEvent&)> m_toCore;
    Duty m_duty;
    PeerTransport m_transport;
    Mailbox<PeerOrder> m_inbox;
};

} // namespace heatherchute
