/// @file
/// @brief Detection of tasks that block an event loop.
#include "buckthornrail/link/loop_watch.hpp"

#include "buckthornrail/link/event_loop.hpp"

namespace buckthornrail::link {

void loop_watch::recordTask(std::string_view name, steady_time begun, steady_time ended)
{
    const auto elapsed = ended - begun;
    if (elapsed < m_threshold)
        return;
    const bool containsReported = m_reportedStart >= begun && m_reportedStart < ended;
    if (containsReported && m_reportedElapsed * 2 > elapsed)
        return;
    m_reportedStart = begun;
    m_reportedElapsed = elapsed;
    m_onSlowTask({ name, std::chrono::duration_cast<milliseconds>(elapsed) });
}

timed_task::timed_task(event_loop& loop, std::string_view name)
    : m_loop(loop)
    , m_name(name)
    , m_begun(boot_clock::now())
{
}

timed_task::~timed_task()
{
    if (auto* watch = m_loop.watch())
        watch->recordTask(m_name, m_begun, boot_clock::now());
}

} // namespace buckthornrail::link
