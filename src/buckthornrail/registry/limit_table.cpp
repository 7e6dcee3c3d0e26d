/// @file
/// @brief Merging of rate limit reports by age.
#include "buckthornrail/registry/limit_table.hpp"

namespace buckthornrail::registry {

void limit_table::merge(
    std::span<const limit_report> reports, limit_source source, const target_table& table, steady_time now)
{
    if (reports.empty())
        return;
    std::erase_if(m_entries, [&](const auto& item) {
        const auto* record = table.find(item.first.id);
        const bool isCurrent = record != nullptr && record->incarnation() == item.first;
        return !isCurrent || now >= item.second.receivedAt + m_options.retention;
    });
    for (const auto& report : reports) {
        const auto* record = table.find(report.target.id);
        if (record == nullptr || record->incarnation() != report.target)
            continue;
        const steady_time receivedAt = now - milliseconds(report.ageMs);
        const auto known = m_entries.find(report.target);
        if (known != m_entries.end()) {
            // Ages don't count transit, so a report that returns through other controllers looks slightly newer each
            // time. Requiring a minimum difference for an unchanged limit keeps it from circulating forever.
            const bool isSame = known->second.perSecond == report.perSecond;
            if (receivedAt <= known->second.receivedAt + (isSame ? m_options.refreshInterval : milliseconds(0)))
                continue;
        }
        m_entries[report.target] = { report.perSecond, receivedAt, ++m_revision, source };
    }
}

template <typename Predicate>
std::vector<limit_report> limit_table::collect(steady_time now, const Predicate& isIncluded) const
{
    std::vector<limit_report> found;
    for (const auto& [target, limit] : m_entries) {
        if (!isIncluded(limit) || now >= limit.receivedAt + m_options.retention)
            continue;
        found.push_back(
            { target, limit.perSecond, static_cast<std::uint32_t>(between(limit.receivedAt, now).count()) });
    }
    return found;
}

std::vector<limit_report> limit_table::changesSince(std::uint64_t revision, steady_time now) const
{
    if (revision >= m_revision)
        return {};
    return collect(now, [revision](const entry& limit) { return limit.revision > revision; });
}

std::vector<limit_report> limit_table::changesForLeader(std::uint64_t revision, steady_time now) const
{
    if (revision >= m_revision)
        return {};
    return collect(now, [revision](const entry& limit) {
        return limit.revision > revision && limit.source == limit_source::Downstream;
    });
}

std::vector<limit_report> limit_table::limits(steady_time now) const
{
    return collect(now, [](const entry& limit) { return limit.perSecond.has_value(); });
}

} // namespace buckthornrail::registry
