/// @file
/// @brief The only decision on who belongs to the replicated log: adding learners, promoting them, removing members.
///
/// With f losses to be borne, the log keeps 2 f + 1 voters or more. A voter that is silent, has left or has lost its
/// disk is removed as soon as so many remain, or a learner is ready to take its place: it costs a quorum and gives
/// nothing. It may come back as a learner. Otherwise it stays, however long it is silent.
#pragma once

#include "buckthornrail/agreement/contact_table.hpp"
#include "buckthornrail/agreement/replica.hpp"

#include <optional>
#include <span>

namespace buckthornrail::agreement {

/// A replica that asks to become a member.
struct joining_replica {
    member_id id = 0;
    std::string address;
};

/// A member, and what the leader knows of it.
struct member_state {
    member subject;
    bool isLeader = false; ///< it is the leader itself, which is never removed: it hands leadership over first
    bool isReachable = false; ///< heard within the longest election timeout, or the leader has led for less than that
    bool hasAnswered = false; ///< reachable, and it has answered this leader
    bool isListed = false; ///< an operator names it as a member: only a replaced disk is a reason to remove it
    bool isLeaving = false; ///< it has announced that its process ends
    bool isCaughtUp = false; ///< it lacks so few entries that it may become a voter
    steady_time knownSince {}; ///< as in contact_table
    steady_time heardAt {}; ///< as in contact_table
};

enum class change_kind : std::uint8_t { AddLearner, PromoteLearner, RemoveVoter, RemoveLearner };

enum class change_reason : std::uint8_t {
    Joining, ///< a replica asks to become a member
    CaughtUp, ///< a learner holds the log
    DiskReplaced, ///< a newer member has the same address, so this one's disk is lost
    Leaving, ///< the member has announced that its process ends, and still runs
    Left, ///< the member has announced that its process ends, and isn't reachable any more
    Silent, ///< the member hasn't been heard for long
};

/// @return name of the kind, in snake case
std::string_view nameOf(change_kind kind);
/// @return name of the reason, in snake case
std::string_view nameOf(change_reason reason);

/// The next change of the members. It adds or removes one voter at most.
struct membership_change {
    change_kind kind = change_kind::AddLearner;
    change_reason reason = change_reason::Joining;
    member subject;
    std::vector<member> members; ///< the complete new set
};

/// How many losses the log bears at present.
struct loss_tolerance {
    std::size_t voters = 0;
    std::size_t reachableVoters = 0; ///< that have answered
    std::size_t learners = 0;
    std::size_t quorum = 0; ///< voters that are needed to commit
    /// Voters that may be lost besides those that don't answer, with a quorum left.
    [[nodiscard]] std::size_t bearable() const { return reachableVoters > quorum ? reachableVoters - quorum : 0; }
};

/// @return the number of voters that must remain for so many losses to be borne
constexpr std::size_t votersFor(std::size_t losses) { return 2 * losses + 1; }

/// @return what a leader knows of its members
std::vector<member_state> observeMembers(const replica& leader, const contact_table& contacts, steady_time now);

loss_tolerance toleranceOf(std::span<const member_state> members);

/// @brief Decides the next change. Dead voters are removed first: none must stay because others join meanwhile, and a
/// replaced one must not count towards the quorum beside its successor. A leaving voter is removed after promotions.
/// @param members of the leader's log, in the order in which they were added
/// @param joining replicas that ask to become members
/// @param requiredVoters number of voters that a removal must leave
/// @return nothing when no change is due
std::optional<membership_change> planChange(std::span<const member_state> members,
    std::span<const joining_replica> joining, std::size_t requiredVoters, steady_time now);

/// @brief Whether a member that ends should wait until its vote has been removed: enough others vote, or will.
/// @param requiredVoters as in planChange()
bool shouldReleaseVote(std::span<const member> members, member_id leaving, std::size_t requiredVoters);

} // namespace buckthornrail::agreement
