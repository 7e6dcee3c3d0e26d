/// @file
/// @brief The replicated state of the controllers before gateways: the published document and the targets.
#pragma once

#include "app/shared/replicated_log.hpp"
#include "buckthornrail/registry/quarantine.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <deque>
#include <map>

namespace buckthornrail::app {

/// A text under its version.
struct versioned_text {
    std::uint64_t version = 0;
    std::string text;
};

/// @brief Takes an update over; an older one than what is held changes nothing.
/// @return why it can't be: it doesn't follow from what is held, or is damaged
tl::expected<void, failure> applyTextUpdate(versioned_text& held, const link::text_update& update);

/// @brief Reads a change of the table of targets.
/// @return MalformedMessage when it is damaged
tl::expected<registry::target_delta, failure> readTargetsUpdate(const link::text_update& update);

/// @brief Deterministic. The highest version of the document is in force; others change nothing.
class registry_state : public replicated_state {
public:
    std::string applyCommand(const std::string& bytes) override;
    [[nodiscard]] std::string saveState() const override;
    tl::expected<void, failure> restoreState(const std::string& bytes) override;

    [[nodiscard]] const versioned_text& document() const { return m_document; }
    [[nodiscard]] const registry::target_table& targets() const { return m_targets; }
    [[nodiscard]] const registry::quarantine_table& quarantine() const { return m_quarantine; }
    /// @brief What a receiver of that version lacks; nothing when it is current. Made once for all receivers.
    [[nodiscard]] std::vector<link::text_update> documentUpdate(std::uint64_t held);
    /// @brief The same of the table of targets, by revision. With 3,000 targets the whole table has 800 KB, and making
    /// it for each of 300 gateways anew took a leader four seconds, in which it answered nobody.
    [[nodiscard]] std::vector<link::text_update> targetsUpdate(std::uint64_t held);

private:
    /// A text as a patch that stands for itself: a tenth of its size or less.
    struct packed_text {
        std::uint64_t version = 0;
        std::string patch;
    };

    void publish(std::uint64_t version, std::string text);

    versioned_text m_document;
    std::deque<packed_text> m_earlier; ///< not saved: only for short updates
    std::map<std::uint64_t, std::string> m_patches; ///< to the document, by the version held; 0: none
    registry::target_table m_targets;
    std::map<std::uint64_t, link::text_update> m_targetUpdates; ///< by the revision held; to m_targetUpdatesTo
    std::uint64_t m_targetUpdatesTo = 0;
    registry::quarantine_table m_quarantine;
};

/// @brief A command that publishes a document, compressed: it goes to each member and onto its disk. @param id unique
std::string encodePublish(const std::string& id, const versioned_text& document);
/// @brief A command that takes announcements into the table.
std::string encodeTargets(const std::string& id, const std::vector<registry::target_record>& records);
/// @brief A command that changes what is held against requests.
std::string encodeQuarantine(const std::string& id, const registry::quarantine_change& change);

} // namespace buckthornrail::app
