/// @file
/// @brief The boot clock. State machines read no clock: their callers pass in the time.
#pragma once

#include <chrono>
#include <ctime>

namespace buckthornrail {

/// Monotonic clock that keeps counting while the machine is suspended. std::chrono::steady_clock stops then: after a
/// resume, leases, sessions and tables that have long expired would be taken for current ones.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required of clocks by the standard

    static time_point now() noexcept
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Point in time on the boot clock, not on std::chrono::steady_clock. State holds deadlines of this type, never
/// durations.
using steady_time = boot_clock::time_point;

using std::chrono::milliseconds;

/// @brief Time from one point in time to another, truncated to milliseconds; negative if `to` is earlier.
[[nodiscard]] inline milliseconds between(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace buckthornrail
