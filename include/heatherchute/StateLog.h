/// Write-ahead log for the state of a cell, in a store that limits the entries of a transaction.
/// Each commit is one record with all its changes, regardless of the number of keys. Later commits
/// compact the log: they copy the values of old records to a key each (the table) and remove the
/// records. The class does no I/O: it returns the transactions to write, and rebuilds the state
/// from the stored records.
#pragma once

#include "heatherchute/Support.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace heatherchute::cell {

/// Write of one key of the durable state; an empty value removes the key.
struct StateWrite {
    std::string key;
    std::string value;
};

/// Writes and removals of one store transaction, without its preconditions.
struct LogTransaction {
    std::vector<StateWrite> writes;
    std::vector<std::string> removals;
    std::size_t entryCount() const { return writes.size() + removals.size(); }
};

struct StateLogLimits {
    /// Maximum number of writes and removals in one transaction.
    std::size_t maxEntries = 29;
    /// Maximum size of a record in bytes; a larger commit is split into several transactions.
    std::size_t maxRecordBytes = 400'000;
    /// Number of newest records that are not compacted yet, because their keys are likely to change
    /// again soon: about as many commits as happen during a short job of one or two seconds.
    std::size_t retainedRecords = 64;
};

/// Key prefix of log records in the store.
extern const std::string stateLogPrefix;

class StateLog {
public:
    explicit StateLog(StateLogLimits limits = {});

    /// Loads the stored state. `table` holds the keys outside the log and is updated with the
    /// latest values from the log; `records` holds the log records by key. Returns the keys of
    /// records that cannot be decoded.
    std::vector<std::string> load(std::map<std::string, std::string>& table, const std::map<std::string, std::string>& records);

    /// Returns the transactions that make `writes` durable, to be executed in order. After each
    /// transaction a prefix of `writes` is in effect; after the last one, all of them.
    std::vector<LogTransaction> append(std::vector<StateWrite> writes);

    /// Number of records in the log.
    std::size_t records() const { return m_records.size(); }

private:
    struct Record {
        std::uint64_t number = 0;
        /// Keys whose latest value is only in this record.
        std::set<std::string> latestKeys;
    };
    struct LatestValue {
        std::string value;
        std::uint64_t record = 0;
    };

    Record* find(std::uint64_t number);
    void recordWrite(Record& record, StateWrite write);
    /// Copies the latest values of the oldest records to the table and removes these records, as
    /// far as the batch has entries left. Keeps the newest `retained` records.
    void compact(LogTransaction& batch, std::size_t retained);

    StateLogLimits m_limits;
    std::uint64_t m_nextNumber = 1;
    std::deque<Record> m_records;
    std::unordered_map<std::string, LatestValue> m_latest;
    /// Keys in the table.
    std::unordered_set<std::string> m_tableKeys;
};

} // namespace heatherchute::cell
