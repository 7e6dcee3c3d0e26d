/// @file
/// @brief Library for LD_PRELOAD that simulates a suspended machine: CLOCK_MONOTONIC stands still while the process is
/// paused (SIGSTOP). The boot clock and the wall clock keep counting.
#include <atomic>
#include <cstdint>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
/// The programs read their clocks many times per second, so a longer gap between two readings means that the process
/// was paused.
constexpr std::int64_t minSuspension = nanosecondsPerSecond;

std::atomic<std::int64_t> lastReading { 0 };
std::atomic<std::int64_t> suspendedTime { 0 };

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const long result = ::syscall(SYS_clock_gettime, clock, time);
    if (result != 0 || clock != CLOCK_MONOTONIC)
        return static_cast<int>(result);
    const std::int64_t now = time->tv_sec * nanosecondsPerSecond + time->tv_nsec;
    const std::int64_t previous = lastReading.exchange(now);
    if (previous != 0 && now - previous > minSuspension)
        suspendedTime += now - previous;
    const std::int64_t adjusted = now - suspendedTime;
    time->tv_sec = adjusted / nanosecondsPerSecond;
    time->tv_nsec = adjusted % nanosecondsPerSecond;
    return 0;
}
