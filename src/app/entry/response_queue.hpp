/// @file
/// @brief Passes the response of one request from the event loop to the HTTP thread that writes it to the caller.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/messages.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace buckthornrail::app {

/// Result of the request; the last event of a response.
struct final_result {
    failure result;
    ran_state ran = ran_state::No;
    std::string finishReason;
};

using response_event = std::variant<dispatch::response_frame, final_result>;

/// @brief Bounded queue of response events. Thread-safe; push() never waits for the reader.
class response_queue {
public:
    /// @brief Appends an event. The final result is accepted even if the queue is full.
    /// @return false if the queue is full, as the caller reads too slowly; the event is dropped then
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

    /// @brief Waits for the next event.
    /// @return the event, or nothing if none arrived before the deadline
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
