/// @file
/// @brief Starting, queueing and refusing requests of ranked services.
#include "buckthornrail/gateway/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace buckthornrail::gateway {
namespace {

constexpr double percent = 100;

std::string roundedPercent(double share) { return std::to_string(std::lround(share * percent)) + "%"; }

/// Whether `a` goes before `b` in the order of admission_queue, without arrival times: `b` may not be queued yet.
bool goesBefore(const queued_request& a, const queued_request& b)
{
    return std::tuple(a.priority, !a.isReturning, a.deadline) < std::tuple(b.priority, !b.isReturning, b.deadline);
}

/// Position in the queue behind all requests of the same priority.
queued_request lastOfPriority(queued_request entry)
{
    entry.isReturning = false;
    entry.deadline = steady_time::max();
    entry.enqueuedAt = steady_time::max();
    entry.call = std::numeric_limits<std::uint64_t>::max();
    return entry;
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
    const steady_time latest = ticket.isReturning ? std::max(onTime, ticket.arrivedAt + m_options.maxLateWait) : onTime;
    return std::min(latest, ticket.callerDeadline - prefillTime);
}

void admission_control::countArrival(const admission_ticket& ticket, steady_time now)
{
    m_admission.countArrival(requestOf(ticket), now);
}

bool admission_control::mayStart(const admission_ticket& ticket, const target_pool& pool, steady_time now) const
{
    if (m_queue.contains(ticket.call) && now >= latestStart(ticket))
        return false;
    const auto request = requestOf(ticket);
    const auto first = m_queue.next(ticket.service);
    const bool isFirst = !first || first->call == ticket.call || !goesBefore(*first, entryOf(ticket, now));
    if (!isFirst && !m_admission.isGuaranteed(request, now))
        return false;
    const double lowestUse = pool.lowestMemoryUse(ticket.service);
    return std::isinf(lowestUse) // the search tells why there is no path
        || lowestUse <= pool.memoryLimit(now) - m_admission.reservedShare(request, now);
}

std::vector<std::uint64_t> admission_control::candidates(const std::string& service, steady_time now) const
{
    std::vector<std::uint64_t> calls;
    const auto first = m_queue.next(service);
    for (auto entry = first; entry; entry = m_queue.nextAfter(service, lastOfPriority(*entry))) {
        if (m_admission.isGuaranteed({ entry->service, entry->priority, entry->tokens, entry->isReturning }, now))
            calls.push_back(entry->call);
    }
    if (first && std::find(calls.begin(), calls.end(), first->call) == calls.end())
        calls.push_back(first->call);
    return calls;
}

admission_figures admission_control::figures(const admission_ticket& ticket, steady_time now) const
{
    const auto request = requestOf(ticket);
    return { m_admission.reservedShare(request, now), m_admission.waitingAhead(request, now),
        m_admission.expectedReleaseRate(ticket.service, now) };
}

admission_decision admission_control::decide(
    const admission_ticket& ticket, const std::optional<selection>& selected, steady_time now)
{
    updateSums(ticket.service, now);
    const auto request = requestOf(ticket);
    const bool fits
        = selected && selected->memoryUse <= selected->memoryLimit - m_admission.reservedShare(request, now);
    if (!fits)
        return queueOrRefuse(ticket, now);
    m_queue.remove(ticket.call);
    m_admission.countAdmission(request, now);
    return { admission_verdict::Start, {} };
}

admission_decision admission_control::queueOrRefuse(const admission_ticket& ticket, steady_time now)
{
    const bool isQueued = m_queue.contains(ticket.call);
    const auto current = figures(ticket, now);
    const std::chrono::duration<double> left = latestStart(ticket) - now;
    const bool startsInTime
        = left.count() > 0 && (isQueued || current.tokensAhead < left.count() * current.tokensPerSecond);
    if (startsInTime && (isQueued || m_queue.add(entryOf(ticket, now)))) {
        updateSums(ticket.service, now);
        return { admission_verdict::Wait, {} };
    }
    m_queue.remove(ticket.call);
    return { admission_verdict::Refuse,
        std::string(startsInTime ? "the queue is full" : "no capacity in time") + " for priority "
            + std::to_string(ticket.priority) + ": " + roundedPercent(current.reservedShare) + " reserved, "
            + std::to_string(std::lround(current.tokensAhead)) + " tokens ahead, "
            + std::to_string(std::lround(current.tokensPerSecond)) + " expected to be released per second" };
}

std::optional<steady_time> admission_control::promiseReturn(const admission_ticket& ticket, steady_time now)
{
    updateSums(ticket.service, now);
    return_request request;
    request.priority = ticket.priority;
    request.tokens = ticket.tokens;
    request.tokensAhead = m_admission.promisedAhead(requestOf(ticket), now);
    const std::chrono::duration<double> left = ticket.callerDeadline - now;
    const double releaseRate = m_admission.expectedReleaseRate(ticket.service, now);
    if (releaseRate > 0 && request.tokensAhead >= releaseRate * left.count())
        return std::nullopt; // not even if no other request came
    // A rate that is too low to serve the request in time says only that the shortage lasts: like no spare rate at all.
    const double spareRate = m_admission.spareRate(ticket.service, ticket.priority, now);
    const bool isUsable
        = spareRate >= m_options.minSpareShare * releaseRate && request.tokensAhead < spareRate * left.count();
    request.spareTokensPerSecond = isUsable ? spareRate : 0;
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
    std::vector<std::string> services;
    for (const auto& [service, priorities] : m_priorities) {
        if (m_queue.next(service))
            services.push_back(service);
    }
    return services;
}

std::vector<admission_state> admission_control::states(steady_time now)
{
    for (const auto& [service, priorities] : m_priorities)
        updateSums(service, now);
    return m_admission.states(now);
}

} // namespace buckthornrail::gateway
