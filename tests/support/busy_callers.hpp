/// @file
/// @brief A caller at each gateway of a world, each on a thread of its own.
#pragma once

#include "support/gateway_world.hpp"

#include <atomic>
#include <thread>

namespace test_support {

/// @brief Calls until it is stopped, with a short pause after each answer.
class busy_callers {
public:
    busy_callers(gateway_world& world, const std::string& method, const std::string& path)
    {
        for (const auto& gateway : world.gateways())
            m_threads.emplace_back([this, &world, gateway, method, path] { run(world, gateway, method, path); });
    }
    busy_callers(const busy_callers&) = delete;
    busy_callers& operator=(const busy_callers&) = delete;
    ~busy_callers() { stop(); }

    void stop()
    {
        m_stops = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }
    [[nodiscard]] int served() const { return m_served; }
    [[nodiscard]] int others() const { return m_others; } ///< refused or failed
    /// @brief Refused without a time to come back.
    [[nodiscard]] int untimed() const { return m_untimed; }

private:
    static constexpr std::chrono::milliseconds pause { 15 };
    static constexpr std::chrono::milliseconds patience { 3000 };

    void run(gateway_world& world, const std::string& gateway, const std::string& method, const std::string& path)
    {
        static std::atomic<int> number { 0 };
        while (!m_stops) {
            const auto answer = world.call(gateway, method, path, "busy-" + std::to_string(++number), patience);
            ++(answer.status == 200 && answer.isWhole ? m_served : m_others);
            m_untimed += answer.status == 503 && answer.comeBack.empty() ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
    }

    std::atomic<bool> m_stops { false };
    std::atomic<int> m_served { 0 };
    std::atomic<int> m_others { 0 };
    std::atomic<int> m_untimed { 0 };
    std::vector<std::thread> m_threads;
};

/// @brief The engine at which most requests have come first.
inline std::size_t busiestFirst(gateway_world& world)
{
    std::size_t busiest = world.engines().front();
    for (const auto target : world.engines()) {
        if (world.fleet().arrivalsAt(target).size() > world.fleet().arrivalsAt(busiest).size())
            busiest = target;
    }
    return busiest;
}

} // namespace test_support
