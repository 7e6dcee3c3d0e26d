/// @file
/// @brief Document updates that a registry sends to gateways: each change is computed and encoded once for all of them.
#pragma once

#include "app/registry/registry_state.hpp"
#include "buckthornrail/gateway/dialect.hpp"

namespace buckthornrail::app {

/// @brief Encodes and compresses a slice for a gateway.
link::document_slice packSlice(const document::change_slice& slice);

/// @brief Decompresses and decodes a slice. @return MalformedMessage when it is damaged
tl::expected<document::change_slice, failure> unpackSlice(const link::document_slice& packed);

/// @brief Used on the loop thread only.
class document_feed {
public:
    explicit document_feed(const gateway::control_dialect& dialect)
        : m_dialect(dialect)
    {
    }

    /// @brief Makes the committed document the newest version, and encodes the change to it. Does nothing if it is the
    /// newest version already; logs a document that can't be split and ignores it.
    void update(const versioned_text& committed);
    /// @brief Encoded messages that bring a gateway to the newest version, in order.
    /// @param held version that the gateway has
    /// @param newest the text last passed to update()
    /// @return pointers that stay valid until the next call of update()
    [[nodiscard]] std::vector<const std::string*> messagesFrom(std::uint64_t held, const versioned_text& newest);
    [[nodiscard]] std::uint64_t version() const { return m_changeTracker.version(); }
    /// @brief Services of the newest version.
    [[nodiscard]] const std::vector<gateway::service>& services() const { return m_rest.services; }

private:
    /// The change from one version to the next.
    struct version_change {
        std::uint64_t from = 0;
        std::vector<std::string> messages;
    };

    void readRest(const std::string& rest);

    const gateway::control_dialect& m_dialect;
    document::change_tracker m_changeTracker;
    std::deque<version_change> m_changes; ///< consecutive; the last one leads to the newest version
    std::vector<std::string> m_fullDocument; ///< the newest version; empty: not requested yet
    std::string m_restText;
    gateway::document_rest m_rest;
};

} // namespace buckthornrail::app
