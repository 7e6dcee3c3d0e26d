/// @file
/// @brief One gateway's share of a rate limit that a target names for all gateways together.
///
/// Each gateway paces its own requests without coordination per request. The total stays within the limit as long as
/// all gateways know how many they are and no two have the same ordinal.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace buckthornrail::gateway {

/// Position of this gateway among all gateways.
struct gateway_share {
    std::size_t gateways = 0; ///< number of gateways; 0: not known
    std::size_t ordinal = 0; ///< unique among the gateways, counted from 0
    bool operator==(const gateway_share&) const = default;
};

/// @brief Paces requests to one target. Callers pass the time in.
class rate_limiter {
public:
    /// @param perSecond limit of all gateways together, in requests per second
    /// @param key of the target: decides which gateways may send when there are more gateways than requests
    /// @param phase random, 0 to 1: offset within the first interval, so that gateways don't all send at once
    /// @param share of this gateway
    rate_limiter(double perSecond, std::uint64_t key, double phase, const gateway_share& share, steady_time now);

    /// @brief Limit of all gateways together, in requests per second.
    [[nodiscard]] double perSecond() const { return m_perSecond; }
    /// @brief Replaces the limit. @param perSecond in requests per second
    void setRate(double perSecond, const gateway_share& share, steady_time now);
    /// @brief Replaces this gateway's share after the number of gateways or the ordinal changed.
    void setShare(const gateway_share& share, steady_time now);
    /// @brief Whether a request may be sent now.
    [[nodiscard]] bool maySend(steady_time now) const;
    /// @brief Counts a request that is being sent.
    void recordSent(steady_time now);
    /// @brief When the next request may be sent; if this gateway has no share, when another gateway may send one.
    [[nodiscard]] steady_time nextSendAt(steady_time now) const;
    /// @brief Mean time between this gateway's requests.
    [[nodiscard]] steady_time::duration interval() const { return m_interval; }

private:
    void updateInterval(const gateway_share& share);

    double m_perSecond;
    std::uint64_t m_key;
    bool m_isSharer = false; ///< whether this gateway is among those that share the limit
    steady_time::duration m_interval {}; ///< between this gateway's requests, on average
    steady_time::duration m_burst {}; ///< how much earlier than m_nextDueAt a request may be sent
    steady_time m_nextDueAt {}; ///< of the next request, at a steady rate
};

} // namespace buckthornrail::gateway
