/// What the daemon shows: lists over all daemons, status, explanations and metrics.
#include "Core.h"

namespace heatherchute {

static constexpr Seconds gatherTime { 3 };
static constexpr std::size_t maxListedJobs = 1000;

Json Core::describeJob(const Job& job) const
{
    Json tasks { { "total", job.spec.tasks }, { "waiting", job.pending() }, { "active", job.active() }, { "done", job.spec.tasks - job.pending() - job.active() } };
    Json body { { "id", job.spec.id }, { "name", job.spec.name }, { "queue", job.spec.queue }, { "team", job.spec.team }, { "class", job.spec.className },
        { "state", jobStateName(job.state) }, { "version", job.version }, { "tasks", tasks }, { "home", m_settings.name } };
    if (!job.detail.empty())
        body["detail"] = job.detail;
    return body;
}

Json Core::explainJob(const Job& job) const
{
    auto body = describeJob(job);
    const auto waited = std::chrono::duration_cast<Milliseconds>((job.state == JobState::Waiting ? Clock::now() : job.startedAt) - job.acceptedAt);
    body["waited_ms"] = std::max<std::int64_t>(0, waited.count());
    if (job.state == JobState::Waiting)
        body["waits_because"] = job.reason.empty() ? "it has not had its turn yet" : job.reason;
    else if (!job.reason.empty())
        body["last_event"] = job.reason;
    const auto* const team = m_fleet->configuration.findTeam(job.spec.team);
    if (team)
        body["team_entry"] = { { "share_percent", team->sharePercent }, { "running_limit", team->runningLimit } };
    const auto* const workClass = m_fleet->configuration.findClass(job.spec.className);
    if (workClass && workClass->waitTarget.count() > 0)
        body["wait_target_ms"] = workClass->waitTarget.count();
    body["placements"] = Json::array();
    for (const auto& slot : job.slots) {
        if (!slot.attempt.id.empty())
            body["placements"].push_back({ { "task", slot.attempt.id }, { "vm", slot.attempt.vm }, { "failures", slot.failures }, { "because", "tightest fit among the VMs with room, VMs where the job failed last" } });
    }
    return body;
}

Json Core::localItems(const HttpRequest& request, const std::string& team) const
{
    const auto target = parseTarget(request.target);
    const auto& path = target.path;
    const auto now = Clock::now();
    Json items = Json::array();
    if (path[1] == "vms") {
        for (const auto& vm : m_vms.status(now)) {
            if (!vm.owned)
                continue;
            items.push_back({ { "vm", vm.info.id }, { "failure_domain", vm.info.failureDomain }, { "rack", vm.info.rack }, { "owner", m_settings.name }, { "epoch", vm.epoch },
                { "leaving", vm.leaving }, { "quarantined", vm.quarantined }, { "tasks", vm.tasks }, { "slots_in_use", vm.slotsInUse }, { "slots", vm.info.slots }, { "free", vm.free } });
        }
        return items;
    }
    const auto queue = path[1] == "queues" && path.size() > 2 ? path[2] : std::string();
    for (const auto* const job : m_jobs.list(queue, team, maxListedJobs))
        items.push_back(describeJob(*job));
    return items;
}

void Core::gather(std::uint64_t call, const HttpRequest& request, const std::string& team)
{
    const auto id = m_nextCall++;
    auto& gathering = m_gatherings[id];
    gathering.call = call;
    gathering.items = localItems(request, team);
    const auto until = Clock::now() + gatherTime;
    for (const auto& [name, member] : m_membership.members()) {
        if (member.state == MemberState::Dead)
            continue;
        const auto part = m_nextCall++;
        if (relay(part, RelayKind::Gather, name, CallTarget::Home, {}, team, request, until)) {
            m_gatherCalls[part] = id;
            ++gathering.outstanding;
        } else {
            gathering.missing.push_back(name);
        }
    }
    if (gathering.outstanding == 0)
        endGather(gathering), m_gatherings.erase(id);
}

void Core::onGathered(std::uint64_t part, const std::string& daemon, const Result<HttpResponse>& result)
{
    const auto found = m_gatherCalls.find(part);
    if (found == m_gatherCalls.end())
        return;
    const auto id = found->second;
    m_gatherCalls.erase(found);
    auto& gathering = m_gatherings[id];
    const auto body = result ? Json::parse(result.value().body, nullptr, false) : Json();
    if (body.is_object() && body.contains("items")) {
        for (const auto& item : body["items"])
            gathering.items.push_back(item);
    } else {
        gathering.missing.push_back(daemon);
    }
    if (--gathering.outstanding > 0)
        return;
    endGather(gathering);
    m_gatherings.erase(id);
}

void Core::endGather(const Gathering& gathering)
{
    answer(gathering.call, jsonResponse(200, { { "items", gathering.items }, { "missing", gathering.missing } }));
}

Json Core::status() const
{
    const auto now = Clock::now();
    Json members = Json::array();
    for (const auto& [name, member] : m_membership.members()) {
        members.push_back({ { "daemon", name }, { "failure_domain", member.hello.failureDomain }, { "state", memberStateName(member.state) }, { "linked", member.link != 0 },
            { "fleet_version", member.lastHeartbeat.fleetVersion } });
    }
    std::uint32_t owned = 0;
    for (const auto& vm : m_vms.status(now))
        owned += vm.owned ? 1 : 0;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - m_confirmedAt).count();
    return { { "daemon", m_settings.name }, { "failure_domain", m_settings.failureDomain }, { "ready", isReady() }, { "fleet_version", m_fleet->document.version },
        { "confirmed_ms_ago", m_everConfirmed ? Json(age) : Json() }, { "hears_store", hearsStore(now) }, { "keys_honoured", keysConfirmed(now) }, { "members", members },
        { "homes", m_jobs.homes() }, { "vms_owned", owned }, { "calls_open", m_calls.size() } };
}

std::string Core::metricsText()
{
    const auto now = Clock::now();
    m_metrics.gauge("calls_open", static_cast<double>(m_calls.size()));
    m_metrics.gauge("relays_open", static_cast<double>(m_relays.size()));
    m_metrics.gauge("fleet_version", static_cast<double>(m_fleet->document.version));
    m_metrics.gauge("keys_honoured", keysConfirmed(now) ? 1 : 0);
    m_metrics.gauge("hears_store", hearsStore(now) ? 1 : 0);
    m_metrics.gauge("outside_backlog", static_cast<double>(m_backlog.size()));
    m_metrics.gauge("shards_home", static_cast<double>(m_jobs.homes().size()));
    return m_metrics.text();
}

} // namespace heatherchute
