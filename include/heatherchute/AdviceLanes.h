/// Through which daemon a cell's owner asks for advice, and when an ask had better wait.
#pragma once

#include "heatherchute/Support.h"

namespace heatherchute::cell {

/// The advice service takes the calls of each daemon one at a time, so asks are spread over the
/// daemons. Pure; the times that calls take are estimates until they are answered.
class AdviceLanes {
public:
    /// Daemons that can ask. Calls through one that is gone are forgotten.
    void setDaemons(const std::vector<std::uint64_t>& daemons);
    /// Daemon that is to ask now; none while all that may take such a call are busy for long, so
    /// that an ask is made from what is known then, and not behind others that wait.
    std::optional<std::uint64_t> take(Milliseconds cost, TimePoint now);
    bool canTake(Milliseconds cost, TimePoint now) const { return bestFor(cost, now) != nullptr; }
    /// The call is over.
    void giveBack(std::uint64_t daemon, TimePoint now);

private:
    struct Lane {
        std::uint64_t daemon = 0;
        /// By when the service should be through with its calls.
        TimePoint until;
        std::size_t calls = 0;
        /// Short calls only.
        bool isShort = false;
    };
    const Lane* bestFor(Milliseconds cost, TimePoint now) const;

    std::vector<Lane> m_lanes;
};

} // namespace heatherchute::cell
