/// @file
/// @brief Replicated orders to load a model version: their fencing tokens, the limit on concurrent loads, and the check
/// for the last copy of a version.
#pragma once

#include "buckthornrail/configuration/configuration_store.hpp"
#include "buckthornrail/dispatch/order_sequencer.hpp"
#include "buckthornrail/membership/membership_table.hpp"

#include <map>

namespace buckthornrail::app {

/// An operator's request that an instance's target loads a version of a model.
struct order_command {
    instance_id instance;
    std::string model;
    std::string version;
};

/// A sidecar's report that an order has ended.
struct order_ended_command {
    instance_id instance;
    dispatch::fencing_token fence = 0;
    result_code code = result_code::Ok;
    std::string reason;
};

enum class order_state : std::uint8_t { Waiting, Released, Done, Failed };

inline constexpr std::array orderStateNames {
    enum_name<order_state> { order_state::Waiting, "waiting" },
    enum_name<order_state> { order_state::Released, "released" },
    enum_name<order_state> { order_state::Done, "done" },
    enum_name<order_state> { order_state::Failed, "failed" },
};

/// The newest order to an instance's target.
struct order_record {
    instance_id instance;
    dispatch::target_order order;
    order_state state = order_state::Waiting;
    std::string reason;
};

/// Maximum number of concurrent loads. Further orders wait, so that each load gets a useful share of the weight store's
/// bandwidth.
inline constexpr std::size_t maxLoadsAtOnce = 2;

/// @brief The newest order to each target; deterministic, as it is part of the replicated state machine.
class placement_table {
public:
    /// @brief Issues an order, which replaces an earlier one to the same instance.
    /// @return the order's fencing token; NotFound, or LastCopy when the order would unload the last ready copy of a
    /// version in use
    tl::expected<dispatch::fencing_token, failure> order(const order_command& command,
        const membership::membership_table& instances, const configuration::document& document);
    /// @brief Records the end of an order and releases the next ones. Reports with another token are ignored.
    void ended(const order_ended_command& command);

    /// @brief The order that an instance's sidecar should execute; null if there is none.
    [[nodiscard]] const order_record* releasedFor(const instance_id& instance) const;
    [[nodiscard]] const std::map<instance_id, order_record>& records() const { return m_records; }
    [[nodiscard]] dispatch::fencing_token lastFence() const { return m_lastFence; }
    void restore(std::vector<order_record> records, dispatch::fencing_token lastFence);

private:
    void releaseWaiting();

    std::map<instance_id, order_record> m_records;
    dispatch::fencing_token m_lastFence = 0;
};

} // namespace buckthornrail::app
