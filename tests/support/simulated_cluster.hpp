/// @file
/// @brief Simulated cluster of replicas in one process, with disks and a network that loses, duplicates, delays and
/// reorders messages.
#pragma once

#include "buckthornrail/agreement/admission.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace test_support {

using namespace buckthornrail;
using namespace buckthornrail::agreement;

/// Step of applying its effects at which a replica crashes. None: after all of them.
enum class crash_point { None, BeforePersist, AfterPersist, AfterSend };

/// A replica with its disk and its state machine, which is the list of applied commands.
struct simulated_node {
    std::string address;
    member_id id = 0;
    persistent_state disk;
    std::unique_ptr<replica> process; ///< null while the node is down
    std::vector<std::string> applied;
    /// By read id: the commands that were committed when the read was requested.
    std::map<std::uint64_t, std::set<std::string>> pendingReads;
};

/// @brief Runs replicas in simulated time and checks the safety properties of the log.
///
/// All random decisions derive from a seed. The safety properties are: at most one leader in each term, applied
/// commands never differ between nodes, and a confirmed read includes all commands that were committed when it was
/// requested.
class simulated_cluster {
public:
    /// @brief Initializes the log at the first node and waits until all nodes are voters.
    simulated_cluster(std::size_t nodes, std::uint64_t seed, replica_options options = {});

    /// @param steps of 10 ms
    void run(int steps);
    /// @brief Proposes a command at every running node; only a leader accepts it.
    void propose(const std::string& command);
    /// @brief Requests a linearizable read at a random node. The result is checked when the read is confirmed.
    void read();
    /// @brief Crashes a node, with a command proposed just before in half of the cases.
    void crash(std::size_t index, crash_point point);
    void restart(std::size_t index);
    /// @brief Restarts a node with a blank disk and a new id.
    void loseDisk(std::size_t index);
    /// @brief Partitions a node from all others: messages to and from it are dropped, without an error.
    void setIsolated(std::size_t index, bool isolated);
    /// @brief Sets the probability of message loss. Above 0, messages are also duplicated and delayed for longer.
    void setLossProbability(double probability) { m_lossProbability = probability; }
    /// @brief Ends the partitions and the message loss, and restarts the nodes that are down.
    void heal();
    /// @brief Replaces the committed entries of a node's log with a snapshot.
    void compact(std::size_t index);

    /// @return index of a leader that isn't isolated
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] const std::vector<simulated_node>& nodes() const { return m_nodes; }
    /// @return a description of each observed violation of a safety property; may hold duplicates
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] const std::vector<std::string>& committed() const { return m_committed; }
    [[nodiscard]] std::size_t confirmedReadCount() const { return m_confirmedReadCount; }

    /// Doesn't persist terms and votes, so that a test can show that the checks detect the resulting violations.
    bool skipHardState = false;

private:
    void applyEffects(simulated_node& node, crash_point point);
    void persist(simulated_node& node, const effects& effects) const;
    void applyCommitted(simulated_node& node, const effects& effects);
    void checkLeaders();
    void start(simulated_node& node);

    replica_options m_options;
    std::mt19937_64 m_random;
    steady_time m_now {};
    std::vector<simulated_node> m_nodes;
    std::vector<std::pair<steady_time, peer_message>> m_inFlight; ///< with their delivery times
    std::set<std::size_t> m_isolated;
    std::vector<std::string> m_committed; ///< each as applied by the first node that applied it
    std::map<term_number, member_id> m_leaderByTerm;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastReadId = 0;
    std::size_t m_confirmedReadCount = 0;
    member_id m_nextMemberId = 100;
    double m_lossProbability = 0;
};

} // namespace test_support
