#include "StoreModel.h"

#include <mutex>

namespace heatherchute {

/// Changes kept for watches that lag.
static constexpr std::size_t maxEvents = 10'000;

static std::string textOf(const Json& object, const char* field)
{
    return decodeBase64(object.value(field, ""));
}

static bool inRange(const std::string& key, const std::string& first, const std::string& end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

Json StoreModel::header() const
{
    return { { "revision", std::to_string(m_revision) } };
}

Json StoreModel::describe(const std::string& key, const StoredValue& stored) const
{
    return { { "key", encodeBase64(key) }, { "value", encodeBase64(stored.value) },
        { "create_revision", std::to_string(stored.createRevision) }, { "mod_revision", std::to_string(stored.modRevision) },
        { "version", std::to_string(stored.version) } };
}

Json StoreModel::range(const Json& request) const
{
    const auto first = textOf(request, "key");
    const auto end = textOf(request, "range_end");
    Json kvs = Json::array();
    for (auto it = m_values.lower_bound(first); it != m_values.end() && inRange(it->first, first, end); ++it)
        kvs.push_back(describe(it->first, it->second));
    const auto count = std::to_string(kvs.size());
    return { { "header", header() }, { "kvs", std::move(kvs) }, { "count", count } };
}

bool StoreModel::holds(const Json& comparison) const
{
    const auto found = m_values.find(textOf(comparison, "key"));
    const auto actual = found == m_values.end() ? 0 : found->second.modRevision;
    return std::to_string(actual) == comparison.value("mod_revision", "0");
}

void StoreModel::put(const Json& request)
{
    const auto key = textOf(request, "key");
    auto& stored = m_values[key];
    stored.value = textOf(request, "value");
    stored.modRevision = m_revision;
    if (stored.version++ == 0)
        stored.createRevision = m_revision;
    m_events.push_back({ key, m_revision, false });
}

void StoreModel::erase(const Json& request)
{
    const auto key = textOf(request, "key");
    if (m_values.erase(key) > 0)
        m_events.push_back({ key, m_revision, true });
}

Json StoreModel::transaction(const Json& request)
{
    const auto comparisons = request.value("compare", Json::array());
    bool succeeded = true;
    for (const auto& comparison : comparisons)
        succeeded = succeeded && holds(comparison);
    if (!succeeded)
        return { { "header", header() }, { "succeeded", false } };
    ++m_revision;
    for (const auto& operation : request.value("success", Json::array())) {
        if (operation.contains("request_put"))
            put(operation["request_put"]);
        else if (operation.contains("request_delete_range"))
            erase(operation["request_delete_range"]);
    }
    while (m_events.size() > maxEvents)
        m_events.pop_front();
    m_changed.notify_all();
    return { { "header", header() }, { "succeeded", true } };
}

Json StoreModel::waitForEvents(const Json& createRequest, std::uint64_t after)
{
    const auto first = textOf(createRequest, "key");
    const auto end = textOf(createRequest, "range_end");
    std::unique_lock lock(m_mutex);
    if (m_events.empty() || m_events.back().revision <= after)
        m_changed.wait(lock);
    Json events = Json::array();
    for (const auto& event : m_events) {
        if (event.revision <= after || !inRange(event.key, first, end))
            continue;
        const auto found = m_values.find(event.key);
        if (event.deleted || found == m_values.end())
            events.push_back({ { "type", "DELETE" }, { "kv", { { "key", encodeBase64(event.key) }, { "mod_revision", std::to_string(event.revision) } } } });
        else
            events.push_back({ { "type", "PUT" }, { "kv", describe(found->first, found->second) } });
    }
    return { { "result", { { "header", header() }, { "events", std::move(events) } } } };
}

void StoreModel::interrupt()
{
    m_changed.notify_all();
}

} // namespace heatherchute
