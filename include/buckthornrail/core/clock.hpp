/// @file
/// @brief Time as the cores see it: a point on the boot clock that the caller passes in.
#pragma once

#include <chrono>
#include <ctime>

namespace buckthornrail {

/// Monotonic, and goes on while the machine is suspended. The usual steady clock stands still then: whoever wakes would
/// take leases, sessions and tables that are long over for fresh.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): as the standard asks of clocks

    static time_point now() noexcept
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Point in time on the boot clock. State keeps deadlines of this type, never durations.
using steady_time = boot_clock::time_point;

using std::chrono::milliseconds;

/// @brief Whole milliseconds from one point in time to a later one.
[[nodiscard]] inline milliseconds between(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace buckthornrail
