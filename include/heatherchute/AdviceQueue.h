/// Keeps account of the requests of one daemon that the advice service has not processed yet.
#pragma once

#include "heatherchute/Support.h"

#include <deque>

namespace heatherchute::cell {

/// The advice service processes the requests of each machine one at a time, in the order of their arrival. A
/// request keeps its turn even if the daemon has stopped waiting for it, or has ended. This account therefore
/// includes requests of earlier owners of the cell, and those that were given up. After a start of the
/// process the queue may hold requests of the process before; the first response shows what is left of it.
/// Uses no clock or network.
class AdviceQueue {
public:
    /// Identifies a request within the queue.
    using RequestId = std::uint64_t;

    /// A request that would wait longer is not sent. Tickets last about four times as long, and by the time
    /// of the response other VMs would have free capacity.
    static constexpr Milliseconds maxWait { 400 };

    /// Returns true if a request may be sent now: it would not wait for longer than `maxWait`, or, while the
    /// length of the queue is unknown, a probe is due.
    bool canSend(TimePoint now) const;
    /// Estimated time until the service begins with a request that is sent now. While the length of the queue is
    /// unknown, or the service would reject the request, `maxWait` more than the time until canSend() may return true.
    Milliseconds waitOf(TimePoint now) const;
    /// Adds a request with this expected processing time at the end of the queue.
    RequestId send(Milliseconds cost, TimePoint now);
    /// The service has responded to the request, so it has processed all that were sent before.
    void onResponse(RequestId id, TimePoint now);
    /// No response will come. The request may still be in the queue.
    void onFailure(RequestId id, TimePoint now);
    /// The request has certainly not reached the service.
    void onNotSent(RequestId id);
    /// The service has rejected the request because its queue is full.
    void onRejected(RequestId id, TimePoint now);

    /// Returns false if the queue may hold requests that are not accounted for: after the start, and when a
    /// response is missing or late. The next response ends it.
    bool isLengthKnown(TimePoint now) const;

private:
    struct Request {
        RequestId id = 0;
        Milliseconds cost { 0 };
        /// Estimated time by which the service has processed the request.
        TimePoint expectedEnd;
    };
    void forgetLength(TimePoint now);

    /// Requests without a response, and those that may still be in the queue, in the order of their arrival.
    std::deque<Request> m_requests;
    RequestId m_nextId = 1;
    /// No response has shown yet what the queue held before the oldest known request.
    bool m_isUnknown = true;
    TimePoint m_nextProbeAt;
    unsigned m_probesWithoutResponse = 0;
};

} // namespace heatherchute::cell
