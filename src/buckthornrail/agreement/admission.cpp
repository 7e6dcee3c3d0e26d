/// @file
/// @brief Membership changes of the replicated log.
#include "buckthornrail/agreement/admission.hpp"

#include <algorithm>

namespace buckthornrail::agreement {
namespace {

constexpr log_index maxPromotionLag = 16; ///< entries that a learner may lack when it becomes a voter

std::optional<std::vector<member>> withLearner(std::vector<member> members, std::span<const joining_replica> joining)
{
    for (const auto& newReplica : joining) {
        const auto isSame = [&newReplica](const member& member) { return member.id == newReplica.id; };
        if (std::any_of(members.begin(), members.end(), isSame))
            continue;
        members.push_back({ newReplica.id, newReplica.address, false });
        return members;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<member>> nextMembers(
    const replica& leader, std::span<const joining_replica> joining, steady_time now)
{
    if (leader.role() != replica_role::Leader)
        return std::nullopt;
    if (leader.members().size() < maxMembers) {
        if (auto changed = withLearner(leader.members(), joining))
            return changed;
    }
    for (const auto& learner : leader.members()) {
        const auto lag = leader.lagOf(learner.id);
        if (learner.voter || !lag || *lag > maxPromotionLag || !leader.isReachable(learner.id, now))
            continue;
        // The learner replaces a lost disk: the old member at its address is removed before the learner votes, so
        // that each change concerns one voter only.
        auto changed = leader.members();
        const auto old = std::find_if(changed.begin(), changed.end(),
            [&learner](const member& member) { return member.address == learner.address && member.id != learner.id; });
        if (old != changed.end()) {
            changed.erase(old);
            return changed;
        }
        const auto promoted = std::find_if(
            changed.begin(), changed.end(), [&learner](const member& member) { return member.id == learner.id; });
        promoted->voter = true;
        return changed;
    }
    return std::nullopt;
}

std::optional<std::vector<member>> withoutDeadMember(const replica& leader, std::span<const member_id> replaceable,
    std::span<const member_id> droppable, steady_time now)
{
    const auto& members = leader.members();
    const auto isIn = [](std::span<const member_id> list, member_id id) {
        return std::find(list.begin(), list.end(), id) != list.end();
    };
    const auto voters
        = std::count_if(members.begin(), members.end(), [](const member& member) { return member.voter; });
    const auto reachable = std::count_if(members.begin(), members.end(),
        [&](const member& member) { return member.voter && leader.isReachable(member.id, now); });
    for (const auto& subject : members) {
        const bool isSurplus = subject.voter && voters >= 4 && voters % 2 == 0 && isIn(replaceable, subject.id);
        const bool occupiesSlot = members.size() >= maxMembers && isIn(droppable, subject.id);
        const bool isDeadLearner = !subject.voter && isIn(droppable, subject.id);
        if (!isSurplus && !occupiesSlot && !isDeadLearner)
            continue;
        const auto votersLeft = voters - (subject.voter ? 1 : 0);
        if (reachable < votersLeft / 2 + 1)
            continue;
        std::vector<member> left;
        std::copy_if(members.begin(), members.end(), std::back_inserter(left),
            [&subject](const member& other) { return other.id != subject.id; });
        return left;
    }
    return std::nullopt;
}

} // namespace buckthornrail::agreement
