/// @file
/// @brief Bounds on the requests that reach a target with a rate limit.
#pragma once

#include "support/stand_in_fleet.hpp"

#include <algorithm>
#include <span>

namespace test_support {

/// Time from a target's first response with a limit until the bounds apply.
inline constexpr std::chrono::seconds limitGracePeriod { 3 };
inline constexpr std::chrono::seconds limitWindow { 4 }; ///< in which requests are counted

/// @brief Upper bound on a target's requests in one window: 1.5 times what the limit allows, and 5 more.
/// @param perSecond the target's limit in requests per second
inline double maxRequestsPerWindow(double perSecond)
{
    return 1.5 * perSecond * static_cast<double>(limitWindow.count()) + 5;
}

/// @param arrivals in order of time
/// @param from earlier arrivals are ignored
/// @return the highest number of arrivals in any one window
inline std::ptrdiff_t peakRequestsPerWindow(
    std::span<const fleet_arrival> arrivals, std::chrono::steady_clock::time_point from)
{
    std::ptrdiff_t peak = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (first->arrivedAt < from)
            continue;
        const auto end = std::find_if(first, arrivals.end(),
            [&first](const auto& arrival) { return arrival.arrivedAt >= first->arrivedAt + limitWindow; });
        peak = std::max(peak, end - first);
    }
    return peak;
}

} // namespace test_support
