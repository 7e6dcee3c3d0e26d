/// @file
/// @brief Entries, members and messages of the replicated log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornrail::agreement {

/// Random, made with the data folder: a replaced disk has another id. 0 is no member.
using member_id = std::uint64_t;
using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// One controller in the replicated log.
struct member {
    member_id id = 0;
    std::string address; ///< link address, "IP:port"
    bool voter = false; ///< false: a learner, which copies the log and doesn't count for a quorum
    bool operator==(const member&) const = default;
};

enum class entry_kind : std::uint8_t {
    Empty, ///< a new leader's first entry
    Command, ///< data for the state machine
    Members, ///< a change of members, in force as soon as it is appended
};

/// One entry of the log.
struct log_entry {
    term_number term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::Empty;
    std::string command; ///< for Command
    std::vector<member> members; ///< for Members: the whole new set
};

/// State that must be on disk before any message that rests on it.
struct hard_state {
    term_number term = 0;
    member_id votedFor = 0;
    bool operator==(const hard_state&) const = default;
};

/// State machine at an index; stands for all entries up to it.
struct snapshot {
    log_index index = 0;
    term_number term = 0;
    std::vector<member> members;
    std::string state;
};

/// What a replica finds on its disk when it starts.
struct persistent_state {
    hard_state hard;
    snapshot lastSnapshot; ///< index 0: none
    std::vector<log_entry> entries; ///< contiguous, the first one has index lastSnapshot.index + 1
};

struct vote_request {
    log_index lastIndex = 0;
    term_number lastTerm = 0;
    bool preVote = false;
    bool transfer = false; ///< the old leader asked for this election
};

struct vote_reply {
    bool granted = false;
    bool preVote = false;
};

struct append_request {
    log_index previousIndex = 0;
    term_number previousTerm = 0;
    log_index commit = 0;
    std::uint64_t round = 0; ///< echoed; confirms leadership for reads
    std::vector<log_entry> entries;
};

struct append_reply {
    bool accepted = false;
    log_index matchIndex = 0; ///< when refused: where the leader should try next
    std::uint64_t round = 0;
};

struct snapshot_request {
    snapshot base;
    std::uint64_t round = 0;
};

struct read_request {
    std::uint64_t readId = 0;
};

struct read_reply {
    std::uint64_t readId = 0;
    log_index index = 0;
};

/// The receiver starts an election at once.
struct election_request { };

using peer_body = std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request, read_request,
    read_reply, election_request>;

/// A message between two replicas.
struct peer_message {
    member_id from = 0;
    member_id to = 0;
    term_number term = 0;
    peer_body body;
};

} // namespace buckthornrail::agreement
