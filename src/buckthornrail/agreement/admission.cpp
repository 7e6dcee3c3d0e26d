/// @file
/// @brief Admission of blank replicas.
#include "buckthornrail/agreement/admission.hpp"

#include <algorithm>

namespace buckthornrail::agreement {
namespace {

constexpr log_index closeEnough = 16; ///< a learner that lacks no more entries may become a voter

std::optional<std::vector<member>> withLearner(std::vector<member> members, std::span<const join_wish> wishes)
{
    for (const auto& wish : wishes) {
        const auto isSame = [&wish](const member& one) { return one.id == wish.id; };
        if (std::any_of(members.begin(), members.end(), isSame))
            continue;
        members.push_back({ wish.id, wish.address, false });
        return members;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<member>> nextMembers(
    const replica& leader, std::span<const join_wish> wishes, steady_time now)
{
    if (leader.role() != replica_role::Leader)
        return std::nullopt;
    if (leader.members().size() < maxMembers) {
        if (auto changed = withLearner(leader.members(), wishes))
            return changed;
    }
    for (const auto& learner : leader.members()) {
        const auto lag = leader.lagOf(learner.id);
        if (learner.voter || !lag || *lag > closeEnough || !leader.isReachable(learner.id, now))
            continue;
        // A replaced disk: the old member of this address goes before the new one votes.
        auto changed = leader.members();
        const auto old = std::find_if(changed.begin(), changed.end(),
            [&learner](const member& one) { return one.address == learner.address && one.id != learner.id; });
        if (old != changed.end()) {
            changed.erase(old);
            return changed;
        }
        const auto fresh = std::find_if(
            changed.begin(), changed.end(), [&learner](const member& one) { return one.id == learner.id; });
        fresh->voter = true;
        return changed;
    }
    return std::nullopt;
}

} // namespace buckthornrail::agreement
