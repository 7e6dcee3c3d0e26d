/// @file
/// @brief Pushback from targets: rate limits, backoff and leaving.
#include "buckthornrail/gateway/exchange.hpp"

namespace buckthornrail::gateway {

void exchange::onPushback(const target_pushback& pushback, bool absenceMeansNone, steady_time sentAt, steady_time now)
{
    const auto first = m_selection.parts.front().target;
    const auto change = m_pool.recordPushback(first, pushback, absenceMeansNone, sentAt, now);
    if (!change && !pushback.retryAfter && !pushback.isLeaving && pushback.unreadable.empty())
        return;
    m_port.logEvent(event_code::TargetPushback,
        { { "request", m_request.id }, { "target", text(first) },
            { "per_second", change ? text(change->after) : std::string() },
            { "before", change ? text(change->before) : std::string() },
            { "before_age_ms", change ? inMs(change->beforeAge) : std::string() },
            { "rest_ms", pushback.retryAfter ? inMs(*pushback.retryAfter) : std::string() },
            { "leaving", pushback.isLeaving ? "yes" : "no" }, { "source", "response" },
            { "reason", pushback.unreadable } });
}

} // namespace buckthornrail::gateway
