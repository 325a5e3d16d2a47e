#include "heatherchute/Config.h"

#include "heatherchute/Fields.h"

#include <algorithm>
#include <cstdio>

namespace heatherchute {

static constexpr NamedValue<WorkKind> workKindNames[] {
    { WorkKind::Service, "service" },
    { WorkKind::Batch, "batch" },
    { WorkKind::Gang, "gang" },
};

static constexpr std::uint64_t maxWaitTargetMs = 24ULL * 3600 * 1000;
static constexpr std::uint64_t maxRunningLimit = 1'000'000;
static constexpr std::uint64_t maxQueueLength = 100'000;
static constexpr std::uint64_t maxServiceTimeoutMs = 60'000;
/// Wait targets under this cannot be met over links that take milliseconds.
static constexpr std::uint64_t minWaitTargetMs = 5;

std::string_view workKindName(WorkKind kind)
{
    return nameOf(workKindNames, kind);
}

template <typename Item>
static const Item* findNamed(const std::vector<Item>& items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

const WorkClass* Configuration::findClass(std::string_view name) const { return findNamed(classes, name); }
const Team* Configuration::findTeam(std::string_view name) const { return findNamed(teams, name); }
const Queue* Configuration::findQueue(std::string_view name) const { return findNamed(queues, name); }
const Service* Configuration::findService(std::string_view name) const { return findNamed(services, name); }

static int parseFinishBy(FieldReader& reader)
{
    if (!reader.has("finish_by"))
        return -1;
    const auto text = reader.text("finish_by", 5);
    unsigned hour = 0;
    unsigned minute = 0;
    char rest = 0;
    if (std::sscanf(text.c_str(), "%2u:%2u%c", &hour, &minute, &rest) == 2 && hour < 24 && minute < 60)
        return static_cast<int>(hour * 60 + minute);
    reader.report("finish_by", "must be a time of day such as \"06:00\" (UTC)");
    return -1;
}

static WorkClass parseClass(FieldReader& reader)
{
    WorkClass result;
    result.name = reader.name("name");
    const auto kindName = reader.name("kind");
    if (const auto kind = valueOf(workKindNames, kindName))
        result.kind = *kind;
    else
        reader.report("kind", "must be \"service\", \"batch\" or \"gang\"");
    result.waitTarget = Milliseconds(reader.integerOr("wait_p99_ms", minWaitTargetMs, maxWaitTargetMs, 0));
    result.finishByMinute = parseFinishBy(reader);
    result.repeatable = reader.booleanOr("repeatable", false);
    if (result.kind == WorkKind::Service && result.finishByMinute >= 0)
        reader.report("finish_by", "is for batch and gang classes; state wait_p99_ms for services");
    return result;
}

static Team parseTeam(FieldReader& reader)
{
    Team result;
    result.name = reader.name("name");
    result.sharePercent = reader.number("share_percent", 0, 100);
    result.runningLimit = static_cast<std::uint32_t>(reader.integer("running_limit", 1, maxRunningLimit));
    if (result.name == operatorTeam)
        reader.report("name", "is reserved for operators");
    return result;
}

static Queue parseQueue(FieldReader& reader)
{
    Queue result;
    result.name = reader.name("name");
    result.className = reader.name("class");
    result.openForTeam = reader.optionalName("open_for_team");
    result.maxWaiting = static_cast<std::uint32_t>(reader.integerOr("max_waiting", 1, maxQueueLength, result.maxWaiting));
    return result;
}

static Service parseService(FieldReader& reader)
{
    Service result;
    result.name = reader.name("name");
    result.className = reader.name("class");
    result.openForTeam = reader.optionalName("open_for_team");
    result.timeout = Milliseconds(reader.integerOr("timeout_ms", 10, maxServiceTimeoutMs, 10'000));
    result.maxWaiting = static_cast<std::uint32_t>(reader.integerOr("max_waiting", 1, maxQueueLength, result.maxWaiting));
    return result;
}

/// Parses every element of an array of named objects and refuses names that stand twice.
template <typename Item, typename Parse>
static std::vector<Item> parseAll(FieldReader& parent, std::string_view field, Findings& findings, Parse parse)
{
    std::vector<Item> items;
    const auto& array = parent.array(field, true);
    for (std::size_t i = 0; i < array.size(); ++i) {
        FieldReader reader(array[i], parent.pathOf(field) + "[" + std::to_string(i) + "]", findings);
        auto item = parse(reader);
        if (!item.name.empty() && findNamed(items, item.name))
            reader.report("name", "stands twice: " + item.name);
        items.push_back(std::move(item));
    }
    return items;
}

static std::vector<std::string> parseDomains(FieldReader& reader)
{
    std::vector<std::string> domains;
    for (const auto& entry : reader.array("failure_domains", true)) {
        if (!entry.is_string() || entry.get_ref<const std::string&>().empty())
            reader.report("failure_domains", "must hold names");
        else if (std::find(domains.begin(), domains.end(), entry.get<std::string>()) != domains.end())
            reader.report("failure_domains", "stands twice: " + entry.get<std::string>());
        else
            domains.push_back(entry.get<std::string>());
    }
    return domains;
}

static void checkShares(const Configuration& configuration, Findings& findings)
{
    double sum = 0;
    for (const auto& team : configuration.teams)
        sum += team.sharePercent;
    // Half a thousandth of a percent covers decimal fractions that binary cannot hold.
    constexpr double tolerance = 0.0005;
    if (sum > 100 + tolerance)
        findings.push_back({ "teams", "shares add up to " + Json(sum).dump() + " percent, more than 100, and cannot be met" });
}

template <typename Item>
static void checkReferences(const Configuration& configuration, const std::vector<Item>& items, std::string_view list,
    bool isService, Findings& findings)
{
    for (std::size_t i = 0; i < items.size(); ++i) {
        const auto path = std::string(list) + "[" + std::to_string(i) + "]";
        const auto* const workClass = configuration.findClass(items[i].className);
        if (!workClass)
            findings.push_back({ path + ".class", "no class is named " + items[i].className });
        else if ((workClass->kind == WorkKind::Service) != isService)
            findings.push_back({ path + ".class", "class " + items[i].className + " is of the wrong kind" });
        if (!items[i].openForTeam.empty() && !configuration.findTeam(items[i].openForTeam))
            findings.push_back({ path + ".open_for_team", "no team is named " + items[i].openForTeam });
    }
}

CheckedConfiguration parseConfiguration(std::string_view text)
{
    CheckedConfiguration checked;
    const auto parsed = parseJsonWithComments(text);
    if (!parsed.error.empty()) {
        checked.findings.push_back({ "(text)", parsed.error });
        return checked;
    }
    auto& findings = checked.findings;
    auto& configuration = checked.configuration;
    {
        FieldReader reader(parsed.value, "", findings);
        configuration.failureDomains = parseDomains(reader);
        configuration.classes = parseAll<WorkClass>(reader, "classes", findings, parseClass);
        configuration.teams = parseAll<Team>(reader, "teams", findings, parseTeam);
        configuration.queues = parseAll<Queue>(reader, "queues", findings, parseQueue);
        configuration.services = parseAll<Service>(reader, "services", findings, parseService);
    }
    checkShares(configuration, findings);
    checkReferences(configuration, configuration.queues, "queues", false, findings);
    checkReferences(configuration, configuration.services, "services", true, findings);
    return checked;
}

std::string Fleet::teamOfKey(std::string_view digest) const
{
    std::string team;
    // Every grant is looked at, so that the time taken does not tell which one matched.
    for (const auto& grant : document.keys) {
        if (sameDigest(grant.digest, digest))
            team = grant.team;
    }
    return team;
}

bool Fleet::isDrained(std::string_view vm) const
{
    return std::find(document.drainedVms.begin(), document.drainedVms.end(), vm) != document.drainedVms.end();
}

FleetPointer makeFleet(FleetDocument document)
{
    auto fleet = std::make_shared<Fleet>();
    if (document.version > 0)
        fleet->configuration = parseConfiguration(document.text).configuration;
    fleet->document = std::move(document);
    return fleet;
}

} // namespace heatherchute
