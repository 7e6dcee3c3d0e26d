/// @file
/// @brief Three replicas of a log in one program: how to embed the agreement layer.
///
/// A real program runs one replica per process, persists effects with a sync, and sends messages over its own
/// transport. Here a vector stands in for the network, and nothing is persisted.
#include "buckthornrail/agreement/membership_plan.hpp"

#include <iostream>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::agreement;

namespace {

/// One replica and the commands that it has applied.
struct replica_node {
    replica log;
    contact_table contacts;
    std::vector<std::string> applied;
};

/// @brief Applies a replica's effects in the order that replica.hpp requires: persist, send, apply.
void applyEffects(replica_node& node, std::vector<peer_message>& network)
{
    const effects pending = node.log.takeEffects();
    // A real program persists pending.installed, pending.hardState and pending.appended here, and syncs.
    network.insert(network.end(), pending.messages.begin(), pending.messages.end());
    for (const auto& entry : pending.committed) {
        if (entry.kind == entry_kind::Command)
            node.applied.push_back(entry.command);
    }
}

/// @brief At the leader: proposes the next membership change, if one is due.
void updateMembers(replica_node& node, const std::vector<joining_replica>& joining, steady_time now)
{
    constexpr std::size_t toleratedLosses = 1;
    node.contacts.retain(node.log.members(), now);
    if (node.log.role() != replica_role::Leader || node.log.hasPendingMembers())
        return;
    const auto states = observeMembers(node.log, node.contacts, now);
    if (auto change = planChange(states, joining, votersFor(toleratedLosses), now))
        (void)node.log.proposeMembers(std::move(change->members));
}

} // namespace

int main()
{
    steady_time now {};
    std::vector<replica_node> nodes;
    for (member_id id = 1; id <= 3; ++id)
        nodes.push_back({ replica(id, {}, {}, id, now), {}, {} });
    (void)nodes[0].log.initialize("node 1", now);

    std::vector<peer_message> network;
    for (int step = 0; step < 300; ++step) {
        now += milliseconds(10);
        std::vector<joining_replica> joiningReplicas;
        for (std::size_t index = 1; index < nodes.size(); ++index)
            joiningReplicas.push_back({ nodes[index].log.self(), "node " + std::to_string(index + 1) });
        for (auto& node : nodes) {
            node.log.tick(now);
            updateMembers(node, joiningReplicas, now);
            if (step == 200)
                (void)node.log.propose("hello"); // only the leader accepts a proposal
            applyEffects(node, network);
        }
        for (const auto& message : std::exchange(network, {})) {
            for (auto& node : nodes) {
                node.contacts.record(message.from, now);
                node.log.receive(message, now);
                applyEffects(node, network);
            }
        }
    }
    for (const auto& node : nodes)
        std::cout << "replica " << node.log.self() << " applied " << node.applied.size() << " command(s)\n";
    return nodes[2].applied.size() == 1 ? 0 : 1;
}
