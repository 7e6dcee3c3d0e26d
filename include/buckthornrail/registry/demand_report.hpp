/// @file
/// @brief Demand for services by priority, as exchanged between gateways and controllers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornrail::registry {

/// Limits of a report: each message, one per gateway and heartbeat, would grow with it. Services with higher names and
/// lower priorities beyond the limits are dropped.
inline constexpr std::size_t maxServicesInDemand = 16;
inline constexpr std::size_t maxPrioritiesInDemand = 10;

/// Demand of one priority of a service. Tokens are prompt tokens plus expected output tokens.
struct rank_demand {
    std::uint32_t priority = 0; ///< 0 is the highest
    std::uint32_t offeredTokensPerSecond = 0; ///< of requests that arrive for the first time, admitted or not
    std::uint32_t runningTokens = 0; ///< of open attempts
    std::uint32_t waitingTokens = 0; ///< of requests queued at gateways
    std::uint32_t promisedTokens = 0; ///< of refused requests whose return time has not passed
    std::uint32_t dueTokens = 0; ///< of refused requests whose return time passed within the last 500 ms
    bool operator==(const rank_demand&) const = default;
};

/// Demand for a service.
struct service_demand {
    std::string service;
    std::uint32_t releasedTokensPerSecond = 0; ///< of attempts that ended
    std::vector<rank_demand> ranks; ///< by ascending priority
    bool operator==(const service_demand&) const = default;
};

/// Demand for all ranked services, by ascending name; empty: no service is ranked.
using demand_report = std::vector<service_demand>;

} // namespace buckthornrail::registry
