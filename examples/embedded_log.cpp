/// @file
/// @brief Three replicas of a log in one program: what an embedder does with the agreement layer.
///
/// A real program has one replica a process, writes effects to its disk with a sync, and sends messages over its own
/// transport. Here a vector stands for the network, and nothing is persisted.
#include "buckthornrail/agreement/admission.hpp"

#include <iostream>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::agreement;

namespace {

/// One replica and the commands that it has applied.
struct node {
    replica log;
    std::vector<std::string> applied;
};

/// Carries out what a replica asks for, in the order that replica.hpp gives: persist, send, apply.
void carryOut(node& one, std::vector<peer_message>& network)
{
    const effects todo = one.log.takeEffects();
    // A real program persists todo.installed, todo.hardState and todo.appended here, and syncs.
    network.insert(network.end(), todo.messages.begin(), todo.messages.end());
    for (const auto& entry : todo.committed) {
        if (entry.kind == entry_kind::Command)
            one.applied.push_back(entry.command);
    }
}

} // namespace

int main()
{
    steady_time now {};
    std::vector<node> nodes;
    for (member_id id = 1; id <= 3; ++id)
        nodes.push_back({ replica(id, {}, {}, id, now), {} });
    (void)nodes[0].log.initialize("node 1", now);

    std::vector<peer_message> network;
    for (int step = 0; step < 300; ++step) {
        now += milliseconds(10);
        std::vector<joining_replica> wishes;
        for (std::size_t at = 1; at < nodes.size(); ++at)
            wishes.push_back({ nodes[at].log.self(), "node " + std::to_string(at + 1) });
        for (auto& one : nodes) {
            one.log.tick(now);
            if (auto changed = nextMembers(one.log, wishes, now))
                (void)one.log.proposeMembers(std::move(*changed));
            if (step == 200)
                (void)one.log.propose("hello"); // only the leader takes it
            carryOut(one, network);
        }
        for (const auto& message : std::exchange(network, {})) {
            for (auto& one : nodes) {
                one.log.receive(message, now);
                carryOut(one, network);
            }
        }
    }
    for (const auto& one : nodes)
        std::cout << "replica " << one.log.self() << " applied " << one.applied.size() << " command(s)\n";
    return nodes[2].applied.size() == 1 ? 0 : 1;
}
