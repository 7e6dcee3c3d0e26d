/// @file
/// @brief Starting, queueing and refusing requests of ranked services.
#include "buckthornrail/gateway/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace buckthornrail::gateway {
namespace {

constexpr double percent = 100;

std::string roundedPercent(double share) { return std::to_string(std::lround(share * percent)) + "%"; }

/// Whether `a` goes before `b` in the queue of a service.
bool goesBefore(const queued_request& a, const queued_request& b)
{
    return std::tuple(a.priority, !a.isReturning, a.deadline) < std::tuple(b.priority, !b.isReturning, b.deadline);
}

} // namespace

admission_control::admission_control(std::uint64_t seed, const admission_control_options& options)
    : m_options(options)
    , m_admission(options.admission)
    , m_queue(options.queue)
    , m_returns(options.returns, seed)
{
}

void admission_control::setRankedServices(
    const std::map<std::string, std::vector<std::uint32_t>>& priorities, steady_time now)
{
    m_isActive = !priorities.empty();
    m_priorities = priorities;
    m_admission.setRankedServices(priorities, now);
}

void admission_control::setOthers(const registry::demand_report& others, steady_time now)
{
    if (!m_isActive)
        return;
    m_othersAt = now;
    m_admission.setOthers(others, now);
}

registry::demand_report admission_control::report(steady_time now)
{
    if (!m_isActive)
        return {};
    for (const auto& [service, priorities] : m_priorities)
        updateSums(service, now);
    return m_admission.report(now);
}

void admission_control::updateSums(const std::string& service, steady_time now)
{
    const auto known = m_priorities.find(service);
    if (known == m_priorities.end())
        return;
    for (const auto priority : known->second) {
        m_admission.setWaiting(service, priority, m_queue.waitingTokens(service, priority));
        m_admission.setPromised(service, priority, m_returns.promisedTokens(service, priority, now),
            m_returns.dueTokens(service, priority, now));
    }
}

admission_request admission_control::requestOf(const admission_ticket& ticket)
{
    return { ticket.service, ticket.priority, ticket.tokens, ticket.isReturning };
}

queued_request admission_control::entryOf(const admission_ticket& ticket, steady_time now) const
{
    return { ticket.call, ticket.service, ticket.priority, ticket.isReturning, latestStart(ticket), now, ticket.tokens,
        ticket.bytes };
}

steady_time admission_control::latestStart(const admission_ticket& ticket) const
{
    const auto prefillTime
        = std::chrono::duration_cast<steady_time::duration>(ticket.latencyTarget * (1 - m_options.waitShare));
    const steady_time onTime = ticket.firstEventDeadline - prefillTime;
    const bool isLate = ticket.isReturning && onTime <= ticket.arrivedAt;
    const steady_time latest = isLate ? ticket.arrivedAt + m_options.maxLateWait : onTime;
    return std::min(latest, ticket.callerDeadline);
}

void admission_control::countArrival(const admission_ticket& ticket, steady_time now)
{
    m_admission.countArrival(requestOf(ticket), now);
}

bool admission_control::mustQueue(const admission_ticket& ticket, steady_time now) const
{
    const auto first = m_queue.next(ticket.service);
    return first && first->call != ticket.call && goesBefore(*first, entryOf(ticket, now));
}

admission_decision admission_control::decide(const admission_ticket& ticket, const selection& selected, steady_time now)
{
    admission_decision decision;
    updateSums(ticket.service, now);
    const auto request = requestOf(ticket);
    decision.reservedShare = m_admission.reservedShare(request, now);
    decision.tokensAhead = m_admission.waitingAhead(request, now);
    decision.tokensPerSecond = m_admission.releaseRate(ticket.service, now);
    const bool fits = selected.memoryUse <= selected.memoryLimit - decision.reservedShare;
    if (!fits)
        return queueOrRefuse(ticket, std::move(decision), now);
    m_queue.remove(ticket.call);
    m_admission.countAdmission(request, now);
    decision.verdict = admission_verdict::Start;
    return decision;
}

admission_decision admission_control::queueOrRefuse(
    const admission_ticket& ticket, admission_decision decision, steady_time now)
{
    const steady_time latest = latestStart(ticket);
    const bool isQueued = m_queue.contains(ticket.call);
    const std::chrono::duration<double> expected(
        decision.tokensPerSecond > 0 ? decision.tokensAhead / decision.tokensPerSecond : 0);
    const bool startsTooLate
        = now >= latest || (!isQueued && now + std::chrono::duration_cast<steady_time::duration>(expected) >= latest);
    if (!startsTooLate && (isQueued || m_queue.add(entryOf(ticket, now)))) {
        decision.verdict = admission_verdict::Wait;
        updateSums(ticket.service, now);
        return decision;
    }
    m_queue.remove(ticket.call);
    decision.verdict = admission_verdict::Refuse;
    decision.reason = std::string(startsTooLate ? "no capacity in time" : "the queue is full") + " for priority "
        + std::to_string(ticket.priority) + ": " + roundedPercent(decision.reservedShare) + " reserved, "
        + std::to_string(std::lround(decision.tokensAhead)) + " tokens ahead, "
        + std::to_string(std::lround(decision.tokensPerSecond)) + " released a second";
    return decision;
}

std::optional<steady_time> admission_control::promiseReturn(const admission_ticket& ticket, steady_time now)
{
    updateSums(ticket.service, now);
    return_request request;
    request.priority = ticket.priority;
    request.tokens = ticket.tokens;
    request.spareTokensPerSecond = m_admission.spareRate(ticket.service, ticket.priority, now);
    request.tokensAhead = m_admission.promisedAhead(requestOf(ticket), now);
    request.gateways = m_gateways;
    request.callerDeadline = ticket.callerDeadline;
    request.latencyTarget = ticket.latencyTarget;
    const auto returnAt = m_returns.promise(ticket.service, request, now);
    return returnAt == steady_time::max() ? std::nullopt : std::optional(returnAt);
}

void admission_control::attemptStarted(
    const std::string& service, std::uint32_t priority, double tokens, steady_time now)
{
    m_admission.attemptStarted(service, priority, tokens, now);
}

void admission_control::attemptEnded(const std::string& service, std::uint32_t priority, double tokens, steady_time now)
{
    m_admission.attemptEnded(service, priority, tokens, now);
}

std::vector<std::string> admission_control::waitingServices() const
{
    std::set<std::string> services;
    for (const auto& entry : m_queue.requests())
        services.insert(entry.service);
    return { services.begin(), services.end() };
}

std::vector<admission_state> admission_control::states(steady_time now)
{
    for (const auto& [service, priorities] : m_priorities)
        updateSums(service, now);
    return m_admission.states(now);
}

std::optional<milliseconds> admission_control::othersAge(steady_time now) const
{
    return m_othersAt ? std::optional(between(*m_othersAt, now)) : std::nullopt;
}

} // namespace buckthornrail::gateway
