/// @file
/// @brief One thread that owns a process's cores: posted events, timers and links all run on it.
///
/// Plain C++17, as websocketpp does not compile as C++20.
#pragma once

#include "buckthornrail/link/loop_watch.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::link {

struct loop_implementation;

/// @ingroup link
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// @brief Runs a task on the loop thread, soon; callable from any thread.
    void post(std::function<void()> task);
    /// @brief Runs a task on the loop thread at a time; callable on the loop thread.
    void runAt(steady_time when, std::function<void()> task);
    /// @brief Runs until stop(); the calling thread becomes the loop thread.
    void run();
    void stop();
    /// @brief Tells of named work over its bound.
    void reportSlowTasks(loop_watch::handler onSlowTask, milliseconds threshold = slowTaskThreshold);
    /// @return empty: work isn't watched
    [[nodiscard]] loop_watch* watch() { return m_watch.get(); }

    loop_implementation& implementation() { return *m_implementation; }

private:
    std::unique_ptr<loop_implementation> m_implementation;
    std::unique_ptr<loop_watch> m_watch;
};

} // namespace buckthornrail::link
