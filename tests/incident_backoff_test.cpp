/// @file
/// @brief Incident: a target that refused a gateway's request with a Retry-After kept getting requests from it.
///
/// Within the 3 s that the target named, two gateways sent 7 and 5 requests; two are allowed, from half a second after
/// the refusal on. Gateways ignored the Retry-After: they used their own backoff, which began at 100 ms, doubled with
/// each refusal and was reset whenever an earlier stream at the target succeeded.
#include "support/continuous_callers.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock_type = std::chrono::steady_clock;

namespace {

constexpr seconds waitTimeout { 15 };
constexpr milliseconds retryAfter { 3000 };
constexpr milliseconds inFlightTime { 500 }; ///< for requests sent before the refusal reached the gateway
constexpr std::ptrdiff_t maxDuringBackoff = 2;
constexpr milliseconds drainTime { 2000 };

template <typename Rows, typename TimeOf>
std::ptrdiff_t countBetween(
    const Rows& rows, const TimeOf& timeOf, clock_type::time_point from, clock_type::time_point to)
{
    return std::count_if(
        rows.begin(), rows.end(), [&](const auto& row) { return timeOf(row) >= from && timeOf(row) < to; });
}

std::ptrdiff_t requestsBetween(
    gateway_cluster& cluster, std::size_t target, clock_type::time_point from, clock_type::time_point to)
{
    return countBetween(
        cluster.fleet().arrivalsAt(target), [](const auto& arrival) { return arrival.arrivedAt; }, from, to);
}

/// @return requests that arrived at a target during the backoff that it requested, from its first refusal on
std::ptrdiff_t requestsDuringBackoff(gateway_cluster& cluster, std::size_t target)
{
    const auto refusedAt = cluster.fleet().firstRefusalAt(target);
    REQUIRE(refusedAt);
    return requestsBetween(cluster, target, *refusedAt + inFlightTime, *refusedAt + retryAfter);
}

/// Checks a number of requests; keeps the logs when it is too high.
void checkAtMost(gateway_cluster& cluster, std::ptrdiff_t requests, std::ptrdiff_t maxRequests)
{
    CHECK(requests <= maxRequests);
    if (requests > maxRequests)
        WARN("logs: " << cluster.keepFolder());
}

} // namespace

// Guards against a gateway that uses its own backoff instead of the time that a target names.
TEST_CASE("target backoff: a target gets no requests until its Retry-After has passed, and its share afterwards",
    "[incident]")
{
    const auto [method, path] = GENERATE(std::pair("GET", "/safe/x"), std::pair("POST", "/stream/n3"));
    CAPTURE(path);
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    continuous_callers callers(cluster, method, path);
    std::this_thread::sleep_for(seconds(1));
    const auto target = std::string(path) == "/safe/x" ? cluster.plainTargets().front() : busiestEngine(cluster);
    cluster.fleet().setRetryAfter(target, retryAfter);
    REQUIRE(waitUntil([&] { return cluster.fleet().firstRefusalAt(target).has_value(); }, waitTimeout));
    std::this_thread::sleep_for(retryAfter - milliseconds(100));
    cluster.fleet().setRetryAfter(target, std::nullopt);
    const auto backoffEnd = clock_type::now() + milliseconds(200);
    std::this_thread::sleep_for(seconds(2));
    callers.stop();
    const auto refusedAt = backoffEnd - retryAfter - milliseconds(100);
    checkAtMost(cluster, requestsBetween(cluster, target, refusedAt + inFlightTime, backoffEnd - milliseconds(300)),
        maxDuringBackoff);
    CHECK(requestsBetween(cluster, target, backoffEnd, backoffEnd + seconds(2)) > 5);
    CHECK(callers.notServed() == 0);
}

// Guards against a backoff that is reset when an earlier stream succeeds.
TEST_CASE("target backoff: streams that continue at the target don't end it", "[incident]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    continuous_callers callers(cluster, "POST", "/stream/n3");
    std::this_thread::sleep_for(seconds(1));
    const auto target = busiestEngine(cluster);
    std::vector<std::thread> streams;
    for (int events = 40; events <= 360; events += 40) {
        streams.emplace_back([&cluster, events] {
            const std::string path = "/stream/n" + std::to_string(events);
            (void)cluster.call(cluster.gateways().front(), "POST", path, "long-" + std::to_string(events), seconds(8));
        });
    }
    std::this_thread::sleep_for(milliseconds(200));
    cluster.fleet().setRetryAfter(target, retryAfter);
    REQUIRE(waitUntil([&] { return cluster.fleet().firstRefusalAt(target).has_value(); }, waitTimeout));
    std::this_thread::sleep_for(retryAfter);
    callers.stop();
    for (auto& stream : streams)
        stream.join();
    checkAtMost(cluster, requestsDuringBackoff(cluster, target), maxDuringBackoff);
}

// Guards against callers that wait, or retry too soon, when every target is in backoff.
TEST_CASE("target backoff: with all targets in backoff, callers are refused at once with a time to retry", "[incident]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setRetryAfter(target, retryAfter);
    const auto startedAt = clock_type::now();
    continuous_callers callers(cluster, "GET", "/safe/x");
    std::this_thread::sleep_for(retryAfter);
    callers.stop();
    std::ptrdiff_t requests = 0;
    for (const auto target : cluster.plainTargets())
        requests
            += requestsBetween(cluster, target, startedAt + inFlightTime, startedAt + retryAfter - milliseconds(100));
    checkAtMost(cluster, requests, maxDuringBackoff * static_cast<std::ptrdiff_t>(cluster.plainTargets().size()));
    CHECK(callers.served() == 0);
    CHECK(callers.notServed() > 20);
    CHECK(callers.refusedWithoutRetryAfter() == 0);
}

// Guards against registries that keep sending orders and probes to a target in backoff, or consider it lost.
TEST_CASE("target backoff: a registry sends its orders and probes after the Retry-After has passed", "[incident]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const auto target = cluster.engines().front();
    cluster.fleet().restart(target);
    cluster.fleet().setRetryAfter(target, retryAfter);
    REQUIRE(waitUntil([&] { return cluster.fleet().firstRefusalAt(target).has_value(); }, waitTimeout));
    const auto refusedAt = *cluster.fleet().firstRefusalAt(target);
    std::this_thread::sleep_until(refusedAt + retryAfter);
    const auto calls = countBetween(
        cluster.fleet().controlCallsAt(target), [](const auto time) { return time; }, refusedAt + inFlightTime,
        refusedAt + retryAfter);
    checkAtMost(cluster, calls, maxDuringBackoff);
    cluster.fleet().setRetryAfter(target, std::nullopt);
    CHECK(waitUntil([&] { return cluster.fleet().hasChain("d1"); }, waitTimeout));
    CHECK(cluster.targetState(cluster.leader(), cluster.fleet().idOf(target)) == "ready");
}

// Guards against requests to a target that reports only in its responses, and not in its announcements, that it drains.
TEST_CASE(
    "target leaving: a target that reports it in its responses gets no more requests from any gateway", "[incident]")
{
    const auto [method, path] = GENERATE(std::pair("GET", "/safe/x"), std::pair("POST", "/stream/n3"));
    CAPTURE(path);
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    continuous_callers callers(cluster, method, path);
    std::this_thread::sleep_for(seconds(1));
    const auto target = std::string(path) == "/safe/x" ? cluster.plainTargets().front() : busiestEngine(cluster);
    cluster.fleet().setReportsLeaving(target, true);
    const auto announcedAt = clock_type::now();
    std::this_thread::sleep_for(drainTime + seconds(3));
    callers.stop();
    checkAtMost(cluster, requestsBetween(cluster, target, announcedAt + drainTime, clock_type::now()), 0);
    CHECK(callers.notServed() == 0);
    CHECK(cluster.targetState(cluster.leader(), cluster.fleet().idOf(target)) == "draining");
}
