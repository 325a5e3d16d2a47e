/// Keys with revisions, compared and changed in transactions: the part of etcd's version 3
/// protocol that heatherchute uses, kept in memory.
#pragma once

#include "heatherchute/Support.h"

#include <boost/fiber/condition_variable.hpp>
#include <deque>
#include <map>

namespace heatherchute {

struct StoredValue {
    std::string value;
    std::uint64_t createRevision = 0;
    std::uint64_t modRevision = 0;
    std::uint64_t version = 0;
};

/// One change, for watches.
struct StoreEvent {
    std::string key;
    std::uint64_t revision = 0;
    bool deleted = false;
};

/// Answers the protocol's calls. One thread's fibers only.
class StoreModel {
public:
    Json range(const Json& request) const;
    Json transaction(const Json& request);
    /// Waits for changes of a watched range after `after`, or for `interrupt()`.
    Json waitForEvents(const Json& createRequest, std::uint64_t after);
    std::uint64_t revision() const { return m_revision; }
    /// Wakes every waiting watch, such as at the start of an outage.
    void interrupt();

private:
    Json header() const;
    Json describe(const std::string& key, const StoredValue& stored) const;
    bool holds(const Json& comparison) const;
    void put(const Json& request);
    void erase(const Json& request);

    std::map<std::string, StoredValue> m_values;
    std::deque<StoreEvent> m_events;
    std::uint64_t m_revision = 1;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
};

} // namespace heatherchute
