/// @file
/// @brief The page on which gateways and registries list what targets have said of how they want to be treated.
#pragma once

#include "buckthornrail/gateway/target_pool.hpp"

namespace buckthornrail::app {

inline constexpr std::string_view pushbackPath = "/pushback";

/// @brief The page's body, as JSON.
std::string pushbackPage(const std::vector<gateway::restricted_target>& restricted);

} // namespace buckthornrail::app
