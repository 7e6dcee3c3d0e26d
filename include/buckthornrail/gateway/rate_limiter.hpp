/// @file
/// @brief One gateway's share of a rate limit that a target has named for all gateways together.
///
/// Each gateway paces its own requests, and needs nobody's word for the next one. What all may send sums up to the
/// limit as long as each knows how many they are, and no two are the same one of them.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace buckthornrail::gateway {

/// Which of how many gateways this one is.
struct gateway_share {
    std::size_t gateways = 0; ///< 0: not known
    std::size_t ordinal = 0; ///< from 0 on; no two gateways have the same
    bool operator==(const gateway_share&) const = default;
};

/// @brief Paces requests to one target. Callers pass the time in.
class rate_limiter {
public:
    /// @param key of the target: decides which gateways may send where there are more than requests
    /// @param phase 0 to 1, drawn: when in its first interval a gateway sends first, so that not all do at once
    rate_limiter(double perSecond, std::uint64_t key, double phase, const gateway_share& share, steady_time now);

    [[nodiscard]] double perSecond() const { return m_perSecond; }
    /// @brief The target names another limit.
    void setRate(double perSecond, const gateway_share& share, steady_time now);
    /// @brief The gateways have become more or fewer.
    void setShare(const gateway_share& share, steady_time now);
    /// @brief Whether a request may be sent now.
    [[nodiscard]] bool maySend(steady_time now) const;
    /// @brief A request is being sent.
    void noteSent(steady_time now);
    /// @brief When the next request may be sent. Of a gateway that may send none, when another one may.
    [[nodiscard]] steady_time nextSendAt(steady_time now) const;
    [[nodiscard]] steady_time::duration interval() const { return m_interval; }

private:
    void updatePace(const gateway_share& share);

    double m_perSecond;
    std::uint64_t m_key;
    bool m_isSharer = false; ///< is one of those that share the limit
    steady_time::duration m_interval {}; ///< between this gateway's requests, on average
    steady_time::duration m_burst {}; ///< so much sooner than its interval a request may follow, after a pause
    steady_time m_nextDueAt {}; ///< by the interval alone
};

} // namespace buckthornrail::gateway
