/// @file
/// @brief Life of a simulated cluster whose machines are lost, come back and are replaced, and its invariant.
#pragma once

#include "support/simulated_cluster.hpp"

namespace test_support {

/// How a machine is taken out for good.
enum class replacement {
    Planned, ///< the successor starts and catches up first; then the machine's process is told to end
    Killed, ///< the machine dies, its successor starts later
};

/// @brief Counts the machines that are lost and checks after each step that a quorum is left whatever else may be lost.
///
/// A machine is lost while it is down, frozen or cut off, and for the catch-up time after it is back or, if it is new,
/// after it has started. One that is removed and its successor count as one, which is lost until the successor has had
/// that time. While no more machines are lost than are tolerated, a quorum of voters must be left even if as many more
/// are lost as may be, and those that still count as lost fail again.
class cluster_lifetime {
public:
    /// @param machines 2 f + 1 for f tolerated losses
    /// @param plannedLosses losses that the replicas are told to tolerate; nothing: f
    cluster_lifetime(std::size_t machines, std::uint64_t seed, milliseconds catchUpTime,
        std::optional<std::size_t> plannedLosses = std::nullopt);

    /// @brief Lets time pass, and checks the invariant after each step.
    void run(milliseconds duration);
    /// @return number of machines that are lost now
    [[nodiscard]] std::size_t lostCount() const;
    /// @brief Whether one more machine may be lost. During a split, and for the catch-up time after it, one may be:
    /// losses that overlap with it may suspend the service, and the next ones come when that is over.
    [[nodiscard]] bool mayLose() const;
    /// @brief Waits until no machine is lost. @return false: that takes too long
    bool settle();

    /// @brief Replaces machines at the same time. @param successorDelay from the deaths until the successors start
    void replaceTogether(const std::vector<std::size_t>& machines, replacement how, milliseconds successorDelay);
    /// @brief Takes a machine down, and restarts it with its disk or without after a while.
    void crash(std::size_t machine, milliseconds downTime, bool losesDisk = false);
    void freeze(std::size_t machine, milliseconds duration);
    void cutOff(std::size_t machine, milliseconds duration);
    /// @brief Crashes all machines, restarts them after a while, and all but some disks are kept.
    void crashAll(milliseconds downTime, const std::vector<std::size_t>& withoutDisk = {});
    /// @brief Splits the network into halves. Losses aren't checked meanwhile, only what follows.
    void split(milliseconds duration);
    /// @brief Proposes a command until it is committed. @return false: that takes too long
    bool commit(const std::string& command, milliseconds timeout);
    /// @return whether every machine that is there applies all committed commands within the time
    bool allCatchUp(milliseconds timeout);

    [[nodiscard]] std::size_t toleratedLosses() const { return m_toleratedLosses; }
    /// @return indices of the machines that are meant to be there
    [[nodiscard]] std::vector<std::size_t> machines() const;
    /// @return whether a machine is down, frozen or cut off
    [[nodiscard]] bool isOut(std::size_t machine) const { return m_machines[machine].bringBack != nullptr; }
    /// @return index of the leader's machine; the first machine if there is no leader
    [[nodiscard]] std::size_t leader() const;
    [[nodiscard]] simulated_cluster& cluster() { return m_cluster; }
    /// @return what broke the invariant, at most a few
    [[nodiscard]] const std::vector<std::string>& failures() const { return m_failures; }
    [[nodiscard]] std::size_t checkedSteps() const { return m_checkedSteps; }

private:
    struct machine_state {
        steady_time lostUntil {}; ///< it counts as lost until then
        steady_time backAt {}; ///< when it is back; lostUntil if it isn't out
        std::function<void()> bringBack; ///< empty: it isn't out
        bool isRemoved = false; ///< it isn't meant to be there any more
    };

    void beginLoss(std::size_t machine, milliseconds duration, std::function<void()> bringBack);
    void bringBackDue();
    void checkInvariant();
    [[nodiscard]] std::string describe(const std::vector<member>& members) const;

    std::size_t m_toleratedLosses;
    milliseconds m_catchUpTime;
    simulated_cluster m_cluster;
    std::vector<machine_state> m_machines; ///< as the cluster's nodes
    std::vector<std::pair<steady_time, std::function<void()>>> m_planned; ///< later actions, with their times
    steady_time m_splitUntil {};
    std::size_t m_lossesSinceSplit = 0; ///< since the last split began
    std::size_t m_checkedSteps = 0;
    std::vector<std::string> m_failures;
};

} // namespace test_support
