/// @file
/// @brief The registry role: a controller that serves gateways whose targets have no sidecars.
#pragma once

#include "app/registry/document_feed.hpp"
#include "app/registry/layer_orders.hpp"
#include "app/registry/registry_state.hpp"
#include "app/registry/target_watch.hpp"
#include "buckthornrail/core/stall_watch.hpp"

#include <set>

namespace buckthornrail::app {

/// @brief Replicates the document and the target table, and serves gateways, targets and operators. Runs on the loop
/// thread.
class registry_role {
public:
    registry_role(link::event_loop& loop, const settings::settings& settings, const gateway::control_dialect& dialect,
        telemetry::metrics& metrics);
    registry_role(const registry_role&) = delete;
    registry_role& operator=(const registry_role&) = delete;
    ~registry_role();

    /// @return BadSettings when an address can't be listened on, or the failure to open the log
    tl::expected<void, failure> start();
    /// @brief Stops the log and leaves time to hand leadership over. @param done called on the loop thread afterwards
    void stop(std::function<void()> done);
    /// @brief Applies the settings that may change at run time: the addresses of the controllers.
    void reload(const settings::settings& changed) { m_log->setSeeds(changed.controllers); }

private:
    /// A gateway's session. Versions and revisions are the newest that the gateway holds or was sent.
    struct session {
        instance_id instance;
        std::uint64_t documentVersion = 0;
        bool acceptsSlices = false; ///< false: an earlier version of the program, which needs the whole text
        std::uint64_t targetRevision = 0;
        std::uint64_t pendingSequence = 0; ///< of the heartbeat without a response so far; 0: none
        std::uint64_t quarantineRevision = 0; ///< stage revision of the quarantine table
        std::uint64_t quarantineBatch = 0; ///< number of the last batch that was accepted
        std::uint64_t endpointsRevisionSent = 0; ///< of m_endpoints
        std::uint64_t limitsRevisionSent = 0; ///< of m_limits
        bool isConfirmed = false; ///< a quorum has confirmed this controller since the session began
        steady_time deadline {};
    };

    /// Batches of several gateways, submitted to the log as one command.
    struct quarantine_submission {
        struct batch {
            link::link_number linkNumber = 0;
            std::uint64_t number = 0;
            std::vector<registry::trial_claim> claims;
        };
        registry::quarantine_change change;
        std::vector<batch> batches;
    };

    /// A quorum round that confirms this controller's state, for all sessions whose heartbeats arrived since the last.
    struct confirmation_round {
        std::uint64_t number = 0; ///< a confirmation with an earlier number is ignored
        bool isOpen = false;
        agreement::member_id leader = 0; ///< that the round was requested from; a new leader doesn't know of it
        std::map<link::link_number, std::uint64_t> waiting; ///< sequence of the heartbeat to respond to, by session
        steady_time nextNoticeAt {}; ///< when gateways are next notified that their responses wait for the quorum
    };

    void onRequest(const net::whole_request& request, const net::responder& respond);
    void onPublish(gateway::publish_request call, const net::responder& respond);
    void onRead(const net::responder& respond);
    void onAnnounce(const registry::target_record& record, const net::responder& respond);
    /// @brief Submits the announcement of a ready target to the log if it changes the target's record.
    void processAnnouncement(const registry::target_record& record);
    /// @brief Marks targets as draining that announced in responses to gateways that they are leaving.
    void markDraining(const std::vector<registry::target_incarnation>& targets);
    /// @brief Submits a record unless one of the same incarnation is in flight.
    void submitOnce(const registry::target_record& record);
    /// @brief Counts a refused record, and logs it at a limited rate.
    /// @param reason starts with the name of the invalid field and a colon, if a single field is invalid
    void logRefusedRecord(const std::string& what, const std::string& reason);
    /// @brief Whether the active document defines a service; true for any service while there is no document.
    [[nodiscard]] bool isKnownService(const std::string& service);
    void onMessage(link::link_number linkNumber, const std::string& bytes);
    void onHeartbeat(link::link_number linkNumber, const link::gateway_heartbeat& heartbeat);
    void onReport(link::link_number linkNumber, const link::member_report& report);

    /// @brief Queues the quarantine changes that a gateway reports, and skips batches that were queued before.
    void queueQuarantineChanges(
        link::link_number linkNumber, session& gatewaySession, const link::gateway_heartbeat& heartbeat);
    /// @brief Submits the queued changes to the log, unless an earlier submission is in flight.
    void submitQuarantine();
    void onQuarantineResult(const quarantine_submission& submission, bool committed);
    /// @brief At the leader: queues the expiry of quarantine entries whose timeout has passed.
    void expireQuarantineEntries();
    /// @brief Logs quarantine entries whose stage has changed, and updates their metrics.
    void logQuarantine();
    /// @brief Lists or clears quarantine entries for an operator.
    void onQuarantineCall(const net::whole_request& request, const net::responder& respond);
    [[nodiscard]] std::string quarantinePage() const;

    void tick();
    /// @brief Starts a quorum round for the heartbeats without a response, unless a round is open.
    void confirmSessions();
    void onConfirmed(std::uint64_t round, bool isCurrent);
    /// @brief Ends a round that failed; its heartbeats get a response after the next one.
    void abandonRound();
    /// @brief Notifies gateways that this controller still reaches a leader while their responses wait for the quorum.
    void notifyWaiting();
    /// @brief Sends each gateway what has changed. Changes of the target table in quick succession are batched.
    void pushAll();
    /// @brief Updates the addresses of the members that gateways are sent.
    void refreshEndpoints();
    /// @return age of the totals of the other controllers' sessions; nothing at the leader, or when none were received
    [[nodiscard]] std::optional<milliseconds> ageOfTotals() const;
    /// @brief Sends the pending report to the leader, unless this controller leads.
    void reportToLeader();
    /// @param sequence of the heartbeat that it responds to; 0: none
    /// @param receipts for batches that have been committed
    void sendUpdate(link::link_number linkNumber, session& gatewaySession, std::uint64_t sequence,
        std::vector<registry::quarantine_receipt> receipts = {});
    /// @brief Sends a gateway the slices that bring it to the newest document.
    void sendSlices(link::link_number linkNumber, const session& gatewaySession);
    void logDocumentSent(link::link_number linkNumber, const session& gatewaySession, std::size_t bytes);
    void submitTargets(const std::vector<registry::target_record>& records, std::function<void(bool)> done);
    void onChanged();
    /// @brief Forms a new log if this controller is the first seed, holds no log and knows of none.
    void bootstrapIfFirst();
    /// @brief Services of the active document.
    [[nodiscard]] const std::vector<gateway::service>& services();
    /// @brief Whether enough members vote for an acknowledged document to be stored on two disks. Always true when the
    /// settings name fewer than two controllers.
    [[nodiscard]] bool hasEnoughVoters() const;
    /// @brief Address for a target's next heartbeats: a controller of its own failure domain if there is one.
    [[nodiscard]] std::string nextHeartbeatAddress(const registry::target_record& record) const;
    /// @brief Targets that are rate-limited or draining, and those that requested a backoff from this controller.
    [[nodiscard]] std::vector<gateway::restricted_target> restrictedTargets(steady_time now) const;
    [[nodiscard]] net::whole_response statusPage() const;

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    const gateway::control_dialect& m_dialect;
    telemetry::metrics& m_metrics;
    registry_state m_state;
    document_feed m_feed;
    std::unique_ptr<link::link_hub> m_hub;
    std::unique_ptr<replicated_log> m_log;
    std::unique_ptr<net::http_service> m_control;
    target_backoffs m_backoffs;
    layer_orders m_orders;
    target_watch m_watch;
    std::uint64_t m_loggedTargetRevision = 0; ///< of the target table; its changes up to it have been logged
    std::map<link::link_number, session> m_sessions;
    std::vector<link::controller_endpoint> m_endpoints; ///< of all members, to be sent to gateways
    std::uint64_t m_endpointsRevision = 0; ///< counts changes of m_endpoints
    registry::gateway_sessions m_gatewaySessions; ///< sessions are numbered by their links
    registry::limit_table m_limits;
    agreement::member_id m_lastReportedLeader = 0; ///< leader that the last report went to
    std::uint64_t m_limitsRevisionReported = 0; ///< of m_limits, in the last report
    std::map<link::link_number, std::uint64_t> m_memberLimitsSent; ///< revision of m_limits, by member link
    link::member_report m_pendingReport; ///< events of targets, for the leader
    steady_time m_nextReportAt {};
    steady_time m_totalsReceivedAt {}; ///< when the leader last sent the totals of all other sessions
    steady_time m_nextTablePushAt {};
    quarantine_submission m_pendingQuarantine;
    bool m_isQuarantineInFlight = false; ///< the log hasn't reported the outcome of a submission yet
    registry::quarantine_timers m_quarantineTimers;
    std::uint64_t m_loggedStageRevision = 0; ///< stage changes up to it have been logged
    std::set<request_fingerprint> m_loggedFingerprints; ///< fingerprints that were last logged as quarantined
    std::set<registry::target_incarnation> m_announcementsInFlight; ///< submitted to the log and not committed yet
    steady_time m_nextRefusalLogAt {}; ///< refused records aren't logged before
    std::size_t m_unloggedRefusals = 0;
    steady_time m_bootstrapAt {};
    steady_time m_nextConfirmAt {}; ///< no quorum round starts before
    confirmation_round m_round;
    stall_watch m_stallWatch;
    std::unique_ptr<periodic_task> m_ticker;
};

/// @brief Runs the registry role until SIGTERM. @return the exit status of the process
int runRegistry(const settings::settings& settings, const gateway::control_dialect& dialect);

} // namespace buckthornrail::app
