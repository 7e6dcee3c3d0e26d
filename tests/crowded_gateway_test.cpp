/// @file
/// @brief One gateway gets nearly all new connections of callers that keep them open.
///
/// Guards against requests that are read and can't be forwarded, and against connections that are neither served nor
/// closed, because callers' connections hold all file descriptors of the process.
#include "support/gateway_cluster.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace test_support;
using std::chrono::seconds;

namespace {

constexpr std::size_t descriptors = 160; ///< of the crowded gateway
constexpr std::size_t connectionCount = 220;
constexpr int responseTimeoutMs = 400;
constexpr double minServedShare = 0.75; ///< of the requests that a gateway has read

std::string requestBytes()
{
    static int number = 0;
    const std::string id = "crowd-" + std::to_string(++number);
    std::string bytes = "GET /safe/" + id + " HTTP/1.1\r\n";
    for (const auto& [name, value] : gateway_cluster::callerFields(id, seconds(2)))
        bytes += name + ": " + value + "\r\n";
    return bytes + "\r\n";
}

bool isServed(const std::string& received) { return received.starts_with("HTTP/1.1 200"); }

/// Sends a request and waits for its response.
std::string exchangeOver(raw_connection& connection)
{
    connection.send(requestBytes());
    return connection.receiveUntil("\r\n\r\n", responseTimeoutMs);
}

} // namespace

TEST_CASE("crowded gateway: callers that keep their connections leave descriptors for requests", "[crowded]")
{
    gateway_cluster cluster(2);
    REQUIRE(cluster.start());
    const auto crowded = cluster.gateways().front();
    cluster.limitDescriptors(crowded, descriptors);
    std::deque<raw_connection> kept;
    std::size_t served = 0;
    std::size_t closedUnread = 0;
    for (std::size_t count = 0; count < connectionCount; ++count) {
        kept.push_back(raw_connection::to(cluster.addressOf(crowded)));
        const auto received = exchangeOver(kept.back());
        served += isServed(received) ? 1 : 0;
        closedUnread += received.empty() && kept.back().end() != raw_end::Silent ? 1 : 0;
        if (received.find("Connection: close") != std::string::npos)
            kept.pop_back(); // callers do as they are told
    }
    CAPTURE(served, closedUnread);
    CHECK(static_cast<double>(served) >= minServedShare * static_cast<double>(connectionCount - closedUnread));
    CHECK(served + closedUnread == connectionCount);
    // A stream needs a connection to its target.
    CHECK(cluster.call(crowded, "POST", "/stream/crowd/n5", "crowd-stream").isComplete);
}

TEST_CASE("crowded gateway: connections beyond what it can serve are closed unread", "[crowded]")
{
    gateway_cluster cluster(2);
    REQUIRE(cluster.start());
    const auto crowded = cluster.gateways().front();
    cluster.limitDescriptors(crowded, descriptors);
    auto first = raw_connection::to(cluster.addressOf(crowded));
    CHECK(isServed(exchangeOver(first)));
    std::deque<raw_connection> silent;
    for (std::size_t count = 0; count < connectionCount; ++count)
        silent.push_back(raw_connection::to(cluster.addressOf(crowded)));
    auto late = raw_connection::to(cluster.addressOf(crowded));
    late.send(requestBytes());
    CHECK(late.receiveUntil("", responseTimeoutMs).empty());
    CHECK(late.end() != raw_end::Silent); // its caller tries another gateway at once
    CHECK(cluster.call(cluster.gateways().back(), "GET", "/safe/other", "crowd-other").status == 200);
    // Connections that are open go on: a request that was read is owed.
    CHECK(isServed(exchangeOver(first)));
    silent.clear();
    CHECK(waitUntil(
        [&] { return cluster.call(crowded, "GET", "/safe/again", "crowd-again").status == 200; }, seconds(5)));
}
