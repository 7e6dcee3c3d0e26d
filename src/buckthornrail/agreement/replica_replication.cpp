/// @file
/// @brief Replica: replication of entries, log conflicts, snapshots for lagging members, commit index.
#include "buckthornrail/agreement/replica.hpp"

#include <algorithm>

namespace buckthornrail::agreement {

void replica::onAppendRequest(const peer_message& message, const append_request& request, steady_time now)
{
    if (message.term < m_hard.term) {
        send(message.from, append_reply { false, 0, 0 });
        return;
    }
    followLeader(message, now);
    const bool isBeforeSnapshot = request.previousIndex < m_snapshot.index;
    if (!isBeforeSnapshot && termAt(request.previousIndex) != request.previousTerm) {
        log_index hint = std::min(lastIndex(), request.previousIndex - 1);
        const auto conflicting = termAt(hint);
        while (hint > m_snapshot.index && hint > m_commit && termAt(hint) == conflicting)
            --hint;
        send(message.from, append_reply { false, hint, request.round });
        return;
    }
    bool changesMembers = false;
    for (const auto& entry : request.entries) {
        if (entry.index <= m_snapshot.index || termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= lastIndex()) {
            truncateFrom(entry.index);
            changesMembers = true;
        }
        m_entries.push_back(entry);
        changesMembers = changesMembers || entry.kind == entry_kind::Members;
    }
    if (changesMembers)
        refreshMembers();
    const log_index match = request.previousIndex + request.entries.size();
    m_commit = std::max(m_commit, std::min(request.commit, match));
    send(message.from, append_reply { true, match, request.round });
}

void replica::onAppendReply(const peer_message& message, const append_reply& reply, steady_time now)
{
    const auto found = m_progress.find(message.from);
    if (m_role != replica_role::Leader || message.term != m_hard.term || found == m_progress.end())
        return;
    auto& peer = found->second;
    peer.contactDeadline = now + m_options.electionTimeoutMax;
    peer.ackedRound = std::max(peer.ackedRound, reply.round);
    if (!reply.accepted) {
        peer.next = std::max<log_index>(peer.match, std::min(reply.matchIndex, peer.next)) + 1;
        sendAppend(message.from, peer);
        return;
    }
    peer.match = std::max(peer.match, reply.matchIndex);
    peer.next = std::max(peer.next, peer.match + 1);
    peer.snapshotDeadline = {};
    if (peer.next <= lastIndex())
        m_broadcastNeeded = true;
}

void replica::onSnapshotRequest(const peer_message& message, const snapshot_request& request, steady_time now)
{
    if (message.term < m_hard.term) {
        send(message.from, append_reply { false, 0, 0 });
        return;
    }
    followLeader(message, now);
    if (request.base.index > m_commit) {
        if (termAt(request.base.index) == request.base.term) {
            const auto covered = static_cast<std::ptrdiff_t>(request.base.index - m_snapshot.index);
            m_entries.erase(m_entries.begin(), m_entries.begin() + covered);
        } else {
            m_entries.clear();
        }
        m_snapshot = request.base;
        m_commit = m_snapshot.index;
        m_applied = m_snapshot.index;
        m_installed = m_snapshot;
        m_unpersisted = m_snapshot.index + 1; // the log file is replaced, so the remaining entries are persisted again
        refreshMembers();
    }
    send(message.from, append_reply { true, std::max(request.base.index, m_commit), request.round });
}

void replica::followLeader(const peer_message& message, steady_time now)
{
    if (m_role != replica_role::Follower)
        becomeFollower(message.term, message.from, now);
    m_leader = message.from;
    m_hasKnownLeader = true;
    m_leaderDeadline = now + m_options.electionTimeoutMin;
    resetElectionDeadline(now);
}

void replica::truncateFrom(log_index index)
{
    m_entries.resize(index - m_snapshot.index - 1);
    m_unpersisted = std::min(m_unpersisted, index);
}

void replica::advanceCommit()
{
    std::vector<log_index> matches;
    for (const auto& member : m_members) {
        if (!member.voter)
            continue;
        const auto found = m_progress.find(member.id);
        matches.push_back(member.id == m_self ? lastIndex() : found != m_progress.end() ? found->second.match : 0);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index candidate = matches[quorumSize() - 1];
    if (candidate <= m_commit || termAt(candidate) != m_hard.term)
        return;
    m_commit = candidate;
    m_broadcastNeeded = true;
    if (!hasPendingMembers() && !isVoter(m_self))
        becomeFollower(m_hard.term, 0, m_now);
}

void replica::broadcast()
{
    m_broadcastNeeded = false;
    ++m_round;
    for (auto& [id, peer] : m_progress)
        sendAppend(id, peer);
}

void replica::sendAppend(member_id to, progress& peer)
{
    if (peer.next <= m_snapshot.index) {
        if (m_now < peer.snapshotDeadline) {
            send(to, append_request { m_snapshot.index, m_snapshot.term, m_commit, m_round, {} });
            return;
        }
        peer.snapshotDeadline = m_now + m_options.snapshotResendInterval;
        send(to, snapshot_request { m_snapshot, m_round });
        return;
    }
    append_request request;
    request.previousIndex = peer.next - 1;
    request.previousTerm = termAt(request.previousIndex).value_or(0);
    request.commit = m_commit;
    request.round = m_round;
    for (log_index i = peer.next; i <= lastIndex() && request.entries.size() < m_options.maxEntriesPerMessage; ++i)
        request.entries.push_back(entryAt(i));
    peer.next += request.entries.size();
    send(to, std::move(request));
}

} // namespace buckthornrail::agreement
