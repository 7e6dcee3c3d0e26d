/// @file
/// @brief State that the registry's controllers replicate: the published document, the targets and the quarantine.
#pragma once

#include "app/shared/replicated_log.hpp"
#include "buckthornrail/registry/quarantine.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <deque>
#include <map>

namespace buckthornrail::app {

/// A text and its version.
struct versioned_text {
    std::uint64_t version = 0;
    std::string text;
};

/// @brief Applies an update; one that isn't newer than the held text changes nothing.
/// @return MalformedMessage when the update is based on another version than the held one, or is damaged
tl::expected<void, failure> applyTextUpdate(versioned_text& held, const link::text_update& update);

/// @brief Decodes an update of the target table.
/// @return MalformedMessage when it is damaged
tl::expected<registry::target_delta, failure> readTargetsUpdate(const link::text_update& update);

/// @brief Deterministic state machine. The highest version of the document is active; publishing a lower or the same
/// one changes nothing.
class registry_state : public state_machine {
public:
    std::string applyCommand(const std::string& bytes) override;
    [[nodiscard]] std::string saveState() const override;
    tl::expected<void, failure> restoreState(const std::string& bytes) override;

    [[nodiscard]] const versioned_text& document() const { return m_document; }
    [[nodiscard]] const registry::target_table& targets() const { return m_targets; }
    [[nodiscard]] const registry::quarantine_table& quarantine() const { return m_quarantine; }
    /// @brief The update to the newest document, computed once for all receivers that hold the same version.
    /// @param held the receiver's version; 0: none
    /// @return one update; empty when the receiver is up to date
    [[nodiscard]] std::vector<link::text_update> documentUpdate(std::uint64_t held);
    /// @brief The update to the newest target table, computed once for all receivers that hold the same revision. With
    /// 3,000 targets the whole table takes 800 KB; encoding it separately for each of 300 gateways blocked a leader for
    /// four seconds.
    /// @param held the receiver's revision
    /// @return one update; empty when the receiver is up to date
    [[nodiscard]] std::vector<link::text_update> targetsUpdate(std::uint64_t held);

private:
    /// A text stored as a patch against the empty text: a tenth of its size or less.
    struct compressed_text {
        std::uint64_t version = 0;
        std::string patch;
    };

    void publish(std::uint64_t version, std::string text);

    versioned_text m_document;
    std::deque<compressed_text> m_earlierDocuments; ///< bases of short updates; not part of a snapshot
    std::map<std::uint64_t, std::string> m_patches; ///< to the newest document, by base version; 0: no base
    registry::target_table m_targets;
    std::map<std::uint64_t, link::text_update> m_targetUpdates; ///< to m_targetUpdatesRevision, by base revision
    std::uint64_t m_targetUpdatesRevision = 0;
    registry::quarantine_table m_quarantine;
};

/// @brief Encodes a command that publishes a document. The document is compressed, since the command is sent to every
/// member and written to its disk.
/// @param id unique
std::string encodePublish(const std::string& id, const versioned_text& document);
/// @brief Encodes a command that applies announcements to the target table. @param id unique
std::string encodeTargets(const std::string& id, const std::vector<registry::target_record>& records);
/// @brief Encodes a command that changes the quarantine. @param id unique
std::string encodeQuarantine(const std::string& id, const registry::quarantine_change& change);

} // namespace buckthornrail::app
