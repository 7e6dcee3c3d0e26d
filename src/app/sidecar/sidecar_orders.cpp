/// @file
/// @brief Applies the effects of the order sequencer: calls the target and reports to the controllers.
#include "app/sidecar/sidecar.hpp"

namespace buckthornrail::app {

void sidecar::applyOrderEffects()
{
    while (const auto effect = m_orders.nextEffect()) {
        if (std::holds_alternative<dispatch::pause_work>(*effect))
            m_paused = true;
        else if (std::holds_alternative<dispatch::resume_work>(*effect))
            m_paused = false;
        else if (const auto* sending = std::get_if<dispatch::send_order>(&*effect))
            sendOrder(*sending);
        else if (std::holds_alternative<dispatch::read_target_state>(*effect))
            readTargetState();
        else if (const auto* report = std::get_if<dispatch::report_order>(&*effect))
            reportOrder(*report);
    }
    m_core.gate().setReady(m_targetReady && !m_paused);
}

void sidecar::sendOrder(const dispatch::send_order& sending)
{
    telemetry::logEvent(event_code::OrderBegun,
        { { "fence", std::to_string(sending.order.fence) }, { "model", sending.order.model },
            { "version", sending.order.version } });
    asio::post(m_pool, [this, sending] {
        const bool accepted = m_targetAdapter->sendOrder(sending.order, sending.deadline);
        m_loop.post([this, fence = sending.order.fence, accepted] {
            m_orders.orderCallEnded(fence, accepted, !accepted, steadyNow());
            applyOrderEffects();
        });
    });
}

void sidecar::readTargetState()
{
    asio::post(m_pool, [this] {
        const auto model = m_targetAdapter->loadedModel();
        m_loop.post([this, model] {
            m_orders.stateRead(model.first, model.second, steadyNow());
            applyOrderEffects();
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
