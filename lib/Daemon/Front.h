/// The duty that talks HTTP with callers and operators.
#pragma once

#include "Events.h"
#include "heatherchute/Http.h"

namespace heatherchute {

class Front {
public:
    explicit Front(std::function<bool(CoreEvent&)> toCore);
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    /// Starts to accept callers; throws std::system_error when the address cannot be had.
    void open(const Address& listen);
    /// False when the ring is full; the answer is then as it was.
    bool answer(FrontAnswer& answer) { return m_inbox.push(answer); }
    std::size_t requestsInProgress() const { return m_server->requestsInProgress(); }
    void beginDrain() { m_server->beginDrain(); }
    Duty& duty() { return m_duty; }

private:
    HttpResponse serve(HttpRequest&& request);

    std::function<bool(CoreEvent&)> m_toCore;
    Duty m_duty;
    std::map<std::uint64_t, boost::fibers::promise<HttpResponse>> m_waiting;
    std::uint64_t m_nextRequest = 1;
    Mailbox<FrontAnswer> m_inbox;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace heatherchute
