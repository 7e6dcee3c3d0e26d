/// @file
/// @brief The asio context behind an event loop. For translation units that speak to asio, which are all C++17.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <algorithm>
#include <asio/basic_waitable_timer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace buckthornrail::link {

struct loop_implementation {
    asio::io_context io { 1 }; ///< one thread runs it
    asio::executor_work_guard<asio::io_context::executor_type> guard { io.get_executor() };
};

/// How long the operating system is asked to wait for a timer. It waits by the steady clock, which stands still while
/// the machine is suspended: timers that end meanwhile are found at the latest so long after it wakes.
struct boot_wait_traits {
    // NOLINTBEGIN(readability-identifier-naming): asio calls it so
    static boot_clock::duration to_wait_duration(const boot_clock::duration& left)
    {
        constexpr milliseconds longestWait { 100 };
        return std::min<boot_clock::duration>(left, longestWait);
    }
    static boot_clock::duration to_wait_duration(const boot_clock::time_point& end)
    {
        return to_wait_duration(end - boot_clock::now());
    }
    // NOLINTEND(readability-identifier-naming)
};

using boot_timer = asio::basic_waitable_timer<boot_clock, boot_wait_traits>;

} // namespace buckthornrail::link
