#include "heatherchute/Node.h"

#include "heatherchute/Fields.h"

namespace heatherchute {

static constexpr std::size_t maxAddressBytes = 64;

static Address readAddress(FieldReader& reader, std::string_view field, bool required)
{
    if (!required && !reader.has(field))
        return {};
    const auto text = reader.text(field, maxAddressBytes);
    if (text.empty() && !required)
        return {};
    const auto address = parseAddress(text);
    if (address)
        return address.value();
    if (reader.has(field))
        reader.report(field, "\"" + text + "\" is not an IP address with a port, such as \"10.0.0.1:7000\"");
    return {};
}

CheckedNodeSettings parseNodeSettings(const Json& value)
{
    constexpr std::uint64_t tenMinutesMs = 600'000;
    CheckedNodeSettings checked;
    auto& settings = checked.settings;
    FieldReader reader(value, "", checked.findings);
    reader.textOr("mode", 16, "cell");
    settings.name = reader.name("name");
    settings.failureDomain = reader.name("failure_domain");
    settings.listenCallers = readAddress(reader, "listen_callers", true);
    settings.listenReadiness = readAddress(reader, "listen_readiness", true);
    settings.listenPeers = readAddress(reader, "listen_peers", true);
    settings.advertisePeers = readAddress(reader, "advertise_peers", false);
    if (settings.advertisePeers.port == 0)
        settings.advertisePeers = settings.listenPeers;
    settings.listenMetrics = readAddress(reader, "listen_metrics", false);
    settings.store = readAddress(reader, "store", true);
    settings.advice = readAddress(reader, "advice", false);
    settings.shortestStoreLease = Milliseconds(reader.integerOr("shortest_store_lease_ms", 1, tenMinutesMs, 1000));
    settings.longestVmLease = Milliseconds(reader.integerOr("longest_vm_lease_ms", 1000, tenMinutesMs, 10'000));
    settings.grace = Milliseconds(static_cast<std::int64_t>(reader.numberOr("grace_s", 0.1, 600, 6) * 1000));
    settings.jobRetention = Seconds(reader.integerOr("job_retention_s", 1, 86'400, 120));
    settings.spreadFactor = reader.numberOr("spread_factor", 1, 100, 2);
    settings.processorShare = reader.numberOr("processor_share", 0.001, 1024, 1);
    settings.evacuationBound = Milliseconds(reader.integerOr("evacuate_ms", 0, tenMinutesMs, 0));
    settings.linkMbps = reader.numberOr("link_mbps", 0, 1'000'000, 0);
    return checked;
}

} // namespace heatherchute
