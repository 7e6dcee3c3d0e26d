/// @file
/// @brief What a target sends in an attempt: the head of its response, events, the end, or too little.
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

} // namespace

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
        retry({ attempt_outcome::Refused,
                  "refused with status " + std::to_string(response.status) + " by " + text(faulty) },
            now);
        return;
    }
    if (!response.isAuthentic) {
        avoid(first, false, now);
        closeAttempt(now);
        retry({ attempt_outcome::InvalidResponse,
                  "response of status " + std::to_string(response.status) + " does not belong to this request" },
            now);
        return;
    }
    // The caller has the beginning of a stream: only its rest may follow.
    if (m_streamStarted && (!response.isEventStream || response.status >= firstNonSuccessStatus)) {
        avoid(first, false, now);
        closeAttempt(now);
        retry({ attempt_outcome::Failed,
                  "response of status " + std::to_string(response.status) + " doesn't continue the stream" },
            now);
        return;
    }
    if (response.status < firstNonSuccessStatus)
        return;
    const attempt_end end { attempt_outcome::Failed, "failed with status " + std::to_string(response.status) };
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

void exchange::onBody(http1::message_end end, steady_time now)
{
    if (!m_attemptOpen || !m_response)
        return;
    const auto first = m_selection.parts.front().target;
    const int status = m_response->status;
    if (m_request.isStream() && m_response->isEventStream && status < firstNonSuccessStatus) {
        onAttemptFailed(attempt_failure::ConnectionLost, end, now);
        return;
    }
    closeAttempt(now);
    if (status < firstServerErrorStatus)
        m_pool.succeeded(first, static_cast<double>(between(m_attemptStart, now).count()));
    m_port.forwardResponse();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.route->name }, { "outcome", "passed_on" },
            { "status", std::to_string(status) }, { "ended_by", std::string(nameIn(http1::messageEndNames, end)) },
            { "attempts", std::to_string(m_attempts) }, { "target", text(first) },
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
        retry({ attempt_outcome::Failed,
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
    if (!m_padding.empty())
        m_port.forwardEvent(std::exchange(m_padding, {}));
    m_port.forwardEvent(bytes);
}

void exchange::onPadding(std::string_view bytes)
{
    if (!m_attemptOpen || !m_response)
        return;
    if (m_streamStarted)
        m_port.forwardEvent(bytes);
    else
        m_padding += bytes;
}

void exchange::onStreamEnd(http1::message_end end, steady_time now)
{
    if (!m_attemptOpen || !m_response)
        return;
    // Without a length or chunks, a target that fails before its first event ends its response in the same way.
    if (end == http1::message_end::Close && !m_hasFirstEvent) {
        onAttemptFailed(attempt_failure::ConnectionLost, end, now);
        return;
    }
    if (!std::exchange(m_streamStarted, true))
        m_port.beginStream();
    if (!m_padding.empty())
        m_port.forwardEvent(std::exchange(m_padding, {}));
    for (const auto& part : m_selection.parts)
        m_pool.succeeded(part.target, static_cast<double>(between(m_attemptStart, now).count()));
    closeAttempt(now);
    m_port.endStream();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.route->name }, { "outcome", "streamed" },
            { "ended_by", std::string(nameIn(http1::messageEndNames, end)) }, { "events", std::to_string(m_events) },
            { "attempts", std::to_string(m_attempts) },
            { "tokens",
                std::to_string(static_cast<int>(m_request.size.promptTokens)) + ","
                    + std::to_string(static_cast<int>(m_request.size.maxOutputTokens)) },
            { "first_ms", inMs(m_timeToFirstEvent) }, { "gap_ms", inMs(m_longestGap) },
            { "ms", inMs(between(m_request.arrivedAt, now)) } });
}

void exchange::onAttemptFailed(attempt_failure how, http1::message_end end, steady_time now)
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
        retry({ attempt_outcome::Unsent, "no connection to " + text(first) }, now);
        return;
    }
    const bool isInvalid = how == attempt_failure::InvalidResponse;
    retry({ isInvalid ? attempt_outcome::InvalidResponse : attempt_outcome::ConnectionLost,
              (isInvalid ? "invalid response from " : "connection lost to ") + text(first) + ": "
                  + std::string(nameIn(http1::messageEndNames, end)) },
        now);
}

} // namespace buckthornrail::gateway
