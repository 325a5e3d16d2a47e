/// Reads of the store that last longer than one request: listings of several pages, and watches.
#pragma once

#include "Duties.h"

namespace heatherchute {

/// Delay before the next retry of a failed store request, doubled with each consecutive failure.
class Backoff {
public:
    Milliseconds next()
    {
        const auto delay = m_next;
        m_next = std::min(m_next * 2, maxDelay);
        return delay;
    }
    void reset() { m_next = minDelay; }

private:
    static constexpr Milliseconds minDelay { 50 };
    static constexpr Milliseconds maxDelay { 400 };

    Milliseconds m_next = minDelay;
};

/// Gets the result of each read of a page, of failed reads as well.
using PageHandler = std::function<void(Result<platform::StorePage>&& page)>;

/// Reads the pages of a prefix behind the key `after`, one after the other, until the last one was read or `isEnded`
/// returns true. Repeats only a page that could not be read. Call it from a fiber of the outbound event loop.
void readPages(NodeOutbound& outbound, const std::string& prefix, std::string after, const std::function<bool()>& isEnded, const PageHandler& onPage);

/// Gets all items under a prefix if `isComplete`, else those that were written or deleted since.
using ItemHandler = std::function<void(const std::vector<platform::StoreItem>& items, bool isComplete)>;

/// What to watch, and what to do with it. All functions run on the outbound event loop.
struct PrefixWatch {
    std::string prefix;
    /// Name of the prefix in log events.
    std::string name;
    ItemHandler onItems;
    /// Called for each response of the store, also without changes; may be empty.
    std::function<void()> onContact;
    /// Pause after each change, so that the changes of that time arrive together.
    Milliseconds pause { 0 };
    std::function<bool()> isEnded = [] { return false; };
};

/// Lists a prefix and then watches it until `isEnded` returns true. Lists it again whenever the watch fails or the
/// store has lost the history that it needs. Call it from a fiber of the outbound event loop.
void followPrefix(NodeOutbound& outbound, const PrefixWatch& watch);

} // namespace heatherchute
