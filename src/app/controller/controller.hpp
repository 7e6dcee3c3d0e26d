/// @file
/// @brief The controller role: the replicated state of configuration, membership and claims, served to sessions.
#pragma once

#include "app/controller/session_table.hpp"
#include "app/shared/replicated_log.hpp"

namespace buckthornrail::app {

/// What a caller of the controller's HTTP interface may ask the loop for.
struct controller_status {
    agreement::member_id self = 0;
    agreement::member_id leader = 0;
    agreement::replica_role role = agreement::replica_role::Follower;
    agreement::term_number term = 0;
    agreement::log_index commit = 0;
    std::vector<agreement::member> members;
    std::vector<agreement::member_id> reachable; ///< only known by the leader
    configuration_version version = 0;
    std::vector<membership::instance_record> instances;
    std::vector<order_record> orders;
    std::size_t claims = 0;
    std::size_t sessions = 0;
};

/// The configuration as confirmed by a quorum.
struct confirmed_configuration {
    configuration_version version = 0;
    std::string text;
    std::vector<configuration::change_record> history;
};

/// @brief Lives on the loop thread.
class controller : public replicated_state {
public:
    using result_callback = std::function<void(tl::expected<command_result, failure>)>;

    controller(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    ~controller() override;

    /// @brief Reads the data folder and listens.
    tl::expected<void, failure> start();
    /// @brief Hands leadership over, then calls `done`.
    void stop(std::function<void()> done);

    /// @brief Forms a new log with this controller as its only member; the others then join by themselves.
    tl::expected<void, failure> initialize();
    /// @brief Commits a command through whoever leads. NoQuorum after the timeout.
    void submit(command_body body, result_callback callback, milliseconds timeout);
    /// @brief Calls back once a quorum has confirmed that this controller is current, or with false.
    void confirm(std::function<void(bool)> callback, milliseconds timeout);

    [[nodiscard]] controller_status status() const;
    [[nodiscard]] const controller_state& state() const { return m_state; }
    [[nodiscard]] bool isReady() const { return m_isReady; }

    std::string applyCommand(const std::string& bytes) override;
    [[nodiscard]] std::string saveState() const override { return m_state.save(); }
    tl::expected<void, failure> restoreState(const std::string& bytes) override;

private:
    void onMessage(link::channel_number channel, const std::string& bytes);
    void onClaim(link::channel_number channel, const link::claim_request& request);
    void handle(link::channel_number channel, const link::message& message);
    void tick();
    void logTransitions(const transition_batch& batch) const;
    void confirmSessions();
    void reportRenewals();
    void renewLeases(const std::vector<instance_id>& instances);
    void expireLeases();
    void proposeTransitions();

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    std::unique_ptr<link::link_hub> m_hub;
    std::unique_ptr<replicated_log> m_log;
    controller_state m_state;
    command_result m_lastResult; ///< of the command applied last
    session_table m_sessions;
    steady_time m_confirmDeadline {}; ///< the sessions' next confirmation
    std::uint64_t m_lastConfirmation = 0;
    std::uint64_t m_openConfirmation = 0; ///< of the sessions; 0: none
    agreement::member_id m_confirmingLeader = 0; ///< the leader that the open confirmation was asked of
    std::map<instance_id, steady_time> m_leases; ///< only the leader's counts
    steady_time m_leasesChecked {};
    steady_time m_transitionDeadline {}; ///< the batch sent last is given until then
    bool m_pushNeeded = false; ///< something was committed since sessions were last sent changes
    steady_time m_pushDeadline {};
    std::atomic<bool> m_isReady { false };
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_slowTicker;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runController(const settings::settings& settings);

} // namespace buckthornrail::app
