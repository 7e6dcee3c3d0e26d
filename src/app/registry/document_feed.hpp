/// @file
/// @brief What a registry sends gateways of the document: each change made and encoded once, for all of them.
#pragma once

#include "app/registry/registry_state.hpp"
#include "buckthornrail/gateway/dialect.hpp"

namespace buckthornrail::app {

/// @brief Packs a slice for its way to a gateway.
link::document_slice packSlice(const document::change_slice& slice);

/// @brief Unpacks a slice. @return MalformedMessage when it is damaged
tl::expected<document::change_slice, failure> unpackSlice(const link::document_slice& packed);

/// @brief Lives on the loop thread.
class document_feed {
public:
    explicit document_feed(const gateway::control_dialect& dialect)
        : m_dialect(dialect)
    {
    }

    /// @brief Takes the committed document over; does nothing when it is held already.
    void update(const versioned_text& committed);
    /// @brief Encoded messages that bring a gateway to the newest version, in order.
    /// @param held version that it has in force
    /// @param newest the text that was followed last
    [[nodiscard]] std::vector<const std::string*> messagesFrom(std::uint64_t held, const versioned_text& newest);
    [[nodiscard]] std::uint64_t version() const { return m_marks.version(); }
    /// @brief Services of the newest version.
    [[nodiscard]] const std::vector<gateway::service>& services() const { return m_rest.services; }

private:
    /// A version's change against the one before.
    struct step {
        std::uint64_t from = 0;
        std::vector<std::string> messages;
    };

    void readRest(const std::string& rest);

    const gateway::control_dialect& m_dialect;
    document::marks m_marks;
    std::deque<step> m_steps; ///< each begins where the one before ends; the last ends at the newest version
    std::vector<std::string> m_whole; ///< the newest version; empty: not asked for yet
    std::string m_restText;
    gateway::document_rest m_rest;
};

} // namespace buckthornrail::app
