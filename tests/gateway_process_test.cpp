/// @file
/// @brief Gateways and registries as real processes: requests are served, and the guarantees hold under single faults.
#include "support/gateway_cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };

/// How often targets have executed a request.
std::size_t executionCount(gateway_cluster& cluster, const std::string& requestId)
{
    std::size_t count = 0;
    for (const auto& run : cluster.fleet().runs())
        count += run.requestId == requestId ? 1 : 0;
    return count;
}

bool respondsWith(gateway_cluster& cluster, const std::string& gateway, const std::string& route, int status)
{
    static std::size_t number = 0;
    const std::string id = "probe-" + std::to_string(++number);
    return cluster.call(gateway, "GET", "/" + route + "/x", id).status == status;
}

} // namespace

TEST_CASE("gateway: streams and plain requests are served, and new documents take effect", "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    for (const auto& gateway : cluster.gateways()) {
        INFO(gateway);
        const auto stream = cluster.call(gateway, "POST", "/stream/n20", "s-" + gateway);
        CHECK(stream.status == 200);
        CHECK(stream.isComplete);
        CHECK(stream.body == gateway_cluster::streamBody("/stream/n20", 20));
        CHECK(stream.serverStamp.starts_with("stamp.i-"));
        const auto plain = cluster.call(gateway, "POST", "/unsafe/a?b=c", "u-" + gateway);
        CHECK(plain.status == 200);
        CHECK(plain.body == stand_in_fleet::plainBody("/unsafe/a?b=c"));
        CHECK(executionCount(cluster, "u-" + gateway) == 1);
        CHECK(cluster.call(gateway, "GET", "/nowhere/x", "n-" + gateway).status == 404);
        CHECK(cluster.call(gateway, "GET", "/safe/x", "k-" + gateway, seconds(5), "wrong").status == 401);
        CHECK(executionCount(cluster, "k-" + gateway) == 0);
        CHECK(cluster.readyStatus(gateway) == 200);
    }
    for (const auto& run : cluster.fleet().runs())
        CHECK(run.workspace == "w1");

    // A newer document takes effect on every gateway, an older one has no effect, and a conflicting one is refused.
    REQUIRE(cluster.publish(5, cluster.registries()[1], "added") == 200);
    for (const auto& gateway : cluster.gateways())
        CHECK(waitUntil([&] { return respondsWith(cluster, gateway, "added", 200); }, seconds(2)));
    CHECK(cluster.publish(4, cluster.registries()[2]) == 200);
    CHECK(cluster.publish(5, cluster.registries()[0], "other") == 409);
    CHECK(cluster.publish(5, cluster.registries()[0], "added") == 200);
    for (const auto& registry : cluster.registries())
        CHECK(cluster.readVersion(registry) == 5U);
    CHECK(respondsWith(cluster, cluster.gateways()[0], "added", 200));
}

TEST_CASE("gateway: streams continue when a target crashes or stops responding", "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    for (const bool silent : { false, true }) {
        std::vector<caller_response> results(8);
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < results.size(); ++index) {
            callers.emplace_back([&, index] {
                const std::string id = "long-" + std::to_string(silent) + std::to_string(index);
                results[index] = cluster.call(cluster.gateways()[index % 2], "POST", "/stream/n150", id, seconds(8));
            });
        }
        std::this_thread::sleep_for(milliseconds(400));
        // A member of a chain in the failure domain of the first gateway.
        const std::size_t failedTarget = cluster.engines()[silent ? 5 : 1];
        if (silent)
            cluster.fleet().setUnresponsive(failedTarget, true);
        else
            cluster.fleet().kill(failedTarget);
        for (auto& caller : callers)
            caller.join();
        for (const auto& result : results) {
            INFO((silent ? "silent" : "crashed"));
            CHECK(result.status == 200);
            CHECK(result.isComplete);
            CHECK(result.body == gateway_cluster::streamBody("/stream/n150", 150));
        }
        cluster.fleet().restart(failedTarget);
        CHECK(waitUntil([&] { return cluster.fleet().hasChain("d1") && cluster.fleet().hasChain("d2"); }, waitTimeout));
    }
}

TEST_CASE("gateway: with a faulty service, callers get only their own complete responses, unsafe ones run once at most",
    "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setFaults(target, { 0.1, 0.1, 0.1, 0.1, 1 });
    for (int number = 0; number < 150; ++number) {
        const std::string path = (number % 2 == 0 ? "/unsafe/" : "/safe/") + std::to_string(number);
        const std::string id = "f-" + std::to_string(number);
        const auto response = cluster.call(cluster.gateways()[number % 2], "POST", path, id);
        const std::size_t runs = executionCount(cluster, id);
        INFO(path << " status " << response.status << " runs " << runs);
        CHECK(response.status != 0);
        if (response.status == 200)
            CHECK(response.body == stand_in_fleet::plainBody(path));
        if (response.status == 503)
            CHECK(runs == 0);
        if (number % 2 == 0)
            CHECK(runs <= 1);
    }
}

TEST_CASE("gateway: SIGTERM aborts no request, and readiness fails at once", "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    const std::string gateway = cluster.gateways()[0];
    std::vector<caller_response> results(6);
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < results.size(); ++index) {
        callers.emplace_back([&, index] {
            results[index] = cluster.call(gateway, "POST", "/stream/n200", "t-" + std::to_string(index), seconds(8));
        });
    }
    std::this_thread::sleep_for(milliseconds(300));
    cluster.signal(gateway, SIGTERM);
    CHECK(waitUntil([&] { return cluster.readyStatus(gateway) == 503; }, milliseconds(500)));
    for (auto& caller : callers)
        caller.join();
    for (const auto& result : results) {
        CHECK(result.status == 200);
        CHECK(result.body == gateway_cluster::streamBody("/stream/n200", 200));
    }
    CHECK(cluster.waitForExit(gateway, seconds(9)) == 0);
}

TEST_CASE("gateway: the only gateway, when it is shutting down, refuses callers with a time to retry after its restart",
    "[gateway_process]")
{
    constexpr double minRetryAfter = 0.5; // s; less would suit only while another gateway can serve at once
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const std::string gateway = cluster.gateways()[0];
    std::thread longCall([&] { cluster.call(gateway, "POST", "/stream/n900", "long", seconds(9)); });
    std::this_thread::sleep_for(milliseconds(300));
    cluster.signal(gateway, SIGTERM);
    caller_response refused;
    int number = 0;
    CHECK(waitUntil(
        [&] {
            refused = cluster.call(gateway, "POST", "/stream/n2", "late-" + std::to_string(++number), seconds(2));
            return refused.status == 503;
        },
        seconds(6)));
    REQUIRE_FALSE(refused.retryAfter.empty());
    CHECK(std::stod(refused.retryAfter) >= minRetryAfter);
    longCall.join();
    CHECK(cluster.waitForExit(gateway, seconds(9)) == 0);
}

TEST_CASE("registry: acknowledged changes survive the loss of the leader, of a disk, and of all processes",
    "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    std::uint64_t version = 10;
    const auto publishes = [&] { return cluster.publishToAny(version, "v" + std::to_string(version)) == 200; };
    const auto isInEffectEverywhere = [&] {
        for (const auto& gateway : cluster.gateways()) {
            if (!respondsWith(cluster, gateway, "v" + std::to_string(version), 200))
                return false;
        }
        return true;
    };
    const std::string first = cluster.leader();
    REQUIRE_FALSE(first.empty());
    REQUIRE(publishes());
    cluster.killHard(first);
    ++version;
    CHECK(waitUntil(publishes, waitTimeout));
    CHECK(waitUntil(isInEffectEverywhere, waitTimeout));
    cluster.startProcess(first);
    CHECK(waitUntil([&] { return cluster.readVersion(first) == version; }, waitTimeout));

    const std::string second = cluster.leader();
    REQUIRE_FALSE(second.empty());
    cluster.killHard(second);
    cluster.loseDisk(second);
    cluster.startProcess(second);
    CHECK(waitUntil([&] { return cluster.readVersion(second) == version; }, waitTimeout));

    for (const auto& name : cluster.registries())
        cluster.killHard(name);
    // Gateways keep serving without registries.
    CHECK(respondsWith(cluster, cluster.gateways()[0], "v" + std::to_string(version), 200));
    for (const auto& name : cluster.registries())
        cluster.startProcess(name);
    for (const auto& name : cluster.registries())
        CHECK(waitUntil([&] { return cluster.readVersion(name) == version; }, waitTimeout));
    ++version;
    CHECK(waitUntil(publishes, waitTimeout));
    CHECK(waitUntil(isInEffectEverywhere, waitTimeout));
}

TEST_CASE("registry: a draining target gets no new requests once the drain is acknowledged", "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    const std::size_t leaving = cluster.plainTargets()[0];
    cluster.fleet().drain(leaving);
    REQUIRE(waitUntil([&] { return cluster.fleet().isDrainAcknowledged(leaving); }, waitTimeout));
    std::this_thread::sleep_for(milliseconds(500));
    for (int number = 0; number < 60; ++number) {
        const auto response
            = cluster.call(cluster.gateways()[number % 2], "POST", "/unsafe/d", "d-" + std::to_string(number));
        CHECK(response.status == 200);
    }
    const std::string id = "i-" + std::to_string(leaving) + "-";
    for (const auto& run : cluster.fleet().runs()) {
        if (run.requestId.starts_with("d-"))
            CHECK_FALSE(run.target.starts_with(id));
    }
}

TEST_CASE("registry: a member with an empty disk joins although the leader isn't in its settings", "[gateway_process]")
{
    gateway_cluster cluster(1, 4, 5);
    REQUIRE(cluster.start());
    const auto isConfigured
        = [&](const std::string& name) { return name != cluster.registries()[3] && name != cluster.registries()[4]; };
    std::string leader = cluster.leader();
    for (int round = 0; round < 30 && (leader.empty() || isConfigured(leader)); ++round) {
        if (!leader.empty()) {
            cluster.killHard(leader);
            REQUIRE(waitUntil([&] { return !cluster.leader().empty(); }, waitTimeout));
            cluster.startProcess(leader);
            REQUIRE(waitUntil([&] { return cluster.readVersion(leader) == 1U; }, waitTimeout));
        }
        leader = cluster.leader();
    }
    REQUIRE_FALSE(isConfigured(leader));
    const std::string blank = cluster.registries()[1];
    cluster.killHard(blank);
    cluster.loseDisk(blank);
    cluster.startProcess(blank);
    CHECK(waitUntil([&] { return cluster.readVersion(blank) == 1U; }, waitTimeout));
}

TEST_CASE("registry: without a known leader it refuses announcements", "[gateway_process]")
{
    gateway_cluster cluster;
    cluster.loseDisk(cluster.registries()[1]); // so that it doesn't bootstrap a log of its own
    cluster.startProcess(cluster.registries()[1]);
    REQUIRE(waitUntil([&] { return cluster.announceUnreachableTarget(cluster.registries()[1]) != 0; }, waitTimeout));
    CHECK(cluster.announceUnreachableTarget(cluster.registries()[1]) == 503);
}

TEST_CASE("registry: a target that stops announcing itself but answers probes is not lost", "[gateway_process]")
{
    gateway_cluster cluster;
    REQUIRE(cluster.start());
    const std::size_t unannounced = cluster.plainTargets()[0];
    const std::size_t unresponsive = cluster.plainTargets()[1];
    const std::string leader = cluster.leader();
    cluster.fleet().setAnnouncing(unannounced, false);
    cluster.fleet().setUnresponsive(unresponsive, true);
    CHECK(waitUntil(
        [&] { return cluster.targetState(leader, cluster.fleet().idOf(unresponsive)) == "lost"; }, waitTimeout));
    std::this_thread::sleep_for(seconds(2));
    CHECK(cluster.targetState(leader, cluster.fleet().idOf(unannounced)) == "ready");
}

TEST_CASE("gateway: SIGHUP reloads the settings and aborts no request", "[gateway_process]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const std::string gateway = cluster.gateways()[0];
    caller_response result;
    std::thread caller([&] { result = cluster.call(gateway, "POST", "/stream/n100", "h-1"); });
    std::this_thread::sleep_for(milliseconds(200));
    cluster.signal(gateway, SIGHUP);
    cluster.signal(cluster.registries()[0], SIGHUP);
    caller.join();
    CHECK(result.body == gateway_cluster::streamBody("/stream/n100", 100));
    CHECK(
        waitUntil([&] { return cluster.logOf(gateway).find("settings_reloaded") != std::string::npos; }, waitTimeout));
}

// Guards against requests that stay queued, or get no response, when their service is no longer ranked, and against
// waits that operators can't see.
TEST_CASE("gateway: turning admission off at run time decides about all queued requests", "[gateway_process]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const std::string gateway = cluster.gateways()[0];
    document_options options;
    options.streamRoutes = { { "urgent", 0, seconds(4) }, { "batch", 2, seconds(4) } };
    options.tokenBytes = 5'000'000; // an engine has memory for some 50 tokens
    REQUIRE(cluster.publish(101, cluster.registries()[0], options) == 200);
    const auto pageHas = [&](const std::string& part) {
        return cluster.healthPage(gateway, "/admission").find(part) != std::string::npos;
    };
    REQUIRE(waitUntil([&] { return pageHas("\"priority\":1"); }, waitTimeout));
    std::vector<caller_response> results(100);
    std::size_t lastId = 0;
    const auto startCallers = [&](const std::string& path) {
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < results.size(); ++index) {
            callers.emplace_back([&, path, index, id = "batch-" + std::to_string(++lastId)] {
                results[index] = cluster.call(gateway, "POST", path, id, seconds(8));
            });
        }
        return callers;
    };
    // Short streams: queued requests start when others end.
    for (auto& caller : startCallers("/batch/n30"))
        caller.join();
    const std::string metrics = cluster.healthPage(gateway, "/metrics");
    CHECK(metrics.find("buckthornrail_admission_waiting 0") != std::string::npos);
    CHECK(metrics.find("buckthornrail_admission_wait_ms_count") != std::string::npos);

    auto callers = startCallers("/batch/n300");
    const bool isQueued = waitUntil([&] { return pageHas("\"request\":\"batch-"); }, seconds(3));
    cluster.appendSettings(gateway, "[admission]\nmode = off\n");
    cluster.signal(gateway, SIGHUP);
    const bool isEmpty = waitUntil([&] { return pageHas("\"mode\":\"off\"") && pageHas("\"queued\":[]"); }, seconds(1));
    for (auto& caller : callers)
        caller.join();
    CHECK(isQueued);
    CHECK(isEmpty);
    std::size_t served = 0;
    for (const auto& result : results) {
        CHECK((result.status == 200 || result.status == 503));
        served += result.status == 200 && result.isComplete ? 1 : 0;
    }
    CHECK(served > 0);
}

TEST_CASE("gateway: changes in quick succession reach gateways without ending their sessions", "[gateway_process]")
{
    constexpr std::uint64_t changes = 120;
    gateway_cluster cluster(4);
    REQUIRE(cluster.start());
    const std::string leader = cluster.leader();
    REQUIRE_FALSE(leader.empty());
    cluster.linkRelay(leader).setMode(relay_mode::Slow); // so that heartbeats and changes cross in flight
    std::uint64_t last = 100;
    for (std::uint64_t change = 1; change <= changes; ++change) {
        if (cluster.publish(last + 1, leader, "storm" + std::to_string(change)) == 200)
            ++last;
    }
    const std::string newest = "storm" + std::to_string(last - 100);
    for (const auto& gateway : cluster.gateways()) {
        CHECK(waitUntil([&] { return respondsWith(cluster, gateway, newest, 200); }, waitTimeout));
        // A change whose base is not the version that the gateway has would end its session.
        CHECK(cluster.logOf(gateway).find("E608 session_lost") == std::string::npos);
    }
}
