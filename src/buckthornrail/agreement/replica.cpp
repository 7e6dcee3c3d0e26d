/// @file
/// @brief Replica: event handling, proposals, read index, compaction, effects.
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
    , m_snapshot(std::move(state.lastSnapshot))
    , m_entries(std::move(state.entries))
    , m_commit(m_snapshot.index)
    , m_applied(m_snapshot.index)
    , m_unpersisted(lastIndex() + 1)
    , m_now(now)
{
    refreshMembers();
    resetElectionDeadline(now);
}

tl::expected<void, failure> replica::initialize(const std::string& address, steady_time now)
{
    if (lastIndex() != 0 || m_hard.term != 0)
        return tl::make_unexpected(
            failure { result_code::AlreadyInitialized, "the data folder already contains a log" });
    m_hard = hard_state { 1, m_self };
    m_hardChanged = true;
    log_entry first;
    first.term = 1;
    first.kind = entry_kind::Members;
    first.members = { member { m_self, address, true } };
    appendEntry(std::move(first));
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
        resetElectionDeadline(now);
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
    const auto* voteReply = std::get_if<vote_reply>(&message.body);
    const bool isPreVoteGrant = voteReply != nullptr && voteReply->preVote && voteReply->granted;
    if (message.term > m_hard.term && !isPreVoteGrant)
        becomeFollower(message.term, 0, now);
    if (voteReply != nullptr) {
        onVoteReply(message, *voteReply, now);
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
    const bool canCampaign = message.term == m_hard.term && isVoter(m_self) && m_role != replica_role::Leader;
    if (std::holds_alternative<election_request>(message.body) && canCampaign)
        startElection(false, true, now);
}

void replica::recordContact(member_id from, steady_time now)
{
    if (m_role == replica_role::Leader) {
        const auto found = m_progress.find(from);
        if (found == m_progress.end())
            return;
        found->second.contactDeadline = now + m_options.electionTimeoutMax;
        if (found->second.snapshotDeadline > now)
            found->second.snapshotDeadline = now + m_options.snapshotResendInterval;
        return;
    }
    // The first message of a new leader may be a long one. Until it is complete, the sender isn't known to be the
    // leader, so contact with the candidate that this member voted for counts as well.
    const bool isVotedFor = m_leader == 0 && m_hard.votedFor == from;
    if (m_role != replica_role::Follower || (m_leader != from && !isVotedFor))
        return;
    if (m_leader == from)
        m_leaderDeadline = now + m_options.electionTimeoutMin;
    resetElectionDeadline(now);
}

std::optional<log_index> replica::propose(std::string command)
{
    if (m_role != replica_role::Leader)
        return std::nullopt;
    log_entry entry;
    entry.term = m_hard.term;
    entry.kind = entry_kind::Command;
    entry.command = std::move(command);
    appendEntry(std::move(entry));
    return lastIndex();
}

tl::expected<log_index, failure> replica::proposeMembers(std::vector<member> members)
{
    if (m_role != replica_role::Leader)
        return tl::make_unexpected(failure { result_code::NoQuorum, "this controller is not the leader" });
    if (hasPendingMembers())
        return tl::make_unexpected(failure { result_code::NoQuorum, "another membership change is pending" });
    if (termAt(m_commit) != m_hard.term)
        return tl::make_unexpected(
            failure { result_code::NoQuorum, "the leader has not yet committed an entry in its term" });
    std::size_t changedVoters = 0;
    const auto countMissing = [&changedVoters](const std::vector<member>& from, const std::vector<member>& in) {
        for (const auto& subject : from) {
            const auto same = [&subject](const member& other) { return other.id == subject.id && other.voter; };
            if (subject.voter && std::none_of(in.begin(), in.end(), same))
                ++changedVoters;
        }
    };
    countMissing(m_members, members);
    countMissing(members, m_members);
    if (changedVoters > 1)
        return tl::make_unexpected(
            failure { result_code::NoQuorum, "a membership change may add or remove only one voter" });
    log_entry entry;
    entry.term = m_hard.term;
    entry.kind = entry_kind::Members;
    entry.members = std::move(members);
    appendEntry(std::move(entry));
    return lastIndex();
}

void replica::requestReadIndex(std::uint64_t readId)
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
    if (index <= m_snapshot.index)
        return m_snapshot;
    snapshot result;
    result.index = index;
    result.term = termAt(index).value_or(0);
    result.members = m_snapshot.members;
    for (log_index i = m_snapshot.index + 1; i <= index; ++i) {
        if (entryAt(i).kind == entry_kind::Members)
            result.members = entryAt(i).members;
    }
    result.state = std::move(state);
    const auto dropped = static_cast<std::ptrdiff_t>(index - m_snapshot.index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + dropped);
    m_snapshot = std::move(result);
    return m_snapshot;
}

void replica::markFaulted()
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
        completeReads();
    }
    effects out;
    out.installed = std::exchange(m_installed, std::nullopt);
    if (std::exchange(m_hardChanged, false))
        out.hardState = m_hard;
    for (log_index i = m_unpersisted; i <= lastIndex(); ++i)
        out.appended.push_back(entryAt(i));
    m_unpersisted = lastIndex() + 1;
    out.messages = std::exchange(m_messages, {});
    for (log_index i = m_applied + 1; i <= m_commit; ++i)
        out.committed.push_back(entryAt(i));
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

void replica::appendEntry(log_entry entry)
{
    entry.index = lastIndex() + 1;
    const bool changesMembers = entry.kind == entry_kind::Members;
    m_entries.push_back(std::move(entry));
    if (changesMembers)
        refreshMembers();
    m_broadcastNeeded = true;
}

void replica::refreshMembers()
{
    m_members = m_snapshot.members;
    m_membersIndex = m_snapshot.index;
    for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry) {
        if (entry->kind != entry_kind::Members)
            continue;
        m_members = entry->members;
        m_membersIndex = entry->index;
        break;
    }
    if (m_leader != m_self || m_self == 0)
        return;
    std::map<member_id, progress> updated;
    for (const auto& member : m_members) {
        if (member.id == m_self)
            continue;
        const auto old = m_progress.find(member.id);
        progress initial;
        initial.next = lastIndex();
        initial.contactDeadline = m_now + m_options.electionTimeoutMax;
        updated.emplace(member.id, old != m_progress.end() ? old->second : initial);
    }
    m_progress = std::move(updated);
}

void replica::completeReads()
{
    std::vector<std::uint64_t> rounds;
    for (const auto& member : m_members) {
        if (!member.voter)
            continue;
        const auto found = m_progress.find(member.id);
        rounds.push_back(member.id == m_self ? m_round : found != m_progress.end() ? found->second.ackedRound : 0);
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

void replica::send(member_id to, peer_body body) { sendInTerm(to, m_hard.term, std::move(body)); }

void replica::sendInTerm(member_id to, term_number term, peer_body body)
{
    m_messages.push_back(peer_message { m_self, to, term, std::move(body) });
}

bool replica::isVoter(member_id id) const
{
    return std::any_of(
        m_members.begin(), m_members.end(), [id](const member& member) { return member.id == id && member.voter; });
}

std::optional<term_number> replica::termAt(log_index index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return std::nullopt;
    return entryAt(index).term;
}

std::size_t replica::quorumSize() const
{
    const auto voters
        = std::count_if(m_members.begin(), m_members.end(), [](const member& member) { return member.voter; });
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
