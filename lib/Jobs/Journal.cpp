/// Keys and encoding of write-ahead log entries in the store.
#include "heatherchute/Jobs.h"

#include <cinttypes>
#include <cstdio>

namespace heatherchute {

std::string journalPrefix(const std::string& shard)
{
    return "heatherchute/journal/" + shard + "/";
}

std::string journalKey(const std::string& shard, std::uint64_t sequence)
{
    // Fixed width, so that the lexicographic order of keys is the order of entries.
    char digits[17] {};
    std::snprintf(digits, sizeof(digits), "%016" PRIx64, sequence);
    return journalPrefix(shard) + digits;
}

std::string encodeEntry(const JournalEntry& entry)
{
    Json records = Json::array();
    for (const auto& record : entry.records)
        records.push_back(toTagged(record));
    const Json json { { "sequence", entry.sequence }, { "nonce", entry.nonce }, { "records", std::move(records) } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JournalEntry> decodeEntry(const std::string& text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("records"))
        return ErrorKind::BadJson;
    JournalEntry entry;
    entry.sequence = json.value("sequence", std::uint64_t(0));
    entry.nonce = json.value("nonce", "");
    for (const auto& tagged : json["records"]) {
        auto record = fromTagged<JournalRecord>(tagged);
        if (!record)
            return record.error();
        entry.records.push_back(std::move(record.value()));
    }
    return entry;
}

std::vector<std::string> shardsOfDomain(const std::string& failureDomain)
{
    std::vector<std::string> shards;
    shards.reserve(shardsPerDomain);
    for (int i = 0; i < shardsPerDomain; ++i)
        shards.push_back(failureDomain + "." + std::to_string(i));
    return shards;
}

} // namespace heatherchute
