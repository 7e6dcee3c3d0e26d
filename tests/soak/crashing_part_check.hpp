/// @file
/// @brief A part of prompts that crashes targets throughout a soak test, and the check that all gateways know it at the
/// end.
#pragma once

#include "soak/violation_log.hpp"
#include "support/gateway_cluster.hpp"

#include <atomic>
#include <random>
#include <thread>

namespace test_support {

/// @brief Sends unlike requests with one part to any gateway, from a thread of its own.
class crashing_part_check {
public:
    crashing_part_check(gateway_cluster& cluster, std::uint64_t seed)
        : m_cluster(cluster)
        , m_random(seed + 3)
    {
        m_cluster.fleet().setCrashingParts({ { part, seed % 2 == 0 } });
        m_thread = std::thread([this] { run(); });
    }
    crashing_part_check(const crashing_part_check&) = delete;
    crashing_part_check& operator=(const crashing_part_check&) = delete;
    ~crashing_part_check() { stop(); }

    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /// @brief To be called after all faults: every gateway refuses the part after a few more crashes, and goes on to.
    void check(violation_log& violations)
    {
        const std::size_t before = m_cluster.fleet().crashes().size();
        if (!waitUntil([this] { return isRefusedEverywhere(); }, knownTimeout))
            violations.report("the gateways don't all refuse the part that crashes targets");
        const std::size_t known = m_cluster.fleet().crashes().size();
        if (known - before > maxCrashesUntilKnown)
            violations.report(std::to_string(known - before) + " targets crashed until the part was known");
        for (int round = 0; round < 3; ++round)
            (void)isRefusedEverywhere();
        if (m_cluster.fleet().crashes().size() - known > maxCrashesOnceKnown)
            violations.report("the part crashes targets although it is known");
        std::cout << "targets crashed by the part: " << before << " amid faults, "
                  << m_cluster.fleet().crashes().size() - before << " afterwards" << std::endl;
    }

private:
    static constexpr const char* part = "bad0";
    static constexpr std::chrono::milliseconds interval { 400 };
    static constexpr std::chrono::seconds knownTimeout { 20 };
    static constexpr std::size_t maxCrashesUntilKnown = 5;
    static constexpr std::size_t maxCrashesOnceKnown = 3;

    bool isRefusedEverywhere()
    {
        std::size_t refused = 0;
        for (const auto& gateway : m_cluster.gateways())
            refused += send(gateway).status == 400 ? 1 : 0;
        return refused == m_cluster.gateways().size();
    }

    caller_response send(const std::string& gateway)
    {
        const std::string id = "crash" + std::to_string(++m_number);
        caller_request request;
        request.id = id;
        request.path = "/stream/" + id + "/n20";
        request.timeout = std::chrono::seconds(2);
        request.promptParts = { "5e", part, std::to_string(m_number) };
        return m_cluster.call(gateway, request);
    }

    void run()
    {
        while (!m_stopping) {
            const auto& gateways = m_cluster.gateways();
            (void)send(gateways[m_random() % gateways.size()]);
            std::this_thread::sleep_for(interval);
        }
    }

    gateway_cluster& m_cluster;
    std::mt19937_64 m_random;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_number { 0 };
    std::thread m_thread;
};

} // namespace test_support
