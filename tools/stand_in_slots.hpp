/// @file
/// @brief A stand-in's places for requests.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <utility>

namespace stand_in {

/// Places for requests that run at once; the rest wait.
class batch_slots {
public:
    explicit batch_slots(std::uint32_t count)
        : m_free(count)
    {
    }
    void take()
    {
        std::unique_lock lock(m_mutex);
        ++m_waiting;
        m_changed.wait(lock, [this] { return m_free > 0; });
        --m_waiting;
        --m_free;
        ++m_running;
    }
    void give()
    {
        const std::scoped_lock lock(m_mutex);
        ++m_free;
        --m_running;
        m_changed.notify_one();
    }
    std::pair<std::uint32_t, std::uint32_t> counts()
    {
        const std::scoped_lock lock(m_mutex);
        return { m_running, m_waiting };
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint32_t m_free;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
};

} // namespace stand_in
