/// @file
/// @brief The sidecar's part in orders to its target.
#include "app/sidecar/sidecar.hpp"

namespace buckthornrail::app {

void sidecar::carryOutOrder()
{
    while (const auto effect = m_orders.nextEffect()) {
        if (std::holds_alternative<dispatch::pause_work>(*effect))
            m_paused = true;
        else if (std::holds_alternative<dispatch::resume_work>(*effect))
            m_paused = false;
        else if (const auto* sent = std::get_if<dispatch::send_order>(&*effect))
            sendOrder(*sent);
        else if (std::holds_alternative<dispatch::read_target_state>(*effect))
            readLoaded();
        else if (const auto* report = std::get_if<dispatch::report_order>(&*effect))
            reportOrder(*report);
    }
    m_core.gate().setReady(m_targetReady && !m_paused);
}

void sidecar::sendOrder(const dispatch::send_order& sent)
{
    telemetry::logEvent(event_code::OrderBegun,
        { { "fence", std::to_string(sent.order.fence) }, { "model", sent.order.model },
            { "version", sent.order.version } });
    asio::post(m_pool, [this, sent] {
        const bool current = m_dialect->order(sent.order, sent.deadline);
        m_loop.post([this, fence = sent.order.fence, current] {
            m_orders.orderCallEnded(fence, current, !current, steadyNow());
            carryOutOrder();
        });
    });
}

void sidecar::readLoaded()
{
    asio::post(m_pool, [this] {
        const auto held = m_dialect->loaded();
        m_loop.post([this, held] {
            m_orders.stateRead(held.first, held.second, steadyNow());
            carryOutOrder();
        });
    });
}

void sidecar::reportOrder(const dispatch::report_order& report)
{
    const auto& order = report.order;
    const auto& outcome = report.outcome;
    telemetry::logEvent(event_code::OrderEnded,
        { { "fence", std::to_string(order.fence) }, { "code", std::string(describe(outcome.code).name) },
            { "reason", outcome.reason } });
    if (outcome.code == result_code::Ok)
        m_session->setModel(order.model, order.version);
    m_session->send(link::order_report { m_settings.id, order.fence, outcome.code, outcome.reason });
}

} // namespace buckthornrail::app
