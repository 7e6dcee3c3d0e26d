/// @file
/// @brief A sidecar's handling of attempts: admission, responses and the links that they are sent over. Does no I/O.
#pragma once

#include "buckthornrail/dispatch/response.hpp"
#include "buckthornrail/dispatch/response_store.hpp"
#include "buckthornrail/dispatch/target_gate.hpp"

#include <set>

namespace buckthornrail::dispatch {

/// Messages from a sidecar to an entry.
using sidecar_message = std::variant<attempt_accepted, attempt_refused, attempt_started, response_frame, response_end,
    revoke_reply, attach_reply, load_report>;

/// Send a message over a link.
struct send_to_link {
    link_number linkNumber = 0;
    sidecar_message message;
};
/// Send this work to the target, then call ended(). For a stage, open it and call stageOpened() or notStarted().
struct start_work {
    attempt_id attempt;
    work_order work;
    steady_time deadline {};
};
/// Cancel this attempt at the target. ended(), or stageClosed() for a stage, must still be called.
struct cancel_work {
    attempt_id attempt;
    work_kind kind = work_kind::Completion;
};
using sidecar_effect = std::variant<send_to_link, start_work, cancel_work>;

/// Result of work at a target.
struct work_outcome {
    result_code code = result_code::Ok;
    std::string reason;
    std::string finishReason; ///< "stop" or "length" for completions
    bool notStarted = false; ///< the target never received the work, so it was not begun
};

/// @brief The owner passes events in and applies the effects that nextEffect() returns.
/// @ingroup dispatch
class sidecar_core {
public:
    /// @param maxStoredBytes limit on the stored responses of non-idempotent attempts
    sidecar_core(instance_id self, gate_options options, std::size_t maxStoredBytes, steady_time now);

    void offer(const attempt_offer& offer, link_number linkNumber, steady_time now);
    void revoke(const attempt_revoke& revoke, link_number linkNumber, steady_time now);
    void attach(const response_attach& attach, link_number linkNumber, steady_time now);
    void linkLost(link_number linkNumber, steady_time now);
    void tick(steady_time now);

    /// @brief Forwards a frame of the target's response. Sets its sequence number.
    void frame(response_frame frame);
    /// @brief The target has ended the work of an attempt.
    void ended(const attempt_id& attempt, const work_outcome& outcome, steady_time now);
    /// @brief A stage is open and ready for steps.
    void stageOpened(const attempt_id& attempt);
    /// @brief A stage has ended. Sends no end message.
    void stageClosed(const attempt_id& attempt, steady_time now);
    /// @brief The work of an attempt was not begun after all, so that the attempt has not run.
    void notStarted(const attempt_id& attempt, const failure& why, steady_time now);
    void reportLoad(link_number linkNumber);

    /// @return the next effect to apply, if any
    std::optional<sidecar_effect> nextEffect();

    target_gate& gate() { return m_gate; }
    [[nodiscard]] const target_gate& gate() const { return m_gate; }
    /// @return work of an attempt that was accepted and has not ended, or nullptr
    [[nodiscard]] const work_order* workOf(const attempt_id& attempt) const;

private:
    struct open_work {
        attempt_offer offer;
        steady_time deadline {};
        std::uint32_t nextSequence = 0;
        response_digest digest;
    };

    void applyEffects(const std::vector<gate_effect>& effects);
    void start(const attempt_id& attempt);
    void send(link_number linkNumber, sidecar_message message);
    /// @brief Sends over the links that are attached to an attempt, in addition to the one that offered it.
    void sendToAttached(const attempt_id& attempt, const sidecar_message& message);
    /// @brief Removes the work of an attempt and detaches all links from it.
    void removeWork(const attempt_id& attempt);

    instance_id m_self;
    target_gate m_gate;
    response_store m_responses;
    std::map<attempt_id, open_work> m_work;
    std::map<attempt_id, std::set<link_number>> m_attachedLinks;
    std::deque<sidecar_effect> m_effects;
};

} // namespace buckthornrail::dispatch
