#include "heatherchute/Routing.h"

#include <algorithm>

namespace heatherchute {

/// Retries allowed for each request on average, so that a brown-out does not become a storm.
static constexpr double retriesPerCall = 0.1;
static constexpr double maxRetryTokens = 20;
static constexpr std::uint32_t maxTries = 4;
/// The store answers within this when it answers at all.
static constexpr Milliseconds delegateAfter { 200 };
/// Part of a queue that one team may always use, in percent.
static constexpr double leastQueueShare = 5;

RequestDesk::RequestDesk(VmDesk& vms, LimitDesk& limits, std::string holder)
    : m_vms(vms)
    , m_limits(limits)
    , m_holder(std::move(holder))
    , m_retryTokens(maxRetryTokens)
{
}

void RequestDesk::setConfiguration(std::map<std::string, ServiceLimits> services, std::map<std::string, double> shares)
{
    m_services = std::move(services);
    m_shares = std::move(shares);
}

void RequestDesk::setPeer(PeerRoom room)
{
    m_sentSince[room.daemon].clear();
    const auto name = room.daemon;
    m_peers[name] = std::move(room);
}

void RequestDesk::removePeer(const std::string& daemon)
{
    m_peers.erase(daemon);
    m_sentSince.erase(daemon);
}

std::int64_t RequestDesk::roomLeft(const PeerRoom& room, const std::string& service) const
{
    for (const auto& entry : room.services) {
        if (entry.service != service)
            continue;
        std::int64_t sent = 0;
        const auto bySent = m_sentSince.find(room.daemon);
        if (bySent != m_sentSince.end() && bySent->second.contains(service))
            sent = bySent->second.at(service);
        return std::int64_t(entry.free) - entry.waiting - sent;
    }
    return std::numeric_limits<std::int64_t>::min();
}

const PeerRoom* RequestDesk::choosePeer(const Call& call, bool sameDomain) const
{
    const PeerRoom* best = nullptr;
    std::int64_t bestRoom = 0;
    for (const auto& [name, room] : m_peers) {
        if (room.sameDomain != sameDomain || call.avoidDaemons.contains(name))
            continue;
        const auto left = roomLeft(room, call.call.service);
        if (left > bestRoom) {
            best = &room;
            bestRoom = left;
        }
    }
    return best;
}

bool RequestDesk::takeCredit(Call& call)
{
    if (!call.hasCredit && !call.call.relayed)
        call.hasCredit = m_limits.take(call.call.team, m_holder, 1, true) == 1;
    return call.hasCredit || call.call.relayed;
}

void RequestDesk::markSent(Call& call, TimePoint now)
{
    ++call.tries;
    ++m_queues[call.call.service].teams[call.call.team].inFlight;
    if (!call.waited)
        call.waited = now - call.call.arrived;
}

void RequestDesk::markBack(Call& call)
{
    auto& inFlight = m_queues[call.call.service].teams[call.call.team].inFlight;
    inFlight -= std::min(inFlight, 1U);
}

bool RequestDesk::tryPlace(Call& call, TimePoint now, RoutingActions& actions)
{
    if (!takeCredit(call))
        return delegate(call, now, actions);
    const auto& service = call.call.service;
    if (auto slot = m_vms.takeSlot(service, call.avoidVms, now)) {
        markSent(call, now);
        actions.push_back(DispatchCall { call.call.id, std::move(*slot), call.call.deadline, call.call.request });
        return true;
    }
    if (call.call.relayed)
        return false;
    const auto* peer = choosePeer(call, true);
    if (!peer)
        peer = choosePeer(call, false);
    if (!peer)
        return false;
    markSent(call, now);
    ++m_sentSince[peer->daemon][service];
    call.relayedTo = peer->daemon;
    actions.push_back(RelayCall { call.call.id, peer->daemon, service, call.call.team, call.call.deadline, false, call.call.request });
    return true;
}

bool RequestDesk::delegate(Call& call, TimePoint now, RoutingActions& actions)
{
    const bool mayDelegate = !call.call.delegated && now - call.call.arrived >= delegateAfter && m_limits.isUnknown(call.call.team, m_holder);
    if (!mayDelegate)
        return false;
    const PeerRoom* best = nullptr;
    for (const auto& [name, room] : m_peers) {
        if (!call.avoidDaemons.contains(name) && (!best || room.sameDomain > best->sameDomain))
            best = &room;
    }
    if (!best)
        return false;
    markSent(call, now);
    call.relayedTo = best->daemon;
    actions.push_back(RelayCall { call.call.id, best->daemon, call.call.service, call.call.team, call.call.deadline, true, call.call.request });
    return true;
}

bool RequestDesk::mayQueue(const Call& call) const
{
    const auto limits = m_services.find(call.call.service);
    const double most = limits == m_services.end() ? ServiceLimits {}.maxWaiting : limits->second.maxWaiting;
    const auto queue = m_queues.find(call.call.service);
    if (queue == m_queues.end())
        return true;
    if (queue->second.waiting >= most)
        return false;
    // From half full on, no team takes more of the queue than its share.
    const auto team = queue->second.teams.find(call.call.team);
    if (queue->second.waiting < most / 2 || team == queue->second.teams.end())
        return true;
    const auto share = m_shares.find(call.call.team);
    const auto percent = std::max(leastQueueShare, share == m_shares.end() ? 0 : share->second);
    return double(team->second.calls.size()) < most * percent / 100;
}

void RequestDesk::enqueue(Call& call)
{
    auto& queue = m_queues[call.call.service];
    queue.teams[call.call.team].calls.emplace(call.call.deadline, call.call.id);
    ++queue.waiting;
    call.queued = true;
}

void RequestDesk::dequeue(Call& call)
{
    auto& queue = m_queues[call.call.service];
    queue.teams[call.call.team].calls.erase({ call.call.deadline, call.call.id });
    --queue.waiting;
    call.queued = false;
}

void RequestDesk::arrive(ServiceCall arriving, TimePoint now, RoutingActions& actions)
{
    m_retryTokens = std::min(maxRetryTokens, m_retryTokens + retriesPerCall);
    const auto id = arriving.id;
    auto& call = m_calls[id];
    call.call = std::move(arriving);
    // Nobody overtakes those who wait already.
    const auto queue = m_queues.find(call.call.service);
    const bool othersWait = queue != m_queues.end() && queue->second.waiting > 0;
    if (!othersWait && tryPlace(call, now, actions))
        return;
    if (!mayQueue(call)) {
        end(call, ErrorKind::Overloaded, {}, now, actions);
        return;
    }
    enqueue(call);
    if (othersWait)
        pump(call.call.service, now, actions);
}

std::vector<std::string> RequestDesk::teamsInTurn(const ServiceQueue& queue) const
{
    struct Turn {
        double usage = 0;
        TimePoint deadline;
        const std::string* team = nullptr;
    };
    std::vector<Turn> turns;
    for (const auto& [team, entry] : queue.teams) {
        if (entry.calls.empty())
            continue;
        const auto share = m_shares.find(team);
        constexpr double leastShare = 0.1;
        const auto percent = std::max(leastShare, share == m_shares.end() ? 0 : share->second);
        turns.push_back({ entry.inFlight / percent, entry.calls.begin()->first, &team });
    }
    std::sort(turns.begin(), turns.end(), [](const Turn& left, const Turn& right) {
        return left.usage != right.usage ? left.usage < right.usage : left.deadline < right.deadline;
    });
    std::vector<std::string> teams;
    teams.reserve(turns.size());
    for (const auto& turn : turns)
        teams.push_back(*turn.team);
    return teams;
}

void RequestDesk::pump(const std::string& service, TimePoint now, RoutingActions& actions)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return;
    bool placed = true;
    while (placed && found->second.waiting > 0) {
        placed = false;
        for (const auto& team : teamsInTurn(found->second)) {
            const auto id = found->second.teams[team].calls.begin()->second;
            auto& call = m_calls[id];
            if (!tryPlace(call, now, actions))
                continue;
            dequeue(call);
            placed = true;
            break;
        }
    }
}

void RequestDesk::end(Call& call, ErrorKind error, HttpResponse&& response, TimePoint now, RoutingActions& actions)
{
    if (call.queued)
        dequeue(call);
    if (call.hasCredit)
        m_limits.give(call.call.team, m_holder, 1);
    const auto service = call.call.service;
    const bool hadCredit = call.hasCredit;
    actions.push_back(CallEnded { call.call.id, error, std::move(response), call.waited.value_or(now - call.call.arrived), service, call.call.team, call.call.className });
    m_calls.erase(call.call.id);
    if (hadCredit)
        pump(service, now, actions);
}

bool RequestDesk::retry(Call& call, std::error_code error, TimePoint now, RoutingActions& actions)
{
    const bool isSafe = call.call.repeatable || errorAnswer(errorKind(error)).outcome == Outcome::NotRun;
    if (!isSafe || call.tries >= maxTries || now >= call.call.deadline || m_retryTokens < 1)
        return false;
    m_retryTokens -= 1;
    if (!tryPlace(call, now, actions))
        enqueue(call);
    return true;
}

/// Kind to answer with for an error that an endpoint or a peer gave.
static ErrorKind answerKind(std::error_code error)
{
    const auto kind = errorKind(error);
    return kind == ErrorKind::Fenced ? ErrorKind::NoEndpoint : kind;
}

void RequestDesk::onDispatched(std::uint64_t id, const std::string& vm, Result<HttpResponse>&& result, Duration serviceTime, TimePoint now, RoutingActions& actions, OwnershipActions& vmActions)
{
    auto slotEnd = SlotEnd::Answered;
    if (!result)
        slotEnd = errorKind(result.error()) == ErrorKind::OutcomeUnknown ? SlotEnd::Silent : SlotEnd::Failed;
    m_vms.returnSlot(vm, slotEnd, serviceTime, now, vmActions);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    markBack(call);
    call.avoidVms.insert(vm);
    if (result)
        end(call, ErrorKind::None, std::move(result.value()), now, actions);
    else if (!retry(call, result.error(), now, actions))
        end(call, answerKind(result.error()), {}, now, actions);
}

void RequestDesk::onRelayed(std::uint64_t id, const std::string& daemon, Result<HttpResponse>&& result, TimePoint now, RoutingActions& actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.relayedTo != daemon)
        return;
    auto& call = found->second;
    markBack(call);
    call.relayedTo.clear();
    call.avoidDaemons.insert(daemon);
    if (result)
        end(call, ErrorKind::None, std::move(result.value()), now, actions);
    else if (!retry(call, result.error(), now, actions))
        end(call, answerKind(result.error()), {}, now, actions);
}

void RequestDesk::tick(TimePoint now, RoutingActions& actions)
{
    std::vector<std::uint64_t> expired;
    for (auto& [service, queue] : m_queues) {
        for (auto& [team, entry] : queue.teams) {
            for (const auto& [deadline, id] : entry.calls) {
                if (now < deadline)
                    break;
                expired.push_back(id);
            }
        }
    }
    for (const auto id : expired) {
        auto& call = m_calls[id];
        const bool overLimit = !call.hasCredit && !call.call.relayed;
        end(call, overLimit ? ErrorKind::OverLimit : ErrorKind::DeadlineBeforeRun, {}, now, actions);
    }
    std::vector<std::string> services;
    for (const auto& [service, queue] : m_queues) {
        if (queue.waiting > 0)
            services.push_back(service);
    }
    for (const auto& service : services)
        pump(service, now, actions);
}

std::uint32_t RequestDesk::waiting(const std::string& service) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? 0 : found->second.waiting;
}

} // namespace heatherchute
