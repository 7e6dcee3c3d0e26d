/// @file
/// @brief The controller role: replicates configuration, membership, claims and orders, and serves sessions.
#pragma once

#include "app/controller/session_table.hpp"
#include "app/shared/replicated_log.hpp"

namespace buckthornrail::app {

/// Status of a controller and the state that it has applied, as the HTTP interface reports them.
struct controller_status {
    agreement::member_id self = 0;
    agreement::member_id leader = 0;
    agreement::replica_role role = agreement::replica_role::Follower;
    agreement::term_number term = 0;
    agreement::log_index commit = 0;
    std::vector<agreement::member> members;
    std::vector<agreement::member_id> reachable; ///< as the leader sees it; empty at other members
    configuration_version version = 0;
    std::vector<membership::instance_record> instances;
    std::vector<order_record> orders;
    std::size_t claims = 0;
    std::size_t sessions = 0;
};

/// Configuration, read after a quorum has confirmed that this controller's state is current.
struct confirmed_configuration {
    configuration_version version = 0;
    std::string text;
    std::vector<configuration::change_record> history;
};

/// @brief Replicates the state of the controllers, and serves sessions and operators. Runs on the loop thread.
class controller : public state_machine {
public:
    using result_callback = std::function<void(tl::expected<command_result, failure>)>;

    controller(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    ~controller() override;

    /// @brief Reads the data folder and listens for links.
    /// @return BadSettings when the link address can't be listened on, or the error of the log
    tl::expected<void, failure> start();
    /// @brief Stops the log and leaves time to hand leadership over. @param done called on the loop thread afterwards
    void stop(std::function<void()> done);

    /// @brief Forms a new log with this controller as its only member; the other controllers then join it.
    tl::expected<void, failure> initialize();
    /// @brief Submits a command to the leader. The callback gets the result of the command once it is committed, or
    /// NoQuorum when that isn't known within the timeout.
    void submit(command_body body, result_callback callback, milliseconds timeout);
    /// @brief Asks a quorum to confirm that this controller's state is current.
    /// @param callback gets false when that isn't confirmed within the timeout
    void confirm(std::function<void(bool)> callback, milliseconds timeout);

    [[nodiscard]] controller_status status() const;
    [[nodiscard]] const controller_state& state() const { return m_state; }
    [[nodiscard]] bool isReady() const { return m_isReady; }

    std::string applyCommand(const std::string& bytes) override;
    [[nodiscard]] std::string saveState() const override { return m_state.save(); }
    tl::expected<void, failure> restoreState(const std::string& bytes) override;

private:
    void onMessage(link::link_number linkNumber, const std::string& bytes);
    void onClaim(link::link_number linkNumber, const link::claim_request& request);
    void handle(link::link_number linkNumber, const link::message& message);
    void tick();
    void logTransitions(const transition_batch& batch) const;
    /// @brief Starts a quorum round for the pending heartbeats, unless one is in flight.
    void confirmSessions();
    /// @brief Renews the leases of instances that sent a heartbeat to this controller, or reports them to the leader.
    void reportRenewals();
    void renewLeases(const std::vector<instance_id>& instances);
    /// @brief At the leader: submits the loss of instances whose lease has expired.
    void expireLeases();
    /// @brief Submits announcements of this controller's sessions that the membership table doesn't contain yet.
    void proposeTransitions();

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    std::unique_ptr<link::link_hub> m_hub;
    std::unique_ptr<replicated_log> m_log;
    controller_state m_state;
    command_result m_lastResult; ///< of the last applied command
    session_table m_sessions;
    steady_time m_confirmDeadline {}; ///< earliest start of the sessions' next confirmation
    std::uint64_t m_lastConfirmation = 0;
    std::uint64_t m_openConfirmation = 0; ///< number of the sessions' confirmation in flight; 0: none
    agreement::member_id m_confirmingLeader = 0; ///< leader that the confirmation in flight was requested from
    std::map<instance_id, steady_time> m_leases; ///< deadlines; only the leader acts on them
    steady_time m_leasesCheckedAt {};
    steady_time m_transitionDeadline {}; ///< timeout of the submitted batch; the next one is not sent before
    bool m_pushNeeded = false; ///< the state has changed since the last push to the sessions
    steady_time m_pushDeadline {};
    std::atomic<bool> m_isReady { false };
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_slowTicker;
};

/// @brief Runs the controller role until SIGTERM. @return the exit status of the process
int runController(const settings::settings& settings);

} // namespace buckthornrail::app
