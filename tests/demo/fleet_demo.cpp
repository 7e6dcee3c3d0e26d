/// @file
/// @brief Shows gateways and registries at work: real processes on loopback before stand-in targets that hold layers.
///
/// Streams answers, kills a target in mid-stream and the registry that leads, publishes a change, restarts a gateway
/// under a stream, and leaves the processes' logs for `ctl explain`. Any promise that isn't kept fails the program.
#include "support/gateway_world.hpp"

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

constexpr seconds patience { 15 };
constexpr std::uint64_t events = 100; ///< of a stream: about a second

/// @brief Ends the demo unless something holds.
void require(bool holds, const std::string& what)
{
    if (holds)
        return;
    std::cerr << "fleet_demo: " << what << "\n";
    std::exit(EXIT_FAILURE);
}

std::string streamPath() { return "/stream/n" + std::to_string(events); }

/// @brief A stream that is under way.
std::future<caller_response> beginStream(gateway_world& world, const std::string& gateway, const std::string& id)
{
    return std::async(
        std::launch::async, [&world, gateway, id] { return world.call(gateway, "POST", streamPath(), id, patience); });
}

void showWhole(const std::string& id, const caller_response& answer)
{
    require(answer.body == gateway_world::streamBody(streamPath(), events), id + " did not get its whole answer");
    std::cout << "  " << id << ": " << events << " events, each once and in order\n";
}

void showSessions(gateway_world& world)
{
    std::cout << "  leader " << world.leader() << "; sessions";
    for (const auto& name : world.registries())
        std::cout << "  " << name << " " << world.sessionCount(name);
    std::cout << "\n";
}

/// @brief Kills a target that a stream runs on, once its path is chosen.
void killUnder(gateway_world& world, const std::string& gateway, const std::string& id)
{
    const auto pathOf = [&] {
        const std::string log = world.logOf(gateway);
        const auto line = log.find("request=" + id + " ");
        const auto chosen = log.find("chosen=", line);
        return line == std::string::npos ? std::string() : log.substr(chosen, log.find(' ', chosen) - chosen);
    };
    require(waitUntil([&] { return !pathOf().empty(); }, seconds(2)), "no path was chosen for " + id);
    const std::string path = pathOf();
    const auto member = std::find_if(world.engines().begin(), world.engines().end(),
        [&](std::size_t engine) { return path.find(world.fleet().idOf(engine) + "=") != std::string::npos; });
    require(member != world.engines().end(), "no target of the path is known: " + path);
    std::cout << "  target " << world.fleet().idOf(*member) << " is killed\n";
    world.fleet().kill(*member);
}

} // namespace

int main()
{
    gateway_world world(3);
    const auto begun = std::chrono::steady_clock::now();
    require(world.start(), "the fleet did not start");
    std::cout
        << "== three registries, three gateways, 12 targets with layers in three failure domains, a plain service\n";
    const auto isSpread = [&world] {
        return std::all_of(world.registries().begin(), world.registries().end(),
            [&world](const auto& name) { return world.sessionCount(name) == 1; });
    };
    require(waitUntil(isSpread, patience), "sessions did not spread over the registries");
    showSessions(world);

    std::cout << "== an answer through each gateway\n";
    for (const auto& gateway : world.gateways())
        showWhole("demo-" + gateway, world.call(gateway, "POST", streamPath(), "demo-" + gateway, patience));

    std::cout << "== a target is killed under a stream\n";
    auto stream = beginStream(world, world.gateways()[0], "demo-target-killed");
    killUnder(world, world.gateways()[0], "demo-target-killed");
    showWhole("demo-target-killed", stream.get());

    std::cout << "== the leader is killed under a stream, and a change is published\n";
    stream = beginStream(world, world.gateways()[1], "demo-leader-killed");
    const std::string leader = world.leader();
    world.killHard(leader);
    require(waitUntil([&] { return world.publishToAny(2, "changed") == 200; }, patience), "no registry took a change");
    for (const auto& gateway : world.gateways()) {
        const std::string id = "demo-changed-" + gateway;
        require(waitUntil([&] { return world.call(gateway, "GET", "/changed/x", id).status == 200; }, seconds(2)),
            "the change is not in force at " + gateway);
    }
    std::cout << "  acknowledged, and in force at all gateways\n";
    showWhole("demo-leader-killed", stream.get());
    world.startProcess(leader);
    require(waitUntil([&] { return world.readVersion(leader) == 2U; }, patience), leader + " did not catch up");
    showSessions(world);

    std::cout << "== a gateway is restarted under a stream\n";
    const std::string gateway = world.gateways()[2];
    stream = beginStream(world, gateway, "demo-gateway-restarted");
    std::this_thread::sleep_for(milliseconds(200));
    world.signal(gateway, SIGTERM);
    showWhole("demo-gateway-restarted", stream.get());
    require(world.waitForExit(gateway, seconds(9)) == 0, gateway + " did not end in good order");
    world.startProcess(gateway);
    require(waitUntil([&] { return world.readyStatus(gateway) == 200; }, patience), gateway + " did not come back");

    std::this_thread::sleep_for(milliseconds(200)); // logs are written each 100 ms
    std::cout << "took " << std::chrono::duration_cast<seconds>(std::chrono::steady_clock::now() - begun).count()
              << " s\n"
              << "logs: " << world.keepFolder() << std::endl;
    return EXIT_SUCCESS;
}
