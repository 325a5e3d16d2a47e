#include "heatherchute/Config.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace heatherchute {

static const char* const sound = R"({
  "failure_domains": ["a", "b"],
  "classes": [{"name": "lookup", "kind": "service", "wait_p99_ms": 50}, {"name": "night", "kind": "batch", "finish_by": "06:00"}],
  "teams": [{"name": "t", "share_percent": 60, "running_limit": 10}, {"name": "u", "share_percent": 40, "running_limit": 5}],
  "queues": [{"name": "q", "class": "night"}],
  "services": [{"name": "s", "class": "lookup", "open_for_team": "u"}]
})";

static bool hasFinding(const Findings& findings, std::string_view field)
{
    return std::any_of(findings.begin(), findings.end(), [field](const Finding& finding) { return finding.field == field; });
}

TEST_CASE("a sound configuration is taken as it is", "[config]")
{
    const auto checked = parseConfiguration(sound);
    REQUIRE(checked.findings.empty());
    CHECK(checked.configuration.findClass("night")->finishByMinute == 360);
    CHECK(checked.configuration.findService("s")->openForTeam == "u");
    CHECK(checked.configuration.findTeam("t")->runningLimit == 10);
    CHECK(checked.configuration.findTeam("v") == nullptr);
}

TEST_CASE("all faults are told at once", "[config]")
{
    auto json = Json::parse(sound);
    json["surprise"] = 1;
    json["teams"][1]["share_percent"] = 50;
    json["teams"][0]["running_limit"] = -1;
    json["classes"][0]["kind"] = "other";
    json["classes"][1]["finish_by"] = "26:00";
    json["queues"][0]["class"] = "missing";
    json["services"][0]["open_for_team"] = "nobody";
    json["failure_domains"][1] = "a";
    const auto findings = parseConfiguration(json.dump()).findings;
    for (const auto* const field : { "surprise", "teams", "teams[0].running_limit", "classes[0].kind", "classes[1].finish_by", "queues[0].class", "services[0].open_for_team", "failure_domains" }) {
        INFO(field);
        CHECK(hasFinding(findings, field));
    }
}

TEST_CASE("names may not stand twice", "[config]")
{
    auto json = Json::parse(sound);
    json["teams"].push_back(json["teams"][0]);
    json["teams"][2]["share_percent"] = 0;
    CHECK(hasFinding(parseConfiguration(json.dump()).findings, "teams[2].name"));
}

TEST_CASE("no text breaks the parser", "[config]")
{
    CHECK(rc::check("garbage is refused", [](const std::string& text) { RC_ASSERT(!parseConfiguration(text).findings.empty()); }));
    CHECK(rc::check("a changed character never crashes", [] {
        std::string text = sound;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
        (void)parseConfiguration(text);
    }));
}

TEST_CASE("daemon settings are checked too", "[config]")
{
    const Json settings { { "name", "a-0" }, { "failure_domain", "a" }, { "listen_http", "127.0.0.1:1" }, { "listen_peer", "localhost:2" }, { "store", "127.0.0.1:3" }, { "vm_list", "127.0.0.1" },
        { "operator_key_digest", "" }, { "grace_ms", 5 }, { "extra", true } };
    const auto findings = parseDaemonSettings(settings).findings;
    CHECK(hasFinding(findings, "listen_peer"));
    CHECK(hasFinding(findings, "vm_list"));
    CHECK(hasFinding(findings, "grace_ms"));
    CHECK(hasFinding(findings, "extra"));
    CHECK(findings.size() == 4);
}

TEST_CASE("a fleet knows the team of a key by its digest", "[config]")
{
    FleetDocument document;
    document.version = 3;
    document.text = sound;
    document.keys = { { "k1", "t", secretDigest("secret") } };
    document.drainedVms = { "vm7" };
    const auto fleet = makeFleet(document);
    CHECK(fleet->teamOfKey(secretDigest("secret")) == "t");
    CHECK(fleet->teamOfKey(secretDigest("other")).empty());
    CHECK(fleet->isDrained("vm7"));
    CHECK_FALSE(fleet->isDrained("vm8"));
}

} // namespace heatherchute
