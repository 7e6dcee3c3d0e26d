/// @file
/// @brief A controller's sessions with instances: what each has received, updates to be sent, and leases.
#pragma once

#include "app/controller/controller_state.hpp"
#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

#include <functional>
#include <map>
#include <set>

namespace buckthornrail::app {

/// @brief Sends an encoded message over a link.
using link_sender = std::function<void(link::link_number, const std::string& bytes)>;

/// @brief Sessions of one controller. A session receives nothing until a quorum round that began after one of its
/// heartbeats has confirmed the controller's state.
class session_table {
public:
    /// @param lease the announcement of a session is ignored when this time has passed since its last heartbeat
    session_table(link_sender sender, milliseconds lease)
        : m_send(std::move(sender))
        , m_lease(lease)
    {
    }

    /// @brief Opens a session, or updates the record of an open one.
    void announced(link::link_number linkNumber, const link::session_announce& announce, steady_time now);
    /// @brief Renews the session's lease. The heartbeat is acknowledged after the next confirmation.
    void heartbeat(link::link_number linkNumber, const link::session_heartbeat& heartbeat, steady_time now);
    /// @brief Removes the session of a closed link.
    void closed(link::link_number linkNumber);

    /// @brief Whether heartbeats wait for a confirmation to begin.
    [[nodiscard]] bool hasPendingHeartbeats() const { return !m_pendingHeartbeats.empty(); }
    /// @brief Assigns the pending heartbeats to a confirmation that begins now.
    void beginConfirmation(std::uint64_t confirmation);
    /// @brief Brings sessions up to date and acknowledges the heartbeats of a confirmation. The controller's state is
    /// no older than the beginning of that confirmation.
    void confirmed(std::uint64_t confirmation, const controller_state& state);
    /// @brief Drops the confirmations in flight.
    void dropConfirmations() { m_confirming.clear(); }

    /// @brief Sends committed changes to all sessions for which the state has been confirmed.
    void pushAll(const controller_state& state);

    /// @brief Announced records that the replicated table doesn't contain yet, of sessions whose lease hasn't expired.
    [[nodiscard]] std::vector<membership::transition> missingTransitions(
        const controller_state& state, steady_time now) const;

    /// @brief Instances that announced themselves or sent a heartbeat since the last call.
    std::vector<instance_id> takeRenewals();
    [[nodiscard]] std::size_t size() const { return m_sessions.size(); }

private:
    struct session_entry {
        membership::instance_record record;
        configuration_version configuration = 0; ///< version that it has been sent, or announced to have
        std::uint64_t revision = 0; ///< the same, of the membership table
        bool wantsState = false; ///< otherwise it receives only acknowledgements of its heartbeats
        bool synced = false; ///< the state has been confirmed for it, so changes may be pushed to it
        steady_time leaseDeadline {};
    };

    /// Encoded messages that bring a receiver up to date, by the version or revision that it has. Shared by all
    /// receivers: encoding the table of 2,600 instances for each of 390 entries took a controller four seconds of CPU
    /// time.
    struct encoded_updates {
        std::uint64_t to = 0; ///< version or revision after the update
        std::map<std::uint64_t, std::vector<std::string>> byReceiverVersion;
    };

    void push(link::link_number linkNumber, session_entry& session, const controller_state& state);
    /// @brief Drops the updates if they lead to another version or revision.
    static void resetIfOutdated(encoded_updates& updates, std::uint64_t to);
    /// @param receiverVersion version that the receiver has
    /// @return encoded messages; none when the receiver is up to date
    const std::vector<std::string>& configurationUpdates(
        configuration_version receiverVersion, const controller_state& state);
    /// @param receiverRevision revision of the membership table that the receiver has
    /// @return as configurationUpdates()
    const std::vector<std::string>& membershipUpdates(std::uint64_t receiverRevision, const controller_state& state);

    link_sender m_send;
    milliseconds m_lease;
    std::map<link::link_number, session_entry> m_sessions;
    std::map<link::link_number, std::uint64_t> m_pendingHeartbeats; ///< sequence of the newest heartbeat, by link
    std::map<std::uint64_t, std::map<link::link_number, std::uint64_t>> m_confirming; ///< heartbeats by confirmation
    std::set<instance_id> m_renewals; ///< instances whose leases the leader has to renew
    encoded_updates m_configuration;
    encoded_updates m_membership;
};

/// @brief Splits a configuration update into pages.
std::vector<link::configuration_page> makePages(const configuration::configuration_update& update);

} // namespace buckthornrail::app
