/// @file
/// @brief What a version of the document changes against another, in slices that a receiver reads one at a time.
#pragma once

#include "buckthornrail/document/outline.hpp"

namespace buckthornrail::document {

/// Hashes of one kind of entry that a change takes away, and texts of those that it adds.
struct entry_changes {
    std::vector<entry_hash> removed;
    std::vector<std::string> added;
};

/// What a version changes, or a slice of that. An entry whose text differs is one removed and one added.
struct change {
    entry_changes routes;
    entry_changes workspaces;
    std::string rest; ///< empty: as before
};

/// One slice of a change.
struct change_slice {
    std::uint64_t from = 0; ///< version that the receiver must hold; 0: none, the slices make the whole document
    std::uint64_t to = 0;
    std::uint32_t number = 0; ///< from 0 on
    std::uint32_t count = 1; ///< of slices of this change
    std::uint64_t digest = 0; ///< of the document at `to`
    change part;
};

/// @brief The whole document as slices.
std::vector<change_slice> slicesOf(const outline& whole);

/// @brief Remembers hashes of a version's entries, to tell what the next one changes. Texts are the caller's to keep.
class change_tracker {
public:
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// @brief Takes the next version over. @return what it changes, in slices
    std::vector<change_slice> advanceTo(const outline& next);

private:
    std::uint64_t m_version = 0;
    std::vector<entry_hash> m_routes; ///< sorted, each once
    std::vector<entry_hash> m_workspaces; ///< the same
    entry_hash m_rest = 0;
};

} // namespace buckthornrail::document
