/// @file
/// @brief A sidecar's handling of orders to its target: one at a time, fenced, without cutting work.
///
/// A target that checks fencing numbers refuses an old order by itself. For one that doesn't the sidecar is the fence:
/// it sends an order only when the one before has ended, reads the state back, and after a restart first waits until
/// whatever its earlier incarnation sent must have ended.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace buckthornrail::dispatch {

/// Issued by the controllers' log, higher for each order.
using fencing_token = std::uint64_t;

/// Load this version of this model.
struct target_order {
    fencing_token fence = 0;
    std::string model;
    std::string version;
};

struct order_options {
    bool targetChecksFences = true;
    milliseconds orderTimeout { 10000 }; ///< no call for an order lasts longer
    milliseconds readBackInterval { 200 };
};

/// Let no new work start; call workDrained() when none runs.
struct pause_work { };
struct resume_work { };
struct send_order {
    target_order order;
    steady_time deadline {};
};
/// Ask the target what it has loaded.
struct read_target_state { };
/// The order has ended.
struct report_order {
    target_order order;
    failure outcome;
};
using order_effect = std::variant<pause_work, resume_work, send_order, read_target_state, report_order>;

/// @ingroup dispatch
class order_sequencer {
public:
    order_sequencer(order_options options, steady_time now);

    /// @brief An order from the controllers; repeated and older ones are ignored.
    void offer(const target_order& order, steady_time now);
    void workDrained(steady_time now);
    /// @brief The call for an order has ended. @param refusedAsStale by the target, which knows a higher number
    void orderCallEnded(fencing_token fence, bool accepted, bool refusedAsStale, steady_time now);
    void stateRead(const std::string& model, const std::string& version, steady_time now);
    void tick(steady_time now);

    std::optional<order_effect> nextEffect();
    [[nodiscard]] fencing_token highestFence() const { return m_highestFence; }
    [[nodiscard]] bool isIdle() const { return m_phase == phase::Idle; }

private:
    enum class phase { Idle, Pausing, AwaitingEarlierOrders, Sending, ReadingBack };

    void pauseWork(steady_time now);
    void sendOrder(steady_time now);
    void readBack(steady_time now);
    void finish(failure outcome, steady_time now);

    order_options m_options;
    phase m_phase = phase::Idle;
    fencing_token m_highestFence = 0;
    std::optional<target_order> m_current;
    std::optional<target_order> m_pending; ///< the newest that came meanwhile
    steady_time m_earlierOrdersDeadline; ///< until then an earlier incarnation's order may still take effect
    steady_time m_orderDeadline {};
    steady_time m_readDeadline {};
    std::deque<order_effect> m_effects;
};

} // namespace buckthornrail::dispatch
