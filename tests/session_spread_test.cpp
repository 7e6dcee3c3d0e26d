/// @file
/// @brief Gateway sessions and target heartbeats are spread over all registries.
///
/// Guards against a leader whose load grows with the fleet: gateways disconnected from every registry but the leader,
/// and heartbeats were redirected to the leader's address. With 2,997 targets on 293 machines the leader of five
/// registries had 4,865 connections, more than the 4,096 that a machine allows, moved 1,500 KB/s and used 64% of its
/// processor; the median registry used 9%.
#include "support/gateway_cluster.hpp"

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
constexpr milliseconds inEffectTimeout { 2000 };

bool servesRoute(gateway_cluster& cluster, const std::string& gateway, const std::string& route)
{
    static int calls = 0;
    return cluster.call(gateway, "GET", "/" + route + "/x", "spread-" + std::to_string(++calls)).status == 200;
}

bool eachRegistryHasOneSession(gateway_cluster& cluster)
{
    const auto& all = cluster.registries();
    return std::all_of(
        all.begin(), all.end(), [&cluster](const auto& name) { return cluster.sessionCount(name) == 1; });
}

/// @return a registry that is not the leader
std::string follower(gateway_cluster& cluster)
{
    const std::string leader = cluster.leader();
    for (const auto& name : cluster.registries()) {
        if (name != leader)
            return name;
    }
    return {};
}

/// @return the gateway in a registry's failure domain
std::string gatewayInDomainOf(gateway_cluster& cluster, const std::string& registry)
{
    const auto& all = cluster.registries();
    return cluster
        .gateways()[static_cast<std::size_t>(std::distance(all.begin(), std::find(all.begin(), all.end(), registry)))];
}

} // namespace

TEST_CASE("session spread: each registry has the sessions of its own failure domain", "[session_spread]")
{
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    CHECK(waitUntil([&] { return eachRegistryHasOneSession(cluster); }, waitTimeout));
}

TEST_CASE("session spread: targets are directed to the registry of their own failure domain", "[session_spread]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    for (std::size_t domain = 0; domain < 3; ++domain) {
        const std::string record = R"({"service":"app","address":"127.0.0.1:9","zone":"d)" + std::to_string(domain + 1)
            + R"(","state":"ready","seq":1})";
        const std::string nearest = cluster.addressOf(cluster.registries()[domain]);
        for (const auto& registry : cluster.registries())
            CHECK(waitUntil(
                [&] { return cluster.responseToRecord(registry, "i-far", record).find(nearest) != std::string::npos; },
                waitTimeout));
    }
}

TEST_CASE("session spread: a gateway disconnects from a silent registry and misses no change", "[session_spread]")
{
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    REQUIRE(waitUntil([&] { return eachRegistryHasOneSession(cluster); }, waitTimeout));
    const std::string silent = follower(cluster);
    const std::string gateway = gatewayInDomainOf(cluster, silent);
    const std::string leader = cluster.leader();
    SECTION("paused") { cluster.signal(silent, SIGSTOP); }
    SECTION("its links are cut, and it considers its state current") { cluster.linkRelay(silent).setSilent(true); }
    SECTION("it receives nothing, but its messages arrive")
    {
        cluster.linkRelay(silent).setMode(relay_mode::DownstreamOnly);
    }
    REQUIRE(cluster.publish(2, leader, "two") == 200);
    CHECK(waitUntil([&] { return servesRoute(cluster, gateway, "two"); }, inEffectTimeout));
    cluster.signal(silent, SIGCONT);
    cluster.linkRelay(silent).setMode(relay_mode::Pass);
    REQUIRE(waitUntil([&] { return cluster.readVersion(silent) == 2U; }, waitTimeout));
    REQUIRE(cluster.publish(3, silent, "three") == 200);
    for (const auto& name : cluster.gateways())
        CHECK(waitUntil([&] { return servesRoute(cluster, name, "three"); }, inEffectTimeout));
}

TEST_CASE("session spread: an acknowledged change takes effect in time although the leader crashes", "[session_spread]")
{
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    REQUIRE(waitUntil([&] { return eachRegistryHasOneSession(cluster); }, waitTimeout));
    for (std::uint64_t version = 2; version < 5; ++version) {
        const std::string leader = cluster.leader();
        REQUIRE_FALSE(leader.empty());
        const std::string route = "v" + std::to_string(version);
        REQUIRE(waitUntil([&] { return cluster.publish(version, leader, route) == 200; }, waitTimeout));
        const auto acknowledged = buckthornrail::boot_clock::now();
        cluster.killHard(leader);
        for (const auto& gateway : cluster.gateways())
            CHECK(waitUntil([&] { return servesRoute(cluster, gateway, route); }, inEffectTimeout));
        INFO("took effect after "
            << std::chrono::duration_cast<milliseconds>(buckthornrail::boot_clock::now() - acknowledged).count()
            << " ms");
        cluster.startProcess(leader);
        REQUIRE(waitUntil([&] { return cluster.readVersion(leader) == version; }, waitTimeout));
        REQUIRE(waitUntil([&] { return !cluster.leader().empty(); }, waitTimeout));
    }
}

TEST_CASE("session spread: a registry that restarts without its data serves what a quorum confirms", "[session_spread]")
{
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    REQUIRE(waitUntil([&] { return eachRegistryHasOneSession(cluster); }, waitTimeout));
    const std::string blank = follower(cluster);
    const std::string gateway = gatewayInDomainOf(cluster, blank);
    cluster.killHard(blank);
    cluster.loseDisk(blank);
    REQUIRE(cluster.publish(2, cluster.leader(), "two") == 200);
    cluster.startProcess(blank);
    CHECK(waitUntil([&] { return servesRoute(cluster, gateway, "two"); }, inEffectTimeout));
    // The gateway returns to the nearest registry.
    CHECK(waitUntil([&] { return cluster.sessionCount(blank) == 1; }, waitTimeout));
    CHECK(servesRoute(cluster, gateway, "two"));
}
