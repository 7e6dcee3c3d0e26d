/// @file
/// @brief Runs orders to a target one at a time.
#include "buckthornrail/dispatch/order_sequencer.hpp"

#include <utility>

namespace buckthornrail::dispatch {

order_sequencer::order_sequencer(order_options options, steady_time now)
    : m_options(options)
    , m_earlierOrdersDeadline(options.targetChecksFences ? now : now + options.orderTimeout)
{
}

void order_sequencer::offer(const target_order& order, steady_time now)
{
    if (order.fence <= m_highestFence)
        return;
    m_highestFence = order.fence;
    if (m_phase == phase::Idle) {
        m_current = order;
        pauseWork(now);
        return;
    }
    if (m_pending)
        m_effects.emplace_back(report_order { *m_pending, { result_code::StaleFence, "superseded by a newer order" } });
    m_pending = order;
}

void order_sequencer::workDrained(steady_time now)
{
    if (m_phase != phase::Pausing)
        return;
    if (now < m_earlierOrdersDeadline) {
        m_phase = phase::AwaitingEarlierOrders;
        return;
    }
    sendOrder(now);
}

void order_sequencer::orderCallEnded(fencing_token fence, bool accepted, bool refusedAsStale, steady_time now)
{
    if (m_phase != phase::Sending || fence != m_current->fence)
        return;
    if (refusedAsStale) {
        finish({ result_code::StaleFence, "the target has received a higher fencing token" }, now);
        return;
    }
    (void)accepted; // the loaded version is read back whatever the target has responded
    readBack(now);
}

void order_sequencer::stateRead(const std::string& model, const std::string& version, steady_time now)
{
    if (m_phase != phase::ReadingBack)
        return;
    if (model == m_current->model && version == m_current->version) {
        finish({ result_code::Ok, "" }, now);
        return;
    }
    m_readDeadline = now + m_options.readBackInterval;
}

void order_sequencer::tick(steady_time now)
{
    if (m_phase == phase::AwaitingEarlierOrders && now >= m_earlierOrdersDeadline)
        sendOrder(now);
    // The target may execute the order until its deadline, even after the call failed. If it doesn't check fencing
    // tokens, no other order may be sent before.
    const bool isOver = now >= m_orderDeadline;
    if (m_phase == phase::Sending && isOver)
        readBack(now);
    if (m_phase != phase::ReadingBack || now < m_readDeadline)
        return;
    if (isOver)
        finish({ result_code::TargetFailed, "the target has not loaded the version" }, now);
    else
        readBack(now);
}

std::optional<order_effect> order_sequencer::nextEffect()
{
    if (m_effects.empty())
        return std::nullopt;
    order_effect effect = std::move(m_effects.front());
    m_effects.pop_front();
    return effect;
}

void order_sequencer::pauseWork(steady_time now)
{
    (void)now;
    m_phase = phase::Pausing;
    m_effects.emplace_back(pause_work {});
}

void order_sequencer::sendOrder(steady_time now)
{
    m_phase = phase::Sending;
    m_orderDeadline = now + m_options.orderTimeout;
    m_effects.emplace_back(send_order { *m_current, m_orderDeadline });
}

void order_sequencer::readBack(steady_time now)
{
    m_phase = phase::ReadingBack;
    m_readDeadline = now + m_options.readBackInterval;
    m_effects.emplace_back(read_target_state {});
}

void order_sequencer::finish(failure outcome, steady_time now)
{
    m_effects.emplace_back(report_order { *m_current, std::move(outcome) });
    m_current = std::exchange(m_pending, std::nullopt);
    if (m_current) {
        m_phase = phase::Pausing;
        workDrained(now); // work is still paused
        return;
    }
    m_phase = phase::Idle;
    m_effects.emplace_back(resume_work {});
}

} // namespace buckthornrail::dispatch
