/// @file
/// @brief Replica: elections with pre-vote, role changes, leadership transfer.
#include "buckthornrail/agreement/replica.hpp"

#include <algorithm>

namespace buckthornrail::agreement {

void replica::onVoteRequest(const peer_message& message, const vote_request& request, steady_time now)
{
    const bool isLeaderAlive = m_leader != 0 && now < m_leaderDeadline;
    if (!request.transfer && (m_role == replica_role::Leader || isLeaderAlive)) {
        if (message.term > m_hard.term)
            return; // a member that lost contact with a live leader must not depose it
        send(message.from, vote_reply { false, request.preVote });
        return;
    }
    if (request.preVote) {
        const bool granted = message.term > m_hard.term && isUpToDate(request);
        sendInTerm(message.from, granted ? message.term : m_hard.term, vote_reply { granted, true });
        return;
    }
    if (message.term > m_hard.term)
        becomeFollower(message.term, 0, now);
    const bool isVoteAvailable = m_hard.votedFor == 0 || m_hard.votedFor == message.from;
    const bool granted = message.term == m_hard.term && isVoteAvailable && isUpToDate(request);
    if (granted) {
        m_hardChanged = m_hardChanged || m_hard.votedFor != message.from;
        m_hard.votedFor = message.from;
        resetElectionDeadline(now);
    }
    send(message.from, vote_reply { granted, false });
}

void replica::onVoteReply(const peer_message& message, const vote_reply& reply, steady_time now)
{
    const bool isExpected = reply.preVote ? m_role == replica_role::PreCandidate && message.term == m_hard.term + 1
                                          : m_role == replica_role::Candidate && message.term == m_hard.term;
    if (!isExpected || !reply.granted || !isVoter(message.from))
        return;
    m_votes.insert(message.from);
    if (m_votes.size() < quorumSize())
        return;
    if (reply.preVote) {
        startElection(false, false, now);
        return;
    }
    becomeLeader(now);
}

void replica::becomeFollower(term_number term, member_id leader, steady_time now)
{
    if (term > m_hard.term) {
        m_hard = hard_state { term, 0 };
        m_hardChanged = true;
    }
    m_role = replica_role::Follower;
    m_leader = leader;
    m_pendingReads.clear();
    m_progress.clear();
    m_broadcastNeeded = false;
    resetElectionDeadline(now);
}

void replica::becomeLeader(steady_time now)
{
    m_role = replica_role::Leader;
    m_leader = m_self;
    m_hasKnownLeader = true;
    m_pendingReads.clear();
    m_progress.clear();
    refreshMembers();
    m_heartbeatDeadline = now + m_options.heartbeatInterval;
    log_entry first;
    first.term = m_hard.term;
    appendEntry(std::move(first));
    for (auto& [id, peer] : m_progress)
        peer.contactDeadline = now + m_options.electionTimeoutMax;
}

void replica::startElection(bool preVote, bool transfer, steady_time now)
{
    resetElectionDeadline(now);
    m_role = preVote ? replica_role::PreCandidate : replica_role::Candidate;
    m_leader = 0;
    m_votes = { m_self };
    if (!preVote) {
        m_hard = hard_state { m_hard.term + 1, m_self };
        m_hardChanged = true;
    }
    if (m_votes.size() >= quorumSize()) {
        if (preVote)
            startElection(false, transfer, now);
        else
            becomeLeader(now);
        return;
    }
    const term_number electionTerm = preVote ? m_hard.term + 1 : m_hard.term;
    for (const auto& member : m_members) {
        if (!member.voter || member.id == m_self)
            continue;
        sendInTerm(
            member.id, electionTerm, vote_request { lastIndex(), termAt(lastIndex()).value_or(0), preVote, transfer });
    }
}

void replica::resetElectionDeadline(steady_time now)
{
    const bool isInitial = !m_hasKnownLeader && m_options.initialElectionTimeoutMax.count() > 0;
    const auto shortest = isInitial ? m_options.initialElectionTimeoutMax / 3 : m_options.electionTimeoutMin;
    const auto longest = isInitial ? m_options.initialElectionTimeoutMax : m_options.electionTimeoutMax;
    std::uniform_int_distribution<std::int64_t> draw(shortest.count(), longest.count());
    m_electionDeadline = now + milliseconds(draw(m_random));
}

bool replica::isUpToDate(const vote_request& request) const
{
    const term_number ownTerm = termAt(lastIndex()).value_or(0);
    return request.lastTerm > ownTerm || (request.lastTerm == ownTerm && request.lastIndex >= lastIndex());
}

void replica::transferLeadership(std::span<const member_id> unfit)
{
    if (m_role != replica_role::Leader)
        return;
    member_id best = 0;
    std::pair<bool, log_index> bestRank; ///< whether it is fit, and the end of its log
    for (const auto& [id, peer] : m_progress) {
        const bool isFit = std::find(unfit.begin(), unfit.end(), id) == unfit.end();
        const std::pair<bool, log_index> rank { isFit, peer.match };
        if (!isVoter(id) || rank < bestRank || m_now > peer.contactDeadline)
            continue;
        best = id;
        bestRank = rank;
    }
    if (best != 0)
        send(best, election_request {});
}

} // namespace buckthornrail::agreement
