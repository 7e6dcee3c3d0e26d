/// @file
/// @brief What targets say of how they want to be treated, as a request's exchange hears it.
#include "buckthornrail/gateway/exchange.hpp"

namespace buckthornrail::gateway {
namespace {

std::string inMs(milliseconds time) { return std::to_string(time.count()); }

} // namespace

void exchange::onPushback(const target_pushback& said, bool namesNone, steady_time sentAt, steady_time now)
{
    const auto first = m_where.parts.front().target;
    const auto change = m_pool.heard(first, said, namesNone, sentAt, now);
    if (!change && !said.rest && !said.isLeaving && said.unreadable.empty())
        return;
    m_port.logEvent(event_code::TargetPushback,
        { { "request", m_request.id }, { "target", text(first) },
            { "per_second", change ? text(change->after) : std::string() },
            { "before", change ? text(change->before) : std::string() },
            { "before_age_ms", change ? inMs(change->beforeAge) : std::string() },
            { "rest_ms", said.rest ? inMs(*said.rest) : std::string() }, { "leaving", said.isLeaving ? "yes" : "no" },
            { "source", "response" }, { "reason", said.unreadable } });
}

} // namespace buckthornrail::gateway
