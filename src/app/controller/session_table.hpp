/// @file
/// @brief A controller's sessions with daemons: what each holds, what it still has to be sent, whose lease runs.
#pragma once

#include "app/controller/controller_state.hpp"
#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

#include <functional>
#include <map>
#include <set>

namespace buckthornrail::app {

/// @brief Sends an encoded message over a channel.
using channel_sender = std::function<void(link::channel_number, const std::string& bytes)>;

/// @brief Sessions of one controller. A session is sent nothing before a quorum has confirmed the controller once.
class session_table {
public:
    /// @param lease a session without a heartbeat for so long says nothing any more
    session_table(channel_sender sender, milliseconds lease)
        : m_send(std::move(sender))
        , m_lease(lease)
    {
    }

    void announced(link::channel_number channel, const link::session_announce& announce, steady_time now);
    void heartbeat(link::channel_number channel, const link::session_heartbeat& heartbeat, steady_time now);
    void closed(link::channel_number channel);

    /// @brief True when heartbeats wait for a confirmation.
    [[nodiscard]] bool hasPendingHeartbeats() const { return !m_pendingHeartbeats.empty(); }
    /// @brief The heartbeats that came so far will be answered by this confirmation.
    void beginConfirmation(std::uint64_t confirmation);
    /// @brief This controller's state is no older than the beginning of that confirmation.
    void confirmed(std::uint64_t confirmation, const controller_state& state);
    /// @brief Confirmations that began before are given up.
    void dropConfirmations() { m_confirming.clear(); }

    /// @brief Sends what was committed to all sessions that are up to date so far.
    void pushAll(const controller_state& state);

    /// @brief Announced records that the replicated table doesn't show yet.
    [[nodiscard]] std::vector<membership::transition> missingTransitions(
        const controller_state& state, steady_time now) const;

    /// @brief Instances heard since the last call.
    std::vector<instance_id> takeRenewals();
    [[nodiscard]] std::size_t size() const { return m_sessions.size(); }

private:
    struct session_entry {
        membership::instance_record record;
        configuration_version configuration = 0;
        std::uint64_t revision = 0;
        bool wantsState = false;
        bool synced = false;
        steady_time leaseDeadline {};
    };

    /// Encoded messages that bring a receiver up to date, by what it holds. Made once for all receivers: for each anew,
    /// the whole table of 2,600 instances took a controller four seconds of a core for 390 entries.
    struct encoded_updates {
        std::uint64_t to = 0; ///< version or revision that they lead to
        std::map<std::uint64_t, std::vector<std::string>> byHeldVersion;
    };

    void push(link::channel_number channel, session_entry& session, const controller_state& state);
    /// @brief Forgets updates that lead to another version than this one.
    static void resetIfOutdated(encoded_updates& updates, std::uint64_t to);
    const std::vector<std::string>& configurationUpdates(configuration_version held, const controller_state& state);
    const std::vector<std::string>& membershipUpdates(std::uint64_t held, const controller_state& state);

    channel_sender m_send;
    milliseconds m_lease;
    std::map<link::channel_number, session_entry> m_sessions;
    std::map<link::channel_number, std::uint64_t> m_pendingHeartbeats; ///< newest heartbeat of each channel
    std::map<std::uint64_t, std::map<link::channel_number, std::uint64_t>> m_confirming; ///< by read id
    std::set<instance_id> m_renewals;
    encoded_updates m_configuration;
    encoded_updates m_membership;
};

/// @brief Splits a configuration update into pages.
std::vector<link::configuration_page> makePages(const configuration::configuration_update& update);

} // namespace buckthornrail::app
