/// @file
/// @brief State machine of one request at an entry: chooses a target, claims the key, offers the work, and retries or
/// resumes after failures. Does no I/O.
///
/// The result is ran_state::No only if every attempt was refused, revoked or never sent.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/claim_table.hpp"
#include "buckthornrail/dispatch/response.hpp"

#include <deque>
#include <set>
#include <variant>

namespace buckthornrail::dispatch {

/// Timeouts and limits of a run.
struct run_options {
    milliseconds acceptTimeout { 400 }; ///< from an offer to any reply of the sidecar
    milliseconds progressTimeout { 5000 }; ///< from the start or the last frame to the next frame
    milliseconds revokeTimeout { 600 }; ///< from a revocation or an attach to its reply
    milliseconds claimTimeout { 3000 }; ///< from a claim to the controllers' reply
    milliseconds staleConfigurationWait { 1500 }; ///< for the newer configuration that a sidecar has reported
    std::uint32_t maxAttempts = 6;
};

/// Properties of a request that decide how it is dispatched.
struct run_request {
    std::string id;
    bool nonIdempotent = false;
    claim_key claim; ///< when nonIdempotent
    std::uint64_t requestDigest = 0; ///< compared with that of an earlier request under the same key
    bool canResume = false; ///< a completion: another attempt can continue after the tokens already delivered
    bool isStream = false; ///< frames are delivered as they arrive; otherwise once the response is complete
    steady_time deadline {};
};

/// Target that routing has selected.
struct chosen_target {
    instance_id instance;
    incarnation_number incarnation = 0;
};

/// Select a target, then call targetChosen() or noTarget().
struct choose_target {
    std::set<instance_id> excluded;
    failure previous; ///< why the last attempt failed; Ok: there was none
    bool previousMayHaveRun = false; ///< the retry counts against the retry budget
};
/// Claim the request's key, then call claimReplyReceived() or claimFailed().
struct send_claim {
    claim_holder holder;
    claim_holder replaces; ///< proven not to have run; empty: first claim
};
/// Send an offer, or call offerNotSent().
struct send_offer {
    attempt_id attempt;
    chosen_target target;
    std::vector<std::string> priorTokens; ///< delivered by earlier attempts; generation continues after them
};
/// Revoke an attempt. A reply, if any, goes to revokeReplyReceived().
struct send_revoke {
    attempt_id attempt;
    chosen_target target;
    bool cancelStarted = false;
};
/// Request the response of an attempt, then call attachReplyReceived().
struct send_attach {
    attempt_id attempt;
    chosen_target target;
};
/// Forward these frames to the caller.
struct deliver_frames {
    std::vector<response_frame> frames;
};
/// Call configurationReceived() once a newer configuration has arrived.
struct await_configuration { };
/// Send the caller the final result; the last effect of a run.
struct finish_run {
    failure result;
    ran_state ran = ran_state::No;
    std::string finishReason;
};
using run_effect = std::variant<choose_target, send_claim, send_offer, send_revoke, send_attach, deliver_frames,
    await_configuration, finish_run>;

/// @brief The owner passes events in and applies the effects that nextEffect() returns. Events of attempts other
/// than the current one are ignored.
/// @ingroup dispatch
class request_run {
public:
    request_run(run_request request, run_options options, steady_time now);

    void start(steady_time now);
    void targetChosen(const chosen_target& target, steady_time now);
    void noTarget(failure why, steady_time now);
    void claimReplyReceived(const claim_result& result, steady_time now);
    /// @brief The claim could not be sent or decided.
    void claimFailed(steady_time now);
    void accepted(const attempt_id& attempt, steady_time now);
    void refused(const attempt_refused& refusal, steady_time now);
    void started(const attempt_id& attempt, steady_time now);
    void frame(const response_frame& frame, steady_time now);
    void ended(const response_end& end, steady_time now);
    void revokeReplyReceived(const revoke_reply& reply, steady_time now);
    void attachReplyReceived(const attach_reply& reply, steady_time now);
    /// @brief The offer has not left this process.
    void offerNotSent(const attempt_id& attempt, steady_time now);
    /// @brief The link to a sidecar has closed.
    void linkLost(const instance_id& instance, steady_time now);
    /// @brief A newer configuration has arrived.
    void configurationReceived(steady_time now);
    /// @brief The caller has disconnected.
    void callerGone(steady_time now);
    void tick(steady_time now);

    /// @return the next effect to apply, if any
    std::optional<run_effect> nextEffect();
    /// @return time at which tick() must be called next
    [[nodiscard]] steady_time nextDeadline() const;
    [[nodiscard]] bool isFinished() const { return m_phase == phase::Finished; }
    [[nodiscard]] const run_request& request() const { return m_request; }
    /// @return number of attempts so far
    [[nodiscard]] std::uint32_t attempts() const { return m_attemptNumber; }
    [[nodiscard]] const chosen_target& target() const { return m_target; }
    /// @return whether any attempt has run
    [[nodiscard]] ran_state ran() const;

private:
    enum class phase {
        Idle,
        Choosing,
        Claiming,
        Offered,
        Accepted,
        Started,
        Revoking,
        Attaching,
        AwaitingConfiguration,
        Finished
    };

    /// @brief Requests a target for the next attempt.
    void choose(bool previousMayHaveRun = false);
    void beginAttempt(steady_time now);
    void sendOffer(steady_time now);
    void claimOrOffer(steady_time now);
    /// @brief Retries after an attempt that is proven not to have run, and excludes its target.
    void retryAfterNotRun(const failure& why, steady_time now);
    /// @brief Requests another target, to which the claim moves, or finishes when no attempts are left.
    void chooseAgain(const failure& why);
    /// @brief Retries after an attempt that may have run, if the request allows that; otherwise finishes.
    void retryAfterPossibleRun(const failure& why, steady_time now);
    /// @brief Cancels an attempt that failed or stalled after its start, and retries if possible.
    void abandonAttempt(const failure& why, steady_time now);
    /// @brief Handles a response whose frame count or digest doesn't match its end message.
    void rejectResponse(steady_time now);
    /// @brief Requests the response again after the link closed.
    void reattach(steady_time now);
    void revokeCurrent(const failure& why, steady_time now);
    /// @brief Finishes or retries once the response is complete or has failed.
    void finishIfComplete(steady_time now);
    void deliver(std::vector<response_frame> frames);
    void finish(failure result, const std::string& finishReason = {});
    /// @param phaseDeadline time at which tick() handles the phase's timeout
    void enterPhase(phase next, steady_time phaseDeadline);
    [[nodiscard]] bool isCurrent(const attempt_id& attempt) const;
    /// @return whether the current attempt's sidecar may still reply
    [[nodiscard]] bool isOpen() const;
    /// @return whether any attempt has delivered frames, or the current one has buffered some
    [[nodiscard]] bool hasFrames() const;
    [[nodiscard]] steady_time progressDeadline(steady_time now) const;

    run_request m_request;
    run_options m_options;
    phase m_phase = phase::Idle;
    steady_time m_phaseDeadline {};
    std::uint32_t m_attemptNumber = 0;
    attempt_id m_attempt;
    chosen_target m_target;
    bool m_mayHaveStarted = false; ///< the current attempt was sent and is not proven not to have started
    bool m_hasStarted = false; ///< the current attempt has started
    bool m_earlierStarted = false; ///< an earlier attempt started
    bool m_earlierUnknown = false; ///< an earlier attempt may have started
    bool m_isAttachedToOtherRun = false; ///< the current attempt belongs to another run, which holds the key
    claim_holder m_claimHolder; ///< known holder of the key: an attempt of this or of the other run; may be empty
    claim_holder m_replaces; ///< holder that is proven not to have run; the next claim replaces it
    claim_holder m_requestedClaim; ///< holder in the last send_claim
    failure m_lastFailure;
    std::set<instance_id> m_excluded;
    std::optional<response_assembler> m_assembler;
    std::vector<response_frame> m_bufferedFrames; ///< not a stream: delivered once the response is complete
    std::vector<std::string> m_tokensDelivered; ///< texts of the delivered tokens, of all attempts
    bool m_hasDelivered = false; ///< a stream: frames were delivered
    std::deque<run_effect> m_effects;
};

} // namespace buckthornrail::dispatch
