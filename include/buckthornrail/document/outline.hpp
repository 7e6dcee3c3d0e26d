/// @file
/// @brief A document's text, split into entries whose changes are sent one by one.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::document {

/// Identifies an entry by its text: two versions share an entry if its bytes are the same in both.
using entry_hash = std::uint64_t;

/// @brief The 64-bit XXH3 hash of a text.
entry_hash hashOf(std::string_view text);

/// A document split into its entries. The views point into the text that was split, or into `owned`.
struct outline {
    std::uint64_t version = 0;
    std::vector<std::string_view> routes;
    std::vector<std::string_view> workspaces;
    std::string rest; ///< a valid document with version 0 and without routes and workspaces
    std::shared_ptr<const std::string> owned; ///< normalized copy of the text; null: the views point into the original
};

/// @brief Order-independent digest of a document: the sum of the hashes of its entries and its rest. With it a receiver
/// verifies a change without reading the unchanged entries.
class content_digest {
public:
    void add(entry_hash entry) { m_sum += entry; }
    void remove(entry_hash entry) { m_sum -= entry; }
    [[nodiscard]] std::uint64_t sum() const { return m_sum; }

private:
    std::uint64_t m_sum = 0;
};

} // namespace buckthornrail::document
