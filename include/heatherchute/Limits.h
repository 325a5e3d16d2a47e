/// Upper limits of teams across failure domains that cannot always talk. Each holder (a daemon
/// for requests, a shard for tasks) has an allotment of a team's limit in the store; allotments
/// never add up to more than the limit, and nothing runs without a part of one. Pure.
#pragma once

#include "heatherchute/Support.h"

#include <map>

namespace heatherchute {

/// One holder's part of a limit, as kept in the store.
struct Allotment {
    std::uint32_t count = 0;
    /// Names the last change, so that a lost answer can be told from a lost write.
    std::string change;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Allotment, count, change)

/// A team's value in the store.
struct LimitRecord {
    /// Limit that the configuration with version `capVersion` sets or is about to set. It binds
    /// holders that run by an older version.
    std::uint32_t cap = 0;
    std::uint64_t capVersion = 0;
    std::map<std::string, Allotment> held;

    std::uint32_t total() const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LimitRecord, cap, capVersion, held)

/// Asks for a holder's allotment to become `wanted`, or as much of it as the limit leaves.
struct AllotmentChange {
    std::string team;
    std::string holder;
    std::uint32_t wanted = 0;
    /// The limit by the configuration with version `fleetVersion`.
    std::uint32_t limit = 0;
    std::uint64_t fleetVersion = 0;
    std::string change;
};

/// Applies a change to the stored record. Never raises the sum over the limit or the cap.
/// Returns the holder's new allotment.
std::uint32_t applyAllotment(LimitRecord& record, const AllotmentChange& change);

class LimitDesk {
public:
    /// Least time between two store calls for the same team and holder.
    explicit LimitDesk(Milliseconds retryInterval = Milliseconds(250), Seconds idleTime = Seconds(5));

    /// Takes up to `count` for work that is about to start, all or nothing when `whole`.
    std::uint32_t take(const std::string& team, const std::string& holder, std::uint32_t count, bool whole);
    void give(const std::string& team, const std::string& holder, std::uint32_t count);
    /// States how much is in use, for a holder whose work was found running.
    void adopt(const std::string& team, const std::string& holder, std::uint32_t count);
    /// Begins to keep a holder that another daemon kept before: what the store holds for it is
    /// brought in line with what is adopted.
    void takeOver(const std::string& holder);
    /// Forgets a holder that now belongs to another daemon.
    void drop(const std::string& holder);
    void setLimits(const std::map<std::string, std::uint32_t>& limits, std::uint64_t fleetVersion);
    /// Keeps this part of each team's limit at `holder`, so that work can start while the store
    /// is down: the limit divided by `divisor`, rounded down.
    void setReserve(const std::string& holder, std::uint32_t divisor);
    /// Gives back at once whatever is not in use.
    void setLeaving();
    /// True when no allotment is held and none is being changed.
    bool isSettled() const;

    /// Changes to make in the store now.
    std::vector<AllotmentChange> tick(TimePoint now);
    /// What the store said: the holder's allotment, or an error to try again after.
    void onChanged(const AllotmentChange& change, const Result<std::uint32_t>& held, TimePoint now);

    /// The store has never answered for this holder, so it has no part of the limit.
    bool isUnknown(const std::string& team, const std::string& holder) const;
    std::uint32_t inUse(const std::string& team, const std::string& holder) const;
    std::uint32_t free(const std::string& team, const std::string& holder) const;
    std::uint32_t held(const std::string& team, const std::string& holder) const;

private:
    struct Account {
        std::uint32_t allocated = 0;
        std::uint32_t inUse = 0;
        /// More that was asked for and could not be had.
        std::uint32_t shortfall = 0;
        bool changeInFlight = false;
        /// The store has not been asked yet, so `held` may be too low.
        bool needsSync = true;
        TimePoint nextChangeAt;
        TimePoint lastBusy;
        /// Until then it asks for nothing and gives back what it cannot use, so that two
        /// holders do not wait for ever for each other's half.
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
    /// Zero: no reserve.
    std::uint32_t m_reserveDivisor = 0;
    std::uint32_t m_changesInFlight = 0;
    std::uint64_t m_yieldCount = 0;
    std::map<std::string, TeamAccounts> m_teams;
};

} // namespace heatherchute
