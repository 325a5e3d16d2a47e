#include "heatherchute/Cell.h"

#include <algorithm>

namespace heatherchute::cell {

void CellDesk::setEvacuatedDomains(std::set<std::string> domains, Now now)
{
    const auto before = m_evacuatedDomains.value_or(std::set<std::string>());
    const auto report = [this](std::string_view event, const std::string& domain) {
        const auto vms = std::count_if(m_vms.begin(), m_vms.end(), [&](const auto& entry) { return entry.second.listed && entry.second.report.failureDomain == domain; });
        m_actions.emplace_back(Decision { event, { { "failure_domain", domain }, { "vms", vms } } });
    };
    m_evacuatedDomains = std::move(domains);
    for (const auto& domain : *m_evacuatedDomains) {
        if (!before.contains(domain))
            report("evacuation_in_force", domain);
    }
    for (const auto& domain : before) {
        if (m_evacuatedDomains->contains(domain))
            continue;
        report("evacuation_ended", domain);
        m_emptiedDomains.erase(domain);
    }
    m_nextEmptiedCheckAt = now.steady;
    requestPlacementPass();
}

std::map<std::string, std::size_t> CellDesk::placementsInEvacuatedDomains() const
{
    std::map<std::string, std::size_t> counts;
    if (!m_evacuatedDomains)
        return counts;
    for (const auto& domain : *m_evacuatedDomains)
        counts[domain] = 0;
    for (const auto& [id, vm] : m_vms) {
        if (isEvacuated(vm))
            counts[vm.report.failureDomain] += vm.placements.size();
    }
    return counts;
}

void CellDesk::reportEmptiedDomains(Now now)
{
    constexpr Milliseconds checkInterval { 500 };
    if (!m_evacuatedDomains || m_evacuatedDomains->empty() || now.steady < m_nextEmptiedCheckAt)
        return;
    m_nextEmptiedCheckAt = now.steady + checkInterval;
    for (const auto& [domain, placements] : placementsInEvacuatedDomains()) {
        if (placements == 0 && m_emptiedDomains.insert(domain).second)
            m_actions.emplace_back(Decision { "domain_emptied", { { "failure_domain", domain } } });
    }
}

} // namespace heatherchute::cell
