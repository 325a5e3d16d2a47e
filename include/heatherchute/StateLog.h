/// A write-ahead log that keeps a cell's state in a store whose transactions take few entries.
/// Each commit is one record that holds all its changes, however many keys they concern; later
/// commits carry the values of old records over to keys of their own, the table, and remove the
/// records. Pure: it says what to write, and rebuilds the state from what was written.
#pragma once

#include "heatherchute/Support.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace heatherchute::cell {

/// One key of the durable state; an empty value removes it.
struct StateWrite {
    std::string key;
    std::string value;
};

/// One transaction of the store, beside its conditions.
struct LogTransaction {
    std::vector<StateWrite> writes;
    std::vector<std::string> removals;
    std::size_t entryCount() const { return writes.size() + removals.size(); }
};

struct StateLogLimits {
    /// Entries of one transaction.
    std::size_t maxEntries = 29;
    /// Largest record in bytes; a commit that is larger takes several transactions.
    std::size_t maxRecordBytes = 400'000;
    /// Newest records that are left alone, because their keys are likely to change again: about
    /// the commits of the second or two that a short job takes.
    std::size_t retainedRecords = 64;
};

/// Prefix of the records' keys.
extern const std::string stateLogPrefix;

class StateLog {
public:
    explicit StateLog(StateLogLimits limits = {});

    /// Begins with what the store holds: `table` has its keys outside the log and gets the newest
    /// value of each, `records` the log's by key. Names of records that cannot be read.
    std::vector<std::string> load(std::map<std::string, std::string>& table, const std::map<std::string, std::string>& records);

    /// Transactions that make `writes` durable, to be carried out in their order. The state as of
    /// any one of them is the commit's whole effect or a part of it, the first writes first.
    std::vector<LogTransaction> append(std::vector<StateWrite> writes);

    /// Records that are still needed.
    std::size_t records() const { return m_records.size(); }

private:
    struct Record {
        std::uint64_t number = 0;
        /// Keys whose newest value is in this record only.
        std::set<std::string> latestKeys;
    };
    struct LatestValue {
        std::string value;
        std::uint64_t record = 0;
    };

    Record* find(std::uint64_t number);
    void recordWrite(Record& record, StateWrite write);
    /// Adds to the batch what carries old records over to the table.
    void compact(LogTransaction& batch, std::size_t resting);

    StateLogLimits m_limits;
    std::uint64_t m_nextNumber = 1;
    std::deque<Record> m_records;
    std::unordered_map<std::string, LatestValue> m_latest;
    /// Keys that the table has.
    std::unordered_set<std::string> m_tableKeys;
};

} // namespace heatherchute::cell
