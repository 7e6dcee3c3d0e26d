/// @file
/// @brief A disk is lost right after a change was acknowledged, while all other machines are killed: over real
/// processes.
#include "support/gateway_world.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace test_support;
using std::chrono::seconds;

namespace {

constexpr seconds patience { 20 };

/// Ends everything at one moment, and waits until it is gone.
void killAll(gateway_world& world)
{
    for (const auto& kind : { world.registries(), world.gateways() }) {
        for (const auto& name : kind)
            world.signal(name, SIGKILL);
    }
    for (const auto& kind : { world.registries(), world.gateways() }) {
        for (const auto& name : kind)
            (void)world.waitForExit(name, seconds(5));
    }
}

void startAll(gateway_world& world)
{
    for (const auto& kind : { world.registries(), world.gateways() }) {
        for (const auto& name : kind)
            world.startProcess(name);
    }
}

} // namespace

TEST_CASE("lost disk: what was acknowledged is read back, and served, by all", "[lost_disk]")
{
    const std::size_t lost = GENERATE(0U, 1U, 2U);
    CAPTURE(lost);
    gateway_world world(3);
    REQUIRE(world.start());
    // The first time the loser leads, or not, as it comes; the second loss follows right after the repair of the first.
    for (std::uint64_t time = 0; time < 2; ++time) {
        const std::uint64_t version = 10 + time;
        const std::string route = "extra" + std::to_string(time);
        REQUIRE(waitUntil([&] { return world.publishAnywhere(version, route) == 200; }, patience));
        killAll(world);
        world.loseDisk(world.registries()[(lost + time) % world.registries().size()]);
        startAll(world);
        const auto readsBack = [&] {
            return std::all_of(world.registries().begin(), world.registries().end(),
                [&](const auto& name) { return world.readVersion(name) == version; });
        };
        CHECK(waitUntil(readsBack, patience));
        const auto isServed = [&] {
            return std::all_of(world.gateways().begin(), world.gateways().end(), [&](const auto& gateway) {
                static int number = 0;
                const std::string id = "served-" + std::to_string(++number);
                return world.call(gateway, "GET", "/" + route + "/x", id).status == 200;
            });
        };
        CHECK(waitUntil(isServed, patience));
    }
}
