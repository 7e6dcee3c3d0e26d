/// @file
/// @brief Carries out the plan of layers: orders to targets, fenced, one at a time each, with the state read before.
#pragma once

#include "app/registry/target_backoffs.hpp"
#include "app/shared/process.hpp"
#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "buckthornrail/registry/layer_plan.hpp"

#include <map>

namespace buckthornrail::app {

/// @brief Lives on the loop thread of the controller that leads.
class layer_orders {
public:
    layer_orders(link::event_loop& loop, const gateway::control_dialect& dialect, target_backoffs& rests);

    /// @brief This controller leads from now on. @param fence higher than that of any earlier leader
    void begin(std::uint64_t fence, steady_time now);
    /// @brief It leads no more: what is under way is dropped.
    void end();
    /// @brief Plans, and gives the next orders.
    /// @param version of the document that names the services
    void step(const registry::target_table& targets, const std::vector<gateway::service>& services,
        std::uint64_t version, steady_time now);

private:
    /// An order from its decision until the target reports the layers, or gives no sign in time.
    struct open_order {
        registry::target_incarnation target; ///< a later life under its id knows nothing of the order
        registry::layer_range layers;
        steady_time deadline {}; ///< given up then
        steady_time nextTry {};
        bool isUrgent = false;
        bool isSent = false; ///< the target took it
        std::shared_ptr<net::http_call> call;
    };

    /// What a plan is made from, beside the orders that are out.
    struct plan_basis {
        std::uint64_t targetRevision = 0;
        std::uint64_t documentVersion = 0;
        bool operator==(const plan_basis&) const = default;
    };

    void settle(const registry::target_table& targets, steady_time now);
    /// @return true when it gave orders: the next plan may give more
    bool plan(const registry::target_table& targets, const gateway::service& service, steady_time now);
    /// @brief Makes the next calls of orders that are out.
    void proceed(const registry::target_table& targets, steady_time now);
    void ask(const registry::target_record& record, open_order& order, steady_time now);
    void give(const registry::target_record& record, const gateway::target_report& report);
    void onReport(
        const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response);
    void onTaken(const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response);

    link::event_loop& m_loop;
    const gateway::control_dialect& m_dialect;
    target_backoffs& m_rests;
    bool m_active = false;
    std::uint64_t m_fence = 0;
    steady_time m_settledAt {}; ///< no plan before: targets that start together are planned together
    std::size_t m_knownTargets = 0;
    plan_basis m_planned; ///< of the last plan
    bool m_isPlanDue = true; ///< though its basis is the same
    /// @brief The open order of a life; nothing when there is none, or it is another life's.
    [[nodiscard]] open_order* orderOf(const registry::target_record& record);

    std::map<std::string, open_order> m_open; ///< by id: one life is planned at a time
};

} // namespace buckthornrail::app
