#include "../../lib/Node/VmRegistry.h"

#include "SmallStack.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace heatherchute;

namespace {

/// A valid registry entry, with the fields of `changes` replaced.
std::string entryText(const Json& changes = Json::object())
{
    Json entry { { "service", "s" }, { "address", "10.0.0.9:80" }, { "zone", "z" }, { "state", "ready" }, { "capacity", { { "cpu", 16'000 } } }, { "labels", { "a", "r1-3" } }, { "born", 7 } };
    entry.update(changes);
    return entry.dump();
}

platform::StoreItem makeItem(const std::string& id, std::string value, bool deleted = false)
{
    return { platform::vmRegistryPrefix + id, std::move(value), 1, 0, deleted };
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

/// Entries that name no VM, of the kinds that other writers have left among those of VMs.
std::vector<std::string> oddEntries()
{
    constexpr std::size_t depth = 100'000;
    std::vector<std::string> entries { "", "7", "[]", "null", "{", std::string("\0\xff", 2), "\"\xc3\x28\"", std::string(1'000'000, '"'),
        repeated("[", depth), repeated("[", depth) + repeated("]", depth), repeated("{\"a\":", depth) + "1" + repeated("}", depth),
        R"({"service":"s","service":5,"address":"10.0.0.9:80","zone":"z","state":"ready"})", R"({"born":1e999})" };
    const std::vector<Json> changes { { { "address", "10.0.0.9:65536" } }, { { "address", "10.0.0.9:0" } }, { { "address", "10.0.0.9:-1" } }, { { "address", "10.0.0.9" } },
        { { "address", 9 } }, { { "born", 1e300 } }, { { "born", -1 } }, { { "born", 1.5 } }, { { "born", std::numeric_limits<std::uint64_t>::max() } }, { { "born", "7" } },
        { { "capacity", { { "cpu", 1e18 } } } }, { { "capacity", { { "cpu", -5 } } } }, { { "capacity", 5 } }, { { "labels", { 5 } } }, { { "labels", "a" } },
        { { "cold_remaining_ms", 1e300 } }, { { "state", "resting" } }, { { "state", nullptr } }, { { "service", nullptr } }, { { "zone", Json::array() } } };
    for (const auto& change : changes)
        entries.push_back(entryText(change));
    // Deep nesting inside a field of an entry that is valid otherwise, for readers that copy or print it.
    entries.push_back(R"({"service":"s","zone":"z","state":"ready","address":)" + repeated("[", depth) + repeated("]", depth) + "}");
    return entries;
}

} // namespace

TEST_CASE("Odd entries of the registry are left out alone, and the others hold")
{
    runOnSmallStack([] {
        const auto odd = oddEntries();
        VmRegistry registry;
        std::vector<platform::StoreItem> items { makeItem("i-1", entryText()) };
        for (std::size_t i = 0; i < odd.size(); ++i)
            items.push_back(makeItem("odd-" + std::to_string(i), odd[i]));
        CHECK(registry.apply(items, true));
        CHECK(registry.reports().size() == 1);
        // A VM whose entry is overwritten is not used until its entry is valid again.
        for (const auto& text : odd) {
            CHECK(registry.apply({ makeItem("i-1", text) }, false));
            CHECK(registry.reports().empty());
            CHECK(registry.apply({ makeItem("i-1", entryText()) }, false));
            CHECK(registry.reports().contains("i-1"));
        }
    });
}

TEST_CASE("An entry with an id that could break a header is left out")
{
    VmRegistry registry;
    CHECK_FALSE(registry.apply({ makeItem("", entryText()), makeItem("i-1\r\nX-Other: 1", entryText()), makeItem(std::string(200, 'i'), entryText()), makeItem("i 1", entryText()) }, true));
    CHECK(registry.reports().empty());
}

TEST_CASE("The registry follows changes, deletions and complete lists")
{
    VmRegistry registry;
    CHECK(registry.apply({ makeItem("i-1", entryText()), makeItem("i-2", entryText()) }, true));
    // A heartbeat that changes nothing but counters is no change of a report.
    CHECK_FALSE(registry.apply({ makeItem("i-1", entryText({ { "sequence", 9 } })) }, false));
    CHECK(registry.apply({ makeItem("i-1", entryText({ { "state", "draining" } })) }, false));
    CHECK(registry.reports().at("i-1").draining);
    CHECK(registry.apply({ makeItem("i-2", {}, true) }, false));
    CHECK_FALSE(registry.reports().contains("i-2"));
    CHECK(registry.apply({ makeItem("i-3", entryText()) }, true));
    CHECK(registry.reports().size() == 1);
}

TEST_CASE("No bytes in an entry end the process")
{
    runOnSmallStack([] {
        CHECK(rc::check("any change of a byte gives a report or a reason", [] {
            auto text = entryText();
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            std::string reason;
            const auto report = platform::parseVmReport("i-1", text, reason);
            RC_ASSERT(report.has_value() == reason.empty());
        }));
    });
}
