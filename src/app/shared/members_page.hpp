/// @file
/// @brief Page and metrics of the members of the replicated log.
#pragma once

#include "app/shared/replicated_log.hpp"
#include "buckthornrail/telemetry/metrics.hpp"

namespace buckthornrail::app {

inline constexpr std::string_view membersPath = "/members";

/// @return the body of the page, as JSON
std::string membersPage(const replicated_log& log, steady_time now);

/// @brief Sets the gauges of voters, learners and losses.
void updateMemberMetrics(const replicated_log& log, telemetry::metrics& metrics, steady_time now);

} // namespace buckthornrail::app
