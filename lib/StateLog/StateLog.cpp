#include "heatherchute/StateLog.h"

#include <algorithm>
#include <charconv>

namespace heatherchute::cell {

const std::string stateLogPrefix = "heatherchute/log/";

/// Width to which record numbers are zero-padded, so that keys sort in numeric order.
static constexpr std::size_t numberDigits = 16;

static std::string recordKey(std::uint64_t number)
{
    auto digits = std::to_string(number);
    return stateLogPrefix + std::string(numberDigits - std::min(numberDigits, digits.size()), '0') + digits;
}

static std::optional<std::uint64_t> recordNumber(const std::string& key)
{
    std::uint64_t number = 0;
    const auto* const begin = key.data() + std::min(stateLogPrefix.size(), key.size());
    const auto* const end = key.data() + key.size();
    const auto parsed = std::from_chars(begin, end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

/// Encodes writes as a CBOR array of alternating keys and values.
static std::string encodeRecord(const std::vector<StateWrite>& writes)
{
    auto rows = Json::array();
    for (const auto& write : writes) {
        rows.push_back(write.key);
        rows.push_back(write.value);
    }
    return encodeCbor(rows);
}

static std::optional<std::vector<StateWrite>> decodeRecord(const std::string& bytes)
{
    const auto document = decodeCbor(bytes);
    const bool isList = document && document->is_array() && document->size() % 2 == 0;
    if (!isList)
        return std::nullopt;
    const auto& rows = *document;
    if (!std::all_of(rows.begin(), rows.end(), [](const auto& row) { return row.is_string(); }))
        return std::nullopt;
    std::vector<StateWrite> writes;
    for (std::size_t i = 0; i < rows.size(); i += 2)
        writes.push_back({ rows[i].template get<std::string>(), rows[i + 1].template get<std::string>() });
    return writes;
}

StateLog::StateLog(StateLogLimits limits)
    : m_limits(limits)
{
}

StateLog::Record* StateLog::find(std::uint64_t number)
{
    const auto found = std::lower_bound(m_records.begin(), m_records.end(), number, [](const Record& record, std::uint64_t wanted) { return record.number < wanted; });
    return found != m_records.end() && found->number == number ? &*found : nullptr;
}

void StateLog::recordWrite(Record& record, StateWrite write)
{
    auto& newest = m_latest[write.key];
    if (auto* const earlier = newest.record == 0 ? nullptr : find(newest.record))
        earlier->latestKeys.erase(write.key);
    newest = { std::move(write.value), record.number };
    record.latestKeys.insert(std::move(write.key));
}

std::vector<std::string> StateLog::load(std::map<std::string, std::string>& table, const std::map<std::string, std::string>& records)
{
    std::vector<std::string> unreadable;
    for (const auto& [key, value] : table)
        m_tableKeys.insert(key);
    for (const auto& [key, bytes] : records) {
        const auto number = recordNumber(key);
        auto writes = decodeRecord(bytes);
        if (!number || !writes) {
            unreadable.push_back(key);
            continue;
        }
        m_nextNumber = *number + 1;
        auto& record = m_records.emplace_back(Record { *number, {} });
        for (auto& write : *writes)
            recordWrite(record, std::move(write));
    }
    for (const auto& [key, newest] : m_latest) {
        if (newest.value.empty())
            table.erase(key);
        else
            table[key] = newest.value;
    }
    return unreadable;
}

void StateLog::compact(LogTransaction& batch, std::size_t retained)
{
    while (m_records.size() > retained) {
        auto& oldest = m_records.front();
        while (!oldest.latestKeys.empty()) {
            // Leaves one entry for the removal of the record itself.
            if (batch.entryCount() + 1 >= m_limits.maxEntries)
                return;
            const auto key = *oldest.latestKeys.begin();
            auto newest = m_latest.extract(key);
            auto& value = newest.mapped().value;
            if (!value.empty()) {
                m_tableKeys.insert(key);
                batch.writes.push_back({ key, std::move(value) });
            } else if (m_tableKeys.erase(key) > 0) {
                batch.removals.push_back(key);
            }
            oldest.latestKeys.erase(oldest.latestKeys.begin());
        }
        if (batch.entryCount() >= m_limits.maxEntries)
            return;
        batch.removals.push_back(recordKey(oldest.number));
        m_records.pop_front();
    }
}

std::vector<LogTransaction> StateLog::append(std::vector<StateWrite> writes)
{
    std::vector<LogTransaction> batches;
    for (std::size_t next = 0; next < writes.size();) {
        std::vector<StateWrite> part;
        for (std::size_t bytes = 0; next < writes.size() && (part.empty() || bytes + writes[next].value.size() <= m_limits.maxRecordBytes); ++next) {
            bytes += writes[next].key.size() + writes[next].value.size();
            part.push_back(std::move(writes[next]));
        }
        auto& batch = batches.emplace_back();
        const auto number = m_nextNumber++;
        batch.writes.push_back({ recordKey(number), encodeRecord(part) });
        auto& record = m_records.emplace_back(Record { number, {} });
        for (auto& write : part)
            recordWrite(record, std::move(write));
        compact(batch, m_limits.retainedRecords);
    }
    return batches;
}

} // namespace heatherchute::cell
