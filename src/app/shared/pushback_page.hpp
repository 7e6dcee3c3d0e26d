/// @file
/// @brief Page on which gateways and registries list the targets that are rate-limited, backing off or leaving.
#pragma once

#include "buckthornrail/gateway/target_pool.hpp"

namespace buckthornrail::app {

inline constexpr std::string_view pushbackPath = "/pushback";

/// @return the body of the page, as JSON
std::string pushbackPage(const std::vector<gateway::restricted_target>& restricted);

} // namespace buckthornrail::app
