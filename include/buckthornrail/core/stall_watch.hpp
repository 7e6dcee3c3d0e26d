/// @file
/// @brief Finds out that a process has stood still: its machine was suspended, or it was stopped.
#pragma once

#include "buckthornrail/core/clock.hpp"

namespace buckthornrail {

/// @brief Looked at several times a second, and before anything that rests on what others told a while ago.
class stall_watch {
public:
    /// @return for how long nothing was looked at, when that is too long for a process at work; 0 otherwise
    milliseconds check(steady_time now)
    {
        const bool isFirst = m_checkedAt == steady_time {};
        const milliseconds gap = isFirst ? milliseconds(0) : between(m_checkedAt, now);
        m_checkedAt = now;
        return gap >= stallThreshold ? gap : milliseconds(0);
    }

private:
    /// Others take a silence of about as long for the end of a session.
    static constexpr milliseconds stallThreshold { 1000 };

    steady_time m_checkedAt {};
};

} // namespace buckthornrail
