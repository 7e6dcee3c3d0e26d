/// @file
/// @brief Entries, members and messages of the replicated log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornrail::agreement {

/// Random, generated with the data folder, so a replaced disk has a different id. 0: no member.
using member_id = std::uint64_t;
using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// A controller that takes part in the replicated log.
struct member {
    member_id id = 0;
    std::string address; ///< link address, "IP:port"
    bool voter = false; ///< false: a learner, which receives the log but doesn't count towards the quorum
    bool operator==(const member&) const = default;
};

enum class entry_kind : std::uint8_t {
    Empty, ///< a new leader's first entry, which lets it commit entries of earlier terms
    Command, ///< data for the state machine
    Members, ///< membership change, in effect as soon as it is appended
};

/// Entry of the replicated log.
struct log_entry {
    term_number term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::Empty;
    std::string command; ///< for Command
    std::vector<member> members; ///< for Members: the complete new set
};

/// State that must be on disk before any message that depends on it is sent.
struct hard_state {
    term_number term = 0;
    member_id votedFor = 0; ///< in `term`; 0: nobody
    bool operator==(const hard_state&) const = default;
};

/// State machine at an index, which replaces all entries up to that index.
struct snapshot {
    log_index index = 0;
    term_number term = 0;
    std::vector<member> members; ///< at `index`
    std::string state; ///< serialized state machine
};

/// State that a replica loads from its disk when it starts.
struct persistent_state {
    hard_state hard;
    snapshot lastSnapshot; ///< index 0: none
    std::vector<log_entry> entries; ///< contiguous; the first one has index lastSnapshot.index + 1
};

/// A candidate asks for a vote or, before it increments its term, for a pre-vote.
struct vote_request {
    log_index lastIndex = 0; ///< of the candidate's last entry
    term_number lastTerm = 0; ///< of the candidate's last entry
    bool preVote = false;
    bool transfer = false; ///< the leader requested this election to hand over leadership
};

struct vote_reply {
    bool granted = false;
    bool preVote = false;
};

/// The leader replicates entries. Without entries it is a heartbeat.
struct append_request {
    log_index previousIndex = 0; ///< of the entry before `entries`
    term_number previousTerm = 0; ///< of the entry before `entries`
    log_index commit = 0; ///< the leader's commit index
    std::uint64_t round = 0; ///< number of the broadcast, echoed in the reply; confirms leadership for reads
    std::vector<log_entry> entries;
};

/// Reply to an append_request or a snapshot_request.
struct append_reply {
    bool accepted = false;
    log_index matchIndex = 0; ///< last index known to match; if not accepted: `previousIndex` to retry with
    std::uint64_t round = 0; ///< of the request
};

/// The leader sends its last snapshot to a member that lacks entries which the leader no longer has.
struct snapshot_request {
    snapshot base; ///< the leader's last snapshot
    std::uint64_t round = 0; ///< as in append_request
};

/// A follower asks the leader for a read index.
struct read_request {
    std::uint64_t readId = 0;
};

/// The leader's reply to a read_request, sent once a quorum has confirmed its leadership.
struct read_reply {
    std::uint64_t readId = 0;
    log_index index = 0; ///< the read index
};

/// The leader hands over leadership: the receiver starts an election at once. Raft calls this message TimeoutNow.
struct election_request { };

using peer_body = std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request, read_request,
    read_reply, election_request>;

/// A message between two replicas.
struct peer_message {
    member_id from = 0;
    member_id to = 0;
    term_number term = 0; ///< the sender's; in a pre-vote and its grant, the term of the election
    peer_body body;
};

} // namespace buckthornrail::agreement
