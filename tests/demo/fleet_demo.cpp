/// @file
/// @brief Demonstrates gateways and registries: real processes on loopback with stand-in targets that hold layers.
///
/// Streams responses, kills a target during a stream and the leading registry, publishes a change, restarts a gateway
/// during a stream, and keeps the logs of the processes for `ctl explain`. Fails if an expectation isn't met.
#include "support/gateway_cluster.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace test_support; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds timeout { 15 };
constexpr std::uint64_t eventCount = 100; ///< per stream; takes about 1 s

/// @brief Ends the demo with an error unless a condition holds.
void require(bool condition, const std::string& description)
{
    if (condition)
        return;
    std::cerr << "fleet_demo: " << description << "\n";
    std::exit(EXIT_FAILURE);
}

std::string streamPath() { return "/stream/n" + std::to_string(eventCount); }

/// @brief Requests a stream in another thread.
std::future<caller_response> startStream(gateway_cluster& cluster, const std::string& gateway, const std::string& id)
{
    return std::async(std::launch::async,
        [&cluster, gateway, id] { return cluster.call(gateway, "POST", streamPath(), id, timeout); });
}

void requireComplete(const std::string& id, const caller_response& response)
{
    require(response.body == gateway_cluster::streamBody(streamPath(), eventCount),
        id + " didn't receive its complete response");
    std::cout << "  " << id << ": " << eventCount << " events, each once and in order\n";
}

void printSessions(gateway_cluster& cluster)
{
    std::cout << "  leader " << cluster.leader() << "; sessions";
    for (const auto& name : cluster.registries())
        std::cout << "  " << name << " " << cluster.sessionCount(name);
    std::cout << "\n";
}

/// @brief Kills a target on the path of a stream, as soon as the gateway has logged the path.
void killTargetOf(gateway_cluster& cluster, const std::string& gateway, const std::string& id)
{
    const auto pathOf = [&] {
        const std::string log = cluster.logOf(gateway);
        const auto line = log.find("request=" + id + " ");
        const auto chosen = log.find("chosen=", line);
        return line == std::string::npos ? std::string() : log.substr(chosen, log.find(' ', chosen) - chosen);
    };
    require(waitUntil([&] { return !pathOf().empty(); }, seconds(2)), "no path was chosen for " + id);
    const std::string path = pathOf();
    const auto member = std::find_if(cluster.engines().begin(), cluster.engines().end(),
        [&](std::size_t engine) { return path.find(cluster.fleet().idOf(engine) + "=") != std::string::npos; });
    require(member != cluster.engines().end(), "the path has no known target: " + path);
    std::cout << "  target " << cluster.fleet().idOf(*member) << " is killed\n";
    cluster.fleet().kill(*member);
}

} // namespace

int main()
{
    gateway_cluster cluster(3);
    const auto startedAt = std::chrono::steady_clock::now();
    require(cluster.start(), "the fleet didn't start");
    std::cout
        << "== three registries, three gateways, 12 targets with layers in three failure domains, a plain service\n";
    const auto isBalanced = [&cluster] {
        return std::all_of(cluster.registries().begin(), cluster.registries().end(),
            [&cluster](const auto& name) { return cluster.sessionCount(name) == 1; });
    };
    require(waitUntil(isBalanced, timeout), "sessions weren't balanced over the registries");
    printSessions(cluster);

    std::cout << "== a response through each gateway\n";
    for (const auto& gateway : cluster.gateways())
        requireComplete("demo-" + gateway, cluster.call(gateway, "POST", streamPath(), "demo-" + gateway, timeout));

    std::cout << "== a target is killed during a stream\n";
    auto stream = startStream(cluster, cluster.gateways()[0], "demo-target-killed");
    killTargetOf(cluster, cluster.gateways()[0], "demo-target-killed");
    requireComplete("demo-target-killed", stream.get());

    std::cout << "== the leader is killed during a stream, and a change is published\n";
    stream = startStream(cluster, cluster.gateways()[1], "demo-leader-killed");
    const std::string leader = cluster.leader();
    cluster.killHard(leader);
    require(waitUntil([&] { return cluster.publishToAny(2, "changed") == 200; }, timeout),
        "no registry accepted the change");
    for (const auto& gateway : cluster.gateways()) {
        const std::string id = "demo-changed-" + gateway;
        require(waitUntil([&] { return cluster.call(gateway, "GET", "/changed/x", id).status == 200; }, seconds(2)),
            "the change isn't active at " + gateway);
    }
    std::cout << "  acknowledged, and active at all gateways\n";
    requireComplete("demo-leader-killed", stream.get());
    cluster.startProcess(leader);
    require(waitUntil([&] { return cluster.readVersion(leader) == 2U; }, timeout), leader + " didn't catch up");
    printSessions(cluster);

    std::cout << "== a gateway is restarted during a stream\n";
    const std::string gateway = cluster.gateways()[2];
    stream = startStream(cluster, gateway, "demo-gateway-restarted");
    std::this_thread::sleep_for(milliseconds(200));
    cluster.signal(gateway, SIGTERM);
    requireComplete("demo-gateway-restarted", stream.get());
    require(cluster.waitForExit(gateway, seconds(9)) == 0, gateway + " didn't exit cleanly");
    cluster.startProcess(gateway);
    require(waitUntil([&] { return cluster.readyStatus(gateway) == 200; }, timeout),
        gateway + " didn't become ready again");

    std::this_thread::sleep_for(milliseconds(200)); // logs are written every 100 ms
    std::cout << "took " << std::chrono::duration_cast<seconds>(std::chrono::steady_clock::now() - startedAt).count()
              << " s\n"
              << "logs: " << cluster.keepFolder() << std::endl;
    return EXIT_SUCCESS;
}
