/// @file
/// @brief Starting, retrying and finishing the attempts of a request.
#include "buckthornrail/gateway/exchange.hpp"

#include <utility>

namespace buckthornrail::gateway {
namespace {

std::string joined(const std::vector<std::string>& ids)
{
    std::string text;
    for (const auto& id : ids)
        text += (text.empty() ? "" : ",") + id;
    return text;
}

} // namespace

exchange::exchange(exchange_request request, exchange_port& port, target_pool& pool, shared_retry_budget& budget,
    const exchange_options& options)
    : m_request(std::move(request))
    , m_port(port)
    , m_pool(pool)
    , m_budget(budget)
    , m_options(options)
    , m_lastEventId(m_request.lastEventId)
{
    m_constraints.eventGapTarget = m_request.route->eventGapTarget;
}

void exchange::start(steady_time now)
{
    if (!m_request.isCounted)
        m_budget.countRequest(now);
    if (m_admission != nullptr) {
        if (!m_request.isCounted)
            m_admission->countArrival(m_ticket, now);
        requestAdmission(now);
        return;
    }
    const auto selected = m_pool.select(m_request.service, m_constraints, now);
    if (!selected) {
        finish(result_code::NoTarget, ran_state::No, "no usable target or path", now);
        return;
    }
    if (!selected->hasCapacity) {
        finish(result_code::Busy, ran_state::No, "no path with free capacity: " + selected->summary, now);
        return;
    }
    scheduleAttempt({ *selected, {}, m_constraints }, now);
}

void exchange::scheduleAttempt(next_attempt next, steady_time now)
{
    m_pendingAttempt = std::move(next);
    m_dispatchDeadline = m_streamStarted ? m_lastEventAt + m_options.maxStreamPause : now + m_options.maxDispatchWait;
    tryStartAttempt(now);
}

dispatch_verdict exchange::requestDispatch(steady_time now)
{
    const auto first = m_pendingAttempt->selected->parts.front().target;
    // What is known of the targets may have changed while the attempt was pending.
    const auto allowed = allowedFirst(m_history);
    const bool isAllowed = allowed.empty() || allowed.contains(first);
    const bool mayAsk = isAllowed && m_pool.maySend(first, now);
    const auto verdict = mayAsk ? m_port.requestDispatch(*m_pendingAttempt->selected) : dispatch_verdict::Elsewhere;
    if (verdict != dispatch_verdict::Elsewhere)
        return verdict;
    auto constraints = m_pendingAttempt->constraints;
    constraints.allowedFirst = allowed;
    constraints.excluded.insert(first);
    const auto other = m_pool.select(m_request.service, constraints, now);
    if (!other) {
        // All are taken: use whichever is free first.
        m_pendingAttempt->constraints = m_constraints;
        return dispatch_verdict::Wait;
    }
    m_pendingAttempt->selected = other;
    m_pendingAttempt->constraints = std::move(constraints);
    return m_port.requestDispatch(*other);
}

void exchange::tryStartAttempt(steady_time now)
{
    const auto verdict = requestDispatch(now);
    if (verdict == dispatch_verdict::Go) {
        const auto next = *std::exchange(m_pendingAttempt, std::nullopt);
        m_constraints = next.constraints;
        startAttempt(*next.selected, now);
        return;
    }
    if (verdict == dispatch_verdict::Refuse) {
        m_pendingAttempt.reset();
        finish(result_code::RequestQuarantined, m_mayHaveRun ? ran_state::Unknown : ran_state::No,
            "targets crash when they execute this request, or others with a part of its prompt", now);
        return;
    }
    if (now >= m_dispatchDeadline) {
        m_pendingAttempt.reset();
        const std::string reason
            = "targets crashed when they executed this request or similar ones: one of these runs at a time";
        if (m_mayHaveRun)
            finish(result_code::TargetFailed, ran_state::Unknown, reason, now);
        else
            finish(result_code::RequestHeld, ran_state::No, reason, now);
        return;
    }
    m_retryAt = now + m_options.dispatchPollInterval;
    scheduleTimer(now);
}

void exchange::onSent(steady_time now)
{
    m_sent = true;
    m_pool.markReachable(m_selection.parts.front().address);
    m_moveAt = now + m_options.firstEventMoveAfter;
    m_reportAt = now + m_options.reportAfter;
    m_probeAt = now + m_options.firstEventProbeAfter;
    scheduleTimer(now);
}

exchange::next_attempt exchange::planNextAttempt(
    const attempt_end& last, selection_constraints constraints, steady_time now)
{
    next_attempt next;
    next.why = whyNotRetryable(last, now);
    if (!next.why.empty())
        return next;
    auto history = m_history; // the attempt may still be open
    history.record(m_selection.parts.front().target, m_selection.parts.front().address, last.outcome);
    constraints.allowedFirst = allowedFirst(history);
    next.selected = m_pool.select(m_request.service, constraints, now);
    const bool isLimited = !constraints.allowedFirst.empty();
    // A started stream waits instead, as targets that have just refused it would refuse it again. So does a request
    // that only targets without a connection may run.
    const bool wouldBeUnsentAgain = isLimited && last.outcome == attempt_outcome::Unsent;
    if (!next.selected && !constraints.excluded.empty() && !m_streamStarted && !wouldBeUnsentAgain) {
        // Fall back to targets that failed before: the failure may have been transient.
        constraints.excluded.clear();
        next.selected = m_pool.select(m_request.service, constraints, now);
    }
    next.constraints = std::move(constraints);
    if (!next.selected) {
        next.isHeldByLimit = isLimited;
        next.why = isLimited ? "targets limited to those that may have run it: " + describeHistory()
                             : "no other target or path";
        return next;
    }
    const bool mayHaveRun = m_mayHaveRun || last.ran() != ran_state::No;
    const bool hasReachedTarget = last.outcome != attempt_outcome::Unsent;
    if (hasReachedTarget && !m_budget.tryTake(!mayHaveRun, now)) {
        next.why = "retry budget exhausted: " + m_budget.describe(now);
        next.selected.reset();
    }
    return next;
}

void exchange::retry(const attempt_end& last, steady_time now)
{
    recordAttemptLost(last, now);
    retryOrWait(last, now);
}

void exchange::retryOrWait(const attempt_end& last, steady_time now)
{
    const auto next = planNextAttempt(last, m_constraints, now);
    m_mayHaveRun = m_mayHaveRun || last.ran() != ran_state::No;
    if (next.selected) {
        scheduleAttempt(next, now);
        return;
    }
    const steady_time retryAt = now + m_options.streamRetryInterval;
    if (!mayWaitUntil(retryAt, next, now)) {
        giveUp(last.reason + "; " + next.why, now);
        return;
    }
    m_pendingRetry = last;
    m_constraints.excluded.clear();
    m_retryAt = retryAt;
    scheduleTimer(now);
}

bool exchange::mayWaitUntil(steady_time retryAt, const next_attempt& next, steady_time now)
{
    if (!m_request.isRetryable() || retryAt >= m_request.deadline)
        return false;
    if (m_streamStarted)
        return m_lastEventId && retryAt < m_lastEventAt + m_options.maxStreamPause;
    // Only the limit stands in the way: a target that may have run it comes back, or is found to have ended.
    if (!next.isHeldByLimit)
        return false;
    if (!m_limitWaitDeadline)
        m_limitWaitDeadline = now + m_options.maxLimitWait;
    return retryAt < *m_limitWaitDeadline;
}

bool exchange::moveAttempt(const attempt_end& last, selection_constraints constraints, steady_time now)
{
    const auto next = planNextAttempt(last, std::move(constraints), now);
    if (!next.selected) {
        logAttemptKept(last, next.why);
        return false; // the open attempt may still recover: being slow is no reason to end it
    }
    recordAttemptLost(last, now);
    closeAttempt(now);
    m_mayHaveRun = m_mayHaveRun || last.ran() != ran_state::No;
    scheduleAttempt(next, now);
    return true;
}

void exchange::logAttemptKept(const attempt_end& last, const std::string& why)
{
    if (std::exchange(m_loggedCause, last.reason) == last.reason)
        return;
    m_port.logEvent(event_code::AttemptKept,
        { { "request", m_request.id }, { "attempt", std::to_string(m_attempts) }, { "because", last.reason },
            { "reason", why } });
}

void exchange::recordAttemptLost(const attempt_end& last, steady_time now)
{
    const auto& first = m_selection.parts.front();
    m_history.record(first.target, first.address, last.outcome);
    m_port.logEvent(event_code::AttemptLost,
        { { "request", m_request.id }, { "attempt", std::to_string(m_attempts) }, { "reason", last.reason },
            { "ran", std::string(nameOf(last.ran())) },
            { "outcome", std::string(nameIn(attemptOutcomeNames, last.outcome)) }, { "ran_on", describeHistory() },
            { "events", std::to_string(m_events) }, { "first_event", m_hasFirstEvent ? "seen" : "none" },
            { "open_ms", inMs(between(m_attemptStart, now)) }, { "fingerprint", text(m_port.fingerprint()) },
            { "parts", joined(m_request.sharedParts) } });
}

std::string exchange::whyNotRetryable(const attempt_end& last, steady_time now)
{
    const bool mayHaveRun = m_mayHaveRun || last.ran() != ran_state::No;
    if (mayHaveRun && !m_request.isRetryable())
        return "the request may have been executed and is not safe to retry";
    if (m_streamStarted && !m_lastEventId)
        return "the stream's events have no ids to resume from";
    if (m_attempts >= (m_streamStarted ? m_options.maxTotalAttemptsOnceStarted : m_options.maxTotalAttempts))
        return "attempt limit reached";
    if (now + m_options.minTimeLeft >= m_request.deadline)
        return "no time left";
    return {};
}

void exchange::startAttempt(const selection& selected, steady_time now)
{
    m_selection = selected;
    m_response.reset();
    m_sent = false;
    m_attemptOpen = true;
    m_reportsWithoutResponse = 0;
    m_emptyReports = 0;
    m_sampleEvents = 0;
    m_loggedCause.clear();
    m_attemptStart = now;
    ++m_attempts;
    m_moveAt = now + m_options.firstEventMoveAfter;
    m_reportAt = now + m_options.reportAfter;
    m_probeAt = now + m_options.firstEventProbeAfter;
    m_averageGap = milliseconds(0);
    m_emptyProbes = 0;
    m_hasFirstEvent = false;
    m_pool.recordSent(m_selection.parts.front().target, now);
    m_pool.attemptStarted(m_selection, m_request.size);
    countRunning(true, now);
    m_port.logEvent(event_code::RouteChosen,
        { { "request", m_request.id }, { "route", m_request.route->name },
            { "version", std::to_string(m_request.documentVersion) }, { "attempt", std::to_string(m_attempts) },
            { "chosen", describe(selected) }, { "candidates", selected.summary }, { "ran_on", describeHistory() },
            { "counted",
                std::to_string(countedTargets(m_history).size()) + " of "
                    + std::to_string(m_request.route->maxAttempts) },
            { "left_ms", inMs(between(now, m_request.deadline)) } });
    scheduleTimer(now);
    m_port.openAttempt(m_attempts, m_selection, m_lastEventId);
}

void exchange::closeAttempt(steady_time now)
{
    m_attemptOpen = false;
    m_padding.clear();
    m_pool.attemptEnded(m_selection, m_request.size, m_hasFirstEvent);
    countRunning(false, now);
    m_port.cancelAttempt();
}

void exchange::giveUp(const std::string& reason, steady_time now)
{
    if (m_mayHaveRun)
        finish(result_code::TargetFailed, ran_state::Unknown, reason, now);
    else
        finish(result_code::Busy, ran_state::No, reason, now);
}

void exchange::finish(result_code code, ran_state ran, const std::string& reason, steady_time now)
{
    m_over = true;
    const bool isRetryableLater = code == result_code::Busy || code == result_code::NoTarget;
    if (isRetryableLater)
        m_earliestSendAt = m_pool.earliestSendAt(m_request.service, now);
    m_port.logEvent(m_streamStarted || ran != ran_state::No ? event_code::RequestFinished : event_code::RouteRefused,
        { { "request", m_request.id }, { "route", m_request.route->name },
            { "outcome", m_streamStarted ? "broken_off" : "refused" },
            { "code", std::to_string(static_cast<int>(code)) }, { "ran", std::string(nameOf(ran)) },
            { "reason", reason }, { "events", std::to_string(m_events) }, { "attempts", std::to_string(m_attempts) },
            { "ready", std::to_string(m_pool.readyCount(m_request.service)) },
            { "room_in_ms", m_earliestSendAt ? inMs(between(now, *m_earliestSendAt)) : std::string() },
            { "ms", inMs(between(m_request.arrivedAt, now)) } });
    if (m_streamStarted)
        m_port.abortStream();
    else
        m_port.sendError(code, ran, reason);
}

void exchange::avoidFirst(steady_time now) { avoid(m_selection.parts.front().target, false, now); }

void exchange::avoid(const registry::target_incarnation& target, bool isUnreachable, steady_time now)
{
    m_constraints.excluded.insert(target);
    if (isUnreachable)
        m_pool.markUnreachable(target, now);
    else
        m_pool.failed(target);
    m_port.logEvent(event_code::TargetAvoided,
        { { "request", m_request.id }, { "target", text(target) }, { "reason", isUnreachable ? "dark" : "failed" } });
}

std::set<registry::target_incarnation> exchange::countedTargets(const attempt_history& history) const
{
    return history.countedTargets(
        [this](const auto& target, const auto& address) { return m_pool.evidenceOf(target, address); });
}

std::set<registry::target_incarnation> exchange::allowedFirst(const attempt_history& history) const
{
    // The route limits the number of targets, not of attempts: a target that ran the request may run it again.
    auto counted = countedTargets(history);
    if (counted.size() < m_request.route->maxAttempts)
        counted.clear();
    return counted;
}

std::string exchange::describeHistory() const
{
    return m_history.describe(
        [this](const auto& target, const auto& address) { return m_pool.evidenceOf(target, address); });
}

std::string exchange::describe(const selection& selected) const
{
    std::string described;
    for (const auto& part : selected.parts) {
        if (!described.empty())
            described += ',';
        described += text(part.target);
        if (!part.layers.isEmpty())
            described += "=" + std::to_string(part.layers.first) + "-" + std::to_string(part.layers.end);
    }
    return described;
}

} // namespace buckthornrail::gateway
