/// @file
/// @brief Checking that an answer is whole and one's own.
#pragma once

#include "buckthornrail/dispatch/messages.hpp"

#include <map>
#include <memory>

namespace buckthornrail::dispatch {

/// @brief Running digest over an answer's frames, in order. Both ends compute it.
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
    Open, ///< frames are missing, or the end
    Complete, ///< count and digest agree
    Failed, ///< they don't, or the attempt ended in an error
};

/// @brief Puts the frames of one attempt in order; drops repeated frames and those of other attempts.
/// @ingroup dispatch
class response_assembler {
public:
    explicit response_assembler(attempt_id attempt);

    /// @brief Takes a frame. @return the frames that can now be delivered, in order.
    std::vector<response_frame> add(const response_frame& frame);
    /// @brief Takes the end.
    void end(const response_end& end);

    [[nodiscard]] assembly_state state() const;
    [[nodiscard]] const std::optional<response_end>& receivedEnd() const { return m_end; }
    /// @brief Frames dropped as repeated or foreign.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    attempt_id m_attempt;
    std::uint32_t m_next = 0;
    std::map<std::uint32_t, response_frame> m_outOfOrder; ///< bounded by maxOutOfOrderFrames
    response_digest m_digest;
    std::optional<response_end> m_end;
    std::uint64_t m_dropped = 0;
};

} // namespace buckthornrail::dispatch
