/// @file
/// @brief Simulated time, network and disks, and the checks of the safety properties.
#include "support/simulated_cluster.hpp"

#include <algorithm>
#include <sstream>

namespace test_support {
namespace {

constexpr milliseconds stepDuration { 10 };
constexpr int helloInterval = 20; ///< in steps
constexpr int planInterval = 2; ///< in steps, of membership changes
constexpr milliseconds releasePeriod { 6000 }; ///< a process that hands its vote over ends within it
constexpr milliseconds transferPeriod { 300 }; ///< a process that can only hand leadership over ends within it
constexpr milliseconds transferRetryInterval { 200 };
constexpr int maxFormationSteps = 400; ///< until all nodes are voters
constexpr int maxEffectRounds = 50; ///< calls of takeEffects() after one event
constexpr std::uint64_t delayBoundMs = 10; ///< exclusive, of a message
constexpr std::uint64_t lossyDelayBoundMs = 200; ///< exclusive, of a message in a lossy network
constexpr std::uint64_t duplicateInterval = 10; ///< a lossy network duplicates one in this many messages, on average

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

simulated_cluster::simulated_cluster(
    std::size_t nodes, std::uint64_t seed, replica_options options, std::optional<std::size_t> toleratedLosses)
    : m_options(options)
    , m_requiredVoters(votersFor(toleratedLosses.value_or((nodes - 1) / 2)))
    , m_random(seed)
    , m_now(steady_time {} + std::chrono::hours(1))
{
    for (std::size_t index = 0; index < nodes; ++index) {
        simulated_node node;
        node.address = "node" + std::to_string(index);
        node.id = index + 1;
        m_nodes.push_back(std::move(node));
    }
    for (auto& node : m_nodes)
        start(node);
    (void)m_nodes.front().process->initialize(m_nodes.front().address, m_now);
    for (int round = 0; round < maxFormationSteps; ++round) {
        run(1);
        const auto& members = m_nodes.front().process->members();
        const auto voters
            = std::count_if(members.begin(), members.end(), [](const auto& member) { return member.voter; });
        if (static_cast<std::size_t>(voters) == nodes)
            break;
    }
}

void simulated_cluster::run(int steps)
{
    for (int step = 0; step < steps; ++step) {
        m_now += stepDuration;
        deliverDue();
        if (++m_step % helloInterval == 0)
            exchangeHellos();
        for (auto& node : m_nodes) {
            if (!isRunning(node))
                continue;
            node.process->tick(m_now);
            if ((m_step + node.id) % planInterval == 0)
                updateMembers(node);
            applyEffects(node, crash_point::None);
            if (node.isLeaving)
                continueLeaving(node);
        }
        checkLeaders();
    }
}

void simulated_cluster::deliverDue()
{
    std::vector<std::pair<steady_time, peer_message>> due;
    std::vector<std::pair<steady_time, peer_message>> later;
    for (auto& item : m_inFlight)
        (item.first <= m_now ? due : later).push_back(std::move(item));
    m_inFlight = std::move(later);
    std::shuffle(due.begin(), due.end(), m_random);
    for (const auto& [when, message] : due) {
        const auto from = std::find_if(
            m_nodes.begin(), m_nodes.end(), [&message](const auto& node) { return node.id == message.from; });
        const auto to = std::find_if(
            m_nodes.begin(), m_nodes.end(), [&message](const auto& node) { return node.id == message.to; });
        if (to == m_nodes.end() || !to->process || m_isolated.contains(static_cast<std::size_t>(to - m_nodes.begin())))
            continue;
        if (from != m_nodes.end() && from->side != to->side)
            continue;
        if (to->isPaused) {
            m_inFlight.emplace_back(m_now + stepDuration, message);
            continue;
        }
        to->contacts.record(message.from, m_now);
        to->process->receive(message, m_now);
        applyEffects(*to, crash_point::None);
    }
}

bool simulated_cluster::isConnected(const simulated_node& from, const simulated_node& to) const
{
    const auto isCutOff = [this](const simulated_node& node) {
        return m_isolated.contains(static_cast<std::size_t>(&node - m_nodes.data()));
    };
    return !isCutOff(from) && !isCutOff(to) && from.side == to.side;
}

void simulated_cluster::exchangeHellos()
{
    for (auto& to : m_nodes) {
        if (!isRunning(to))
            continue;
        to.contacts.retain(to.process->members(), m_now);
        for (const auto& from : m_nodes) {
            if (&from == &to || !isRunning(from) || !isConnected(from, to))
                continue;
            to.contacts.record(from.id, m_now);
            to.contacts.recordLeaving(from.id, from.isLeaving);
        }
    }
}

void simulated_cluster::updateMembers(simulated_node& node)
{
    node.contacts.retain(node.process->members(), m_now);
    if (node.process->role() != replica_role::Leader || node.process->hasPendingMembers())
        return;
    std::vector<joining_replica> joining;
    for (const auto& other : m_nodes) {
        if (isRunning(other) && !other.isLeaving && isConnected(other, node))
            joining.push_back({ other.id, other.address });
    }
    const auto states = observeMembers(*node.process, node.contacts, m_now);
    auto change = planChange(states, joining, m_requiredVoters, m_now);
    if (change && node.process->proposeMembers(change->members))
        m_changes.push_back(std::move(*change));
}

void simulated_cluster::continueLeaving(simulated_node& node)
{
    const bool isReleased = std::any_of(m_nodes.begin(), m_nodes.end(), [&](const simulated_node& other) {
        if (!isRunning(other) || other.process->role() != replica_role::Leader || !isConnected(other, node))
            return false;
        const auto& members = other.process->members();
        return !other.process->hasPendingMembers()
            && std::none_of(
                members.begin(), members.end(), [&node](const member& member) { return member.id == node.id; });
    });
    const bool releasesVote = shouldReleaseVote(node.process->members(), node.id, m_requiredVoters);
    if (isReleased || m_now >= (releasesVote ? node.releaseDeadline : node.transferDeadline)) {
        node.process.reset();
        node.isLeaving = false;
        return;
    }
    if (node.process->role() == replica_role::Leader && m_now >= node.nextTransferAt) {
        node.nextTransferAt = m_now + transferRetryInterval;
        std::vector<member_id> unfit;
        for (const auto& other : m_nodes) {
            if (other.isLeaving)
                unfit.push_back(other.id);
        }
        node.process->transferLeadership(unfit);
        applyEffects(node, crash_point::None);
    }
    for (auto& other : m_nodes) {
        if (&other != &node && isRunning(other) && isConnected(node, other))
            other.contacts.recordLeaving(node.id, true);
    }
}

std::size_t simulated_cluster::addNode()
{
    simulated_node node;
    node.address = "node" + std::to_string(m_nodes.size());
    node.id = m_nextMemberId++;
    m_nodes.push_back(std::move(node));
    start(m_nodes.back());
    return m_nodes.size() - 1;
}

void simulated_cluster::setPaused(std::size_t index, bool paused)
{
    auto& node = m_nodes[index];
    if (node.isPaused && !paused)
        node.contacts.restart(m_now);
    node.isPaused = paused;
}

void simulated_cluster::terminate(std::size_t index)
{
    auto& node = m_nodes[index];
    if (!node.process || node.isLeaving)
        return;
    node.isLeaving = true;
    node.transferDeadline = m_now + transferPeriod;
    node.releaseDeadline = m_now + releasePeriod;
    node.nextTransferAt = m_now;
}

void simulated_cluster::remove(std::size_t index)
{
    auto& node = m_nodes[index];
    node.process.reset();
    node.pendingReads.clear();
    node.isPaused = false;
    node.isRemoved = true;
}

std::vector<std::vector<member>> simulated_cluster::memberSetsInForce() const
{
    std::vector<std::vector<member>> sets { m_committedMembers.second };
    for (const auto& node : m_nodes) {
        if (node.process && node.process->role() == replica_role::Leader && node.process->hasPendingMembers())
            sets.push_back(node.process->members());
    }
    return sets;
}

void simulated_cluster::propose(const std::string& command)
{
    for (auto& node : m_nodes) {
        if (node.process && node.process->propose(command))
            applyEffects(node, crash_point::None);
    }
}

void simulated_cluster::read()
{
    auto& node = m_nodes[m_random() % m_nodes.size()];
    if (!node.process)
        return;
    const std::uint64_t id = ++m_lastReadId;
    node.pendingReads[id] = { m_committed.begin(), m_committed.end() };
    node.process->requestReadIndex(id);
    applyEffects(node, crash_point::None);
}

void simulated_cluster::crash(std::size_t index, crash_point point)
{
    auto& node = m_nodes[index];
    if (!node.process)
        return;
    if (m_random() % 2 == 0)
        node.process->propose("crash-" + std::to_string(m_random() % 1000));
    applyEffects(node, point);
    node.process.reset();
    node.pendingReads.clear();
}

void simulated_cluster::restart(std::size_t index)
{
    if (!m_nodes[index].process && !m_nodes[index].isRemoved)
        start(m_nodes[index]);
}

void simulated_cluster::loseDisk(std::size_t index)
{
    auto& node = m_nodes[index];
    node.process.reset();
    node.pendingReads.clear();
    node.disk = {};
    node.applied.clear();
    node.id = m_nextMemberId++;
    start(node);
}

void simulated_cluster::setIsolated(std::size_t index, bool isolated)
{
    if (isolated)
        m_isolated.insert(index);
    else
        m_isolated.erase(index);
}

void simulated_cluster::heal()
{
    m_isolated.clear();
    m_lossProbability = 0;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        setPaused(index, false);
        m_nodes[index].side = 0;
        restart(index);
    }
}

void simulated_cluster::compact(std::size_t index)
{
    auto& node = m_nodes[index];
    if (!node.process)
        return;
    const auto base = node.process->compact(node.process->commitIndex(), join(node.applied));
    node.disk.lastSnapshot = base;
    node.disk.entries = node.process->entriesAfterSnapshot();
}

std::optional<std::size_t> simulated_cluster::leader() const
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index].process && m_nodes[index].process->role() == replica_role::Leader
            && !m_isolated.contains(index))
            return index;
    }
    return std::nullopt;
}

void simulated_cluster::applyEffects(simulated_node& node, crash_point point)
{
    for (int round = 0; round < maxEffectRounds; ++round) {
        const effects effects = node.process->takeEffects();
        const bool isEmpty
            = !effects.needsPersist() && effects.messages.empty() && effects.committed.empty() && effects.reads.empty();
        if (isEmpty || point == crash_point::BeforePersist)
            return;
        persist(node, effects);
        if (point == crash_point::AfterPersist)
            return;
        for (const auto& message : effects.messages) {
            const bool isIsolated = std::any_of(
                m_isolated.begin(), m_isolated.end(), [&](std::size_t index) { return m_nodes[index].id == node.id; });
            const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_lossProbability;
            if (isIsolated || isLost)
                continue;
            const int copies = m_lossProbability > 0 && m_random() % duplicateInterval == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay
                    = milliseconds(m_lossProbability > 0 ? m_random() % lossyDelayBoundMs : m_random() % delayBoundMs);
                m_inFlight.emplace_back(m_now + delay, message);
            }
        }
        if (point == crash_point::AfterSend)
            return;
        applyCommitted(node, effects);
    }
}

void simulated_cluster::persist(simulated_node& node, const effects& effects) const
{
    if (effects.installed) {
        node.disk.lastSnapshot = *effects.installed;
        node.disk.entries.clear();
    }
    if (effects.hardState && !skipHardState)
        node.disk.hard = *effects.hardState;
    for (const auto& entry : effects.appended) {
        node.disk.entries.resize(entry.index - node.disk.lastSnapshot.index - 1);
        node.disk.entries.push_back(entry);
    }
}

void simulated_cluster::applyCommitted(simulated_node& node, const effects& effects)
{
    if (effects.installed)
        node.applied = split(effects.installed->state);
    for (const auto& entry : effects.committed) {
        if (entry.kind == entry_kind::Command)
            node.applied.push_back(entry.command);
        if (entry.kind == entry_kind::Members && entry.index > m_committedMembers.first)
            m_committedMembers = { entry.index, entry.members };
    }
    for (std::size_t index = 0; index < node.applied.size(); ++index) {
        if (index >= m_committed.size())
            m_committed.push_back(node.applied[index]);
        else if (m_committed[index] != node.applied[index])
            m_violations.push_back(node.address + " applied '" + node.applied[index] + "' where '" + m_committed[index]
                + "' was committed");
    }
    for (const auto& read : effects.reads) {
        const auto found = node.pendingReads.find(read.readId);
        if (found == node.pendingReads.end() || node.process->commitIndex() < read.index)
            continue; // a real process serves the read only once the index is applied
        ++m_confirmedReadCount;
        const std::set<std::string> applied(node.applied.begin(), node.applied.end());
        if (!std::includes(applied.begin(), applied.end(), found->second.begin(), found->second.end()))
            m_violations.push_back(node.address + " confirmed a read that misses a committed command");
        node.pendingReads.erase(found);
    }
}

void simulated_cluster::checkLeaders()
{
    for (const auto& node : m_nodes) {
        if (!node.process || node.process->role() != replica_role::Leader)
            continue;
        const auto [found, isNew] = m_leaderByTerm.emplace(node.process->term(), node.id);
        if (!isNew && found->second != node.id)
            m_violations.push_back("two leaders in term " + std::to_string(node.process->term()));
    }
}

void simulated_cluster::start(simulated_node& node)
{
    persistent_state disk = node.disk;
    if (disk.lastSnapshot.index > 0)
        node.applied = split(disk.lastSnapshot.state);
    else
        node.applied.clear();
    node.isLeaving = false;
    node.contacts = {};
    node.process = std::make_unique<replica>(node.id, std::move(disk), m_options, m_random(), m_now);
}

} // namespace test_support
