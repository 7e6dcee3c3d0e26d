/// @file
/// @brief Machines that are suspended for seconds while their steady clocks stop: after they wake, they don't treat
/// earlier state as current.
#include "buckthornrail/http/http_client.hpp"
#include "support/gateway_cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };
/// Timeouts that expired during the suspension are handled within this time after the machine wakes.
constexpr milliseconds maxWakeDelay { 500 };
/// The caller of a request whose deadline passes waits this much longer than the deadline that it states. The gateway
/// counts the deadline from the request's arrival, so its response comes after the caller's own deadline. The wait
/// ends after the latest time at which the test accepts a response, so that a late response is still received and
/// fails the check of its time.
constexpr milliseconds waitPastDeadline { 2000 };

/// Calls like gateway_cluster::call, but waits longer for the response than the deadline that it states.
int statusOfLateCall(gateway_cluster& cluster, const std::string& gateway, milliseconds deadline)
{
    buckthornrail::http::client_request request;
    request.address = cluster.addressOf(gateway);
    request.method = "POST";
    request.path = "/unsafe/x";
    for (const auto& [name, value] : gateway_cluster::callerFields("held", deadline))
        request.headers.push_back({ name, value });
    request.deadline = buckthornrail::boot_clock::now() + deadline + waitPastDeadline;
    return buckthornrail::http::call(request).status;
}

bool allGatewaysServe(gateway_cluster& cluster)
{
    static int number = 0;
    return std::all_of(cluster.gateways().begin(), cluster.gateways().end(), [&cluster](const auto& gateway) {
        const auto id = "well-" + std::to_string(++number);
        return cluster.call(gateway, "POST", "/stream/n5", id).body == gateway_cluster::streamBody("/stream/n5", 5);
    });
}

} // namespace

TEST_CASE("suspended gateway: a route that was removed during the suspension isn't served afterwards", "[suspended]")
{
    const auto suspension = GENERATE(seconds(2), seconds(5), seconds(20));
    CAPTURE(suspension.count());
    gateway_cluster cluster(2);
    cluster.suspendClocks();
    REQUIRE(cluster.start());
    const std::string gateway = cluster.gateways().front();
    REQUIRE(cluster.publishToAny(2, "extra") == 200);
    REQUIRE(waitUntil([&] { return cluster.call(gateway, "GET", "/extra/x", "before").status == 200; }, waitTimeout));
    cluster.signal(gateway, SIGSTOP);
    std::this_thread::sleep_for(suspension);
    REQUIRE(cluster.publishToAny(3) == 200);
    // In flight when the machine wakes.
    auto inFlight
        = std::async(std::launch::async, [&] { return cluster.call(gateway, "GET", "/extra/x", "early", seconds(4)); });
    std::this_thread::sleep_for(milliseconds(100));
    cluster.signal(gateway, SIGCONT);
    CHECK(inFlight.get().status == 404);
    CHECK(cluster.call(gateway, "GET", "/extra/x", "late").status == 404);
    CHECK(waitUntil([&] { return allGatewaysServe(cluster); }, waitTimeout));
    CHECK(cluster.logOf(gateway).find("E106 process_stood_still") != std::string::npos);
}

TEST_CASE("suspended gateway: a request whose time is over is answered when it wakes", "[suspended]")
{
    gateway_cluster cluster(1);
    cluster.suspendClocks();
    REQUIRE(cluster.start());
    const std::string gateway = cluster.gateways().front();
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setUnresponsive(target, true);
    using clock = std::chrono::steady_clock;
    auto held = std::async(std::launch::async, [&] {
        const int status = statusOfLateCall(cluster, gateway, seconds(4));
        return std::pair(status, clock::now());
    });
    std::this_thread::sleep_for(milliseconds(300));
    cluster.signal(gateway, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(3600)); // the deadline of 4 s passes soon afterwards
    cluster.signal(gateway, SIGCONT);
    const auto wokenAt = clock::now();
    const auto [status, at] = held.get();
    CHECK(status == 504);
    CHECK(at - wokenAt < milliseconds(400) + maxWakeDelay);
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setUnresponsive(target, false);
    CHECK(waitUntil([&] { return allGatewaysServe(cluster); }, waitTimeout));
}

TEST_CASE("suspended registry: it returns no outdated version, and the others continue without it", "[suspended]")
{
    const auto suspension = GENERATE(seconds(2), seconds(5), seconds(20));
    const bool isLeader = GENERATE(true, false);
    CAPTURE(suspension.count(), isLeader);
    gateway_cluster cluster(2);
    cluster.suspendClocks();
    REQUIRE(cluster.start());
    const std::string leader = cluster.leader();
    std::string suspended = leader;
    for (const auto& name : cluster.registries()) {
        if (!isLeader && name != leader)
            suspended = name;
    }
    cluster.signal(suspended, SIGSTOP);
    REQUIRE(waitUntil(
        [&] {
            return std::any_of(cluster.registries().begin(), cluster.registries().end(),
                [&](const auto& name) { return name != suspended && cluster.publish(7, name) == 200; });
        },
        waitTimeout));
    std::this_thread::sleep_for(suspension);
    auto inFlight = std::async(std::launch::async, [&] { return cluster.readVersion(suspended); });
    std::this_thread::sleep_for(milliseconds(100));
    cluster.signal(suspended, SIGCONT);
    const auto read = inFlight.get();
    CHECK((!read || *read == 7U)); // none: it refuses with 503 when it can't confirm its version
    for (int at = 0; at < 20; ++at) {
        const auto again = cluster.readVersion(suspended);
        CHECK((!again || *again == 7U));
    }
    CHECK(waitUntil([&] { return cluster.readVersion(suspended) == 7U; }, waitTimeout));
    CHECK(waitUntil([&] { return allGatewaysServe(cluster); }, waitTimeout));
    // It must not consider instances lost because it received nothing itself.
    CHECK(cluster.logOf(suspended).find("E601 instance_lost") == std::string::npos);
}
