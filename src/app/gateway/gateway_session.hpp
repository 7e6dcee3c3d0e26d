/// @file
/// @brief A gateway's session with the controllers: connects to one that reaches the leader, if possible in its own
/// failure domain, and receives the document and the targets from it.
#pragma once

#include "app/gateway/gateway_document.hpp"
#include "app/shared/process.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/net/tcp.hpp"

#include <deque>

namespace buckthornrail::app {

/// Why a gateway disconnects from a controller.
enum class disconnect_cause : std::uint8_t {
    None, ///< it doesn't: the link ended by itself
    NoResponse, ///< no response by the deadline
    Nearer, ///< another controller is in this gateway's failure domain, or is preferred for it
    NoLeader, ///< it has reached no leader within the leader timeout
    InvalidChange, ///< it sent a change that can't be applied to this gateway's state
};

/// Connects a session with the gateway's state. All are called on the event loop's thread.
struct gateway_session_callbacks {
    std::function<void()> documentChanged; ///< another version is active
    std::function<void(const registry::target_view&)> targetsChanged; ///< with all known targets
    std::function<std::uint32_t()> openAttempts; ///< number of this gateway's open attempts
    std::function<registry::target_loads()> loads; ///< this gateway's open attempts, per target of the last update
    std::function<void(const registry::target_loads&)>
        otherLoadsReceived; ///< of the other gateways, for the same targets
    std::function<void(const link::gateway_update&)> updateReceived; ///< before its changes are applied
    std::function<std::vector<registry::target_incarnation>()> takeUnreachableTargets; ///< found since the last call
    std::function<void(link::gateway_heartbeat&)> fillRetries; ///< fills in the retries spent of the budgets
    /// Fills in changes of the quarantine. @param isFirst whether the heartbeat is the first of this session
    std::function<void(link::gateway_heartbeat&, bool isFirst)> fillQuarantine;
    std::function<void(const link::gateway_update&)> quarantineReceived;
    /// Rate limits that targets have reported to this gateway. @param all also those sent in an earlier session
    std::function<std::vector<registry::limit_report>(bool all)> takeLimitReports
        = [](bool) { return std::vector<registry::limit_report>(); };
    std::function<void(const std::vector<registry::limit_report>&)> limitsReceived = [](const auto&) {};
    /// Targets that have reported that they are leaving and that the controllers' table doesn't show as leaving.
    std::function<std::vector<registry::target_incarnation>()> leavingTargets
        = [] { return std::vector<registry::target_incarnation>(); };
    std::function<registry::demand_report()> demand
        = [] { return registry::demand_report(); }; ///< of this gateway; empty: no service is ranked
    /// Receives the demand of all other gateways with each update; empty: none, or unknown.
    std::function<void(const registry::demand_report&)> othersDemandReceived = [](const auto&) {};
};

/// @brief Maintains a session with one controller at a time. To be used only on the event loop's thread.
///
/// Versions only ever increase, and the first state comes from a controller that a quorum has just confirmed.
class gateway_session {
public:
    /// @param settings must outlive the session, as must `document`
    /// @param document receives the changes of the document
    gateway_session(link::event_loop& loop, const settings::settings& settings, gateway_document& document,
        gateway_session_callbacks callbacks);

    /// @brief Replaces the addresses of the controllers to try first.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }
    /// @brief Sends a heartbeat within a few milliseconds, for urgent reports.
    void sendHeartbeatSoon();
    /// @brief Sends a heartbeat as soon as the last one was sent 200 ms ago; to be called while requests are queued.
    void sendHeartbeatWhileWaiting();

private:
    /// @brief Dials the next controller, unless there is a link already.
    void connect();
    /// @brief Sends a heartbeat; connects or disconnects first if there is no link or no response in time.
    void sendHeartbeat();
    /// @brief Cancels the heartbeat that sendHeartbeatWhileWaiting() has scheduled.
    void cancelWaitingHeartbeat();
    void onOpened(link::link_number link);
    void onClosed(link::link_number link);
    void onMessage(link::link_number link, const std::string& bytes);
    /// @brief Extends the response deadline: part of a response has arrived.
    void onProgress(link::link_number link);
    void onUpdate(const link::gateway_update& update);
    void onSlice(const link::document_slice& slice);
    /// @brief Processes received messages; after each slice of the document it yields to other work of the loop.
    void processInbox();
    /// @return how long to pause after a slice
    /// @param slice time taken to process the slice
    [[nodiscard]] steady_time::duration pauseAfter(steady_time::duration slice) const;
    /// @brief Discards unprocessed messages and incomplete changes of the document.
    void clearInbox();
    /// @brief Applies the complete changes of the document. @return false: one was rejected and the session is closing
    bool applyDocument(const link::gateway_update& update);
    /// @brief Disconnects after a change that can't be applied; the next session reports the active version.
    void rejectChange(std::uint64_t version, const failure& error);
    /// @param next address of the controller to dial next; empty: any
    void disconnect(disconnect_cause cause, const std::string& next);
    /// @brief Logs the loss of a session.
    void onEnding(link::link_number link, const link::link_end& end);
    /// @brief Disconnects after the leader timeout, unless this controller reaches a leader by then.
    void disconnectUnlessServed();
    /// @brief Moves the session to a nearer controller if one is known and the backoff has passed.
    void moveToNearest();
    /// @return address of the preferred controller; empty: none is known
    [[nodiscard]] std::string nearestController() const;
    /// @return addresses of the known controllers, then the seeds, without duplicates
    [[nodiscard]] std::vector<std::string> addresses() const;

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    gateway_session_callbacks m_callbacks;
    std::vector<std::string> m_seeds;
    std::vector<link::controller_endpoint> m_controllers; ///< as last reported
    std::string m_address; ///< of the controller dialled
    std::string m_nextController; ///< address of the controller to dial next; empty: any
    steady_time m_nextMoveAt {}; ///< earliest time of a move to a nearer controller
    std::size_t m_nextAddress = 0;
    link::link_number m_link = 0;
    bool m_isOpen = false;
    bool m_isServed = false; ///< this controller has responded and was confirmed by a quorum
    bool m_isSwitching = false; ///< the link is being closed to try another controller
    std::uint64_t m_incarnation = randomNumber(); ///< distinguishes this process from earlier ones with the same id
    std::uint64_t m_sequence = 0;
    disconnect_cause m_disconnectCause = disconnect_cause::None;
    steady_time m_lastResponseAt {};
    std::uint64_t m_receivedBefore = 0; ///< bytes received up to the last response
    steady_time m_responseDeadline {}; ///< another controller is tried if no response has arrived by then
    gateway_document& m_document;
    std::deque<link::message> m_inbox; ///< received messages, processed in order
    bool m_isPausing = false; ///< the inbox timer is set
    steady_time m_pauseSlicesUntil {}; ///< pauses follow slices until then
    registry::target_view m_targets;
    std::vector<registry::target_incarnation> m_unreachable; ///< not reported yet
    bool m_hasSentHeartbeat = false; ///< in this session
    link::link_hub m_hub;
    net::loop_timer m_leaderlessTimer;
    net::loop_timer m_heartbeatTimer;
    net::loop_timer m_inboxTimer;
    net::loop_timer m_waitingTimer;
    bool m_isHeartbeatScheduled = false; ///< the heartbeat timer is set
    bool m_isWaitingScheduled = false; ///< the waiting timer is set
    steady_time m_nextWaitingAt {}; ///< earliest time of the next heartbeat while requests are queued
    periodic_task m_heartbeats;
};

} // namespace buckthornrail::app
