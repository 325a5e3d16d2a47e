/// Configuration, keys and drained VMs: one versioned document, written by compare-and-swap and
/// spread among the daemons.
#include "Core.h"

#include "heatherchute/Fields.h"

#include <algorithm>

namespace heatherchute {

static constexpr std::size_t maxConfigurationBytes = 400U << 10;
static constexpr std::size_t maxKeys = 2000;
static constexpr std::size_t maxDrainedVms = 2000;
static constexpr std::size_t keyBytes = 24;
static constexpr Seconds storeMemory { 3 };

std::string Core::holderName() const
{
    return "daemon/" + m_settings.failureDomain + "/" + m_settings.name + "/" + m_self.boot;
}

bool Core::isReader() const
{
    const auto peers = m_membership.domainPeers();
    return peers.empty() || peers[rendezvousChoice("store reader", peers)] == m_settings.name;
}

bool Core::hearsStore(TimePoint now) const
{
    return m_everHeardStore && now - m_heardStoreAt <= storeMemory;
}

bool Core::isReady() const
{
    return !m_stopping && m_everConfirmed && m_hasVmList;
}

void Core::on(FleetPolled& event)
{
    m_pollInFlight = false;
    if (!event.version)
        return;
    m_heardStoreAt = Clock::now();
    m_everHeardStore = true;
    const auto ours = m_fleet->document.version;
    if (event.version.value() > ours) {
        if (!m_fetchInFlight) {
            m_fetchInFlight = true;
            order(FetchFleet {});
        }
        return;
    }
    m_confirmedAt = std::max(m_confirmedAt, event.asked);
    m_everConfirmed = true;
}

void Core::on(FleetFetched& event)
{
    m_fetchInFlight = false;
    if (event.document)
        adoptFleet(std::move(event.document.value()), event.asked);
}

void Core::adoptFleet(FleetDocument&& document, TimePoint confirmed)
{
    if (document.version >= m_fleet->document.version) {
        m_confirmedAt = std::max(m_confirmedAt, confirmed);
        m_everConfirmed = true;
    }
    // Versions only rise: an older document from a slow reader changes nothing.
    if (document.version <= m_fleet->document.version)
        return;
    m_fleet = makeFleet(std::move(document));
    applyFleet();
    logEvent(LogLevel::Info, "fleet_version", { { "version", m_fleet->document.version }, { "change", m_fleet->document.change } });
    for (const auto& [name, member] : m_membership.members()) {
        if (member.link != 0 && member.lastHeartbeat.fleetVersion < m_fleet->document.version)
            send(name, FleetUpdate { m_fleet->document });
    }
}

void Core::applyFleet()
{
    const auto& configuration = m_fleet->configuration;
    std::map<std::string, double> shares;
    std::map<std::string, std::uint32_t> limits;
    for (const auto& team : configuration.teams) {
        shares[team.name] = team.sharePercent;
        limits[team.name] = team.runningLimit;
    }
    std::map<std::string, ServiceLimits> services;
    for (const auto& service : configuration.services)
        services[service.name] = { service.maxWaiting };
    std::map<std::string, Milliseconds> waitTargets;
    for (const auto& workClass : configuration.classes)
        waitTargets[workClass.name] = workClass.waitTarget;
    const auto& drained = m_fleet->document.drainedVms;
    m_limits.setLimits(limits, m_fleet->document.version);
    m_requests.setConfiguration(std::move(services), shares);
    m_jobs.setShares(std::move(shares));
    m_jobs.setWaitTargets(std::move(waitTargets));
    m_vms.setDrained({ drained.begin(), drained.end() });
}

static HttpResponse findingsResponse(const Findings& findings)
{
    auto response = errorResponse(ErrorKind::BadConfiguration);
    auto body = Json::parse(response.body);
    body["findings"] = Json::array();
    for (const auto& finding : findings)
        body["findings"].push_back({ { "field", finding.field }, { "reason", finding.reason } });
    response.body = body.dump() + "\n";
    return response;
}

void Core::writeFleet(std::uint64_t call, FleetDocument next, std::map<std::string, std::uint32_t> lowered)
{
    next.version = m_fleet->document.version + 1;
    // The change names its writer's attempt, so that a lost answer can be told from a lost race.
    next.change += " #" + randomToken(4);
    order(WriteFleet { call, std::move(next), std::move(lowered) });
}

void Core::putConfiguration(std::uint64_t call, const HttpRequest& request)
{
    const auto match = findHeader(request.headers, "If-Match");
    if (match.empty())
        return fail(call, ErrorKind::PreconditionRequired);
    if (match != "\"" + std::to_string(m_fleet->document.version) + "\"")
        return fail(call, ErrorKind::Conflict);
    if (request.body.size() > maxConfigurationBytes)
        return fail(call, ErrorKind::TooLarge);
    const auto checked = parseConfiguration(request.body);
    if (!checked.findings.empty())
        return answer(call, findingsResponse(checked.findings));
    std::map<std::string, std::uint32_t> lowered;
    for (const auto& team : m_fleet->configuration.teams) {
        const auto* const next = checked.configuration.findTeam(team.name);
        const auto limit = next ? next->runningLimit : 0;
        if (limit < team.runningLimit)
            lowered[team.name] = limit;
    }
    auto next = m_fleet->document;
    next.text = request.body;
    next.change = "configuration";
    writeFleet(call, std::move(next), std::move(lowered));
}

void Core::grantKey(std::uint64_t call, const HttpRequest& request)
{
    Findings findings;
    const auto parsed = parseJsonWithComments(request.body);
    KeyGrant grant;
    {
        FieldReader reader(parsed.value, "", findings);
        grant.name = reader.name("name");
        grant.team = reader.name("team");
    }
    auto next = m_fleet->document;
    const bool isTaken = std::any_of(next.keys.begin(), next.keys.end(), [&grant](const KeyGrant& key) { return key.name == grant.name; });
    if (isTaken)
        findings.push_back({ "name", "a key of this name is granted already" });
    if (grant.team != operatorTeam && !m_fleet->configuration.findTeam(grant.team))
        findings.push_back({ "team", "no team is named " + grant.team });
    if (next.keys.size() >= maxKeys)
        findings.push_back({ "name", "no more keys can be granted" });
    if (!findings.empty())
        return answer(call, findingsResponse(findings));
    const auto token = randomToken(keyBytes);
    grant.digest = secretDigest(token);
    next.keys.push_back(grant);
    next.change = "grant of key " + grant.name;
    // Shown once, when the grant is accepted.
    m_grantedTokens[call] = token;
    writeFleet(call, std::move(next), {});
}

void Core::withdrawKey(std::uint64_t call, const std::string& name)
{
    auto next = m_fleet->document;
    if (std::erase_if(next.keys, [&name](const KeyGrant& key) { return key.name == name; }) == 0)
        return fail(call, ErrorKind::NotFound, "no such key");
    next.change = "withdrawal of key " + name;
    writeFleet(call, std::move(next), {});
}

void Core::drainVm(std::uint64_t call, const std::string& vm, bool drain)
{
    auto next = m_fleet->document;
    auto& drained = next.drainedVms;
    const bool isKnown = std::any_of(m_vmList.begin(), m_vmList.end(), [&vm](const VmInfo& info) { return info.id == vm; });
    if (!isKnown)
        return fail(call, ErrorKind::NotFound, "no such VM");
    std::erase(drained, vm);
    if (drain)
        drained.push_back(vm);
    if (drained.size() > maxDrainedVms)
        return fail(call, ErrorKind::Overloaded, "too many VMs are drained");
    next.change = (drain ? "drain of " : "end of drain of ") + vm;
    writeFleet(call, std::move(next), {});
}

void Core::on(FleetWritten& event)
{
    std::string token;
    if (const auto found = m_grantedTokens.find(event.call); found != m_grantedTokens.end()) {
        token = found->second;
        m_grantedTokens.erase(found);
    }
    if (event.error == ErrorKind::Conflict)
        m_nextPoll = {};
    if (event.error != ErrorKind::None)
        return fail(event.call, event.error, event.detail);
    Json body { { "version", event.document.version }, { "change", event.document.change } };
    const auto version = event.document.version;
    if (!token.empty())
        body["key"] = token;
    adoptFleet(std::move(event.document), m_confirmedAt);
    auto response = jsonResponse(200, body);
    response.headers.push_back({ "ETag", "\"" + std::to_string(version) + "\"" });
    answer(event.call, std::move(response));
}

void Core::on(HistoryRead& event)
{
    if (!event.documents)
        return fail(event.call, ErrorKind::StoreUnavailable);
    Json items = Json::array();
    for (const auto& document : event.documents.value())
        items.push_back({ { "version", document.version }, { "change", document.change }, { "text", document.text } });
    answer(event.call, jsonResponse(200, { { "items", items } }));
}

} // namespace heatherchute
