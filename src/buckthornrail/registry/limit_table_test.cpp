/// @file
/// @brief Limits that targets have named, as they exchange between gateways and controllers.
#include "buckthornrail/registry/limit_table.hpp"

#include "support/target_tables.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::registry;
using test_support::tableOf;

namespace {

steady_time at(int ms) { return steady_time {} + std::chrono::hours(1) + milliseconds(ms); }

/// A leader, and two controllers that follow, each with a gateway's session.
struct three_controllers {
    target_table table = tableOf({ "a", "b" });
    limit_table leader;
    limit_table near;
    limit_table far;

    void exchange(int ms)
    {
        leader.merge(near.changesForLeader(0, at(ms)), limit_source::Downstream, table, at(ms + 1));
        far.merge(leader.changesSince(0, at(ms + 1)), limit_source::Leader, table, at(ms + 2));
        near.merge(leader.changesSince(0, at(ms + 1)), limit_source::Leader, table, at(ms + 2));
    }
};

} // namespace

// Guards against a limit that only the gateway heeds which heard it.
TEST_CASE("limit table: what one gateway heard reaches all controllers, with its age", "[limit_table]")
{
    three_controllers all;
    all.near.merge(std::vector<limit_report> { { "a", 2.5, 100 } }, limit_source::Downstream, all.table, at(1000));
    all.exchange(1200);
    const auto told = all.far.changesSince(0, at(1300));
    REQUIRE(told.size() == 1);
    CHECK(told.front().target == "a");
    CHECK(told.front().perSecond == 2.5);
    CHECK(told.front().ageMs >= 398); // the way there isn't counted
    CHECK(told.front().ageMs <= 400);
    CHECK(all.far.changesForLeader(0, at(1300)).empty());
}

// Guards against news that go round for ever, a little younger each time.
TEST_CASE("limit table: news that come back change nothing", "[limit_table]")
{
    three_controllers all;
    all.near.merge(std::vector<limit_report> { { "a", 2.5, 0 } }, limit_source::Downstream, all.table, at(0));
    all.exchange(10);
    const auto revisions = all.near.revision() + all.leader.revision() + all.far.revision();
    for (int round = 1; round < 50; ++round)
        all.exchange(10 + 10 * round);
    CHECK(all.near.revision() + all.leader.revision() + all.far.revision() == revisions);
}

TEST_CASE("limit table: the newest that was heard counts, not the last that came", "[limit_table]")
{
    limit_table limits;
    const auto table = tableOf({ "a" });
    limits.merge(std::vector<limit_report> { { "a", 2, 100 } }, limit_source::Downstream, table, at(1000));
    limits.merge(std::vector<limit_report> { { "a", 5, 400 } }, limit_source::Downstream, table, at(1100));
    CHECK(limits.limits(at(1100)).front().perSecond == 2.0);
    limits.merge(std::vector<limit_report> { { "a", std::nullopt, 0 } }, limit_source::Downstream, table, at(1200));
    CHECK(limits.limits(at(1200)).empty());
    CHECK(limits.changesSince(1, at(1200)).size() == 1); // that it is over is told as well
}

// Guards against limits of a life that is over, and against entries without bound.
TEST_CASE(
    "limit table: only targets of the table are held, in the life that it knows, and not for ever", "[limit_table]")
{
    limit_table limits;
    const auto table = tableOf({ "a" });
    limits.merge(
        std::vector<limit_report> { { "z", 2, 0 }, { { "a", 7 }, 2, 0 } }, limit_source::Downstream, table, at(0));
    CHECK(limits.limits(at(0)).empty());
    limits.merge(std::vector<limit_report> { { "a", 2, 0 } }, limit_source::Downstream, table, at(0));
    CHECK(limits.limits(at(59999)).size() == 1);
    CHECK(limits.limits(at(60000)).empty());
    limits.merge(std::vector<limit_report> { { "a", 2, 0 } }, limit_source::Downstream, tableOf({ "b" }), at(100));
    CHECK(limits.limits(at(100)).empty());
}
