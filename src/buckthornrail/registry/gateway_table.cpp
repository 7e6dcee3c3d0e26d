/// @file
/// @brief Gateways and their spent retries, from heartbeats.
#include "buckthornrail/registry/gateway_table.hpp"

#include <algorithm>

namespace buckthornrail::registry {
namespace {

void add(retry_counts& sum, const retry_counts& more)
{
    for (const auto& row : more) {
        const auto known = std::find_if(
            sum.begin(), sum.end(), [&row](const auto& candidate) { return candidate.service == row.service; });
        if (known == sum.end())
            sum.push_back(row);
        else
            known->repeats += row.repeats;
    }
}

/// Retries that all processes of a gateway had spent at its last heartbeat. Includes retries that have left the window
/// since, so the number may be too high but never too low.
/// @return nothing when unknown
std::optional<retry_counts> totalSpent(const gateway_usage& last, const std::optional<retry_counts>& earlier)
{
    if (last.isComplete)
        return last.spent;
    if (!earlier)
        return std::nullopt;
    retry_counts sum = *earlier;
    add(sum, last.spent);
    return sum;
}

} // namespace

void gateway_table::reset(steady_time now)
{
    m_gateways.clear();
    m_settledAt = now + m_options.settlingPeriod;
}

void gateway_table::recordHeartbeat(const gateway_usage& usage, steady_time now)
{
    std::erase_if(m_gateways, [now](const auto& item) { return now >= item.second.deadline; });
    auto& known = m_gateways[usage.id];
    if (known.last.incarnation != usage.incarnation) {
        const bool isDirectSuccessor = now < known.restartDeadline;
        known.earlier = isDirectSuccessor ? totalSpent(known.last, known.earlier) : std::nullopt;
    }
    known.last = usage;
    known.restartDeadline = now + m_options.restartTime;
    known.deadline = now + m_options.window;
}

std::size_t gateway_table::count(steady_time now) const
{
    if (now < m_settledAt)
        return 0;
    return static_cast<std::size_t>(std::count_if(
        m_gateways.begin(), m_gateways.end(), [now](const auto& item) { return now < item.second.deadline; }));
}

bool gateway_table::contains(const std::string& id, std::uint64_t incarnation, steady_time now) const
{
    const auto found = m_gateways.find(id);
    return found != m_gateways.end() && found->second.last.incarnation == incarnation && now < found->second.deadline;
}

std::vector<std::string> gateway_table::liveGateways(steady_time now) const
{
    std::vector<std::string> ids;
    for (const auto& [id, gateway] : m_gateways) {
        if (now < gateway.deadline)
            ids.push_back(id);
    }
    return ids;
}

std::optional<retry_counts> gateway_table::earlierRetries(const std::string& id) const
{
    const auto found = m_gateways.find(id);
    return found == m_gateways.end() || found->second.last.isComplete ? std::nullopt : found->second.earlier;
}

} // namespace buckthornrail::registry
