/// @file
/// @brief Turns over their bounds.
#include "buckthornrail/link/loop_watch.hpp"

#include "buckthornrail/link/event_loop.hpp"

namespace buckthornrail::link {

using std::chrono::duration_cast;

void loop_watch::begin(std::chrono::nanoseconds processor)
{
    m_processorBefore = processor;
    m_work = {};
    m_elapsed = {};
}

void loop_watch::worked(std::string_view work, std::chrono::nanoseconds elapsed)
{
    // A piece within another is named rather than that one where it is most of it.
    constexpr int parts = 4;
    if (elapsed * (parts - 1) < m_elapsed * parts)
        return;
    m_work = work;
    m_elapsed = elapsed;
}

void loop_watch::end(std::chrono::nanoseconds processor)
{
    const auto used = processor - m_processorBefore;
    const bool isNamed = m_elapsed >= m_options.mostElapsed;
    if (!isNamed && used < m_options.mostProcessor)
        return;
    m_onHeld({ m_work, duration_cast<milliseconds>(m_elapsed), duration_cast<milliseconds>(used) });
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
        watch->worked(m_name, boot_clock::now() - m_begun);
}

} // namespace buckthornrail::link
