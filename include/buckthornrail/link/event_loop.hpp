/// @file
/// @brief Single-threaded event loop that runs a process's posted tasks, timers and links.
///
/// Plain C++17, as websocketpp does not compile as C++20.
#pragma once

#include "buckthornrail/link/loop_watch.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::link {

struct loop_implementation;

/// @brief Wraps an asio context that one thread runs.
/// @ingroup link
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// @brief Queues a task for the loop thread; callable from any thread.
    void post(std::function<void()> task);
    /// @brief Runs a task on the loop thread at the given time; callable only on the loop thread.
    void runAt(steady_time when, std::function<void()> task);
    /// @brief Runs until stop(); the calling thread becomes the loop thread.
    void run();
    /// @brief Makes run() return.
    void stop();
    /// @brief Starts reporting timed tasks that take at least `threshold`.
    void reportSlowTasks(loop_watch::handler onSlowTask, milliseconds threshold = slowTaskThreshold);
    /// @return nullptr unless reportSlowTasks() was called
    [[nodiscard]] loop_watch* watch() { return m_watch.get(); }

    loop_implementation& implementation() { return *m_implementation; }

private:
    std::unique_ptr<loop_implementation> m_implementation;
    std::unique_ptr<loop_watch> m_watch;
};

} // namespace buckthornrail::link
