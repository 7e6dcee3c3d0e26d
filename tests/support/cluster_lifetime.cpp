/// @file
/// @brief Losses and replacements of simulated machines, and the check that a quorum is left.
#include "support/cluster_lifetime.hpp"

#include <algorithm>

namespace test_support {
namespace {

constexpr milliseconds stepTime { 10 }; ///< of the simulated cluster
constexpr milliseconds settleTimeout { 60000 };
constexpr std::size_t maxFailures = 5;

} // namespace

cluster_lifetime::cluster_lifetime(
    std::size_t machines, std::uint64_t seed, milliseconds catchUpTime, std::optional<std::size_t> plannedLosses)
    : m_toleratedLosses((machines - 1) / 2)
    , m_catchUpTime(catchUpTime)
    , m_cluster(machines, seed, {}, plannedLosses.value_or(m_toleratedLosses))
    , m_machines(machines)
{
    constexpr int formationSteps = 100; // until the last voter is committed
    m_cluster.run(formationSteps);
}

void cluster_lifetime::run(milliseconds duration)
{
    for (const steady_time end = m_cluster.now() + duration; m_cluster.now() < end;) {
        m_cluster.run(1);
        bringBackDue();
        checkInvariant();
    }
}

std::size_t cluster_lifetime::lostCount() const
{
    return static_cast<std::size_t>(std::count_if(m_machines.begin(), m_machines.end(),
        [this](const machine_state& machine) { return m_cluster.now() < machine.lostUntil; }));
}

bool cluster_lifetime::mayLose() const
{
    if (m_cluster.now() < m_splitUntil + m_catchUpTime)
        return lostCount() == 0 && m_lossesSinceSplit == 0;
    return lostCount() < m_toleratedLosses;
}

bool cluster_lifetime::settle()
{
    for (const steady_time end = m_cluster.now() + settleTimeout; m_cluster.now() < end; run(stepTime)) {
        if (lostCount() == 0 && m_planned.empty() && m_cluster.now() >= m_splitUntil + m_catchUpTime)
            return true;
    }
    return false;
}

void cluster_lifetime::replaceTogether(
    const std::vector<std::size_t>& machines, replacement how, milliseconds successorDelay)
{
    const steady_time now = m_cluster.now();
    const auto startSuccessor = [this] {
        m_cluster.addNode();
        machine_state successor;
        successor.lostUntil = m_cluster.now() + m_catchUpTime;
        m_machines.push_back(std::move(successor));
    };
    for (const std::size_t machine : machines) {
        m_machines[machine].isRemoved = true;
        if (how == replacement::Planned) {
            startSuccessor();
            m_planned.emplace_back(now + m_catchUpTime, [this, machine] { m_cluster.terminate(machine); });
            continue;
        }
        m_cluster.remove(machine);
        ++m_lossesSinceSplit;
        m_machines[machine].bringBack = nullptr;
        m_machines[machine].lostUntil = now + successorDelay; // its successor counts from then on
        m_planned.emplace_back(now + successorDelay, startSuccessor);
    }
}

void cluster_lifetime::beginLoss(std::size_t machine, milliseconds duration, std::function<void()> bringBack)
{
    auto& state = m_machines[machine];
    ++m_lossesSinceSplit;
    state.backAt = m_cluster.now() + duration;
    state.lostUntil = state.backAt + m_catchUpTime;
    state.bringBack = std::move(bringBack);
}

void cluster_lifetime::crash(std::size_t machine, milliseconds downTime, bool losesDisk)
{
    m_cluster.crash(machine, crash_point::AfterPersist);
    beginLoss(machine, downTime, [this, machine, losesDisk] {
        if (losesDisk)
            m_cluster.loseDisk(machine);
        else
            m_cluster.restart(machine);
    });
}

void cluster_lifetime::freeze(std::size_t machine, milliseconds duration)
{
    m_cluster.setPaused(machine, true);
    beginLoss(machine, duration, [this, machine] { m_cluster.setPaused(machine, false); });
}

void cluster_lifetime::cutOff(std::size_t machine, milliseconds duration)
{
    m_cluster.setIsolated(machine, true);
    beginLoss(machine, duration, [this, machine] { m_cluster.setIsolated(machine, false); });
}

void cluster_lifetime::crashAll(milliseconds downTime, const std::vector<std::size_t>& withoutDisk)
{
    for (const std::size_t machine : machines()) {
        const bool losesDisk = std::find(withoutDisk.begin(), withoutDisk.end(), machine) != withoutDisk.end();
        crash(machine, downTime, losesDisk);
    }
}

void cluster_lifetime::split(milliseconds duration)
{
    const auto all = machines();
    for (std::size_t index = 0; index < all.size(); ++index)
        m_cluster.setSide(all[index], index < all.size() / 2 ? 1 : 0);
    m_splitUntil = m_cluster.now() + duration;
    m_lossesSinceSplit = 0;
    m_planned.emplace_back(m_splitUntil, [this] {
        for (std::size_t machine = 0; machine < m_machines.size(); ++machine)
            m_cluster.setSide(machine, 0);
    });
}

bool cluster_lifetime::commit(const std::string& command, milliseconds timeout)
{
    const auto isCommitted = [&] {
        const auto& all = m_cluster.committed();
        return std::find(all.begin(), all.end(), command) != all.end();
    };
    constexpr milliseconds proposalInterval { 200 };
    for (const steady_time end = m_cluster.now() + timeout; m_cluster.now() < end; run(proposalInterval)) {
        if (isCommitted())
            return true;
        m_cluster.propose(command);
    }
    return isCommitted();
}

bool cluster_lifetime::allCatchUp(milliseconds timeout)
{
    const auto hasAll = [this](std::size_t machine) {
        return m_cluster.nodes()[machine].applied.size() >= m_cluster.committed().size();
    };
    for (const steady_time end = m_cluster.now() + timeout; m_cluster.now() < end; run(stepTime)) {
        const auto all = machines();
        if (std::all_of(all.begin(), all.end(), hasAll))
            return true;
    }
    return false;
}

std::vector<std::size_t> cluster_lifetime::machines() const
{
    std::vector<std::size_t> present;
    for (std::size_t machine = 0; machine < m_machines.size(); ++machine) {
        if (!m_machines[machine].isRemoved)
            present.push_back(machine);
    }
    return present;
}

std::size_t cluster_lifetime::leader() const { return m_cluster.leader().value_or(machines().front()); }

void cluster_lifetime::bringBackDue()
{
    const steady_time now = m_cluster.now();
    for (auto& machine : m_machines) {
        if (machine.bringBack && now >= machine.backAt)
            std::exchange(machine.bringBack, nullptr)();
    }
    std::vector<std::function<void()>> due;
    std::erase_if(m_planned, [&](auto& item) {
        if (now >= item.first)
            due.push_back(std::move(item.second));
        return now >= item.first;
    });
    for (const auto& action : due)
        action();
}

void cluster_lifetime::checkInvariant()
{
    const std::size_t lost = lostCount();
    if (lost > m_toleratedLosses || m_cluster.now() < m_splitUntil + m_catchUpTime)
        return;
    ++m_checkedSteps;
    const std::size_t mayStillBeLost = m_toleratedLosses - lost;
    for (const auto& members : m_cluster.memberSetsInForce()) {
        std::size_t voters = 0;
        std::size_t sound = 0;
        for (const auto& member : members) {
            if (!member.voter)
                continue;
            ++voters;
            for (std::size_t machine = 0; machine < m_machines.size(); ++machine) {
                const auto& node = m_cluster.nodes()[machine];
                const bool isThere = node.process && !node.isPaused && !m_cluster.isIsolated(machine);
                if (node.id == member.id && isThere && m_cluster.now() >= m_machines[machine].lostUntil)
                    ++sound;
            }
        }
        if (sound >= mayStillBeLost + voters / 2 + 1 || m_failures.size() >= maxFailures)
            continue;
        m_failures.push_back("at " + std::to_string(m_cluster.now().time_since_epoch() / milliseconds(1)) + " ms, "
            + std::to_string(lost) + " lost, " + std::to_string(mayStillBeLost) + " more may be: "
            + std::to_string(sound) + " sound of " + std::to_string(voters) + " voters: " + describe(members));
    }
}

std::string cluster_lifetime::describe(const std::vector<member>& members) const
{
    std::string text;
    for (const auto& member : members)
        text += " " + member.address + (member.voter ? "" : "(learner)");
    return text;
}

} // namespace test_support
