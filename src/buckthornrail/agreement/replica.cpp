/// @file
/// @brief Replicated log: elections with pre-vote, replication, confirmed reads, snapshots, member changes.
#include "buckthornrail/agreement/replica.hpp"

#include "buckthornrail/core/enum_names.hpp"

#include <algorithm>

namespace buckthornrail::agreement {
namespace {

constexpr std::array roleNames {
    enum_name<replica_role> { replica_role::Follower, "follower" },
    enum_name<replica_role> { replica_role::PreCandidate, "pre_candidate" },
    enum_name<replica_role> { replica_role::Candidate, "candidate" },
    enum_name<replica_role> { replica_role::Leader, "leader" },
    enum_name<replica_role> { replica_role::Faulted, "faulted" },
};

} // namespace

std::string_view nameOf(replica_role role) { return nameIn(roleNames, role); }

replica::replica(member_id self, persistent_state state, replica_options options, std::uint64_t seed, steady_time now)
    : m_self(self)
    , m_options(options)
    , m_random(seed)
    , m_hard(state.hard)
    , m_base(std::move(state.base))
    , m_entries(std::move(state.entries))
    , m_commit(m_base.index)
    , m_applied(m_base.index)
    , m_unpersisted(lastIndex() + 1)
    , m_now(now)
{
    refreshMembers();
    drawElectionDeadline(now);
}

tl::expected<void, failure> replica::initialize(const std::string& address, steady_time now)
{
    if (lastIndex() != 0 || m_hard.term != 0)
        return tl::make_unexpected(failure { result_code::AlreadyInitialized, "the data folder holds a log" });
    m_hard = hard_state { 1, m_self };
    m_hardChanged = true;
    log_entry first;
    first.term = 1;
    first.kind = entry_kind::Members;
    first.members = { member { m_self, address, true } };
    appendOwn(std::move(first));
    becomeLeader(now);
    return {};
}

void replica::tick(steady_time now)
{
    m_now = now;
    if (m_role == replica_role::Faulted)
        return;
    if (m_role == replica_role::Leader) {
        if (!hasQuorumContact(now)) {
            becomeFollower(m_hard.term, 0, now);
            return;
        }
        if (now >= m_heartbeatDeadline) {
            m_heartbeatDeadline = now + m_options.heartbeatInterval;
            m_broadcastNeeded = true;
        }
        return;
    }
    if (now < m_electionDeadline)
        return;
    if (!isVoter(m_self)) {
        drawElectionDeadline(now);
        return;
    }
    startElection(true, false, now);
}

void replica::receive(const peer_message& message, steady_time now)
{
    m_now = now;
    if (m_role == replica_role::Faulted || message.to != m_self)
        return;
    const auto* vote = std::get_if<vote_request>(&message.body);
    if (vote != nullptr) {
        onVoteRequest(message, *vote, now);
        return;
    }
    const auto* voteAnswer = std::get_if<vote_reply>(&message.body);
    const bool isPreVoteGrant = voteAnswer != nullptr && voteAnswer->preVote && voteAnswer->granted;
    if (message.term > m_hard.term && !isPreVoteGrant)
        becomeFollower(message.term, 0, now);
    if (voteAnswer != nullptr) {
        onVoteReply(message, *voteAnswer, now);
        return;
    }
    if (const auto* request = std::get_if<append_request>(&message.body)) {
        onAppendRequest(message, *request, now);
        return;
    }
    if (const auto* reply = std::get_if<append_reply>(&message.body)) {
        onAppendReply(message, *reply, now);
        return;
    }
    if (const auto* request = std::get_if<snapshot_request>(&message.body)) {
        onSnapshotRequest(message, *request, now);
        return;
    }
    if (const auto* request = std::get_if<read_request>(&message.body)) {
        if (m_role == replica_role::Leader)
            m_pendingReads.push_back({ message.from, request->readId, 0, 0 });
        return;
    }
    if (const auto* reply = std::get_if<read_reply>(&message.body)) {
        m_reads.push_back({ reply->readId, reply->index });
        return;
    }
    const bool mayLead = message.term == m_hard.term && isVoter(m_self) && m_role != replica_role::Leader;
    if (std::holds_alternative<election_request>(message.body) && mayLead)
        startElection(false, true, now);
}

std::optional<log_index> replica::propose(std::string command)
{
    if (m_role != replica_role::Leader)
        return std::nullopt;
    log_entry entry;
    entry.term = m_hard.term;
    entry.kind = entry_kind::Command;
    entry.command = std::move(command);
    appendOwn(std::move(entry));
    return lastIndex();
}

tl::expected<log_index, failure> replica::proposeMembers(std::vector<member> members)
{
    if (m_role != replica_role::Leader)
        return tl::make_unexpected(failure { result_code::NoQuorum, "this controller doesn't lead" });
    if (m_membersIndex > m_commit)
        return tl::make_unexpected(failure { result_code::NoQuorum, "another change of members is open" });
    if (termAt(m_commit) != m_hard.term)
        return tl::make_unexpected(failure { result_code::NoQuorum, "the leader has not committed in its term" });
    std::size_t votersChanged = 0;
    const auto countMissing = [&votersChanged](const std::vector<member>& from, const std::vector<member>& in) {
        for (const auto& one : from) {
            const auto same = [&one](const member& other) { return other.id == one.id && other.voter; };
            if (one.voter && std::none_of(in.begin(), in.end(), same))
                ++votersChanged;
        }
    };
    countMissing(m_members, members);
    countMissing(members, m_members);
    if (votersChanged > 1)
        return tl::make_unexpected(failure { result_code::NoQuorum, "members change one voter at a time" });
    log_entry entry;
    entry.term = m_hard.term;
    entry.kind = entry_kind::Members;
    entry.members = std::move(members);
    appendOwn(std::move(entry));
    return lastIndex();
}

void replica::confirmRead(std::uint64_t readId)
{
    if (m_role == replica_role::Leader) {
        m_pendingReads.push_back({ m_self, readId, 0, 0 });
        return;
    }
    if (m_leader != 0)
        send(m_leader, read_request { readId });
}

snapshot replica::compact(log_index index, std::string state)
{
    index = std::min(index, m_applied);
    if (index <= m_base.index)
        return m_base;
    snapshot made;
    made.index = index;
    made.term = termAt(index).value_or(0);
    made.members = m_base.members;
    for (log_index at = m_base.index + 1; at <= index; ++at) {
        if (entryAt(at).kind == entry_kind::Members)
            made.members = entryAt(at).members;
    }
    made.state = std::move(state);
    const auto dropped = static_cast<std::ptrdiff_t>(index - m_base.index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + dropped);
    m_base = std::move(made);
    return m_base;
}

void replica::transferLeadership()
{
    if (m_role != replica_role::Leader)
        return;
    member_id best = 0;
    log_index bestMatch = 0;
    for (const auto& [id, peer] : m_progress) {
        if (!isVoter(id) || peer.match < bestMatch || m_now > peer.contactDeadline)
            continue;
        best = id;
        bestMatch = peer.match;
    }
    if (best != 0)
        send(best, election_request {});
}

void replica::fault()
{
    m_role = replica_role::Faulted;
    m_leader = 0;
    m_messages.clear();
    m_pendingReads.clear();
    m_installed.reset();
    m_hardChanged = false;
    m_unpersisted = lastIndex() + 1;
    m_commit = m_applied;
}

effects replica::takeEffects()
{
    if (m_role == replica_role::Leader) {
        for (auto& read : m_pendingReads) {
            if (read.round != 0 || termAt(m_commit) != m_hard.term)
                continue;
            read.round = m_round + 1;
            read.index = m_commit;
            m_broadcastNeeded = true;
        }
        advanceCommit();
    }
    if (m_role == replica_role::Leader) {
        if (m_broadcastNeeded)
            broadcast();
        releaseReads();
    }
    effects out;
    out.installed = std::exchange(m_installed, std::nullopt);
    if (std::exchange(m_hardChanged, false))
        out.hardState = m_hard;
    for (log_index at = m_unpersisted; at <= lastIndex(); ++at)
        out.appended.push_back(entryAt(at));
    m_unpersisted = lastIndex() + 1;
    out.messages = std::exchange(m_messages, {});
    for (log_index at = m_applied + 1; at <= m_commit; ++at)
        out.committed.push_back(entryAt(at));
    m_applied = std::max(m_applied, m_commit);
    out.reads = std::exchange(m_reads, {});
    return out;
}

std::optional<log_index> replica::lagOf(member_id id) const
{
    const auto found = m_progress.find(id);
    if (m_role != replica_role::Leader || found == m_progress.end() || found->second.match == 0)
        return std::nullopt;
    return lastIndex() - found->second.match;
}

bool replica::isReachable(member_id id, steady_time now) const
{
    const auto found = m_progress.find(id);
    return id == m_self || (found != m_progress.end() && now <= found->second.contactDeadline);
}

void replica::onVoteRequest(const peer_message& message, const vote_request& request, steady_time now)
{
    const bool leaderAlive = m_leader != 0 && now < m_leaderDeadline;
    if (!request.transfer && (m_role == replica_role::Leader || leaderAlive)) {
        if (message.term > m_hard.term)
            return; // a live leader is not put out by a process that could not hear it
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
    const bool free = m_hard.votedFor == 0 || m_hard.votedFor == message.from;
    const bool granted = message.term == m_hard.term && free && isUpToDate(request);
    if (granted) {
        m_hardChanged = m_hardChanged || m_hard.votedFor != message.from;
        m_hard.votedFor = message.from;
        drawElectionDeadline(now);
    }
    send(message.from, vote_reply { granted, false });
}

void replica::onVoteReply(const peer_message& message, const vote_reply& reply, steady_time now)
{
    const bool asked = reply.preVote ? m_role == replica_role::PreCandidate && message.term == m_hard.term + 1
                                     : m_role == replica_role::Candidate && message.term == m_hard.term;
    if (!asked || !reply.granted || !isVoter(message.from))
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

void replica::onAppendRequest(const peer_message& message, const append_request& request, steady_time now)
{
    if (message.term < m_hard.term) {
        send(message.from, append_reply { false, 0, 0 });
        return;
    }
    followLeader(message, now);
    const bool isBeforeBase = request.previousIndex < m_base.index;
    if (!isBeforeBase && termAt(request.previousIndex) != request.previousTerm) {
        log_index hint = std::min(lastIndex(), request.previousIndex - 1);
        const auto conflicting = termAt(hint);
        while (hint > m_base.index && hint > m_commit && termAt(hint) == conflicting)
            --hint;
        send(message.from, append_reply { false, hint, request.round });
        return;
    }
    bool changesMembers = false;
    for (const auto& entry : request.entries) {
        if (entry.index <= m_base.index || termAt(entry.index) == entry.term)
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
            const auto covered = static_cast<std::ptrdiff_t>(request.base.index - m_base.index);
            m_entries.erase(m_entries.begin(), m_entries.begin() + covered);
        } else {
            m_entries.clear();
        }
        m_base = request.base;
        m_commit = m_base.index;
        m_applied = m_base.index;
        m_installed = m_base;
        m_unpersisted = m_base.index + 1; // the log file starts anew: what was kept is persisted again
        refreshMembers();
    }
    send(message.from, append_reply { true, std::max(request.base.index, m_commit), request.round });
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
    drawElectionDeadline(now);
}

void replica::becomeLeader(steady_time now)
{
    m_role = replica_role::Leader;
    m_leader = m_self;
    m_pendingReads.clear();
    m_progress.clear();
    refreshMembers();
    m_heartbeatDeadline = now + m_options.heartbeatInterval;
    log_entry first;
    first.term = m_hard.term;
    appendOwn(std::move(first));
    for (auto& [id, peer] : m_progress)
        peer.contactDeadline = now + m_options.electionTimeoutMax;
}

void replica::startElection(bool preVote, bool transfer, steady_time now)
{
    drawElectionDeadline(now);
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
    const term_number asked = preVote ? m_hard.term + 1 : m_hard.term;
    for (const auto& one : m_members) {
        if (!one.voter || one.id == m_self)
            continue;
        sendInTerm(one.id, asked, vote_request { lastIndex(), termAt(lastIndex()).value_or(0), preVote, transfer });
    }
}

void replica::drawElectionDeadline(steady_time now)
{
    std::uniform_int_distribution<std::int64_t> draw(
        m_options.electionTimeoutMin.count(), m_options.electionTimeoutMax.count());
    m_electionDeadline = now + milliseconds(draw(m_random));
}

void replica::followLeader(const peer_message& message, steady_time now)
{
    if (m_role != replica_role::Follower)
        becomeFollower(message.term, message.from, now);
    m_leader = message.from;
    m_leaderDeadline = now + m_options.electionTimeoutMin;
    drawElectionDeadline(now);
}

void replica::appendOwn(log_entry entry)
{
    entry.index = lastIndex() + 1;
    const bool changesMembers = entry.kind == entry_kind::Members;
    m_entries.push_back(std::move(entry));
    if (changesMembers)
        refreshMembers();
    m_broadcastNeeded = true;
}

void replica::truncateFrom(log_index index)
{
    m_entries.resize(index - m_base.index - 1);
    m_unpersisted = std::min(m_unpersisted, index);
}

void replica::refreshMembers()
{
    m_members = m_base.members;
    m_membersIndex = m_base.index;
    for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry) {
        if (entry->kind != entry_kind::Members)
            continue;
        m_members = entry->members;
        m_membersIndex = entry->index;
        break;
    }
    if (m_leader != m_self || m_self == 0)
        return;
    std::map<member_id, progress> kept;
    for (const auto& one : m_members) {
        if (one.id == m_self)
            continue;
        const auto old = m_progress.find(one.id);
        progress fresh;
        fresh.next = lastIndex();
        fresh.contactDeadline = m_now + m_options.electionTimeoutMax;
        kept.emplace(one.id, old != m_progress.end() ? old->second : fresh);
    }
    m_progress = std::move(kept);
}

void replica::advanceCommit()
{
    std::vector<log_index> matches;
    for (const auto& one : m_members) {
        if (!one.voter)
            continue;
        const auto found = m_progress.find(one.id);
        matches.push_back(one.id == m_self ? lastIndex() : found != m_progress.end() ? found->second.match : 0);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index candidate = matches[quorumSize() - 1];
    if (candidate <= m_commit || termAt(candidate) != m_hard.term)
        return;
    m_commit = candidate;
    m_broadcastNeeded = true;
    if (m_membersIndex <= m_commit && !isVoter(m_self))
        becomeFollower(m_hard.term, 0, m_now);
}

void replica::releaseReads()
{
    std::vector<std::uint64_t> rounds;
    for (const auto& one : m_members) {
        if (!one.voter)
            continue;
        const auto found = m_progress.find(one.id);
        rounds.push_back(one.id == m_self ? m_round : found != m_progress.end() ? found->second.ackedRound : 0);
    }
    if (rounds.empty())
        return;
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    const std::uint64_t confirmed = rounds[quorumSize() - 1];
    std::vector<pending_read> open;
    for (const auto& read : m_pendingReads) {
        if (read.round == 0 || read.round > confirmed) {
            open.push_back(read);
            continue;
        }
        if (read.from == m_self)
            m_reads.push_back({ read.readId, read.index });
        else
            send(read.from, read_reply { read.readId, read.index });
    }
    m_pendingReads = std::move(open);
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
    if (peer.next <= m_base.index) {
        if (m_now < peer.snapshotDeadline) {
            send(to, append_request { m_base.index, m_base.term, m_commit, m_round, {} });
            return;
        }
        peer.snapshotDeadline = m_now + m_options.snapshotResendInterval;
        send(to, snapshot_request { m_base, m_round });
        return;
    }
    append_request request;
    request.previousIndex = peer.next - 1;
    request.previousTerm = termAt(request.previousIndex).value_or(0);
    request.commit = m_commit;
    request.round = m_round;
    for (log_index at = peer.next; at <= lastIndex() && request.entries.size() < m_options.maxEntriesPerMessage; ++at)
        request.entries.push_back(entryAt(at));
    peer.next += request.entries.size();
    send(to, std::move(request));
}

void replica::send(member_id to, peer_body body) { sendInTerm(to, m_hard.term, std::move(body)); }

void replica::sendInTerm(member_id to, term_number term, peer_body body)
{
    m_messages.push_back(peer_message { m_self, to, term, std::move(body) });
}

bool replica::isVoter(member_id id) const
{
    return std::any_of(
        m_members.begin(), m_members.end(), [id](const member& one) { return one.id == id && one.voter; });
}

bool replica::isUpToDate(const vote_request& request) const
{
    const term_number ownTerm = termAt(lastIndex()).value_or(0);
    return request.lastTerm > ownTerm || (request.lastTerm == ownTerm && request.lastIndex >= lastIndex());
}

std::optional<term_number> replica::termAt(log_index index) const
{
    if (index == m_base.index)
        return m_base.term;
    if (index < m_base.index || index > lastIndex())
        return std::nullopt;
    return entryAt(index).term;
}

std::size_t replica::quorumSize() const
{
    const auto voters = std::count_if(m_members.begin(), m_members.end(), [](const member& one) { return one.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

bool replica::hasQuorumContact(steady_time now) const
{
    std::size_t reached = isVoter(m_self) ? 1 : 0;
    for (const auto& [id, peer] : m_progress) {
        if (isVoter(id) && now <= peer.contactDeadline)
            ++reached;
    }
    return reached >= quorumSize();
}

} // namespace buckthornrail::agreement
