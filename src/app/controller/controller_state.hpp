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

/// An operator's request that an instance drains, or accepts work again.
struct drain_command {
    instance_id instance;
    bool drain = true;
};

using command_body = std::variant<configuration::change_command, transition_batch, drain_command,
    dispatch::claim_command, order_command, order_ended_command>;

/// A command in the replicated log. Applying it is idempotent.
struct command {
    std::string id; ///< unique; the proposer recognises its committed command by it
    command_body body;
};

/// Result of applying a command.
struct command_result {
    failure outcome; ///< Ok, or the reason of a refusal
    configuration::change_result change; ///< for change_command
    dispatch::claim_result claim; ///< for claim_command
    dispatch::fencing_token fence = 0; ///< fencing token, for order_command
};

/// @brief Encodes a command as CBOR.
std::string encodeCommand(const command& value);
/// @brief Decodes a command. @return MalformedMessage when the bytes are not a known command
tl::expected<command, failure> decodeCommand(const std::string& bytes);

/// @brief The replicated state machine. Deterministic: it uses neither a clock nor random numbers.
class controller_state {
public:
    /// @brief Applies a command. @return its result; Ok without effect for resent commands other than changes and
    /// claims, which return their result again
    command_result apply(const command& value);

    /// @brief Encodes the whole state as CBOR, for a snapshot.
    [[nodiscard]] std::string save() const;
    /// @brief Replaces the state with a snapshot's. @return StorageCorrupt when the bytes can't be decoded
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
    /// Ids of commands that are not idempotent in themselves, so that a late resend has no effect.
    recent_set<std::string> m_recentIds { maxRecentIds };
};

} // namespace buckthornrail::app
