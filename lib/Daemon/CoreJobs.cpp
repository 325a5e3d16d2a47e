/// Jobs: at the daemon where a call arrives, and at the home of the job.
#include "Core.h"

#include "heatherchute/Fields.h"

#include <algorithm>

namespace heatherchute {

static constexpr std::uint32_t maxTasks = 1000;
static constexpr double maxCpus = 10'000;
static constexpr double maxMemoryMb = 1e8;
static constexpr double maxAccelerators = 10'000;
static constexpr std::uint64_t maxRuntimeMs = 30ULL * 24 * 3600 * 1000;
static constexpr std::size_t maxWorkBytes = 64U << 10;
static constexpr std::size_t maxJobNameBytes = 128;
static constexpr Seconds longestPoll { 60 };
/// A call waits this long for a shard that is between two homes.
static constexpr Seconds longestParking { 8 };
static constexpr Milliseconds parkingRetry { 100 };
static constexpr std::size_t maxParked = 2000;
static constexpr std::size_t maxJobWaiters = 10'000;

std::uint64_t Core::afterDurable(std::function<void(bool)> run)
{
    const auto token = m_nextCall++;
    m_durableSteps[token] = { std::move(run) };
    return token;
}

/// Reads a job as a caller states it. The findings are empty when it is sound.
static JobSpec parseJob(const Json& body, Findings& findings)
{
    JobSpec spec;
    FieldReader reader(body, "", findings);
    spec.name = reader.textOr("name", maxJobNameBytes, "");
    spec.tasks = static_cast<std::uint32_t>(reader.integerOr("tasks", 1, maxTasks, 1));
    spec.perTask.cpus = reader.numberOr("cpus", 0, maxCpus, 1);
    spec.perTask.memoryMb = reader.numberOr("memory_mb", 0, maxMemoryMb, 0);
    spec.perTask.accelerators = reader.numberOr("accelerators", 0, maxAccelerators, 0);
    spec.runtimeMs = reader.integerOr("runtime_ms", 0, maxRuntimeMs, 0);
    spec.spreadRacks = reader.booleanOr("spread_racks", false);
    spec.work = reader.textOr("work", maxWorkBytes, "");
    return spec;
}

bool Core::domainCouldRun(const std::string& failureDomain, const JobSpec& spec) const
{
    std::uint64_t places = 0;
    for (const auto& vm : m_vmList) {
        auto room = vm.capacity;
        if (vm.failureDomain != failureDomain)
            continue;
        while (places < spec.tasks && spec.perTask.fitsIn(room)) {
            room -= spec.perTask;
            ++places;
        }
    }
    return spec.gang ? places >= spec.tasks : places > 0;
}

std::string Core::shardInDomain(const std::string& failureDomain) const
{
    if (failureDomain == m_settings.failureDomain) {
        auto own = m_jobs.shardForNewJob();
        if (!own.empty())
            return own;
    }
    std::vector<std::string> known;
    for (const auto& shard : shardsOfDomain(failureDomain)) {
        if (m_homeDaemons.contains(shard))
            known.push_back(shard);
    }
    return known.empty() ? std::string() : known[m_nextCall % known.size()];
}

std::string Core::chooseShard(const JobSpec& spec) const
{
    if (!spec.idempotency.empty())
        return shardOfKey(spec.idempotency);
    // Own domain first while it has room now; else the one with the most; else any that could.
    std::map<std::string, Resources> freeByDomain;
    const auto now = Clock::now();
    freeByDomain[m_settings.failureDomain] += m_vms.totalFree(now);
    for (const auto& [name, member] : m_membership.members()) {
        if (member.state == MemberState::Alive)
            freeByDomain[member.hello.failureDomain] += member.lastHeartbeat.free;
    }
    Resources wanted;
    for (std::uint32_t i = 0; i < (spec.gang ? spec.tasks : 1); ++i)
        wanted += spec.perTask;
    std::string best;
    double bestRank = -1;
    for (const auto& [domain, free] : freeByDomain) {
        const auto shard = domainCouldRun(domain, spec) ? shardInDomain(domain) : std::string();
        if (shard.empty())
            continue;
        const bool isOwn = domain == m_settings.failureDomain;
        const double rank = (wanted.fitsIn(free) ? 1e9 : 0) * (isOwn ? 2 : 1) + free.cpus;
        if (rank > bestRank) {
            best = shard;
            bestRank = rank;
        }
    }
    return best;
}

void Core::submitJob(std::uint64_t call, const HttpRequest& request, const Queue& queue, const std::string& team)
{
    const auto parsed = parseJsonWithComments(request.body);
    if (!parsed.error.empty())
        return fail(call, ErrorKind::BadJson, parsed.error);
    if (!m_fleet->configuration.findTeam(team))
        return fail(call, ErrorKind::Forbidden, "the key's team takes no part in queues");
    Findings findings;
    auto spec = parseJob(parsed.value, findings);
    if (!findings.empty())
        return fail(call, ErrorKind::BadRequest, findings.front().field + ": " + findings.front().reason);
    const auto* const workClass = m_fleet->configuration.findClass(queue.className);
    spec.gang = workClass && workClass->kind == WorkKind::Gang;
    const auto key = findHeader(request.headers, "Idempotency-Key");
    if (!key.empty())
        spec.idempotency = secretDigest(team + "/" + std::string(key));
    const auto& domains = m_fleet->configuration.failureDomains;
    const bool couldRun = std::any_of(domains.begin(), domains.end(), [&](const std::string& domain) { return domainCouldRun(domain, spec); });
    if (m_hasVmList && !couldRun)
        return fail(call, ErrorKind::NeverRunnable, spec.gang ? "no failure domain has room for all its tasks, even when empty" : "no VM is as large as one of its tasks");
    const auto* const teamEntry = m_fleet->configuration.findTeam(team);
    if (spec.gang && spec.tasks > teamEntry->runningLimit)
        return fail(call, ErrorKind::NeverRunnable, "the gang has more tasks than its team's upper limit");
    const auto shard = chooseShard(spec);
    if (shard.empty())
        return fail(call, ErrorKind::HomeUnreachable);
    toHome(call, shard, team, request);
}

void Core::toHome(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request)
{
    if (m_jobs.isHome(shard))
        return serveAtHome(call, shard, team, request);
    const auto home = m_homeDaemons.find(shard);
    const auto deadline = m_calls[call].deadline;
    const auto wait = longestPoll + Seconds(5);
    const auto until = request.method == "GET" ? Clock::now() + wait : deadline;
    if (home == m_homeDaemons.end() || !relay(call, RelayKind::Home, home->second, CallTarget::Home, shard, team, request, until))
        park(call, shard, team, request);
}

void Core::park(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto until = std::min(found->second.deadline, found->second.arrived + longestParking);
    if (m_parked.size() >= maxParked || Clock::now() >= until || shard.empty() || std::holds_alternative<PeerOrigin>(found->second.origin))
        return fail(call, ErrorKind::HomeUnreachable);
    m_parked.push_back({ call, shard, team, request, until, Clock::now() + parkingRetry });
}

void Core::retryParked(TimePoint now)
{
    auto parked = std::move(m_parked);
    m_parked.clear();
    for (auto& entry : parked) {
        const bool hasHome = m_jobs.isHome(entry.shard) || m_homeDaemons.contains(entry.shard);
        if (!m_calls.contains(entry.call))
            continue;
        if (now >= entry.until)
            fail(entry.call, ErrorKind::HomeUnreachable);
        else if (hasHome && now >= entry.nextTry)
            toHome(entry.call, entry.shard, entry.team, entry.request);
        else
            m_parked.push_back(std::move(entry));
    }
}

void Core::serveAtHome(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request)
{
    const auto target = parseTarget(request.target);
    const auto& path = target.path;
    if (path.size() < 2)
        return fail(call, ErrorKind::BadRequest);
    if (shard.empty())
        return answer(call, jsonResponse(200, { { "items", localItems(request, team) } }));
    if (!m_jobs.isHome(shard))
        return fail(call, ErrorKind::HomeUnreachable);
    if (path[1] == "services") {
        const auto* const service = path.size() > 2 ? m_fleet->configuration.findService(path[2]) : nullptr;
        if (!service)
            return fail(call, ErrorKind::NotFound);
        return startKeyed(call, shard, *service, team, request, m_calls[call].deadline);
    }
    if (path[1] == "queues")
        return acceptJob(call, shard, team, request);
    if (request.method == "DELETE")
        return cancelJob(call, path[2], team);
    showJob(call, target, team);
}

void Core::acceptJob(std::uint64_t call, const std::string& shard, const std::string& team, const HttpRequest& request)
{
    const auto target = parseTarget(request.target);
    const auto* const queue = target.path.size() > 2 ? m_fleet->configuration.findQueue(target.path[2]) : nullptr;
    if (!queue)
        return fail(call, ErrorKind::NotFound, "no such queue");
    const auto* const workClass = m_fleet->configuration.findClass(queue->className);
    Findings findings;
    auto spec = parseJob(parseJsonWithComments(request.body).value, findings);
    if (!findings.empty() || !workClass)
        return fail(call, ErrorKind::BadRequest);
    if (m_jobs.waitingIn(queue->name) >= queue->maxWaiting)
        return fail(call, ErrorKind::Overloaded, "the queue is full");
    spec.queue = queue->name;
    spec.team = team;
    spec.className = queue->className;
    spec.gang = workClass->kind == WorkKind::Gang;
    spec.repeatable = workClass->repeatable;
    const auto key = findHeader(request.headers, "Idempotency-Key");
    if (!key.empty())
        spec.idempotency = secretDigest(team + "/" + std::string(key));

    auto id = std::make_shared<std::string>();
    const auto token = afterDurable([this, call, id](bool durable) {
        if (!durable)
            return fail(call, ErrorKind::HomeUnreachable);
        answer(call, jsonResponse(201, { { "id", *id }, { "state", "waiting" } }));
    });
    JobActions actions;
    const auto accepted = m_jobs.submit(shard, std::move(spec), token, Clock::now(), actions);
    if (!accepted) {
        m_durableSteps.erase(token);
        return fail(call, errorKind(accepted.error()));
    }
    *id = accepted.value().id;
    logEvent(LogLevel::Info, "job_accepted", { { "job", *id }, { "team", team }, { "queue", queue->name }, { "failure_domain", m_settings.failureDomain } });
    run(std::move(actions));
}

/// True when a caller may see a team's job. Operators have an empty team; callers without a
/// key know a job of an open queue by its id alone.
static bool maySee(const JobSpec& spec, const std::string& team, const Configuration& configuration)
{
    if (team.empty() || spec.team == team)
        return true;
    const auto* const queue = configuration.findQueue(spec.queue);
    return team == anonymousTeam && queue && !queue->openForTeam.empty();
}

void Core::showJob(std::uint64_t call, const Target& target, const std::string& team)
{
    const auto* const job = m_jobs.find(target.path[2]);
    if (!job || !maySee(job->spec, team, m_fleet->configuration))
        return fail(call, ErrorKind::NotFound, "no such job");
    if (target.path.size() == 4)
        return answer(call, jsonResponse(200, explainJob(*job)));
    const auto waitSeconds = std::strtoull(std::string(findHeader(target.query, "wait")).c_str(), nullptr, 10);
    const auto since = std::strtoull(std::string(findHeader(target.query, "since")).c_str(), nullptr, 10);
    if (waitSeconds == 0 || job->version > since || isFinal(job->state) || m_jobWaiters.size() >= maxJobWaiters)
        return answer(call, jsonResponse(200, describeJob(*job)));
    const auto wait = std::min<Seconds>(Seconds(waitSeconds), longestPoll);
    m_jobWaiters.push_back({ call, job->spec.id, since, Clock::now() + wait });
}

void Core::wakeJobWaiters(const std::string& id, TimePoint now)
{
    std::vector<JobWaiter> due;
    std::erase_if(m_jobWaiters, [&](const JobWaiter& waiter) {
        const bool isDue = waiter.job == id || now >= waiter.until || !m_jobs.isHome(shardOf(waiter.job));
        if (isDue)
            due.push_back(waiter);
        return isDue;
    });
    for (const auto& waiter : due) {
        const auto* const job = m_jobs.find(waiter.job);
        if (job)
            answer(waiter.call, jsonResponse(200, describeJob(*job)));
        else
            fail(waiter.call, ErrorKind::HomeUnreachable);
    }
}

void Core::cancelJob(std::uint64_t call, const std::string& id, const std::string& team)
{
    const auto* const job = m_jobs.find(id);
    if (!job || !maySee(job->spec, team, m_fleet->configuration))
        return fail(call, ErrorKind::NotFound, "no such job");
    if (team == anonymousTeam)
        return fail(call, ErrorKind::Unauthorized);
    const auto token = afterDurable([this, call, id](bool durable) {
        if (!durable)
            return fail(call, ErrorKind::HomeUnreachable);
        const auto* const cancelled = m_jobs.find(id);
        answer(call, jsonResponse(200, cancelled ? describeJob(*cancelled) : Json::object()));
    });
    JobActions actions;
    const auto accepted = m_jobs.cancel(id, token, Clock::now(), actions);
    if (!accepted) {
        m_durableSteps.erase(token);
        return fail(call, errorKind(accepted.error()));
    }
    run(std::move(actions));
}

} // namespace heatherchute
