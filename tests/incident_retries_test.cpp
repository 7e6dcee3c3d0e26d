/// @file
/// @brief Incident: more retries than the budget allows after gateways were killed and the leader changed.
///
/// Targets got 391 retries within 10 s for 825 requests; 367 were allowed. Each gateway uses its share of the slack,
/// and the shares added up to more than the slack for two reasons: a restarted gateway didn't know what its earlier
/// process had spent and began with a full share, and a new leader reported to the first gateways that connected that
/// few share the budget. That these two caused the incident is inferred from its times, not traced. In the half second
/// in which gateways found the new leader, one request was sent six times to the same full target.
#include "buckthornrail/gateway/shared_retry_budget.hpp"
#include "support/gateway_cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };

/// Requests that arrived at targets, without the first arrival of each request id.
std::size_t retryCount(gateway_cluster& cluster)
{
    const auto arrivals = cluster.fleet().arrivals();
    const std::set<std::string> requests(arrivals.begin(), arrivals.end());
    return arrivals.size() - requests.size();
}

} // namespace

TEST_CASE("retries: a lower number of gateways doesn't release what others have spent", "[incident]")
{
    using namespace buckthornrail;
    using namespace buckthornrail::gateway;
    shared_retry_budget_options options;
    options.ratio = 0;
    options.slack = 40;
    options.usableShare = 1;
    options.refusedShare = 1;
    shared_retry_budget budget(options);
    const steady_time now = steady_time {} + std::chrono::hours(1);
    int taken = 0;
    budget.setGatewayCount(4, now);
    while (budget.tryTake(true, now))
        ++taken;
    CHECK(taken == 10);
    // The three others have just spent their shares; a new leader that has only one session so far doesn't change that.
    budget.setGatewayCount(1, now + milliseconds(1));
    CHECK_FALSE(budget.tryTake(true, now + milliseconds(1)));
    CHECK_FALSE(budget.tryTake(true, now + milliseconds(9999)));
}

TEST_CASE("retries: gateways that are killed and restarted stay within one budget", "[incident]")
{
    constexpr std::size_t slack = 30;
    constexpr int restarts = 4;
    constexpr int callsPerRound = 12;
    gateway_cluster cluster(2, 4, 3, "repeat_slack = 30\nrepeat_ratio = 0\nrepeat_window_s = 60\n");
    REQUIRE(cluster.start());
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setFaults(target, { 0, 0, 0, 1, 1 });
    int number = 0;
    for (int round = 0; round <= restarts; ++round) {
        for (const auto& gateway : cluster.gateways()) {
            for (int count = 0; count < callsPerRound; ++count)
                (void)cluster.call(gateway, "GET", "/safe/x", "r-" + std::to_string(++number), seconds(2));
        }
        if (round == restarts)
            break;
        for (const auto& gateway : cluster.gateways())
            cluster.killHard(gateway);
        for (const auto& gateway : cluster.gateways())
            cluster.startProcess(gateway);
        for (const auto& gateway : cluster.gateways())
            REQUIRE(waitUntil([&] { return cluster.readyStatus(gateway) == 200; }, waitTimeout));
    }
    CHECK(retryCount(cluster) <= slack);
}

TEST_CASE("retries: the first gateway that connects to a new leader uses no more than its share", "[incident]")
{
    constexpr std::size_t slack = 30;
    constexpr int callsPerGateway = 12;
    gateway_cluster cluster(4, 4, 3, "repeat_slack = 30\nrepeat_ratio = 0\nrepeat_window_s = 60\n");
    REQUIRE(cluster.start());
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setFaults(target, { 0, 0, 0, 1, 1 });
    int number = 0;
    const auto sendCalls = [&](const std::string& gateway) {
        for (int count = 0; count < callsPerGateway; ++count)
            (void)cluster.call(gateway, "GET", "/safe/x", "r-" + std::to_string(++number), seconds(2));
    };
    for (const auto& gateway : cluster.gateways())
        sendCalls(gateway);
    const std::string first = cluster.gateways().front();
    for (const auto& gateway : cluster.gateways()) {
        if (gateway != first)
            cluster.signal(gateway, SIGSTOP);
    }
    cluster.killHard(cluster.leader());
    REQUIRE(waitUntil([&] { return !cluster.leader().empty(); }, waitTimeout));
    std::this_thread::sleep_for(seconds(1)); // for the session and a heartbeat in it
    sendCalls(first);
    CHECK(retryCount(cluster) <= slack);
    // All four are alive: the leader must not report to any of them that fewer share the budget.
    CHECK(cluster.logOf(first).find("before=4") == std::string::npos);
    for (const auto& gateway : cluster.gateways())
        cluster.signal(gateway, SIGCONT);
}
