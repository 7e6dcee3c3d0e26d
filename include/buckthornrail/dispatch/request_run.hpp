/// @file
/// @brief An entry's handling of one request: choose, claim, offer, follow, retry or resume, answer.
///
/// The run never says "not run" unless every attempt was refused, revoked or never sent.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/claim_table.hpp"
#include "buckthornrail/dispatch/response.hpp"

#include <deque>
#include <set>
#include <variant>

namespace buckthornrail::dispatch {

/// Periods and bounds of a run.
struct run_options {
    milliseconds acceptTimeout { 400 }; ///< offer sent, no answer at all
    milliseconds progressTimeout { 5000 }; ///< started, and then silence
    milliseconds revokeTimeout { 600 }; ///< revocation sent, no answer
    milliseconds claimTimeout { 3000 };
    milliseconds staleConfigurationWait { 1500 }; ///< for the newer version to arrive
    std::uint32_t maxAttempts = 6;
};

/// What the caller asked for.
struct run_request {
    std::string id;
    bool nonIdempotent = false;
    claim_key claim; ///< when nonIdempotent
    std::uint64_t requestDigest = 0;
    bool canResume = false; ///< a completion: it can go on after the tokens already given
    bool isStream = false; ///< frames go to the caller as they come; otherwise only when the answer is whole
    steady_time deadline {};
};

/// A target as the router chose it.
struct chosen_target {
    instance_id instance;
    incarnation_number incarnation = 0;
};

struct choose_target {
    std::set<instance_id> excluded;
    failure previous; ///< why the attempt before ended; Ok: this is the first
    bool previousMayHaveRun = false; ///< a retry after a failure, which the retry budget bounds
};
struct send_claim {
    claim_holder holder;
    claim_holder replaces;
};
struct send_offer {
    attempt_id attempt;
    chosen_target target;
    std::vector<std::string> priorTokens; ///< resume after these
};
struct send_revoke {
    attempt_id attempt;
    chosen_target target;
    bool cancelStarted = false;
};
struct send_attach {
    attempt_id attempt;
    chosen_target target;
};
/// Give these frames to the caller.
struct deliver_frames {
    std::vector<response_frame> frames;
};
/// Wait until a newer configuration has come, then call configurationReceived().
struct await_configuration { };
/// The final word to the caller.
struct finish_run {
    failure result;
    ran_state ran = ran_state::No;
    std::string finishReason;
};
using run_effect = std::variant<choose_target, send_claim, send_offer, send_revoke, send_attach, deliver_frames,
    await_configuration, finish_run>;

/// @ingroup dispatch
class request_run {
public:
    request_run(run_request request, run_options options, steady_time now);

    void start(steady_time now);
    void targetChosen(const chosen_target& target, steady_time now);
    void noTarget(failure why, steady_time now);
    void claimAnswered(const claim_result& result, steady_time now);
    void claimFailed(steady_time now);
    void accepted(const attempt_id& attempt, steady_time now);
    void refused(const attempt_refused& refusal, steady_time now);
    void started(const attempt_id& attempt, steady_time now);
    void frame(const response_frame& frame, steady_time now);
    void ended(const response_end& end, steady_time now);
    void revokeAnswered(const revoke_reply& reply, steady_time now);
    void attachAnswered(const attach_reply& reply, steady_time now);
    /// @brief The offer can't have left this process.
    void offerNotSent(const attempt_id& attempt, steady_time now);
    /// @brief The link to a sidecar closed.
    void linkLost(const instance_id& instance, steady_time now);
    /// @brief A newer configuration has come.
    void configurationReceived(steady_time now);
    void callerGone(steady_time now);
    void tick(steady_time now);

    /// @return the next thing to do, if any.
    std::optional<run_effect> nextEffect();
    [[nodiscard]] steady_time nextDeadline() const;
    [[nodiscard]] bool isFinished() const { return m_phase == phase::Finished; }
    [[nodiscard]] const run_request& request() const { return m_request; }
    [[nodiscard]] std::uint32_t attempts() const { return m_attemptNumber; }
    [[nodiscard]] const chosen_target& target() const { return m_target; }
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

    void choose(bool previousMayHaveRun = false);
    void beginAttempt(steady_time now);
    void sendOffer(steady_time now);
    void claimOrOffer(steady_time now);
    void retryAfterNotRun(const failure& why, steady_time now);
    /// @brief Gives the claim up and asks for a target, unless all attempts are used up.
    void chooseAgain(const failure& why);
    void retryAfterPossibleRun(const failure& why, steady_time now);
    void abandonAttempt(const failure& why, steady_time now);
    void rejectResponse(steady_time now);
    void reattach(steady_time now);
    void revokeCurrent(const failure& why, steady_time now);
    void finishIfComplete(steady_time now);
    void deliver(std::vector<response_frame> frames);
    void finish(failure result, const std::string& finishReason = {});
    void enterPhase(phase next, steady_time phaseDeadline);
    [[nodiscard]] bool isCurrent(const attempt_id& attempt) const;
    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool hasFrames() const;
    [[nodiscard]] steady_time progressDeadline(steady_time now) const;

    run_request m_request;
    run_options m_options;
    phase m_phase = phase::Idle;
    steady_time m_phaseDeadline {};
    std::uint32_t m_attemptNumber = 0;
    attempt_id m_attempt;
    chosen_target m_target;
    bool m_mayHaveStarted = false; ///< of the current attempt: sent, and not proved otherwise
    bool m_hasStarted = false; ///< of the current attempt
    bool m_earlierStarted = false; ///< of all earlier attempts
    bool m_earlierUnknown = false; ///< of all earlier attempts
    bool m_followsOtherRun = false; ///< the answer is that of an attempt that another run began
    claim_holder m_claimHolder; ///< our claim, or empty
    claim_holder m_replaces; ///< the holder that was proved not to have run
    claim_holder m_requestedClaim; ///< the claim that was asked for
    failure m_lastFailure;
    std::set<instance_id> m_excluded;
    std::optional<response_assembler> m_assembler;
    std::vector<response_frame> m_bufferedFrames; ///< not streaming: kept until whole
    std::vector<std::string> m_deliveredTokens;
    bool m_deliveredAny = false;
    std::deque<run_effect> m_effects;
};

} // namespace buckthornrail::dispatch
