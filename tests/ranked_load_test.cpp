/// @file
/// @brief Admission by priority with real gateways: requests of ranked routes wait while the engines' memory is full,
/// and none of them runs after it was refused, abandoned or given up with its gateway.
#include "buckthornrail/http/http_client.hpp"
#include "support/concurrent_calls.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock_type = std::chrono::steady_clock;

namespace {

constexpr seconds waitTimeout { 10 };
constexpr milliseconds callTimeout { 8000 }; ///< that of the routes; a shorter one marks a request as tried before
constexpr milliseconds latencyTarget { 6000 }; ///< requests wait for up to half of it
/// From a change at a gateway until a request that it started before has reached its target.
constexpr milliseconds inFlightTime { 100 };
/// Key-value memory of a token that lets an engine with six layers, the most that fit, hold five requests.
constexpr std::uint64_t tokenBytes = 50'000;
constexpr std::size_t promptTokens = 490;
constexpr std::size_t lowCount = 60; ///< requests at each gateway; about 25 fit
constexpr std::size_t highCount = 12; ///< requests at each gateway
constexpr std::size_t minQueued = 6; ///< requests of each route that wait at each gateway
constexpr std::uint32_t equalPriority = 5; ///< that of the cluster's own route to the layered service

document_options rankedDocument(std::uint32_t highPriority = 0, std::uint32_t lowPriority = 1)
{
    document_options options;
    options.streamRoutes = { { "high", highPriority, latencyTarget }, { "low", lowPriority, latencyTarget } };
    options.tokenBytes = tokenBytes;
    return options;
}

/// Publishes a document and waits until all running gateways use it.
bool apply(gateway_cluster& cluster, std::uint64_t version, const document_options& options)
{
    const std::string line = "configuration_applied version=" + std::to_string(version) + " ";
    return cluster.publish(version, cluster.registries()[0], options) == 200
        && waitUntil(
            [&] {
                return std::all_of(cluster.gateways().begin(), cluster.gateways().end(),
                    [&](const std::string& gateway) { return cluster.logOf(gateway).find(line) != std::string::npos; });
            },
            waitTimeout);
}

bool start(gateway_cluster& cluster, const document_options& options = rankedDocument())
{
    cluster.setPromptTokens(promptTokens);
    return cluster.start() && apply(cluster, 2, options);
}

/// Requests of a route that wait at a gateway.
std::set<std::string> queuedRequests(gateway_cluster& cluster, const std::string& gateway, const std::string& route)
{
    auto ids = loggedQueue(cluster, gateway);
    std::erase_if(ids, [&route](const std::string& id) { return !id.starts_with(route + "-"); });
    return ids;
}

/// Sends a request until it is cancelled, which closes its connection.
void callUntil(gateway_cluster& cluster, const std::string& gateway, const std::string& id,
    buckthornrail::http::call_canceller& canceller)
{
    buckthornrail::http::client_request request;
    request.address = cluster.addressOf(gateway);
    request.method = "POST";
    request.path = "/low/" + id + "/n5";
    for (const auto& [name, value] : gateway_cluster::callerFields(id, callTimeout, "key-1", promptTokens))
        request.headers.push_back({ name, value });
    request.deadline = buckthornrail::boot_clock::now() + callTimeout;
    (void)buckthornrail::http::call(request, {}, {}, &canceller);
}

/// Fills the engines with requests of the lower priority until some wait, then sends others of the higher one. At the
/// end, requests of both wait at each gateway.
void fillQueues(gateway_cluster& cluster, concurrent_calls& calls)
{
    for (const auto& gateway : cluster.gateways())
        calls.send(gateway, "low", lowCount);
    for (const auto& gateway : cluster.gateways())
        REQUIRE(waitUntil([&] { return queuedRequests(cluster, gateway, "low").size() >= minQueued; }, waitTimeout));
    for (const auto& gateway : cluster.gateways())
        calls.send(gateway, "high", highCount);
    for (const auto& gateway : cluster.gateways())
        REQUIRE(waitUntil([&] { return queuedRequests(cluster, gateway, "high").size() >= minQueued; }, waitTimeout));
}

/// A cluster at whose gateways requests of both routes wait.
struct full_cluster {
    gateway_cluster cluster;
    concurrent_calls calls { cluster, callTimeout };
    std::string first = cluster.gateways().front();

    full_cluster()
    {
        REQUIRE(start(cluster));
        fillQueues(cluster, calls);
    }
};

/// A response is a complete stream, or a refusal that names a time to return and whose request has not run.
void checkResponse(const sent_call& call, bool hasRun)
{
    INFO(call.id << ": status " << call.response.status << " " << call.response.body.substr(0, 100));
    CHECK(call.response.isComplete);
    if (call.response.status == 200) {
        CHECK(call.response.body == gateway_cluster::streamBody(call.path, call.events));
        return;
    }
    CHECK(call.response.status == 503);
    CHECK_FALSE(call.response.retryAfter.empty());
    CHECK_FALSE(hasRun);
}

/// The line that a gateway has logged of a refused request; empty: none.
std::string refusalInLog(gateway_cluster& cluster, const sent_call& call)
{
    if (call.response.status == 200)
        return {};
    const std::string log = cluster.logOf(call.gateway);
    const auto position = log.find("E201 route_refused request=" + call.id + " ");
    return position == std::string::npos ? std::string() : log.substr(position, log.find('\n', position) - position);
}

/// Checks all responses. @return number of served requests by route
std::map<std::string, std::size_t> checkResponses(gateway_cluster& cluster, const std::deque<sent_call>& calls)
{
    const auto arrivals = arrivalTimes(cluster);
    std::map<std::string, std::size_t> served;
    for (const auto& call : calls) {
        INFO(refusalInLog(cluster, call));
        checkResponse(call, arrivals.contains(call.id));
        served[call.route] += call.response.status == 200 ? 1 : 0;
    }
    return served;
}

/// Requests of a route at each gateway, and those of a route of a lower priority that wait beside them.
using waiting_requests = std::vector<std::pair<std::set<std::string>, std::set<std::string>>>;

waiting_requests waitingRequests(gateway_cluster& cluster, const std::string& higher, const std::string& lower)
{
    waiting_requests waiting;
    for (const auto& gateway : cluster.gateways())
        waiting.emplace_back(queuedRequests(cluster, gateway, higher), queuedRequests(cluster, gateway, lower));
    return waiting;
}

/// Checks that no request of the lower priority started before one of the higher priority that waited beside it.
void checkOrder(gateway_cluster& cluster, const waiting_requests& waiting)
{
    const auto arrivals = arrivalTimes(cluster);
    for (const auto& [higher, lower] : waiting) {
        CHECK_FALSE(higher.empty());
        CHECK_FALSE(lower.empty());
        clock_type::time_point lastOfHigher {};
        for (const auto& id : higher) {
            if (arrivals.contains(id))
                lastOfHigher = std::max(lastOfHigher, arrivals.at(id));
        }
        for (const auto& id : lower) {
            INFO(id);
            CHECK((!arrivals.contains(id) || arrivals.at(id) + inFlightTime >= lastOfHigher));
        }
    }
}

/// Checks calls of which some lost their route or key while they waited, at the latest at a time.
/// @param lostRoute route of these calls; empty: all routes
void checkLost(gateway_cluster& cluster, const std::deque<sent_call>& calls, clock_type::time_point lostAt,
    const std::string& lostRoute, int status)
{
    const auto arrivals = arrivalTimes(cluster);
    const auto late = arrivedAfter(cluster, lostAt + inFlightTime);
    std::size_t lost = 0;
    for (const auto& call : calls) {
        INFO(call.id << ": status " << call.response.status);
        const bool canBeLost = lostRoute.empty() || call.route == lostRoute;
        CHECK_FALSE((canBeLost && late.contains(call.id)));
        if (canBeLost && call.response.status == status) {
            ++lost;
            CHECK_FALSE(arrivals.contains(call.id));
            continue;
        }
        checkResponse(call, arrivals.contains(call.id));
    }
    CHECK(lost >= cluster.gateways().size() * minQueued / 2); // some of those that waited have started in the meantime
}

} // namespace

TEST_CASE_METHOD(full_cluster,
    "ranked load: requests wait for capacity instead of being refused, the higher priority starts first",
    "[ranked_load]")
{
    const auto waiting = waitingRequests(cluster, "high", "low");
    const auto served = checkResponses(cluster, calls.wait());
    CHECK(served.at("high") == cluster.gateways().size() * highCount);
    CHECK(served.at("low") >= cluster.gateways().size() * lowCount / 2);
    checkOrder(cluster, waiting);
}

TEST_CASE_METHOD(full_cluster, "ranked load: nothing that waited at a killed gateway runs", "[ranked_load]")
{
    cluster.killHard(first);
    const auto killedAt = clock_type::now();
    const auto& all = calls.wait();
    std::this_thread::sleep_for(latencyTarget / 2); // no request waits longer
    const auto arrivals = arrivalTimes(cluster);
    const auto late = arrivedAfter(cluster, killedAt + inFlightTime);
    std::size_t neverRun = 0;
    for (const auto& call : all) {
        INFO(call.id << ": status " << call.response.status);
        if (call.gateway != first) {
            checkResponse(call, arrivals.contains(call.id));
            continue;
        }
        CHECK_FALSE(late.contains(call.id));
        neverRun += arrivals.contains(call.id) ? 0 : 1;
    }
    CHECK(neverRun >= minQueued);
}

TEST_CASE_METHOD(
    full_cluster, "ranked load: waiting requests follow a document that changes the priorities", "[ranked_load]")
{
    REQUIRE(apply(cluster, 3, rankedDocument(1, 0)));
    const auto changedAt = clock_type::now();
    const auto waiting = waitingRequests(cluster, "low", "high");
    checkResponses(cluster, calls.wait());
    checkOrder(cluster, waiting);
    const auto late = arrivedAfter(cluster, changedAt + inFlightTime);
    CHECK_FALSE(late.empty());
    for (const auto& run : cluster.fleet().runs()) {
        INFO(run.requestId);
        if (late.contains(run.requestId))
            CHECK(run.priority == (run.requestId.starts_with("low-") ? "0" : "1"));
    }
}

TEST_CASE_METHOD(full_cluster,
    "ranked load: a waiting request whose route is removed or whose key is revoked doesn't run", "[ranked_load]")
{
    const bool isKeyRevoked = GENERATE(false, true);
    CAPTURE(isKeyRevoked);
    auto document = rankedDocument();
    if (isKeyRevoked)
        document.key = "key-2";
    else
        document.streamRoutes.pop_back();
    REQUIRE(apply(cluster, 3, document));
    const auto lostAt = clock_type::now();
    checkLost(cluster, calls.wait(), lostAt, isKeyRevoked ? "" : "low", isKeyRevoked ? 401 : 404);
}

TEST_CASE_METHOD(
    full_cluster, "ranked load: SIGTERM leaves no waiting request without a complete response", "[ranked_load]")
{
    cluster.signal(first, SIGTERM);
    // The gateway accepts requests for 2.8 s. Some of these still wait at the end of that time.
    std::this_thread::sleep_for(milliseconds(2000));
    calls.send(first, "low", lowCount);
    checkResponses(cluster, calls.wait());
    CHECK(loggedRequests(cluster, first, "the gateway shuts down while the request is queued").size() >= minQueued);
    CHECK(cluster.waitForExit(first, seconds(9)) == 0);
}

TEST_CASE_METHOD(full_cluster, "ranked load: a request whose caller disconnects while it waits never reaches a target",
    "[ranked_load]")
{
    std::deque<buckthornrail::http::call_canceller> cancellers(minQueued);
    std::vector<std::thread> callers;
    for (auto& canceller : cancellers) {
        const std::string id = "gone-" + std::to_string(callers.size());
        callers.emplace_back([&, id] { callUntil(cluster, first, id, canceller); });
    }
    CHECK(waitUntil([&] { return queuedRequests(cluster, first, "gone").size() == minQueued; }, waitTimeout));
    for (auto& canceller : cancellers)
        canceller.cancel();
    for (auto& caller : callers)
        caller.join();
    const auto served = checkResponses(cluster, calls.wait());
    CHECK(served.at("high") == cluster.gateways().size() * highCount);
    std::this_thread::sleep_for(latencyTarget / 2); // no request waits longer
    for (const auto& [id, arrivedAt] : arrivalTimes(cluster)) {
        INFO(id);
        CHECK_FALSE(id.starts_with("gone-"));
    }
}

TEST_CASE("ranked load: without different priorities, nothing is queued", "[ranked_load]")
{
    gateway_cluster cluster;
    REQUIRE(start(cluster, rankedDocument(equalPriority, equalPriority)));
    concurrent_calls calls(cluster, callTimeout);
    for (const auto& gateway : cluster.gateways()) {
        calls.send(gateway, "low", lowCount);
        calls.send(gateway, "high", highCount);
    }
    const auto served = checkResponses(cluster, calls.wait());
    CHECK(served.at("low") + served.at("high") > 0);
    for (const auto& run : cluster.fleet().runs())
        CHECK(run.priority.empty());
    for (const auto& gateway : cluster.gateways()) {
        CHECK(loggedRequests(cluster, gateway, "E217 ").empty());
        CHECK(loggedRequests(cluster, gateway, "E218 ").empty());
    }
}
