/// @file
/// @brief What targets without a sidecar announce of themselves, and the replicated table of them.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/enum_names.hpp"

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

/// One life of a target.
struct target_record {
    std::string id; ///< unique for each start
    std::string service;
    std::string address; ///< "IP:port"; may be used again by another service after this life
    std::string failureDomain;
    std::string accelerator; ///< empty for a service without layers
    std::uint32_t slots = 1; ///< requests at once
    target_state state = target_state::Ready;
    layer_range layers; ///< empty: none held
    std::uint64_t sequence = 0; ///< of its announcements; a lower one is late
    std::uint64_t revision = 0; ///< of the table at the record's last change
    bool operator==(const target_record&) const = default;
};

/// Records that changed after a revision.
struct target_delta {
    std::uint64_t from = 0; ///< the receiver must hold this revision, unless `full`
    std::uint64_t to = 0;
    bool full = false; ///< replaces the receiver's whole table
    std::vector<target_record> records;
};

/// @brief True when two announcements differ in more than their sequence.
bool differsFrom(const target_record& a, const target_record& b);

/// @brief The replicated table: every controller applies the same records in the same order.
/// @ingroup registry
class target_table {
public:
    /// @brief Takes an announcement. Late ones and ones of targets that are gone change nothing.
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
    /// A new life at an address: whoever had it before is over, also when its last word is missing.
    void endEarlierLives(const target_record& record);
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
