/// @file
/// @brief Spreading sessions over controllers without a list of who has which.
#pragma once

#include "buckthornrail/link/message.hpp"

#include <string>
#include <vector>

namespace buckthornrail::app {

/// @brief The address that ranks first for a key (rendezvous hashing): keys spread evenly, and when an address comes
/// or goes only the keys that prefer it move.
/// @return empty when there are no addresses
std::string preferredAddress(const std::string& key, const std::vector<std::string>& addresses);

/// @brief Addresses of the controllers in a failure domain. @param address which of theirs
std::vector<std::string> addressesIn(const std::vector<link::controller_location>& places,
    const std::string& failureDomain, std::string link::controller_location::*address);

} // namespace buckthornrail::app
