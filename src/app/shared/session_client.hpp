/// @file
/// @brief A daemon's session with one of the controllers: announcement, heartbeats, configuration and membership.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

#include <map>

namespace buckthornrail::app {

/// Called on the loop thread; none may be empty.
struct session_callbacks {
    std::function<void(configuration_version, steady_time leaseDeadline)> leaseRenewed;
    std::function<void(const configuration::document&, configuration_version)> configurationApplied;
    std::function<void(const membership::membership_delta&)> membershipChanged;
    std::function<void(bool drain)> drainRequested;
    std::function<void(const link::claim_reply&)> claimReplyReceived;
    std::function<void(const dispatch::target_order&)> orderReceived;
};

/// @brief Maintains a session, and connects to the next controller when the link is lost. Used on the loop thread only.
/// The owner's hub handlers forward link events to it.
class session_client {
public:
    /// @param record of this instance, as announced
    /// @param wantsState whether to receive the configuration document and the membership
    session_client(link::event_loop& loop, link::link_hub& hub, const settings::settings& settings,
        membership::instance_record record, bool wantsState, session_callbacks callbacks);

    /// @return whether the link belongs to the session
    bool onOpened(link::link_number linkNumber);
    bool onClosed(link::link_number linkNumber);
    bool onMessage(link::link_number linkNumber, const link::message& message);
    /// @brief Part of a long message was received over a link, or acknowledged by the other end.
    void onProgress(link::link_number linkNumber);

    /// @brief Announces a change of this instance's state.
    void setState(membership::instance_state state);
    /// @brief Announces that the target has loaded another model or version.
    void setModel(const std::string& model, const std::string& version);
    /// @return false when no session is open
    bool send(const link::message& message);

    [[nodiscard]] bool hasLease() const { return steadyNow() < m_leaseDeadline; }
    [[nodiscard]] const configuration::configuration_view& configuration() const { return m_configuration; }
    [[nodiscard]] const membership::membership_view& membership() const { return m_membership; }
    [[nodiscard]] const membership::instance_record& record() const { return m_record; }
    /// @brief Whether a controller has acknowledged the last state passed to setState().
    [[nodiscard]] bool isStateAcknowledged() const { return m_stateSequence <= m_ackedSequence; }

private:
    void connect();
    void announce();
    void sendHeartbeat();
    void onAck(const link::session_ack& ack);
    void onPage(const link::configuration_page& page);
    void onMembership(const membership::membership_delta& delta);

    link::link_hub& m_hub;
    const settings::settings& m_settings;
    membership::instance_record m_record;
    bool m_wantsState;
    session_callbacks m_callbacks;
    link::link_number m_linkNumber = 0;
    bool m_open = false;
    std::size_t m_controllerIndex = 0; ///< in the settings' list
    std::uint64_t m_sequence = 0; ///< of the last heartbeat
    std::uint64_t m_ackedSequence = 0; ///< highest acknowledged heartbeat
    std::uint64_t m_stateSequence = 0; ///< heartbeat whose ack confirms the last state set
    std::map<std::uint64_t, steady_time> m_sentAt; ///< heartbeats without an ack
    steady_time m_leaseDeadline {};
    steady_time m_responseDeadline {}; ///< another controller is tried after it, unless this one responds
    bool m_leaseExpiryLogged = true;
    configuration_version m_version = 0; ///< last acknowledged by a controller; used without m_wantsState
    configuration::configuration_view m_configuration;
    membership::membership_view m_membership;
    std::string m_pageBytes; ///< received pages of an incomplete configuration update
    std::uint32_t m_nextPage = 0;
    bool m_needsSnapshot = false; ///< a delta could not be applied
    periodic_task m_heartbeat;
};

} // namespace buckthornrail::app
