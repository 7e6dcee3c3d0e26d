/// @file
/// @brief Rendezvous hashing.
#include "app/shared/preferred_address.hpp"

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

std::vector<std::string> addressesIn(const std::vector<link::controller_location>& places,
    const std::string& failureDomain, std::string link::controller_location::*address)
{
    std::vector<std::string> found;
    for (const auto& place : places) {
        if (!place.failureDomain.empty() && place.failureDomain == failureDomain)
            found.push_back(place.*address);
    }
    return found;
}

} // namespace buckthornrail::app
