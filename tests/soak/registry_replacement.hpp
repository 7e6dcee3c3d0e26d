/// @file
/// @brief Replaces registries for good, one at a time, during a soak test.
#pragma once

#include "soak/violation_log.hpp"
#include "support/gateway_cluster.hpp"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

namespace test_support {

/// @brief Chooses how registries are replaced, replaces them, and checks who votes at the end.
class registry_replacement {
public:
    /// Time in which a registry that is new or back must be able to stand in for another one.
    static constexpr std::chrono::milliseconds catchUpTime { 4000 };

    /// A replacement in progress.
    struct started {
        std::string description;
        std::chrono::milliseconds duration { 0 }; ///< until `finish` is due
        std::function<void()> finish;
    };

    registry_replacement(gateway_cluster& cluster, violation_log& violations, std::uint64_t seed)
        : m_cluster(cluster)
        , m_violations(violations)
        , m_random(seed)
    {
    }

    /// @return name of the registry to replace
    const std::string& choose() { return m_cluster.registries()[m_random() % m_cluster.registries().size()]; }

    /// @brief Begins to replace a registry: as planned, its successor first, or after its sudden end.
    started begin(const std::string& registry)
    {
        const auto seeds = m_cluster.registries();
        if (m_random() % 2 == 0) {
            const std::string successor = m_cluster.addRegistry(seeds);
            return { "replacing " + registry + " by " + successor + " as planned", catchUpTime,
                [this, registry] { terminate(registry); } };
        }
        m_cluster.killHard(registry);
        m_cluster.retireRegistry(registry);
        return { "replacing " + registry + ", killed for good", std::chrono::milliseconds(200 + m_random() % 2000),
            [this, seeds] {
                (void)m_cluster.addRegistry(seeds);
                renewSeeds();
            } };
    }

    /// @brief Checks that exactly the registries that are there vote, and that one loss can be borne.
    void checkMembers(std::chrono::seconds timeout)
    {
        for (const auto& name : m_cluster.registries()) {
            std::string page;
            if (!waitUntil(
                    [&] { return isSound(page = m_cluster.callRegistry(name, "GET", "/members").body); }, timeout))
                m_violations.report(name + " doesn't count the registries that are there as voters: " + page);
        }
    }

private:
    static constexpr std::chrono::seconds exitTimeout { 9 };

    void terminate(const std::string& registry)
    {
        m_cluster.signal(registry, SIGTERM);
        const int status = m_cluster.waitForExit(registry, exitTimeout);
        if (status != 0)
            m_violations.report(
                registry + " didn't exit cleanly when it was replaced: status " + std::to_string(status));
        if (status == -1)
            m_cluster.killHard(registry);
        m_cluster.retireRegistry(registry);
        renewSeeds();
    }

    /// Lists the present registries in all settings. Running processes read them on their next SIGHUP, or by a watch.
    void renewSeeds()
    {
        for (const auto& processes : { m_cluster.registries(), m_cluster.gateways() }) {
            for (const auto& name : processes)
                m_cluster.setSeeds(name, m_cluster.registries());
        }
    }

    [[nodiscard]] bool isSound(const std::string& body) const
    {
        const auto page = nlohmann::json::parse(body, nullptr, false);
        return page.is_object() && page.value("voters", std::size_t { 0 }) == m_cluster.registries().size()
            && page.value("reachable_voters", std::size_t { 0 }) == m_cluster.registries().size()
            && page.value("bearable_losses", 0) >= 1;
    }

    gateway_cluster& m_cluster;
    violation_log& m_violations;
    std::mt19937_64 m_random;
};

} // namespace test_support
