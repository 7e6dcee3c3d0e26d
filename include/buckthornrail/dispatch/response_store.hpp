/// @file
/// @brief Answers of non-idempotent attempts, kept so that a resent request gets the same answer again.
#pragma once

#include "buckthornrail/dispatch/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace buckthornrail::dispatch {

/// What is kept of one attempt.
struct stored_response {
    std::vector<response_frame> frames;
    std::optional<response_end> end; ///< missing while the attempt runs
    bool evicted = false; ///< the frames were dropped to stay within the limit
    std::size_t bytes = 0;
};

/// @brief Bounded by bytes; the oldest ended answers go first. That an attempt ran is never forgotten here.
/// @ingroup dispatch
class response_store {
public:
    explicit response_store(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    void begin(const attempt_id& attempt);
    void add(const response_frame& frame);
    void end(const response_end& end);
    /// @brief The attempt never began after all, or its record has lapsed.
    void drop(const attempt_id& attempt);

    /// @return the answer, or nullptr when the attempt was not begun here.
    [[nodiscard]] const stored_response* find(const attempt_id& attempt) const;
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    void evict();

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<attempt_id, stored_response> m_responses;
    std::deque<attempt_id> m_ended; ///< oldest first
};

} // namespace buckthornrail::dispatch
