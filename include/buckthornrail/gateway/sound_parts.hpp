/// @file
/// @brief Remembers which parts of prompts occur in requests that crashed no target.
#pragma once

#include "buckthornrail/core/request_fingerprint.hpp"

#include <deque>
#include <map>
#include <vector>

namespace buckthornrail::gateway {

struct sound_parts_options {
    std::size_t maxRequests = 512; ///< the most recent sound requests, of which shares are taken
};

/// @brief How often parts of prompts occur in requests that crashed no target.
/// @ingroup gateway
class sound_parts {
public:
    explicit sound_parts(const sound_parts_options& options = {})
        : m_options(options)
    {
    }

    /// @brief A request has outlived the time in which it could crash its target.
    /// @param parts of its prompt, each once
    void record(std::vector<request_fingerprint> parts);
    /// @return estimated share of the sound requests that have a part, between 0 and 1
    /// @param others further requests that are taken for sound
    /// @param othersWithPart those of them that have the part
    [[nodiscard]] double shareOf(
        const request_fingerprint& part, std::size_t others = 0, std::size_t othersWithPart = 0) const;
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    sound_parts_options m_options;
    std::deque<std::vector<request_fingerprint>> m_requests; ///< parts of each, the oldest first
    std::map<request_fingerprint, std::size_t> m_counts; ///< requests with a part
};

} // namespace buckthornrail::gateway
