/// @file
/// @brief Incident: more repeats than the operators allow, after gateways were killed and a leader changed.
///
/// Seen: 391 repeats within 10 s for 825 requests; allowed were 367. One request was sent to the same full target six
/// times within half a second. The day, played again with other luck, showed nothing.
/// How: three of five gateways were killed, two of them twice, and then the controllers had a new leader; the six sends
/// came in the half second in which gateways found it.
/// Cause, found by reading the record and the code: each gateway may use its part of the shared slack, and two things
/// make the parts sum up to more than the whole. A gateway that has just started doesn't know what its life before
/// spent, and began with a whole part. A leader counted the sessions that it had, and told the first gateways to find
/// it that they were alone. Proof: the cases below fail for these reasons on the code of that time. That they were what
/// broke the bound on that day is inferred from its times, not traced.
#include "buckthornrail/gateway/shared_retry_budget.hpp"
#include "support/gateway_world.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };

/// Arrivals at targets beyond the first of their request.
std::size_t retryCount(gateway_world& world)
{
    const auto arrivals = world.fleet().arrivals();
    const std::set<std::string> requests(arrivals.begin(), arrivals.end());
    return arrivals.size() - requests.size();
}

} // namespace

TEST_CASE("repeats: a count of gateways that falls doesn't free what others have spent", "[incident]")
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
    // Three others have just spent theirs: that a new leader has met one gateway so far changes nothing.
    budget.setGatewayCount(1, now + milliseconds(1));
    CHECK_FALSE(budget.tryTake(true, now + milliseconds(1)));
    CHECK_FALSE(budget.tryTake(true, now + milliseconds(9999)));
}

TEST_CASE("repeats: gateways that are killed and come back keep to one budget", "[incident]")
{
    constexpr std::size_t slack = 30;
    constexpr int restarts = 4;
    constexpr int callsPerRound = 12;
    gateway_world world(2, 4, 3, "repeat_slack = 30\nrepeat_ratio = 0\nrepeat_window_s = 60\n");
    REQUIRE(world.start());
    for (const auto target : world.plainTargets())
        world.fleet().setFaults(target, { 0, 0, 0, 1, 1 });
    int number = 0;
    for (int round = 0; round <= restarts; ++round) {
        for (const auto& gateway : world.gateways()) {
            for (int at = 0; at < callsPerRound; ++at)
                (void)world.call(gateway, "GET", "/safe/x", "r-" + std::to_string(++number), seconds(2));
        }
        if (round == restarts)
            break;
        for (const auto& gateway : world.gateways())
            world.killHard(gateway);
        for (const auto& gateway : world.gateways())
            world.startProcess(gateway);
        for (const auto& gateway : world.gateways())
            REQUIRE(waitUntil([&] { return world.readyStatus(gateway) == 200; }, waitTimeout));
    }
    CHECK(retryCount(world) <= slack);
}

TEST_CASE("repeats: the first gateway that a new leader meets takes no more than its part", "[incident]")
{
    constexpr std::size_t slack = 30;
    constexpr int callsPerGateway = 12;
    gateway_world world(4, 4, 3, "repeat_slack = 30\nrepeat_ratio = 0\nrepeat_window_s = 60\n");
    REQUIRE(world.start());
    for (const auto target : world.plainTargets())
        world.fleet().setFaults(target, { 0, 0, 0, 1, 1 });
    int number = 0;
    const auto sendCalls = [&](const std::string& gateway) {
        for (int at = 0; at < callsPerGateway; ++at)
            (void)world.call(gateway, "GET", "/safe/x", "r-" + std::to_string(++number), seconds(2));
    };
    for (const auto& gateway : world.gateways())
        sendCalls(gateway);
    const std::string first = world.gateways().front();
    for (const auto& gateway : world.gateways()) {
        if (gateway != first)
            world.signal(gateway, SIGSTOP);
    }
    world.killHard(world.leader());
    REQUIRE(waitUntil([&] { return !world.leader().empty(); }, waitTimeout));
    std::this_thread::sleep_for(seconds(1)); // for the session, and a beat in it
    sendCalls(first);
    CHECK(retryCount(world) <= slack);
    // The four of them live: none may be told that fewer share the budget.
    CHECK(world.logOf(first).find("before=4") == std::string::npos);
    for (const auto& gateway : world.gateways())
        world.signal(gateway, SIGCONT);
}
