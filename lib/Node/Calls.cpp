#include "Core.h"

namespace heatherchute {

/// Timeout of a client request that does not state one.
static constexpr Milliseconds defaultTimeout { 3000 };
/// Part of the client's timeout reserved for the transfer of the response.
static constexpr Milliseconds responseMargin { 150 };

static OwnerRequestKind ownerRequestKind(platform::CallKind kind)
{
    switch (kind) {
    case platform::CallKind::Submit:
        return OwnerRequestKind::Submit;
    case platform::CallKind::Cancel:
        return OwnerRequestKind::Cancel;
    case platform::CallKind::CountPending:
        return OwnerRequestKind::CountPending;
    case platform::CallKind::Query:
    case platform::CallKind::Unsupported:
        break;
    }
    return OwnerRequestKind::Query;
}

void NodeCore::onRequest(std::uint64_t id, platform::CallerCall request, const std::string& body)
{
    const auto reject = [&](HttpResponse response, std::string_view why) {
        m_metrics.count("calls_rejected", std::string(why));
        logEvent(LogLevel::Info, "call_rejected", { { "call", platform::callKindName(request.kind) }, { "host", request.host }, { "path", request.path }, { "status", response.status }, { "why", why }, { "policy", m_policy ? m_policy->version : 0 } });
        m_components.front->respond(id, std::move(response));
    };
    if (!m_policy)
        return reject(errorResponse(ErrorKind::StaleConfiguration), "no_policy");
    const auto* const queue = m_policy->selectQueue(request.host, request.path);
    if (!queue)
        return reject(errorResponse(ErrorKind::NotFound), "no_queue");
    const auto* const team = m_policy->teamOfKey(request.key);
    if (!team && !queue->open)
        return reject(errorResponse(ErrorKind::Unauthorized), "unknown_key");
    if (request.kind == platform::CallKind::Unsupported)
        return reject(errorResponse(ErrorKind::MethodNotAllowed), "method");
    PendingRequest pending;
    pending.frontRequestId = id;
    pending.arrivedAt = Clock::now();
    const auto timeout = request.patience.count() > 0 ? request.patience : defaultTimeout;
    pending.deadline = pending.arrivedAt + std::max(timeout - responseMargin, responseMargin);
    pending.request.kind = ownerRequestKind(request.kind);
    pending.request.queue = queue->name;
    pending.request.team = team ? team->name : std::string();
    if (request.kind != platform::CallKind::CountPending) {
        pending.request.job = platform::jobIdOfPath(request.path, queue->pathPrefix);
        if (pending.request.job.empty())
            return reject(errorResponse(ErrorKind::NotFound, "the path does not contain a job id"), "no_job");
    }
    if (request.kind == platform::CallKind::Submit) {
        std::string reason;
        auto spec = platform::parseJob(body, reason);
        if (!spec)
            return reject(errorResponse(ErrorKind::BadRequest, reason), "bad_job");
        pending.request.spec = std::move(*spec);
    }
    pending.request.id = m_nextRequest++;
    pending.request.policyVersion = m_policy->version;
    m_requests.emplace(pending.request.id, std::move(pending));
    schedulePass();
}

void NodeCore::respond(const PendingRequest& pending, HttpResponse response)
{
    static constexpr NamedValue<OwnerRequestKind> names[] {
        { OwnerRequestKind::Submit, "submit" },
        { OwnerRequestKind::Query, "query" },
        { OwnerRequestKind::Cancel, "cancel" },
        { OwnerRequestKind::CountPending, "count_pending" },
    };
    const auto took = Clock::now() - pending.arrivedAt;
    const auto kind = std::string(nameOf(names, pending.request.kind));
    m_metrics.observe(Measure::Service, pending.request.queue, pending.request.team, took);
    m_metrics.count("calls_answered", kind + "_" + std::to_string(response.status));
    if (pending.request.kind != OwnerRequestKind::CountPending)
        logEvent(LogLevel::Info, "call_answered", { { "call", kind }, { "job", pending.request.job }, { "queue", pending.request.queue }, { "team", pending.request.team }, { "status", response.status }, { "took_ms", std::chrono::duration_cast<Milliseconds>(took).count() }, { "policy", pending.request.policyVersion } });
    m_components.front->respond(pending.frontRequestId, std::move(response));
}

void NodeCore::dispatchRequests()
{
    if (m_requests.empty())
        return;
    const auto link = m_scheduler ? 0 : ownerLink();
    if (!m_scheduler && link == 0)
        return;
    std::vector<std::uint64_t> ids;
    const auto time = Clock::now();
    for (const auto& [id, pending] : m_requests) {
        if (isDue(pending, pending.dispatch, link, time))
            ids.push_back(id);
    }
    for (const auto id : ids) {
        auto& pending = m_requests.at(id);
        pending.dispatch = { true, link };
        pending.wasSentToOwner = true;
        if (m_scheduler)
            serveRequest(pending.request, { 0, id });
        else
            m_components.links->send(link, pending.request);
    }
    if (m_scheduler && !ids.empty())
        schedulePass();
}

void NodeCore::requeueRequests()
{
    for (auto& [id, pending] : m_requests)
        pending.dispatch.awaitsAnswer = false;
}

/// Replaces the error's default; an error without one gets none.
static void setRetryAfter(HttpResponse& response, Seconds time)
{
    for (auto& header : response.headers) {
        if (header.name == "Retry-After")
            header.value = std::to_string(time.count());
    }
}

void NodeCore::expireRequests()
{
    const auto time = Clock::now();
    // The scheduler of this daemon refuses what it can't store.
    const bool isCutOff = !m_scheduler && !isOwnerReachable() && isCutOffFromOwner(m_ownerReachedAt, time);
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto& pending = it->second;
        const auto expiry = expiryOf(pending, isCutOff, time);
        if (expiry == RequestExpiry::Wait) {
            ++it;
            continue;
        }
        auto response = errorResponse(expiry == RequestExpiry::Unknown ? ErrorKind::OutcomeUnknown : ErrorKind::HomeUnreachable);
        if (expiry == RequestExpiry::NotRun && isOwnerAbsentForAll())
            setRetryAfter(response, retryAfterAbsence(time - m_ownerReachedAt, pending.request.job));
        // The caller's next connection leads to another daemon once this one is out of rotation.
        response.closesConnection = isCutOff;
        respond(pending, std::move(response));
        it = m_requests.erase(it);
    }
}

static HttpResponse responseOf(const OwnerRequest& request, const OwnerResponse& reply)
{
    const bool isUnknownJob = reply.error == ErrorKind::NotFound && request.kind != OwnerRequestKind::CountPending;
    if (isUnknownJob)
        return platform::unknownJobAnswer();
    if (reply.error != ErrorKind::None) {
        auto response = errorResponse(reply.error);
        if (reply.retryAfter > 0)
            setRetryAfter(response, Seconds(reply.retryAfter));
        return response;
    }
    switch (request.kind) {
    case OwnerRequestKind::Submit:
        return platform::acceptedAnswer();
    case OwnerRequestKind::Query:
        return platform::phaseAnswer(reply.phase);
    case OwnerRequestKind::Cancel:
        return platform::cancelledAnswer();
    case OwnerRequestKind::CountPending:
        return platform::pendingAnswer(reply.pending);
    }
    return errorResponse(ErrorKind::Internal);
}

void NodeCore::onOwnerResponse(LinkId from, const OwnerResponse& reply)
{
    const auto found = m_requests.find(reply.id);
    if (found == m_requests.end() || !isAnswered(found->second.dispatch, from))
        return;
    if (reply.notOwner) {
        found->second.dispatch.awaitsAnswer = false;
        return;
    }
    auto response = responseOf(found->second.request, reply);
    response.closesConnection = reply.error != ErrorKind::None && isIsolatedOwner();
    respond(found->second, std::move(response));
    m_requests.erase(found);
}

void NodeCore::respondTo(const RequestOrigin& origin, OwnerResponse reply)
{
    reply.id = origin.id;
    if (origin.link == 0)
        onOwnerResponse(0, reply);
    else
        m_components.links->send(origin.link, reply);
}

void NodeCore::serveRequest(const OwnerRequest& request, RequestOrigin origin)
{
    OwnerResponse reply;
    const auto time = now();
    switch (request.kind) {
    case OwnerRequestKind::Submit: {
        const auto requestId = m_nextSchedulerRequest++;
        m_requestOrigins.emplace(requestId, origin);
        m_scheduler->submit(requestId, request.job, request.queue, request.team, request.spec, time);
        return;
    }
    case OwnerRequestKind::Cancel: {
        const auto requestId = m_nextSchedulerRequest++;
        m_requestOrigins.emplace(requestId, origin);
        m_scheduler->cancel(requestId, request.job, time);
        return;
    }
    case OwnerRequestKind::Query:
        if (const auto phase = m_scheduler->query(request.job))
            reply.phase = *phase;
        else if (m_scheduler->isUnreadable(request.job) || m_election.tenure() != cell::Tenure::Owner)
            // While the ownership is unconfirmed, a successor may have accepted the job.
            reply.error = ErrorKind::StoreUnavailable;
        else
            reply.error = ErrorKind::NotFound;
        break;
    case OwnerRequestKind::CountPending:
        reply.pending = m_scheduler->pending(request.queue);
        break;
    }
    respondTo(origin, reply);
}

} // namespace heatherchute
