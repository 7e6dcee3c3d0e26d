/// @file
/// @brief Rest by target, until a deadline.
#include "app/registry/target_rests.hpp"

#include "buckthornrail/telemetry/log.hpp"

#include <algorithm>

namespace buckthornrail::app {

bool target_rests::heard(const registry::target_incarnation& target, net::call_outcome outcome,
    const net::whole_response& response, steady_time now)
{
    std::erase_if(m_until, [now](const auto& item) { return now >= item.second; });
    if (outcome != net::call_outcome::Answered)
        return false;
    const auto rest = m_dialect.readRetryAfter(response.head);
    if (!rest)
        return false;
    auto& until = m_until[target];
    until = std::max(until, now + *rest);
    telemetry::logEvent(event_code::TargetPushback,
        { { "target", text(target) }, { "rest_ms", std::to_string(rest->count()) }, { "source", "response" } });
    return true;
}

steady_time target_rests::until(const registry::target_incarnation& target) const
{
    const auto found = m_until.find(target);
    return found == m_until.end() ? steady_time {} : found->second;
}

bool target_rests::isResting(const registry::target_incarnation& target, steady_time now) const
{
    return now < until(target);
}

} // namespace buckthornrail::app
