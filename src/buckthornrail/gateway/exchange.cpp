/// @file
/// @brief Starting, retrying and finishing the attempts of a request.
#include "buckthornrail/gateway/exchange.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthornrail::gateway {
namespace {

/// Statuses that imply that a request was not executed if the target also states it, see target_response::notRun.
constexpr std::array notExecutedStatuses { 408, 421, 429, 503 };
constexpr int firstServerErrorStatus = 500;
constexpr int firstNonSuccessStatus = 300;
/// Averages event gaps over about the last five.
constexpr int gapAverageWindow = 5;

bool impliesNotExecuted(int status)
{
    return std::find(notExecutedStatuses.begin(), notExecutedStatuses.end(), status) != notExecutedStatuses.end();
}

std::string inMs(milliseconds time) { return std::to_string(time.count()); }

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
    scheduleAttempt({ *selected, {}, {}, m_constraints }, now);
}

void exchange::scheduleAttempt(next_attempt next, steady_time now)
{
    m_pendingAttempt = std::move(next);
    m_dispatchDeadline = m_streamStarted ? m_lastEventAt + m_options.maxStreamPause : now + m_options.maxDispatchWait;
    tryStartAttempt(now);
}

dispatch_verdict exchange::requestDispatch(steady_time now)
{
    const bool isThrottled = !m_pool.maySend(m_pendingAttempt->selected->parts.front().target, now);
    const auto verdict
        = isThrottled ? dispatch_verdict::Elsewhere : m_port.requestDispatch(*m_pendingAttempt->selected);
    if (verdict != dispatch_verdict::Elsewhere)
        return verdict;
    auto constraints = m_pendingAttempt->constraints;
    constraints.excluded.insert(m_pendingAttempt->selected->parts.front().target);
    const auto other = m_pool.select(m_request.service, constraints, now);
    if (!other) {
        m_pendingAttempt->constraints = m_constraints; // all are taken: use whichever is free first
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
        m_countedTargets = next.countedTargets;
        m_constraints = next.constraints;
        startAttempt(*next.selected, now);
        return;
    }
    if (verdict == dispatch_verdict::Refuse) {
        m_pendingAttempt.reset();
        finish(result_code::RequestQuarantined, m_mayHaveRun ? ran_state::Unknown : ran_state::No,
            "targets crash when they execute this request", now);
        return;
    }
    if (now >= m_dispatchDeadline) {
        m_pendingAttempt.reset();
        const std::string reason
            = "targets crashed when they executed this request: it may only run on one target at a time";
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
    m_moveAt = now + m_options.firstEventMoveAfter;
    m_reportAt = now + m_options.reportAfter;
    m_probeAt = now + m_options.firstEventProbeAfter;
    scheduleTimer(now);
}

void exchange::onHead(const target_response& response, steady_time now)
{
    if (!m_attemptOpen || m_response)
        return;
    m_response = response;
    m_sent = true;
    const auto first = m_selection.parts.front().target;
    if (response.pushback)
        onPushback(*response.pushback, response.isAuthentic, m_attemptStart, now);
    if (response.notRun) {
        registry::target_incarnation faulty
            = response.faultyAddress.empty() ? first : m_pool.idAt(response.faultyAddress);
        if (faulty.empty())
            faulty = first; // the named target is no longer known here
        const bool asksForBackoff = response.pushback && response.pushback->retryAfter;
        if (faulty != first || !asksForBackoff)
            m_pool.refused(faulty, now);
        m_constraints.excluded.insert(faulty);
        closeAttempt(now);
        retry(
            { ran_state::No, false, "refused with status " + std::to_string(response.status) + " by " + text(faulty) },
            now);
        return;
    }
    if (!response.isAuthentic) {
        avoid(first, false, now);
        closeAttempt(now);
        retry({ ran_state::Unknown, false,
                  "response of status " + std::to_string(response.status) + " does not belong to this request" },
            now);
        return;
    }
    if (response.status < firstNonSuccessStatus)
        return;
    const attempt_end end { ran_state::Yes, false, "failed with status " + std::to_string(response.status) };
    const bool isServerError = response.status >= firstServerErrorStatus;
    if (isServerError)
        avoid(first, false, now);
    // A status that states that the request wasn't executed must not reach the caller unless the target said so; other
    // failures are forwarded when no retry is left. A server error that a second target repeats is caused by the
    // request: of 27 such requests in a simulated day the second target served 11, and later targets none.
    const bool isFirstServerError = isServerError && !std::exchange(m_hadServerError, true);
    if (impliesNotExecuted(response.status) || (isFirstServerError && whyNotRetryable(end, now).empty())) {
        closeAttempt(now);
        retry(end, now);
    }
}

void exchange::onBody(steady_time now)
{
    if (!m_attemptOpen || !m_response)
        return;
    const auto first = m_selection.parts.front().target;
    const int status = m_response->status;
    if (m_request.isStream() && m_response->isEventStream && status < firstNonSuccessStatus) {
        onAttemptFailed(attempt_failure::ConnectionLost, now);
        return;
    }
    closeAttempt(now);
    if (status < firstServerErrorStatus)
        m_pool.succeeded(first, static_cast<double>(between(m_attemptStart, now).count()));
    m_port.forwardResponse();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.route->name }, { "outcome", "passed_on" },
            { "status", std::to_string(status) }, { "attempts", std::to_string(m_attempts) }, { "target", text(first) },
            { "ms", inMs(between(m_request.arrivedAt, now)) } });
}

void exchange::onEvent(std::string_view bytes, std::optional<std::uint64_t> id, steady_time now)
{
    if (!m_attemptOpen || !m_response)
        return;
    if (id && m_lastEventId && *id <= *m_lastEventId)
        return; // the caller has received it
    if (id && m_lastEventId && *id != *m_lastEventId + 1) {
        avoidFirst(now);
        closeAttempt(now);
        retry({ ran_state::Yes, false,
                  "event gap: received " + std::to_string(*id) + " after " + std::to_string(*m_lastEventId) },
            now);
        return;
    }
    if (id)
        m_lastEventId = id;
    if (m_sampleEvents == 0) {
        m_sampleStart = now;
        m_hasFirstEvent = true;
        m_pool.prefillFinished(m_selection, m_request.size);
        m_pool.recordLatency(
            m_selection, latency_kind::FirstEvent, static_cast<double>(between(m_attemptStart, now).count()), now);
    }
    if (m_sampleEvents++ == m_options.latencySampleEvents) {
        const std::chrono::duration<double, std::milli> took = now - m_sampleStart;
        m_pool.recordLatency(m_selection, latency_kind::NextEvent,
            took.count() / static_cast<double>(m_options.latencySampleEvents), now);
        m_sampleEvents = 1;
        m_sampleStart = now;
    }
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_timeToFirstEvent = between(m_request.arrivedAt, now);
        m_port.beginStream();
    } else {
        m_longestGap = std::max(m_longestGap, between(m_lastEventAt, now));
        if (m_sampleEvents > 1)
            m_averageGap += (between(m_lastEventAt, now) - m_averageGap) / gapAverageWindow;
    }
    ++m_events;
    m_lastEventAt = now;
    m_reportsWithoutResponse = 0;
    m_reportAt = now + m_options.reportAfter * (1U << std::min(m_emptyReports, 3U));
    m_moveAt = now + m_options.moveAfter;
    const auto probeDelay = std::chrono::duration_cast<milliseconds>(m_averageGap * m_options.probeAfterGaps);
    m_probeAt = now + std::max(m_options.probeAfter, probeDelay);
    m_emptyProbes = 0;
    m_port.forwardEvent(bytes);
}

void exchange::onStreamEnd(steady_time now)
{
    if (!m_attemptOpen || !m_response)
        return;
    if (!m_streamStarted) {
        onAttemptFailed(attempt_failure::ConnectionLost, now);
        return;
    }
    for (const auto& part : m_selection.parts)
        m_pool.succeeded(part.target, static_cast<double>(between(m_attemptStart, now).count()));
    closeAttempt(now);
    m_port.endStream();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.route->name }, { "outcome", "streamed" },
            { "events", std::to_string(m_events) }, { "attempts", std::to_string(m_attempts) },
            { "tokens",
                std::to_string(static_cast<int>(m_request.size.promptTokens)) + ","
                    + std::to_string(static_cast<int>(m_request.size.maxOutputTokens)) },
            { "first_ms", inMs(m_timeToFirstEvent) }, { "gap_ms", inMs(m_longestGap) },
            { "ms", inMs(between(m_request.arrivedAt, now)) } });
}

void exchange::onAttemptFailed(attempt_failure how, steady_time now)
{
    if (!m_attemptOpen)
        return;
    const auto first = m_selection.parts.front().target;
    const bool isUnsent = how == attempt_failure::ConnectFailed && !m_sent;
    const bool mayBeMember = hasPath() && how == attempt_failure::ConnectionLost; // any member may have caused it
    if (mayBeMember)
        m_pool.failed(first);
    else
        avoid(first, isUnsent, now);
    closeAttempt(now);
    if (isUnsent) {
        m_countedTargets.erase(first); // ended or unreachable: no longer counted
        retry({ ran_state::No, true, "no connection to " + text(first) }, now);
        return;
    }
    const bool isInvalid = how == attempt_failure::InvalidResponse;
    retry({ ran_state::Unknown, !isInvalid && !mayBeMember,
              (isInvalid ? "invalid response from " : "connection lost to ") + text(first) },
        now);
}

exchange::next_attempt exchange::planNextAttempt(
    const attempt_end& last, selection_constraints constraints, steady_time now)
{
    next_attempt next;
    next.why = whyNotRetryable(last, now);
    if (!next.why.empty())
        return next;
    next.countedTargets = m_countedTargets;
    // Targets that have ended don't count against the route's limit; draining ones do.
    std::erase_if(next.countedTargets, [this](const auto& id) { return m_pool.hasEnded(id); });
    if (last.ran != ran_state::No && !last.targetEnded)
        next.countedTargets.insert(m_selection.parts.front().target);
    // The route limits the number of targets, not of attempts: a target that ran the request may run it again.
    constraints.allowedFirst.clear();
    if (next.countedTargets.size() >= m_request.route->maxAttempts)
        constraints.allowedFirst = next.countedTargets;
    next.selected = m_pool.select(m_request.service, constraints, now);
    // A started stream waits instead, as targets that have just refused it would refuse it again.
    if (!next.selected && !constraints.excluded.empty() && !m_streamStarted) {
        // Fall back to targets that failed before: the failure may have been transient.
        constraints.excluded.clear();
        next.selected = m_pool.select(m_request.service, constraints, now);
    }
    next.constraints = std::move(constraints);
    if (!next.selected) {
        next.why = "no other target or path";
        return next;
    }
    const bool mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
    const bool hasReachedTarget = last.ran != ran_state::No || !last.targetEnded;
    if (hasReachedTarget && !m_budget.tryTake(!mayHaveRun, now)) {
        next.why = "retry budget exhausted: " + m_budget.describe(now);
        next.selected.reset();
    }
    return next;
}

void exchange::retry(const attempt_end& last, steady_time now)
{
    logAttemptLost(last, now);
    retryOrWait(last, now);
}

void exchange::retryOrWait(const attempt_end& last, steady_time now)
{
    const auto next = planNextAttempt(last, m_constraints, now);
    m_mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
    if (next.selected) {
        scheduleAttempt(next, now);
        return;
    }
    const steady_time retryAt = now + m_options.streamRetryInterval;
    const bool mayWait = m_streamStarted && m_lastEventId && m_request.isRetryable() && retryAt < m_request.deadline
        && retryAt < m_lastEventAt + m_options.maxStreamPause;
    if (!mayWait) {
        giveUp(last.reason + "; " + next.why, now);
        return;
    }
    m_pendingRetry = last;
    m_pendingRetry->ran = ran_state::No; // m_mayHaveRun already covers earlier attempts
    m_constraints.excluded.clear();
    m_retryAt = retryAt;
    scheduleTimer(now);
}

bool exchange::moveAttempt(const attempt_end& last, selection_constraints constraints, steady_time now)
{
    const auto next = planNextAttempt(last, std::move(constraints), now);
    if (!next.selected) {
        logAttemptKept(last, next.why);
        return false; // the open attempt may still recover: being slow is no reason to end it
    }
    logAttemptLost(last, now);
    closeAttempt(now);
    m_mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
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

void exchange::logAttemptLost(const attempt_end& last, steady_time now)
{
    m_port.logEvent(event_code::AttemptLost,
        { { "request", m_request.id }, { "attempt", std::to_string(m_attempts) }, { "reason", last.reason },
            { "ran", std::string(nameOf(last.ran)) }, { "events", std::to_string(m_events) },
            { "first_event", m_hasFirstEvent ? "seen" : "none" }, { "open_ms", inMs(between(m_attemptStart, now)) },
            { "fingerprint", text(m_port.fingerprint()) } });
}

std::string exchange::whyNotRetryable(const attempt_end& last, steady_time now)
{
    const bool mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
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
            { "chosen", describe(selected) }, { "candidates", selected.summary },
            { "left_ms", inMs(between(now, m_request.deadline)) } });
    scheduleTimer(now);
    m_port.openAttempt(m_attempts, m_selection, m_lastEventId);
}

void exchange::closeAttempt(steady_time now)
{
    m_attemptOpen = false;
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
