/// @file
/// @brief Leases ordered by their next check.
#include "buckthornrail/registry/lease_table.hpp"

namespace buckthornrail::registry {

void lease_table::renew(const std::string& holder, steady_time deadline)
{
    const auto [known, isNew] = m_deadlines.try_emplace(holder, deadline);
    if (isNew || deadline < known->second)
        m_checks.push({ deadline, holder });
    known->second = deadline;
}

void lease_table::start(const std::string& holder, steady_time deadline)
{
    if (m_deadlines.try_emplace(holder, deadline).second)
        m_checks.push({ deadline, holder });
}

void lease_table::clear()
{
    m_deadlines.clear();
    m_checks = {};
}

std::vector<std::string> lease_table::takeExpired(steady_time now, std::size_t maxCount)
{
    std::vector<std::string> ended;
    while (!m_checks.empty() && m_checks.top().dueAt <= now && ended.size() < maxCount) {
        const std::string holder = m_checks.top().holder;
        m_checks.pop();
        const auto known = m_deadlines.find(holder);
        if (known == m_deadlines.end())
            continue; // already taken by an earlier check
        if (known->second > now) {
            m_checks.push({ known->second, holder });
            continue;
        }
        m_deadlines.erase(known);
        ended.push_back(holder);
    }
    return ended;
}

} // namespace buckthornrail::registry
