/// @file
/// @brief How many requests a gateway may send a second time, out of a budget that all gateways share.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace buckthornrail::gateway {

struct repeat_budget_options {
    double ratio = 0.2; ///< repeats for each request, from the operators
    double slack = 100; ///< repeats in a window besides, of all gateways together
    milliseconds window { 10000 };
    /// Part of the budget that is used: requests are counted by others at slightly other moments.
    double part = 0.85;
    /// What was refused, and so begun nowhere, may use this part of that: its caller can come again at no cost to the
    /// budget, while a stream that has begun is lost.
    double partForRefused = 0.5;
};

/// @brief Counts requests and repeats of one service over a sliding window. Callers pass the time in.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_budget_options& options)
        : m_options(options)
    {
    }

    void noteRequest(steady_time now);
    /// @brief Takes one repeat out of the budget. @param gateways that share it
    /// @param wasRefused the request has begun nowhere
    /// @return false when it is spent
    bool take(std::size_t gateways, bool wasRefused, steady_time now);

    /// @brief What a decision was made from, for logs: requests and repeats in the window, gateways that share it.
    [[nodiscard]] std::string describe(std::size_t gateways) const;

private:
    void drop(steady_time now);

    repeat_budget_options m_options;
    std::deque<steady_time> m_requestsEnd; ///< when each request leaves the window
    std::deque<steady_time> m_repeatsEnd;
};

} // namespace buckthornrail::gateway
