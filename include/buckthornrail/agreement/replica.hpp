/// @file
/// @brief One member of a replicated log in the manner of Raft (Ongaro and Ousterhout, 2014), without I/O.
///
/// The caller feeds events and then takes the effects. It must carry out one set of effects in this order before
/// it takes the next: persist (with sync), send, apply. All events between two calls of takeEffects() share one sync.
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
    Faulted, ///< the disk failed: neither votes nor copies any more
};

/// @brief Name of a role, in lower case.
std::string_view nameOf(replica_role role);

/// Periods of the protocol. The election timeout is drawn between its two bounds.
struct replica_options {
    milliseconds heartbeatInterval { 100 };
    milliseconds electionTimeoutMin { 700 };
    milliseconds electionTimeoutMax { 1400 };
    /// Longest draw until a replica has met a leader since its start: it has none to wait for, and a pre-vote doesn't
    /// disturb one that others have. 0: as any other time.
    milliseconds initialElectionTimeoutMax { 0 };
    milliseconds snapshotResendInterval { 3000 };
    std::size_t maxEntriesPerMessage = 512;
};

/// A read that is confirmed: the state machine at `index` or later is no older than the moment of the request.
struct confirmed_read {
    std::uint64_t readId = 0;
    log_index index = 0;
};

/// What the caller has to do, in the order of the fields.
struct effects {
    std::optional<snapshot> installed; ///< replaces log and state machine; persist first
    std::optional<hard_state> hardState; ///< persist
    std::vector<log_entry> appended; ///< persist; entries at or after the first one's index are replaced
    std::vector<peer_message> messages; ///< send after the sync
    std::vector<log_entry> committed; ///< apply
    std::vector<confirmed_read> reads;
    bool needsPersist() const { return installed.has_value() || hardState.has_value() || !appended.empty(); }
};

/// @ingroup agreement
class replica {
public:
    /// @param self this member's id
    /// @param state what the disk holds
    /// @param seed for the election timeout
    replica(member_id self, persistent_state state, replica_options options, std::uint64_t seed, steady_time now);

    /// @brief Makes this blank replica the only voter of a new log.
    /// @return AlreadyInitialized when it holds a log.
    tl::expected<void, failure> initialize(const std::string& address, steady_time now);

    void tick(steady_time now);
    void receive(const peer_message& message, steady_time now);
    /// @brief A part of a long message came from a member, or was taken by it. It counts for life as a whole one does:
    /// a follower waits for its leader, a leader for its quorum, and a snapshot under way isn't sent anew.
    void recordContact(member_id from, steady_time now);

    /// @brief Appends a command. @return its index, or nothing when this replica doesn't lead.
    std::optional<log_index> propose(std::string command);

    /// @brief Changes the members by one. @return NoQuorum when it doesn't lead or another change is open.
    tl::expected<log_index, failure> proposeMembers(std::vector<member> members);

    /// @brief Asks for a read confirmation; the answer comes in effects::reads, or never when no quorum answers.
    void requestReadIndex(std::uint64_t readId);

    /// @brief Drops entries up to index, which `state` stands for. @return the snapshot to persist.
    snapshot compact(log_index index, std::string state);

    /// @brief Hands leadership to the most up-to-date voter.
    void transferLeadership();

    /// @brief The disk failed: leave the protocol for good.
    void markFaulted();

    [[nodiscard]] effects takeEffects();

    [[nodiscard]] replica_role role() const { return m_role; }
    [[nodiscard]] member_id self() const { return m_self; }
    [[nodiscard]] member_id leader() const { return m_leader; }
    [[nodiscard]] term_number term() const { return m_hard.term; }
    [[nodiscard]] log_index commitIndex() const { return m_commit; }
    [[nodiscard]] log_index lastIndex() const { return m_snapshot.index + m_entries.size(); }
    [[nodiscard]] log_index snapshotIndex() const { return m_snapshot.index; }
    [[nodiscard]] const std::vector<member>& members() const { return m_members; }
    [[nodiscard]] const hard_state& hardState() const { return m_hard; }
    /// @brief The log after the last snapshot.
    [[nodiscard]] const std::vector<log_entry>& entriesAfterSnapshot() const { return m_entries; }
    [[nodiscard]] bool isVoter(member_id id) const;
    /// @brief Entries that a learner still lacks; nothing when not leading or not known.
    [[nodiscard]] std::optional<log_index> lagOf(member_id id) const;
    /// @brief True when the leader heard from that member within the election timeout.
    [[nodiscard]] bool isReachable(member_id id, steady_time now) const;

private:
    struct progress {
        log_index next = 1;
        log_index match = 0;
        std::uint64_t ackedRound = 0;
        steady_time contactDeadline {};
        steady_time snapshotDeadline {};
    };
    struct pending_read {
        member_id from = 0;
        std::uint64_t readId = 0;
        std::uint64_t round = 0; ///< 0: not sent yet
        log_index index = 0;
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
    log_index m_membersIndex = 0;
    member_id m_leader = 0;
    log_index m_commit = 0;
    log_index m_applied = 0;
    log_index m_unpersisted; ///< first index not yet handed out for persisting
    bool m_hardChanged = false;
    std::optional<snapshot> m_installed;
    std::vector<peer_message> m_messages;
    std::vector<confirmed_read> m_reads;
    std::set<member_id> m_votes;
    std::map<member_id, progress> m_progress;
    std::vector<pending_read> m_pendingReads;
    std::uint64_t m_round = 0;
    bool m_broadcastNeeded = false;
    bool m_hasKnownLeader = false; ///< since the start
    steady_time m_electionDeadline {};
    steady_time m_leaderDeadline {}; ///< until then a follower refuses to vote against a live leader
    steady_time m_heartbeatDeadline {};
    steady_time m_now {};
};

} // namespace buckthornrail::agreement
