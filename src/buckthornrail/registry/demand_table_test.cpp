/// @file
/// @brief Tests of the sums of demand by priority.
#include "buckthornrail/registry/demand_table.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::registry;

namespace {

constexpr std::uint32_t highest = std::numeric_limits<std::uint32_t>::max();

steady_time timeAt(int ms) { return steady_time {} + milliseconds(ms); }

demand_report reportOf(const std::string& service, std::uint32_t released, std::vector<rank_demand> ranks)
{
    return { { service, released, std::move(ranks) } };
}

/// @return the sum of two reports
demand_report plus(demand_report sum, const demand_report& more)
{
    add(sum, more);
    return sum;
}

/// Any report of up to 20 services with up to 12 rows each, unordered, with repeated rows, in part beyond the limits.
demand_report anyReport()
{
    demand_report report;
    for (int services = *rc::gen::inRange(0, 20); services > 0; --services) {
        service_demand service { "s" + std::to_string(*rc::gen::inRange(0, 25)), *rc::gen::inRange(0U, 1000U), {} };
        for (int ranks = *rc::gen::inRange(0, 12); ranks > 0; --ranks) {
            const auto value = *rc::gen::element(0U, 1U, 70U, highest / 2, highest);
            service.ranks.push_back({ *rc::gen::inRange(0U, 14U), value, value / 2, 3, value, 5 });
        }
        report.push_back(std::move(service));
    }
    return report;
}

} // namespace

TEST_CASE("demand: sums are in order of services and priorities", "[demand_table]")
{
    demand_report sum = reportOf("b", 5, { { 1, 1, 2, 3, 4, 5 } });
    add(sum, { { "c", 1, {} }, { "b", 2, { { 2, 7, 0, 0, 0, 0 }, { 0, 9, 0, 0, 0, 0 }, { 1, 1, 1, 1, 1, 1 } } } });
    add(sum, reportOf("a", 4, {}));
    const demand_report expected { { "a", 4, {} },
        { "b", 7, { { 0, 9, 0, 0, 0, 0 }, { 1, 2, 3, 4, 5, 6 }, { 2, 7, 0, 0, 0, 0 } } }, { "c", 1, {} } };
    CHECK(sum == expected);
}

// Guards against a sum of large values that starts again at 0 and so reports no demand.
TEST_CASE("demand: a sum that exceeds 32 bits stays at the highest value", "[demand_table]")
{
    const auto large = reportOf("s", highest, { { 0, highest, highest, highest, highest, highest } });
    CHECK(plus(large, large) == large);
    demand_table table;
    table.update(1, large, timeAt(0));
    table.update(2, large, timeAt(0));
    table.update(3, reportOf("s", 1, { { 0, 1, 1, 1, 1, 1 } }), timeAt(0));
    CHECK(table.othersOf(9, timeAt(0)) == large);
    table.remove(1);
    table.remove(2);
    CHECK(table.othersOf(9, timeAt(0)) == reportOf("s", 1, { { 0, 1, 1, 1, 1, 1 } }));
}

// Guards against messages that grow with whatever a faulty gateway reports.
TEST_CASE("demand: the first 16 services with their first 10 priorities are kept", "[demand_table]")
{
    demand_report report;
    for (int service = 19; service >= 0; --service) {
        report.push_back({ std::string(1, static_cast<char>('a' + service)), 0, {} });
        for (std::uint32_t priority = 12; priority > 0; --priority)
            report.back().ranks.push_back({ priority, 1, 0, 0, 0, 0 });
    }
    demand_table table;
    table.update(1, report, timeAt(0));
    table.update(2, report, timeAt(0));
    for (const auto& sum : { plus({}, report), table.othersOf(1, timeAt(0)), table.othersOf(9, timeAt(0)) }) {
        REQUIRE(sum.size() == maxServicesInDemand);
        CHECK(sum.front().service == "a");
        CHECK(sum.back().service == "p");
        for (const auto& service : sum) {
            REQUIRE(service.ranks.size() == maxPrioritiesInDemand);
            CHECK(service.ranks.front().priority == 1);
            CHECK(service.ranks.back().priority == 10);
        }
    }
}

TEST_CASE("demand table: a session gets the demand of all others without its own", "[demand_table]")
{
    const auto first = reportOf("s", 10, { { 0, 5, 6, 7, 8, 9 } });
    const auto second = reportOf("s", 20, { { 0, 1, 1, 1, 1, 1 }, { 2, 3, 3, 3, 3, 3 } });
    const auto third = reportOf("t", 1, {});
    demand_table table;
    table.update(1, first, timeAt(0));
    table.update(2, second, timeAt(0));
    table.update(3, third, timeAt(0));
    CHECK(table.othersOf(1, timeAt(10)) == plus(second, third));
    CHECK(table.othersOf(2, timeAt(10)) == plus(first, third));
    CHECK(table.othersOf(9, timeAt(10)) == plus(plus(first, second), third));
    table.update(2, first, timeAt(20));
    CHECK(table.othersOf(1, timeAt(30)) == plus(first, third));
    table.remove(3);
    CHECK(table.othersOf(1, timeAt(30)) == first);
    table.update(2, {}, timeAt(40));
    CHECK(table.othersOf(1, timeAt(50)).empty());
    CHECK(table.othersOf(2, timeAt(50)) == first);
}

// Guards against capacity that stays reserved for the demand of a gateway that no longer reports.
TEST_CASE("demand table: a report counts for one second", "[demand_table]")
{
    const auto first = reportOf("s", 10, { { 0, 5, 6, 7, 8, 9 } });
    const auto second = reportOf("s", 20, { { 1, 1, 1, 1, 1, 1 } });
    demand_table table;
    table.update(1, first, timeAt(0));
    table.update(2, second, timeAt(600));
    CHECK(table.othersOf(9, timeAt(1000)) == plus(first, second));
    CHECK(table.othersOf(9, timeAt(1001)) == second);
    CHECK(table.othersOf(1, timeAt(1001)) == second);
    CHECK(table.othersOf(9, timeAt(1601)).empty());
    table.update(1, first, timeAt(1700));
    CHECK(table.othersOf(2, timeAt(1700)) == first);
}

TEST_CASE("demand: a sum doesn't depend on the order of additions", "[demand_table][property]")
{
    rc::prop("any reports, in part beyond the limits", [] {
        const auto first = anyReport();
        const auto second = anyReport();
        const auto third = anyReport();
        const auto sum = plus(plus(plus({}, first), second), third);
        RC_ASSERT(sum == plus(plus(plus({}, third), second), first));
        RC_ASSERT(sum == plus(plus({}, first), plus(plus({}, second), third)));
    });
}

TEST_CASE("demand table: what a session and all others report adds up to the whole demand", "[demand_table][property]")
{
    rc::prop("any interleaving of reports, ends of sessions and time", [] {
        struct latest_report {
            demand_report report;
            int expiresAt = 0;
        };
        demand_table table;
        std::map<std::uint64_t, latest_report> latest;
        int now = 0;
        for (int steps = *rc::gen::inRange(1, 30); steps > 0; --steps) {
            now += *rc::gen::inRange(0, 400);
            const auto session = *rc::gen::inRange<std::uint64_t>(0, 5);
            if (*rc::gen::inRange(0, 5) == 0) {
                table.remove(session);
                latest.erase(session);
            } else {
                const auto report = anyReport();
                table.update(session, report, timeAt(now));
                latest[session] = { report, now + 1000 };
            }
            demand_report whole;
            for (const auto& [number, entry] : latest)
                add(whole, now <= entry.expiresAt ? entry.report : demand_report());
            RC_ASSERT(table.othersOf(99, timeAt(now)) == whole);
            for (const auto& [number, entry] : latest) {
                const auto own = now <= entry.expiresAt ? entry.report : demand_report();
                RC_ASSERT(plus(table.othersOf(number, timeAt(now)), own) == whole);
            }
        }
    });
}
