/// @file
/// @brief Gateway sessions and target heartbeats are spread over all registries.
///
/// Guards against a leader whose load grows with the fleet: gateways disconnected from every registry but the leader,
/// and heartbeats were redirected to the leader's address. With 2,997 targets on 293 machines the leader of five
/// registries had 4,865 connections, more than the 4,096 that a machine allows, moved 1,500 KB/s and used 64% of its
/// processor; the median registry used 9%.
#include "support/gateway_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };
/// An acknowledged change takes effect on all gateways within this time.
constexpr milliseconds inForceTimeout { 2000 };

bool servesRoute(gateway_world& world, const std::string& gateway, const std::string& route)
{
    static int calls = 0;
    return world.call(gateway, "GET", "/" + route + "/x", "spread-" + std::to_string(++calls)).status == 200;
}

bool eachRegistryHasOneSession(gateway_world& world)
{
    const auto& all = world.registries();
    return std::all_of(all.begin(), all.end(), [&world](const auto& name) { return world.sessionCount(name) == 1; });
}

/// @return a registry that is not the leader
std::string follower(gateway_world& world)
{
    const std::string leader = world.leader();
    for (const auto& name : world.registries()) {
        if (name != leader)
            return name;
    }
    return {};
}

/// @return the gateway in a registry's failure domain
std::string gatewayInDomainOf(gateway_world& world, const std::string& registry)
{
    const auto& all = world.registries();
    return world
        .gateways()[static_cast<std::size_t>(std::distance(all.begin(), std::find(all.begin(), all.end(), registry)))];
}

} // namespace

TEST_CASE("session spread: each registry has the sessions of its own failure domain", "[session_spread]")
{
    gateway_world world(3);
    REQUIRE(world.start());
    CHECK(waitUntil([&] { return eachRegistryHasOneSession(world); }, waitTimeout));
}

TEST_CASE("session spread: targets are directed to the registry of their own failure domain", "[session_spread]")
{
    gateway_world world(1);
    REQUIRE(world.start());
    for (std::size_t domain = 0; domain < 3; ++domain) {
        const std::string record = R"({"service":"app","address":"127.0.0.1:9","zone":"d)" + std::to_string(domain + 1)
            + R"(","state":"ready","seq":1})";
        const std::string nearest = world.addressOf(world.registries()[domain]);
        for (const auto& registry : world.registries())
            CHECK(waitUntil(
                [&] { return world.responseToRecord(registry, "i-far", record).find(nearest) != std::string::npos; },
                waitTimeout));
    }
}

TEST_CASE("session spread: a gateway disconnects from a silent registry and misses no change", "[session_spread]")
{
    gateway_world world(3);
    REQUIRE(world.start());
    REQUIRE(waitUntil([&] { return eachRegistryHasOneSession(world); }, waitTimeout));
    const std::string silent = follower(world);
    const std::string gateway = gatewayInDomainOf(world, silent);
    const std::string leader = world.leader();
    SECTION("frozen") { world.signal(silent, SIGSTOP); }
    SECTION("its links are cut, and it considers its state current") { world.linkRelay(silent).setSilent(true); }
    SECTION("it receives nothing, but its messages arrive")
    {
        world.linkRelay(silent).setMode(relay_mode::DownstreamOnly);
    }
    REQUIRE(world.publish(2, leader, "two") == 200);
    CHECK(waitUntil([&] { return servesRoute(world, gateway, "two"); }, inForceTimeout));
    world.signal(silent, SIGCONT);
    world.linkRelay(silent).setMode(relay_mode::Pass);
    REQUIRE(waitUntil([&] { return world.readVersion(silent) == 2U; }, waitTimeout));
    REQUIRE(world.publish(3, silent, "three") == 200);
    for (const auto& name : world.gateways())
        CHECK(waitUntil([&] { return servesRoute(world, name, "three"); }, inForceTimeout));
}

TEST_CASE("session spread: an acknowledged change takes effect in time although the leader crashes", "[session_spread]")
{
    gateway_world world(3);
    REQUIRE(world.start());
    REQUIRE(waitUntil([&] { return eachRegistryHasOneSession(world); }, waitTimeout));
    for (std::uint64_t version = 2; version < 5; ++version) {
        const std::string leader = world.leader();
        REQUIRE_FALSE(leader.empty());
        const std::string route = "v" + std::to_string(version);
        REQUIRE(waitUntil([&] { return world.publish(version, leader, route) == 200; }, waitTimeout));
        const auto acknowledged = buckthornrail::boot_clock::now();
        world.killHard(leader);
        for (const auto& gateway : world.gateways())
            CHECK(waitUntil([&] { return servesRoute(world, gateway, route); }, inForceTimeout));
        INFO("took effect after "
            << std::chrono::duration_cast<milliseconds>(buckthornrail::boot_clock::now() - acknowledged).count()
            << " ms");
        world.startProcess(leader);
        REQUIRE(waitUntil([&] { return world.readVersion(leader) == version; }, waitTimeout));
        REQUIRE(waitUntil([&] { return !world.leader().empty(); }, waitTimeout));
    }
}

TEST_CASE("session spread: a registry that restarts without its data serves what a quorum confirms", "[session_spread]")
{
    gateway_world world(3);
    REQUIRE(world.start());
    REQUIRE(waitUntil([&] { return eachRegistryHasOneSession(world); }, waitTimeout));
    const std::string blank = follower(world);
    const std::string gateway = gatewayInDomainOf(world, blank);
    world.killHard(blank);
    world.loseDisk(blank);
    REQUIRE(world.publish(2, world.leader(), "two") == 200);
    world.startProcess(blank);
    CHECK(waitUntil([&] { return servesRoute(world, gateway, "two"); }, inForceTimeout));
    // The gateway returns to the nearest registry.
    CHECK(waitUntil([&] { return world.sessionCount(blank) == 1; }, waitTimeout));
    CHECK(servesRoute(world, gateway, "two"));
}
