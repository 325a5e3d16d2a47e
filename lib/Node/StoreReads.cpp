#include "StoreReads.h"

namespace heatherchute {

namespace {

    /// Logs when the store stops or starts to respond to the reads of one prefix.
    class StoreContactLog {
    public:
        explicit StoreContactLog(std::string name)
            : m_name(std::move(name))
        {
        }
        void note(bool isLost)
        {
            if (isLost != m_isLost)
                logEvent(isLost ? LogLevel::Warning : LogLevel::Info, isLost ? "store_lost" : "store_regained", { { "reading", m_name } });
            m_isLost = isLost;
        }

    private:
        std::string m_name;
        bool m_isLost = false;
    };

    /// All items under a prefix, and the store revision at which the first page was read, so that a watch
    /// started from it misses no change made while later pages were read.
    struct StoreList {
        std::vector<platform::StoreItem> items;
        std::uint64_t revision = 0;
    };

} // namespace

void readPages(NodeOutbound& outbound, const std::string& prefix, std::string after, const std::function<bool()>& isEnded, const PageHandler& onPage)
{
    Backoff backoff;
    for (bool isComplete = false; !isComplete && !isEnded();) {
        auto page = outbound.store().readPage(prefix, after);
        const bool isRead = static_cast<bool>(page);
        if (isRead) {
            isComplete = !page.value().hasMore;
            if (!isComplete)
                after = page.value().items.back().key;
        }
        onPage(std::move(page));
        if (isRead)
            backoff.reset();
        else
            outbound.sleep(backoff.next());
    }
}

/// Returns an incomplete list once `isEnded` returns true.
static StoreList listPrefix(NodeOutbound& outbound, const PrefixWatch& watch, StoreContactLog& contact)
{
    StoreList list;
    bool isFirst = true;
    readPages(outbound, watch.prefix, {}, watch.isEnded, [&](Result<platform::StorePage>&& page) {
        contact.note(!page);
        if (!page)
            return;
        if (std::exchange(isFirst, false))
            list.revision = page.value().revision;
        std::move(page.value().items.begin(), page.value().items.end(), std::back_inserter(list.items));
    });
    return list;
}

void followPrefix(NodeOutbound& outbound, const PrefixWatch& watch)
{
    /// Maximum duration of a watch; bounds the staleness caused by a silent connection.
    constexpr Milliseconds watchTimeout { 900 };
    StoreContactLog contact(watch.name);
    const auto noteContact = [&watch] {
        if (watch.onContact)
            watch.onContact();
    };
    while (!watch.isEnded()) {
        const auto list = listPrefix(outbound, watch, contact);
        if (watch.isEnded())
            return;
        auto revision = list.revision;
        watch.onItems(list.items, true);
        noteContact();
        while (!watch.isEnded()) {
            const auto watched = outbound.store().watch(watch.prefix, revision, watchTimeout);
            if (watched.outcome != platform::WatchOutcome::Events)
                break;
            noteContact();
            revision = std::max(revision, watched.revision);
            if (watched.items.empty())
                continue;
            watch.onItems(watched.items, false);
            if (watch.pause.count() > 0)
                outbound.sleep(watch.pause);
        }
    }
}

} // namespace heatherchute
