/// @file
/// @brief The document that a gateway has in force, and what has come of the next ones.
#pragma once

#include "app/registry/document_feed.hpp"
#include "buckthornrail/gateway/document_assembly.hpp"

namespace buckthornrail::app {

/// @brief Lives on the loop thread. Its versions only ever get higher.
class gateway_document {
public:
    explicit gateway_document(const gateway::control_dialect& dialect)
        : m_dialect(dialect)
        , m_assembly(dialect)
    {
    }

    /// @brief Decodes a slice. @return why it can't be taken: out of order or damaged
    tl::expected<void, failure> take(const link::document_slice& slice);
    /// @brief Takes the text over that a controller of the program before sends.
    /// @return why it can't be taken: it doesn't follow from the text held, or is damaged
    tl::expected<void, failure> take(const link::text_update& update);
    /// @brief Puts changes that are whole in force. @return whether there were any; MalformedMessage when one doesn't
    /// follow from what is in force: the whole is needed then
    tl::expected<bool, failure> activate();
    /// @brief The link ended: what is missing comes anew.
    void discardPartial() { m_assembly.drop(); }

    /// @brief In force; 0: none.
    [[nodiscard]] std::uint64_t version() const { return m_index ? m_index->version() : 0; }
    /// @brief What controllers are told to be held; 0: the whole is needed, as none is held or a change didn't fit.
    [[nodiscard]] std::uint64_t reportedVersion() const { return m_needsFullDocument ? 0 : version(); }
    /// @brief Of the text that is held; 0: none.
    [[nodiscard]] std::uint64_t textVersion() const { return m_text.version; }
    /// @brief Empty: none yet.
    [[nodiscard]] std::shared_ptr<const gateway::route_index> index() const { return m_index; }

private:
    tl::expected<void, failure> activate(gateway::finished_change finished);
    /// @brief Logs a version that can't be read. The one before stays in force.
    static void logUnreadable(std::uint64_t version, const failure& fault);

    const gateway::control_dialect& m_dialect;
    gateway::document_assembly m_assembly;
    std::shared_ptr<gateway::route_index> m_index;
    bool m_needsFullDocument = false; ///< changes from what is in force lead nowhere
    versioned_text m_text; ///< only while the controller is of the program before, which sends texts
};

} // namespace buckthornrail::app
