#include "heatherchute/StateLog.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace heatherchute;
using namespace heatherchute::cell;

namespace {

/// In-memory store with atomic transactions.
struct NaiveStore {
    std::map<std::string, std::string> items;

    void apply(const LogTransaction& batch)
    {
        for (const auto& write : batch.writes)
            items[write.key] = write.value;
        for (const auto& key : batch.removals)
            items.erase(key);
    }

    /// Loads the stored records into `log` and returns the resulting state.
    std::map<std::string, std::string> load(StateLog& log) const
    {
        std::map<std::string, std::string> table;
        std::map<std::string, std::string> records;
        for (const auto& [key, value] : items)
            (key.starts_with(stateLogPrefix) ? records : table)[key] = value;
        CHECK(log.load(table, records).empty());
        return table;
    }
};

void applyTo(std::map<std::string, std::string>& state, const std::vector<StateWrite>& writes)
{
    for (const auto& write : writes) {
        if (write.value.empty())
            state.erase(write.key);
        else
            state[write.key] = write.value;
    }
}

std::vector<StateWrite> drawWrites()
{
    std::vector<StateWrite> writes;
    const auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
        const auto key = "key/" + std::to_string(*rc::gen::inRange(0, 25));
        // Arbitrary bytes, including invalid UTF-8.
        const auto length = static_cast<std::size_t>(*rc::gen::inRange(0, 4));
        writes.push_back({ key, std::string(length, static_cast<char>(*rc::gen::inRange(0, 256))) });
    }
    return writes;
}

} // namespace

TEST_CASE("A successor reads all committed writes, after whichever commit its predecessor stopped")
{
    CHECK(rc::check([] {
        const StateLogLimits limits { static_cast<std::size_t>(*rc::gen::inRange(3, 10)), 40, static_cast<std::size_t>(*rc::gen::inRange(0, 6)) };
        NaiveStore store;
        auto log = std::make_unique<StateLog>(limits);
        std::map<std::string, std::string> expected;
        const auto commits = *rc::gen::inRange(1, 60);
        for (int i = 0; i < commits; ++i) {
            const auto writes = drawWrites();
            const auto batches = log->append(writes);
            for (const auto& batch : batches) {
                RC_ASSERT(batch.entryCount() <= limits.maxEntries);
                store.apply(batch);
            }
            applyTo(expected, writes);
            if (*rc::gen::inRange(0, 5) == 0) {
                log = std::make_unique<StateLog>(limits);
                RC_ASSERT(store.load(*log) == expected);
            }
        }
        StateLog successor(limits);
        RC_ASSERT(store.load(successor) == expected);
    }));
}

TEST_CASE("A commit of any number of keys is one transaction")
{
    StateLog log;
    std::vector<StateWrite> writes;
    for (int i = 0; i < 500; ++i)
        writes.push_back({ "key/" + std::to_string(i), "value" });
    const auto batches = log.append(writes);
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].entryCount() <= StateLogLimits().maxEntries);
}

TEST_CASE("Compaction keeps the number of log records bounded")
{
    StateLogLimits limits;
    StateLog log(limits);
    for (int i = 0; i < 5000; ++i) {
        std::vector<StateWrite> writes;
        for (int k = 0; k < 20; ++k)
            writes.push_back({ "key/" + std::to_string(i * 20 + k), "value" });
        (void)log.append(writes);
    }
    CHECK(log.records() <= limits.retainedRecords + 2);
}

TEST_CASE("Keys that are written and removed before compaction never reach the table")
{
    StateLog log({ 10, 1000, 4 });
    NaiveStore store;
    for (int i = 0; i < 100; ++i) {
        const auto key = "key/" + std::to_string(i);
        for (const auto& value : { std::string("value"), std::string() }) {
            for (const auto& batch : log.append({ { key, value } }))
                store.apply(batch);
        }
    }
    CHECK(std::none_of(store.items.begin(), store.items.end(), [](const auto& item) { return item.first.starts_with("key/"); }));
}
