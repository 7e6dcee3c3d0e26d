/// @file
/// @brief Streams that callers request at the same time, and what gateways and targets recorded of them.
#pragma once

#include "support/gateway_cluster.hpp"

#include <algorithm>
#include <deque>
#include <sstream>
#include <thread>

namespace test_support {

/// One request and its response.
struct sent_call {
    std::string gateway;
    std::string route;
    std::string id;
    std::string path;
    std::uint64_t events = 0;
    caller_response response;
};

/// Requests that are in flight at the same time, each on a thread of its own.
class concurrent_calls {
public:
    /// @param cluster must outlive the calls
    /// @param timeout also sent as the requests' deadline
    concurrent_calls(gateway_cluster& cluster, std::chrono::milliseconds timeout)
        : m_cluster(cluster)
        , m_timeout(timeout)
    {
    }
    concurrent_calls(const concurrent_calls&) = delete;
    concurrent_calls& operator=(const concurrent_calls&) = delete;
    ~concurrent_calls() { (void)wait(); }

    /// @brief Sends streams of different lengths, so that capacity becomes free step by step.
    void send(const std::string& gateway, const std::string& route, std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            auto& call = m_calls.emplace_back();
            call.gateway = gateway;
            call.route = route;
            call.id = route + "-" + gateway + "-" + std::to_string(m_calls.size());
            call.events = 60 + number * 60 / count;
            call.path = "/" + route + "/" + call.id + "/n" + std::to_string(call.events);
            m_threads.emplace_back(
                [this, &call] { call.response = m_cluster.call(call.gateway, "POST", call.path, call.id, m_timeout); });
        }
    }

    /// @return all calls, with their responses
    const std::deque<sent_call>& wait()
    {
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_calls;
    }

private:
    gateway_cluster& m_cluster;
    std::chrono::milliseconds m_timeout;
    std::deque<sent_call> m_calls;
    std::vector<std::thread> m_threads;
};

/// Request id of a log line; empty: it has none.
inline std::string requestOf(const std::string& line)
{
    const std::string field = " request=";
    const auto position = line.find(field);
    if (position == std::string::npos)
        return {};
    const auto begin = position + field.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// Requests of the lines that contain a text in a gateway's log.
inline std::set<std::string> loggedRequests(
    gateway_cluster& cluster, const std::string& gateway, const std::string& event)
{
    std::set<std::string> ids;
    std::istringstream log(cluster.logOf(gateway));
    for (std::string line; std::getline(log, line);) {
        if (line.find(event) != std::string::npos && !requestOf(line).empty())
            ids.insert(requestOf(line));
    }
    return ids;
}

/// Requests that are in a gateway's admission queue according to its log. One that is routed again under a changed
/// document leaves the queue and may enter it once more.
inline std::set<std::string> loggedQueue(gateway_cluster& cluster, const std::string& gateway)
{
    std::set<std::string> ids;
    std::istringstream log(cluster.logOf(gateway));
    for (std::string line; std::getline(log, line);) {
        if (line.find("E217 request_queued") != std::string::npos)
            ids.insert(requestOf(line));
        if (line.find("E218 queue_left") != std::string::npos)
            ids.erase(requestOf(line));
    }
    return ids;
}

/// First arrival of each request at a target.
inline std::map<std::string, std::chrono::steady_clock::time_point> arrivalTimes(gateway_cluster& cluster)
{
    std::map<std::string, std::chrono::steady_clock::time_point> times;
    for (const auto target : cluster.engines()) {
        for (const auto& arrival : cluster.fleet().arrivalsAt(target)) {
            const auto known = times.try_emplace(arrival.requestId, arrival.arrivedAt).first;
            known->second = std::min(known->second, arrival.arrivedAt);
        }
    }
    return times;
}

/// @return the requests that reached a target after a time
inline std::set<std::string> arrivedAfter(gateway_cluster& cluster, std::chrono::steady_clock::time_point time)
{
    std::set<std::string> ids;
    for (const auto& [id, arrivedAt] : arrivalTimes(cluster)) {
        if (arrivedAt > time)
            ids.insert(id);
    }
    return ids;
}

} // namespace test_support
