/// @file
/// @brief Real processes: a registry loses its disk right after a change was acknowledged, while all machines are
/// killed.
#include "support/gateway_world.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace test_support;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 20 };

/// Kills all processes at once and waits until they have exited.
void killAll(gateway_world& world)
{
    for (const auto& processes : { world.registries(), world.gateways() }) {
        for (const auto& name : processes)
            world.signal(name, SIGKILL);
    }
    for (const auto& processes : { world.registries(), world.gateways() }) {
        for (const auto& name : processes)
            (void)world.waitForExit(name, seconds(5));
    }
}

void startAll(gateway_world& world)
{
    for (const auto& processes : { world.registries(), world.gateways() }) {
        for (const auto& name : processes)
            world.startProcess(name);
    }
}

} // namespace

TEST_CASE("lost disk: all registries return, and all gateways serve, the acknowledged change", "[lost_disk]")
{
    const std::size_t firstLost = GENERATE(0U, 1U, 2U);
    CAPTURE(firstLost);
    gateway_world world(3);
    REQUIRE(world.start());
    // The registry that loses its disk may be the leader or not. The second loss follows right after the first repair.
    for (std::uint64_t round = 0; round < 2; ++round) {
        const std::uint64_t version = 10 + round;
        const std::string route = "extra" + std::to_string(round);
        REQUIRE(waitUntil([&] { return world.publishToAny(version, route) == 200; }, waitTimeout));
        killAll(world);
        world.loseDisk(world.registries()[(firstLost + round) % world.registries().size()]);
        startAll(world);
        const auto allReadBack = [&] {
            return std::all_of(world.registries().begin(), world.registries().end(),
                [&](const auto& name) { return world.readVersion(name) == version; });
        };
        CHECK(waitUntil(allReadBack, waitTimeout));
        const auto allGatewaysServe = [&] {
            return std::all_of(world.gateways().begin(), world.gateways().end(), [&](const auto& gateway) {
                static int number = 0;
                const std::string id = "served-" + std::to_string(++number);
                return world.call(gateway, "GET", "/" + route + "/x", id).status == 200;
            });
        };
        CHECK(waitUntil(allGatewaysServe, waitTimeout));
    }
}
