#include "heatherchute/Limits.h"

#include <algorithm>

namespace heatherchute {

/// Changes on their way to the store at once, so that a start does not flood it.
static constexpr std::uint32_t maxCallsInFlight = 8;

static constexpr Milliseconds shortestYield { 300 };
static constexpr Milliseconds longestYield { 3000 };

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
    const auto room = limit > others ? limit - others : 0;
    // Room can be less than what is held after the limit was lowered: holding on is allowed,
    // taking more is not.
    const auto count = change.wanted <= old ? change.wanted : std::max(old, std::min(change.wanted, room));
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
    const auto free = account.held > account.inUse ? account.held - account.inUse : 0;
    const auto granted = std::min(free, count);
    const bool refused = whole && granted < count;
    account.missing = std::max(account.missing, refused ? count : count - granted);
    if (refused)
        return 0;
    account.inUse += granted;
    return granted;
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
    // What runs was allotted to this holder before its daemon took over.
    account.held = std::max(account.held, account.inUse);
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
            if (account.held > 0 || account.callInFlight)
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

std::uint32_t LimitDesk::targetOf(const Account& account, std::uint32_t reserve, TimePoint now) const
{
    if (now < account.yieldUntil)
        return std::max(reserve, account.inUse);
    if (account.missing > 0) {
        // Half as much again saves the next call while the team grows.
        return account.inUse + account.missing + (account.inUse + account.missing) / 2;
    }
    const bool isIdle = now - account.lastBusy >= m_idleTime;
    return std::max(reserve, isIdle ? account.inUse : account.held);
}

std::vector<AllotmentChange> LimitDesk::tick(TimePoint now)
{
    std::vector<AllotmentChange> changes;
    for (auto& [team, accounts] : m_teams) {
        if (m_reserveDivisor > 0 && accounts.limit >= m_reserveDivisor)
            accounts.holders.try_emplace(m_reserveHolder);
        for (auto& [holder, account] : accounts.holders) {
            if (account.inUse == account.held || account.missing > 0)
                account.lastBusy = now;
            const auto target = std::min(targetOf(account, reserveOf(accounts, holder), now), std::max(accounts.limit, account.inUse));
            const bool isWanted = account.isNew || target != account.held;
            if (account.callInFlight || now < account.nextCall || !isWanted || m_callsInFlight >= maxCallsInFlight)
                continue;
            // Held goes down before the store hears of it, so that nothing starts on it.
            account.held = std::min(account.held, std::max(target, account.inUse));
            account.callInFlight = true;
            ++m_callsInFlight;
            changes.push_back({ team, holder, target, accounts.limit, m_fleetVersion, randomToken(8) });
        }
    }
    return changes;
}

void LimitDesk::onChanged(const AllotmentChange& change, const Result<std::uint32_t>& held, TimePoint now)
{
    --m_callsInFlight;
    const auto team = m_teams.find(change.team);
    if (team == m_teams.end() || !team->second.holders.contains(change.holder))
        return;
    auto& account = team->second.holders[change.holder];
    account.callInFlight = false;
    account.nextCall = now + m_retryInterval;
    if (!held) {
        // The write may have taken effect all the same: the store is asked again.
        account.isNew = true;
        account.nextCall = now + 4 * m_retryInterval;
        return;
    }
    account.isNew = false;
    // Whoever asked for more gets time to use it.
    account.lastBusy = now;
    account.held = std::max(held.value(), account.inUse);
    account.missing = 0;
    const bool isPartial = account.held < change.wanted && account.held > account.inUse;
    if (!isPartial)
        return;
    const auto jitter = Milliseconds(stableHash(change.holder + std::to_string(m_yields++)) % longestYield.count());
    account.yieldUntil = now + shortestYield + jitter;
}

bool LimitDesk::isUnknown(const std::string& team, const std::string& holder) const
{
    const auto accounts = m_teams.find(team);
    if (accounts == m_teams.end() || !accounts->second.holders.contains(holder))
        return true;
    const auto& account = accounts->second.holders.at(holder);
    return account.isNew && account.held == 0;
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
    return accounts->second.holders.at(holder).held;
}

} // namespace heatherchute
