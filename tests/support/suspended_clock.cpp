/// @file
/// @brief Loaded into a process before its libraries: its steady clock stands still while the process is stopped, as
/// that of a suspended machine does. The boot clock and the time of day go on.
#include <atomic>
#include <cstdint>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
/// The programs look at their clocks many times a second: a longer gap was a stop.
constexpr std::int64_t shortestStop = nanosecondsPerSecond;

std::atomic<std::int64_t> lastLook { 0 };
std::atomic<std::int64_t> stoodStill { 0 };

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const long outcome = ::syscall(SYS_clock_gettime, clock, time);
    if (outcome != 0 || clock != CLOCK_MONOTONIC)
        return static_cast<int>(outcome);
    const std::int64_t now = time->tv_sec * nanosecondsPerSecond + time->tv_nsec;
    const std::int64_t before = lastLook.exchange(now);
    if (before != 0 && now - before > shortestStop)
        stoodStill += now - before;
    const std::int64_t shown = now - stoodStill;
    time->tv_sec = shown / nanosecondsPerSecond;
    time->tv_nsec = shown % nanosecondsPerSecond;
    return 0;
}
