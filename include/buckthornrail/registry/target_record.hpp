/// @file
/// @brief What targets without a sidecar announce of themselves, and the replicated table of them.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/enum_names.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornrail::registry {

enum class target_state : std::uint8_t {
    Ready,
    Draining, ///< takes no new work, finishes what it has
    Gone, ///< it said that it leaves
    Lost, ///< its heartbeats stopped; comes back with the next one
};

inline constexpr std::array targetStateNames {
    enum_name<target_state> { target_state::Ready, "ready" },
    enum_name<target_state> { target_state::Draining, "draining" },
    enum_name<target_state> { target_state::Gone, "gone" },
    enum_name<target_state> { target_state::Lost, "lost" },
};

/// Layers [first, end) of the model.
struct layer_range {
    std::uint32_t first = 0;
    std::uint32_t end = 0;
    [[nodiscard]] bool isEmpty() const { return first >= end; }
    [[nodiscard]] std::uint32_t size() const { return isEmpty() ? 0 : end - first; }
    bool operator==(const layer_range&) const = default;
};

/// One life of a target: what an earlier one held, was told or had earned says nothing of a later one under the same
/// id.
struct target_incarnation {
    std::string id;
    std::uint64_t startedMs = 0; ///< ms since the epoch by its own clock; 0: it doesn't say

    target_incarnation() = default;
    /// Of a target that doesn't tell its start, whose id is unique for each life.
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

/// @brief For logs: the id, with the start where it is known.
std::string text(const target_incarnation& one);

/// What a life of a target announces of itself.
struct target_record {
    std::string id;
    std::uint64_t startedMs = 0; ///< see target_incarnation
    std::string service;
    std::string address; ///< "IP:port"; may be used again by another service after this life
    std::string failureDomain;
    std::string accelerator; ///< empty for a service without layers
    std::uint32_t slots = 1; ///< requests at once
    target_state state = target_state::Ready;
    layer_range layers; ///< empty: none held
    std::uint64_t sequence = 0; ///< of its announcements; a lower one is late
    std::uint64_t revision = 0; ///< of the table at the record's last change
    [[nodiscard]] target_incarnation incarnation() const { return { id, startedMs }; }
    bool operator==(const target_record&) const = default;
};

/// Records that changed after a revision.
struct target_delta {
    std::uint64_t from = 0; ///< the receiver must hold this revision, unless `full`
    std::uint64_t to = 0;
    bool full = false; ///< replaces the receiver's whole table
    std::vector<target_record> records;
};

/// Place of an announcement among those under one id.
struct announcement_order {
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const announcement_order&) const = default; ///< lives first, then the sequence within one
};

/// @brief The one order of announcements of a target: the later life, and within it the higher sequence, is the newer.
[[nodiscard]] inline announcement_order orderOf(const target_record& record)
{
    return { record.startedMs, record.sequence };
}

/// @brief True when a target has said its last word, or its heartbeats have stopped.
[[nodiscard]] inline bool isGoneOrLost(const target_record& record)
{
    return record.state == target_state::Gone || record.state == target_state::Lost;
}

/// @brief True when two announcements differ in more than their sequence.
bool differsFrom(const target_record& a, const target_record& b);

/// @brief The replicated table: every controller applies the same records in the same order.
/// @ingroup registry
class target_table {
public:
    /// @brief Takes an announcement. Late ones and ones of lives that are gone change nothing. A later life replaces
    /// the record as a whole. An earlier start is taken only once the life held is over: the target's clock was stepped
    /// back. Whoever submits it must have asked the target, as a late announcement looks the same.
    /// @return true when the table changed
    bool apply(const target_record& announced);

    [[nodiscard]] target_delta changesSince(std::uint64_t since) const;
    [[nodiscard]] const target_record* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, target_record>& records() const { return m_records; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] std::uint64_t prunedRevision() const { return m_prunedRevision; }
    /// @brief Replaces the whole table, from a snapshot.
    void restore(std::vector<target_record> records, std::uint64_t revision, std::uint64_t prunedRevision);

private:
    /// @return whether the table changed
    bool applyNew(const target_record& record);
    bool applyToSameIncarnation(const target_record& known, const target_record& announced);
    /// @brief Whether a target that started later, and isn't over, has the address.
    [[nodiscard]] bool isAddressHeldByNewer(const target_record& record) const;
    void store(target_record record);
    /// A new life at an address: whoever had it before is over, also when its last word is missing.
    void endPreviousIncarnations(const target_record& record);
    void prune();

    std::map<std::string, target_record> m_records;
    std::uint64_t m_revision = 0;
    std::uint64_t m_prunedRevision = 0; ///< deltas from before it are not complete
};

/// @brief A receiver's copy, brought up to date by deltas.
class target_view {
public:
    /// @return false when the delta doesn't follow from what is held
    bool apply(const target_delta& delta);
    [[nodiscard]] const std::map<std::string, target_record>& records() const { return m_records; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<std::string, target_record> m_records;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
