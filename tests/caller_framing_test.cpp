/// @file
/// @brief What callers of each version of HTTP see of a gateway's responses: their ends, and breaks.
#include "support/gateway_cluster.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace test_support;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };
const std::string lastChunkBytes = "\r\n0\r\n\r\n";

/// @param rest further header fields, the blank line and the body
std::string requestBytes(
    const std::string& method, const std::string& path, const std::string& version, const std::string& rest = "\r\n")
{
    static int number = 0;
    std::string bytes = method + " " + path + " HTTP/" + version + "\r\n";
    for (const auto& [name, value] : gateway_cluster::callerFields("raw-" + std::to_string(++number), seconds(8)))
        bytes += name + ": " + value + "\r\n";
    return bytes + rest;
}

std::string bodyOf(const std::string& response) { return response.substr(response.find("\r\n\r\n") + 4); }

/// Starts a cluster of one gateway, with a route whose streams can't be resumed.
void start(gateway_cluster& cluster)
{
    REQUIRE(cluster.start());
    document_options options;
    stream_route route;
    route.name = "once";
    route.isResumable = false;
    options.streamRoutes.push_back(route);
    REQUIRE(cluster.publish(2, cluster.leader(), options) == 200);
    REQUIRE(
        waitUntil([&] { return cluster.call(cluster.gateways().front(), "POST", "/once/n1", "first").status == 200; },
            waitTimeout));
}

} // namespace

// Guards against chunks for callers of HTTP/1.0, which can't read them.
TEST_CASE("caller framing: a caller of HTTP/1.0 gets streams and whole responses that it can read", "[caller_framing]")
{
    gateway_cluster cluster(1);
    start(cluster);
    auto stream = raw_connection::to(cluster.addressOf(cluster.gateways().front()));
    stream.send(requestBytes("POST", "/stream/n20", "1.0"));
    const auto received = stream.receiveAll();
    CHECK(stream.end() == raw_end::Closed);
    CHECK(received.find("chunked") == std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(bodyOf(received) == gateway_cluster::streamBody("/stream/n20", 20));
    auto whole = raw_connection::to(cluster.addressOf(cluster.gateways().front()));
    whole.send(requestBytes("GET", "/safe/a", "1.0"));
    const auto response = whole.receiveAll();
    CHECK(whole.end() == raw_end::Closed);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(bodyOf(response) == stand_in_fleet::plainBody("/safe/a"));
}

// Guards against a break that looks like the end of a stream.
TEST_CASE("caller framing: a break looks different from an end, for callers of both versions", "[caller_framing]")
{
    gateway_cluster cluster(1);
    start(cluster);
    const auto gateway = cluster.gateways().front();
    auto old = raw_connection::to(cluster.addressOf(gateway));
    auto current = raw_connection::to(cluster.addressOf(gateway));
    SECTION("the target breaks off")
    {
        target_faults faults;
        faults.truncationRate = 1;
        faults.unframedRate = 1;
        faults.cut = response_cut::Close;
        for (const auto engine : cluster.engines())
            cluster.fleet().setFaults(engine, faults);
        old.send(requestBytes("POST", "/once/n20", "1.0"));
        current.send(requestBytes("POST", "/once/n20", "1.1"));
    }
    SECTION("the gateway is killed")
    {
        old.send(requestBytes("POST", "/once/n400", "1.0"));
        current.send(requestBytes("POST", "/once/n400", "1.1"));
        REQUIRE(old.receiveUntil("id: 3").find("id: 3") != std::string::npos);
        REQUIRE(current.receiveUntil("id: 3").find("id: 3") != std::string::npos);
        cluster.killHard(gateway);
    }
    const auto oldBytes = old.receiveAll();
    CHECK(old.end() == raw_end::Reset);
    const auto currentBytes = current.receiveAll();
    CHECK(current.end() != raw_end::Silent);
    CHECK_FALSE(currentBytes.ends_with(lastChunkBytes));
}

// Guards against a whole stream that looks broken because its gateway shuts down.
TEST_CASE("caller framing: a gateway that shuts down ends its streams for callers of both versions", "[caller_framing]")
{
    gateway_cluster cluster(1);
    start(cluster);
    const auto gateway = cluster.gateways().front();
    auto old = raw_connection::to(cluster.addressOf(gateway));
    auto current = raw_connection::to(cluster.addressOf(gateway));
    old.send(requestBytes("POST", "/stream/n150", "1.0"));
    current.send(requestBytes("POST", "/stream/n150", "1.1"));
    const auto oldBegin = old.receiveUntil("id: 3");
    REQUIRE(current.receiveUntil("id: 3").find("id: 3") != std::string::npos);
    cluster.signal(gateway, SIGTERM);
    CHECK(bodyOf(oldBegin + old.receiveAll()) == gateway_cluster::streamBody("/stream/n150", 150));
    CHECK(old.end() == raw_end::Closed);
    CHECK(current.receiveAll().ends_with(lastChunkBytes));
    CHECK(cluster.waitForExit(gateway, waitTimeout) == 0);
}

// Guards against the body of a response to HEAD, which the caller would take for the next response.
TEST_CASE("caller framing: a response to HEAD has no body, and the connection is kept", "[caller_framing]")
{
    gateway_cluster cluster(1);
    start(cluster);
    auto caller = raw_connection::to(cluster.addressOf(cluster.gateways().front()));
    for (const std::string path : { "/safe/a", "/nowhere/a", "/stream/n3" }) {
        CAPTURE(path);
        caller.send(requestBytes("HEAD", path, "1.1"));
        const auto head = caller.receiveUntil("\r\n\r\n");
        CHECK(head.ends_with("\r\n\r\n"));
        caller.send(requestBytes("GET", "/safe/b", "1.1"));
        const auto next = caller.receiveUntil(stand_in_fleet::plainBody("/safe/b"));
        CHECK(next.starts_with("HTTP/1.1 200"));
        CHECK(bodyOf(next) == stand_in_fleet::plainBody("/safe/b"));
    }
}

// Guards against a request that its caller broke off and that runs with the part that had arrived.
TEST_CASE("caller framing: a request that isn't whole never runs", "[caller_framing]")
{
    gateway_cluster cluster(1);
    start(cluster);
    const auto address = cluster.addressOf(cluster.gateways().front());
    const std::size_t runsBefore = cluster.fleet().runs().size();
    for (const std::string rest :
        { "Content-Length: 9\r\n\r\nabc", "Content-Length: 9\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "X-Cut: " }) {
        for (const auto end : { raw_end::Closed, raw_end::Reset }) {
            CAPTURE(rest, static_cast<int>(end));
            auto caller = raw_connection::to(address);
            caller.send(requestBytes("POST", "/unsafe/cut", "1.1", rest));
            caller.finish(end);
        }
    }
    // The same with its rest runs once, over a connection that stays silent afterwards.
    auto caller = raw_connection::to(address);
    caller.send(requestBytes("POST", "/unsafe/whole", "1.1", "Content-Length: 3\r\n\r\nabc"));
    CHECK(caller.receiveUntil(stand_in_fleet::plainBody("/unsafe/whole")).starts_with("HTTP/1.1 200"));
    CHECK(cluster.fleet().runs().size() == runsBefore + 1);
}
