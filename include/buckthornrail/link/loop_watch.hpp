/// @file
/// @brief Finds turns of an event loop that hold up everything else on it.
///
/// Plain C++17, like the loop.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <functional>
#include <string_view>

namespace buckthornrail::link {

/// A turn over its bound.
struct held_turn {
    std::string_view work; ///< that took longest in it; empty: nothing that has a name
    milliseconds elapsed { 0 }; ///< by the clock, of that work
    milliseconds processor { 0 }; ///< time of the whole turn
};

struct loop_watch_options {
    milliseconds mostElapsed { 20 }; ///< for named work: streams wait as long for their next event
    /// For a turn without a name. A process that has a tenth of a core is away ten times as long.
    milliseconds mostProcessor { 4 };
};

/// @brief Measures turns. Lives on the loop thread.
class loop_watch {
public:
    using handler = std::function<void(const held_turn&)>;

    loop_watch(loop_watch_options options, handler onHeld)
        : m_options(options)
        , m_onHeld(std::move(onHeld))
    {
    }

    /// @brief A turn begins. @param processor time that the thread has used so far
    void begin(std::chrono::nanoseconds processor);
    /// @brief The turn has ended.
    void end(std::chrono::nanoseconds processor);
    /// @brief A named piece of the turn's work took so long.
    void worked(std::string_view work, std::chrono::nanoseconds elapsed);

private:
    loop_watch_options m_options;
    handler m_onHeld;
    std::chrono::nanoseconds m_processorBefore { 0 };
    std::string_view m_work; ///< longest of the turn
    std::chrono::nanoseconds m_elapsed { 0 };
};

class event_loop;

/// @brief Names a piece of work on the loop, from its making to its end.
class named_work {
public:
    /// @param name a literal
    named_work(event_loop& loop, std::string_view name);
    named_work(const named_work&) = delete;
    named_work& operator=(const named_work&) = delete;
    ~named_work();

private:
    event_loop& m_loop;
    std::string_view m_name;
    steady_time m_begun;
};

} // namespace buckthornrail::link
