/// @file
/// @brief Sliding windows of requests and retries.
#include "buckthornrail/gateway/shared_retry_budget.hpp"

#include <algorithm>

namespace buckthornrail::gateway {

void shared_retry_budget::setGatewayCount(std::size_t gateways, steady_time now)
{
    if (gateways == 0)
        return;
    dropExpired(now);
    if (m_gateways != 0 && m_gateways != gateways)
        m_earlierGateways[m_gateways] = now + m_options.window; // it applied until now
    m_gateways = gateways;
}

void shared_retry_budget::restoreSpent(std::uint32_t spent, steady_time now)
{
    dropExpired(now);
    m_options.slackFrom = std::min(m_options.slackFrom, now);
    m_retryExpiries.insert(m_retryExpiries.end(), spent, now + m_options.window);
}

void shared_retry_budget::countRequest(steady_time now)
{
    dropExpired(now);
    m_requestExpiries.push_back(now + m_options.window);
}

bool shared_retry_budget::tryTake(bool wasRefused, steady_time now)
{
    dropExpired(now);
    const double ownSlack
        = gateways() == 0 ? 0 : slackShare(wasRefused, now) * m_options.slack / static_cast<double>(gateways());
    const double share = m_options.usableShare * (wasRefused ? m_options.refusedShare : 1);
    const double allowed = share * (m_options.ratio * static_cast<double>(m_requestExpiries.size()) + ownSlack);
    if (static_cast<double>(m_retryExpiries.size()) + 1 > allowed)
        return false;
    m_retryExpiries.push_back(now + m_options.window);
    return true;
}

double shared_retry_budget::slackShare(bool wasRefused, steady_time now) const
{
    if (isComplete(now))
        return 1;
    const std::chrono::duration<double> left = m_options.slackFrom - now;
    const std::chrono::duration<double> window = m_options.window;
    return wasRefused ? 0 : std::clamp(1 - left / window, 0.0, 1.0);
}

std::uint32_t shared_retry_budget::spent(steady_time now)
{
    dropExpired(now);
    return static_cast<std::uint32_t>(m_retryExpiries.size());
}

std::string shared_retry_budget::describe(steady_time now)
{
    dropExpired(now);
    return std::to_string(m_retryExpiries.size()) + " retries for " + std::to_string(m_requestExpiries.size())
        + " requests, one of " + std::to_string(gateways()) + " gateways"
        + (isComplete(now) ? "" : ", in its first window");
}

void shared_retry_budget::dropExpired(steady_time now)
{
    while (!m_requestExpiries.empty() && m_requestExpiries.front() <= now)
        m_requestExpiries.pop_front();
    while (!m_retryExpiries.empty() && m_retryExpiries.front() <= now)
        m_retryExpiries.pop_front();
    std::erase_if(m_earlierGateways, [now](const auto& item) { return item.second <= now; });
}

std::size_t shared_retry_budget::gateways() const
{
    return m_earlierGateways.empty() ? m_gateways : std::max(m_gateways, m_earlierGateways.rbegin()->first);
}

shared_retry_budget& shared_retry_budgets::forService(const std::string& service)
{
    return m_byService.try_emplace(service, m_initial).first->second;
}

void shared_retry_budgets::setGatewayCount(std::size_t gateways, steady_time now)
{
    m_initial.setGatewayCount(gateways, now);
    for (auto& [service, budget] : m_byService)
        budget.setGatewayCount(gateways, now);
}

void shared_retry_budgets::restoreSpent(const registry::retry_counts& spent, steady_time now)
{
    for (const auto& service : spent)
        (void)forService(service.service);
    m_initial.restoreSpent(0, now);
    for (auto& [service, budget] : m_byService) {
        const auto found = std::find_if(
            spent.begin(), spent.end(), [&name = service](const auto& entry) { return entry.service == name; });
        budget.restoreSpent(found == spent.end() ? 0 : found->repeats, now);
    }
}

registry::retry_counts shared_retry_budgets::spent(steady_time now)
{
    registry::retry_counts counts;
    for (auto& [service, budget] : m_byService) {
        if (const auto retries = budget.spent(now); retries > 0)
            counts.push_back({ service, retries });
    }
    return counts;
}

} // namespace buckthornrail::gateway
