/// @file
/// @brief Several replicas with disks and a network that loses, repeats, delays and reorders, in one process.
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

/// Where a crash falls between taking effects and having carried them out.
enum class crash_point { None, BeforePersist, AfterPersist, AfterSend };

/// One replica with its disk and its state machine, which is the list of applied commands.
struct simulated_node {
    std::string address;
    member_id id = 0;
    persistent_state disk;
    std::unique_ptr<replica> process; ///< none while it is down
    std::vector<std::string> applied;
    std::map<std::uint64_t, std::set<std::string>> pendingReads;
};

/// @brief The world. Faults are drawn from a seed; violations of safety are collected as texts.
class simulated_cluster {
public:
    simulated_cluster(std::size_t nodes, std::uint64_t seed, replica_options options = {});

    /// @brief Lets time pass in small steps with the faults that are switched on.
    void run(int steps);
    void propose(const std::string& command);
    /// @brief Asks a random node for a confirmed read; checked when it is answered.
    void read();
    void crash(std::size_t index, crash_point point);
    void restart(std::size_t index);
    /// @brief The node's disk is lost; it comes back blank under a new id.
    void loseDisk(std::size_t index);
    /// @brief Cuts a node off from the others, silently.
    void setIsolated(std::size_t index, bool isolated);
    void setLossProbability(double probability) { m_lossProbability = probability; }
    /// @brief Ends all faults and restarts all nodes.
    void heal();
    void compact(std::size_t index);

    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] const std::vector<simulated_node>& nodes() const { return m_nodes; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] const std::vector<std::string>& committed() const { return m_committed; }
    [[nodiscard]] std::size_t confirmedReadCount() const { return m_confirmedReadCount; }

    /// A protection to take out, so that a test can show that the checkers notice.
    bool skipHardState = false;

private:
    void carryOutEffects(simulated_node& node, crash_point point);
    void persist(simulated_node& node, const effects& effects) const;
    void apply(simulated_node& node, const effects& effects);
    void checkLeaders();
    void start(simulated_node& node);

    replica_options m_options;
    std::mt19937_64 m_random;
    steady_time m_now {};
    std::vector<simulated_node> m_nodes;
    std::vector<std::pair<steady_time, peer_message>> m_inFlight;
    std::set<std::size_t> m_isolated;
    std::vector<std::string> m_committed; ///< by the first node to apply each
    std::map<term_number, member_id> m_leaderByTerm;
    std::vector<std::string> m_violations;
    std::uint64_t m_lastReadId = 0;
    std::size_t m_confirmedReadCount = 0;
    member_id m_nextMemberId = 100;
    double m_lossProbability = 0;
};

} // namespace test_support
