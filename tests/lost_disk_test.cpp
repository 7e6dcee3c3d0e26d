/// @file
/// @brief Real processes: a registry loses its disk right after a change was acknowledged, while all machines are
/// killed.
#include "support/gateway_cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace test_support;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 20 };

/// Kills all processes at once and waits until they have exited.
void killAll(gateway_cluster& cluster)
{
    for (const auto& processes : { cluster.registries(), cluster.gateways() }) {
        for (const auto& name : processes)
            cluster.signal(name, SIGKILL);
    }
    for (const auto& processes : { cluster.registries(), cluster.gateways() }) {
        for (const auto& name : processes)
            (void)cluster.waitForExit(name, seconds(5));
    }
}

void startAll(gateway_cluster& cluster)
{
    for (const auto& processes : { cluster.registries(), cluster.gateways() }) {
        for (const auto& name : processes)
            cluster.startProcess(name);
    }
}

} // namespace

TEST_CASE("lost disk: all registries return, and all gateways serve, the acknowledged change", "[lost_disk]")
{
    const std::size_t firstLost = GENERATE(0U, 1U, 2U);
    CAPTURE(firstLost);
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    // The registry that loses its disk may be the leader or not. The second loss follows right after the first repair.
    for (std::uint64_t round = 0; round < 2; ++round) {
        const std::uint64_t version = 10 + round;
        const std::string route = "extra" + std::to_string(round);
        REQUIRE(waitUntil([&] { return cluster.publishToAny(version, route) == 200; }, waitTimeout));
        killAll(cluster);
        cluster.loseDisk(cluster.registries()[(firstLost + round) % cluster.registries().size()]);
        startAll(cluster);
        const auto allReadBack = [&] {
            return std::all_of(cluster.registries().begin(), cluster.registries().end(),
                [&](const auto& name) { return cluster.readVersion(name) == version; });
        };
        CHECK(waitUntil(allReadBack, waitTimeout));
        const auto allGatewaysServe = [&] {
            return std::all_of(cluster.gateways().begin(), cluster.gateways().end(), [&](const auto& gateway) {
                static int number = 0;
                const std::string id = "served-" + std::to_string(++number);
                return cluster.call(gateway, "GET", "/" + route + "/x", id).status == 200;
            });
        };
        CHECK(waitUntil(allGatewaysServe, waitTimeout));
    }
}
