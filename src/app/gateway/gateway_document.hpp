/// @file
/// @brief The active document of a gateway and the incomplete changes that follow it.
#pragma once

#include "app/registry/document_feed.hpp"
#include "buckthornrail/gateway/document_assembly.hpp"

namespace buckthornrail::app {

/// @brief Assembles changes of the document and activates them. Its version only ever increases. To be used only on the
/// event loop's thread.
class gateway_document {
public:
    explicit gateway_document(const gateway::control_dialect& dialect)
        : m_dialect(dialect)
        , m_assembly(dialect)
    {
    }

    /// @brief Decodes a slice of a change and adds it to the incomplete changes.
    /// @return why it was rejected: out of order or damaged. A slice with an unreadable entry is logged, not rejected:
    /// its version is skipped
    tl::expected<void, failure> add(const link::document_slice& slice);
    /// @brief Applies a text update, as controllers of the previous release send them.
    /// @return why it was rejected: it isn't based on the current text, or is damaged
    tl::expected<void, failure> add(const link::text_update& update);
    /// @brief Activates the changes that are complete.
    /// @return whether there were any; MalformedMessage if one isn't based on the active version: the full
    /// document is needed then
    tl::expected<bool, failure> activate();
    /// @brief Discards incomplete changes when the link has closed: they are sent again from the start.
    void discardPartial() { m_assembly.discard(); }

    /// @return the active version; 0: none
    [[nodiscard]] std::uint64_t version() const { return m_index ? m_index->version() : 0; }
    /// @return the version reported to controllers; 0: the full document is needed, as none is active or a change
    /// couldn't be applied
    [[nodiscard]] std::uint64_t reportedVersion() const { return m_needsFullDocument ? 0 : version(); }
    /// @return version of the current text; 0: none
    [[nodiscard]] std::uint64_t textVersion() const { return m_text.version; }
    /// @return the active document; null: none yet
    [[nodiscard]] std::shared_ptr<const gateway::route_index> index() const { return m_index; }

private:
    tl::expected<void, failure> activate(gateway::completed_change finished);
    /// @brief Logs a version that can't be read. The previous one stays active.
    static void logUnreadable(std::uint64_t version, const failure& error);

    const gateway::control_dialect& m_dialect;
    gateway::document_assembly m_assembly;
    std::shared_ptr<gateway::route_index> m_index;
    bool m_needsFullDocument = false; ///< changes can't be applied to the active version
    versioned_text m_text; ///< only while the controller is of the previous release, which sends texts
};

} // namespace buckthornrail::app
