/// @file
/// @brief Pacing by deadlines: each request moves the next one's by an interval.
#include "buckthornrail/gateway/send_limit.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

/// Under any limit, also 0, all gateways together try one request in so many seconds: only an answer tells that the
/// limit is over.
constexpr double longestPauseSeconds = 10;
/// Each gateway that shares a limit may have one request saved up; so many seconds' requests, and a few more, are saved
/// up by all at the most.
constexpr double savedSeconds = 2;
constexpr double savedBesides = 3;
/// Of these, a gateway saves up more than one as far as all together save up no more than so many seconds' requests.
constexpr double burstSeconds = 1;

steady_time::duration seconds(double amount)
{
    return std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(amount));
}

} // namespace

send_limit::send_limit(double perSecond, std::uint64_t key, double phase, const gateway_share& share, steady_time now)
    : m_perSecond(perSecond)
    , m_key(key)
{
    pace(share);
    m_nextAt = now + m_burst + std::chrono::duration_cast<steady_time::duration>(m_interval * phase);
}

void send_limit::pace(const gateway_share& share)
{
    const double limit = std::max(m_perSecond, 1 / longestPauseSeconds);
    const auto most = static_cast<std::size_t>(savedSeconds * limit + savedBesides);
    const std::size_t sharers = std::min(share.gateways, most);
    m_maySend = share.gateways > 0 && (share.ordinal + m_key) % share.gateways < sharers;
    const double intervalSeconds = static_cast<double>(std::max<std::size_t>(sharers, 1)) / limit;
    const double saved = (burstSeconds * limit + savedBesides) / static_cast<double>(std::max<std::size_t>(sharers, 1));
    m_interval = seconds(intervalSeconds);
    m_burst = seconds(intervalSeconds * std::max(0.0, saved - 1));
}

void send_limit::change(double perSecond, const gateway_share& share, steady_time now)
{
    m_perSecond = perSecond;
    shareChanged(share, now);
}

void send_limit::shareChanged(const gateway_share& share, steady_time now)
{
    const bool couldSend = m_maySend;
    pace(share);
    // One that begins to share has saved nothing up; one whose interval was longer doesn't wait for its end.
    const auto whole = now + m_burst + m_interval;
    m_nextAt = couldSend ? std::min(m_nextAt, whole) : whole;
}

bool send_limit::maySend(steady_time now) const { return m_maySend && now + m_burst >= m_nextAt; }

void send_limit::sent(steady_time now) { m_nextAt = std::max(m_nextAt, now) + m_interval; }

steady_time send_limit::roomAt(steady_time now) const
{
    return m_maySend ? std::max(now, m_nextAt - m_burst) : now + m_interval;
}

} // namespace buckthornrail::gateway
