/// Loading of the cell from the store by a new owner: what has been read, and how long the load may take.
/// Does no I/O. The load that it answers is that of owners whose links carry the cell slowly or not at all.
#pragma once

#include "heatherchute/Support.h"
#include "platform/Adapter.h"

#include <array>
#include <map>

namespace heatherchute {

/// What has been read of the cell. The cell does not change while no daemon has loaded it, so what was read
/// in one ownership term remains valid in the next one as long as the cell's head is unchanged.
class CellReading {
public:
    enum class Listing : std::uint8_t {
        Submissions,
        Progress,
        LogRecords,
    };
    static constexpr std::array allListings { Listing::Submissions, Listing::Progress, Listing::LogRecords };

    /// Starts or resumes the reading of a cell whose head is at this revision; zero if it has none.
    void begin(std::uint64_t headRevision);
    /// Adds the page that follows the last one of the listing.
    void addPage(Listing listing, platform::StorePage page);

    static const std::string& prefixOf(Listing listing);
    /// Key after which the next page begins; empty for the first page.
    const std::string& positionOf(Listing listing) const { return positions(listing).after; }
    bool isComplete(Listing listing) const { return positions(listing).isComplete; }
    bool isComplete() const;
    std::uint64_t headRevision() const { return m_headRevision.value_or(0); }
    std::size_t pages() const { return m_pages; }
    std::size_t bytes() const { return m_bytes; }
    /// Jobs and log records, by key. Take them once the reading is complete.
    std::map<std::string, std::string>& state() { return m_state; }
    std::map<std::string, std::string>& records() { return m_records; }

private:
    struct Position {
        std::string after;
        bool isComplete = false;
    };
    const Position& positions(Listing listing) const { return m_positions[static_cast<std::size_t>(listing)]; }

    std::optional<std::uint64_t> m_headRevision;
    std::array<Position, allListings.size()> m_positions;
    std::size_t m_pages = 0;
    std::size_t m_bytes = 0;
    std::map<std::string, std::string> m_state;
    std::map<std::string, std::string> m_records;
};

/// Decides when a new owner has to give up the cell because it does not load it: when no page has arrived for some
/// time, or the whole load takes too long. The times grow with each failure, so that a cell that loads slowly
/// everywhere is loaded in the end.
class LoadDeadline {
public:
    void begin(TimePoint now);
    /// Must be called at least every second while the cell is being loaded. Only time in which the lease is
    /// confirmed counts: without it other daemons can claim the cell, and the store may be away.
    void tick(bool isLeaseConfirmed, TimePoint now);
    /// A page has been read.
    void onPage() { m_sinceLastPage = Duration(0); }
    bool isOverdue() const;
    /// Time in this load so far, without that in which the lease was not confirmed.
    Milliseconds elapsed() const { return std::chrono::duration_cast<Milliseconds>(m_elapsed); }
    void onLoaded() { m_failures = 0; }
    /// Returns for how long the daemon must not claim the cell after it has given it up.
    Milliseconds onFailed();

private:
    Duration m_elapsed { 0 };
    Duration m_sinceLastPage { 0 };
    TimePoint m_tickedAt;
    unsigned m_failures = 0;
};

/// What a daemon can spend on the ownership of a cell.
struct DaemonCapacity {
    /// Processor cores; may be a fraction.
    double processorShare = 1;
    /// Bandwidth of its link; zero if unknown, which counts as sufficient.
    double linkMbps = 0;
};

/// Suitability of a daemon that can carry the load of the owner of a cell of a few hundred VMs.
inline constexpr double sufficientSuitability = 1;
/// Suitability of a daemon as the owner, in proportion to that.
double suitabilityOf(const DaemonCapacity& capacity);
/// Delay of the daemon's claims behind those of the most suitable daemon; none if that is no better than this one.
/// `bestSuitability` is that of the best daemon that may claim.
Milliseconds claimDelayOf(const DaemonCapacity& capacity, double bestSuitability);
/// Returns true if the cell should move from a daemon to another one. An owner that is late with its own work
/// hands over to any daemon that is clearly more suitable, other owners only to a much more suitable one,
/// since each move interrupts the service.
bool isBetterOwner(const DaemonCapacity& other, const DaemonCapacity& owner, bool isOwnerLate);

/// Detects an event loop that is persistently late with its timer, as when the processor share is used up.
class LoopDelayMonitor {
public:
    explicit LoopDelayMonitor(Milliseconds interval)
        : m_interval(interval)
    {
    }
    void onTick(TimePoint now);
    /// A single pause of the process does not count.
    bool isLate() const;
    void reset() { m_lateTicks = 0; }

private:
    Milliseconds m_interval;
    TimePoint m_tickedAt;
    unsigned m_lateTicks = 0;
};

} // namespace heatherchute
