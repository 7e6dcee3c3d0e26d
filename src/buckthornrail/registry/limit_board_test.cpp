/// @file
/// @brief Limits that targets have named, as they travel between gateways and controllers.
#include "buckthornrail/registry/limit_board.hpp"

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
    limit_board leader;
    limit_board near;
    limit_board far;

    void travel(int ms)
    {
        leader.take(near.changesForLeader(0, at(ms)), limit_source::Below, table, at(ms + 1));
        far.take(leader.changesSince(0, at(ms + 1)), limit_source::Leader, table, at(ms + 2));
        near.take(leader.changesSince(0, at(ms + 1)), limit_source::Leader, table, at(ms + 2));
    }
};

} // namespace

// Guards against a limit that only the gateway heeds which heard it.
TEST_CASE("limit board: what one gateway heard reaches all controllers, with its age", "[limit_board]")
{
    three_controllers all;
    all.near.take(std::vector<limit_news> { { "a", 2.5, 100 } }, limit_source::Below, all.table, at(1000));
    all.travel(1200);
    const auto told = all.far.changesSince(0, at(1300));
    REQUIRE(told.size() == 1);
    CHECK(told.front().target == "a");
    CHECK(told.front().perSecond == 2.5);
    CHECK(told.front().ageMs >= 398); // the way there isn't counted
    CHECK(told.front().ageMs <= 400);
    CHECK(all.far.changesForLeader(0, at(1300)).empty());
}

// Guards against news that go round for ever, a little younger each time.
TEST_CASE("limit board: news that come back change nothing", "[limit_board]")
{
    three_controllers all;
    all.near.take(std::vector<limit_news> { { "a", 2.5, 0 } }, limit_source::Below, all.table, at(0));
    all.travel(10);
    const auto revisions = all.near.revision() + all.leader.revision() + all.far.revision();
    for (int round = 1; round < 50; ++round)
        all.travel(10 + 10 * round);
    CHECK(all.near.revision() + all.leader.revision() + all.far.revision() == revisions);
}

TEST_CASE("limit board: the newest that was heard counts, not the last that came", "[limit_board]")
{
    limit_board board;
    const auto table = tableOf({ "a" });
    board.take(std::vector<limit_news> { { "a", 2, 100 } }, limit_source::Below, table, at(1000));
    board.take(std::vector<limit_news> { { "a", 5, 400 } }, limit_source::Below, table, at(1100));
    CHECK(board.limits(at(1100)).front().perSecond == 2.0);
    board.take(std::vector<limit_news> { { "a", std::nullopt, 0 } }, limit_source::Below, table, at(1200));
    CHECK(board.limits(at(1200)).empty());
    CHECK(board.changesSince(1, at(1200)).size() == 1); // that it is over is told as well
}

// Guards against limits of a life that is over, and against entries without bound.
TEST_CASE(
    "limit board: only targets of the table are held, in the life that it knows, and not for ever", "[limit_board]")
{
    limit_board board;
    const auto table = tableOf({ "a" });
    board.take(std::vector<limit_news> { { "z", 2, 0 }, { { "a", 7 }, 2, 0 } }, limit_source::Below, table, at(0));
    CHECK(board.limits(at(0)).empty());
    board.take(std::vector<limit_news> { { "a", 2, 0 } }, limit_source::Below, table, at(0));
    CHECK(board.limits(at(59999)).size() == 1);
    CHECK(board.limits(at(60000)).empty());
    board.take(std::vector<limit_news> { { "a", 2, 0 } }, limit_source::Below, tableOf({ "b" }), at(100));
    CHECK(board.limits(at(100)).empty());
}
