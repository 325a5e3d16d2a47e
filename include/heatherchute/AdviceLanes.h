/// Selects the daemon through which a cell's owner requests advice, and defers requests that would
/// wait too long at the service.
#pragma once

#include "heatherchute/Support.h"

namespace heatherchute::cell {

/// The advice service processes the requests of each daemon one at a time, so the requests are spread
/// over the daemons. The daemons know how long their queues are, see AdviceQueue; a new owner learns it from
/// their responses. Uses no clock or network.
class AdviceLanes {
public:
    /// Sets the daemons that can send requests. Pending requests of removed daemons are dropped.
    void setDaemons(const std::vector<std::uint64_t>& daemons);
    /// Returns the daemon that should send a request with this expected processing time, and counts
    /// the request as pending. Returns nothing while all eligible daemons are busy for too long: a
    /// request made later uses newer information than one that waits behind others.
    std::optional<std::uint64_t> acquire(Milliseconds cost, TimePoint now);
    bool canAcquire(Milliseconds cost, TimePoint now) const { return leastBusyLane(cost, now) != nullptr; }
    /// Ends a pending request of the daemon. `wait` is the time that the daemon's next request would wait.
    void release(std::uint64_t daemon, Milliseconds wait, TimePoint now);
    /// Ends a pending request of the daemon, which has not responded in time. The daemon gets no request for a
    /// while, longer each time until it responds.
    void onOverdue(std::uint64_t daemon, TimePoint now);
    /// The daemon has responded to a request that has ended, with the time that its next one would wait.
    void onLateResponse(std::uint64_t daemon, Milliseconds wait, TimePoint now);

private:
    struct Lane {
        std::uint64_t daemon = 0;
        /// Estimated time by which the service has processed the daemon's pending requests.
        TimePoint busyUntil;
        std::size_t pendingRequests = 0;
        /// Number of overdue requests since the latest response.
        unsigned overdueRequests = 0;
        /// Long requests are not sent through this daemon.
        bool takesShortRequestsOnly = false;
    };
    Lane* find(std::uint64_t daemon);
    const Lane* leastBusyLane(Milliseconds cost, TimePoint now) const;

    std::vector<Lane> m_lanes;
};

} // namespace heatherchute::cell
