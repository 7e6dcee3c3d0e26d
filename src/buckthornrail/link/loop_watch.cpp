/// @file
/// @brief Work over its bound.
#include "buckthornrail/link/loop_watch.hpp"

#include "buckthornrail/link/event_loop.hpp"

namespace buckthornrail::link {

void loop_watch::worked(std::string_view work, steady_time begun, steady_time ended)
{
    const auto elapsed = ended - begun;
    if (elapsed < m_most)
        return;
    const bool holdsTold = m_toldBegun >= begun && m_toldBegun < ended;
    if (holdsTold && m_toldElapsed * 2 > elapsed)
        return;
    m_toldBegun = begun;
    m_toldElapsed = elapsed;
    m_onHeld({ work, std::chrono::duration_cast<milliseconds>(elapsed) });
}

named_work::named_work(event_loop& loop, std::string_view name)
    : m_loop(loop)
    , m_name(name)
    , m_begun(boot_clock::now())
{
}

named_work::~named_work()
{
    if (auto* watch = m_loop.watch())
        watch->worked(m_name, m_begun, boot_clock::now());
}

} // namespace buckthornrail::link
