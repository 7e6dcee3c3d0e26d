/// @file
/// @brief A gateway's session with the controllers: finds one that reaches the leader, in its own failure domain where
/// there is one, and takes document and targets over.
#pragma once

#include "app/gateway/gateway_document.hpp"
#include "app/shared/process.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/net/tcp.hpp"

#include <deque>

namespace buckthornrail::app {

/// Why a gateway leaves a controller.
enum class disconnect_cause : std::uint8_t {
    None, ///< it doesn't: the link ended
    NoAnswer, ///< no answer by the deadline
    Nearer, ///< another is in this gateway's failure domain, or ranks first for it
    NoLeader, ///< it reaches none, for as long as a gateway waits
    InvalidChange, ///< it sent a change that doesn't follow from what is held
};

struct gateway_session_callbacks {
    std::function<void()> documentChanged; ///< another version is in force
    std::function<void(const registry::target_view&)> targetsChanged;
    std::function<std::uint32_t()> openAttempts;
    std::function<registry::load_row()> loads; ///< of own attempts, at the targets told of last
    std::function<void(const registry::load_row&)> otherLoadsReceived; ///< at the same targets
    std::function<void(const link::gateway_update&)> updateReceived; ///< before the changes that it brings
    std::function<std::vector<registry::target_incarnation>()> takeUnreachableTargets; ///< seen since the last call
    std::function<void(link::gateway_beat&)> fillRepeats; ///< fills in what the budgets of repeats have spent
    /// Fills in what is to be said of the quarantine. @param isFirst of this session
    std::function<void(link::gateway_beat&, bool isFirst)> fillQuarantine;
    std::function<void(const link::gateway_update&)> quarantineReceived;
    /// Limits of targets that were heard here. @param all also those told in an earlier session
    std::function<std::vector<registry::limit_news>(bool all)> takeLimitNews
        = [](bool) { return std::vector<registry::limit_news>(); };
    std::function<void(const std::vector<registry::limit_news>&)> limitsReceived = [](const auto&) {};
    /// Targets that said that they leave, and that the table doesn't show so.
    std::function<std::vector<registry::target_incarnation>()> leavingTargets
        = [] { return std::vector<registry::target_incarnation>(); };
};

/// @brief Lives on the loop thread. What it holds only ever gets newer, and first comes from a controller that a
/// quorum has just confirmed.
class gateway_session {
public:
    gateway_session(link::event_loop& loop, const settings::settings& settings, gateway_document& held,
        gateway_session_callbacks callbacks);

    /// @brief Takes other seeds over.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }
    /// @brief Sends the next heartbeat soon, for what can't wait.
    void sendHeartbeatSoon();

private:
    void connect();
    void sendHeartbeat();
    void onOpened(link::channel_number channel);
    void onClosed(link::channel_number channel);
    void onMessage(link::channel_number channel, const std::string& bytes);
    void onProgress(link::channel_number channel);
    void onUpdate(const link::gateway_update& update);
    void onSlice(const link::document_slice& slice);
    /// @brief Works through what has come, with pauses for the loop's other work after slices of the document.
    void processInbox();
    /// @return how long the rest waits after a slice that took so long
    [[nodiscard]] steady_time::duration pauseAfter(steady_time::duration slice) const;
    void clearInbox();
    /// @brief Takes the document over as far as it has come. @return false: the session is being left
    bool takeDocument(const link::gateway_update& update);
    /// @brief Leaves a controller whose change can't be taken: the next session tells what is held.
    void rejectChange(std::uint64_t version, const failure& fault);
    void disconnect(disconnect_cause cause, const std::string& next);
    void onEnding(link::channel_number channel, const link::link_end& end);
    /// @brief Tries another controller soon, unless this one is heard of a leader meanwhile.
    void disconnectUnlessServed();
    /// @brief Moves the session to a nearer controller, if one is known and wasn't tried lately.
    void moveToNearest();
    /// @return the controller to have the session with; empty: none is known
    [[nodiscard]] std::string nearestController() const;
    [[nodiscard]] std::vector<std::string> addresses() const;

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    gateway_session_callbacks m_callbacks;
    std::vector<std::string> m_seeds;
    std::vector<link::controller_place> m_controllers; ///< as told last
    std::string m_address; ///< of the controller dialled
    std::string m_nextController; ///< controller to dial next; empty: any
    steady_time m_nextMoveAt {}; ///< no move to a nearer controller before
    std::size_t m_nextAddress = 0;
    link::channel_number m_channel = 0;
    bool m_isOpen = false;
    bool m_isServed = false; ///< this controller has answered, confirmed by a quorum
    bool m_isSwitching = false; ///< the channel is being closed for another controller's
    std::uint64_t m_incarnation = randomNumber(); ///< tells this process from the one before under the same id
    std::uint64_t m_sequence = 0;
    disconnect_cause m_disconnectCause = disconnect_cause::None;
    steady_time m_answeredAt {};
    std::uint64_t m_receivedBefore = 0; ///< bytes, until the last answer
    steady_time m_answerDeadline {}; ///< without an answer until then another controller is tried
    gateway_document& m_document;
    std::deque<link::message> m_inbox; ///< of the controller, to be worked through in order
    bool m_isPausing = false; ///< the inbox timer is set
    steady_time m_pauseSlicesUntil {}; ///< slices are taken with pauses until then
    registry::target_view m_targets;
    std::vector<registry::target_incarnation> m_unreachable; ///< not told yet
    bool m_hasSentHeartbeat = false; ///< in this session
    link::link_hub m_hub;
    net::loop_timer m_leaderlessTimer;
    net::loop_timer m_heartbeatTimer;
    net::loop_timer m_inboxTimer;
    bool m_isHeartbeatScheduled = false; ///< that timer is set
    periodic_task m_heartbeats;
};

} // namespace buckthornrail::app
