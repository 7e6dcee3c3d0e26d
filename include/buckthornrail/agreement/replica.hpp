/// @file
/// @brief Replica of a log that is replicated with Raft (Ongaro and Ousterhout, 2014). It does no I/O itself.
///
/// The caller passes events in and then takes the resulting effects. Before it takes the next set, it must apply the
/// current one in this order: persist and sync, send messages, pass committed entries to the state machine. All events
/// between two calls of takeEffects() share one sync.
#pragma once

#include "buckthornrail/agreement/types.hpp"
#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <map>
#include <random>
#include <set>
#include <span>
#include <tl/expected.hpp>

namespace buckthornrail::agreement {

enum class replica_role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    Faulted, ///< the disk failed: takes no further part in the protocol
};

/// @return name of the role, in snake case
std::string_view nameOf(replica_role role);

/// Timeouts and limits of the protocol.
struct replica_options {
    milliseconds heartbeatInterval { 100 };
    milliseconds electionTimeoutMin { 700 }; ///< lower bound of the randomized election timeout
    milliseconds electionTimeoutMax { 1400 }; ///< upper bound of the randomized election timeout
    /// Upper bound of the election timeout until the replica knows a leader for the first time since its start; the
    /// lower bound is a third of it. It may be short, as there is no known leader to wait for, and a pre-vote doesn't
    /// disrupt a leader that other members have. 0: the usual bounds apply.
    milliseconds initialElectionTimeoutMax { 0 };
    milliseconds snapshotResendInterval { 3000 }; ///< before an unacknowledged snapshot is sent again
    std::size_t maxEntriesPerMessage = 512;
};

/// Result of requestReadIndex(): a state machine that has applied `index` includes everything that was committed when
/// the read was requested.
struct confirmed_read {
    std::uint64_t readId = 0;
    log_index index = 0;
};

/// Actions that the caller must take, in the order of the fields.
struct effects {
    std::optional<snapshot> installed; ///< replaces the log and the state machine; persist it first
    std::optional<hard_state> hardState; ///< persist
    std::vector<log_entry> appended; ///< persist; they replace all entries from the first one's index on
    std::vector<peer_message> messages; ///< send, after the sync
    std::vector<log_entry> committed; ///< apply to the state machine
    std::vector<confirmed_read> reads; ///< each may be served once its index is applied
    bool needsPersist() const { return installed.has_value() || hardState.has_value() || !appended.empty(); }
};

/// @brief A member of the replicated log, or a blank replica that has yet to join. Callers pass the current time in.
/// @ingroup agreement
class replica {
public:
    /// @param self this member's id
    /// @param state as loaded from the disk
    /// @param seed of the randomized election timeouts
    replica(member_id self, persistent_state state, replica_options options, std::uint64_t seed, steady_time now);

    /// @brief Makes this blank replica the only voter of a new log.
    /// @param address this member's link address
    /// @return AlreadyInitialized when it already has a log
    tl::expected<void, failure> initialize(const std::string& address, steady_time now);

    /// @brief Checks the timeouts. Call it more often than the heartbeat interval.
    void tick(steady_time now);
    /// @brief Handles a message of another replica. Messages to other members are ignored.
    void receive(const peer_message& message, steady_time now);
    /// @brief Records that part of a long message was received from, or acknowledged by, a member.
    ///
    /// It shows that the member is alive, as a complete message does: a follower restarts its election timeout if the
    /// member is its leader, and a leader counts the member as reachable and delays resending a snapshot to it.
    void recordContact(member_id from, steady_time now);

    /// @brief Appends a command to the log.
    /// @return its index; nothing when this replica isn't the leader
    std::optional<log_index> propose(std::string command);

    /// @brief Appends a membership change, which may add or remove one voter.
    /// @param members the complete new set
    /// @return its index; NoQuorum when this replica isn't the leader, hasn't yet committed an entry in its term,
    /// another change is pending, or more than one voter would change
    tl::expected<log_index, failure> proposeMembers(std::vector<member> members);

    /// @brief Requests a read index for a linearizable read. The result arrives in effects::reads, or never if no
    /// leader is known or no quorum confirms its leadership.
    /// @param readId returned with the result
    void requestReadIndex(std::uint64_t readId);

    /// @brief Replaces the entries up to an index with a snapshot.
    /// @param index limited to the last applied entry
    /// @param state serialized state machine at `index`
    /// @return the last snapshot, which must be persisted; unchanged when `index` is not beyond it
    snapshot compact(log_index index, std::string state);

    /// @brief At the leader: asks the reachable voter with the most complete log to start an election.
    /// @param unfit members that are asked only if there is no other
    void transferLeadership(std::span<const member_id> unfit = {});

    /// @brief Leaves the protocol for good, after a disk failure. Effects that were not taken yet are discarded.
    void markFaulted();

    /// @return the effects since the last call, which the caller must apply
    [[nodiscard]] effects takeEffects();

    [[nodiscard]] replica_role role() const { return m_role; }
    [[nodiscard]] member_id self() const { return m_self; }
    /// @return the known leader; 0: none
    [[nodiscard]] member_id leader() const { return m_leader; }
    [[nodiscard]] term_number term() const { return m_hard.term; }
    [[nodiscard]] log_index commitIndex() const { return m_commit; }
    [[nodiscard]] log_index lastIndex() const { return m_snapshot.index + m_entries.size(); }
    /// @return index of the last snapshot; 0: none
    [[nodiscard]] log_index snapshotIndex() const { return m_snapshot.index; }
    [[nodiscard]] const std::vector<member>& members() const { return m_members; }
    /// @brief Whether the last membership change, which members() includes, isn't known to be committed yet.
    [[nodiscard]] bool hasPendingMembers() const { return m_membersIndex > m_commit; }
    [[nodiscard]] const hard_state& hardState() const { return m_hard; }
    /// @return entries after the last snapshot
    [[nodiscard]] const std::vector<log_entry>& entriesAfterSnapshot() const { return m_entries; }
    [[nodiscard]] bool isVoter(member_id id) const;
    /// @return number of entries that a member lacks; nothing when this replica isn't the leader, or the member's log
    /// isn't known yet
    [[nodiscard]] std::optional<log_index> lagOf(member_id id) const;
    /// @brief At the leader: whether a message of the member, or a part of one, was received within the longest
    /// election timeout. True for itself, and for that long after the election or the member's addition.
    [[nodiscard]] bool isReachable(member_id id, steady_time now) const;

private:
    /// Replication state of another member at the leader.
    struct progress {
        log_index next = 1; ///< index of the next entry to send
        log_index match = 0; ///< last index known to be replicated
        std::uint64_t ackedRound = 0; ///< last broadcast that the member replied to
        steady_time contactDeadline {}; ///< then the member counts as unreachable
        steady_time snapshotDeadline {}; ///< then an unacknowledged snapshot is sent again
    };
    /// A read at the leader that awaits confirmation by a quorum.
    struct pending_read {
        member_id from = 0;
        std::uint64_t readId = 0;
        std::uint64_t round = 0; ///< broadcast that confirms the read when a quorum replies; 0: not assigned yet
        log_index index = 0; ///< commit index when `round` was assigned
    };

    void onVoteRequest(const peer_message& message, const vote_request& request, steady_time now);
    void onVoteReply(const peer_message& message, const vote_reply& reply, steady_time now);
    void onAppendRequest(const peer_message& message, const append_request& request, steady_time now);
    void onAppendReply(const peer_message& message, const append_reply& reply, steady_time now);
    void onSnapshotRequest(const peer_message& message, const snapshot_request& request, steady_time now);

    void becomeFollower(term_number term, member_id leader, steady_time now);
    void becomeLeader(steady_time now);
    void startElection(bool preVote, bool transfer, steady_time now);
    void resetElectionDeadline(steady_time now);
    void followLeader(const peer_message& message, steady_time now);
    void appendEntry(log_entry entry);
    void truncateFrom(log_index index);
    void refreshMembers();
    void advanceCommit();
    void completeReads();
    void broadcast();
    void sendAppend(member_id to, progress& peer);
    void send(member_id to, peer_body body);
    void sendInTerm(member_id to, term_number term, peer_body body);
    [[nodiscard]] bool isUpToDate(const vote_request& request) const;
    [[nodiscard]] std::optional<term_number> termAt(log_index index) const;
    [[nodiscard]] std::size_t quorumSize() const;
    [[nodiscard]] bool hasQuorumContact(steady_time now) const;
    [[nodiscard]] const log_entry& entryAt(log_index index) const { return m_entries[index - m_snapshot.index - 1]; }

    member_id m_self;
    replica_options m_options;
    std::mt19937_64 m_random;
    replica_role m_role = replica_role::Follower;
    hard_state m_hard;
    snapshot m_snapshot;
    std::vector<log_entry> m_entries;
    std::vector<member> m_members;
    log_index m_membersIndex = 0; ///< of the entry or snapshot that `m_members` comes from
    member_id m_leader = 0; ///< 0: unknown
    log_index m_commit = 0;
    log_index m_applied = 0; ///< last committed entry that was returned by takeEffects()
    log_index m_unpersisted; ///< first index that takeEffects() has not returned for persisting
    bool m_hardChanged = false;
    std::optional<snapshot> m_installed;
    std::vector<peer_message> m_messages;
    std::vector<confirmed_read> m_reads;
    std::set<member_id> m_votes; ///< that granted the current vote or pre-vote
    std::map<member_id, progress> m_progress; ///< at the leader, for each other member
    std::vector<pending_read> m_pendingReads;
    std::uint64_t m_round = 0; ///< number of the last broadcast
    bool m_broadcastNeeded = false;
    bool m_hasKnownLeader = false; ///< has had a leader at any time since the start
    steady_time m_electionDeadline {};
    steady_time m_leaderDeadline {}; ///< until then the leader counts as alive and a follower grants no vote
    steady_time m_heartbeatDeadline {};
    steady_time m_now {};
};

} // namespace buckthornrail::agreement
