/// Requests to services, with and without an idempotency key.
#include "Core.h"

#include <algorithm>

namespace heatherchute {

/// Answers of keyed requests kept for callers that repeat them.
static constexpr Seconds keyedAnswerLife { 600 };
static constexpr std::size_t maxKeyedAnswers = 10'000;
/// The store answers in milliseconds; a record that takes this long meets an outage.
static constexpr Milliseconds recordTime { 2500 };
static constexpr std::size_t maxKeyBytes = 200;
static constexpr std::size_t maxWaitersForKey = 64;

/// The request as the endpoint gets it: the path below the service, without the caller's key.
static HttpRequest requestForEndpoint(const HttpRequest& request, const std::string& service)
{
    auto passed = request;
    const auto prefix = "/v1/services/" + service;
    const auto path = request.target.substr(std::min(prefix.size(), request.target.size()));
    passed.target = path.starts_with('/') ? path : '/' + path;
    std::erase_if(passed.headers, [](const HttpHeader& header) {
        return isHopHeader(header.name) || !findHeader({ header }, "Authorization").empty();
    });
    return passed;
}

void Core::dispatchService(std::uint64_t call, const HttpRequest& request, const Target& target)
{
    const auto* const service = m_fleet->configuration.findService(target.path[2]);
    if (!service)
        return fail(call, ErrorKind::NotFound, "no such service");
    const auto now = Clock::now();
    const auto caller = authenticate(request, service->openForTeam, now);
    if (!caller)
        return fail(call, errorKind(caller.error()));
    const auto& team = caller.value().team;
    if (!m_fleet->configuration.findTeam(team))
        return fail(call, ErrorKind::Forbidden, "the key's team takes no part in services");
    const auto deadline = now + service->timeout;
    m_calls[call].deadline = deadline;
    const auto key = std::string(findHeader(request.headers, "Idempotency-Key"));
    if (key.empty())
        return startService(call, *service, team, std::make_shared<HttpRequest>(requestForEndpoint(request, service->name)), std::nullopt, deadline);
    if (key.size() > maxKeyBytes)
        return fail(call, ErrorKind::BadRequest, "the Idempotency-Key is too long");
    const auto shard = shardOfKey(team + "/" + key);
    toHome(call, shard, team, request);
}

std::string Core::shardOfKey(const std::string& key) const
{
    std::vector<std::string> shards;
    for (const auto& domain : m_fleet->configuration.failureDomains) {
        for (auto& shard : shardsOfDomain(domain))
            shards.push_back(std::move(shard));
    }
    return shards.empty() ? std::string() : shards[rendezvousChoice(key, shards)];
}

void Core::startService(std::uint64_t call, const Service& service, const std::string& team, std::shared_ptr<const HttpRequest> request, std::optional<CallTarget> relayedTo, TimePoint deadline)
{
    const auto* const workClass = m_fleet->configuration.findClass(service.className);
    ServiceCall serviceCall;
    serviceCall.id = call;
    serviceCall.service = service.name;
    serviceCall.team = team;
    serviceCall.className = service.className;
    serviceCall.arrived = Clock::now();
    serviceCall.deadline = deadline;
    serviceCall.repeatable = workClass && workClass->repeatable;
    serviceCall.relayed = relayedTo == CallTarget::Endpoint;
    serviceCall.delegated = relayedTo == CallTarget::Entry;
    serviceCall.request = std::move(request);
    RoutingActions actions;
    m_requests.arrive(std::move(serviceCall), Clock::now(), actions);
    run(std::move(actions));
}

void Core::startKeyed(std::uint64_t call, const std::string& shard, const Service& service, const std::string& team, const HttpRequest& request, TimePoint deadline)
{
    const auto now = Clock::now();
    const auto key = secretDigest(team + "/" + std::string(findHeader(request.headers, "Idempotency-Key")));
    const auto fingerprint = secretDigest(request.method + " " + request.target + "\n" + request.body).substr(0, 16);
    const auto state = m_jobs.keyState(shard, key, fingerprint);
    if (state == KeyState::Mismatch)
        return fail(call, ErrorKind::BadRequest, "the Idempotency-Key was used for another request");
    if (const auto known = m_keyedAnswers.find(key); known != m_keyedAnswers.end())
        return answer(call, known->second.response);
    if (const auto running = m_keyedRuns.find(key); running != m_keyedRuns.end()) {
        if (running->second.waiters.size() >= maxWaitersForKey)
            return fail(call, ErrorKind::Overloaded);
        running->second.waiters.push_back(call);
        return;
    }
    if (state != KeyState::Unseen)
        return fail(call, ErrorKind::OutcomeUnknown, "this Idempotency-Key was used before; its answer is not known any more");

    const auto token = afterDurable([this, key, shard, self = m_nextCall](bool durable) {
        const auto found = m_keyedRuns.find(key);
        if (found == m_keyedRuns.end() || found->second.token != self)
            return;
        found->second.token = 0;
        const auto* const named = m_fleet->configuration.findService(found->second.service);
        if (!durable || !named || Clock::now() >= found->second.deadline)
            return endKeyed({ shard, key }, durable ? ErrorKind::DeadlineBeforeRun : ErrorKind::HomeUnreachable, {});
        const auto inner = openCall(KeyOrigin { shard, key }, found->second.team, found->second.deadline);
        startService(inner, *named, found->second.team, found->second.request, std::nullopt, found->second.deadline);
    });
    const auto begun = m_jobs.beginKey(shard, key, fingerprint, token, now);
    if (!begun) {
        m_durableSteps.erase(token);
        return fail(call, errorKind(begun.error()));
    }
    KeyedRun run;
    run.service = service.name;
    run.team = team;
    run.waiters.push_back(call);
    run.request = std::make_shared<HttpRequest>(requestForEndpoint(request, service.name));
    run.deadline = deadline;
    run.token = token;
    run.begun = now;
    run.shard = shard;
    m_keyedRuns[key] = std::move(run);
}

void Core::expireKeyed(TimePoint now)
{
    std::vector<KeyOrigin> late;
    for (const auto& [key, run] : m_keyedRuns) {
        if (run.token != 0 && now >= run.begun + recordTime)
            late.push_back({ run.shard, key });
    }
    // It has not been sent on and will not be, whatever becomes of the record.
    for (const auto& origin : late)
        endKeyed(origin, ErrorKind::StoreUnavailable, {});
}

void Core::endKeyed(const KeyOrigin& origin, ErrorKind error, const HttpResponse& response)
{
    const auto found = m_keyedRuns.find(origin.key);
    if (found == m_keyedRuns.end())
        return;
    const auto run = std::move(found->second);
    m_keyedRuns.erase(found);
    const auto now = Clock::now();
    const bool ran = errorAnswer(error).outcome != Outcome::NotRun;
    m_jobs.endKey(origin.shard, origin.key, ran, now);
    const auto reply = error == ErrorKind::None ? response : errorResponse(error);
    if (ran && m_keyedAnswers.size() < maxKeyedAnswers)
        m_keyedAnswers[origin.key] = { reply, now + keyedAnswerLife };
    for (const auto waiter : run.waiters)
        answer(waiter, reply);
}

} // namespace heatherchute
