/// @file
/// @brief Membership changes of the replicated log: adding learners, promoting them to voters, removing dead members.
///
/// A blank replica first joins as a learner. When it has caught up, the member at the same address, whose disk it
/// replaces, is removed, and the learner becomes a voter.
#pragma once

#include "buckthornrail/agreement/replica.hpp"

#include <span>

namespace buckthornrail::agreement {

/// A replica that asks to become a member.
struct joining_replica {
    member_id id = 0;
    std::string address;
};

inline constexpr std::size_t maxMembers = 7; ///< voters and learners

/// @brief Computes the next membership change that the leader should propose. It adds or removes one voter at most.
/// @param leader a replica; nothing is proposed unless it is the leader
/// @param joining replicas that ask to become members
/// @return the complete new set of members; nothing when no change is due
std::optional<std::vector<member>> nextMembers(
    const replica& leader, std::span<const joining_replica> joining, steady_time now);

/// @brief Computes the set of members without an unreachable one that is due for removal.
///
/// An even number of voters tolerates as many failures as one voter fewer, but needs a larger quorum. So with an even
/// number of at least four voters, an unreachable voter is removed. An unreachable learner is removed too, and any
/// unreachable member when the set is full, because no replica could join otherwise. The remaining voters must include
/// a reachable quorum.
/// @param replaceable members unreachable for long enough to remove a voter from an even number of voters
/// @param droppable members unreachable for still longer: enough to remove a learner, or any member of a full set
/// @return the complete new set of members; nothing when no member can be removed
std::optional<std::vector<member>> withoutDeadMember(const replica& leader, std::span<const member_id> replaceable,
    std::span<const member_id> droppable, steady_time now);

} // namespace buckthornrail::agreement
