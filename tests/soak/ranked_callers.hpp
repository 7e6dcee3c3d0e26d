/// @file
/// @brief Callers of a soak test that send streams on routes of different priorities, more than the engines can hold.
#pragma once

#include "soak/check_call.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace test_support {

/// Key-value memory of a token that lets an engine with six layers, the most that fit, hold two requests.
inline constexpr std::uint64_t rankedTokenBytes = 125'000;
inline constexpr std::size_t rankedPromptTokens = 490;
inline constexpr std::array<std::uint32_t, 3> rankedPriorities { 0, 1, 2 };
inline constexpr std::size_t callersPerPriority = 16;
/// Requests wait for up to half of it.
inline constexpr std::chrono::milliseconds rankedLatencyTarget { 1000 };

inline std::string rankedRoute(std::uint32_t priority)
{
    return std::string(rankedPrefix.substr(1)) + std::to_string(priority);
}

/// @brief Adds the ranked routes to a document. Their timeout is that of the callers, so that a first attempt doesn't
/// look like a later one.
inline void addRankedRoutes(document_options& options)
{
    for (const auto priority : rankedPriorities)
        options.streamRoutes.push_back({ rankedRoute(priority), priority, rankedLatencyTarget, callerTimeout });
    options.tokenBytes = rankedTokenBytes;
}

/// @brief Publishes a document with the ranked routes. Call while there are no callers.
/// @return whether all gateways serve a ranked route
inline bool applyRankedRoutes(gateway_cluster& cluster, std::uint64_t version)
{
    constexpr std::chrono::seconds propagationTime { 5 };
    document_options options;
    addRankedRoutes(options);
    cluster.setPromptTokens(rankedPromptTokens);
    if (cluster.publish(version, cluster.registries().front(), options) != 200)
        return false;
    const std::string route = rankedRoute(rankedPriorities.front());
    return std::all_of(cluster.gateways().begin(), cluster.gateways().end(), [&](const std::string& gateway) {
        std::size_t number = 0;
        return waitUntil(
            [&] {
                const std::string id = "applied-" + gateway + "-" + std::to_string(++number);
                return cluster.call(gateway, "POST", "/" + route + "/" + id + "/n1", id).status == 200;
            },
            propagationTime);
    });
}

/// @brief Threads that send streams of each priority until stopped. A refused caller returns when it is told to.
class ranked_callers {
public:
    ranked_callers(gateway_cluster& cluster, std::uint64_t seed)
        : m_cluster(cluster)
    {
        for (const auto priority : rankedPriorities) {
            for (std::size_t number = 0; number < callersPerPriority; ++number)
                m_threads.emplace_back([this, priority, number, seed] { run(priority, number, seed); });
        }
    }
    ranked_callers(const ranked_callers&) = delete;
    ranked_callers& operator=(const ranked_callers&) = delete;
    ~ranked_callers() { stop(); }

    /// @brief Waits for the calls in flight and ends the threads. @return all calls
    std::vector<call_record> stop()
    {
        m_stopping = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_records;
    }

private:
    /// Longest pause of a refused caller: a return time may be a third of the time that a caller has left.
    static constexpr double maxPauseSeconds = 1.5;

    void run(std::uint32_t priority, std::size_t number, std::uint64_t seed)
    {
        std::mt19937_64 random(seed * 1000 + priority * 100 + number);
        for (std::size_t callNumber = 0; !m_stopping; ++callNumber) {
            const std::string route = rankedRoute(priority);
            const std::string id = route + "-" + std::to_string(number) + "-" + std::to_string(callNumber);
            const std::string path = "/" + route + "/" + id + "/n" + std::to_string(20 + random() % 80);
            const auto& gateway = m_cluster.gateways()[random() % m_cluster.gateways().size()];
            auto response = m_cluster.call(gateway, "POST", path, id, callerTimeout);
            pauseAfter(response);
            const std::scoped_lock lock(m_mutex);
            m_records.push_back({ id, path, std::move(response), std::chrono::steady_clock::now() });
        }
    }

    static void pauseAfter(const caller_response& response)
    {
        if (response.status == 200)
            return;
        constexpr double defaultPauseSeconds = 0.1; // no process is listening, or it names no time
        const double pause = response.retryAfter.empty() ? defaultPauseSeconds : std::stod(response.retryAfter);
        std::this_thread::sleep_for(std::chrono::duration<double>(std::min(pause, maxPauseSeconds)));
    }

    gateway_cluster& m_cluster;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<call_record> m_records;
    std::vector<std::thread> m_threads;
};

/// Served requests among those that a gateway served or refused for lack of capacity.
struct served_share {
    double served = 0;
    double offered = 0;

    [[nodiscard]] double share() const { return offered > 0 ? served / offered : 0; }
    /// @return variance of the share, with one request added so that it is never 0
    [[nodiscard]] double variance() const
    {
        const double smoothed = (served + 1) / (offered + 2);
        return smoothed * (1 - smoothed) / std::max(offered, 1.0);
    }
};

inline served_share shareOf(const std::vector<call_record>& records, std::uint32_t priority)
{
    served_share sum;
    for (const auto& record : records) {
        if (!record.path.starts_with("/" + rankedRoute(priority) + "/"))
            continue;
        const auto& response = record.response;
        const bool isRefused = response.status == 503 && response.body.find("\"busy\"") != std::string::npos;
        sum.served += response.status == 200 ? 1 : 0;
        sum.offered += response.status == 200 || isRefused ? 1 : 0;
    }
    return sum;
}

/// @brief Checks that the highest priority is served at least as large a share as the lowest. All priorities are
/// offered all the time.
inline void checkShares(const std::vector<call_record>& records, violation_log& violations)
{
    constexpr double maxDeviations = 3; // random faults hit few requests of each priority, and not evenly
    const auto highest = shareOf(records, rankedPriorities.front());
    const auto lowest = shareOf(records, rankedPriorities.back());
    std::cout << "served of priority " << rankedPriorities.front() << ": " << highest.served << " of "
              << highest.offered << ", of priority " << rankedPriorities.back() << ": " << lowest.served << " of "
              << lowest.offered << std::endl;
    const double margin = maxDeviations * std::sqrt(highest.variance() + lowest.variance());
    if (highest.share() + margin < lowest.share())
        violations.report("the highest priority is served a smaller share than the lowest");
}

} // namespace test_support
