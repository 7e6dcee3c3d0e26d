/// @file
/// @brief The replicated state machine of the controllers: configuration, membership, claims, orders to targets.
#pragma once

#include "app/controller/placement.hpp"
#include "buckthornrail/configuration/configuration_store.hpp"
#include "buckthornrail/core/recent_set.hpp"
#include "buckthornrail/dispatch/claim_table.hpp"
#include "buckthornrail/membership/membership_table.hpp"

#include <variant>

namespace buckthornrail::app {

/// Several transitions in one log entry.
struct transition_batch {
    std::vector<membership::transition> transitions;
};

/// An operator's parameters that an instance drains, or takes work again.
struct drain_command {
    instance_id instance;
    bool drain = true;
};

using command_body = std::variant<configuration::change_command, transition_batch, drain_command,
    dispatch::claim_command, order_command, order_ended_command>;

/// One command of the log. Applying it twice has the effect of once.
struct command {
    std::string id; ///< unique; the proposer waits for it
    command_body body;
};

/// What a command came to.
struct command_result {
    failure outcome; ///< Ok, or why it was refused
    configuration::change_result change; ///< for change_command
    dispatch::claim_result claim; ///< for claim_command
    dispatch::fencing_token fence = 0; ///< for order_command
};

/// @brief A command as CBOR.
std::string encodeCommand(const command& value);
/// @return MalformedMessage when the bytes aren't a command.
tl::expected<command, failure> decodeCommand(const std::string& bytes);

/// @brief Deterministic: no clock, no random source.
class controller_state {
public:
    command_result apply(const command& value);

    /// @brief The whole state as CBOR.
    [[nodiscard]] std::string save() const;
    /// @return StorageCorrupt when the bytes can't be read.
    tl::expected<void, failure> restore(const std::string& bytes);

    [[nodiscard]] const configuration::configuration_store& configuration() const { return m_configuration; }
    [[nodiscard]] const membership::membership_table& membership() const { return m_membership; }
    [[nodiscard]] const dispatch::claim_table& claims() const { return m_claims; }
    [[nodiscard]] const placement_table& placement() const { return m_placement; }

private:
    failure applyOnce(const command_body& body, command_result& result);

    configuration::configuration_store m_configuration;
    membership::membership_table m_membership;
    dispatch::claim_table m_claims;
    placement_table m_placement;
    static constexpr std::size_t maxRecentIds = 4096;
    /// Of commands that are not idempotent by themselves; a late repeat changes nothing.
    recent_set<std::string> m_recentIds { maxRecentIds };
};

} // namespace buckthornrail::app
