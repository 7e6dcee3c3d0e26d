/// @file
/// @brief Detects that the process did not run for a while: its machine was suspended, or it was stopped.
#pragma once

#include "buckthornrail/core/clock.hpp"

namespace buckthornrail {

/// @brief Call check() several times a second, and before acting on data that was received earlier.
class stall_watch {
public:
    /// @return time since the previous call if it is too long for a running process, else 0
    milliseconds check(steady_time now)
    {
        const bool isFirst = m_checkedAt == steady_time {};
        const milliseconds gap = isFirst ? milliseconds(0) : between(m_checkedAt, now);
        m_checkedAt = now;
        return gap >= stallThreshold ? gap : milliseconds(0);
    }

private:
    /// Peers end a session after a silence of about this length.
    static constexpr milliseconds stallThreshold { 1000 };

    steady_time m_checkedAt {};
};

} // namespace buckthornrail
