/// @file
/// @brief State transitions of targets.
#include "buckthornrail/registry/target_record.hpp"

#include "buckthornrail/core/revision_delta.hpp"

#include <algorithm>

namespace buckthornrail::registry {
namespace {

/// Records of gone and lost targets are retained so that a stale announcement doesn't restore them. At most dozens of
/// targets are replaced at once, so this covers several replacements.
constexpr std::size_t maxGoneRecords = 128;

/// Whether an announcement is older than the known record, or repeats it. A target that the controllers marked as lost
/// thus comes back only with a newer announcement than the marked one.
bool isStale(const target_record& known, const target_record& announced)
{
    if (announced.state == target_state::Gone)
        return false;
    const auto order = orderOf(announced) <=> orderOf(known);
    return order < 0 || (order == 0 && announced.state == known.state);
}

} // namespace

std::string text(const target_incarnation& incarnation)
{
    return incarnation.startedMs == 0 ? incarnation.id : incarnation.id + "@" + std::to_string(incarnation.startedMs);
}

bool differsFrom(const target_record& a, const target_record& b)
{
    target_record same = b;
    same.sequence = a.sequence;
    same.revision = a.revision;
    return a != same;
}

bool target_table::apply(const target_record& announced)
{
    const auto found = m_records.find(announced.id);
    if (found == m_records.end())
        return applyNew(announced);
    const auto& known = found->second;
    // The platform's announcement that a target leaves may lack a start time; it refers to the known incarnation.
    const bool hasNoIncarnation = announced.state == target_state::Gone && announced.startedMs == 0;
    if (hasNoIncarnation || announced.startedMs == known.startedMs)
        return applyToSameIncarnation(known, announced);
    const bool isNewer = announced.startedMs > known.startedMs;
    const bool isReady = announced.state == target_state::Ready || announced.state == target_state::Draining;
    if (announced.state == target_state::Lost || (!isNewer && !(isReady && isGoneOrLost(known))))
        return false;
    if (isAddressHeldByNewer(announced))
        return false;
    store(announced);
    return true;
}

bool target_table::applyNew(const target_record& record)
{
    if (record.state == target_state::Lost || isAddressHeldByNewer(record))
        return false;
    store(record);
    return true;
}

bool target_table::applyToSameIncarnation(const target_record& known, const target_record& announced)
{
    target_record record = announced;
    if (announced.state == target_state::Gone) {
        // An announcement that a target leaves may contain the id alone.
        record = known;
        record.state = target_state::Gone;
        record.layers = {};
    }
    record.startedMs = known.startedMs;
    if (known.state == target_state::Gone || isStale(known, record))
        return false;
    if (known.state == target_state::Draining && announced.state == target_state::Ready)
        record.state = target_state::Draining;
    if (!differsFrom(known, record))
        return false;
    record.sequence = std::max(known.sequence, announced.sequence);
    record.revision = ++m_revision;
    m_records[record.id] = std::move(record);
    prune();
    return true;
}

bool target_table::isAddressHeldByNewer(const target_record& record) const
{
    if (record.startedMs == 0 || record.address.empty())
        return false;
    return std::any_of(m_records.begin(), m_records.end(), [&record](const auto& item) {
        const auto& other = item.second;
        return other.id != record.id && other.address == record.address && !isGoneOrLost(other)
            && other.startedMs > record.startedMs;
    });
}

void target_table::store(target_record record)
{
    endPreviousIncarnations(record);
    record.revision = ++m_revision;
    m_records[record.id] = std::move(record);
    prune();
}

target_delta target_table::changesSince(std::uint64_t since) const
{
    return buckthornrail::changesSince<target_delta>(m_records, since, m_revision, m_prunedRevision);
}

const target_record* target_table::find(const std::string& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void target_table::restore(std::vector<target_record> records, std::uint64_t revision, std::uint64_t prunedRevision)
{
    m_records.clear();
    for (auto& record : records) {
        std::string id = record.id;
        m_records.emplace(std::move(id), std::move(record));
    }
    m_revision = revision;
    m_prunedRevision = prunedRevision;
}

void target_table::endPreviousIncarnations(const target_record& record)
{
    for (auto& [id, known] : m_records) {
        const bool hasOtherAddress = known.address != record.address || record.address.empty();
        if (id == record.id || hasOtherAddress || known.state == target_state::Gone)
            continue;
        known.state = target_state::Gone;
        known.layers = {};
        known.revision = ++m_revision;
    }
}

void target_table::prune()
{
    std::vector<const target_record*> gone;
    for (const auto& [id, record] : m_records) {
        if (record.state == target_state::Gone || record.state == target_state::Lost)
            gone.push_back(&record);
    }
    if (gone.size() <= maxGoneRecords)
        return;
    const auto older = [](const target_record* a, const target_record* b) { return a->revision < b->revision; };
    const std::string oldest = (*std::min_element(gone.begin(), gone.end(), older))->id;
    m_prunedRevision = m_revision;
    m_records.erase(oldest);
}

bool target_view::apply(const target_delta& delta)
{
    if (!delta.full && (delta.from > m_revision || delta.to < m_revision))
        return false;
    if (delta.full)
        m_records.clear();
    for (const auto& record : delta.records)
        m_records[record.id] = record;
    m_revision = delta.to;
    return true;
}

} // namespace buckthornrail::registry
