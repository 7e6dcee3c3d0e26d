/// @file
/// @brief Runs a replica of the replicated log on storage and links, for any state machine.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/agreement/membership_plan.hpp"
#include "buckthornrail/core/stall_watch.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/storage/log_store.hpp"

#include <map>

namespace buckthornrail::app {

/// @brief A deterministic state machine that the log replicates.
class state_machine {
public:
    state_machine() = default;
    state_machine(const state_machine&) = delete;
    state_machine& operator=(const state_machine&) = delete;
    virtual ~state_machine() = default;

    /// @brief Applies a committed command.
    /// @return the id that it was submitted under; empty when it is malformed
    virtual std::string applyCommand(const std::string& bytes) = 0;
    /// @return the serialized state, for restoreState()
    [[nodiscard]] virtual std::string saveState() const = 0;
    /// @brief Replaces the state with a saved one.
    /// @param bytes result of saveState(); empty: the state before the first command
    virtual tl::expected<void, failure> restoreState(const std::string& bytes) = 0;
};

struct replicated_log_options {
    std::string dataFolder;
    std::string ownAddress; ///< link address of this member
    std::string controlAddress; ///< HTTP address of this member, sent to the others
    std::string failureDomain; ///< of this member, sent to the others
    std::vector<std::string> seeds; ///< link addresses to dial besides those of known members
    std::uint32_t electionTimeoutMs = 700;
    std::uint32_t snapshotEntries = 2000;
    bool admitsUnlisted = false; ///< replicas at other addresses than the seeds may join
    /// Members that may be lost at once with a quorum left; see agreement::planChange(). 0: as many as the seeds allow.
    std::size_t toleratedLosses = 0;
};

/// @brief Passes timer ticks and messages to a replica, and applies its effects in order. Used on the loop thread
/// only. The owner's hub handlers forward link events to it.
class replicated_log {
public:
    using done_callback = std::function<void(bool committed)>;

    replicated_log(
        link::event_loop& loop, link::link_hub& hub, state_machine& stateMachine, replicated_log_options options);
    replicated_log(const replicated_log&) = delete;
    replicated_log& operator=(const replicated_log&) = delete;
    ~replicated_log();

    /// @brief Loads the data folder and starts to dial the other members.
    /// @return the failure to open or read the data folder, or to restore the state
    tl::expected<void, failure> start();
    /// @brief Hands over leadership if this member leads, and then its vote if enough other members vote.
    /// @param done called on the loop thread once that is done, or after a timeout
    void leave(std::function<void()> done);
    /// @brief Replaces the seeds.
    void setSeeds(std::vector<std::string> seeds);

    /// @brief Forms a new log with this member as the only voter. The others then join without further calls.
    /// @return AlreadyInitialized when this or another controller already has a log
    tl::expected<void, failure> initialize();
    /// @brief Sends a command to the leader to be committed.
    /// @param id that applyCommand() returns for the command
    /// @param done called with true once it is committed and applied here, with false after the timeout, when it may
    /// still be committed
    void submit(const std::string& id, std::string bytes, done_callback done, milliseconds timeout);
    /// @brief Confirms with a quorum that this member's state includes everything committed before the call.
    /// @param callback called with false when that isn't confirmed within the timeout
    void confirm(std::function<void(bool)> callback, milliseconds timeout);

    /// @return whether the event concerned the log
    bool onOpened(link::link_number linkNumber);
    /// @brief Logs why a link to a peer is closing. onClosed() follows.
    void onEnding(link::link_number linkNumber, const link::link_end& end) const;
    bool onClosed(link::link_number linkNumber);
    bool onMessage(link::link_number linkNumber, const link::message& message);
    /// @brief Part of a long message was received over a link, or acknowledged by the other end.
    void onProgress(link::link_number linkNumber);
    /// @brief Sends a message to the leader.
    /// @return false when no leader is known, there is no open link to it, or this member leads
    bool sendToLeader(const link::message& message);

    /// @brief Schedules the replica's effects to be applied on the loop thread.
    void scheduleFlush();

    [[nodiscard]] const agreement::replica& replica() const { return *m_replica; }
    [[nodiscard]] bool isLeader() const { return m_replica->role() == agreement::replica_role::Leader; }
    /// @return link address of the leader; empty: unknown
    [[nodiscard]] std::string leaderAddress() const;
    /// @brief Whether this member leads, or has an open link to the known leader.
    [[nodiscard]] bool reachesLeader() const { return isLeader() || leaderLink() != 0; }
    /// @return the addresses of all members; only the link address for a member without a recent hello
    [[nodiscard]] std::vector<link::controller_endpoint> endpoints() const;
    /// @brief Whether another controller has reported that it has a log.
    [[nodiscard]] bool knowsOtherLog() const;
    /// @return the members and this replica's knowledge of them; only a leader knows which learners have caught up
    [[nodiscard]] std::vector<agreement::member_state> memberStates(steady_time now) const;
    /// @return number of voters that a removal must leave
    [[nodiscard]] std::size_t requiredVoters() const;
    /// @return number of members that should be bearable as losses at any time
    [[nodiscard]] std::size_t toleratedLosses() const { return (requiredVoters() - 1) / 2; }

    /// Called after entries were applied, a snapshot was installed or storage was reopened. May be empty.
    std::function<void()> changed;
    std::function<void(bool leads)> leadershipChanged; ///< may be empty

private:
    struct pending_command {
        std::string bytes;
        done_callback done;
        steady_time deadline {};
        /// Link that the command was forwarded over; 0: not forwarded yet. It isn't sent again while the link is open
        /// and the term lasts: the link delivers it, and a second copy would only queue behind the first.
        link::link_number forwardedLink = 0;
        agreement::term_number forwardedTerm = 0;
        steady_time forwardedAt {};
    };
    struct pending_confirmation {
        std::function<void(bool)> callback;
        steady_time deadline {};
        agreement::log_index index = 0; ///< to be applied before the callback; 0: not confirmed yet
    };
    struct peer_link {
        link::link_number linkNumber = 0;
        bool open = false;
        bool initialized = false; ///< the peer has reported that it has a log
        bool isDialledAfterHello = false; ///< it was known to be up when `linkNumber` was dialled
        steady_time nextDialAt {}; ///< a failed dial is retried then
    };
    /// A replica that has requested to become a member.
    struct pending_join {
        std::string address;
        steady_time deadline {}; ///< removed then, unless the request is sent again
    };
    /// Handover of a member whose process ends.
    struct leave_state {
        bool hasBegun = false; ///< false: the member stays
        std::function<void()> done; ///< called at the end, then empty
        steady_time beganAt {};
        steady_time transferDeadline {}; ///< it ends then, unless others are there to take its vote
        steady_time releaseDeadline {}; ///< it ends then in any case
        steady_time nextTransferAt {}; ///< while it leads, leadership is offered again then
        bool isReleased = false; ///< the leader has confirmed that its vote is removed
    };
    /// The last hello of a controller, which need not be a known member.
    struct received_hello {
        link::controller_endpoint endpoint;
        steady_time deadline {}; ///< removed then, unless another hello is received
    };

    tl::expected<void, failure> openStore();
    /// @brief Dials peers without a link, and says hello.
    void dialPeers();
    /// @brief Dials a peer that has sent a hello. An earlier attempt is closed, as the peer may have been down then.
    void redial(const std::string& address);
    void sendToPeer(const std::string& address, const link::message& message);
    void tick();
    /// @brief Runs tasks that need no exact timing: recovery, dialling, membership and retries.
    void slowTick();
    /// @brief Applies the replica's effects until there are none.
    void flush();
    void deliver(const agreement::peer_message& message);
    /// @brief Whether an address belongs to a seed, a member or a controller with a recent hello.
    [[nodiscard]] bool isKnownAddress(const std::string& address) const;
    /// @return false when writing, or restoring an installed snapshot, failed
    bool persist(const agreement::effects& effects);
    void applyCommitted(const std::vector<agreement::log_entry>& entries);
    /// @brief Calls the callbacks of confirmations whose index is applied or whose deadline has passed.
    void completeConfirmations();
    void saveSnapshotIfDue();
    /// @brief Forwards pending commands that the current leader lacks, and fails those whose deadline has passed.
    void forwardCommands();
    void forward(pending_command& command, steady_time now);
    /// @return the open link to the leader; 0: none
    [[nodiscard]] link::link_number leaderLink() const;
    /// @brief At the leader: proposes a membership change if one is due.
    void updateMembers();
    /// @brief Whether the settings name an address as that of a member, and no others may join.
    [[nodiscard]] bool isListed(const std::string& address) const;
    [[nodiscard]] std::vector<agreement::joining_replica> joiningReplicas() const;
    /// @brief Records a request to join, and forwards it to the leader.
    void recordJoinRequest(agreement::member_id id, const std::string& address);
    void onHello(link::link_number linkNumber, const link::controller_hello& hello);
    [[nodiscard]] link::controller_hello ownHello() const;
    /// @brief Sends a hello, and a join request if this replica is blank, over open links.
    void sayHello();
    /// @brief Retries the handover of a leaving member, and ends it when it is done or its deadline has passed.
    void continueLeaving(steady_time now);
    void finishLeaving(steady_time now);
    /// @brief At the leader: logs when fewer losses can be borne than should be, and when that has ended.
    void reportTolerance(steady_time now);
    /// @return the member that runs at an address: the one that said hello from there, or else the one that was added
    /// last; 0: none
    [[nodiscard]] agreement::member_id memberAt(const std::string& address) const;
    /// @brief Records contact with the member at the other end of a link.
    void recordContact(agreement::member_id id, steady_time now);
    /// @brief At a voter that has known no leader for a while: logs which voters are silent.
    void reportMissingQuorum(steady_time now);
    /// @brief Logs and reports when this member has gained or lost the leadership.
    void checkLeadership();
    /// @brief Takes the replica out of the protocol until tryRecover() succeeds.
    void markFaulted(const failure& error);
    /// @brief Reopens storage after a disk failure when the next attempt is due.
    void tryRecover();

    link::event_loop& m_loop;
    link::link_hub& m_hub;
    state_machine& m_stateMachine;
    replicated_log_options m_options;
    std::unique_ptr<storage::storage_device> m_device;
    std::unique_ptr<storage::log_store> m_store;
    std::unique_ptr<agreement::replica> m_replica;
    agreement::log_index m_applied = 0;
    std::map<std::string, pending_command> m_commands; ///< by id
    std::map<std::uint64_t, pending_confirmation> m_confirmations; ///< by read id
    std::uint64_t m_lastReadId = 0;
    std::map<std::string, peer_link> m_peers; ///< by address
    std::map<agreement::member_id, pending_join> m_pendingJoins;
    std::map<agreement::member_id, received_hello> m_hellos;
    std::map<link::link_number, agreement::member_id> m_acceptedLinks; ///< the other end of each accepted link
    agreement::contact_table m_contacts;
    stall_watch m_stallWatch;
    steady_time m_nextQuorumReportAt {}; ///< a missing quorum isn't logged before
    steady_time m_toleranceReportAt {}; ///< a low tolerance that lasts until then is logged
    bool m_isToleranceLow = false; ///< it was logged
    leave_state m_leave;
    bool m_wasLeader = false;
    bool m_flushScheduled = false;
    steady_time m_nextRecoveryAt {}; ///< a failed disk is not reopened before
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_slowTicker;
};

} // namespace buckthornrail::app
