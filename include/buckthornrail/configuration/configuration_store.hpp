/// @file
/// @brief The replicated configuration: versions, change ids, deltas.
#pragma once

#include "buckthornrail/configuration/document_tree.hpp"

#include <deque>
#include <optional>

namespace buckthornrail::configuration {

/// An operator's change.
struct change_command {
    std::string changeId; ///< drawn by the operator's client; a resend carries the same one
    configuration_version base = 0; ///< version that the change was made from
    std::string author;
    std::uint64_t wallSeconds = 0; ///< time of day, for the history
    std::string patch; ///< JSON Patch (RFC 6902) from the base to the new document
};

/// What became of a change; a resend gets the same answer.
struct change_result {
    std::string changeId;
    result_code code = result_code::Ok;
    std::string reason;
    configuration_version version = 0; ///< Ok: the new version; else the current one
};

/// A change in the history.
struct change_record {
    configuration_version version = 0;
    std::string changeId;
    std::string author;
    std::uint64_t wallSeconds = 0;
    std::string patch;
};

/// What a receiver is sent.
struct configuration_update {
    configuration_version from = 0; ///< 0: `text` is the whole document, else a patch from that version
    configuration_version to = 0;
    std::string text;
};

/// Everything that a snapshot keeps.
struct store_state {
    configuration_version version = 0;
    std::string text;
    std::vector<change_record> history;
    std::vector<change_result> results;
};

/// @brief The patch that turns one document text into another, both valid JSON.
std::string makePatch(const std::string& from, const std::string& to);

/// @brief Deterministic: every controller applies the same changes in the same order.
/// @ingroup configuration
class configuration_store {
public:
    /// @brief Applies a change, or gives the first answer again.
    change_result apply(const change_command& change);

    /// @brief The answer that a change id got, if it is still kept.
    [[nodiscard]] std::optional<change_result> resultOf(const std::string& changeId) const;
    /// @brief What a receiver at `held` lacks; nothing when it is current.
    [[nodiscard]] std::optional<configuration_update> updateFor(configuration_version held) const;

    [[nodiscard]] configuration_version version() const { return m_state.version; }
    [[nodiscard]] const std::string& text() const;
    [[nodiscard]] const document& current() const { return m_tree.current(); }
    [[nodiscard]] const std::vector<change_record>& history() const { return m_state.history; }
    [[nodiscard]] store_state state() const;
    /// @return InvalidDocument when the state's text can't be read.
    tl::expected<void, failure> restore(store_state state);

private:
    change_result recordResult(change_result result);

    store_state m_state; ///< its text is kept in m_tree
    document_tree m_tree;
    mutable std::string m_text; ///< of the tree, made when asked for; empty: not made
};

/// @brief A receiver's copy. It takes only higher versions. After an error it needs a whole document.
class configuration_view {
public:
    /// @return true when a higher version is now held; false when it was old; an error when a delta doesn't fit.
    tl::expected<bool, failure> apply(const configuration_update& update);
    [[nodiscard]] configuration_version version() const { return m_version; }
    [[nodiscard]] const document& current() const { return m_tree.current(); }

private:
    configuration_version m_version = 0;
    document_tree m_tree;
};

} // namespace buckthornrail::configuration
