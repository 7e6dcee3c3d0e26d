/// @file
/// @brief Finds work that holds up everything else on an event loop.
///
/// Plain C++17, like the loop.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <functional>
#include <string_view>

namespace buckthornrail::link {

/// Work over its bound.
struct held_loop {
    std::string_view work;
    milliseconds elapsed { 0 };
};

/// Streams wait as long for their next event.
inline constexpr milliseconds mostHeld { 20 };

/// @brief Tells of work over its bound, of pieces within pieces the inner one where it is most of the outer.
class loop_watch {
public:
    using handler = std::function<void(const held_loop&)>;

    explicit loop_watch(handler onHeld, milliseconds most = mostHeld)
        : m_onHeld(std::move(onHeld))
        , m_most(most)
    {
    }

    /// @brief A piece of work has ended.
    void worked(std::string_view work, steady_time begun, steady_time ended);

private:
    handler m_onHeld;
    milliseconds m_most;
    steady_time m_toldBegun {}; ///< of the piece told of last
    steady_time::duration m_toldElapsed {};
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
