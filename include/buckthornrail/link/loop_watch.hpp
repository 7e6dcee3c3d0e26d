/// @file
/// @brief Detects tasks that block an event loop for too long.
///
/// Plain C++17, like the loop.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <functional>
#include <string_view>

namespace buckthornrail::link {

/// A task that took at least the threshold.
struct slow_task {
    std::string_view name;
    milliseconds elapsed { 0 };
};

/// Streams wait this long for their next event while such a task runs.
inline constexpr milliseconds slowTaskThreshold { 20 };

/// @brief Reports tasks that reach a time threshold. Of nested tasks only the inner one is reported if it took more
/// than half of the outer one's time.
class loop_watch {
public:
    using handler = std::function<void(const slow_task&)>;

    explicit loop_watch(handler onSlowTask, milliseconds threshold = slowTaskThreshold)
        : m_onSlowTask(std::move(onSlowTask))
        , m_threshold(threshold)
    {
    }

    /// @brief Records a task that has ended; an inner task is recorded before its outer one.
    void recordTask(std::string_view name, steady_time begun, steady_time ended);

private:
    handler m_onSlowTask;
    milliseconds m_threshold;
    steady_time m_reportedStart {}; ///< of the task reported last
    steady_time::duration m_reportedElapsed {};
};

class event_loop;

/// @brief Measures a task on the event loop, from construction to destruction.
class timed_task {
public:
    /// @param name a string literal
    timed_task(event_loop& loop, std::string_view name);
    timed_task(const timed_task&) = delete;
    timed_task& operator=(const timed_task&) = delete;
    ~timed_task();

private:
    event_loop& m_loop;
    std::string_view m_name;
    steady_time m_begun;
};

} // namespace buckthornrail::link
