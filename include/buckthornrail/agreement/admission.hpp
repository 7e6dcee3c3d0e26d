/// @file
/// @brief How blank replicas become members: first as learners, then in place of the member whose disk they replace.
#pragma once

#include "buckthornrail/agreement/replica.hpp"

#include <span>

namespace buckthornrail::agreement {

/// A blank replica that asks to be taken in.
struct joining_replica {
    member_id id = 0;
    std::string address;
};

inline constexpr std::size_t maxMembers = 7;

/// @brief The next change of members that a leader should propose, if any; each changes one voter at most.
/// @return the whole new set, or nothing when there is nothing to do now
std::optional<std::vector<member>> nextMembers(
    const replica& leader, std::span<const joining_replica> joining, steady_time now);

/// @brief The members without one that is out of reach, where the log goes on without it just as well.
///
/// A dead voter beside an even number of voters tolerates nothing more than one voter fewer would, and costs a vote.
/// @param replaceable voters out of reach long enough to be replaced
/// @param droppable members out of reach for longer still
/// @return the whole new set, or nothing
std::optional<std::vector<member>> withoutDeadMember(const replica& leader, std::span<const member_id> replaceable,
    std::span<const member_id> droppable, steady_time now);

} // namespace buckthornrail::agreement
