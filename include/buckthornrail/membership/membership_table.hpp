/// @file
/// @brief The replicated table of instances: every controller applies the same transitions in the same order.
#pragma once

#include "buckthornrail/core/result_code.hpp"
#include "buckthornrail/membership/instance.hpp"

#include <map>
#include <tl/expected.hpp>

namespace buckthornrail::membership {

/// A transition. Applying it twice has the effect of once.
struct transition {
    instance_record record; ///< new announcement; revision and drainRequested are not used
    bool lossOnly = false; ///< the holder of this incarnation lost its lease; the rest of the record is not used
};

/// @ingroup membership
class membership_table {
public:
    /// @brief Applies a transition.
    /// @return true when the table changed. An announcement of an incarnation that is known as left is refused.
    bool apply(const transition& change);

    /// @brief Sets or clears an operator's wish to drain.
    /// @return NotFound when there is no such instance.
    tl::expected<void, failure> requestDrain(const instance_id& id, bool drain);

    /// @brief What a receiver that holds `since` lacks.
    [[nodiscard]] membership_delta changesSince(std::uint64_t since) const;

    [[nodiscard]] const instance_record* find(const instance_id& id) const;
    [[nodiscard]] const std::map<instance_id, instance_record>& records() const { return m_records; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /// @brief Replaces the whole table, from a snapshot.
    void restore(std::vector<instance_record> records, std::uint64_t revision, std::uint64_t prunedRevision);
    [[nodiscard]] std::uint64_t prunedRevision() const { return m_prunedRevision; }

private:
    void prune();

    std::map<instance_id, instance_record> m_records;
    std::uint64_t m_revision = 0;
    std::uint64_t m_prunedRevision = 0; ///< deltas from before it are not complete
};

/// @brief A receiver's copy, brought up to date by deltas.
class membership_view {
public:
    /// @return false when the delta doesn't follow from what is held.
    bool apply(const membership_delta& delta);
    [[nodiscard]] const std::map<instance_id, instance_record>& records() const { return m_records; }
    [[nodiscard]] const instance_record* find(const instance_id& id) const;
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<instance_id, instance_record> m_records;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::membership
