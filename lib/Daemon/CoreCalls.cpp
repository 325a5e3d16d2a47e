/// What callers and operators ask: who they are, and which part of the core answers.
#include "Core.h"

#include <algorithm>

namespace heatherchute {

/// Calls open at once; more are refused.
static constexpr std::size_t maxOpenCalls = 20'000;
/// Time for calls that state no wait of their own.
static constexpr Seconds callTimeout { 15 };
/// Keys are honoured while the newest version was confirmed within this time.
static constexpr Seconds keyFreshness { 6 };
static constexpr std::string_view bearerPrefix = "Bearer ";

std::uint64_t Core::openCall(Origin origin, std::string team, TimePoint deadline)
{
    const auto call = m_nextCall++;
    m_calls[call] = { std::move(origin), Clock::now(), deadline, std::move(team) };
    return call;
}

void Core::on(CallArrived& event)
{
    const auto call = openCall(FrontOrigin { event.front }, {}, event.arrived + callTimeout);
    if (m_calls.size() > maxOpenCalls) {
        fail(call, ErrorKind::Overloaded);
        return;
    }
    dispatch(call, event.request);
    m_metrics.observe(Measure::Decision, "all", "all", Clock::now() - event.arrived);
}

void Core::answer(std::uint64_t call, HttpResponse response)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto origin = std::move(found->second.origin);
    m_calls.erase(found);
    std::visit(Overloaded {
                   [&](const FrontOrigin& front) {
                       FrontAnswer message { front.front, std::move(response) };
                       if (!m_ports.toFront(message))
                           m_metrics.count("answers_dropped", "ring_full");
                   },
                   [&](const PeerOrigin& peer) {
                       CallReply reply;
                       reply.call = peer.call;
                       packResponse(response, reply);
                       m_peerCalls[{ peer.daemon, peer.boot, peer.call }] = { reply, Clock::now() };
                       send(peer.daemon, std::move(reply));
                   },
                   [&](const KeyOrigin& key) { endKeyed(key, ErrorKind::None, response); },
               },
        origin);
}

void Core::fail(std::uint64_t call, ErrorKind kind, std::string_view detail)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    m_metrics.count("errors", std::string(errorAnswer(kind).name));
    const bool hasDetail = !detail.empty();
    const auto* const peer = std::get_if<PeerOrigin>(&found->second.origin);
    const auto* const key = std::get_if<KeyOrigin>(&found->second.origin);
    if (key) {
        const auto origin = *key;
        m_calls.erase(found);
        endKeyed(origin, kind, errorResponse(kind, detail));
        return;
    }
    // Another daemon decides by the kind what to do next; a detail is for the caller alone.
    if (!peer || hasDetail) {
        answer(call, errorResponse(kind, detail));
        return;
    }
    CallReply reply;
    reply.call = peer->call;
    reply.error = errorAnswer(kind).name;
    m_peerCalls[{ peer->daemon, peer->boot, peer->call }] = { reply, Clock::now() };
    send(peer->daemon, std::move(reply));
    m_calls.erase(call);
}

bool Core::keysConfirmed(TimePoint now) const
{
    if (m_everConfirmed && now - m_confirmedAt <= keyFreshness)
        return true;
    // The whole store is down: every failure domain hears the others and none hears the store,
    // so no change can have been accepted since.
    if (!m_everConfirmed || hearsStore(now))
        return false;
    std::set<std::string> heard { m_settings.failureDomain };
    for (const auto& [name, member] : m_membership.members()) {
        const bool isHeard = member.state == MemberState::Alive || member.state == MemberState::Leaving;
        if (isHeard && member.lastHeartbeat.hearsStore)
            return false;
        if (isHeard)
            heard.insert(member.hello.failureDomain);
    }
    const auto& domains = m_fleet->configuration.failureDomains;
    return !domains.empty() && std::all_of(domains.begin(), domains.end(), [&heard](const std::string& domain) { return heard.contains(domain); });
}

Result<Caller> Core::authenticate(const HttpRequest& request, const std::string& openFor, TimePoint now) const
{
    const auto header = findHeader(request.headers, "Authorization");
    if (header.empty()) {
        if (openFor.empty())
            return ErrorKind::Unauthorized;
        return Caller { openFor, false };
    }
    if (!header.starts_with(bearerPrefix))
        return ErrorKind::Unauthorized;
    const auto digest = secretDigest(header.substr(bearerPrefix.size()));
    if (sameDigest(digest, m_settings.operatorKeyDigest))
        return Caller { std::string(operatorTeam), true };
    if (!keysConfirmed(now)) {
        if (openFor.empty())
            return ErrorKind::StaleConfiguration;
        return Caller { openFor, false };
    }
    auto team = m_fleet->teamOfKey(digest);
    if (team.empty())
        return ErrorKind::Unauthorized;
    const bool isOperator = team == operatorTeam;
    return Caller { std::move(team), isOperator };
}

void Core::dispatch(std::uint64_t call, const HttpRequest& request)
{
    const auto target = parseTarget(request.target);
    const auto& path = target.path;
    if (request.target == "/healthz")
        return answer(call, jsonResponse(200, { { "alive", true } }));
    if (request.target == "/readyz")
        return answer(call, jsonResponse(isReady() ? 200 : 503, { { "ready", isReady() } }));
    if (request.target == "/metrics")
        return answer(call, { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText(), {} });
    if (path.size() >= 2 && path[0] == "test" && m_settings.testPoints)
        return dispatchTest(call, request, target);
    if (path.size() < 2 || path[0] != "v1")
        return fail(call, ErrorKind::NotFound);
    if (path[1] == "services" && path.size() >= 3)
        return dispatchService(call, request, target);
    if (path[1] == "queues" || path[1] == "jobs")
        return dispatchJobs(call, request, target);
    dispatchOperator(call, request, target);
}

void Core::dispatchJobs(std::uint64_t call, const HttpRequest& request, const Target& target)
{
    const auto& path = target.path;
    const auto now = Clock::now();
    const bool isQueue = path[1] == "queues";
    const auto* const queue = isQueue && path.size() == 4 && path[3] == "jobs" ? m_fleet->configuration.findQueue(path[2]) : nullptr;
    if (isQueue && !queue)
        return fail(call, ErrorKind::NotFound, "no such queue");
    auto caller = authenticate(request, queue ? queue->openForTeam : std::string(), now);
    // Work accepted on an open queue may be watched by its id without a key.
    if (!caller && errorKind(caller.error()) == ErrorKind::Unauthorized && !isQueue && path.size() >= 3 && findHeader(request.headers, "Authorization").empty())
        caller = Caller {};
    if (!caller)
        return fail(call, errorKind(caller.error()));
    auto team = caller.value().isOperator ? std::string() : caller.value().team;
    if (!isQueue && caller.value().team.empty())
        team = std::string(anonymousTeam);
    m_calls[call].team = team;
    if (isQueue && request.method == "POST")
        return submitJob(call, request, *queue, caller.value().team);
    if (request.method == "GET" && (isQueue || path.size() == 2))
        return gather(call, request, team);
    const bool isOneJob = !isQueue && (path.size() == 3 || (path.size() == 4 && path[3] == "explain"));
    if (!isOneJob)
        return fail(call, ErrorKind::NotFound);
    if (request.method != "GET" && request.method != "DELETE")
        return fail(call, ErrorKind::MethodNotAllowed);
    const auto shard = shardOf(path[2]);
    const auto& domains = m_fleet->configuration.failureDomains;
    const bool isShard = std::any_of(domains.begin(), domains.end(), [&shard](const std::string& domain) {
        const auto shards = shardsOfDomain(domain);
        return std::find(shards.begin(), shards.end(), shard) != shards.end();
    });
    if (!isShard)
        return fail(call, ErrorKind::NotFound, "no such job");
    toHome(call, shard, team, request);
}

void Core::dispatchOperator(std::uint64_t call, const HttpRequest& request, const Target& target)
{
    const auto& path = target.path;
    const auto caller = authenticate(request, {}, Clock::now());
    if (!caller)
        return fail(call, errorKind(caller.error()));
    const auto& method = request.method;
    if (path[1] == "status" && method == "GET")
        return answer(call, jsonResponse(200, status()));
    if (path[1] == "vms" && path.size() == 2 && method == "GET")
        return gather(call, request, {});
    if (!caller.value().isOperator)
        return fail(call, ErrorKind::Forbidden);
    if (path[1] == "config" && path.size() == 2 && method == "GET") {
        auto response = HttpResponse { 200, { { "Content-Type", "application/json" }, { "ETag", "\"" + std::to_string(m_fleet->document.version) + "\"" } }, m_fleet->document.text, {} };
        return answer(call, std::move(response));
    }
    if (path[1] == "config" && path.size() == 2 && method == "PUT")
        return putConfiguration(call, request);
    if (path[1] == "config" && path.size() == 3 && path[2] == "history" && method == "GET")
        return order(ReadHistory { call });
    if (path[1] == "keys" && path.size() == 2 && method == "GET") {
        Json keys = Json::array();
        for (const auto& grant : m_fleet->document.keys)
            keys.push_back({ { "name", grant.name }, { "team", grant.team } });
        return answer(call, jsonResponse(200, { { "items", keys } }));
    }
    if (path[1] == "keys" && path.size() == 2 && method == "POST")
        return grantKey(call, request);
    if (path[1] == "keys" && path.size() == 3 && method == "DELETE")
        return withdrawKey(call, path[2]);
    if (path[1] == "vms" && path.size() == 4 && path[3] == "drain" && (method == "POST" || method == "DELETE"))
        return drainVm(call, path[2], method == "POST");
    fail(call, ErrorKind::NotFound);
}

void Core::dispatchTest(std::uint64_t call, const HttpRequest& request, const Target& target)
{
    const auto body = Json::parse(request.body, nullptr, false);
    if (target.path[1] != "cut" || !body.is_object())
        return fail(call, ErrorKind::BadRequest);
    m_cutDaemons = body.value("daemons", std::set<std::string>());
    order(CutPlatform { body.value("platform", false) });
    answer(call, jsonResponse(200, body));
}

} // namespace heatherchute
