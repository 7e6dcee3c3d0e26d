/// @file
/// @brief Sums of work at targets.
#include "buckthornrail/registry/load_table.hpp"

namespace buckthornrail::registry {

void load_table::update(std::uint64_t session, const target_table& table, std::span<const std::uint32_t> row)
{
    const auto& records = table.records();
    if (row.size() != records.size() || records.size() > maxTargetsInLoadReport)
        return;
    forget(session);
    auto& own = m_told[session];
    auto work = row.begin();
    for (const auto& [id, record] : records) {
        if (*work > 0) {
            own[id] = *work;
            m_total[id] += *work;
        }
        ++work;
    }
}

void load_table::forget(std::uint64_t session)
{
    const auto known = m_told.extract(session);
    if (!known)
        return;
    for (const auto& [id, work] : known.mapped()) {
        const auto total = m_total.find(id);
        total->second -= work;
        if (total->second == 0)
            m_total.erase(total);
    }
}

target_loads load_table::othersOf(std::uint64_t session, const target_table& table) const
{
    target_loads row;
    const auto& records = table.records();
    if (records.size() > maxTargetsInLoadReport)
        return row;
    row.reserve(records.size());
    const auto own = m_told.find(session);
    for (const auto& [id, record] : records) {
        const auto total = m_total.find(id);
        std::uint64_t others = total == m_total.end() ? 0 : total->second;
        if (own != m_told.end() && own->second.contains(id))
            others -= own->second.at(id);
        row.push_back(static_cast<std::uint32_t>(others));
    }
    return row;
}

} // namespace buckthornrail::registry
