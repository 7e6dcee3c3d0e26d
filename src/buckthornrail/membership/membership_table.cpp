/// @file
/// @brief Replicated table of instances: transitions, deltas and pruning.
#include "buckthornrail/membership/membership_table.hpp"

#include "buckthornrail/core/revision_delta.hpp"

#include <algorithm>

namespace buckthornrail::membership {
namespace {

/// Maximum number of left and lost records, not counting those with a drain request.
constexpr std::size_t maxLeftOrLostRecords = 512;

bool isLeftOrLost(const instance_record& record)
{
    return record.state == instance_state::Left || record.state == instance_state::Lost;
}

} // namespace

bool membership_table::apply(const transition& change)
{
    const auto found = m_records.find(change.record.id);
    if (change.lossOnly) {
        if (found == m_records.end() || found->second.incarnation != change.record.incarnation
            || isLeftOrLost(found->second))
            return false;
        found->second.state = instance_state::Lost;
        found->second.revision = ++m_revision;
        prune();
        return true;
    }
    instance_record record = change.record;
    if (found != m_records.end()) {
        const auto& known = found->second;
        const bool isSameIncarnation = known.incarnation == record.incarnation;
        if (isSameIncarnation && known.state == instance_state::Left)
            return false;
        if (isSameIncarnation && known.state == instance_state::Draining && record.state == instance_state::Ready)
            return false;
        record.drainRequested = known.drainRequested;
        record.revision = known.revision;
        if (record == known)
            return false;
    }
    record.revision = ++m_revision;
    m_records[record.id] = std::move(record);
    prune();
    return true;
}

tl::expected<void, failure> membership_table::requestDrain(const instance_id& id, bool drain)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return tl::make_unexpected(failure { result_code::NotFound, "unknown instance " + id });
    if (found->second.drainRequested == drain)
        return {};
    found->second.drainRequested = drain;
    found->second.revision = ++m_revision;
    return {};
}

membership_delta membership_table::changesSince(std::uint64_t since) const
{
    return buckthornrail::changesSince<membership_delta>(m_records, since, m_revision, m_prunedRevision);
}

const instance_record* membership_table::find(const instance_id& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void membership_table::restore(
    std::vector<instance_record> records, std::uint64_t revision, std::uint64_t prunedRevision)
{
    m_records.clear();
    for (auto& record : records) {
        const instance_id id = record.id;
        m_records.emplace(id, std::move(record));
    }
    m_revision = revision;
    m_prunedRevision = prunedRevision;
}

void membership_table::prune()
{
    std::vector<const instance_record*> removable;
    for (const auto& [id, record] : m_records) {
        if (isLeftOrLost(record) && !record.drainRequested)
            removable.push_back(&record);
    }
    if (removable.size() <= maxLeftOrLostRecords)
        return;
    const auto older = [](const instance_record* a, const instance_record* b) { return a->revision < b->revision; };
    const instance_id oldest = (*std::min_element(removable.begin(), removable.end(), older))->id;
    m_prunedRevision = m_revision;
    m_records.erase(oldest);
}

bool membership_view::apply(const membership_delta& delta)
{
    if (delta.to < m_revision)
        return false;
    if (!delta.full && delta.from > m_revision)
        return false;
    if (delta.full)
        m_records.clear();
    for (const auto& record : delta.records)
        m_records[record.id] = record;
    m_revision = delta.to;
    return true;
}

const instance_record* membership_view::find(const instance_id& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

} // namespace buckthornrail::membership
