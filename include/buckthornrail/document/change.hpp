/// @file
/// @brief Changes between two versions of the document, in slices that a receiver decodes one at a time.
#pragma once

#include "buckthornrail/document/outline.hpp"

namespace buckthornrail::document {

/// Changed entries of one kind: hashes of the removed ones and texts of the added ones.
struct entry_changes {
    std::vector<entry_hash> removed;
    std::vector<std::string> added;
};

/// A change between versions, or a part of it. An entry whose text differs is removed and added again.
struct change {
    entry_changes routes;
    entry_changes workspaces;
    std::string rest; ///< empty: unchanged
};

/// One slice of a change.
struct change_slice {
    std::uint64_t from = 0; ///< base version; 0: none, the slices hold the whole document
    std::uint64_t to = 0; ///< version that the change leads to
    std::uint32_t number = 0; ///< position in the change, from 0
    std::uint32_t count = 1; ///< number of slices of the change
    std::uint64_t digest = 0; ///< content_digest of the document at version `to`
    change part;
};

/// @brief Splits the whole document into slices.
std::vector<change_slice> slicesOf(const outline& whole);

/// @brief Computes the change from each version to the next. It keeps only the hashes of the last version's entries.
class change_tracker {
public:
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// @brief Makes the next version the current one. @return the change to it, in slices; at least one
    std::vector<change_slice> advanceTo(const outline& next);

private:
    std::uint64_t m_version = 0;
    std::vector<entry_hash> m_routes; ///< sorted, without duplicates
    std::vector<entry_hash> m_workspaces; ///< sorted, without duplicates
    entry_hash m_rest = 0;
};

} // namespace buckthornrail::document
