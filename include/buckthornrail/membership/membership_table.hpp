/// @file
/// @brief The replicated table of instances, and copies of it that are kept current by deltas.
#pragma once

#include "buckthornrail/core/result_code.hpp"
#include "buckthornrail/membership/instance.hpp"

#include <map>
#include <tl/expected.hpp>

namespace buckthornrail::membership {

/// A change of an instance, as replicated. Applying it is idempotent.
struct transition {
    instance_record record; ///< what the instance announced; its revision and drainRequested are ignored
    bool lossOnly = false; ///< the incarnation's lease has expired; only the record's id and incarnation are used
};

/// @brief The replicated table: every controller applies the same transitions in the same order.
/// @ingroup membership
class membership_table {
public:
    /// @brief Applies a transition. Announcements of an incarnation that has left have no effect, nor do those that set
    /// a draining incarnation back to ready, nor the loss of an incarnation other than the known one.
    /// @return whether the table changed
    bool apply(const transition& change);

    /// @brief Sets or clears an operator's drain request. It applies to later incarnations too.
    /// @return NotFound when there is no such instance
    tl::expected<void, failure> requestDrain(const instance_id& id, bool drain);

    /// @brief Records that changed after a revision.
    [[nodiscard]] membership_delta changesSince(std::uint64_t since) const;

    /// @return null for an unknown id
    [[nodiscard]] const instance_record* find(const instance_id& id) const;
    [[nodiscard]] const std::map<instance_id, instance_record>& records() const { return m_records; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /// @brief Replaces the whole table with a snapshot's.
    void restore(std::vector<instance_record> records, std::uint64_t revision, std::uint64_t prunedRevision);
    /// @brief Lowest revision since which deltas are complete, as records may have been pruned before it.
    [[nodiscard]] std::uint64_t prunedRevision() const { return m_prunedRevision; }

private:
    /// @brief Removes the oldest left or lost record if there are too many.
    void prune();

    std::map<instance_id, instance_record> m_records;
    std::uint64_t m_revision = 0;
    std::uint64_t m_prunedRevision = 0; ///< deltas since an earlier revision are incomplete
};

/// @brief A receiver's copy of the table, kept current by deltas.
class membership_view {
public:
    /// @return false when the delta is older than the copy, or when it is not a full one and its base is newer; nothing
    /// is changed then
    bool apply(const membership_delta& delta);
    [[nodiscard]] const std::map<instance_id, instance_record>& records() const { return m_records; }
    [[nodiscard]] const instance_record* find(const instance_id& id) const;
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<instance_id, instance_record> m_records;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::membership
