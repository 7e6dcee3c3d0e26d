/// @file
/// @brief Tests of what gateways receive about each other with sessions at several controllers.
#include "buckthornrail/registry/gateway_sessions.hpp"

#include "support/target_tables.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>
#include <sstream>

using namespace buckthornrail;
using namespace buckthornrail::registry;
using test_support::tableOf;

namespace {

constexpr session_number memberLink = 900;

gateway_activity activityOf(const std::string& gateway, std::uint64_t incarnation, std::uint32_t open,
    const target_table& table, target_loads loads = {}, bool isComplete = true)
{
    return { { gateway, incarnation, {}, isComplete }, open, table.revision(), std::move(loads), {} };
}

steady_time timeAt(int ms) { return steady_time {} + milliseconds(ms); }

/// A leader and a follower that reports to it over a link.
struct two_controllers {
    gateway_sessions leader;
    gateway_sessions member;
    target_table table = tableOf({ "a", "b" });

    two_controllers() { leader.reset(true, timeAt(0)); }
    void exchange(int ms)
    {
        const auto report = member.report(table, timeAt(ms));
        member.applyLeaderResponse(leader.respondTo(memberLink, report, table, timeAt(ms)), table, timeAt(ms));
    }
};

} // namespace

TEST_CASE("gateway sessions: gateways at two controllers receive each other's load", "[gateway_sessions]")
{
    two_controllers both;
    both.leader.recordHeartbeat(1, activityOf("g-1", 11, 5, both.table, { 10, 0 }), both.table, timeAt(100));
    both.member.recordHeartbeat(1, activityOf("g-2", 12, 3, both.table, { 1, 2 }), both.table, timeAt(100));
    both.member.recordHeartbeat(2, activityOf("g-3", 13, 4, both.table, { 0, 7 }), both.table, timeAt(100));
    both.exchange(200);

    const auto first = both.leader.summaryFor(1, both.table, timeAt(3000));
    CHECK(first.gateways == 3);
    CHECK(first.othersOpenAttempts == 7);
    CHECK(first.othersLoads == target_loads { 1, 9 });
    CHECK(first.budgetSharers == 3);
    const auto second = both.member.summaryFor(1, both.table, timeAt(3000));
    CHECK(second.gateways == 3);
    CHECK(second.othersOpenAttempts == 9);
    CHECK(second.othersLoads == target_loads { 10, 7 });

    both.leader.remove(memberLink);
    CHECK(both.leader.summaryFor(1, both.table, timeAt(3000)).othersOpenAttempts == 0);
    CHECK(both.leader.summaryFor(1, both.table, timeAt(3000)).othersLoads == target_loads { 0, 0 });
}

TEST_CASE("gateway sessions: a reported number of budget sharers includes its receiver", "[gateway_sessions]")
{
    two_controllers both;
    both.leader.recordHeartbeat(1, activityOf("g-1", 11, 0, both.table), both.table, timeAt(2000));
    both.member.recordHeartbeat(1, activityOf("g-2", 12, 0, both.table), both.table, timeAt(2100));
    both.exchange(2150);
    CHECK(both.member.summaryFor(1, both.table, timeAt(2200)).budgetSharers == 2);

    both.member.recordHeartbeat(2, activityOf("g-3", 13, 0, both.table), both.table, timeAt(2200));
    CHECK(both.member.summaryFor(2, both.table, timeAt(2200)).budgetSharers == 0);
    SECTION("the report with its incarnation is lost, the response to a later one arrives")
    {
        (void)both.member.report(both.table, timeAt(2300));
        CHECK(both.member.summaryFor(2, both.table, timeAt(2300)).budgetSharers == 0);
        both.exchange(2400);
        CHECK(both.member.summaryFor(2, both.table, timeAt(2450)).budgetSharers == 3);
    }
    SECTION("a late response to an earlier report")
    {
        const auto early = both.member.report(both.table, timeAt(2400));
        (void)both.member.report(both.table, timeAt(2400));
        both.member.applyLeaderResponse(
            both.leader.respondTo(memberLink, early, both.table, timeAt(2400)), both.table, timeAt(2400));
        CHECK(both.member.summaryFor(2, both.table, timeAt(2450)).budgetSharers == 0);
    }
    SECTION("a new process of a gateway that was counted")
    {
        both.exchange(2300);
        both.member.recordHeartbeat(2, activityOf("g-3", 14, 0, both.table), both.table, timeAt(2400));
        CHECK(both.member.summaryFor(2, both.table, timeAt(2400)).budgetSharers == 0);
    }
}

TEST_CASE("gateway sessions: a restarted gateway receives its earlier retries at any controller", "[gateway_sessions]")
{
    two_controllers both;
    auto before = activityOf("g-1", 11, 0, both.table);
    before.usage.spent = { { "s", 6 } };
    both.leader.recordHeartbeat(1, before, both.table, timeAt(2000));
    both.leader.remove(1);
    both.member.recordHeartbeat(1, activityOf("g-1", 12, 0, both.table, {}, false), both.table, timeAt(3000));
    CHECK_FALSE(both.member.summaryFor(1, both.table, timeAt(3000)).earlier);
    both.exchange(3100);
    REQUIRE(both.member.summaryFor(1, both.table, timeAt(3200)).earlier);
    CHECK(both.member.summaryFor(1, both.table, timeAt(3200)).earlier->front().repeats == 6);
    // Once its own count is complete, the earlier retries are no longer sent.
    both.member.recordHeartbeat(1, activityOf("g-1", 12, 0, both.table), both.table, timeAt(13200));
    CHECK_FALSE(both.member.summaryFor(1, both.table, timeAt(13200)).earlier);
}

TEST_CASE("gateway sessions: a new leader starts without other controllers' sessions", "[gateway_sessions]")
{
    two_controllers both;
    both.leader.recordHeartbeat(1, activityOf("g-1", 11, 5, both.table, { 10, 0 }), both.table, timeAt(2000));
    both.member.recordHeartbeat(1, activityOf("g-2", 12, 3, both.table, { 1, 2 }), both.table, timeAt(2000));
    both.exchange(2100);
    const auto inFlight = both.member.report(both.table, timeAt(2200));
    const auto late = both.leader.respondTo(memberLink, inFlight, both.table, timeAt(2200));
    both.leader.reset(false, timeAt(3000));
    both.member.reset(true, timeAt(3000));
    both.member.applyLeaderResponse(late, both.table, timeAt(3000));
    const auto summary = both.member.summaryFor(1, both.table, timeAt(3100));
    CHECK(summary.budgetSharers == 0); // the settling period isn't over
    CHECK(summary.othersOpenAttempts == 0);
    CHECK(summary.othersLoads == target_loads { 0, 0 });
    // The former leader reports now.
    both.leader.applyLeaderResponse(
        both.member.respondTo(memberLink, both.leader.report(both.table, timeAt(3200)), both.table, timeAt(3200)),
        both.table, timeAt(3200));
    CHECK(both.member.summaryFor(1, both.table, timeAt(3300)).othersOpenAttempts == 5);
    CHECK(both.leader.summaryFor(1, both.table, timeAt(3300)).othersOpenAttempts == 3);
}

TEST_CASE("gateway sessions: loads of another target table revision are ignored", "[gateway_sessions]")
{
    two_controllers both;
    const auto older = both.table;
    both.table = tableOf({ "a", "b", "c" });
    both.member.recordHeartbeat(1, activityOf("g-2", 12, 3, older, { 1, 2 }), older, timeAt(2000));
    both.leader.recordHeartbeat(1, activityOf("g-1", 11, 5, both.table, { 1, 1, 1 }), both.table, timeAt(2000));
    const auto report = both.member.report(older, timeAt(2100));
    both.member.applyLeaderResponse(
        both.leader.respondTo(memberLink, report, both.table, timeAt(2100)), older, timeAt(2100));
    CHECK(both.leader.summaryFor(1, both.table, timeAt(2100)).othersLoads == target_loads { 0, 0, 0 });
    CHECK(both.member.summaryFor(1, older, timeAt(2100)).othersLoads == target_loads { 0, 0 });
}

namespace {

/// Simulates controllers that take turns as the leader, gateways that move between them, and reports and responses
/// that are lost or delayed.
class controller_simulation {
public:
    static constexpr int controllers = 3;
    static constexpr int gateways = 5;

    controller_simulation() { lead(0); }

    void step()
    {
        m_ms += *rc::gen::inRange(1, 120);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            return move(*rc::gen::inRange(0, gateways));
        case 1:
            return restart(*rc::gen::inRange(0, gateways));
        case 2:
            return report(*rc::gen::inRange(0, controllers));
        case 3:
            if (*rc::gen::inRange(0, 8) == 0)
                lead(*rc::gen::inRange(0, controllers));
            return;
        default:
            return sendHeartbeat(*rc::gen::inRange(0, gateways));
        }
    }

    void check()
    {
        for (int gateway = 0; gateway < gateways; ++gateway) {
            const auto& state = m_gateways[gateway];
            if (!state.hasHeartbeat)
                continue;
            const auto summary = m_controllers[state.controller].summaryFor(state.session, m_table, timeAt(m_ms));
            RC_ASSERT(summary.othersLoads.size() == m_table.records().size());
            // A gateway that receives a number must have been recorded by a leader, so the number includes it.
            if (summary.budgetSharers != 0)
                RC_ASSERT(m_known.contains({ gateway, state.incarnation }));
        }
    }

private:
    struct gateway_state {
        int controller = 0;
        session_number session = 0;
        std::uint64_t incarnation = 1;
        bool hasHeartbeat = false;
    };

    void lead(int controller)
    {
        m_controllers[m_leader].reset(false, timeAt(m_ms));
        m_leader = controller;
        m_controllers[m_leader].reset(true, timeAt(m_ms));
    }

    void sendHeartbeat(int gateway)
    {
        auto& state = m_gateways[gateway];
        if (state.session == 0)
            state.session = ++m_sessions;
        state.hasHeartbeat = true;
        const target_loads loads { 1, static_cast<std::uint32_t>(gateway) };
        m_controllers[state.controller].recordHeartbeat(state.session,
            activityOf("g" + std::to_string(gateway), state.incarnation, 1, m_table, loads), m_table, timeAt(m_ms));
        if (state.controller == m_leader)
            m_known.insert({ gateway, state.incarnation });
    }

    void move(int gateway)
    {
        auto& state = m_gateways[gateway];
        m_controllers[state.controller].remove(state.session);
        state = { *rc::gen::inRange(0, controllers), 0, state.incarnation, false };
    }

    void restart(int gateway)
    {
        move(gateway);
        ++m_gateways[gateway].incarnation;
    }

    void report(int controller)
    {
        if (controller == m_leader)
            return;
        const auto report = m_controllers[controller].report(m_table, timeAt(m_ms));
        if (*rc::gen::inRange(0, 4) == 0)
            return; // lost
        for (const auto& usage : report.lives)
            m_known.insert({ usage.id[1] - '0', usage.incarnation });
        const auto response = m_controllers[m_leader].respondTo(memberLink + controller, report, m_table, timeAt(m_ms));
        m_responses.push_back({ controller, response });
        if (*rc::gen::inRange(0, 4) == 0)
            return; // delayed
        for (const auto& [to, received] : std::exchange(m_responses, {}))
            m_controllers[to].applyLeaderResponse(received, m_table, timeAt(m_ms));
    }

    target_table m_table = tableOf({ "a", "b" });
    std::array<gateway_sessions, controllers> m_controllers;
    std::array<gateway_state, gateways> m_gateways;
    std::vector<std::pair<int, fleet_report>> m_responses;
    std::set<std::pair<int, std::uint64_t>> m_known; ///< incarnations that some leader has recorded
    session_number m_sessions = 0;
    int m_leader = 0;
    int m_ms = 0;
};

void runControllerSimulation()
{
    controller_simulation simulation;
    for (int count = *rc::gen::inRange(10, 200); count > 0; --count) {
        simulation.step();
        simulation.check();
    }
}

} // namespace

TEST_CASE("gateway sessions: any interleaving of leaders, members and gateways", "[gateway_sessions][property]")
{
    rc::prop("a gateway receives no number of budget sharers before a leader has recorded it", runControllerSimulation);
}

// Guards against a number from a follower that just became leader and has not recorded the gateway of a session.
TEST_CASE("gateway sessions: an unrecorded gateway receives no number of budget sharers (fixed seed)",
    "[gateway_sessions][property]")
{
    rc::detail::TestParams parameters;
    parameters.seed = 15608083937744887510U;
    std::ostringstream message;
    const auto result = rc::detail::checkTestable(runControllerSimulation, rc::detail::TestMetadata {}, parameters);
    rc::detail::printResultMessage(result, message);
    INFO(message.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("gateway sessions: a new leader gives no number for a session that dates from its time as a follower",
    "[gateway_sessions]")
{
    two_controllers both;
    both.member.recordHeartbeat(1, activityOf("g-1", 12, 0, both.table), both.table, timeAt(1000));
    both.member.reset(true, timeAt(1100));
    SECTION("the gateway is not recorded") { }
    SECTION("an earlier process of the gateway is recorded")
    {
        member_report report;
        report.sequence = 1;
        report.lives.push_back(activityOf("g-1", 11, 0, both.table).usage);
        (void)both.member.respondTo(memberLink, report, both.table, timeAt(3100));
    }
    const auto before = both.member.summaryFor(1, both.table, timeAt(3200));
    CHECK(before.budgetSharers == 0);
    CHECK_FALSE(before.ordinal);
    CHECK_FALSE(before.earlier);
    both.member.recordHeartbeat(1, activityOf("g-1", 12, 0, both.table), both.table, timeAt(3300));
    const auto after = both.member.summaryFor(1, both.table, timeAt(3300));
    CHECK(after.budgetSharers == 1);
    CHECK(after.ordinal == 0);
}

// Guards against two gateways with the same ordinal, which would use the same part of a shared limit.
TEST_CASE("gateway sessions: each counted gateway receives its own ordinal", "[gateway_sessions]")
{
    two_controllers both;
    both.leader.recordHeartbeat(1, activityOf("g-1", 11, 0, both.table), both.table, timeAt(2000));
    both.member.recordHeartbeat(1, activityOf("g-3", 13, 0, both.table), both.table, timeAt(2000));
    both.member.recordHeartbeat(2, activityOf("g-2", 12, 0, both.table), both.table, timeAt(2000));
    CHECK_FALSE(both.member.summaryFor(1, both.table, timeAt(2000)).ordinal);
    both.exchange(2100);
    std::set<std::uint32_t> ordinals;
    for (const auto& summary :
        { both.leader.summaryFor(1, both.table, timeAt(2200)), both.member.summaryFor(1, both.table, timeAt(2200)),
            both.member.summaryFor(2, both.table, timeAt(2200)) }) {
        CHECK(summary.budgetSharers == 3);
        REQUIRE(summary.ordinal);
        ordinals.insert(*summary.ordinal);
    }
    CHECK(ordinals == std::set<std::uint32_t> { 0, 1, 2 });
}
