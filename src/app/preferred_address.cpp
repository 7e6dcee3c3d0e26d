/// @file
/// @brief Rendezvous hashing.
#include "app/preferred_address.hpp"

#include <algorithm>
#include <xxhash.h>

namespace buckthornrail::app {

std::string preferredAddress(const std::string& key, const std::vector<std::string>& addresses)
{
    const auto rank = [&key](const std::string& address) {
        const std::string both = key + '@' + address;
        return XXH64(both.data(), both.size(), 0);
    };
    const auto best = std::max_element(
        addresses.begin(), addresses.end(), [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return best == addresses.end() ? std::string() : *best;
}

} // namespace buckthornrail::app
