/// @file
/// @brief Responses of non-idempotent attempts, stored so that a resent request receives the same response.
#pragma once

#include "buckthornrail/dispatch/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace buckthornrail::dispatch {

/// Response of one attempt.
struct stored_response {
    std::vector<response_frame> frames;
    std::optional<response_end> end; ///< empty while the attempt runs
    bool evicted = false; ///< the frames were dropped to stay within the size limit
    std::size_t bytes = 0; ///< total size of the frames' bodies
};

/// @brief Evicts the frames of the responses that ended first when the total size exceeds the limit. The record that an
/// attempt ran stays until drop().
/// @ingroup dispatch
class response_store {
public:
    /// @param maxBytes limit on the total size of the frames; responses that haven't ended may exceed it
    explicit response_store(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    void begin(const attempt_id& attempt);
    void add(const response_frame& frame);
    void end(const response_end& end);
    /// @brief Removes an attempt that was not started after all, or whose record has expired.
    void drop(const attempt_id& attempt);

    /// @return the response; nullptr if the attempt was not started at this sidecar
    [[nodiscard]] const stored_response* find(const attempt_id& attempt) const;
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    void evict();

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<attempt_id, stored_response> m_responses;
    std::deque<attempt_id> m_ended; ///< in the order in which they ended; evicted ones are removed
};

} // namespace buckthornrail::dispatch
