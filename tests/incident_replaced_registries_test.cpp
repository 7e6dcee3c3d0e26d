/// @file
/// @brief Real processes: replaced registries stayed voters, so that the next loss that must be borne left no quorum.
///
/// Two registries were replaced, the successor first, then a disk was lost: no leader was elected again, and the
/// acknowledged document couldn't be read back. A dead voter was removed only from an even number of voters.
#include "support/gateway_cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

using namespace test_support;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };
constexpr seconds exitTimeout { 8 };
constexpr seconds catchUpTime { 4 }; ///< after which a successor must be able to stand in for its predecessor

/// @return the members page of a registry; discarded: no usable response
json membersOf(gateway_cluster& cluster, const std::string& registry)
{
    return json::parse(cluster.callRegistry(registry, "GET", "/members").body, nullptr, false);
}

/// @return number of voters on a registry's status page
std::size_t voterCount(gateway_cluster& cluster, const std::string& registry)
{
    const std::string marker = " voter\n";
    const std::string page = cluster.callRegistry(registry, "GET", "/status").body;
    std::size_t count = 0;
    for (auto found = page.find(marker); found != std::string::npos; found = page.find(marker, found + 1))
        ++count;
    return count;
}

/// Waits until each running registry counts this many voters.
bool awaitVoters(gateway_cluster& cluster, std::size_t count)
{
    return waitUntil(
        [&] {
            return std::all_of(cluster.registries().begin(), cluster.registries().end(),
                [&](const std::string& registry) { return voterCount(cluster, registry) == count; });
        },
        waitTimeout);
}

/// @return a registry that leads or not, as asked for
std::string choose(gateway_cluster& cluster, bool leads)
{
    std::string leader;
    (void)waitUntil([&] { return !(leader = cluster.leader()).empty(); }, waitTimeout);
    if (leads)
        return leader;
    for (const auto& name : cluster.registries()) {
        if (name != leader)
            return name;
    }
    return {};
}

/// Ends a registry for good.
void removeRegistry(gateway_cluster& cluster, const std::string& name, int signal)
{
    cluster.signal(name, signal);
    CHECK(cluster.waitForExit(name, exitTimeout) == (signal == SIGTERM ? 0 : -signal));
    cluster.retireRegistry(name);
}

/// Planned: the successor first, then SIGTERM. Otherwise the registry dies, and its successor starts soon after.
void replaceRegistry(gateway_cluster& cluster, const std::string& name, bool isPlanned)
{
    std::vector<std::string> seeds = cluster.registries();
    if (isPlanned) {
        (void)cluster.addRegistry(seeds);
        std::this_thread::sleep_for(catchUpTime);
        removeRegistry(cluster, name, SIGTERM);
        return;
    }
    removeRegistry(cluster, name, SIGKILL);
    std::this_thread::sleep_for(milliseconds(200));
    (void)cluster.addRegistry(seeds); // the dead one is still listed
    std::this_thread::sleep_for(catchUpTime);
}

bool awaitPublish(gateway_cluster& cluster, std::uint64_t version, const std::string& route)
{
    return waitUntil([&] { return cluster.publishToAny(version, route) == 200; }, waitTimeout);
}

bool awaitReadBack(gateway_cluster& cluster, std::uint64_t version)
{
    return waitUntil(
        [&] {
            return std::all_of(cluster.registries().begin(), cluster.registries().end(),
                [&](const std::string& registry) { return cluster.readVersion(registry) == version; });
        },
        waitTimeout);
}

bool awaitServed(gateway_cluster& cluster, const std::string& route)
{
    return waitUntil(
        [&] {
            return std::all_of(cluster.gateways().begin(), cluster.gateways().end(), [&](const std::string& gateway) {
                static int number = 0;
                const std::string id = "replaced-" + std::to_string(++number);
                return cluster.call(gateway, "GET", "/" + route + "/x", id).status == 200;
            });
        },
        waitTimeout);
}

} // namespace

// Replaced registries stayed voters: the next disk loss that must be borne left no quorum.
TEST_CASE("replaced registries: two are replaced, then a disk is lost right after a change", "[replaced_registries]")
{
    const bool isPlanned = GENERATE(true, false);
    const bool leads = GENERATE(true, false);
    CAPTURE(isPlanned, leads);
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    REQUIRE(awaitVoters(cluster, 3));
    for (int round = 0; round < 2; ++round)
        replaceRegistry(cluster, choose(cluster, leads), isPlanned);
    REQUIRE(awaitPublish(cluster, 10, "kept"));
    const std::string lost = choose(cluster, true);
    cluster.killHard(lost);
    cluster.loseDisk(lost);
    std::this_thread::sleep_for(seconds(1));
    cluster.startProcess(lost);
    CHECK(awaitReadBack(cluster, 10));
    CHECK(awaitPublish(cluster, 11, "next"));
    CHECK(awaitServed(cluster, "next"));
    CHECK(awaitVoters(cluster, 3));
}

// A machine that is replaced as planned stops counting when it is gone: another may be lost in that moment.
TEST_CASE("replaced registries: another dies in the moment in which a planned one has left", "[replaced_registries]")
{
    const bool leads = GENERATE(true, false);
    CAPTURE(leads);
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    REQUIRE(awaitVoters(cluster, 3));
    REQUIRE(awaitPublish(cluster, 10, "kept"));
    const std::string leaving = choose(cluster, leads);
    (void)cluster.addRegistry(cluster.registries());
    std::this_thread::sleep_for(catchUpTime);
    CHECK(voterCount(cluster, cluster.registries().back()) == 4);
    removeRegistry(cluster, leaving, SIGTERM);
    CHECK(cluster.logOf(leaving).find("member_left released=yes") != std::string::npos);
    const std::string dead = cluster.registries().front();
    cluster.killHard(dead);
    cluster.retireRegistry(dead);
    CHECK(awaitReadBack(cluster, 10));
    CHECK(awaitPublish(cluster, 11, "next"));
    CHECK(awaitServed(cluster, "next"));
}

TEST_CASE("replaced registries: five lose two at once, then two disks", "[replaced_registries]")
{
    gateway_cluster cluster(1, 4, 5);
    for (const auto& name : cluster.registries())
        cluster.appendSettings(name, "[registry]\ntolerated_losses = 2\n");
    REQUIRE(cluster.start());
    REQUIRE(awaitVoters(cluster, 5));
    const std::vector<std::string> seeds = cluster.registries();
    for (const std::string& name : { choose(cluster, true), choose(cluster, false) })
        removeRegistry(cluster, name, SIGKILL);
    for (int count = 0; count < 2; ++count)
        (void)cluster.addRegistry(seeds); // by its five seeds it tolerates two losses as well
    std::this_thread::sleep_for(catchUpTime);
    CHECK(awaitVoters(cluster, 5));
    REQUIRE(awaitPublish(cluster, 10, "kept"));
    for (const std::string& name : { choose(cluster, true), choose(cluster, false) }) {
        cluster.killHard(name);
        cluster.loseDisk(name);
        cluster.startProcess(name);
    }
    CHECK(awaitReadBack(cluster, 10));
    CHECK(awaitVoters(cluster, 5));
}

TEST_CASE("replaced registries: none of the first is left, and processes started then know one of them only",
    "[replaced_registries]")
{
    gateway_cluster cluster(2);
    REQUIRE(cluster.start());
    REQUIRE(awaitVoters(cluster, 3));
    for (std::uint64_t round = 0; round < 4; ++round) {
        replaceRegistry(cluster, cluster.registries().front(), round % 2 == 0);
        const std::string route = "round" + std::to_string(round);
        REQUIRE(awaitPublish(cluster, 10 + round, route));
        CHECK(awaitServed(cluster, route));
    }
    CHECK(awaitVoters(cluster, 3));
    CHECK(cluster.registries().front() > "registry-3");
    // A gateway that starts now is told the present registries; all registries crash and come back.
    cluster.setSeeds(cluster.gateways().front(), cluster.registries());
    cluster.killHard(cluster.gateways().front());
    cluster.startProcess(cluster.gateways().front());
    for (const auto& name : cluster.registries())
        cluster.killHard(name);
    for (const auto& name : cluster.registries())
        cluster.startProcess(name);
    CHECK(awaitReadBack(cluster, 13));
    CHECK(awaitServed(cluster, "round3"));
}

TEST_CASE("replaced registries: a voter that was removed while it stood still comes back", "[replaced_registries]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    REQUIRE(awaitVoters(cluster, 3));
    (void)cluster.addRegistry(cluster.registries());
    REQUIRE(awaitVoters(cluster, 4));
    const std::string paused = choose(cluster, false);
    const std::string leader = choose(cluster, true);
    cluster.signal(paused, SIGSTOP);
    CHECK(waitUntil([&] { return voterCount(cluster, leader) == 3; }, waitTimeout));
    // Log lines are written with a delay.
    CHECK(waitUntil([&] { return cluster.logOf(leader).find("because=silent") != std::string::npos; }, waitTimeout));
    cluster.signal(paused, SIGCONT);
    CHECK(awaitVoters(cluster, 4));
    CHECK(awaitPublish(cluster, 10, "after"));
    CHECK(awaitReadBack(cluster, 10));
}

TEST_CASE("replaced registries: a registry that is restarted without a surplus keeps its vote, and exits soon",
    "[replaced_registries]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    REQUIRE(awaitVoters(cluster, 3));
    const std::string restarted = choose(cluster, false);
    cluster.signal(restarted, SIGTERM);
    CHECK(cluster.waitForExit(restarted, milliseconds(2000)) == 0);
    CHECK(voterCount(cluster, choose(cluster, true)) == 3);
    // The operator's view: who is missing, and that no further loss can be borne.
    const std::string leader = choose(cluster, true);
    CHECK(waitUntil([&] { return membersOf(cluster, leader).value("bearable_losses", 1) == 0; }, waitTimeout));
    CHECK(waitUntil([&] { return cluster.logOf(leader).find("E412") != std::string::npos; }, waitTimeout));
    CHECK(cluster.metricsOf(leader).find("buckthornrail_bearable_losses 0") != std::string::npos);
    cluster.startProcess(restarted);
    CHECK(awaitVoters(cluster, 3));
    CHECK(waitUntil([&] { return cluster.logOf(leader).find("E413") != std::string::npos; }, waitTimeout));
}
