/// @file
/// @brief A document's text as entries that change one by one.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::document {

/// Tells entries apart by their text: versions share an entry if it has the same bytes in both.
using entry_hash = std::uint64_t;

/// @brief XXH3 of a text.
entry_hash hashOf(std::string_view text);

/// A document cut into its entries. The views are into the text that was cut, or into `owned`.
struct outline {
    std::uint64_t version = 0;
    std::vector<std::string_view> routes;
    std::vector<std::string_view> workspaces;
    std::string rest; ///< a document of its own, of version 0, without routes and workspaces
    std::shared_ptr<const std::string> owned; ///< empty: the text that was cut
};

/// @brief Sum over a document's entries and its rest, in any order: a receiver checks a change by it without reading
/// what the change leaves alone.
class content_digest {
public:
    void add(entry_hash entry) { m_sum += entry; }
    void remove(entry_hash entry) { m_sum -= entry; }
    [[nodiscard]] std::uint64_t sum() const { return m_sum; }

private:
    std::uint64_t m_sum = 0;
};

} // namespace buckthornrail::document
