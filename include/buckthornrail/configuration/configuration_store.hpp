/// @file
/// @brief The replicated configuration: its versions, and idempotent changes and deltas between them.
#pragma once

#include "buckthornrail/configuration/document_tree.hpp"

#include <deque>
#include <optional>

namespace buckthornrail::configuration {

/// An operator's change of the configuration.
struct change_command {
    std::string changeId; ///< drawn by the operator's client; a resend has the same id
    configuration_version base = 0; ///< version that the change is based on
    std::string author;
    std::uint64_t wallSeconds = 0; ///< wall clock, seconds since the epoch; for the history
    std::string patch; ///< JSON Patch (RFC 6902) from the base document to the new one
};

/// Result of a change. A resend of the change gets the same result.
struct change_result {
    std::string changeId;
    result_code code = result_code::Ok;
    std::string reason;
    configuration_version version = 0; ///< the new version if Ok, else the current one
};

/// An accepted change in the history.
struct change_record {
    configuration_version version = 0;
    std::string changeId;
    std::string author;
    std::uint64_t wallSeconds = 0;
    std::string patch;
};

/// Update of a receiver: a whole document or a delta.
struct configuration_update {
    configuration_version from = 0; ///< 0: `text` is the whole document; else it is a JSON Patch from this version
    configuration_version to = 0;
    std::string text;
};

/// Contents of a snapshot.
struct store_state {
    configuration_version version = 0;
    std::string text;
    std::vector<change_record> history;
    std::vector<change_result> results;
};

/// @brief Computes the JSON Patch (RFC 6902) from one document text to another. Both must be valid JSON.
std::string makePatch(const std::string& from, const std::string& to);

/// @brief Versioned configuration document. Deterministic, as every controller applies the same changes in the same
/// order.
/// @ingroup configuration
class configuration_store {
public:
    /// @brief Applies a change. @return its result; for a resent change, the result of the first time
    change_result apply(const change_command& change);

    /// @brief Result of an earlier change, if it is still stored.
    [[nodiscard]] std::optional<change_result> resultOf(const std::string& changeId) const;
    /// @brief Update for a receiver that has a version; nothing if that is the current one.
    [[nodiscard]] std::optional<configuration_update> updateFor(configuration_version receiverVersion) const;

    [[nodiscard]] configuration_version version() const { return m_state.version; }
    [[nodiscard]] const std::string& text() const;
    [[nodiscard]] const document& current() const { return m_tree.current(); }
    [[nodiscard]] const std::vector<change_record>& history() const { return m_state.history; }
    [[nodiscard]] store_state state() const;
    /// @brief Replaces the whole state.
    /// @return InvalidDocument if the text of the state can't be parsed; nothing is changed then
    tl::expected<void, failure> restore(store_state state);

private:
    change_result recordResult(change_result result);

    store_state m_state; ///< except its text, which m_tree holds
    document_tree m_tree;
    mutable std::string m_text; ///< cached text of m_tree; empty: not cached
};

/// @brief A receiver's copy of the configuration. Ignores updates to a version that is not higher than its own. After
/// an error it needs a whole document.
class configuration_view {
public:
    /// @return true if the version has increased, false if the update is outdated; VersionConflict if the delta starts
    /// from another version, InvalidDocument if it can't be applied
    tl::expected<bool, failure> apply(const configuration_update& update);
    [[nodiscard]] configuration_version version() const { return m_version; }
    [[nodiscard]] const document& current() const { return m_tree.current(); }

private:
    configuration_version m_version = 0;
    document_tree m_tree;
};

} // namespace buckthornrail::configuration
