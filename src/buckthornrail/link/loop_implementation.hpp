/// @file
/// @brief The asio context of an event loop, for source files that use asio directly. Plain C++17.
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

/// Limits how long asio waits for a timer. It waits on the steady clock, which stops while the machine is suspended:
/// timers that expire during a suspension fire at most `longestWait` after it.
struct boot_wait_traits {
    // NOLINTBEGIN(readability-identifier-naming): name required by asio
    static boot_clock::duration to_wait_duration(const boot_clock::duration& remaining)
    {
        constexpr milliseconds longestWait { 100 };
        return std::min<boot_clock::duration>(remaining, longestWait);
    }
    static boot_clock::duration to_wait_duration(const boot_clock::time_point& end)
    {
        return to_wait_duration(end - boot_clock::now());
    }
    // NOLINTEND(readability-identifier-naming)
};

using boot_timer = asio::basic_waitable_timer<boot_clock, boot_wait_traits>;

} // namespace buckthornrail::link
