#include "Core.h"

namespace heatherchute {

/// What a client is taken to wait when it does not say.
static constexpr Milliseconds defaultPatience { 3000 };
/// Kept of the client's patience for the answer's way back.
static constexpr Milliseconds answerMargin { 150 };
/// How long a call waits for an owner to appear: a successor claims and loads in half of it once
/// the record has ended. After that the client is told to come back.
static constexpr Milliseconds parkTime { 1500 };

static OwnerCallKind ownerCallKind(platform::CallKind kind)
{
    switch (kind) {
    case platform::CallKind::Submit:
        return OwnerCallKind::Submit;
    case platform::CallKind::Cancel:
        return OwnerCallKind::Cancel;
    case platform::CallKind::CountPending:
        return OwnerCallKind::CountPending;
    case platform::CallKind::Query:
    case platform::CallKind::Unsupported:
        break;
    }
    return OwnerCallKind::Query;
}

void NodeCore::onCall(std::uint64_t id, platform::CallerCall call, const std::string& body)
{
    const auto reject = [&](HttpResponse response, std::string_view why) {
        m_metrics.count("calls_rejected", std::string(why));
        logEvent(LogLevel::Info, "call_rejected", { { "call", platform::callKindName(call.kind) }, { "host", call.host }, { "path", call.path }, { "status", response.status }, { "why", why }, { "policy", m_policy ? m_policy->version : 0 } });
        m_ports.front->answer(id, std::move(response));
    };
    if (!m_policy)
        return reject(errorResponse(ErrorKind::StaleConfiguration), "no_policy");
    const auto* const queue = m_policy->selectQueue(call.host, call.path);
    if (!queue)
        return reject(errorResponse(ErrorKind::NotFound), "no_queue");
    const auto* const team = m_policy->teamOfKey(call.key);
    if (!team && !queue->open)
        return reject(errorResponse(ErrorKind::Unauthorized), "unknown_key");
    if (call.kind == platform::CallKind::Unsupported)
        return reject(errorResponse(ErrorKind::MethodNotAllowed), "method");
    PendingCall pending;
    pending.front = id;
    pending.arrivedAt = Clock::now();
    const auto patience = call.patience.count() > 0 ? call.patience : defaultPatience;
    pending.deadline = pending.arrivedAt + std::max(patience - answerMargin, answerMargin);
    pending.message.kind = ownerCallKind(call.kind);
    pending.message.queue = queue->name;
    pending.message.team = team ? team->name : std::string();
    if (call.kind != platform::CallKind::CountPending) {
        pending.message.job = platform::jobIdOfPath(call.path, queue->pathPrefix);
        if (pending.message.job.empty())
            return reject(errorResponse(ErrorKind::NotFound, "the path names no job"), "no_job");
    }
    if (call.kind == platform::CallKind::Submit) {
        std::string reason;
        auto spec = platform::parseJob(body, reason);
        if (!spec)
            return reject(errorResponse(ErrorKind::BadRequest, reason), "bad_job");
        pending.message.spec = std::move(*spec);
    }
    pending.message.id = m_nextCall++;
    pending.message.policyVersion = m_policy->version;
    m_calls.emplace(pending.message.id, std::move(pending));
    schedulePump();
}

void NodeCore::answer(const PendingCall& call, HttpResponse response)
{
    static constexpr NamedValue<OwnerCallKind> names[] {
        { OwnerCallKind::Submit, "submit" },
        { OwnerCallKind::Query, "query" },
        { OwnerCallKind::Cancel, "cancel" },
        { OwnerCallKind::CountPending, "count_pending" },
    };
    const auto took = Clock::now() - call.arrivedAt;
    const auto kind = std::string(nameOf(names, call.message.kind));
    m_metrics.observe(Measure::Service, call.message.queue, call.message.team, took);
    m_metrics.count("calls_answered", kind + "_" + std::to_string(response.status));
    if (call.message.kind != OwnerCallKind::CountPending)
        logEvent(LogLevel::Info, "call_answered", { { "call", kind }, { "job", call.message.job }, { "queue", call.message.queue }, { "team", call.message.team }, { "status", response.status }, { "took_ms", std::chrono::duration_cast<Milliseconds>(took).count() }, { "policy", call.message.policyVersion } });
    m_ports.front->answer(call.front, std::move(response));
}

void NodeCore::dispatchCalls()
{
    if (m_calls.empty())
        return;
    const auto link = m_desk ? 0 : ownerLink();
    if (!m_desk && link == 0)
        return;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : m_calls) {
        if (!call.isWithOwner)
            ids.push_back(id);
    }
    for (const auto id : ids) {
        auto& call = m_calls.at(id);
        call.isWithOwner = true;
        call.everSent = true;
        if (m_desk)
            serveCall(call.message, { 0, id });
        else
            m_ports.links->send(link, call.message);
    }
    if (m_desk && !ids.empty())
        schedulePump();
}

void NodeCore::withdrawCalls()
{
    for (auto& [id, call] : m_calls)
        call.isWithOwner = false;
}

void NodeCore::expireCalls()
{
    const auto time = Clock::now();
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        const auto& call = it->second;
        const bool isParkedOut = !call.everSent && time >= call.arrivedAt + parkTime;
        if (time < call.deadline && !isParkedOut) {
            ++it;
            continue;
        }
        answer(call, errorResponse(call.everSent ? ErrorKind::OutcomeUnknown : ErrorKind::HomeUnreachable));
        it = m_calls.erase(it);
    }
}

static HttpResponse responseOf(const OwnerCall& call, const OwnerAnswer& answer)
{
    const bool isUnknownJob = answer.error == ErrorKind::NotFound && call.kind != OwnerCallKind::CountPending;
    if (isUnknownJob)
        return platform::unknownJobAnswer();
    if (answer.error != ErrorKind::None) {
        auto response = errorResponse(answer.error);
        for (auto& header : response.headers) {
            if (header.name == "Retry-After" && answer.retryAfter > 0)
                header.value = std::to_string(answer.retryAfter);
        }
        return response;
    }
    switch (call.kind) {
    case OwnerCallKind::Submit:
        return platform::acceptedAnswer();
    case OwnerCallKind::Query:
        return platform::phaseAnswer(answer.phase);
    case OwnerCallKind::Cancel:
        return platform::cancelledAnswer();
    case OwnerCallKind::CountPending:
        return platform::pendingAnswer(answer.pending);
    }
    return errorResponse(ErrorKind::Internal);
}

void NodeCore::onOwnerAnswer(const OwnerAnswer& answered)
{
    const auto found = m_calls.find(answered.id);
    if (found == m_calls.end())
        return;
    if (answered.notOwner) {
        found->second.isWithOwner = false;
        return;
    }
    answer(found->second, responseOf(found->second.message, answered));
    m_calls.erase(found);
}

void NodeCore::replyTo(const CallOrigin& origin, OwnerAnswer answer)
{
    answer.id = origin.id;
    if (origin.link == 0)
        onOwnerAnswer(answer);
    else
        m_ports.links->send(origin.link, answer);
}

void NodeCore::serveCall(const OwnerCall& call, CallOrigin origin)
{
    OwnerAnswer answer;
    const auto time = now();
    switch (call.kind) {
    case OwnerCallKind::Submit: {
        const auto deskCall = m_nextDeskCall++;
        m_origins.emplace(deskCall, origin);
        m_desk->submit(deskCall, call.job, call.queue, call.team, call.spec, time);
        return;
    }
    case OwnerCallKind::Cancel: {
        const auto deskCall = m_nextDeskCall++;
        m_origins.emplace(deskCall, origin);
        m_desk->cancel(deskCall, call.job, time);
        return;
    }
    case OwnerCallKind::Query:
        if (const auto phase = m_desk->query(call.job))
            answer.phase = *phase;
        else if (m_desk->isUnreadable(call.job) || m_election.tenure() != cell::Tenure::Owner)
            // A daemon that may have a successor does not know what that one has accepted.
            answer.error = ErrorKind::StoreUnavailable;
        else
            answer.error = ErrorKind::NotFound;
        break;
    case OwnerCallKind::CountPending:
        answer.pending = m_desk->pending(call.queue);
        break;
    }
    replyTo(origin, answer);
}

} // namespace heatherchute
