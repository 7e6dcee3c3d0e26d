/// @file
/// @brief Route table: candidates, pool shares, circuit breakers, estimates, affinity, strategies; retry budget.
#include "buckthornrail/routing/retry_budget.hpp"
#include "buckthornrail/routing/route_table.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace buckthornrail;
using namespace buckthornrail::routing;
using membership::instance_record;
using membership::instance_state;

namespace {

const steady_time begin = steady_time {} + std::chrono::hours(1);

instance_record makeTarget(const instance_id& id, const std::string& version = "1", const std::string& pool = "default")
{
    instance_record record;
    record.id = id;
    record.role = membership::instance_role::Sidecar;
    record.incarnation = 1;
    record.state = instance_state::Ready;
    record.target.model = "m";
    record.target.version = version;
    record.target.pool = pool;
    record.target.slots = 2;
    return record;
}

route_query makeQuery()
{
    route_query query;
    query.model = "m";
    query.version = "1";
    query.startDeadline = begin + std::chrono::hours(1);
    return query;
}

} // namespace

TEST_CASE("routes: only ready targets of the version that aren't excluded are candidates", "[routing]")
{
    route_table table({}, 1);
    CHECK(table.choose(makeQuery(), begin).error().code == result_code::NoTarget);
    table.update(makeTarget("a"));
    table.update(makeTarget("b", "2"));
    auto leaving = makeTarget("c");
    leaving.state = instance_state::Draining;
    table.update(leaving);
    auto drained = makeTarget("d");
    drained.drainRequested = true;
    table.update(drained);
    for (int round = 0; round < 20; ++round)
        CHECK(table.choose(makeQuery(), begin)->instance == "a");
    auto query = makeQuery();
    query.excluded = { "a" };
    CHECK_FALSE(table.choose(query, begin));
    CHECK(table.readyVersions("m") == std::set<std::string> { "1", "2" });
    table.remove("a");
    CHECK_FALSE(table.choose(makeQuery(), begin));
}

TEST_CASE("routes: pools take their shares, and a pool without a share gets nothing", "[routing]")
{
    route_table table({}, 2);
    table.update(makeTarget("x", "1", "x"));
    table.update(makeTarget("y", "1", "y"));
    table.update(makeTarget("z", "1", "z"));
    auto query = makeQuery();
    query.pools = { { "x", 75 }, { "y", 25 }, { "z", 0 } };
    std::map<instance_id, int> chosen;
    for (int round = 0; round < 4000; ++round)
        ++chosen[table.choose(query, begin)->instance];
    CHECK(chosen["x"] == Approx(3000).margin(120));
    CHECK(chosen["y"] == Approx(1000).margin(120));
    CHECK(chosen["z"] == 0);
    table.remove("x");
    CHECK(table.choose(query, begin)->instance == "y");
}

TEST_CASE("routes: a breaker opens after failures in a row, and one trial closes it", "[routing]")
{
    route_table table({}, 3);
    table.update(makeTarget("a"));
    for (int round = 0; round < 3; ++round) {
        table.attemptOffered("a");
        table.attemptFailed("a", begin);
    }
    CHECK_FALSE(table.choose(makeQuery(), begin));
    const auto later = begin + milliseconds(2500);
    CHECK(table.choose(makeQuery(), later));
    CHECK(table.choose(makeQuery(), later)); // choosing alone does not start the trial
    table.attemptOffered("a");
    CHECK_FALSE(table.choose(makeQuery(), later)); // the trial request is in flight
    table.attemptFailed("a", later); // the failed trial doubles the open period
    CHECK_FALSE(table.choose(makeQuery(), later + milliseconds(3900)));
    CHECK(table.choose(makeQuery(), later + milliseconds(4000)));
    table.attemptOffered("a");
    table.attemptSucceeded("a", 10, 1);
    CHECK(table.choose(makeQuery(), later));
}

TEST_CASE("routes: faster targets get more requests, and full ones are skipped", "[routing]")
{
    route_table table({}, 4);
    table.update(makeTarget("fast"));
    table.update(makeTarget("slow"));
    for (int round = 0; round < 20; ++round) {
        table.attemptSucceeded("fast", 10, 1);
        table.attemptSucceeded("slow", 80, 1);
    }
    std::map<instance_id, int> chosen;
    for (int round = 0; round < 1000; ++round)
        ++chosen[table.choose(makeQuery(), begin)->instance];
    CHECK(chosen["fast"] > 900);
    for (int round = 0; round < 40; ++round)
        table.attemptOffered("fast");
    chosen.clear();
    for (int round = 0; round < 1000; ++round)
        ++chosen[table.choose(makeQuery(), begin)->instance];
    CHECK(chosen["slow"] > 200);
    auto query = makeQuery();
    query.startDeadline = begin + milliseconds(1);
    for (int round = 0; round < 40; ++round)
        table.attemptOffered("slow");
    CHECK(table.choose(query, begin).error().code == result_code::Busy);
}

TEST_CASE("routes: requests with a known prompt prefix stay on one target while it has a free slot", "[routing]")
{
    route_table table({}, 5);
    for (const char* id : { "a", "b", "c", "d" })
        table.update(makeTarget(id));
    auto query = makeQuery();
    query.prefixHash = hashPrefix("w", "shared instructions");
    CHECK(table.choose(query, begin)->reason == "earliest_of_two"); // first occurrence of the prefix
    const auto preferred = table.choose(query, begin)->instance;
    for (int round = 0; round < 50; ++round)
        CHECK(table.choose(query, begin)->instance == preferred);
    table.attemptOffered(preferred);
    table.attemptOffered(preferred);
    std::set<instance_id> others;
    for (int round = 0; round < 50; ++round)
        others.insert(table.choose(query, begin)->instance);
    CHECK(others.size() == 1); // overflow goes to a single second target
    CHECK_FALSE(others.contains(preferred));
    table.attemptOffered(*others.begin());
    table.attemptOffered(*others.begin());
    for (int round = 0; round < 50; ++round)
        others.insert(table.choose(query, begin)->instance);
    CHECK(others.size() > 2);
    CHECK(hashPrefix("w", "a") != hashPrefix("v", "a"));
}

TEST_CASE("routes: a target without a sample is estimated from others with the same accelerator", "[routing]")
{
    route_table table({}, 8);
    for (const char* id : { "fast", "slow", "new" }) {
        auto record = makeTarget(id);
        record.target.accelerator = id == std::string("fast") ? "kind-a" : "kind-b";
        table.update(record);
    }
    table.attemptSucceeded("fast", 10, 1);
    table.attemptSucceeded("slow", 80, 1);
    auto query = makeQuery();
    query.excluded = { "fast", "slow" };
    CHECK(table.choose(query, begin)->estimateMs == Approx(80));
    query.excluded = { "slow" };
    // "new" is estimated like "slow", so it is selected only if both draws pick it.
    CHECK(table.choose(query, begin)->instance == "fast");
}

TEST_CASE("routes: an expired load report is ignored", "[routing]")
{
    route_table table({}, 6);
    table.update(makeTarget("a"));
    table.applyLoadReport({ "a", 2, 100, 2 }, begin);
    auto query = makeQuery();
    query.startDeadline = begin + milliseconds(100);
    CHECK_FALSE(table.choose(query, begin));
    query.startDeadline = begin + milliseconds(5100);
    CHECK(table.choose(query, begin + milliseconds(5000)));
}

TEST_CASE("routes: each strategy picks only from the candidates", "[routing]")
{
    std::mt19937_64 random(7);
    const std::vector<candidate> candidates { { 0, 5, 1, 3, 2, 0 }, { 0, 9, 1, 1, 2, 0 }, { 0, 7, 1, 2, 2, 0 } };
    for (const auto& row : strategyNames) {
        const auto strategy = makeStrategy(row.value);
        for (int round = 0; round < 100; ++round)
            CHECK(strategy->select(candidates, random).index < candidates.size());
    }
    CHECK(makeStrategy(strategy_kind::LeastOutstanding)->select(candidates, random).index == 1);
}

TEST_CASE("retry budget: retries are limited to a fraction of the requests", "[routing]")
{
    retry_budget budget(0.1, 5);
    int retries = 0;
    for (int round = 0; round < 1000; ++round) {
        budget.countRequest();
        retries += budget.tryTake() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 95);
}
