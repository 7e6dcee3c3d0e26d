/// @file
/// @brief Totals of loads at targets.
#include "buckthornrail/registry/load_table.hpp"

namespace buckthornrail::registry {

void load_table::update(std::uint64_t session, const target_table& table, std::span<const std::uint32_t> loads)
{
    const auto& records = table.records();
    if (loads.size() != records.size() || records.size() > maxTargetsInLoadReport)
        return;
    remove(session);
    auto& own = m_sessions[session];
    auto load = loads.begin();
    for (const auto& [id, record] : records) {
        if (*load > 0) {
            own[id] = *load;
            m_total[id] += *load;
        }
        ++load;
    }
}

void load_table::remove(std::uint64_t session)
{
    const auto known = m_sessions.extract(session);
    if (!known)
        return;
    for (const auto& [id, load] : known.mapped()) {
        const auto total = m_total.find(id);
        total->second -= load;
        if (total->second == 0)
            m_total.erase(total);
    }
}

target_loads load_table::othersOf(std::uint64_t session, const target_table& table) const
{
    target_loads loads;
    const auto& records = table.records();
    if (records.size() > maxTargetsInLoadReport)
        return loads;
    loads.reserve(records.size());
    const auto own = m_sessions.find(session);
    for (const auto& [id, record] : records) {
        const auto total = m_total.find(id);
        std::uint64_t others = total == m_total.end() ? 0 : total->second;
        if (own != m_sessions.end() && own->second.contains(id))
            others -= own->second.at(id);
        loads.push_back(static_cast<std::uint32_t>(others));
    }
    return loads;
}

} // namespace buckthornrail::registry
