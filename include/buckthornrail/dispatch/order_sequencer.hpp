/// @file
/// @brief Runs orders at a sidecar's target one at a time, after running work has ended. Does no I/O.
///
/// A target that checks fencing tokens refuses stale orders itself. For one that doesn't, the sidecar ensures that a
/// stale order can't take effect after a newer one: it sends an order only after the previous one has ended, reads the
/// loaded version back, and after a restart first waits until any order of its previous incarnation must have ended.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace buckthornrail::dispatch {

/// Issued through the controllers' replicated log; higher for each order.
using fencing_token = std::uint64_t;

/// Order to load a version of a model.
struct target_order {
    fencing_token fence = 0;
    std::string model;
    std::string version;
};

struct order_options {
    bool targetChecksFences = true; ///< the target refuses orders with a token below the highest it has received
    milliseconds orderTimeout { 10000 }; ///< maximum duration of the call that sends an order
    milliseconds readBackInterval { 200 }; ///< between reads of the loaded version
};

/// Accept no new work, and call workDrained() once no work is queued or running.
struct pause_work { };
/// Accept new work again.
struct resume_work { };
/// Send an order to the target, then call orderCallEnded().
struct send_order {
    target_order order;
    steady_time deadline {};
};
/// Read the loaded model and version from the target, then call stateRead().
struct read_target_state { };
/// Report to the controllers that an order has ended.
struct report_order {
    target_order order;
    failure outcome;
};
using order_effect = std::variant<pause_work, resume_work, send_order, read_target_state, report_order>;

/// @brief State machine of the orders to one target. The owner passes events in and applies the effects.
/// @ingroup dispatch
class order_sequencer {
public:
    order_sequencer(order_options options, steady_time now);

    /// @brief Handles an order of the controllers. Duplicate and older orders are ignored; a newer one replaces a
    /// pending one.
    void offer(const target_order& order, steady_time now);
    /// @brief No work is queued or running since pause_work.
    void workDrained(steady_time now);
    /// @brief The call that sent an order has ended.
    /// @param accepted not used: the loaded version decides on the outcome
    /// @param refusedAsStale whether the target has refused the order because it has received a higher fencing token
    void orderCallEnded(fencing_token fence, bool accepted, bool refusedAsStale, steady_time now);
    /// @brief The target reports the model and version that it has loaded.
    void stateRead(const std::string& model, const std::string& version, steady_time now);
    void tick(steady_time now);

    /// @return the next effect to apply, if any
    std::optional<order_effect> nextEffect();
    /// @return highest token of any order so far
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
    std::optional<target_order> m_pending; ///< newest order that arrived while another was in progress
    steady_time m_earlierOrdersDeadline; ///< until then an order of the previous incarnation may still take effect
    steady_time m_orderDeadline {};
    steady_time m_readDeadline {};
    std::deque<order_effect> m_effects;
};

} // namespace buckthornrail::dispatch
