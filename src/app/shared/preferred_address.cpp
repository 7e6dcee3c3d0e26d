/// @file
/// @brief Rendezvous hashing over controller addresses.
#include "app/shared/preferred_address.hpp"

#include <algorithm>
#include <xxhash.h>

namespace buckthornrail::app {

std::string preferredAddress(const std::string& key, const std::vector<std::string>& addresses)
{
    const auto scoreOf = [&key](const std::string& address) {
        const std::string input = key + '@' + address;
        return XXH64(input.data(), input.size(), 0);
    };
    const auto best = std::max_element(addresses.begin(), addresses.end(),
        [&scoreOf](const auto& a, const auto& b) { return scoreOf(a) < scoreOf(b); });
    return best == addresses.end() ? std::string() : *best;
}

std::vector<std::string> addressesIn(const std::vector<link::controller_endpoint>& endpoints,
    const std::string& failureDomain, std::string link::controller_endpoint::*address)
{
    std::vector<std::string> found;
    for (const auto& endpoint : endpoints) {
        if (!endpoint.failureDomain.empty() && endpoint.failureDomain == failureDomain)
            found.push_back(endpoint.*address);
    }
    return found;
}

} // namespace buckthornrail::app
