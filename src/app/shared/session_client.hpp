/// @file
/// @brief A daemon's session with one of the controllers: announcement, heartbeats, configuration, membership.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

#include <map>

namespace buckthornrail::app {

struct session_callbacks {
    std::function<void(configuration_version, steady_time leaseDeadline)> leaseRenewed;
    std::function<void(const configuration::document&, configuration_version)> configurationApplied;
    std::function<void(const membership::membership_delta&)> membershipChanged;
    std::function<void(bool drain)> drainRequested;
    std::function<void(const link::claim_reply&)> claimAnswered;
    std::function<void(const dispatch::target_order&)> orderReceived;
};

/// @brief Lives on the loop thread. The owner's hub handlers pass on what concerns the session's channel.
class session_client {
public:
    session_client(link::event_loop& loop, link::link_hub& hub, const settings::settings& settings,
        membership::instance_record record, bool wantsState, session_callbacks callbacks);

    /// @return true when the channel is the session's.
    bool onOpened(link::channel_number channel);
    bool onClosed(link::channel_number channel);
    bool onMessage(link::channel_number channel, const link::message& message);
    /// @brief A part of a long message came over a channel, or was taken at its other end.
    void onProgress(link::channel_number channel);

    /// @brief Announces a change of this instance's state.
    void setState(membership::instance_state state);
    /// @brief Announces that the target holds another version now.
    void setModel(const std::string& model, const std::string& version);
    /// @return false when there is no open session.
    bool send(const link::message& message);

    [[nodiscard]] bool hasLease() const { return steadyNow() < m_leaseDeadline; }
    [[nodiscard]] const configuration::configuration_view& configuration() const { return m_configuration; }
    [[nodiscard]] const membership::membership_view& membership() const { return m_membership; }
    [[nodiscard]] const membership::instance_record& record() const { return m_record; }
    /// @brief True when the controller has acknowledged the state set last.
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
    link::channel_number m_channel = 0;
    bool m_open = false;
    std::size_t m_controllerIndex = 0; ///< position in the settings' list
    std::uint64_t m_sequence = 0;
    std::uint64_t m_ackedSequence = 0;
    std::uint64_t m_stateSequence = 0;
    std::map<std::uint64_t, steady_time> m_sentAt; ///< heartbeats without an answer
    steady_time m_leaseDeadline {};
    steady_time m_answerDeadline {}; ///< without an answer until then, another controller is tried
    bool m_leaseExpiryLogged = true;
    configuration_version m_version = 0; ///< without the document, when the state isn't wanted
    configuration::configuration_view m_configuration;
    membership::membership_view m_membership;
    std::string m_pageBytes; ///< of the update that is being received
    std::uint32_t m_nextPage = 0;
    bool m_needsSnapshot = false; ///< a delta did not fit
    periodic_task m_heartbeat;
};

} // namespace buckthornrail::app
