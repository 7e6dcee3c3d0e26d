/// @file
/// @brief Reassembles the response of an attempt and checks that it is complete and belongs to that attempt.
#pragma once

#include "buckthornrail/dispatch/messages.hpp"

#include <map>
#include <memory>

namespace buckthornrail::dispatch {

/// @brief Running digest over the frames of a response, in order. Sidecar and entry both compute it; a mismatch shows
/// that frames were lost, mixed up or changed.
class response_digest {
public:
    response_digest();
    response_digest(const response_digest&) = delete;
    response_digest& operator=(const response_digest&) = delete;
    response_digest(response_digest&&) noexcept;
    response_digest& operator=(response_digest&&) noexcept;
    ~response_digest();
    void add(const response_frame& frame);
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

enum class assembly_state {
    Open, ///< frames or the end message are missing
    Complete, ///< frame count and digest match the end message
    Failed, ///< they don't match, or the attempt ended with an error
};

/// @brief Orders the frames of one attempt. Drops duplicates and frames of other attempts.
/// @ingroup dispatch
class response_assembler {
public:
    explicit response_assembler(attempt_id attempt);

    /// @return the frames that can now be delivered, in order; empty while an earlier one is missing
    std::vector<response_frame> add(const response_frame& frame);
    /// @brief Records the end message; only the first one of the attempt counts.
    void end(const response_end& end);

    [[nodiscard]] assembly_state state() const;
    /// @return the end message; empty until it has arrived
    [[nodiscard]] const std::optional<response_end>& receivedEnd() const { return m_end; }
    /// @brief Number of messages dropped: duplicates, those of other attempts, and frames that exceed the buffer.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    attempt_id m_attempt;
    std::uint32_t m_next = 0; ///< sequence number of the next frame to deliver
    std::map<std::uint32_t, response_frame> m_outOfOrder; ///< by sequence number; at most maxOutOfOrderFrames
    response_digest m_digest;
    std::optional<response_end> m_end;
    std::uint64_t m_dropped = 0;
};

} // namespace buckthornrail::dispatch
