/// @file
/// @brief Executes the layer plan: sends fenced orders to targets, one at a time each, after reading the target's
/// state.
#pragma once

#include "app/registry/target_backoffs.hpp"
#include "app/shared/process.hpp"
#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "buckthornrail/registry/layer_plan.hpp"

#include <map>

namespace buckthornrail::app {

/// @brief Runs on the loop thread of the controller that leads.
class layer_orders {
public:
    layer_orders(link::event_loop& loop, const gateway::control_dialect& dialect, target_backoffs& backoffs);

    /// @brief This controller has become the leader. @param fence higher than that of any earlier leader
    void startLeading(std::uint64_t fence, steady_time now);
    /// @brief This controller no longer leads: cancels calls and drops open orders.
    void stopLeading();
    /// @brief Closes finished orders, plans new ones and starts the calls that are due.
    /// @param version of the document that defines the services
    void update(const registry::target_table& targets, const std::vector<gateway::service>& services,
        std::uint64_t version, steady_time now);

private:
    /// An order from its decision until the target reports the layers, or the deadline passes.
    struct open_order {
        registry::target_incarnation target; ///< a later incarnation under the same id never got the order
        registry::layer_range layers;
        steady_time deadline {}; ///< the order is given up at this time
        steady_time nextAttemptAt {};
        bool isUrgent = false;
        bool isAccepted = false; ///< by the target
        std::shared_ptr<net::http_call> call;
    };

    /// Inputs of a plan, apart from the open orders.
    struct plan_inputs {
        std::uint64_t targetRevision = 0;
        std::uint64_t documentVersion = 0;
        bool operator==(const plan_inputs&) const = default;
    };

    /// @brief Closes orders that are completed, whose target is gone, or whose deadline has passed.
    void closeFinishedOrders(const registry::target_table& targets, steady_time now);
    /// @return true when it opened orders: planning again may open more
    bool planService(const registry::target_table& targets, const gateway::service& service, steady_time now);
    /// @brief Starts the next calls of open orders, up to the limit of concurrent calls.
    void startCalls(const registry::target_table& targets, steady_time now);
    void requestReport(const registry::target_record& record, open_order& order, steady_time now);
    void sendOrder(const registry::target_record& record, const gateway::target_report& report);
    void onReport(
        const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response);
    void onOrderResponse(
        const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response);

    link::event_loop& m_loop;
    const gateway::control_dialect& m_dialect;
    target_backoffs& m_backoffs;
    bool m_isLeading = false;
    std::uint64_t m_fence = 0;
    steady_time m_planNotBefore {}; ///< delayed so that targets that start together are planned together
    std::size_t m_knownTargetCount = 0;
    plan_inputs m_plannedInputs; ///< of the last plan
    bool m_isPlanDue = true; ///< even when the inputs haven't changed
    /// @return the open order of an incarnation; null when there is none, or it belongs to another incarnation
    [[nodiscard]] open_order* findOrder(const registry::target_record& record);

    std::map<std::string, open_order> m_openOrders; ///< by target id: one incarnation is planned at a time
};

} // namespace buckthornrail::app
