/// @file
/// @brief The controller role: drives one replica over disk and links, and serves sessions.
#pragma once

#include "app/process.hpp"
#include "app/session_table.hpp"
#include "buckthornrail/agreement/replica.hpp"
#include "buckthornrail/storage/log_store.hpp"

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
struct configuration_reading {
    configuration_version version = 0;
    std::string text;
    std::vector<configuration::change_record> history;
};

/// @brief Lives on the loop thread.
class controller {
public:
    using result_callback = std::function<void(tl::expected<command_result, failure>)>;

    controller(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    ~controller();

    /// @brief Reads the data folder and listens.
    tl::expected<void, failure> start();
    /// @brief Hands leadership over, then calls `done`.
    void stop(std::function<void()> done);

    /// @brief Forms a new log with this controller as its only member; the others then join by themselves.
    tl::expected<void, failure> initialize();
    /// @brief Commits a command through whoever leads. NoQuorum after the patience.
    void submit(command_body body, result_callback callback, milliseconds patience);
    /// @brief Calls back once a quorum has confirmed that this controller is current, or with false.
    void confirm(std::function<void(bool)> callback, milliseconds patience);

    [[nodiscard]] controller_status status() const;
    [[nodiscard]] const controller_state& state() const { return m_state; }
    [[nodiscard]] bool isReady() const { return m_isReady; }

private:
    struct pending_command {
        std::string bytes;
        result_callback callback;
        steady_time deadline {};
        steady_time resendDeadline {};
    };
    struct pending_confirmation {
        std::function<void(bool)> callback; ///< empty: the sessions' confirmation
        steady_time deadline {};
        agreement::log_index index = 0; ///< 0: not yet confirmed
    };
    struct peer_link {
        std::string address;
        link::channel_number channel = 0;
        bool open = false;
        bool initialized = false;
    };
    struct open_wish {
        std::string address;
        steady_time deadline {};
    };

    void onMessage(link::channel_number channel, const std::string& bytes);
    void onOpened(link::channel_number channel, bool inbound);
    void onClosed(link::channel_number channel);
    void onClaim(link::channel_number channel, const link::claim_request& request);
    void handle(link::channel_number channel, const link::message& message);
    void dialPeers();
    void sendToPeer(const std::string& address, const link::message& message);
    void sendToLeader(const link::message& message);

    void tick();
    void scheduleFlush();
    void flush();
    bool persist(const agreement::effects& effects);
    void applyCommitted(const std::vector<agreement::log_entry>& entries);
    void logTransitions(const transition_batch& batch) const;
    void releaseConfirmations();
    void saveSnapshotWhenDue();
    void resendCommands();
    void confirmSessions();
    void reportHeard();
    void heard(const std::vector<instance_id>& instances);
    void expireLeases();
    void proposeTransitions();
    void admitMembers();
    void watchLeadership();
    void disable(const failure& why);

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    std::unique_ptr<storage::storage_device> m_device;
    std::unique_ptr<storage::log_store> m_store;
    std::unique_ptr<agreement::replica> m_replica;
    std::unique_ptr<link::link_hub> m_hub;
    controller_state m_state;
    session_table m_sessions;
    agreement::log_index m_applied = 0;
    std::map<std::string, pending_command> m_commands;
    std::map<std::uint64_t, pending_confirmation> m_confirmations;
    std::uint64_t m_lastReadId = 0;
    steady_time m_confirmDeadline {}; ///< the sessions' next confirmation
    agreement::member_id m_confirmedBy = 0; ///< the leader that open confirmations were asked of
    std::map<std::string, peer_link> m_peers; ///< by address
    std::map<agreement::member_id, open_wish> m_joins;
    std::map<instance_id, steady_time> m_leases; ///< only the leader's counts
    steady_time m_leasesChecked {};
    steady_time m_transitionDeadline {}; ///< the batch sent last is given until then
    std::string m_transitionCommand;
    bool m_pushNeeded = false; ///< something was committed since sessions were last sent changes
    steady_time m_pushDeadline {};
    bool m_wasLeader = false;
    bool m_flushScheduled = false;
    std::atomic<bool> m_isReady { false };
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_slowTicker;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runController(const settings::settings& settings);

} // namespace buckthornrail::app
