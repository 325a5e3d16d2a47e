/// Quotas of teams, enforced across failure domains between which communication may fail. Each holder
/// (a daemon for requests, a shard for tasks) has an allocation of a team's quota in the store. The
/// allocations never add up to more than the quota, and work runs only under an allocation. The code
/// does no I/O and reads no clock.
#pragma once

#include "heatherchute/Support.h"

#include <map>

namespace heatherchute {

/// Quota allocation of one holder, as stored.
struct Allotment {
    std::uint32_t count = 0;
    /// Identifies the last change, to distinguish a lost response from a lost write.
    std::string change;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Allotment, count, change)

/// Quota of a team and its allocations, as stored.
struct LimitRecord {
    /// Quota that the configuration with version `capVersion` sets or is about to set. It also applies
    /// to holders that use an older configuration.
    std::uint32_t cap = 0;
    std::uint64_t capVersion = 0;
    std::map<std::string, Allotment> held;

    /// Sum of all allocations.
    std::uint32_t total() const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LimitRecord, cap, capVersion, held)

/// Requests that a holder's allocation become `wanted`, or as much of it as the quota allows.
struct AllotmentChange {
    std::string team;
    std::string holder;
    std::uint32_t wanted = 0;
    /// The team's quota in the configuration with version `fleetVersion`.
    std::uint32_t limit = 0;
    std::uint64_t fleetVersion = 0;
    std::string change;
};

/// Applies a change to the stored record and returns the holder's new allocation. Never raises the sum
/// of the allocations above the quota or the cap.
std::uint32_t applyAllotment(LimitRecord& record, const AllotmentChange& change);

/// Acquires and releases quota for the holders of this daemon, and adjusts their allocations in the
/// store to the demand.
class LimitDesk {
public:
    /// `retryInterval` is the minimum interval between two requests to the store for the same team and
    /// holder. Allocated quota that has not been in full use for `idleTime` is released.
    explicit LimitDesk(Milliseconds retryInterval = Milliseconds(250), Seconds idleTime = Seconds(5));

    /// Acquires up to `count` units of quota for work that is about to start, or all or nothing if
    /// `whole` is set. Returns the number acquired.
    std::uint32_t take(const std::string& team, const std::string& holder, std::uint32_t count, bool whole);
    /// Releases `count` units of acquired quota.
    void give(const std::string& team, const std::string& holder, std::uint32_t count);
    /// Adds `count` units to the quota in use, for work of the holder that is already running.
    void adopt(const std::string& team, const std::string& holder, std::uint32_t count);
    /// Starts to manage a holder that another daemon managed before. The holder's allocations in the
    /// store are adjusted to the adopted use.
    void takeOver(const std::string& holder);
    /// Removes a holder that another daemon now manages.
    void drop(const std::string& holder);
    void setLimits(const std::map<std::string, std::uint32_t>& limits, std::uint64_t fleetVersion);
    /// Reserves a share of each team's quota (the quota divided by `divisor`, rounded down) for
    /// `holder`, so that work can start while the store is unavailable.
    void setReserve(const std::string& holder, std::uint32_t divisor);
    /// Starts a shutdown: releases all quota that is not in use without delay.
    void setLeaving();
    /// True if no quota is allocated and no change is in progress.
    bool isSettled() const;

    /// Returns the changes to apply to the store now.
    std::vector<AllotmentChange> tick(TimePoint now);
    /// Handles the result of a change: the holder's new allocation, or an error after which the change
    /// is retried.
    void onChanged(const AllotmentChange& change, const Result<std::uint32_t>& allocation, TimePoint now);

    /// True if the store has not yet replied for this holder, so that it has no allocation.
    bool isUnknown(const std::string& team, const std::string& holder) const;
    std::uint32_t inUse(const std::string& team, const std::string& holder) const;
    std::uint32_t free(const std::string& team, const std::string& holder) const;
    std::uint32_t held(const std::string& team, const std::string& holder) const;

private:
    struct Account {
        std::uint32_t allocated = 0;
        std::uint32_t inUse = 0;
        /// Quota that was requested and could not be acquired.
        std::uint32_t shortfall = 0;
        bool changeInFlight = false;
        /// The stored allocation is not known, so `allocated` may be too low.
        bool needsSync = true;
        TimePoint nextChangeAt;
        TimePoint lastBusy;
        /// Until this time the holder requests no quota and releases what it does not use. This
        /// prevents a deadlock of two holders that each hold part of what the other needs.
        TimePoint yieldUntil;
    };
    struct TeamAccounts {
        std::uint32_t limit = 0;
        std::map<std::string, Account> holders;
    };

    std::uint32_t targetAllocation(const Account& account, std::uint32_t reserve, TimePoint now) const;
    std::uint32_t reserveOf(const TeamAccounts& accounts, const std::string& holder) const;

    Milliseconds m_retryInterval;
    Seconds m_idleTime;
    std::uint64_t m_fleetVersion = 0;
    std::string m_reserveHolder;
    /// Zero if no quota is reserved.
    std::uint32_t m_reserveDivisor = 0;
    std::uint32_t m_changesInFlight = 0;
    std::uint64_t m_yieldCount = 0;
    std::map<std::string, TeamAccounts> m_teams;
};

} // namespace heatherchute
