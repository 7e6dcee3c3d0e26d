/// @file
/// @brief Gateways by their heartbeats.
#include "buckthornrail/registry/gateway_census.hpp"

#include <algorithm>

namespace buckthornrail::registry {
namespace {

void add(repeat_counts& sum, const repeat_counts& more)
{
    for (const auto& row : more) {
        const auto known
            = std::find_if(sum.begin(), sum.end(), [&row](const auto& one) { return one.service == row.service; });
        if (known == sum.end())
            sum.push_back(row);
        else
            known->repeats += row.repeats;
    }
}

/// What a gateway had spent in all when its last process was heard last. Repeats that have left the window since are
/// counted all the same: too many, never too few.
std::optional<repeat_counts> allSpent(const gateway_life& last, const std::optional<repeat_counts>& earlier)
{
    if (last.isComplete)
        return last.spent;
    if (!earlier)
        return std::nullopt;
    repeat_counts sum = *earlier;
    add(sum, last.spent);
    return sum;
}

} // namespace

void gateway_census::begin(steady_time now)
{
    m_gateways.clear();
    m_settledAt = now + m_options.settling;
}

void gateway_census::heard(const gateway_life& one, steady_time now)
{
    std::erase_if(m_gateways, [now](const auto& item) { return now >= item.second.deadline; });
    auto& known = m_gateways[one.id];
    if (known.last.life != one.life) {
        const bool follows = now < known.restartDeadline;
        known.earlier = follows ? allSpent(known.last, known.earlier) : std::nullopt;
    }
    known.last = one;
    known.restartDeadline = now + m_options.restartTime;
    known.deadline = now + m_options.window;
}

std::size_t gateway_census::count(steady_time now) const
{
    if (now < m_settledAt)
        return 0;
    return static_cast<std::size_t>(std::count_if(
        m_gateways.begin(), m_gateways.end(), [now](const auto& item) { return now < item.second.deadline; }));
}

std::vector<std::string> gateway_census::living(steady_time now) const
{
    std::vector<std::string> ids;
    for (const auto& [id, one] : m_gateways) {
        if (now < one.deadline)
            ids.push_back(id);
    }
    return ids;
}

std::optional<repeat_counts> gateway_census::earlierSpent(const std::string& id) const
{
    const auto found = m_gateways.find(id);
    return found == m_gateways.end() || found->second.last.isComplete ? std::nullopt : found->second.earlier;
}

} // namespace buckthornrail::registry
