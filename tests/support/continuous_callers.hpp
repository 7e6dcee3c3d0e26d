/// @file
/// @brief Callers that keep sending requests to all gateways until they are stopped.
#pragma once

#include "support/gateway_cluster.hpp"

#include <atomic>
#include <thread>

namespace test_support {

/// @brief One caller per gateway, each on its own thread, with a short pause after each response.
class continuous_callers {
public:
    continuous_callers(gateway_cluster& cluster, const std::string& method, const std::string& path)
    {
        for (const auto& gateway : cluster.gateways())
            m_threads.emplace_back([this, &cluster, gateway, method, path] { run(cluster, gateway, method, path); });
    }
    continuous_callers(const continuous_callers&) = delete;
    continuous_callers& operator=(const continuous_callers&) = delete;
    ~continuous_callers() { stop(); }

    void stop()
    {
        m_stopRequested = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }
    [[nodiscard]] int served() const { return m_served; }
    [[nodiscard]] int notServed() const { return m_notServed; } ///< refused or failed
    /// @return responses with status 503 and without Retry-After
    [[nodiscard]] int refusedWithoutRetryAfter() const { return m_refusedWithoutRetryAfter; }

private:
    static constexpr std::chrono::milliseconds pauseBetweenCalls { 15 };
    static constexpr std::chrono::milliseconds callTimeout { 3000 };

    void run(gateway_cluster& cluster, const std::string& gateway, const std::string& method, const std::string& path)
    {
        static std::atomic<int> number { 0 };
        while (!m_stopRequested) {
            const auto response = cluster.call(gateway, method, path, "busy-" + std::to_string(++number), callTimeout);
            ++(response.status == 200 && response.isComplete ? m_served : m_notServed);
            m_refusedWithoutRetryAfter += response.status == 503 && response.retryAfter.empty() ? 1 : 0;
            std::this_thread::sleep_for(pauseBetweenCalls);
        }
    }

    std::atomic<bool> m_stopRequested { false };
    std::atomic<int> m_served { 0 };
    std::atomic<int> m_notServed { 0 };
    std::atomic<int> m_refusedWithoutRetryAfter { 0 };
    std::vector<std::thread> m_threads;
};

/// @return the engine that most requests reached as the first engine of their chain
inline std::size_t busiestEngine(gateway_cluster& cluster)
{
    std::size_t busiest = cluster.engines().front();
    for (const auto target : cluster.engines()) {
        if (cluster.fleet().arrivalsAt(target).size() > cluster.fleet().arrivalsAt(busiest).size())
            busiest = target;
    }
    return busiest;
}

} // namespace test_support
