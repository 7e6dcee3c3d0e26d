/// @file
/// @brief A sidecar's side of attempts, without I/O: gate, answers, and those who follow them.
#pragma once

#include "buckthornrail/dispatch/response.hpp"
#include "buckthornrail/dispatch/response_store.hpp"
#include "buckthornrail/dispatch/target_gate.hpp"

#include <set>

namespace buckthornrail::dispatch {

/// What a sidecar tells an entry.
using sidecar_message = std::variant<attempt_accepted, attempt_refused, attempt_started, response_frame, response_end,
    revoke_reply, attach_reply, load_report>;

struct send_to_channel {
    channel_number channel = 0;
    sidecar_message message;
};
/// Hand this attempt to the target; for a stage, open it and call stageOpened() or startFailed().
struct start_work {
    attempt_id attempt;
    work_order work;
    steady_time deadline {};
};
/// Stop this attempt at the target; its end is still to be reported.
struct cancel_work {
    attempt_id attempt;
    work_kind kind = work_kind::Completion;
};
using sidecar_effect = std::variant<send_to_channel, start_work, cancel_work>;

/// How work at a target ended.
struct work_outcome {
    result_code code = result_code::Ok;
    std::string reason;
    std::string finishReason;
    bool startFailed = false; ///< the target never got the work
};

/// @ingroup dispatch
class sidecar_core {
public:
    sidecar_core(instance_id self, gate_options options, std::size_t maxStoredBytes, steady_time now);

    void offer(const attempt_offer& offer, channel_number channel, steady_time now);
    void revoke(const attempt_revoke& revoke, channel_number channel, steady_time now);
    void attach(const response_attach& attach, channel_number channel, steady_time now);
    void channelLost(channel_number channel, steady_time now);
    void tick(steady_time now);

    /// @brief A piece of an answer from the target; its sequence number is set here.
    void frame(response_frame frame);
    void ended(const attempt_id& attempt, const work_outcome& outcome, steady_time now);
    /// @brief A stage is open and waits for steps.
    void stageOpened(const attempt_id& attempt);
    /// @brief A stage is over; no end is sent.
    void stageClosed(const attempt_id& attempt, steady_time now);
    void startFailed(const attempt_id& attempt, const failure& why, steady_time now);
    void reportLoad(channel_number channel);

    std::optional<sidecar_effect> nextEffect();

    target_gate& gate() { return m_gate; }
    [[nodiscard]] const target_gate& gate() const { return m_gate; }
    /// @brief The work of an attempt that was accepted and has not ended, or nullptr.
    [[nodiscard]] const work_order* workOf(const attempt_id& attempt) const;

private:
    struct open_work {
        attempt_offer offer;
        steady_time deadline {};
        std::uint32_t nextSequence = 0;
        response_digest digest;
    };

    void carryOut(const std::vector<gate_effect>& effects);
    void start(const attempt_id& attempt);
    void send(channel_number channel, sidecar_message message);
    void sendToAttached(const attempt_id& attempt, const sidecar_message& message);
    void forget(const attempt_id& attempt);

    instance_id m_self;
    target_gate m_gate;
    response_store m_responses;
    std::map<attempt_id, open_work> m_work;
    std::map<attempt_id, std::set<channel_number>> m_attachedChannels;
    std::deque<sidecar_effect> m_effects;
};

} // namespace buckthornrail::dispatch
