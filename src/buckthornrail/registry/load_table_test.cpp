/// @file
/// @brief Tests of the load totals of other sessions.
#include "buckthornrail/registry/load_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail::registry;

namespace {

target_record record(const std::string& id)
{
    target_record result;
    result.id = id;
    result.service = "s";
    result.address = id + ":1";
    return result;
}

target_table tableOf(const std::vector<std::string>& ids)
{
    target_table table;
    for (const auto& id : ids)
        table.apply(record(id));
    return table;
}

} // namespace

TEST_CASE("load table: a session gets the loads of all others without its own", "[registry]")
{
    const auto table = tableOf({ "a", "b" });
    load_table loads;
    loads.update(1, table, target_loads { 5, 0 });
    loads.update(2, table, target_loads { 7, 3 });
    CHECK(loads.othersOf(1, table) == target_loads { 7, 3 });
    CHECK(loads.othersOf(2, table) == target_loads { 5, 0 });
    CHECK(loads.othersOf(3, table) == target_loads { 12, 3 });
    loads.update(2, table, target_loads { 1, 0 });
    CHECK(loads.othersOf(1, table) == target_loads { 1, 0 });
    loads.remove(2);
    CHECK(loads.othersOf(1, table) == target_loads { 0, 0 });
}

TEST_CASE("load table: loads stay with their targets in a changed table, and a wrong length is ignored", "[registry]")
{
    auto table = tableOf({ "a", "c" });
    load_table loads;
    loads.update(1, table, target_loads { 5, 6 });
    loads.update(2, table, target_loads { 5 });
    table.apply(record("b"));
    CHECK(loads.othersOf(2, table) == target_loads { 5, 0, 6 });
}

TEST_CASE("load table: the last update of each session counts", "[registry]")
{
    rc::prop("any order of updates and removals", [] {
        constexpr std::size_t targets = 3;
        const auto table = tableOf({ "a", "b", "c" });
        load_table loads;
        std::map<std::uint64_t, target_loads> latest;
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1000));
        for (const auto step : steps) {
            const std::uint64_t session = step % 4;
            if (step % 5 == 0) {
                loads.remove(session);
                latest.erase(session);
                continue;
            }
            const target_loads ownLoads { step % 7, step % 11, step % 13 };
            loads.update(session, table, ownLoads);
            latest[session] = ownLoads;
        }
        for (std::uint64_t session = 0; session < 5; ++session) {
            target_loads expected(targets, 0);
            for (const auto& [other, otherLoads] : latest) {
                for (std::size_t index = 0; other != session && index < targets; ++index)
                    expected[index] += otherLoads[index];
            }
            RC_ASSERT(loads.othersOf(session, table) == expected);
        }
    });
}
