/// @file
/// @brief Sliding windows of requests and repeats.
#include "buckthornrail/gateway/repeat_budget.hpp"

#include <algorithm>

namespace buckthornrail::gateway {

void repeat_budget::noteRequest(steady_time now)
{
    drop(now);
    m_requestsEnd.push_back(now + m_options.window);
}

bool repeat_budget::take(std::size_t gateways, bool wasRefused, steady_time now)
{
    drop(now);
    const double shared = m_options.slack / static_cast<double>(std::max<std::size_t>(gateways, 1));
    const double part = m_options.part * (wasRefused ? m_options.partForRefused : 1);
    const double allowed = part * (m_options.ratio * static_cast<double>(m_requestsEnd.size()) + shared);
    if (static_cast<double>(m_repeatsEnd.size()) + 1 > allowed)
        return false;
    m_repeatsEnd.push_back(now + m_options.window);
    return true;
}

std::string repeat_budget::describe(std::size_t gateways) const
{
    return std::to_string(m_repeatsEnd.size()) + " for " + std::to_string(m_requestsEnd.size()) + " requests, one of "
        + std::to_string(gateways) + " gateways";
}

void repeat_budget::drop(steady_time now)
{
    while (!m_requestsEnd.empty() && m_requestsEnd.front() <= now)
        m_requestsEnd.pop_front();
    while (!m_repeatsEnd.empty() && m_repeatsEnd.front() <= now)
        m_repeatsEnd.pop_front();
}

} // namespace buckthornrail::gateway
