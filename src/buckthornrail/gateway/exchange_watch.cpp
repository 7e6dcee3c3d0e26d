/// @file
/// @brief Detection of silent, unreachable and slow targets of an open attempt, of its deadline and of a caller that
/// has disconnected.
#include "buckthornrail/gateway/exchange.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::gateway {
namespace {

constexpr const char* silenceReason = "no data for too long";

} // namespace

void exchange::onReport(bool responded, const std::string& faultyAddress, steady_time now)
{
    if (!m_attemptOpen)
        return;
    if (responded)
        m_reportsWithoutResponse = 0;
    const bool firstIsUnreachable = !responded && m_reportsWithoutResponse >= m_options.maxReportsWithoutResponse;
    registry::target_incarnation faulty;
    if (firstIsUnreachable)
        faulty = m_selection.parts.front().target;
    else if (!faultyAddress.empty())
        faulty = m_pool.idAt(faultyAddress);
    if (faulty.empty()) {
        m_emptyReports += responded ? 1 : 0;
        return;
    }
    avoid(faulty, true, now);
    moveAttempt({ attempt_outcome::Stalled, "stalled by " + text(faulty) }, m_constraints, now);
}

void exchange::onUnreachable(const registry::target_incarnation& target, steady_time now)
{
    if (!m_attemptOpen || !m_sent || !hasPath())
        return;
    const auto silentSince = std::max(m_lastEventAt, m_attemptStart);
    if (!isMember(target) || now < silentSince + m_options.minSilence)
        return; // it may be unreachable from this gateway only
    avoid(target, true, now);
    moveAttempt(
        { attempt_outcome::Stalled, "stalled by " + text(target) + ", which refuses connections" }, m_constraints, now);
}

void exchange::onTargetsChanged(steady_time now)
{
    if (!m_attemptOpen || !m_sent)
        return;
    if (m_pool.wasReplaced(m_selection.parts.front().target)) {
        abandonRestartedTarget(now);
        return;
    }
    for (const auto& part : m_selection.parts) {
        const bool wasReplaced = m_pool.wasReplaced(part.target);
        if (!wasReplaced && !m_pool.hasReleased(part.target, part.layers))
            continue;
        const std::string change = wasReplaced ? " has restarted" : " released its layers";
        moveAttempt({ attempt_outcome::Interrupted, "interrupted: " + text(part.target) + change }, m_constraints, now);
        return;
    }
}

void exchange::onCallerDisconnected(steady_time now)
{
    if (m_over)
        return;
    if (m_attemptOpen)
        closeAttempt(now);
    leaveQueue(queue_exit::CallerLeft, now);
    m_pendingAttempt.reset();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.route->name }, { "outcome", "caller_left" },
            { "events", std::to_string(m_events) }, { "attempts", std::to_string(m_attempts) },
            { "ms", std::to_string(between(m_request.arrivedAt, now).count()) } });
}

void exchange::abandonRestartedTarget(steady_time now)
{
    // If the machine was disconnected meanwhile, the connection may never be closed; no response will arrive on it.
    const std::string reason = "interrupted: " + text(m_selection.parts.front().target) + " has restarted";
    closeAttempt(now);
    retry({ attempt_outcome::Interrupted, reason }, now);
}

void exchange::onQuarantineChanged(steady_time now)
{
    if (m_over)
        return;
    if (m_pendingAttempt) {
        tryStartAttempt(now);
        return;
    }
    const bool mayCancel = m_attemptOpen && !m_hasFirstEvent && !m_response && m_request.isRetryable();
    if (!mayCancel || !m_port.mustCancel())
        return;
    closeAttempt(now);
    retry({ attempt_outcome::Cancelled, "cancelled: targets crashed when they executed the same request" }, now);
}

bool exchange::isMember(const registry::target_incarnation& target) const
{
    return std::any_of(m_selection.parts.begin(), m_selection.parts.end(),
        [&target](const auto& part) { return part.target == target; });
}

bool exchange::hadEventThrough(const registry::target_incarnation& target, steady_time since) const
{
    return m_attemptOpen && m_lastEventAt >= since && m_lastEventAt > m_attemptStart && isMember(target);
}

void exchange::probeMembersWhenDue(steady_time now)
{
    if (now < m_probeAt)
        return;
    m_probeAt = now + m_options.probeAgainAfter * (1U << std::min(m_emptyProbes++, 3U));
    m_port.probeMembers(eventCutoff(now));
}

steady_time exchange::eventCutoff(steady_time now) const
{
    if (m_sampleEvents == 0)
        return now - m_options.recentEventAge;
    // Events of other requests from before this stream's next event was due may predate the member's stall.
    return m_lastEventAt + std::max<steady_time::duration>(m_averageGap, m_options.probeAfter / 2);
}

void exchange::onTimer(steady_time now)
{
    if (m_over)
        return;
    if (now >= m_request.deadline) {
        leaveQueue(queue_exit::DeadlinePassed, now);
        if (m_attemptOpen)
            closeAttempt(now);
        const bool mayHaveRun = m_mayHaveRun || m_sent;
        finish(mayHaveRun ? result_code::OutcomeUnknown : result_code::DeadlinePassed,
            mayHaveRun ? ran_state::Unknown : ran_state::No, "no time left", now);
        return;
    }
    if (m_isQueued && now >= m_admission->latestStart(m_ticket)) {
        requestAdmission(now); // refuses it
        return;
    }
    if (m_pendingAttempt && now >= m_retryAt) {
        tryStartAttempt(now);
        return;
    }
    if (m_pendingRetry && now >= m_retryAt) {
        const auto last = *std::exchange(m_pendingRetry, std::nullopt);
        retryOrWait(last, now);
        return;
    }
    if (m_attemptOpen && m_sent) {
        const bool hasMoved = hasPath() ? abandonSilentPath(now) : abandonSlowTarget(now);
        if (hasMoved || m_over || !m_attemptOpen)
            return;
    }
    scheduleTimer(now);
}

bool exchange::abandonSilentPath(steady_time now)
{
    if (now >= m_moveAt) {
        auto constraints = m_constraints;
        for (const auto& part : m_selection.parts)
            constraints.excluded.insert(part.target);
        if (moveAttempt({ attempt_outcome::Stalled, silenceReason }, std::move(constraints), now))
            return true;
        m_moveAt = now + m_options.moveAfter;
    }
    probeMembersWhenDue(now);
    if (now >= m_reportAt) {
        m_reportAt = now + m_options.reportAgainAfter * (1U << std::min(m_emptyReports, 5U));
        requestReport(now);
    }
    return false;
}

void exchange::requestReport(steady_time now)
{
    const auto first = m_selection.parts.front().target;
    if (!m_pool.maySend(first, now))
        return; // a request that was never sent is no sign of an unreachable target
    m_pool.recordSent(first, now);
    ++m_reportsWithoutResponse;
    m_port.requestReport();
}

bool exchange::abandonSlowTarget(steady_time now)
{
    if (m_request.route->kind != request_kind::Safe || m_response || now < m_moveAt)
        return false;
    const auto first = m_selection.parts.front().target;
    const std::chrono::duration<double, std::milli> took = now - m_attemptStart;
    m_pool.succeeded(first, took.count());
    auto constraints = m_constraints;
    constraints.excluded.insert(first);
    return moveAttempt({ attempt_outcome::Stalled, silenceReason }, std::move(constraints), now);
}

void exchange::scheduleTimer(steady_time now)
{
    steady_time when = m_request.deadline;
    if (m_isQueued)
        when = std::min(when, m_admission->latestStart(m_ticket));
    if (m_pendingRetry || m_pendingAttempt)
        when = std::min(when, m_retryAt);
    if (m_attemptOpen && m_sent && hasPath())
        when = std::min({ when, m_reportAt, m_probeAt, m_moveAt > now ? m_moveAt : when });
    if (m_attemptOpen && m_sent && !hasPath() && m_request.route->kind == request_kind::Safe && !m_response) {
        const auto retryDelay
            = std::chrono::duration_cast<milliseconds>(m_request.route->latencyTarget * m_options.retryLatencyRatio);
        m_moveAt = m_attemptStart + retryDelay;
        if (m_moveAt > now)
            when = std::min(when, m_moveAt);
    }
    m_port.setTimer(when);
}

} // namespace buckthornrail::gateway
