#include "heatherchute/Routing.h"

#include <algorithm>

namespace heatherchute {

/// Average number of retries per request, so that a brownout does not cause a retry storm.
static constexpr double retriesPerCall = 0.1;
static constexpr double maxRetryTokens = 20;
static constexpr std::uint32_t maxAttempts = 4;
/// Time to wait for a quota allocation before delegating; a store that is available responds sooner.
static constexpr Milliseconds delegationDelay { 200 };
/// Share of a queue that each team may always use, in percent.
static constexpr double minQueueSharePercent = 5;

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

void RequestDesk::setPeer(PeerCapacity capacity)
{
    m_sentSinceHeartbeat[capacity.daemon].clear();
    const auto name = capacity.daemon;
    m_peers[name] = std::move(capacity);
}

void RequestDesk::removePeer(const std::string& daemon)
{
    m_peers.erase(daemon);
    m_sentSinceHeartbeat.erase(daemon);
}

std::int64_t RequestDesk::remainingCapacity(const PeerCapacity& peer, const std::string& service) const
{
    for (const auto& entry : peer.services) {
        if (entry.service != service)
            continue;
        std::int64_t sent = 0;
        const auto byService = m_sentSinceHeartbeat.find(peer.daemon);
        if (byService != m_sentSinceHeartbeat.end() && byService->second.contains(service))
            sent = byService->second.at(service);
        return std::int64_t(entry.free) - entry.waiting - sent;
    }
    return std::numeric_limits<std::int64_t>::min();
}

const PeerCapacity* RequestDesk::choosePeer(const PendingCall& call, bool sameDomain) const
{
    const PeerCapacity* best = nullptr;
    std::int64_t bestCapacity = 0;
    for (const auto& [name, peer] : m_peers) {
        if (peer.sameDomain != sameDomain || call.avoidDaemons.contains(name))
            continue;
        const auto remaining = remainingCapacity(peer, call.serviceCall.service);
        if (remaining > bestCapacity) {
            best = &peer;
            bestCapacity = remaining;
        }
    }
    return best;
}

bool RequestDesk::acquireQuota(PendingCall& call)
{
    if (!call.hasQuota && !call.serviceCall.relayed)
        call.hasQuota = m_limits.take(call.serviceCall.team, m_holder, 1, true) == 1;
    return call.hasQuota || call.serviceCall.relayed;
}

void RequestDesk::markSent(PendingCall& call, TimePoint now)
{
    ++call.attempts;
    ++m_queues[call.serviceCall.service].teams[call.serviceCall.team].inFlight;
    if (!call.waited)
        call.waited = now - call.serviceCall.arrived;
}

void RequestDesk::markReturned(PendingCall& call)
{
    auto& inFlight = m_queues[call.serviceCall.service].teams[call.serviceCall.team].inFlight;
    inFlight -= std::min(inFlight, 1U);
}

bool RequestDesk::tryDispatch(PendingCall& call, TimePoint now, RoutingActions& actions)
{
    if (!acquireQuota(call))
        return delegate(call, now, actions);
    const auto& service = call.serviceCall.service;
    if (auto slot = m_vms.takeSlot(service, call.avoidVms, now)) {
        markSent(call, now);
        actions.push_back(DispatchCall { call.serviceCall.id, std::move(*slot), call.serviceCall.deadline, call.serviceCall.request });
        return true;
    }
    if (call.serviceCall.relayed)
        return false;
    const auto* peer = choosePeer(call, true);
    if (!peer)
        peer = choosePeer(call, false);
    if (!peer)
        return false;
    markSent(call, now);
    ++m_sentSinceHeartbeat[peer->daemon][service];
    call.relayedTo = peer->daemon;
    actions.push_back(RelayCall { call.serviceCall.id, peer->daemon, service, call.serviceCall.team, call.serviceCall.deadline, false, call.serviceCall.request });
    return true;
}

bool RequestDesk::delegate(PendingCall& call, TimePoint now, RoutingActions& actions)
{
    const bool mayDelegate = !call.serviceCall.delegated && now - call.serviceCall.arrived >= delegationDelay && m_limits.isUnknown(call.serviceCall.team, m_holder);
    if (!mayDelegate)
        return false;
    const PeerCapacity* best = nullptr;
    for (const auto& [name, peer] : m_peers) {
        if (!call.avoidDaemons.contains(name) && (!best || peer.sameDomain > best->sameDomain))
            best = &peer;
    }
    if (!best)
        return false;
    markSent(call, now);
    call.relayedTo = best->daemon;
    actions.push_back(RelayCall { call.serviceCall.id, best->daemon, call.serviceCall.service, call.serviceCall.team, call.serviceCall.deadline, true, call.serviceCall.request });
    return true;
}

bool RequestDesk::mayQueue(const PendingCall& call) const
{
    const auto limits = m_services.find(call.serviceCall.service);
    const double maxWaiting = limits == m_services.end() ? ServiceLimits {}.maxWaiting : limits->second.maxWaiting;
    const auto queue = m_queues.find(call.serviceCall.service);
    if (queue == m_queues.end())
        return true;
    if (queue->second.waiting >= maxWaiting)
        return false;
    // Once the queue is half full, no team may use more of it than its share.
    const auto team = queue->second.teams.find(call.serviceCall.team);
    if (queue->second.waiting < maxWaiting / 2 || team == queue->second.teams.end())
        return true;
    const auto share = m_shares.find(call.serviceCall.team);
    const auto percent = std::max(minQueueSharePercent, share == m_shares.end() ? 0 : share->second);
    return double(team->second.calls.size()) < maxWaiting * percent / 100;
}

void RequestDesk::enqueue(PendingCall& call)
{
    auto& queue = m_queues[call.serviceCall.service];
    queue.teams[call.serviceCall.team].calls.emplace(call.serviceCall.deadline, call.serviceCall.id);
    ++queue.waiting;
    call.queued = true;
}

void RequestDesk::dequeue(PendingCall& call)
{
    auto& queue = m_queues[call.serviceCall.service];
    queue.teams[call.serviceCall.team].calls.erase({ call.serviceCall.deadline, call.serviceCall.id });
    --queue.waiting;
    call.queued = false;
}

void RequestDesk::arrive(ServiceCall arriving, TimePoint now, RoutingActions& actions)
{
    m_retryTokens = std::min(maxRetryTokens, m_retryTokens + retriesPerCall);
    const auto id = arriving.id;
    auto& call = m_calls[id];
    call.serviceCall = std::move(arriving);
    // A new request does not overtake queued ones.
    const auto queue = m_queues.find(call.serviceCall.service);
    const bool othersWait = queue != m_queues.end() && queue->second.waiting > 0;
    if (!othersWait && tryDispatch(call, now, actions))
        return;
    if (!mayQueue(call)) {
        endCall(call, ErrorKind::Overloaded, {}, now, actions);
        return;
    }
    enqueue(call);
    if (othersWait)
        pump(call.serviceCall.service, now, actions);
}

std::vector<std::string> RequestDesk::teamsByUsage(const ServiceQueue& queue) const
{
    struct Candidate {
        double usage = 0;
        TimePoint deadline;
        const std::string* team = nullptr;
    };
    std::vector<Candidate> candidates;
    for (const auto& [team, entry] : queue.teams) {
        if (entry.calls.empty())
            continue;
        const auto share = m_shares.find(team);
        constexpr double minSharePercent = 0.1;
        const auto percent = std::max(minSharePercent, share == m_shares.end() ? 0 : share->second);
        candidates.push_back({ entry.inFlight / percent, entry.calls.begin()->first, &team });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.usage != right.usage ? left.usage < right.usage : left.deadline < right.deadline;
    });
    std::vector<std::string> teams;
    teams.reserve(candidates.size());
    for (const auto& candidate : candidates)
        teams.push_back(*candidate.team);
    return teams;
}

void RequestDesk::pump(const std::string& service, TimePoint now, RoutingActions& actions)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return;
    bool dispatched = true;
    while (dispatched && found->second.waiting > 0) {
        dispatched = false;
        for (const auto& team : teamsByUsage(found->second)) {
            const auto id = found->second.teams[team].calls.begin()->second;
            auto& call = m_calls[id];
            if (!tryDispatch(call, now, actions))
                continue;
            dequeue(call);
            dispatched = true;
            break;
        }
    }
}

void RequestDesk::endCall(PendingCall& call, ErrorKind error, HttpResponse&& response, TimePoint now, RoutingActions& actions)
{
    if (call.queued)
        dequeue(call);
    if (call.hasQuota)
        m_limits.give(call.serviceCall.team, m_holder, 1);
    const auto service = call.serviceCall.service;
    const bool hadQuota = call.hasQuota;
    actions.push_back(CallEnded { call.serviceCall.id, error, std::move(response), call.waited.value_or(now - call.serviceCall.arrived), service, call.serviceCall.team, call.serviceCall.className });
    m_calls.erase(call.serviceCall.id);
    if (hadQuota)
        pump(service, now, actions);
}

bool RequestDesk::retry(PendingCall& call, std::error_code error, TimePoint now, RoutingActions& actions)
{
    const bool isSafe = call.serviceCall.repeatable || errorAnswer(errorKind(error)).outcome == Outcome::NotRun;
    if (!isSafe || call.attempts >= maxAttempts || now >= call.serviceCall.deadline || m_retryTokens < 1)
        return false;
    m_retryTokens -= 1;
    if (!tryDispatch(call, now, actions))
        enqueue(call);
    return true;
}

/// Maps an error of an endpoint or a peer to the kind that is reported to the caller.
static ErrorKind responseErrorKind(std::error_code error)
{
    const auto kind = errorKind(error);
    return kind == ErrorKind::Fenced ? ErrorKind::NoEndpoint : kind;
}

void RequestDesk::onDispatched(std::uint64_t id, const std::string& vm, Result<HttpResponse>&& result, Duration serviceTime, TimePoint now, RoutingActions& actions, OwnershipActions& vmActions)
{
    auto slotEnd = SlotEnd::Answered;
    if (!result)
        slotEnd = errorKind(result.error()) == ErrorKind::OutcomeUnknown ? SlotEnd::NoResponse : SlotEnd::Failed;
    m_vms.returnSlot(vm, slotEnd, serviceTime, now, vmActions);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    auto& call = found->second;
    markReturned(call);
    call.avoidVms.insert(vm);
    if (result)
        endCall(call, ErrorKind::None, std::move(result.value()), now, actions);
    else if (!retry(call, result.error(), now, actions))
        endCall(call, responseErrorKind(result.error()), {}, now, actions);
}

void RequestDesk::onRelayed(std::uint64_t id, const std::string& daemon, Result<HttpResponse>&& result, TimePoint now, RoutingActions& actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.relayedTo != daemon)
        return;
    auto& call = found->second;
    markReturned(call);
    call.relayedTo.clear();
    call.avoidDaemons.insert(daemon);
    if (result)
        endCall(call, ErrorKind::None, std::move(result.value()), now, actions);
    else if (!retry(call, result.error(), now, actions))
        endCall(call, responseErrorKind(result.error()), {}, now, actions);
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
    // All expired calls leave the queue first: ending one may release quota and dispatch queued calls.
    for (const auto id : expired)
        dequeue(m_calls.at(id));
    for (const auto id : expired) {
        auto& call = m_calls.at(id);
        const bool isOverLimit = !call.hasQuota && !call.serviceCall.relayed;
        endCall(call, isOverLimit ? ErrorKind::OverLimit : ErrorKind::DeadlineBeforeRun, {}, now, actions);
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
