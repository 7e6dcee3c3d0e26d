/// @file
/// @brief How blank replicas become members: first as learners, then in place of the member whose disk they replace.
#pragma once

#include "buckthornrail/agreement/replica.hpp"

#include <span>

namespace buckthornrail::agreement {

/// A blank replica that asks to be taken in.
struct join_wish {
    member_id id = 0;
    std::string address;
};

inline constexpr std::size_t maxMembers = 7;

/// @brief The next change of members that a leader should propose, if any; each changes one voter at most.
/// @return the whole new set, or nothing when there is nothing to do now
std::optional<std::vector<member>> nextMembers(
    const replica& leader, std::span<const join_wish> wishes, steady_time now);

} // namespace buckthornrail::agreement
