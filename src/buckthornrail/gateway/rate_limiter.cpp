/// @file
/// @brief Pacing by due times: each request moves the next one's due time by an interval.
#include "buckthornrail/gateway/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

/// Under any limit, even 0, all gateways together send one request in this time, as only a response can show that the
/// limit has been lifted.
constexpr double maxIntervalSeconds = 10;
/// Every gateway that shares a limit may accumulate credit for one request. The number of sharers, and with it the
/// total of these credits, is at most this many seconds' worth of requests plus the extra credit.
constexpr double creditSeconds = 2;
constexpr double extraCredit = 3;
/// A gateway may accumulate credit for more than one request as long as the total stays below this many seconds' worth
/// of requests plus the extra credit.
constexpr double burstSeconds = 1;

steady_time::duration seconds(double amount)
{
    return std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(amount));
}

} // namespace

rate_limiter::rate_limiter(
    double perSecond, std::uint64_t key, double phase, const gateway_share& share, steady_time now)
    : m_perSecond(perSecond)
    , m_key(key)
{
    updateInterval(share);
    m_nextDueAt = now + m_burst + std::chrono::duration_cast<steady_time::duration>(m_interval * phase);
}

void rate_limiter::updateInterval(const gateway_share& share)
{
    const double limit = std::max(m_perSecond, 1 / maxIntervalSeconds);
    const auto maxSharers = static_cast<std::size_t>(creditSeconds * limit + extraCredit);
    const std::size_t sharers = std::min(share.gateways, maxSharers);
    m_isSharer = share.gateways > 0 && (share.ordinal + m_key) % share.gateways < sharers;
    const double intervalSeconds = static_cast<double>(std::max<std::size_t>(sharers, 1)) / limit;
    const double credit = (burstSeconds * limit + extraCredit) / static_cast<double>(std::max<std::size_t>(sharers, 1));
    m_interval = seconds(intervalSeconds);
    m_burst = seconds(intervalSeconds * std::max(0.0, credit - 1));
}

void rate_limiter::setRate(double perSecond, const gateway_share& share, steady_time now)
{
    m_perSecond = perSecond;
    setShare(share, now);
}

void rate_limiter::setShare(const gateway_share& share, steady_time now)
{
    const bool wasSharer = m_isSharer;
    updateInterval(share);
    // A new sharer starts without credit; one whose interval was longer doesn't wait for its end.
    const auto withoutCredit = now + m_burst + m_interval;
    m_nextDueAt = wasSharer ? std::min(m_nextDueAt, withoutCredit) : withoutCredit;
}

bool rate_limiter::maySend(steady_time now) const { return m_isSharer && now + m_burst >= m_nextDueAt; }

void rate_limiter::recordSent(steady_time now) { m_nextDueAt = std::max(m_nextDueAt, now) + m_interval; }

steady_time rate_limiter::nextSendAt(steady_time now) const
{
    return m_isSharer ? std::max(now, m_nextDueAt - m_burst) : now + m_interval;
}

} // namespace buckthornrail::gateway
