#include "VmRegistry.h"

#include <set>

namespace heatherchute {

bool VmRegistry::remove(const std::string& id)
{
    m_unreadable.erase(id);
    return m_reports.erase(id) > 0;
}

bool VmRegistry::update(const std::string& id, const platform::StoreItem& item)
{
    std::string reason;
    auto report = platform::parseVmReport(id, item.value, reason);
    if (!report) {
        if (std::exchange(m_unreadable[id], reason) != reason)
            logEvent(LogLevel::Warning, "vm_report_unreadable", { { "vm", id }, { "reason", reason }, { "bytes", item.value.size() }, { "revision", item.revision } });
        return m_reports.erase(id) > 0;
    }
    m_unreadable.erase(id);
    const auto known = m_reports.find(id);
    if (known != m_reports.end() && known->second == *report)
        return false;
    m_reports.insert_or_assign(id, std::move(*report));
    return true;
}

bool VmRegistry::apply(const std::vector<platform::StoreItem>& items, bool isComplete)
{
    bool isChanged = false;
    std::set<std::string> present;
    for (const auto& item : items) {
        const auto id = platform::vmIdOfKey(item.key);
        isChanged = (item.deleted ? remove(id) : update(id, item)) || isChanged;
        present.insert(id);
    }
    if (!isComplete)
        return isChanged;
    std::erase_if(m_unreadable, [&](const auto& entry) { return !present.contains(entry.first); });
    return std::erase_if(m_reports, [&](const auto& entry) { return !present.contains(entry.first); }) > 0 || isChanged;
}

} // namespace heatherchute
