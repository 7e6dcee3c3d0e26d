/// @file
/// @brief Decides changes of the members of the replicated log.
#include "buckthornrail/agreement/membership_plan.hpp"

#include "buckthornrail/core/enum_names.hpp"

#include <algorithm>

namespace buckthornrail::agreement {
namespace {

constexpr log_index maxPromotionLag = 16; ///< entries that a learner may lack when it becomes a voter
/// Silence after which a voter that isn't needed is removed. Longer than a restart takes.
constexpr milliseconds voterSilenceLimit { 2500 };
/// Silence after which a learner is removed. It asks to join again when it is back.
constexpr milliseconds learnerSilenceLimit { 8000 };
constexpr std::size_t usualMaxVoters = 7;
constexpr std::size_t maxSurplusVoters = 2; ///< above the required number, if that is more than usualMaxVoters
constexpr std::size_t maxLearners = 8;

constexpr std::array kindNames {
    enum_name<change_kind> { change_kind::AddLearner, "add_learner" },
    enum_name<change_kind> { change_kind::PromoteLearner, "promote_learner" },
    enum_name<change_kind> { change_kind::RemoveVoter, "remove_voter" },
    enum_name<change_kind> { change_kind::RemoveLearner, "remove_learner" },
};

constexpr std::array reasonNames {
    enum_name<change_reason> { change_reason::Joining, "joining" },
    enum_name<change_reason> { change_reason::CaughtUp, "caught_up" },
    enum_name<change_reason> { change_reason::DiskReplaced, "disk_replaced" },
    enum_name<change_reason> { change_reason::Leaving, "leaving" },
    enum_name<change_reason> { change_reason::Left, "left" },
    enum_name<change_reason> { change_reason::Silent, "silent" },
};

constexpr std::size_t quorumOf(std::size_t voters) { return voters / 2 + 1; }

using member_states = std::span<const member_state>;

/// @return the newer member at the address of `old`; null: none
const member_state* replacementOf(member_states members, const member_state& old)
{
    const member_state* newest = &old;
    for (const auto& other : members) {
        if (other.subject.address == old.subject.address)
            newest = &other;
    }
    return newest == &old ? nullptr : newest;
}

/// @return why a member should be removed; nothing: it should stay
std::optional<change_reason> removalReason(
    member_states members, const member_state& state, milliseconds silenceLimit, steady_time now)
{
    if (state.isLeader)
        return std::nullopt;
    if (replacementOf(members, state) != nullptr)
        return change_reason::DiskReplaced;
    if (state.isListed)
        return std::nullopt;
    if (state.isLeaving)
        return state.isReachable ? change_reason::Leaving : change_reason::Left;
    if (!state.isReachable && now >= state.heardAt + silenceLimit)
        return change_reason::Silent;
    return std::nullopt;
}

/// Whether a learner may become a voter.
bool isReady(const member_state& state) { return state.isCaughtUp && state.isReachable && !state.isLeaving; }

bool anyReady(member_states members)
{
    return std::any_of(members.begin(), members.end(),
        [](const member_state& state) { return !state.subject.voter && isReady(state); });
}

/// Whether enough voters remain without this one, and a quorum of both sets is reachable.
bool canRemoveVoter(member_states members, const member_state& state, change_reason reason, std::size_t requiredVoters)
{
    const auto tolerance = toleranceOf(members);
    // A learner that is ready takes a dead voter's place next; before a leaving one it is promoted. A replaced disk's
    // vote is gone already, and its machine is there.
    const bool hasSuccessor = reason != change_reason::Leaving && anyReady(members);
    const std::size_t remaining = tolerance.voters - 1 + (hasSuccessor ? 1 : 0);
    const auto* replacement = replacementOf(members, state);
    const bool isReplaced = replacement != nullptr && (replacement->subject.voter || isReady(*replacement));
    if (remaining < requiredVoters && !isReplaced)
        return false;
    const std::size_t reachableWithout = tolerance.reachableVoters - (state.hasAnswered ? 1 : 0);
    return tolerance.reachableVoters >= tolerance.quorum && reachableWithout >= quorumOf(tolerance.voters - 1);
}

std::vector<member> membersOf(member_states members)
{
    std::vector<member> all;
    for (const auto& state : members)
        all.push_back(state.subject);
    return all;
}

membership_change removal(member_states members, const member_state& state, change_reason reason)
{
    membership_change change { state.subject.voter ? change_kind::RemoveVoter : change_kind::RemoveLearner, reason,
        state.subject, membersOf(members) };
    std::erase_if(change.members, [&state](const member& other) { return other.id == state.subject.id; });
    return change;
}

bool stillRuns(change_reason reason) { return reason == change_reason::Leaving; }

bool isGone(change_reason reason) { return !stillRuns(reason); }

/// @param isDue selects the reasons
std::optional<membership_change> voterRemoval(
    member_states members, std::size_t requiredVoters, steady_time now, bool (*isDue)(change_reason))
{
    for (const auto& state : members) {
        const auto reason = state.subject.voter ? removalReason(members, state, voterSilenceLimit, now) : std::nullopt;
        if (!reason || !isDue(*reason) || !canRemoveVoter(members, state, *reason, requiredVoters))
            continue;
        return removal(members, state, *reason);
    }
    return std::nullopt;
}

/// Whether a learner may become a voter without harm.
///
/// Each voter must have been heard since the learner joined: if the learner succeeds a dead voter, both must not count
/// towards the quorum at once. It waits until that voter is heard again or removed. A number that is too small is
/// raised anyway.
bool mayPromote(member_states members, const member_state& learner, std::size_t requiredVoters)
{
    const auto tolerance = toleranceOf(members);
    const std::size_t maxVoters = std::max(usualMaxVoters, requiredVoters + maxSurplusVoters);
    if (tolerance.voters >= maxVoters)
        return false;
    if (tolerance.voters < requiredVoters)
        return true;
    return std::all_of(members.begin(), members.end(), [&learner](const member_state& state) {
        return !state.subject.voter || state.isLeader || state.heardAt > learner.knownSince;
    });
}

std::optional<membership_change> promotion(member_states members, std::size_t requiredVoters)
{
    for (const auto& state : members) {
        if (state.subject.voter || !isReady(state) || replacementOf(members, state) != nullptr)
            continue;
        if (!mayPromote(members, state, requiredVoters))
            continue;
        membership_change change { change_kind::PromoteLearner, change_reason::CaughtUp, state.subject,
            membersOf(members) };
        for (auto& other : change.members)
            other.voter = other.voter || other.id == state.subject.id;
        return change;
    }
    return std::nullopt;
}

std::optional<membership_change> learnerRemoval(member_states members, steady_time now)
{
    for (const auto& state : members) {
        const auto reason
            = state.subject.voter ? std::nullopt : removalReason(members, state, learnerSilenceLimit, now);
        if (reason)
            return removal(members, state, *reason);
    }
    return std::nullopt;
}

std::optional<membership_change> addition(member_states members, std::span<const joining_replica> joining)
{
    if (toleranceOf(members).learners >= maxLearners)
        return std::nullopt;
    for (const auto& replica : joining) {
        const auto isSame = [&replica](const member_state& state) { return state.subject.id == replica.id; };
        if (std::any_of(members.begin(), members.end(), isSame))
            continue;
        membership_change change { change_kind::AddLearner, change_reason::Joining,
            member { replica.id, replica.address, false }, membersOf(members) };
        change.members.push_back(change.subject);
        return change;
    }
    return std::nullopt;
}

} // namespace

std::string_view nameOf(change_kind kind) { return nameIn(kindNames, kind); }

std::string_view nameOf(change_reason reason) { return nameIn(reasonNames, reason); }

std::vector<member_state> observeMembers(const replica& leader, const contact_table& contacts, steady_time now)
{
    std::vector<member_state> states;
    for (const auto& member : leader.members()) {
        const auto lag = leader.lagOf(member.id);
        const bool isLeader = member.id == leader.self();
        const bool isReachable = leader.isReachable(member.id, now);
        states.push_back({ member, isLeader, isReachable, isLeader || (isReachable && lag), false,
            contacts.isLeaving(member.id), lag && *lag <= maxPromotionLag, contacts.knownSince(member.id, now),
            contacts.heardAt(member.id, now) });
    }
    return states;
}

loss_tolerance toleranceOf(std::span<const member_state> members)
{
    loss_tolerance tolerance;
    for (const auto& state : members) {
        if (!state.subject.voter) {
            ++tolerance.learners;
            continue;
        }
        ++tolerance.voters;
        if (state.hasAnswered)
            ++tolerance.reachableVoters;
    }
    tolerance.quorum = quorumOf(tolerance.voters);
    return tolerance;
}

std::optional<membership_change> planChange(std::span<const member_state> members,
    std::span<const joining_replica> joining, std::size_t requiredVoters, steady_time now)
{
    if (auto change = voterRemoval(members, requiredVoters, now, isGone))
        return change;
    if (auto change = promotion(members, requiredVoters))
        return change;
    if (auto change = voterRemoval(members, requiredVoters, now, stillRuns))
        return change;
    if (auto change = learnerRemoval(members, now))
        return change;
    return addition(members, joining);
}

bool shouldReleaseVote(std::span<const member> members, member_id leaving, std::size_t requiredVoters)
{
    const auto isLeavingVoter = [leaving](const member& member) { return member.voter && member.id == leaving; };
    return members.size() > requiredVoters && std::any_of(members.begin(), members.end(), isLeavingVoter);
}

} // namespace buckthornrail::agreement
