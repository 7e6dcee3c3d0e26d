/// @file
/// @brief Checking that an answer is whole and one's own.
#pragma once

#include "buckthornrail/dispatch/messages.hpp"

#include <map>
#include <memory>

namespace buckthornrail::dispatch {

/// @brief Running digest over an answer's frames, in order. Both ends compute it.
class answer_digest {
public:
    answer_digest();
    answer_digest(const answer_digest&) = delete;
    answer_digest& operator=(const answer_digest&) = delete;
    answer_digest(answer_digest&&) noexcept;
    answer_digest& operator=(answer_digest&&) noexcept;
    ~answer_digest();
    void add(const answer_frame& frame);
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

enum class assembly_state {
    Open, ///< frames are missing, or the end
    Complete, ///< count and digest agree
    Broken, ///< they don't, or the attempt ended in an error
};

/// @brief Puts the frames of one attempt in order; drops repeated frames and those of other attempts.
/// @ingroup dispatch
class answer_assembler {
public:
    explicit answer_assembler(attempt_id attempt);

    /// @brief Takes a frame. @return the frames that can now be delivered, in order.
    std::vector<answer_frame> add(const answer_frame& frame);
    /// @brief Takes the end.
    void end(const answer_end& end);

    [[nodiscard]] assembly_state state() const;
    [[nodiscard]] const std::optional<answer_end>& ending() const { return m_end; }
    /// @brief Frames dropped as repeated or foreign.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    attempt_id m_attempt;
    std::uint32_t m_next = 0;
    std::map<std::uint32_t, answer_frame> m_early; ///< bounded by maxEarlyFrames
    answer_digest m_digest;
    std::optional<answer_end> m_end;
    std::uint64_t m_dropped = 0;
};

} // namespace buckthornrail::dispatch
