#include "heatherchute/Limits.h"

#include <algorithm>

namespace heatherchute {

/// Maximum number of concurrent changes, so that a starting daemon does not overload the store.
static constexpr std::uint32_t maxChangesInFlight = 8;

static constexpr Milliseconds minYield { 300 };
static constexpr Milliseconds maxYieldJitter { 3000 };

std::uint32_t LimitRecord::total() const
{
    std::uint32_t sum = 0;
    for (const auto& [holder, allotment] : held)
        sum += allotment.count;
    return sum;
}

std::uint32_t applyAllotment(LimitRecord& record, const AllotmentChange& change)
{
    const auto limit = record.capVersion > change.fleetVersion ? std::min(record.cap, change.limit) : change.limit;
    const auto found = record.held.find(change.holder);
    const auto old = found == record.held.end() ? 0 : found->second.count;
    const auto others = record.total() - old;
    const auto available = limit > others ? limit - others : 0;
    // After the quota was lowered, less may be available than is allocated. A holder may keep its
    // allocation but not increase it.
    const auto count = change.wanted <= old ? change.wanted : std::max(old, std::min(change.wanted, available));
    if (count == 0)
        record.held.erase(change.holder);
    else
        record.held[change.holder] = { count, change.change };
    return count;
}

LimitDesk::LimitDesk(Milliseconds retryInterval, Seconds idleTime)
    : m_retryInterval(retryInterval)
    , m_idleTime(idleTime)
{
}

std::uint32_t LimitDesk::take(const std::string& team, const std::string& holder, std::uint32_t count, bool whole)
{
    auto& account = m_teams[team].holders[holder];
    const auto free = account.allocated > account.inUse ? account.allocated - account.inUse : 0;
    const auto acquired = std::min(free, count);
    const bool refused = whole && acquired < count;
    account.shortfall = std::max(account.shortfall, refused ? count : count - acquired);
    if (refused)
        return 0;
    account.inUse += acquired;
    return acquired;
}

void LimitDesk::give(const std::string& team, const std::string& holder, std::uint32_t count)
{
    auto& account = m_teams[team].holders[holder];
    account.inUse -= std::min(count, account.inUse);
}

void LimitDesk::adopt(const std::string& team, const std::string& holder, std::uint32_t count)
{
    auto& account = m_teams[team].holders[holder];
    account.inUse += count;
    // Quota for running work was allocated to this holder before this daemon took it over.
    account.allocated = std::max(account.allocated, account.inUse);
}

void LimitDesk::takeOver(const std::string& holder)
{
    for (auto& [team, accounts] : m_teams)
        accounts.holders.try_emplace(holder);
}

void LimitDesk::drop(const std::string& holder)
{
    for (auto& [team, accounts] : m_teams)
        accounts.holders.erase(holder);
}

void LimitDesk::setLimits(const std::map<std::string, std::uint32_t>& limits, std::uint64_t fleetVersion)
{
    m_fleetVersion = fleetVersion;
    for (auto& [team, accounts] : m_teams)
        accounts.limit = 0;
    for (const auto& [team, limit] : limits)
        m_teams[team].limit = limit;
}

bool LimitDesk::isSettled() const
{
    for (const auto& [team, accounts] : m_teams) {
        for (const auto& [holder, account] : accounts.holders) {
            if (account.allocated > 0 || account.changeInFlight)
                return false;
        }
    }
    return true;
}

void LimitDesk::setReserve(const std::string& holder, std::uint32_t divisor)
{
    m_reserveHolder = holder;
    m_reserveDivisor = divisor;
}

void LimitDesk::setLeaving()
{
    m_idleTime = Seconds(0);
    m_reserveDivisor = 0;
}

std::uint32_t LimitDesk::reserveOf(const TeamAccounts& accounts, const std::string& holder) const
{
    return holder == m_reserveHolder && m_reserveDivisor > 0 ? accounts.limit / m_reserveDivisor : 0;
}

std::uint32_t LimitDesk::targetAllocation(const Account& account, std::uint32_t reserve, TimePoint now) const
{
    if (now < account.yieldUntil)
        return std::max(reserve, account.inUse);
    if (account.shortfall > 0) {
        // Requests 50% more than needed, which saves the next request while the team's use grows.
        return account.inUse + account.shortfall + (account.inUse + account.shortfall) / 2;
    }
    const bool isIdle = now - account.lastBusy >= m_idleTime;
    return std::max(reserve, isIdle ? account.inUse : account.allocated);
}

std::vector<AllotmentChange> LimitDesk::tick(TimePoint now)
{
    std::vector<AllotmentChange> changes;
    for (auto& [team, accounts] : m_teams) {
        if (m_reserveDivisor > 0 && accounts.limit >= m_reserveDivisor)
            accounts.holders.try_emplace(m_reserveHolder);
        for (auto& [holder, account] : accounts.holders) {
            if (account.inUse == account.allocated || account.shortfall > 0)
                account.lastBusy = now;
            const auto target = std::min(targetAllocation(account, reserveOf(accounts, holder), now), std::max(accounts.limit, account.inUse));
            const bool isChangeNeeded = account.needsSync || target != account.allocated;
            if (account.changeInFlight || now < account.nextChangeAt || !isChangeNeeded || m_changesInFlight >= maxChangesInFlight)
                continue;
            // Lowers the local allocation before the store is updated, so that no work starts under
            // the quota that is being released.
            account.allocated = std::min(account.allocated, std::max(target, account.inUse));
            account.changeInFlight = true;
            ++m_changesInFlight;
            changes.push_back({ team, holder, target, accounts.limit, m_fleetVersion, randomToken(8) });
        }
    }
    return changes;
}

void LimitDesk::onChanged(const AllotmentChange& change, const Result<std::uint32_t>& allocation, TimePoint now)
{
    --m_changesInFlight;
    const auto team = m_teams.find(change.team);
    if (team == m_teams.end() || !team->second.holders.contains(change.holder))
        return;
    auto& account = team->second.holders[change.holder];
    account.changeInFlight = false;
    account.nextChangeAt = now + m_retryInterval;
    if (!allocation) {
        // The write may have taken effect, so the stored allocation is requested again.
        account.needsSync = true;
        account.nextChangeAt = now + 4 * m_retryInterval;
        return;
    }
    account.needsSync = false;
    // Restarts the idle timer, so that the holder has time to use the new allocation.
    account.lastBusy = now;
    account.allocated = std::max(allocation.value(), account.inUse);
    account.shortfall = 0;
    const bool isPartial = account.allocated < change.wanted && account.allocated > account.inUse;
    if (!isPartial)
        return;
    const auto jitter = Milliseconds(stableHash(change.holder + std::to_string(m_yieldCount++)) % maxYieldJitter.count());
    account.yieldUntil = now + minYield + jitter;
}

bool LimitDesk::isUnknown(const std::string& team, const std::string& holder) const
{
    const auto accounts = m_teams.find(team);
    if (accounts == m_teams.end() || !accounts->second.holders.contains(holder))
        return true;
    const auto& account = accounts->second.holders.at(holder);
    return account.needsSync && account.allocated == 0;
}

std::uint32_t LimitDesk::inUse(const std::string& team, const std::string& holder) const
{
    const auto accounts = m_teams.find(team);
    if (accounts == m_teams.end() || !accounts->second.holders.contains(holder))
        return 0;
    return accounts->second.holders.at(holder).inUse;
}

std::uint32_t LimitDesk::free(const std::string& team, const std::string& holder) const
{
    return held(team, holder) - std::min(held(team, holder), inUse(team, holder));
}

std::uint32_t LimitDesk::held(const std::string& team, const std::string& holder) const
{
    const auto accounts = m_teams.find(team);
    if (accounts == m_teams.end() || !accounts->second.holders.contains(holder))
        return 0;
    return accounts->second.holders.at(holder).allocated;
}

} // namespace heatherchute
