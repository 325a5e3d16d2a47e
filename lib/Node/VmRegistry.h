/// The VMs that are registered in the store. Only entries that have changed are parsed, so the cost of
/// following the registry depends on its changes and not on the number of VMs.
#pragma once

#include "heatherchute/Work.h"
#include "platform/Adapter.h"

namespace heatherchute {

class VmRegistry {
public:
    /// Applies changes of the registry. If `isComplete`, `items` is its whole content, and VMs without an
    /// item are removed. Returns true if a report has changed.
    bool apply(const std::vector<platform::StoreItem>& items, bool isComplete);
    const std::map<std::string, cell::VmReport>& reports() const { return m_reports; }

private:
    bool remove(const std::string& id);
    bool update(const std::string& id, const platform::StoreItem& item);

    std::map<std::string, cell::VmReport> m_reports;
    /// Entries that cannot be parsed, with the reason. Each is logged once for each reason.
    std::map<std::string, std::string> m_unreadable;
};

} // namespace heatherchute
