/// @file
/// @brief The registry role: a controller before gateways that reach targets without sidecars.
#pragma once

#include "app/registry/document_feed.hpp"
#include "app/registry/layer_orders.hpp"
#include "app/registry/registry_state.hpp"
#include "app/registry/target_watch.hpp"
#include "buckthornrail/core/standstill_watch.hpp"

#include <set>

namespace buckthornrail::app {

/// @brief Lives on the loop thread.
class registry_role {
public:
    registry_role(link::event_loop& loop, const settings::settings& settings, const gateway::control_dialect& dialect,
        telemetry::metrics& metrics);
    registry_role(const registry_role&) = delete;
    registry_role& operator=(const registry_role&) = delete;
    ~registry_role();

    tl::expected<void, failure> start();
    void stop(std::function<void()> done);
    /// @brief Takes what may change while it runs: the controllers' addresses.
    void reload(const settings::settings& changed) { m_log->setSeeds(changed.controllers); }

private:
    /// A gateway's session.
    struct session {
        instance_id instance;
        std::uint64_t documentVersion = 0; ///< that it holds, or was sent
        bool takesSlices = false; ///< false: a gateway of the program before, which needs the text
        std::uint64_t targetRevision = 0;
        std::uint64_t waitingSequence = 0; ///< beat that wants an answer; 0: none
        std::uint64_t quarantineRevision = 0; ///< of the standings that it was told
        std::uint64_t quarantineBatch = 0; ///< number of its last batch that was taken
        std::uint64_t placesTold = 0; ///< revision of m_places that it was told
        std::uint64_t limitsTold = 0; ///< revision of m_limits that it was told
        bool isConfirmed = false; ///< a quorum has confirmed this controller since the session began
        steady_time deadline {};
    };

    /// Batches of gateways that go into the log together.
    struct quarantine_gathering {
        struct batch {
            link::channel_number channel = 0;
            std::uint64_t number = 0;
            std::vector<registry::trial_claim> claims;
        };
        registry::quarantine_change change;
        std::vector<batch> batches;
    };

    /// A round of the quorum that confirms what this controller holds, for all sessions whose beats came meanwhile.
    struct confirmation_round {
        std::uint64_t number = 0; ///< an answer to an earlier one is late
        bool isOpen = false;
        agreement::member_id leader = 0; ///< who was asked: another one knows nothing of it
        std::map<link::channel_number, std::uint64_t> waiting; ///< beats to answer
        steady_time noteAt {}; ///< gateways are told then that their answers wait for the quorum
    };

    void onCall(const net::whole_request& request, const net::responder& respond);
    void onPublish(gateway::publish_request call, const net::responder& respond);
    void onRead(const net::responder& respond);
    void onAnnounce(const registry::target_record& record, const net::responder& respond);
    /// @brief Puts a ready target's announcement into the log if it says something new.
    void takeAnnouncement(const registry::target_record& record);
    /// @brief Gateways heard targets say that they leave: they drain from now on, though they didn't announce it.
    void takeLeaving(const std::vector<registry::target_incarnation>& targets);
    void submitOnce(const registry::target_record& record);
    /// @brief Counts a record that names no target to use, and logs it unless many come.
    /// @param reason its field first, where one is unfit
    void noteRefused(const std::string& what, const std::string& reason);
    /// @brief Whether a service stands in the document in force; any does before the first one.
    [[nodiscard]] bool isServiceNamed(const std::string& service);
    void onMessage(link::channel_number channel, const std::string& bytes);
    void onBeat(link::channel_number channel, const link::gateway_beat& beat);
    void onReport(link::channel_number channel, const link::member_report& report);

    /// @brief Takes what a gateway has to say of requests that end targets.
    void takeQuarantine(link::channel_number channel, session& one, const link::gateway_beat& beat);
    /// @brief Puts what has gathered into the log, unless something is under way there.
    void submitQuarantine();
    void onQuarantineSettled(const quarantine_gathering& gathered, bool committed);
    /// @brief At the leader: ends terms.
    void endQuarantineTerms();
    void logQuarantine();
    /// @brief Answers an operator who lists what is held against requests, or clears it.
    void onQuarantineCall(const net::whole_request& request, const net::responder& respond);
    [[nodiscard]] std::string quarantinePage() const;

    void tick();
    void confirmSessions();
    void onConfirmed(std::uint64_t round, bool isCurrent);
    /// @brief Ends a round that nobody will answer; its beats wait for the next.
    void giveUpRound();
    /// @brief Tells gateways whose answers wait for the quorum that this controller still reaches a leader.
    void noteWait();
    /// @brief Tells gateways what has changed; changes of the table that come in quick succession, together.
    void pushAll();
    void followPlaces();
    /// @return how old what is told of other registries' sessions is; nothing: it is this one's to know, or never told
    [[nodiscard]] std::optional<milliseconds> ageOfSums() const;
    /// @brief Tells the leader what has come here, unless this one leads.
    void reportToLeader();
    /// @param receipts of its batches that stand in the log now
    void sendUpdate(link::channel_number channel, session& one, std::uint64_t sequence,
        std::vector<registry::quarantine_receipt> receipts = {});
    /// @brief Sends a gateway what it lacks of the document, in slices.
    void sendSlices(link::channel_number channel, const session& one);
    void noteSent(link::channel_number channel, const session& one, std::size_t bytes);
    void submitTargets(const std::vector<registry::target_record>& records, std::function<void(bool)> done);
    void onChanged();
    void formWhenFirst();
    /// @brief Services of the document in force.
    [[nodiscard]] const std::vector<gateway::service>& services();
    [[nodiscard]] bool isSafeToWrite() const;
    /// @brief Where a target's next heartbeats go: to a controller of its own failure domain if there is one.
    [[nodiscard]] std::string nextHeartbeatAddress(const registry::target_record& record) const;
    /// @brief Targets that are limited or leaving, and those that asked this registry for rest.
    [[nodiscard]] std::vector<gateway::held_target> heldTargets(steady_time now) const;
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
    target_rests m_rests;
    layer_orders m_orders;
    target_watch m_watch;
    std::uint64_t m_loggedRevision = 0; ///< changes of targets up to it are in the log
    std::map<link::channel_number, session> m_sessions;
    std::vector<link::controller_place> m_places; ///< of all members, to be told
    std::uint64_t m_placesRevision = 0; ///< how often they have changed
    registry::session_board m_board; ///< by channel number
    registry::limit_board m_limits;
    agreement::member_id m_reportedTo = 0; ///< leader that was told
    std::uint64_t m_limitsReported = 0; ///< revision of m_limits that it was told
    std::map<link::channel_number, std::uint64_t> m_memberLimitsTold; ///< at the leader: revision by link to a member
    link::member_report m_unreported; ///< targets, for the leader
    steady_time m_reportAt {};
    steady_time m_answeredAt {}; ///< when the leader last told of all others' sums
    steady_time m_tablePushAt {};
    quarantine_gathering m_quarantineNext;
    bool m_isQuarantineOpen = false; ///< a change of it is on its way into the log
    registry::quarantine_clock m_quarantineClock;
    std::uint64_t m_quarantineLogged = 0; ///< revision of the stages that were logged
    std::set<request_fingerprint> m_quarantineNamed; ///< that were logged as in the table
    std::set<registry::target_incarnation> m_submitted; ///< announcements on their way into the log
    steady_time m_refusedLogAt {}; ///< no line for a refused record before
    std::size_t m_refusedUnlogged = 0;
    steady_time m_formDeadline {};
    steady_time m_confirmAt {}; ///< no round before
    confirmation_round m_round;
    standstill_watch m_standstill;
    std::unique_ptr<periodic_task> m_ticker;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runRegistry(const settings::settings& settings, const gateway::control_dialect& dialect);

} // namespace buckthornrail::app
