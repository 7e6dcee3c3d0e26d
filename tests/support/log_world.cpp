/// @file
/// @brief World of replicas.
#include "support/log_world.hpp"

#include <algorithm>
#include <sstream>

namespace test_support {
namespace {

constexpr milliseconds step { 10 };

std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += part + "\n";
    return text;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part);)
        parts.push_back(part);
    return parts;
}

} // namespace

log_world::log_world(std::size_t nodes, std::uint64_t seed, replica_options options)
    : m_options(options)
    , m_random(seed)
    , m_now(steady_time {} + std::chrono::hours(1))
{
    for (std::size_t at = 0; at < nodes; ++at) {
        world_node node;
        node.address = "node" + std::to_string(at);
        node.id = at + 1;
        m_nodes.push_back(std::move(node));
    }
    for (auto& node : m_nodes)
        start(node);
    (void)m_nodes.front().process->initialize(m_nodes.front().address, m_now);
    for (int round = 0; round < 400; ++round) {
        run(1);
        const auto& members = m_nodes.front().process->members();
        const auto voters = std::count_if(members.begin(), members.end(), [](const auto& one) { return one.voter; });
        if (static_cast<std::size_t>(voters) == nodes)
            break;
    }
}

void log_world::run(int steps)
{
    for (int at = 0; at < steps; ++at) {
        m_now += step;
        std::vector<std::pair<steady_time, peer_message>> due;
        std::vector<std::pair<steady_time, peer_message>> later;
        for (auto& item : m_network)
            (item.first <= m_now ? due : later).push_back(std::move(item));
        m_network = std::move(later);
        std::shuffle(due.begin(), due.end(), m_random);
        for (const auto& [when, message] : due) {
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                auto& node = m_nodes[index];
                if (node.id == message.to && node.process && !m_isolated.contains(index)) {
                    node.process->receive(message, m_now);
                    flush(node, crash_point::None);
                }
            }
        }
        std::vector<joining_replica> wishes;
        for (const auto& node : m_nodes) {
            if (node.process && node.process->members().empty())
                wishes.push_back({ node.id, node.address });
        }
        for (auto& node : m_nodes) {
            if (!node.process)
                continue;
            node.process->tick(m_now);
            if (auto changed = nextMembers(*node.process, wishes, m_now))
                (void)node.process->proposeMembers(std::move(*changed));
            flush(node, crash_point::None);
        }
        checkLeaders();
    }
}

void log_world::propose(const std::string& command)
{
    for (auto& node : m_nodes) {
        if (node.process && node.process->propose(command))
            flush(node, crash_point::None);
    }
}

void log_world::read()
{
    auto& node = m_nodes[m_random() % m_nodes.size()];
    if (!node.process)
        return;
    const std::uint64_t id = ++m_lastRead;
    node.reads[id] = { m_committed.begin(), m_committed.end() };
    node.process->requestReadIndex(id);
    flush(node, crash_point::None);
}

void log_world::crash(std::size_t index, crash_point point)
{
    auto& node = m_nodes[index];
    if (!node.process)
        return;
    if (m_random() % 2 == 0)
        node.process->propose("crash-" + std::to_string(m_random() % 1000));
    flush(node, point);
    node.process.reset();
    node.reads.clear();
}

void log_world::restart(std::size_t index)
{
    if (!m_nodes[index].process)
        start(m_nodes[index]);
}

void log_world::loseDisk(std::size_t index)
{
    auto& node = m_nodes[index];
    node.process.reset();
    node.reads.clear();
    node.disk = {};
    node.applied.clear();
    node.id = m_nextId++;
    start(node);
}

void log_world::isolate(std::size_t index, bool cut)
{
    if (cut)
        m_isolated.insert(index);
    else
        m_isolated.erase(index);
}

void log_world::heal()
{
    m_isolated.clear();
    m_loss = 0;
    for (std::size_t at = 0; at < m_nodes.size(); ++at)
        restart(at);
}

void log_world::compact(std::size_t index)
{
    auto& node = m_nodes[index];
    if (!node.process)
        return;
    const auto base = node.process->compact(node.process->commitIndex(), join(node.applied));
    node.disk.lastSnapshot = base;
    node.disk.entries = node.process->entriesAfterSnapshot();
}

std::optional<std::size_t> log_world::leader() const
{
    for (std::size_t at = 0; at < m_nodes.size(); ++at) {
        if (m_nodes[at].process && m_nodes[at].process->role() == replica_role::Leader && !m_isolated.contains(at))
            return at;
    }
    return std::nullopt;
}

void log_world::flush(world_node& node, crash_point point)
{
    for (int round = 0; round < 50; ++round) {
        const effects effects = node.process->takeEffects();
        const bool idle
            = !effects.needsPersist() && effects.messages.empty() && effects.committed.empty() && effects.reads.empty();
        if (idle || point == crash_point::BeforePersist)
            return;
        persist(node, effects);
        if (point == crash_point::AfterPersist)
            return;
        for (const auto& message : effects.messages) {
            const bool cut = std::any_of(
                m_isolated.begin(), m_isolated.end(), [&](std::size_t index) { return m_nodes[index].id == node.id; });
            const bool lost = std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
            if (cut || lost)
                continue;
            const int copies = m_loss > 0 && m_random() % 10 == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay = milliseconds(m_loss > 0 ? m_random() % 200 : m_random() % 10);
                m_network.emplace_back(m_now + delay, message);
            }
        }
        if (point == crash_point::AfterSend)
            return;
        apply(node, effects);
    }
}

void log_world::persist(world_node& node, const effects& effects) const
{
    if (effects.installed) {
        node.disk.lastSnapshot = *effects.installed;
        node.disk.entries.clear();
    }
    if (effects.hardState && !forgetVotes)
        node.disk.hard = *effects.hardState;
    for (const auto& entry : effects.appended) {
        node.disk.entries.resize(entry.index - node.disk.lastSnapshot.index - 1);
        node.disk.entries.push_back(entry);
    }
}

void log_world::apply(world_node& node, const effects& effects)
{
    if (effects.installed)
        node.applied = split(effects.installed->state);
    for (const auto& entry : effects.committed) {
        if (entry.kind == entry_kind::Command)
            node.applied.push_back(entry.command);
    }
    for (std::size_t at = 0; at < node.applied.size(); ++at) {
        if (at >= m_committed.size())
            m_committed.push_back(node.applied[at]);
        else if (m_committed[at] != node.applied[at])
            m_violations.push_back(
                node.address + " applied '" + node.applied[at] + "' where '" + m_committed[at] + "' was committed");
    }
    for (const auto& answer : effects.reads) {
        const auto found = node.reads.find(answer.readId);
        if (found == node.reads.end() || node.process->commitIndex() < answer.index)
            continue; // the process waits until it has applied that much
        ++m_readsAnswered;
        const std::set<std::string> seen(node.applied.begin(), node.applied.end());
        if (!std::includes(seen.begin(), seen.end(), found->second.begin(), found->second.end()))
            m_violations.push_back(node.address + " confirmed a read that misses a committed command");
        node.reads.erase(found);
    }
}

void log_world::checkLeaders()
{
    for (const auto& node : m_nodes) {
        if (!node.process || node.process->role() != replica_role::Leader)
            continue;
        const auto [known, isNew] = m_leaders.emplace(node.process->term(), node.id);
        if (!isNew && known->second != node.id)
            m_violations.push_back("two leaders in term " + std::to_string(node.process->term()));
    }
}

void log_world::start(world_node& node)
{
    persistent_state disk = node.disk;
    if (disk.lastSnapshot.index > 0)
        node.applied = split(disk.lastSnapshot.state);
    else
        node.applied.clear();
    node.process = std::make_unique<replica>(node.id, std::move(disk), m_options, m_random(), m_now);
}

} // namespace test_support
