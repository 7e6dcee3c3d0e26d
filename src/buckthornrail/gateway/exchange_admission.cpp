/// @file
/// @brief Admission of a request by priority before its first attempt.
#include "buckthornrail/gateway/exchange.hpp"

#include <cmath>
#include <utility>

namespace buckthornrail::gateway {
namespace {

constexpr double percent = 100;

std::string rounded(double value) { return std::to_string(std::lround(value)); }

} // namespace

void exchange::useAdmission(admission_control& control)
{
    m_admission = &control;
    m_ticket.call = m_request.call;
    m_ticket.service = m_request.service;
    m_ticket.priority = m_request.priority.value_or(0);
    m_ticket.isReturning = m_request.waitedBefore > milliseconds(0);
    m_ticket.tokens = m_pool.expectedTokens(m_request.service, m_request.size);
    m_ticket.bytes = m_request.bytes;
    m_ticket.arrivedAt = m_request.arrivedAt;
    m_ticket.firstEventDeadline = m_request.arrivedAt + m_request.route->latencyTarget - m_request.waitedBefore;
    m_ticket.latencyTarget = m_request.route->latencyTarget;
    m_ticket.callerDeadline = m_request.deadline;
}

void exchange::requestAdmission(steady_time now)
{
    std::optional<selection> selected;
    if (m_admission->mayStart(m_ticket, m_pool, now)) {
        selected = m_pool.select(m_request.service, m_constraints, now);
        if (!selected && !m_isQueued) {
            finish(result_code::NoTarget, ran_state::No, "no usable target or path", now);
            return;
        }
    }
    applyAdmission(m_admission->decide(m_ticket, selected, now), selected, now);
}

void exchange::applyAdmission(
    const admission_decision& decision, const std::optional<selection>& selected, steady_time now)
{
    switch (decision.verdict) {
    case admission_verdict::Start:
        leaveQueue(queue_exit::Started, now);
        scheduleAttempt({ selected, {}, m_constraints }, now);
        return;
    case admission_verdict::Wait:
        if (!std::exchange(m_isQueued, true))
            logQueue(event_code::RequestQueued, "queued", now);
        scheduleTimer(now);
        return;
    case admission_verdict::Refuse:
        leaveQueue(queue_exit::Expired, now);
        refuseAdmission(decision.reason + (selected ? "; " + selected->summary : ""), now);
        return;
    }
}

bool exchange::retryAdmission(steady_time now)
{
    if (!m_isQueued || m_over)
        return true;
    requestAdmission(now);
    return !m_isQueued;
}

void exchange::refuseQueued(queue_exit how, steady_time now)
{
    if (!leaveQueue(how, now))
        return;
    if (how == queue_exit::ShuttingDown)
        finish(result_code::ShuttingDown, ran_state::No, "the gateway shuts down while the request is queued", now);
    else
        refuseAdmission("displaced from the full queue by a request of a higher priority", now);
}

bool exchange::leaveQueue(queue_exit how, steady_time now)
{
    if (!std::exchange(m_isQueued, false))
        return false;
    m_admission->remove(m_ticket.call);
    logQueue(event_code::QueueLeft, std::string(nameIn(queueExitNames, how)), now);
    return true;
}

void exchange::refuseAdmission(const std::string& reason, steady_time now)
{
    m_returnAt = m_admission->promiseReturn(m_ticket, now);
    m_hasNoReturnTime = !m_returnAt;
    finish(result_code::Busy, ran_state::No, reason, now);
}

void exchange::logQueue(event_code event, const std::string& outcome, steady_time now)
{
    const auto figures = m_admission->figures(m_ticket, now);
    const auto othersAge = m_admission->othersAge(now);
    m_port.logEvent(event,
        { { "request", m_request.id }, { "service", m_request.service },
            { "priority", std::to_string(m_ticket.priority) }, { "returning", m_ticket.isReturning ? "yes" : "no" },
            { "outcome", outcome }, { "reserved_percent", rounded(figures.reservedShare * percent) },
            { "tokens_ahead", rounded(figures.tokensAhead) }, { "tokens_per_s", rounded(figures.tokensPerSecond) },
            { "others_age_ms", othersAge ? std::to_string(othersAge->count()) : "" },
            { "waited_ms", std::to_string(between(m_request.arrivedAt, now).count()) } });
}

void exchange::countRunning(bool isRunning, steady_time now)
{
    if (m_admission == nullptr || std::exchange(m_isRunning, isRunning) == isRunning)
        return;
    if (isRunning)
        m_admission->attemptStarted(m_ticket.service, m_ticket.priority, m_ticket.tokens, now);
    else
        m_admission->attemptEnded(m_ticket.service, m_ticket.priority, m_ticket.tokens, now);
}

} // namespace buckthornrail::gateway
