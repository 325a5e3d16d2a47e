#include "heatherchute/Config.h"

#include "heatherchute/Fields.h"

namespace heatherchute {

static constexpr std::size_t maxAddressBytes = 64;
static constexpr std::size_t digestBytes = 64;

static Address readAddress(FieldReader& reader, std::string_view field)
{
    const auto address = parseAddress(reader.text(field, maxAddressBytes));
    if (address)
        return address.value();
    if (reader.has(field))
        reader.report(field, "must be an IP address with a port, such as \"10.0.0.1:7000\"");
    return {};
}

static std::vector<Address> readSeeds(FieldReader& reader)
{
    std::vector<Address> seeds;
    for (const auto& entry : reader.array("seeds", false)) {
        const auto address = parseAddress(entry.is_string() ? entry.get_ref<const std::string&>() : "");
        if (address)
            seeds.push_back(address.value());
        else
            reader.report("seeds", "must hold IP addresses with ports");
    }
    return seeds;
}

CheckedSettings parseDaemonSettings(const Json& value)
{
    CheckedSettings checked;
    auto& settings = checked.settings;
    FieldReader reader(value, "", checked.findings);
    settings.name = reader.name("name");
    settings.failureDomain = reader.name("failure_domain");
    settings.listenHttp = readAddress(reader, "listen_http");
    settings.listenPeer = readAddress(reader, "listen_peer");
    settings.store = readAddress(reader, "store");
    settings.vmList = readAddress(reader, "vm_list");
    settings.seeds = readSeeds(reader);
    settings.operatorKeyDigest = reader.text("operator_key_digest", digestBytes);
    settings.graceBound = Milliseconds(reader.integerOr("grace_ms", 100, 600'000, 30'000));
    settings.testPoints = reader.booleanOr("test_points", false);
    return checked;
}

} // namespace heatherchute
