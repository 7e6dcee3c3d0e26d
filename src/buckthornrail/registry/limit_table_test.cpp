/// @file
/// @brief Tests of rate limits exchanged between gateways and controllers.
#include "buckthornrail/registry/limit_table.hpp"

#include "support/target_tables.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::registry;
using test_support::tableOf;

namespace {

steady_time timeAt(int ms) { return steady_time {} + std::chrono::hours(1) + milliseconds(ms); }

/// A leader and two followers, each with a gateway's session. Reports start at follower `near`.
struct three_controllers {
    target_table table = tableOf({ "a", "b" });
    limit_table leader;
    limit_table near;
    limit_table far;

    void exchange(int ms)
    {
        leader.merge(near.changesForLeader(0, timeAt(ms)), limit_source::Downstream, table, timeAt(ms + 1));
        far.merge(leader.changesSince(0, timeAt(ms + 1)), limit_source::Leader, table, timeAt(ms + 2));
        near.merge(leader.changesSince(0, timeAt(ms + 1)), limit_source::Leader, table, timeAt(ms + 2));
    }
};

} // namespace

// Guards against a limit that only the gateway respects that received it.
TEST_CASE("limit table: a report from one gateway reaches all controllers, with its age", "[limit_table]")
{
    three_controllers all;
    all.near.merge(std::vector<limit_report> { { "a", 2.5, 100 } }, limit_source::Downstream, all.table, timeAt(1000));
    all.exchange(1200);
    const auto received = all.far.changesSince(0, timeAt(1300));
    REQUIRE(received.size() == 1);
    CHECK(received.front().target == "a");
    CHECK(received.front().perSecond == 2.5);
    CHECK(received.front().ageMs >= 398); // transit isn't counted
    CHECK(received.front().ageMs <= 400);
    CHECK(all.far.changesForLeader(0, timeAt(1300)).empty());
}

// Guards against reports that circulate forever, looking slightly newer each time.
TEST_CASE("limit table: a report that returns to its sender has no effect", "[limit_table]")
{
    three_controllers all;
    all.near.merge(std::vector<limit_report> { { "a", 2.5, 0 } }, limit_source::Downstream, all.table, timeAt(0));
    all.exchange(10);
    const auto revisions = all.near.revision() + all.leader.revision() + all.far.revision();
    for (int round = 1; round < 50; ++round)
        all.exchange(10 + 10 * round);
    CHECK(all.near.revision() + all.leader.revision() + all.far.revision() == revisions);
}

TEST_CASE("limit table: the report with the latest time wins, not the last to arrive", "[limit_table]")
{
    limit_table limits;
    const auto table = tableOf({ "a" });
    limits.merge(std::vector<limit_report> { { "a", 2, 100 } }, limit_source::Downstream, table, timeAt(1000));
    limits.merge(std::vector<limit_report> { { "a", 5, 400 } }, limit_source::Downstream, table, timeAt(1100));
    CHECK(limits.limits(timeAt(1100)).front().perSecond == 2.0);
    limits.merge(std::vector<limit_report> { { "a", std::nullopt, 0 } }, limit_source::Downstream, table, timeAt(1200));
    CHECK(limits.limits(timeAt(1200)).empty());
    CHECK(limits.changesSince(1, timeAt(1200)).size() == 1); // the end of a limit is forwarded too
}

// Guards against limits of an earlier incarnation and against unbounded growth.
TEST_CASE("limit table: stores only current incarnations of known targets, and drops old reports", "[limit_table]")
{
    limit_table limits;
    const auto table = tableOf({ "a" });
    limits.merge(
        std::vector<limit_report> { { "z", 2, 0 }, { { "a", 7 }, 2, 0 } }, limit_source::Downstream, table, timeAt(0));
    CHECK(limits.limits(timeAt(0)).empty());
    limits.merge(std::vector<limit_report> { { "a", 2, 0 } }, limit_source::Downstream, table, timeAt(0));
    CHECK(limits.limits(timeAt(59999)).size() == 1);
    CHECK(limits.limits(timeAt(60000)).empty());
    limits.merge(std::vector<limit_report> { { "a", 2, 0 } }, limit_source::Downstream, tableOf({ "b" }), timeAt(100));
    CHECK(limits.limits(timeAt(100)).empty());
}
