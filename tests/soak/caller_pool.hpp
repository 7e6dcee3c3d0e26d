/// @file
/// @brief Callers of the soak test: some open a connection for each request, others reuse theirs until it closes.
#pragma once

#include "support/gateway_cluster.hpp"
#include "support/keep_alive_caller.hpp"

#include <atomic>
#include <random>
#include <thread>

namespace test_support {

inline constexpr std::size_t callerThreads = 6;
inline constexpr std::chrono::milliseconds callerTimeout { 4000 };

/// One request and its response.
struct call_record {
    std::string requestId;
    std::string path;
    caller_response response;
    std::chrono::steady_clock::time_point receivedAt;
};

/// @brief Threads that send requests without pause until stopped.
class caller_pool {
public:
    caller_pool(gateway_cluster& cluster, std::uint64_t seed)
        : m_cluster(cluster)
    {
        for (std::size_t index = 0; index < callerThreads; ++index)
            m_threads.emplace_back([this, index, seed] { run(index, seed); });
    }
    caller_pool(const caller_pool&) = delete;
    caller_pool& operator=(const caller_pool&) = delete;
    ~caller_pool() { stop(); }

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
    /// Parts of a prompt: one that all have, one that some have, and one of its own.
    static std::vector<std::string> promptOf(std::size_t callNumber)
    {
        return { "5e", "d" + std::to_string(callNumber % 7), "a" + std::to_string(callNumber) };
    }

    void run(std::size_t number, std::uint64_t seed)
    {
        std::mt19937_64 random(seed * 100 + number);
        keep_alive_caller keepAliveCaller(m_cluster);
        const bool keepsConnections = number % 2 == 0;
        for (std::size_t callNumber = 0; !m_stopping; ++callNumber) {
            const std::string id = "c" + std::to_string(number) + "-" + std::to_string(callNumber);
            const auto kind = random() % 3;
            const std::string path = kind == 0 ? "/stream/" + id + "/n" + std::to_string(1 + random() % 120)
                : kind == 1                    ? "/unsafe/" + id
                                               : "/safe/" + id;
            const auto& gateway = m_cluster.gateways()[random() % m_cluster.gateways().size()];
            auto response = keepsConnections
                ? keepAliveCaller.call(gateway, "POST", path, id, callerTimeout)
                : m_cluster.call(gateway, { "POST", path, id, callerTimeout, "key-1", promptOf(callNumber), {} });
            if (response.status == 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(20)); // no process is listening
            const std::scoped_lock lock(m_mutex);
            m_records.push_back({ id, path, std::move(response), std::chrono::steady_clock::now() });
        }
    }

    gateway_cluster& m_cluster;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<call_record> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace test_support
