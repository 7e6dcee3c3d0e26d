/// @file
/// @brief Rendezvous hashing, which spreads sessions over the controllers without shared state.
#pragma once

#include "buckthornrail/link/message.hpp"

#include <string>
#include <vector>

namespace buckthornrail::app {

/// @brief Selects the address with the highest score for a key (rendezvous hashing). Keys spread evenly, and when an
/// address is added or removed, only the keys that prefer it move.
/// @return empty when there are no addresses
std::string preferredAddress(const std::string& key, const std::vector<std::string>& addresses);

/// @brief Addresses of the controllers in a failure domain.
/// @param failureDomain controllers without one never match
/// @param address selects the link address or the control address
std::vector<std::string> addressesIn(const std::vector<link::controller_endpoint>& endpoints,
    const std::string& failureDomain, std::string link::controller_endpoint::*address);

} // namespace buckthornrail::app
