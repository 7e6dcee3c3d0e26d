/// @file
/// @brief The newest of what was heard of each target's limit.
#include "buckthornrail/registry/limit_table.hpp"

namespace buckthornrail::registry {

void limit_table::merge(
    std::span<const limit_report> news, limit_source source, const target_table& table, steady_time now)
{
    if (news.empty())
        return;
    std::erase_if(m_entries, [&](const auto& item) {
        const auto* record = table.find(item.first.id);
        const bool isOfLife = record != nullptr && record->incarnation() == item.first;
        return !isOfLife || now >= item.second.heardAt + m_options.retention;
    });
    for (const auto& one : news) {
        const auto* record = table.find(one.target.id);
        if (record == nullptr || record->incarnation() != one.target)
            continue;
        const steady_time heardAt = now - milliseconds(one.ageMs);
        const auto known = m_entries.find(one.target);
        if (known != m_entries.end()) {
            // On its way round the same news seems a little younger each time: only what is plainly newer is told on.
            const bool isSame = known->second.perSecond == one.perSecond;
            if (heardAt <= known->second.heardAt + (isSame ? m_options.refreshInterval : milliseconds(0)))
                continue;
        }
        m_entries[one.target] = { one.perSecond, heardAt, ++m_revision, source };
    }
}

template <typename Predicate>
std::vector<limit_report> limit_table::collect(steady_time now, const Predicate& isWanted) const
{
    std::vector<limit_report> found;
    for (const auto& [target, one] : m_entries) {
        if (!isWanted(one) || now >= one.heardAt + m_options.retention)
            continue;
        found.push_back({ target, one.perSecond, static_cast<std::uint32_t>(between(one.heardAt, now).count()) });
    }
    return found;
}

std::vector<limit_report> limit_table::changesSince(std::uint64_t revision, steady_time now) const
{
    if (revision >= m_revision)
        return {};
    return collect(now, [revision](const entry& one) { return one.revision > revision; });
}

std::vector<limit_report> limit_table::changesForLeader(std::uint64_t revision, steady_time now) const
{
    if (revision >= m_revision)
        return {};
    return collect(now,
        [revision](const entry& one) { return one.revision > revision && one.source == limit_source::Downstream; });
}

std::vector<limit_report> limit_table::limits(steady_time now) const
{
    return collect(now, [](const entry& one) { return one.perSecond.has_value(); });
}

} // namespace buckthornrail::registry
