/// @file
/// @brief Spreading sessions over controllers without a list of who has which.
#pragma once

#include <string>
#include <vector>

namespace buckthornrail::app {

/// @brief The address that ranks first for a key (rendezvous hashing): keys spread evenly, and when an address comes
/// or goes only the keys that prefer it move.
/// @return empty when there are no addresses
std::string preferredAddress(const std::string& key, const std::vector<std::string>& addresses);

} // namespace buckthornrail::app
