/// @file
/// @brief Batch slots of the stand-in target.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <utility>

namespace stand_in {

/// Counting semaphore that limits concurrent requests and reports how many run and wait.
class batch_slots {
public:
    explicit batch_slots(std::uint32_t count)
        : m_freeSlots(count)
    {
    }
    /// @brief Blocks until a slot is free, and takes it.
    void acquire()
    {
        std::unique_lock lock(m_mutex);
        ++m_waiting;
        m_slotFreed.wait(lock, [this] { return m_freeSlots > 0; });
        --m_waiting;
        --m_freeSlots;
        ++m_running;
    }
    void release()
    {
        const std::scoped_lock lock(m_mutex);
        ++m_freeSlots;
        --m_running;
        m_slotFreed.notify_one();
    }
    /// @return running and waiting requests
    std::pair<std::uint32_t, std::uint32_t> counts()
    {
        const std::scoped_lock lock(m_mutex);
        return { m_running, m_waiting };
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::uint32_t m_freeSlots;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
};

} // namespace stand_in
