/// @file
/// @brief State machine of one request at an entry.
#include "buckthornrail/dispatch/request_run.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::dispatch {

request_run::request_run(run_request request, run_options options, steady_time now)
    : m_request(std::move(request))
    , m_options(options)
    , m_phaseDeadline(now)
{
}

void request_run::start(steady_time now)
{
    m_phaseDeadline = m_request.deadline;
    if (now >= m_request.deadline) {
        finish({ result_code::DeadlinePassed, "the deadline had passed before the request was dispatched" });
        return;
    }
    choose();
}

void request_run::targetChosen(const chosen_target& target, steady_time now)
{
    if (m_phase != phase::Choosing)
        return;
    m_target = target;
    beginAttempt(now);
}

void request_run::noTarget(failure why, steady_time now)
{
    (void)now;
    if (m_phase != phase::Choosing)
        return;
    finish(m_lastFailure.code == result_code::Ok ? std::move(why) : m_lastFailure);
}

void request_run::claimReplyReceived(const claim_result& result, steady_time now)
{
    if (m_phase != phase::Claiming)
        return;
    if (result.outcome == claim_outcome::Reused) {
        finish({ result_code::KeyReused, "" });
        return;
    }
    if (result.outcome == claim_outcome::Granted && result.holder == m_requestedClaim) {
        m_claimHolder = result.holder;
        m_replaces = {};
        sendOffer(now);
        return;
    }
    // Another run holds the key: only its sidecar knows the outcome.
    m_isAttachedToOtherRun = true;
    m_claimHolder = result.holder;
    m_attempt = result.holder.attempt;
    m_target = { result.holder.instance, result.holder.incarnation };
    m_mayHaveStarted = true;
    m_hasStarted = false;
    m_assembler.emplace(m_attempt);
    m_bufferedFrames.clear();
    m_effects.emplace_back(send_attach { m_attempt, m_target });
    enterPhase(phase::Attaching, now + m_options.revokeTimeout);
}

void request_run::claimFailed(steady_time now)
{
    (void)now;
    if (m_phase == phase::Claiming)
        finish({ result_code::ClaimUnavailable, "" });
}

void request_run::accepted(const attempt_id& attempt, steady_time now)
{
    (void)now;
    if (isCurrent(attempt) && m_phase == phase::Offered)
        enterPhase(phase::Accepted, m_request.deadline);
}

void request_run::refused(const attempt_refused& refusal, steady_time now)
{
    if (!isCurrent(refusal.attempt) || !isOpen() || hasFrames())
        return;
    m_mayHaveStarted = false;
    m_hasStarted = false; // a sidecar also refuses a started attempt whose work was not begun
    if (refusal.code == result_code::StaleConfiguration) {
        m_lastFailure = { refusal.code, refusal.reason };
        m_effects.emplace_back(await_configuration {});
        enterPhase(phase::AwaitingConfiguration, now + m_options.staleConfigurationWait);
        return;
    }
    retryAfterNotRun({ refusal.code, refusal.reason }, now);
}

void request_run::started(const attempt_id& attempt, steady_time now)
{
    if (!isCurrent(attempt) || !isOpen())
        return;
    m_hasStarted = true;
    enterPhase(phase::Started, progressDeadline(now));
}

void request_run::frame(const response_frame& frame, steady_time now)
{
    if (!isCurrent(frame.attempt) || !m_assembler || m_phase == phase::Finished)
        return;
    started(frame.attempt, now);
    if (m_phase != phase::Started)
        return;
    m_phaseDeadline = progressDeadline(now);
    deliver(m_assembler->add(frame));
    finishIfComplete(now);
}

void request_run::ended(const response_end& end, steady_time now)
{
    if (!isCurrent(end.attempt) || !m_assembler || m_phase == phase::Finished)
        return;
    started(end.attempt, now);
    if (m_phase != phase::Started)
        return;
    m_assembler->end(end);
    finishIfComplete(now);
}

void request_run::revokeReplyReceived(const revoke_reply& reply, steady_time now)
{
    if (!isCurrent(reply.attempt) || m_phase != phase::Revoking)
        return;
    if (reply.outcome == revoke_outcome::NotStarted) {
        m_mayHaveStarted = false;
        retryAfterNotRun(m_lastFailure, now);
        return;
    }
    m_hasStarted = m_hasStarted || reply.outcome == revoke_outcome::Started;
    retryAfterPossibleRun(m_lastFailure, now);
}

void request_run::attachReplyReceived(const attach_reply& reply, steady_time now)
{
    if (!isCurrent(reply.attempt) || m_phase != phase::Attaching)
        return;
    switch (reply.outcome) {
    case attach_outcome::Attached:
        m_hasStarted = true;
        enterPhase(phase::Started, progressDeadline(now));
        return;
    case attach_outcome::NotStarted:
        // Proven not to have run, and a tombstone prevents a later start: the claim may move to this run's attempt.
        m_mayHaveStarted = false;
        m_replaces = m_claimHolder;
        m_claimHolder = {};
        m_isAttachedToOtherRun = false;
        choose();
        return;
    case attach_outcome::Gone:
        m_hasStarted = true;
        finish({ result_code::OutcomeUnknown, "the request ran under this key, but its response is no longer stored" });
        return;
    case attach_outcome::Unknown:
        finish({ result_code::OutcomeUnknown, "the sidecar that ran the attempt holding this key has restarted" });
        return;
    }
}

void request_run::offerNotSent(const attempt_id& attempt, steady_time now)
{
    if (!isCurrent(attempt) || m_phase != phase::Offered)
        return;
    m_mayHaveStarted = false;
    retryAfterNotRun({ result_code::NoTarget, "the sidecar is unreachable" }, now);
}

void request_run::linkLost(const instance_id& instance, steady_time now)
{
    if (instance != m_target.instance)
        return;
    if (m_phase == phase::Offered || m_phase == phase::Accepted)
        revokeCurrent({ result_code::TargetFailed, "the link to the sidecar closed" }, now);
    else if (m_phase == phase::Started && m_request.nonIdempotent)
        reattach(now);
    else if (m_phase == phase::Started)
        abandonAttempt({ result_code::TargetFailed, "the link to the sidecar closed" }, now);
}

void request_run::configurationReceived(steady_time now)
{
    (void)now;
    // The sidecar that refused has the newer configuration and is as suitable as any other, so it is not excluded from
    // the next choice.
    if (m_phase == phase::AwaitingConfiguration)
        chooseAgain(m_lastFailure);
}

void request_run::callerGone(steady_time now)
{
    (void)now;
    if (m_phase == phase::Finished)
        return;
    if (m_mayHaveStarted && !m_isAttachedToOtherRun)
        m_effects.emplace_back(send_revoke { m_attempt, m_target, true });
    finish({ result_code::Cancelled, "" });
}

void request_run::tick(steady_time now)
{
    if (m_phase == phase::Finished || m_phase == phase::Idle)
        return;
    if (now >= m_request.deadline) {
        if (m_mayHaveStarted && !m_isAttachedToOtherRun)
            m_effects.emplace_back(send_revoke { m_attempt, m_target, true });
        finish({ result_code::DeadlinePassed, "" });
        return;
    }
    if (now < m_phaseDeadline)
        return;
    switch (m_phase) {
    case phase::Claiming:
        finish({ result_code::ClaimUnavailable, "the controllers did not decide on the claim in time" });
        return;
    case phase::Offered:
        revokeCurrent({ result_code::TargetStalled, "the sidecar did not reply to the offer" }, now);
        return;
    case phase::Started:
        abandonAttempt({ result_code::TargetStalled, "the target made no progress" }, now);
        return;
    case phase::Revoking:
        retryAfterPossibleRun(m_lastFailure, now);
        return;
    case phase::Attaching:
        finish({ result_code::OutcomeUnknown, "the sidecar of the attempt that holds this key did not reply" });
        return;
    case phase::AwaitingConfiguration:
        finish(m_lastFailure);
        return;
    default:
        return;
    }
}

std::optional<run_effect> request_run::nextEffect()
{
    if (m_effects.empty())
        return std::nullopt;
    run_effect effect = std::move(m_effects.front());
    m_effects.pop_front();
    return effect;
}

steady_time request_run::nextDeadline() const { return std::min(m_phaseDeadline, m_request.deadline); }

ran_state request_run::ran() const
{
    if (m_earlierStarted || m_hasStarted)
        return ran_state::Yes;
    if (m_earlierUnknown || m_mayHaveStarted)
        return ran_state::Unknown;
    return ran_state::No;
}

void request_run::choose(bool previousMayHaveRun)
{
    enterPhase(phase::Choosing, m_request.deadline);
    m_effects.emplace_back(choose_target { m_excluded, m_lastFailure, previousMayHaveRun });
}

void request_run::beginAttempt(steady_time now)
{
    ++m_attemptNumber;
    m_attempt = { m_request.id, m_attemptNumber };
    m_mayHaveStarted = false;
    m_hasStarted = false;
    m_assembler.emplace(m_attempt);
    m_bufferedFrames.clear();
    claimOrOffer(now);
}

void request_run::claimOrOffer(steady_time now)
{
    if (!m_request.nonIdempotent) {
        sendOffer(now);
        return;
    }
    m_requestedClaim = { m_attempt, m_target.instance, m_target.incarnation };
    m_effects.emplace_back(send_claim { m_requestedClaim, m_replaces });
    enterPhase(phase::Claiming, now + m_options.claimTimeout);
}

void request_run::sendOffer(steady_time now)
{
    m_mayHaveStarted = true;
    enterPhase(phase::Offered, now + m_options.acceptTimeout);
    m_effects.emplace_back(send_offer { m_attempt, m_target, m_tokensDelivered });
}

void request_run::retryAfterNotRun(const failure& why, steady_time now)
{
    (void)now;
    m_excluded.insert(m_target.instance);
    chooseAgain(why);
}

void request_run::chooseAgain(const failure& why)
{
    m_lastFailure = why;
    // The holder of the claim is proven not to have run, so that the next attempt may replace it.
    if (!m_claimHolder.attempt.request.empty())
        m_replaces = std::exchange(m_claimHolder, {});
    if (m_attemptNumber >= m_options.maxAttempts) {
        finish(why);
        return;
    }
    choose();
}

void request_run::retryAfterPossibleRun(const failure& why, steady_time now)
{
    (void)now;
    m_lastFailure = why;
    if (m_request.nonIdempotent) {
        finish({ m_hasStarted ? why.code : result_code::OutcomeUnknown, why.reason });
        return;
    }
    m_earlierStarted = m_earlierStarted || m_hasStarted;
    m_earlierUnknown = m_earlierUnknown || !m_hasStarted;
    m_mayHaveStarted = false;
    m_hasStarted = false;
    const bool canRetry = m_request.canResume || !m_hasDelivered;
    m_excluded.insert(m_target.instance);
    if (!canRetry || m_attemptNumber >= m_options.maxAttempts) {
        finish({ m_hasDelivered ? result_code::AnswerIncomplete : why.code, why.reason });
        return;
    }
    choose(true);
}

void request_run::abandonAttempt(const failure& why, steady_time now)
{
    if (!m_isAttachedToOtherRun)
        m_effects.emplace_back(send_revoke { m_attempt, m_target, true });
    if (m_request.canResume && !m_request.isStream) {
        // The tokens received so far are in order and belong to this request: they are delivered, and the next attempt
        // continues after them.
        for (auto& frame : m_bufferedFrames)
            m_tokensDelivered.push_back(frame.bytes);
        m_effects.emplace_back(deliver_frames { std::exchange(m_bufferedFrames, {}) });
    }
    retryAfterPossibleRun(why, now);
}

void request_run::rejectResponse(steady_time now)
{
    const failure why { result_code::AnswerIncomplete, "frame count or digest of the response does not match" };
    m_bufferedFrames.clear();
    if (m_hasDelivered) {
        finish(why);
        return;
    }
    retryAfterPossibleRun(why, now);
}

void request_run::reattach(steady_time now)
{
    // The sidecar continues non-idempotent work when a link closes. Frames that were received before are dropped.
    m_effects.emplace_back(send_attach { m_attempt, m_target });
    enterPhase(phase::Attaching, now + m_options.revokeTimeout);
}

void request_run::revokeCurrent(const failure& why, steady_time now)
{
    m_lastFailure = why;
    m_effects.emplace_back(send_revoke { m_attempt, m_target, !m_request.nonIdempotent });
    enterPhase(phase::Revoking, now + m_options.revokeTimeout);
}

void request_run::finishIfComplete(steady_time now)
{
    switch (m_assembler->state()) {
    case assembly_state::Open:
        return;
    case assembly_state::Complete:
        if (!m_request.isStream)
            m_effects.emplace_back(deliver_frames { std::exchange(m_bufferedFrames, {}) });
        finish({ result_code::Ok, "" }, m_assembler->receivedEnd()->finishReason);
        return;
    case assembly_state::Failed: {
        const auto& end = *m_assembler->receivedEnd();
        if (end.code == result_code::Ok)
            rejectResponse(now);
        else if (end.code == result_code::TargetRejected)
            finish({ end.code, end.reason });
        else
            abandonAttempt({ end.code, end.reason }, now);
        return;
    }
    }
}

void request_run::deliver(std::vector<response_frame> frames)
{
    if (frames.empty())
        return;
    if (!m_request.isStream) {
        std::move(frames.begin(), frames.end(), std::back_inserter(m_bufferedFrames));
        return;
    }
    m_hasDelivered = true;
    for (const auto& frame : frames) {
        if (frame.kind == frame_kind::Data)
            m_tokensDelivered.push_back(frame.bytes);
    }
    m_effects.emplace_back(deliver_frames { std::move(frames) });
}

void request_run::finish(failure result, const std::string& finishReason)
{
    m_phase = phase::Finished;
    m_effects.emplace_back(finish_run { std::move(result), ran(), finishReason });
}

void request_run::enterPhase(phase next, steady_time phaseDeadline)
{
    m_phase = next;
    m_phaseDeadline = phaseDeadline;
}

bool request_run::isOpen() const
{
    return m_phase == phase::Offered || m_phase == phase::Accepted || m_phase == phase::Started
        || m_phase == phase::Revoking || m_phase == phase::Attaching;
}

bool request_run::hasFrames() const { return m_hasDelivered || !m_bufferedFrames.empty(); }

steady_time request_run::progressDeadline(steady_time now) const
{
    // Non-idempotent work can't be retried elsewhere, so abandoning it early gains nothing.
    return m_request.nonIdempotent ? m_request.deadline : now + m_options.progressTimeout;
}

bool request_run::isCurrent(const attempt_id& attempt) const
{
    return attempt == m_attempt && m_phase != phase::Finished;
}

} // namespace buckthornrail::dispatch
