/// @file
/// @brief Backoff deadlines by target.
#include "app/registry/target_backoffs.hpp"

#include "buckthornrail/telemetry/log.hpp"

#include <algorithm>

namespace buckthornrail::app {

bool target_backoffs::recordResponse(const registry::target_incarnation& target, net::call_outcome outcome,
    const net::whole_response& response, steady_time now)
{
    std::erase_if(m_ends, [now](const auto& item) { return now >= item.second; });
    if (outcome != net::call_outcome::Responded)
        return false;
    const auto delay = m_dialect.readRetryAfter(response.head);
    if (!delay)
        return false;
    auto& end = m_ends[target];
    end = std::max(end, now + *delay);
    telemetry::logEvent(event_code::TargetPushback,
        { { "target", text(target) }, { "rest_ms", std::to_string(delay->count()) }, { "source", "response" } });
    return true;
}

steady_time target_backoffs::endOf(const registry::target_incarnation& target) const
{
    const auto found = m_ends.find(target);
    return found == m_ends.end() ? steady_time {} : found->second;
}

bool target_backoffs::isBackingOff(const registry::target_incarnation& target, steady_time now) const
{
    return now < endOf(target);
}

} // namespace buckthornrail::app
