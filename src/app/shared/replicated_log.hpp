/// @file
/// @brief Drives one replica of the replicated log over disk and links, for any state machine.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/agreement/replica.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/storage/log_store.hpp"

#include <map>

namespace buckthornrail::app {

/// @brief The state machine over the log; deterministic.
class state_machine {
public:
    state_machine() = default;
    state_machine(const state_machine&) = delete;
    state_machine& operator=(const state_machine&) = delete;
    virtual ~state_machine() = default;

    /// @brief Applies a committed command. @return its id, by which its proposer is answered; empty when unreadable
    virtual std::string applyCommand(const std::string& bytes) = 0;
    [[nodiscard]] virtual std::string saveState() const = 0;
    /// @brief Takes a saved state over. @param bytes empty: the state before the first command
    virtual tl::expected<void, failure> restoreState(const std::string& bytes) = 0;
};

struct replicated_log_options {
    std::string dataFolder;
    std::string ownAddress; ///< where other members reach this one
    std::string controlAddress; ///< of this one, for HTTP calls; told to the others
    std::string failureDomain; ///< the same
    std::vector<std::string> seeds; ///< members to begin with
    std::uint32_t electionTimeoutMs = 700;
    std::uint32_t snapshotEntries = 2000;
    bool admitsUnlisted = false; ///< members at other addresses than the seeds may join
    bool dropsDeadMembers = false; ///< a voter that is long out of reach gives its place to a learner
};

/// @brief Lives on the loop thread.
class replicated_log {
public:
    using done_callback = std::function<void(bool committed)>;

    replicated_log(
        link::event_loop& loop, link::link_hub& hub, state_machine& stateMachine, replicated_log_options options);
    replicated_log(const replicated_log&) = delete;
    replicated_log& operator=(const replicated_log&) = delete;
    ~replicated_log();

    /// @brief Reads the data folder.
    tl::expected<void, failure> start();
    /// @brief Hands leadership over.
    void stop();
    /// @brief Takes other seeds over.
    void setSeeds(std::vector<std::string> seeds);

    /// @brief Forms a new log with this member alone; the others then join by themselves.
    tl::expected<void, failure> initialize();
    /// @brief Commits a command through whoever leads; `done(false)` when that isn't known within the timeout.
    void submit(const std::string& id, std::string bytes, done_callback done, milliseconds timeout);
    /// @brief Calls back once a quorum has confirmed that this member's state is current, or with false.
    void confirm(std::function<void(bool)> callback, milliseconds timeout);

    /// @return true when the event was the log's
    bool onOpened(link::channel_number channel);
    /// @brief Logs why a link to a peer ends; onClosed() follows.
    void onEnding(link::channel_number channel, const link::link_end& end) const;
    bool onClosed(link::channel_number channel);
    bool onMessage(link::channel_number channel, const link::message& message);
    /// @brief A part of a long message came over a channel, or was taken at its other end.
    void onProgress(link::channel_number channel);
    /// @brief Sends to the member that leads, if one is known and reachable.
    bool sendToLeader(const link::message& message);

    /// @brief Carries out what the replica wants done, soon.
    void scheduleFlush();

    [[nodiscard]] const agreement::replica& replica() const { return *m_replica; }
    [[nodiscard]] bool isLeader() const { return m_replica->role() == agreement::replica_role::Leader; }
    [[nodiscard]] std::string leaderAddress() const;
    /// @brief True when this member leads, or hears of a leader that it has an open link to.
    [[nodiscard]] bool reachesLeader() const { return isLeader() || leaderChannel() != 0; }
    /// @brief All members.
    [[nodiscard]] std::vector<link::controller_place> places() const;
    /// @brief True when a member elsewhere holds a log.
    [[nodiscard]] bool knowsOtherLog() const;

    std::function<void()> changed; ///< after entries were applied or a snapshot was taken over
    std::function<void(bool leads)> leadershipChanged;

private:
    struct pending_command {
        std::string bytes;
        done_callback done;
        steady_time deadline {};
        /// Over which it went to the leader; 0: not yet. What was sent over a link arrives unless the link ends, and
        /// its leader has it unless it leads no more: sent again before, it would only wait behind itself.
        link::channel_number forwardedChannel = 0;
        agreement::term_number forwardedTerm = 0;
        steady_time forwardedAt {};
    };
    struct pending_confirmation {
        std::function<void(bool)> callback;
        steady_time deadline {};
        agreement::log_index index = 0; ///< 0: not yet confirmed
    };
    struct peer_link {
        link::channel_number channel = 0;
        bool open = false;
        bool initialized = false;
        bool isDialledAfterHello = false; ///< the open dial was begun knowing that the peer is up
        steady_time nextDialAt {}; ///< not before, after a failure
    };
    struct pending_join {
        std::string address;
        steady_time deadline {};
    };
    /// A member that has said where it is, whether or not this one knows of it.
    struct received_hello {
        link::controller_place place;
        steady_time deadline {}; ///< forgotten then, unless it says so again
    };

    tl::expected<void, failure> openStore();
    void dialPeers();
    /// @brief A peer that has just spoken is up: whatever was dialled before it came up is dialled anew.
    void redial(const std::string& address);
    void sendToPeer(const std::string& address, const link::message& message);
    void tick();
    void slowTick();
    void flush();
    void deliver(const agreement::peer_message& message);
    [[nodiscard]] bool isKnownAddress(const std::string& address) const;
    bool persist(const agreement::effects& effects);
    void applyCommitted(const std::vector<agreement::log_entry>& entries);
    void completeConfirmations();
    void saveSnapshotIfDue();
    void forwardCommands();
    void forward(pending_command& command, steady_time now);
    [[nodiscard]] link::channel_number leaderChannel() const;
    void updateMembers();
    void recordJoinRequest(agreement::member_id id, const std::string& address);
    void checkLeadership();
    void markFaulted(const failure& error);
    void tryRecover();

    link::event_loop& m_loop;
    link::link_hub& m_hub;
    state_machine& m_stateMachine;
    replicated_log_options m_options;
    std::unique_ptr<storage::storage_device> m_device;
    std::unique_ptr<storage::log_store> m_store;
    std::unique_ptr<agreement::replica> m_replica;
    agreement::log_index m_applied = 0;
    std::map<std::string, pending_command> m_commands;
    std::map<std::uint64_t, pending_confirmation> m_confirmations;
    std::uint64_t m_lastReadId = 0;
    std::map<std::string, peer_link> m_peers; ///< by address
    std::map<agreement::member_id, pending_join> m_pendingJoins;
    std::map<agreement::member_id, received_hello> m_hellos;
    std::map<link::channel_number, agreement::member_id>
        m_acceptedLinks; ///< members at the other end of accepted links
    std::map<agreement::member_id, steady_time> m_unreachableSince; ///< voters out of reach: given up then
    bool m_wasLeader = false;
    bool m_flushScheduled = false;
    steady_time m_nextRecoveryAt {}; ///< a failed disk is tried again then
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_slowTicker;
};

} // namespace buckthornrail::app
