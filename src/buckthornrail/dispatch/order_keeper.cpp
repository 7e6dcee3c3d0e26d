/// @file
/// @brief Orders, one at a time.
#include "buckthornrail/dispatch/order_keeper.hpp"

#include <utility>

namespace buckthornrail::dispatch {

order_keeper::order_keeper(order_options options, steady_time now)
    : m_options(options)
    , m_settledDeadline(options.targetChecksFences ? now : now + options.orderTimeout)
{
}

void order_keeper::offer(const target_order& order, steady_time now)
{
    if (order.fence <= m_highest)
        return;
    m_highest = order.fence;
    if (m_phase == phase::Idle) {
        m_current = order;
        begin(now);
        return;
    }
    if (m_waiting)
        m_effects.emplace_back(report_order { *m_waiting, { result_code::StaleFence, "a newer order came" } });
    m_waiting = order;
}

void order_keeper::workEnded(steady_time now)
{
    if (m_phase != phase::Pausing)
        return;
    if (now < m_settledDeadline) {
        m_phase = phase::Settling;
        return;
    }
    sendNow(now);
}

void order_keeper::answered(fencing_token fence, bool accepted, bool refusedAsOld, steady_time now)
{
    if (m_phase != phase::Sending || fence != m_current->fence)
        return;
    if (refusedAsOld) {
        finish({ result_code::StaleFence, "the target knows a higher number" }, now);
        return;
    }
    (void)accepted; // what the target has loaded tells more than what it answered
    readBack(now);
}

void order_keeper::stateRead(const std::string& model, const std::string& version, steady_time now)
{
    if (m_phase != phase::ReadingBack)
        return;
    if (model == m_current->model && version == m_current->version) {
        finish({ result_code::Ok, "" }, now);
        return;
    }
    m_readDeadline = now + m_options.readBackInterval;
}

void order_keeper::tick(steady_time now)
{
    if (m_phase == phase::Settling && now >= m_settledDeadline)
        sendNow(now);
    // A target that doesn't check numbers may still be at the order: until its deadline no other is sent.
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

std::optional<order_effect> order_keeper::nextEffect()
{
    if (m_effects.empty())
        return std::nullopt;
    order_effect effect = std::move(m_effects.front());
    m_effects.pop_front();
    return effect;
}

void order_keeper::begin(steady_time now)
{
    (void)now;
    m_phase = phase::Pausing;
    m_effects.emplace_back(pause_work {});
}

void order_keeper::sendNow(steady_time now)
{
    m_phase = phase::Sending;
    m_orderDeadline = now + m_options.orderTimeout;
    m_effects.emplace_back(send_order { *m_current, m_orderDeadline });
}

void order_keeper::readBack(steady_time now)
{
    m_phase = phase::ReadingBack;
    m_readDeadline = now + m_options.readBackInterval;
    m_effects.emplace_back(read_target_state {});
}

void order_keeper::finish(failure outcome, steady_time now)
{
    m_effects.emplace_back(report_order { *m_current, std::move(outcome) });
    m_current = std::exchange(m_waiting, std::nullopt);
    if (m_current) {
        m_phase = phase::Pausing;
        workEnded(now); // work is paused already
        return;
    }
    m_phase = phase::Idle;
    m_effects.emplace_back(resume_work {});
}

} // namespace buckthornrail::dispatch
