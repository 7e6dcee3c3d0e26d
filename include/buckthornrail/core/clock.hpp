/// @file
/// @brief Time as the cores see it: a point on the steady clock that the caller passes in.
#pragma once

#include <chrono>

namespace buckthornrail {

/// Point in time on the monotonic clock. State keeps deadlines of this type, never durations.
using steady_time = std::chrono::steady_clock::time_point;

using std::chrono::milliseconds;

/// @brief Whole milliseconds from one point in time to a later one.
[[nodiscard]] inline milliseconds between(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace buckthornrail
