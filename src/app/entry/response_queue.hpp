/// @file
/// @brief Hands one request's answer from the loop to the HTTP thread that waits for it.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/messages.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace buckthornrail::app {

/// The last event of an answer.
struct final_result {
    failure result;
    ran_state ran = ran_state::No;
    std::string finishReason;
};

using response_event = std::variant<dispatch::response_frame, final_result>;

/// @brief Bounded; the loop never waits on it.
class response_queue {
public:
    /// @return false when the caller reads too slowly and the queue is full.
    bool push(response_event event)
    {
        const std::scoped_lock lock(m_mutex);
        const bool isLast = std::holds_alternative<final_result>(event);
        if (m_events.size() >= maxEvents && !isLast)
            return false;
        m_events.push_back(std::move(event));
        m_changed.notify_one();
        return true;
    }

    /// @return the next event, or nothing when none came before the deadline.
    std::optional<response_event> pop(steady_time deadline)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_until(lock, deadline, [this] { return !m_events.empty(); }))
            return std::nullopt;
        response_event event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

private:
    static constexpr std::size_t maxEvents = 65536;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<response_event> m_events;
};

} // namespace buckthornrail::app
