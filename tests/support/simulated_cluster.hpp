/// @file
/// @brief Simulated cluster of replicas in one process, with disks and a network that loses, duplicates, delays and
/// reorders messages.
#pragma once

#include "buckthornrail/agreement/membership_plan.hpp"

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
    contact_table contacts;
    bool isPaused = false; ///< the process is frozen: it receives its messages afterwards
    bool isLeaving = false; ///< told to end; it hands over leadership and its vote first
    bool isRemoved = false; ///< for good; it is never started again
    int side = 0; ///< of a split of the network: only nodes on the same side reach each other
    steady_time transferDeadline {}; ///< a leaving process ends then, unless others are there to take its vote
    steady_time releaseDeadline {}; ///< a leaving process ends then in any case
    steady_time nextTransferAt {}; ///< while a leaving process leads, it offers leadership again then
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
    /// @param toleratedLosses losses to be borne; nothing: as many as the nodes allow
    simulated_cluster(std::size_t nodes, std::uint64_t seed, replica_options options = {},
        std::optional<std::size_t> toleratedLosses = std::nullopt);

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
    /// @brief Starts a blank node at a new address. @return its index
    std::size_t addNode();
    /// @brief Freezes a process, or lets it go on.
    void setPaused(std::size_t index, bool paused);
    /// @brief Splits the network: nodes on different sides don't reach each other.
    void setSide(std::size_t index, int side) { m_nodes[index].side = side; }
    /// @brief Tells a process to end. It hands over leadership and, if enough others vote, its vote first.
    void terminate(std::size_t index);
    /// @brief Ends a process, and doesn't start it again.
    void remove(std::size_t index);
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
    [[nodiscard]] steady_time now() const { return m_now; }
    [[nodiscard]] bool isIsolated(std::size_t index) const { return m_isolated.contains(index); }
    [[nodiscard]] std::size_t requiredVoters() const { return m_requiredVoters; }
    /// @return the members as last committed by any node, and those of a leader's pending change
    [[nodiscard]] std::vector<std::vector<member>> memberSetsInForce() const;
    /// @return the changes that leaders have proposed, in order
    [[nodiscard]] const std::vector<membership_change>& changes() const { return m_changes; }

    /// Doesn't persist terms and votes, so that a test can show that the checks detect the resulting violations.
    bool skipHardState = false;

private:
    void applyEffects(simulated_node& node, crash_point point);
    void persist(simulated_node& node, const effects& effects) const;
    void applyCommitted(simulated_node& node, const effects& effects);
    void checkLeaders();
    void start(simulated_node& node);
    void deliverDue();
    /// @brief Running processes say hello to those that they reach.
    void exchangeHellos();
    void updateMembers(simulated_node& node);
    /// @brief What a leaving process does until it ends: see app::replicated_log::leave().
    void continueLeaving(simulated_node& node);
    [[nodiscard]] bool isConnected(const simulated_node& from, const simulated_node& to) const;
    [[nodiscard]] static bool isRunning(const simulated_node& node) { return node.process && !node.isPaused; }

    replica_options m_options;
    std::size_t m_requiredVoters;
    std::mt19937_64 m_random;
    steady_time m_now {};
    std::uint64_t m_step = 0;
    std::vector<simulated_node> m_nodes;
    std::vector<std::pair<steady_time, peer_message>> m_inFlight; ///< with their delivery times
    std::set<std::size_t> m_isolated;
    std::vector<std::string> m_committed; ///< each as applied by the first node that applied it
    std::map<term_number, member_id> m_leaderByTerm;
    std::pair<log_index, std::vector<member>> m_committedMembers; ///< with the index of their entry
    std::vector<membership_change> m_changes;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastReadId = 0;
    std::size_t m_confirmedReadCount = 0;
    member_id m_nextMemberId = 100;
    double m_lossProbability = 0;
};

} // namespace test_support
