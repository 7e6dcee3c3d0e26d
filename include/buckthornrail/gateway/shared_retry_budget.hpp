/// @file
/// @brief Retries that a gateway may send out of a budget shared by all gateways.
///
/// The configured limit for each sliding window is a ratio of the requests plus a fixed allowance (slack). Each gateway
/// may use the ratio of its own requests and an equal share of the slack. The shares stay within the slack as long as
/// no gateway assumes too few gateways, and none spends again what its process spent before a restart.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/registry/gateway_table.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace buckthornrail::gateway {

struct shared_retry_budget_options {
    double ratio = 0.2; ///< retries per request, from the settings
    double slack = 100; ///< additional retries per window, of all gateways together
    milliseconds window { 10000 };
    /// Usable share of the budget, 0 to 1: gateways count a request at slightly different times.
    double usableShare = 0.85;
    /// Share of that which refused requests, executed by no target, may use: their callers can send them again without
    /// using the budget, while a started stream would be lost.
    double refusedShare = 0.5;
    /// Until this time retries of an earlier process of this gateway may be missing from the count. Before it, refused
    /// requests use no slack. Started streams use the slack accrued over the window that ends then; without it all
    /// streams over a crashed member were aborted for ten seconds after a system start.
    steady_time slackFrom {};
};

/// @brief Counts requests and retries of one service over a sliding window. Callers pass the time in.
class shared_retry_budget {
public:
    explicit shared_retry_budget(const shared_retry_budget_options& options)
        : m_options(options)
    {
    }

    /// @brief Sets how many gateways share the slack; 0 is ignored. The largest number within a window applies, as
    /// gateways that have left may have spent their shares. Before the first call there is no slack.
    void setGatewayCount(std::size_t gateways, steady_time now);
    /// @brief Adds all retries that earlier processes of this gateway spent within the last window.
    void restoreSpent(std::uint32_t spent, steady_time now);
    void countRequest(steady_time now);
    /// @brief Takes one retry out of the budget. @param wasRefused no target has executed the request
    /// @return false when the budget is exhausted
    bool tryTake(bool wasRefused, steady_time now);
    /// @return whether every retry of this gateway within the window is counted
    [[nodiscard]] bool isComplete(steady_time now) const { return now >= m_options.slackFrom; }
    /// @return retries within the window that ends now
    [[nodiscard]] std::uint32_t spent(steady_time now);
    /// @return retries and requests in the window and the number of gateways that share the budget, for logs
    [[nodiscard]] std::string describe(steady_time now);

private:
    /// @brief Drops entries that have left the window.
    void dropExpired(steady_time now);
    /// @return usable share of this gateway's slack, 0 to 1
    [[nodiscard]] double slackShare(bool wasRefused, steady_time now) const;
    [[nodiscard]] std::size_t gateways() const;

    shared_retry_budget_options m_options;
    std::deque<steady_time> m_requestExpiries; ///< when each request leaves the window
    std::deque<steady_time> m_retryExpiries; ///< when each retry leaves the window
    std::size_t m_gateways = 0; ///< as set last; 0: never
    std::map<std::size_t, steady_time> m_earlierGateways; ///< earlier numbers and until when they apply
};

/// @brief Budgets of one gateway, one for each service that it has sent requests to.
class shared_retry_budgets {
public:
    explicit shared_retry_budgets(const shared_retry_budget_options& options)
        : m_initial(options)
    {
    }

    [[nodiscard]] shared_retry_budget& forService(const std::string& service);
    /// @brief See shared_retry_budget::setGatewayCount.
    void setGatewayCount(std::size_t gateways, steady_time now);
    /// @brief See shared_retry_budget::restoreSpent. Nothing was spent for services that are not listed.
    void restoreSpent(const registry::retry_counts& spent, steady_time now);
    /// @brief See shared_retry_budget::isComplete.
    [[nodiscard]] bool isComplete(steady_time now) const { return m_initial.isComplete(now); }
    /// @return services with retries within the window that ends now
    [[nodiscard]] registry::retry_counts spent(steady_time now);

private:
    shared_retry_budget m_initial; ///< budget of a service before its first request
    std::map<std::string, shared_retry_budget> m_byService;
};

} // namespace buckthornrail::gateway
