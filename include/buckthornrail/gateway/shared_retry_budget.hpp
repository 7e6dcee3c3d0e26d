/// @file
/// @brief How many requests a gateway may send a second time, out of a budget that all gateways share.
///
/// The operators bound the repeats of a window: a ratio of the requests, and a slack besides. Each gateway may use the
/// ratio of its own requests and one part of the slack. The parts sum up to no more than the slack as long as nobody's
/// number of gateways is too small, and nobody spends again what its process spent before it was started anew.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/registry/gateway_census.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace buckthornrail::gateway {

struct shared_retry_budget_options {
    double ratio = 0.2; ///< repeats for each request, from the operators
    double slack = 100; ///< repeats in a window besides, of all gateways together
    milliseconds window { 10000 };
    /// Part of the budget that is used: requests are counted by others at slightly other moments.
    double part = 0.85;
    /// What was refused, and so begun nowhere, may use this part of that: its caller can come again at no cost to the
    /// budget, while a stream that has begun is lost.
    double refusedShare = 0.5;
    /// What this process spent before it was started anew may still count until then. What was refused uses no slack
    /// before; streams that have begun, which would be lost, use what has accrued over the window that ends then:
    /// without it all streams over a member that crashed were broken off for ten seconds after a system's start.
    steady_time slackFrom {};
};

/// @brief Counts requests and repeats of one service over a sliding window. Callers pass the time in.
class shared_retry_budget {
public:
    explicit shared_retry_budget(const shared_retry_budget_options& options)
        : m_options(options)
    {
    }

    /// @brief So many gateways share the slack. The largest number told within a window counts: those that have left
    /// since may have spent their parts. Before the first word there is no slack.
    void setGatewayCount(std::size_t gateways, steady_time now);
    /// @brief An earlier process of this gateway spent so much within the last window, and no other.
    void restoreSpent(std::uint32_t spent, steady_time now);
    void countRequest(steady_time now);
    /// @brief Takes one repeat out of the budget. @param wasRefused the request has begun nowhere
    /// @return false when it is spent
    bool tryTake(bool wasRefused, steady_time now);
    /// @brief Whether all that this gateway spent within the window is counted here.
    [[nodiscard]] bool isComplete(steady_time now) const { return now >= m_options.slackFrom; }
    /// @brief Repeats within the window that ends now.
    [[nodiscard]] std::uint32_t spent(steady_time now);
    /// @brief What a decision was made from, for logs: requests and repeats in the window, gateways that share it.
    [[nodiscard]] std::string describe(steady_time now);

private:
    void drop(steady_time now);
    /// @brief Which part of this gateway's slack may be used, 0 to 1.
    [[nodiscard]] double slackPart(bool wasRefused, steady_time now) const;
    [[nodiscard]] std::size_t gateways() const;

    shared_retry_budget_options m_options;
    std::deque<steady_time> m_requestsEnd; ///< when each request leaves the window
    std::deque<steady_time> m_repeatsEnd;
    std::size_t m_gateways = 0; ///< as told last; 0: never
    std::map<std::size_t, steady_time> m_gatewaysUntil; ///< numbers told before: until when their parts may count
};

/// @brief The budgets of one gateway, one for each service that it has sent to.
class shared_retry_budgets {
public:
    explicit shared_retry_budgets(const shared_retry_budget_options& options)
        : m_unused(options)
    {
    }

    [[nodiscard]] shared_retry_budget& of(const std::string& service);
    /// @brief See shared_retry_budget::setGatewayCount.
    void setGatewayCount(std::size_t gateways, steady_time now);
    /// @brief See shared_retry_budget::restoreSpent. Services that aren't named had nothing spent.
    void restoreSpent(const registry::repeat_counts& spent, steady_time now);
    /// @brief See shared_retry_budget::isComplete.
    [[nodiscard]] bool isComplete(steady_time now) const { return m_unused.isComplete(now); }
    /// @brief Services with repeats within the window that ends now.
    [[nodiscard]] registry::repeat_counts spent(steady_time now);

private:
    shared_retry_budget m_unused; ///< what a service's budget is before its first request
    std::map<std::string, shared_retry_budget> m_byService;
};

} // namespace buckthornrail::gateway
