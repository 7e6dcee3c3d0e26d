/// @file
/// @brief Machines that are suspended for seconds, while their steady clocks stand still: what they knew before is not
/// taken for fresh when they wake.
#include "support/gateway_world.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };
/// Whatever was due while the machine was suspended is found so soon after it wakes.
constexpr milliseconds maxWakeDelay { 500 };

bool allGatewaysServe(gateway_world& world)
{
    static int number = 0;
    return std::all_of(world.gateways().begin(), world.gateways().end(), [&world](const auto& gateway) {
        const auto id = "well-" + std::to_string(++number);
        return world.call(gateway, "POST", "/stream/n5", id).body == gateway_world::streamBody("/stream/n5", 5);
    });
}

} // namespace

TEST_CASE("suspended gateway: a route that was removed meanwhile isn't served when it wakes", "[suspended]")
{
    const auto suspension = GENERATE(seconds(2), seconds(5), seconds(20));
    CAPTURE(suspension.count());
    gateway_world world(2);
    world.suspendClocks();
    REQUIRE(world.start());
    const std::string gateway = world.gateways().front();
    REQUIRE(world.publishAnywhere(2, "extra") == 200);
    REQUIRE(waitUntil([&] { return world.call(gateway, "GET", "/extra/x", "before").status == 200; }, waitTimeout));
    world.signal(gateway, SIGSTOP);
    std::this_thread::sleep_for(suspension);
    REQUIRE(world.publishAnywhere(3) == 200);
    // On its way when the machine wakes.
    auto inFlight
        = std::async(std::launch::async, [&] { return world.call(gateway, "GET", "/extra/x", "early", seconds(4)); });
    std::this_thread::sleep_for(milliseconds(100));
    world.signal(gateway, SIGCONT);
    CHECK(inFlight.get().status == 404);
    CHECK(world.call(gateway, "GET", "/extra/x", "late").status == 404);
    CHECK(waitUntil([&] { return allGatewaysServe(world); }, waitTimeout));
    CHECK(world.logOf(gateway).find("E106 process_stood_still") != std::string::npos);
}

TEST_CASE("suspended gateway: a request whose time is over is answered when it wakes", "[suspended]")
{
    gateway_world world(1);
    world.suspendClocks();
    REQUIRE(world.start());
    const std::string gateway = world.gateways().front();
    for (const auto target : world.plainTargets())
        world.fleet().setFrozen(target, true);
    using clock = std::chrono::steady_clock;
    auto held = std::async(std::launch::async, [&] {
        const auto answer = world.call(gateway, "POST", "/unsafe/x", "held", seconds(4));
        return std::pair(answer.status, clock::now());
    });
    std::this_thread::sleep_for(milliseconds(300));
    world.signal(gateway, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(3600)); // the 4 s are over soon
    world.signal(gateway, SIGCONT);
    const auto wokenAt = clock::now();
    const auto [status, at] = held.get();
    CHECK(status == 504);
    CHECK(at - wokenAt < milliseconds(400) + maxWakeDelay);
    for (const auto target : world.plainTargets())
        world.fleet().setFrozen(target, false);
    CHECK(waitUntil([&] { return allGatewaysServe(world); }, waitTimeout));
}

TEST_CASE("suspended registry: it reads nothing old back, and the others go on without it", "[suspended]")
{
    const auto suspension = GENERATE(seconds(2), seconds(5), seconds(20));
    const bool isLeader = GENERATE(true, false);
    CAPTURE(suspension.count(), isLeader);
    gateway_world world(2);
    world.suspendClocks();
    REQUIRE(world.start());
    const std::string leader = world.leader();
    std::string suspended = leader;
    for (const auto& name : world.registries()) {
        if (!isLeader && name != leader)
            suspended = name;
    }
    world.signal(suspended, SIGSTOP);
    REQUIRE(waitUntil(
        [&] {
            return std::any_of(world.registries().begin(), world.registries().end(),
                [&](const auto& name) { return name != suspended && world.publish(7, name) == 200; });
        },
        waitTimeout));
    std::this_thread::sleep_for(suspension);
    auto inFlight = std::async(std::launch::async, [&] { return world.readVersion(suspended); });
    std::this_thread::sleep_for(milliseconds(100));
    world.signal(suspended, SIGCONT);
    const auto read = inFlight.get();
    CHECK((!read || *read == 7U)); // 503: it can't be sure
    for (int at = 0; at < 20; ++at) {
        const auto again = world.readVersion(suspended);
        CHECK((!again || *again == 7U));
    }
    CHECK(waitUntil([&] { return world.readVersion(suspended) == 7U; }, waitTimeout));
    CHECK(waitUntil([&] { return allGatewaysServe(world); }, waitTimeout));
    // Nobody passes for lost because one of the registries heard nothing.
    CHECK(world.logOf(suspended).find("E601 instance_lost") == std::string::npos);
}
