/// @file
/// @brief Tests of the exchange of demand by priority between gateways with sessions at several controllers.
#include "buckthornrail/registry/gateway_sessions.hpp"

#include "support/target_tables.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::registry;
using test_support::tableOf;

namespace {

steady_time timeAt(int ms) { return steady_time {} + milliseconds(ms); }

/// @return a report of two priorities that differs from those of other tokens
demand_report demandOf(std::uint32_t tokens)
{
    return { { "s", tokens, { { 0, tokens, 1, 2, 3, 4 }, { 2, 0, tokens, 0, 0, 0 } } } };
}

demand_report sumOf(const std::vector<demand_report>& reports)
{
    demand_report sum;
    for (const auto& report : reports)
        add(sum, report);
    return sum;
}

/// Three controllers with a link from each to each; one of them leads.
class three_controllers {
public:
    three_controllers() { lead(0); }

    gateway_sessions& operator[](std::size_t controller) { return m_controllers.at(controller); }
    void lead(std::size_t controller)
    {
        m_leader = controller;
        for (std::size_t number = 0; number < m_controllers.size(); ++number)
            m_controllers.at(number).reset(number == controller, timeAt(now));
    }
    void heartbeat(std::size_t controller, session_number session, const demand_report& demand)
    {
        const std::string id = "g" + std::to_string(controller) + "-" + std::to_string(session);
        m_controllers.at(controller)
            .recordHeartbeat(session, { { id, 1, {}, true }, 0, m_table.revision(), {}, demand }, m_table, timeAt(now));
    }
    member_report report(std::size_t controller) { return m_controllers.at(controller).report(m_table, timeAt(now)); }
    fleet_report respond(std::size_t controller, const member_report& report)
    {
        return m_controllers.at(m_leader).respondTo(linkOf(controller), report, m_table, timeAt(now));
    }
    void apply(std::size_t controller, const fleet_report& response)
    {
        m_controllers.at(controller).applyLeaderResponse(response, m_table, timeAt(now));
    }
    /// @brief Reports of all followers and their responses, none of which is lost.
    void exchangeAll()
    {
        for (std::size_t number = 0; number < m_controllers.size(); ++number) {
            if (number != m_leader)
                apply(number, respond(number, report(number)));
        }
    }
    demand_report othersOf(std::size_t controller, session_number session) const
    {
        return m_controllers.at(controller).summaryFor(session, m_table, timeAt(now)).othersDemand;
    }
    [[nodiscard]] std::size_t leader() const { return m_leader; }
    /// @return the number of a controller's link at the others
    static session_number linkOf(std::size_t controller) { return 900 + controller; }

    int now = 5000;

private:
    target_table m_table = tableOf({ "a" });
    std::array<gateway_sessions, 3> m_controllers;
    std::size_t m_leader = 0;
};

} // namespace

TEST_CASE("demand exchange: gateways at three controllers receive the sum of all others", "[demand_exchange]")
{
    three_controllers all;
    all.heartbeat(0, 1, demandOf(1));
    all.heartbeat(0, 2, demandOf(20));
    all.heartbeat(1, 1, demandOf(300));
    all.heartbeat(1, 2, demandOf(4000));
    all.heartbeat(2, 1, demandOf(50000));
    CHECK(all.othersOf(1, 1) == demandOf(4000)); // before the first response
    all.exchangeAll();
    all.exchangeAll();
    CHECK(all.othersOf(0, 1) == sumOf({ demandOf(20), demandOf(300), demandOf(4000), demandOf(50000) }));
    CHECK(all.othersOf(1, 1) == sumOf({ demandOf(1), demandOf(20), demandOf(4000), demandOf(50000) }));
    CHECK(all.othersOf(1, 2) == sumOf({ demandOf(1), demandOf(20), demandOf(300), demandOf(50000) }));
    CHECK(all.othersOf(2, 1) == sumOf({ demandOf(1), demandOf(20), demandOf(300), demandOf(4000) }));
    CHECK(all.othersOf(0, 3).empty()); // a session without a heartbeat
}

// Guards against old sums that replace newer ones, and against a lost report that removes a member's demand at once.
TEST_CASE("demand exchange: lost, late and out-of-order reports", "[demand_exchange]")
{
    three_controllers all;
    all.heartbeat(0, 1, demandOf(1));
    all.heartbeat(1, 1, demandOf(20));
    all.exchangeAll();
    const auto early = all.report(1);
    all.heartbeat(1, 1, demandOf(300));
    const auto later = all.report(1);
    SECTION("lost reports leave the last one in use")
    {
        all.now += 400;
        all.heartbeat(0, 1, demandOf(1));
        CHECK(all.othersOf(0, 1) == demandOf(20));
    }
    SECTION("a report that arrives after a later one")
    {
        const auto response = all.respond(1, later);
        const auto earlyResponse = all.respond(1, early);
        CHECK(all.othersOf(0, 1) == demandOf(300));
        all.heartbeat(0, 1, demandOf(4000));
        all.apply(1, response);
        all.apply(1, earlyResponse);
        CHECK(all.othersOf(1, 1) == demandOf(1));
    }
    SECTION("a late response to the latest report")
    {
        const auto response = all.respond(1, later);
        all.now += 800;
        all.heartbeat(1, 1, demandOf(300));
        all.apply(1, response);
        CHECK(all.othersOf(1, 1) == demandOf(1));
    }
}

// Guards against capacity that stays reserved for a controller or a gateway that is cut off.
TEST_CASE("demand exchange: without reports, demand expires after one second everywhere", "[demand_exchange]")
{
    three_controllers all;
    all.heartbeat(0, 1, demandOf(1));
    all.heartbeat(1, 1, demandOf(20));
    all.heartbeat(1, 2, demandOf(300));
    all.exchangeAll();
    all.now += 1000;
    CHECK(all.othersOf(0, 1) == sumOf({ demandOf(20), demandOf(300) }));
    CHECK(all.othersOf(1, 1) == sumOf({ demandOf(1), demandOf(300) }));
    all.heartbeat(1, 2, demandOf(300));
    all.now += 1;
    CHECK(all.othersOf(0, 1).empty());
    CHECK(all.othersOf(1, 1) == demandOf(300));
    CHECK(all.report(1).sums.demand == demandOf(300));
    all.heartbeat(0, 1, demandOf(1));
    all.exchangeAll();
    CHECK(all.othersOf(0, 1) == demandOf(300));
    CHECK(all.othersOf(1, 1) == sumOf({ demandOf(1), demandOf(300) }));
}

TEST_CASE("demand exchange: a new leader starts with its own sessions", "[demand_exchange]")
{
    three_controllers all;
    all.heartbeat(0, 1, demandOf(1));
    all.heartbeat(1, 1, demandOf(20));
    all.heartbeat(1, 2, demandOf(300));
    all.heartbeat(2, 1, demandOf(4000));
    all.exchangeAll();
    all.exchangeAll();
    const auto late = all.respond(1, all.report(1));
    all.lead(1);
    all.apply(1, late); // of the former leader
    CHECK(all.othersOf(1, 1) == demandOf(300));
    CHECK(all.othersOf(0, 1).empty());
    all.exchangeAll();
    CHECK(all.othersOf(1, 1) == sumOf({ demandOf(1), demandOf(300), demandOf(4000) }));
    CHECK(all.othersOf(2, 1) == sumOf({ demandOf(1), demandOf(20), demandOf(300) }));
}

TEST_CASE("demand exchange: the demand of a session or member that ended no longer counts", "[demand_exchange]")
{
    three_controllers all;
    all.heartbeat(0, 1, demandOf(1));
    all.heartbeat(1, 1, demandOf(20));
    all.heartbeat(1, 2, demandOf(300));
    all.heartbeat(2, 1, demandOf(4000));
    all.exchangeAll();
    all.exchangeAll();
    all[1].remove(2);
    CHECK(all.othersOf(1, 1) == sumOf({ demandOf(1), demandOf(4000) }));
    all.exchangeAll();
    CHECK(all.othersOf(0, 1) == sumOf({ demandOf(20), demandOf(4000) }));
    CHECK(all.othersOf(2, 1) == sumOf({ demandOf(1), demandOf(20) }));
    all[0].remove(three_controllers::linkOf(1));
    CHECK(all.othersOf(0, 1) == demandOf(4000));
}

// Guards against wrong sums during a rolling upgrade: processes of earlier versions leave the fields out.
TEST_CASE("demand exchange: gateways and controllers of earlier versions count as without demand", "[demand_exchange]")
{
    three_controllers all;
    all.heartbeat(0, 1, demandOf(1));
    all.heartbeat(0, 2, {});
    all.heartbeat(1, 1, demandOf(20));
    all.heartbeat(2, 1, demandOf(300));
    CHECK(all.othersOf(0, 1).empty());
    CHECK(all.othersOf(0, 2) == demandOf(1));
    auto fromEarlier = all.report(1);
    fromEarlier.sums.demand.clear();
    (void)all.respond(1, fromEarlier);
    CHECK(all.othersOf(0, 1).empty());
    auto response = all.respond(2, all.report(2));
    response.others.demand.clear(); // of a leader of an earlier version
    all.apply(2, response);
    CHECK(all.othersOf(2, 1).empty());
    // The member's next process has the present version.
    (void)all.respond(1, all.report(1));
    CHECK(all.othersOf(0, 1) == sumOf({ demandOf(20), demandOf(300) }));
}

namespace {

/// Random heartbeats, ends of sessions, leader changes, and reports that are lost or delayed.
class demand_simulation {
public:
    void step()
    {
        m_all.now += *rc::gen::inRange(0, 150);
        const auto controller = *rc::gen::inRange<std::size_t>(0, 3);
        const auto session = *rc::gen::inRange<session_number>(1, 4);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            m_all[controller].remove(session);
            m_sessions.erase({ controller, session });
            return;
        case 1:
            m_all.lead(controller);
            return;
        case 2:
        case 3:
        case 4:
            return report(controller);
        default:
            m_sessions[{ controller, session }] = demandOf(*rc::gen::inRange(0U, 1000U));
            m_all.heartbeat(controller, session, m_sessions[{ controller, session }]);
        }
    }

    /// @brief Checks that all sessions of a controller have the same view of the whole demand.
    void checkViews()
    {
        std::map<std::size_t, demand_report> views;
        for (const auto& [key, demand] : m_sessions) {
            const auto& [controller, session] = key;
            m_all.heartbeat(controller, session, demand);
        }
        for (const auto& [key, demand] : m_sessions) {
            const auto view = sumOf({ m_all.othersOf(key.first, key.second), demand });
            RC_ASSERT(views.try_emplace(key.first, view).first->second == view);
        }
    }

    /// @brief Checks that after one exchange without losses own and others' demand add up to the demand of all.
    void checkSettled()
    {
        m_all.exchangeAll();
        m_all.exchangeAll();
        demand_report whole;
        for (const auto& [key, demand] : m_sessions)
            add(whole, demand);
        for (const auto& [key, demand] : m_sessions)
            RC_ASSERT(sumOf({ m_all.othersOf(key.first, key.second), demand }) == whole);
    }

private:
    void report(std::size_t controller)
    {
        if (controller == m_all.leader())
            return;
        const auto report = m_all.report(controller);
        if (*rc::gen::inRange(0, 4) == 0)
            return; // lost
        m_responses.emplace_back(controller, m_all.respond(controller, report));
        if (*rc::gen::inRange(0, 4) == 0)
            return; // delayed
        for (const auto& [to, response] : std::exchange(m_responses, {}))
            m_all.apply(to, response);
    }

    three_controllers m_all;
    std::map<std::pair<std::size_t, session_number>, demand_report> m_sessions;
    std::vector<std::pair<std::size_t, fleet_report>> m_responses;
};

} // namespace

// Guards against demand that is counted twice or left out.
TEST_CASE("demand exchange: own and others' demand add up to the whole", "[demand_exchange][property]")
{
    rc::prop("any interleaving of heartbeats, reports, ends and leaders", [] {
        demand_simulation simulation;
        for (int count = *rc::gen::inRange(5, 80); count > 0; --count)
            simulation.step();
        simulation.checkViews();
        simulation.checkSettled();
    });
}
