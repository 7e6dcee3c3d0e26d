/// @file
/// @brief What a target may get under a limit that it has named, as callers and targets see it.
#pragma once

#include "support/stand_in_fleet.hpp"

#include <algorithm>
#include <span>

namespace test_support {

inline constexpr std::chrono::seconds limitGracePeriod {
    3
}; ///< from the first time that a limit is named until it counts
inline constexpr std::chrono::seconds limitWindow { 4 };

/// @brief What a target may get in a window under a limit: half as much again, and five.
inline double maxRequestsPerWindow(double perSecond)
{
    return 1.5 * perSecond * static_cast<double>(limitWindow.count()) + 5;
}

/// @param arrivals in the order in which they came
/// @return the peak requests that came in one window, from a moment on
inline std::ptrdiff_t peakRequestsPerWindow(
    std::span<const fleet_arrival> arrivals, std::chrono::steady_clock::time_point from)
{
    std::ptrdiff_t peak = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (first->at < from)
            continue;
        const auto end = std::find_if(
            first, arrivals.end(), [&first](const auto& arrival) { return arrival.at >= first->at + limitWindow; });
        peak = std::max(peak, end - first);
    }
    return peak;
}

} // namespace test_support
