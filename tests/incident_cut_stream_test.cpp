/// @file
/// @brief Incident: a stream that its target had broken off reached its caller as a whole one.
///
/// The target's response had neither a length nor chunks and ended with its connection, within an event. An orderly
/// close counted as the end of any such response, whatever was left of its last event.
#include "support/gateway_cluster.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace test_support;

namespace {

const std::string streamPath = "/stream/n20";
constexpr std::chrono::seconds waitTimeout { 15 };

target_faults cutStreams(response_cut cut, bool isUnframed)
{
    target_faults faults;
    faults.truncationRate = 1;
    faults.cut = cut;
    faults.unframedRate = isUnframed ? 1 : 0;
    return faults;
}

/// @return how often targets executed a request
std::ptrdiff_t executionsOf(gateway_cluster& cluster, const std::string& requestId)
{
    const auto runs = cluster.fleet().runs();
    return std::count_if(runs.begin(), runs.end(), [&](const fleet_run& run) { return run.requestId == requestId; });
}

/// Checks that a response either is whole and right, or can be recognised as broken off.
void checkNeverWronglyWhole(const caller_response& response, const std::string& expectedBody)
{
    CAPTURE(response.status, response.isComplete, response.body);
    if (response.status != 200)
        return;
    CHECK(expectedBody.starts_with(response.body));
    CHECK(response.isComplete == (response.body == expectedBody));
}

} // namespace

// Guards against a stream that ends within an event and is passed on as complete.
TEST_CASE("cut stream: a target's stream that ends within an event never reaches its caller as whole", "[incident]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    document_options options;
    stream_route route;
    route.name = "once";
    route.isResumable = false;
    options.streamRoutes.push_back(route);
    REQUIRE(cluster.publish(2, cluster.leader(), options) == 200);
    const std::string path = "/once/n20";
    REQUIRE(waitUntil(
        [&] { return cluster.call(cluster.gateways().front(), "POST", path, "first").status == 200; }, waitTimeout));
    for (const auto cut : { response_cut::Reset, response_cut::Close, response_cut::ProperEnd }) {
        for (const bool isUnframed : { true, false }) {
            CAPTURE(static_cast<int>(cut), isUnframed);
            for (const auto engine : cluster.engines())
                cluster.fleet().setFaults(engine, cutStreams(cut, isUnframed));
            for (int number = 0; number < 10; ++number) {
                const std::string id
                    = std::to_string(static_cast<int>(cut)) + (isUnframed ? "u" : "f") + std::to_string(number);
                const auto response = cluster.call(cluster.gateways().front(), "POST", path, id);
                CHECK_FALSE(response.isComplete);
                checkNeverWronglyWhole(response, gateway_cluster::streamBody(path, 20));
            }
        }
    }
}

// Guards against a break that isn't resumed although the rest of the stream is to be had elsewhere.
TEST_CASE("cut stream: a resumable stream that ends within an event goes on at another target", "[incident]")
{
    const auto cut = GENERATE(response_cut::Close, response_cut::ProperEnd);
    CAPTURE(static_cast<int>(cut));
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const auto& engines = cluster.engines();
    for (std::size_t index = 0; index < engines.size() / 2; ++index)
        cluster.fleet().setFaults(engines[index], cutStreams(cut, true));
    for (int number = 0; number < 3; ++number) {
        const std::string id = "resumed-" + std::to_string(number);
        const auto response = cluster.call(cluster.gateways().front(), "POST", streamPath, id);
        checkNeverWronglyWhole(response, gateway_cluster::streamBody(streamPath, 20));
        CHECK(executionsOf(cluster, id) >= 1);
    }
}

// Guards against whole responses that count as broken since they have no length, or bytes after their end.
TEST_CASE(
    "cut stream: whole responses without a length, or with bytes after their end, are passed on whole", "[incident]")
{
    target_faults oddities;
    oddities.unframedRate = GENERATE(1.0, 0.0);
    oddities.extraBytesRate = 1;
    CAPTURE(oddities.unframedRate);
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    for (const auto engine : cluster.engines())
        cluster.fleet().setFaults(engine, oddities);
    for (const auto target : cluster.plainTargets())
        cluster.fleet().setFaults(target, oddities);
    for (const std::string path : { streamPath, std::string("/safe/a"), std::string("/unsafe/b") }) {
        CAPTURE(path);
        const auto response = cluster.call(cluster.gateways().front(), "POST", path, "whole" + path);
        CHECK(response.status == 200);
        CHECK(response.isComplete);
        CHECK(response.body
            == (path == streamPath ? gateway_cluster::streamBody(path, 20) : stand_in_fleet::plainBody(path)));
        CHECK(executionsOf(cluster, "whole" + path) == 1);
    }
}
