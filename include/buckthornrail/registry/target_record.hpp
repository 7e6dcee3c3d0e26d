/// @file
/// @brief Records that targets without a sidecar announce, and the replicated table of them.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/enum_names.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornrail::registry {

/// Lifecycle state of a target.
enum class target_state : std::uint8_t {
    Ready,
    Draining, ///< accepts no new work and finishes its requests in flight
    Gone, ///< announced that it leaves, or was replaced; final for the incarnation
    Lost, ///< its heartbeats stopped; a newer announcement restores it
};

inline constexpr std::array targetStateNames {
    enum_name<target_state> { target_state::Ready, "ready" },
    enum_name<target_state> { target_state::Draining, "draining" },
    enum_name<target_state> { target_state::Gone, "gone" },
    enum_name<target_state> { target_state::Lost, "lost" },
};

/// Half-open range [first, end) of a model's layers.
struct layer_range {
    std::uint32_t first = 0;
    std::uint32_t end = 0;
    [[nodiscard]] bool isEmpty() const { return first >= end; }
    [[nodiscard]] std::uint32_t size() const { return isEmpty() ? 0 : end - first; }
    bool operator==(const layer_range&) const = default;
};

/// Identifies one run of a target's process. State, orders and measurements of an earlier incarnation don't apply to a
/// later one with the same id.
struct target_incarnation {
    std::string id;
    std::uint64_t startedMs = 0; ///< start time in ms since the epoch by the target's clock; 0: not announced

    target_incarnation() = default;
    /// Without a start time, the id must be unique to each incarnation.
    target_incarnation(std::string name, std::uint64_t started = 0) // NOLINT(google-explicit-constructor)
        : id(std::move(name))
        , startedMs(started)
    {
    }
    target_incarnation(const char* name) // NOLINT(google-explicit-constructor)
        : id(name)
    {
    }

    [[nodiscard]] bool empty() const { return id.empty(); }
    auto operator<=>(const target_incarnation&) const = default;
};

/// @brief Formats an incarnation for logs: the id, followed by "@" and the start time if that is known.
std::string text(const target_incarnation& incarnation);

/// The announcement of a target's incarnation.
struct target_record {
    std::string id;
    std::uint64_t startedMs = 0; ///< see target_incarnation
    std::string service;
    std::string address; ///< "IP:port"; a later incarnation of any service may reuse it
    std::string failureDomain;
    std::string accelerator; ///< empty for a service without layers
    std::uint32_t slots = 1; ///< maximum concurrent requests
    target_state state = target_state::Ready;
    layer_range layers; ///< loaded layers; may be empty
    std::uint64_t sequence = 0; ///< number of the announcement; a lower one than the known is stale
    std::uint64_t revision = 0; ///< of the table at the record's last change
    [[nodiscard]] target_incarnation incarnation() const { return { id, startedMs }; }
    bool operator==(const target_record&) const = default;
};

/// Records that changed after a revision.
struct target_delta {
    std::uint64_t from = 0; ///< lowest revision that the receiver must have, unless `full`
    std::uint64_t to = 0; ///< revision that the receiver has afterwards
    bool full = false; ///< replaces the receiver's whole table
    std::vector<target_record> records;
};

/// Sort key of the announcements under one id.
struct announcement_order {
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const announcement_order&) const = default; ///< by incarnation, then by sequence
};

/// @brief Sort key of a record: the later incarnation is newer, and within an incarnation the higher sequence.
[[nodiscard]] inline announcement_order orderOf(const target_record& record)
{
    return { record.startedMs, record.sequence };
}

/// @brief Whether a target has announced that it leaves, or its heartbeats have stopped.
[[nodiscard]] inline bool isGoneOrLost(const target_record& record)
{
    return record.state == target_state::Gone || record.state == target_state::Lost;
}

/// @brief Whether two records differ in more than their sequence and revision.
bool differsFrom(const target_record& a, const target_record& b);

/// @brief The replicated target table: every controller applies the same records in the same order.
/// @ingroup registry
class target_table {
public:
    /// @brief Applies an announcement. Stale announcements and those of incarnations that are gone have no effect. A
    /// later incarnation replaces the whole record. An earlier start time is accepted only when the known incarnation
    /// is gone or lost, which means that the target's clock was set back. A stale announcement looks the same, so the
    /// submitter must have queried the target first.
    /// @return whether the table changed
    bool apply(const target_record& announced);

    /// @brief Records that changed after a revision.
    [[nodiscard]] target_delta changesSince(std::uint64_t since) const;
    /// @return null for an unknown id
    [[nodiscard]] const target_record* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, target_record>& records() const { return m_records; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @brief Lowest revision since which deltas are complete, as records may have been pruned before it.
    [[nodiscard]] std::uint64_t prunedRevision() const { return m_prunedRevision; }
    /// @brief Replaces the whole table with a snapshot's.
    void restore(std::vector<target_record> records, std::uint64_t revision, std::uint64_t prunedRevision);

private:
    /// @brief Applies the first announcement of an id. @return whether the table changed
    bool applyNew(const target_record& record);
    /// @brief Applies a further announcement of the known incarnation. @return whether the table changed
    bool applyToSameIncarnation(const target_record& known, const target_record& announced);
    /// @brief Whether another target that started later, and is neither gone nor lost, has the address.
    [[nodiscard]] bool isAddressHeldByNewer(const target_record& record) const;
    void store(target_record record);
    /// @brief Marks other targets at the record's address as gone, also when they didn't announce that they left.
    void endPreviousIncarnations(const target_record& record);
    /// @brief Removes the oldest gone or lost record if there are too many.
    void prune();

    std::map<std::string, target_record> m_records;
    std::uint64_t m_revision = 0;
    std::uint64_t m_prunedRevision = 0; ///< deltas since an earlier revision are incomplete
};

/// @brief A receiver's copy of the target table, kept current by deltas.
class target_view {
public:
    /// @return false when the delta doesn't apply to the copy's revision; nothing is changed then
    bool apply(const target_delta& delta);
    [[nodiscard]] const std::map<std::string, target_record>& records() const { return m_records; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<std::string, target_record> m_records;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
