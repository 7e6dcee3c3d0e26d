/// @file
/// @brief The members of the replicated log: joining, leaving, and how many losses they bear.
#include "app/shared/replicated_log.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

constexpr milliseconds joinRequestLifetime { 2000 };
constexpr std::size_t maxPendingJoins = 16;
/// A member that wasn't heard for this long counts as lost in a follower's view. Members send a hello every 200 ms.
constexpr milliseconds contactLifetime { 1000 };
/// Longer than an election takes: without a leader for this long, a voter logs which voters are silent.
constexpr milliseconds quorumReportInterval { 3000 };
/// Longer than the restart of a member takes: a low tolerance, or the end of one, is logged when it has lasted this
/// long.
constexpr milliseconds toleranceReportDelay { 3000 };
/// Time for a member that ends to hand over leadership.
constexpr milliseconds transferPeriod { 300 };
/// Time for a member that ends to hand over its vote too. Callers are still served meanwhile.
constexpr milliseconds releasePeriod { 6000 };
/// Interval between offers of leadership; shorter than an election timeout.
constexpr milliseconds transferRetryInterval { 200 };

/// Adds an address and a silence to a list for the log.
void appendSilence(std::string& list, const agreement::member_state& state, steady_time now)
{
    list += (list.empty() ? "" : ",") + state.subject.address + " "
        + std::to_string(between(state.heardAt, now).count());
}

} // namespace

std::size_t replicated_log::requiredVoters() const
{
    if (m_options.toleratedLosses > 0)
        return agreement::votersFor(m_options.toleratedLosses);
    const std::size_t seeds = m_options.seeds.size();
    if (!m_options.admitsUnlisted)
        return std::max<std::size_t>(seeds, 1); // the seeds are all the members that there should be
    return agreement::votersFor(seeds > 0 ? (seeds - 1) / 2 : 0);
}

std::vector<agreement::member_state> replicated_log::memberStates(steady_time now) const
{
    auto states = agreement::observeMembers(*m_replica, m_contacts, now);
    for (auto& state : states) {
        state.isListed = isListed(state.subject.address);
        if (isLeader())
            continue;
        state.isLeader = state.subject.id == m_replica->leader();
        state.isReachable = state.subject.id == m_replica->self() || now < state.heardAt + contactLifetime;
        state.hasAnswered = state.isReachable;
    }
    return states;
}

void replicated_log::recordJoinRequest(agreement::member_id id, const std::string& address)
{
    if (!isLeader())
        sendToLeader(link::join_request { id, address });
    // The disk of an earlier replica at the address is lost, so its request is void.
    std::erase_if(m_pendingJoins, [&](const auto& item) { return item.first != id && item.second.address == address; });
    if (m_pendingJoins.contains(id) || m_pendingJoins.size() < maxPendingJoins)
        m_pendingJoins[id] = { address, steadyNow() + joinRequestLifetime };
}

bool replicated_log::isListed(const std::string& address) const
{
    const auto& seeds = m_options.seeds;
    return !m_options.admitsUnlisted && std::find(seeds.begin(), seeds.end(), address) != seeds.end();
}

std::vector<agreement::joining_replica> replicated_log::joiningReplicas() const
{
    std::vector<agreement::joining_replica> joining;
    for (const auto& [id, request] : m_pendingJoins) {
        if (m_options.admitsUnlisted || isListed(request.address))
            joining.push_back({ id, request.address });
    }
    return joining;
}

void replicated_log::updateMembers()
{
    const steady_time now = steadyNow();
    std::erase_if(m_pendingJoins, [now](const auto& item) { return now >= item.second.deadline; });
    m_contacts.retain(m_replica->members(), now); // a member that was removed and added again begins anew
    if (!isLeader() || m_replica->hasPendingMembers())
        return;
    const auto states = memberStates(now);
    auto change = agreement::planChange(states, joiningReplicas(), requiredVoters(), now);
    if (!change)
        return;
    const auto tolerance = agreement::toleranceOf(states);
    if (!m_replica->proposeMembers(std::move(change->members)))
        return; // the leader hasn't committed an entry of its term yet; planned again
    telemetry::logEvent(event_code::MemberChangeProposed,
        { { "change", std::string(nameOf(change->kind)) }, { "member", change->subject.address },
            { "id", std::to_string(change->subject.id) }, { "because", std::string(nameOf(change->reason)) },
            { "voters", std::to_string(tolerance.voters) }, { "reachable", std::to_string(tolerance.reachableVoters) },
            { "required", std::to_string(requiredVoters()) },
            { "silent_ms", std::to_string(between(m_contacts.heardAt(change->subject.id, now), now).count()) } });
    scheduleFlush();
}

void replicated_log::leave(std::function<void()> done)
{
    if (m_leave.hasBegun)
        return;
    const steady_time now = steadyNow();
    m_leave.hasBegun = true;
    m_leave.done = std::move(done);
    m_leave.beganAt = now;
    m_leave.transferDeadline = now + transferPeriod;
    m_leave.releaseDeadline = now + releasePeriod;
    m_leave.nextTransferAt = now;
    continueLeaving(now);
    flush();
}

void replicated_log::continueLeaving(steady_time now)
{
    if (!m_leave.done)
        return;
    const bool releasesVote = !isListed(m_options.ownAddress)
        && agreement::shouldReleaseVote(m_replica->members(), m_replica->self(), requiredVoters());
    if (m_leave.isReleased || now >= (releasesVote ? m_leave.releaseDeadline : m_leave.transferDeadline)) {
        finishLeaving(now);
        return;
    }
    if (isLeader() && now >= m_leave.nextTransferAt) {
        m_leave.nextTransferAt = now + transferRetryInterval;
        std::vector<agreement::member_id> unfit;
        for (const auto& member : m_replica->members()) {
            if (m_contacts.isLeaving(member.id))
                unfit.push_back(member.id);
        }
        m_replica->transferLeadership(unfit);
    }
    sayHello();
}

void replicated_log::finishLeaving(steady_time now)
{
    telemetry::logEvent(event_code::MemberLeft,
        { { "released", m_leave.isReleased ? "yes" : "no" },
            { "waited_ms", std::to_string(between(m_leave.beganAt, now).count()) },
            { "voters", std::to_string(agreement::toleranceOf(memberStates(now)).voters) },
            { "required", std::to_string(requiredVoters()) } });
    m_loop.post(std::exchange(m_leave.done, nullptr));
}

void replicated_log::reportMissingQuorum(steady_time now)
{
    if (m_replica->leader() != 0 || !m_replica->isVoter(m_replica->self())) {
        m_nextQuorumReportAt = now + quorumReportInterval;
        return;
    }
    if (now < m_nextQuorumReportAt)
        return;
    m_nextQuorumReportAt = now + quorumReportInterval;
    const auto states = memberStates(now);
    const auto tolerance = agreement::toleranceOf(states);
    std::string silent;
    for (const auto& state : states) {
        if (state.subject.voter && !state.isReachable)
            appendSilence(silent, state, now);
    }
    telemetry::logEvent(event_code::QuorumMissing,
        { { "voters", std::to_string(tolerance.voters) }, { "needed", std::to_string(tolerance.quorum) },
            { "heard", std::to_string(tolerance.reachableVoters) }, { "silent_ms", silent },
            { "term", std::to_string(m_replica->term()) }, { "last", std::to_string(m_replica->lastIndex()) } },
        telemetry::severity::Warning);
}

void replicated_log::reportTolerance(steady_time now)
{
    if (!isLeader())
        m_isToleranceLow = false;
    const auto states = memberStates(now);
    const auto tolerance = agreement::toleranceOf(states);
    const bool isLow = tolerance.bearable() < toleratedLosses();
    if (!isLeader() || isLow == m_isToleranceLow)
        m_toleranceReportAt = now + toleranceReportDelay;
    if (now < m_toleranceReportAt)
        return;
    m_isToleranceLow = isLow;
    std::string silent;
    for (const auto& state : states) {
        if (!state.isReachable)
            appendSilence(silent, state, now);
    }
    telemetry::logEvent(isLow ? event_code::ToleranceLow : event_code::ToleranceRegained,
        { { "bearable", std::to_string(tolerance.bearable()) }, { "tolerated", std::to_string(toleratedLosses()) },
            { "voters", std::to_string(tolerance.voters) }, { "learners", std::to_string(tolerance.learners) },
            { "silent_ms", silent } },
        isLow ? telemetry::severity::Warning : telemetry::severity::Info);
}

} // namespace buckthornrail::app
