/// @file
/// @brief Tests of starting, renewing and expiring leases.
#include "buckthornrail/registry/lease_table.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::registry;

namespace {

constexpr std::size_t all = 1000;

steady_time at(int ms) { return steady_time {} + milliseconds(ms); }

} // namespace

TEST_CASE("lease table: a lease expires once, at its latest deadline", "[lease_table]")
{
    lease_table table;
    table.begin("a", at(100));
    table.begin("a", at(900)); // ignored: the lease exists
    table.begin("b", at(200));
    table.renew("b", at(400));
    CHECK(table.takeEnded(at(99), all).empty());
    CHECK(table.takeEnded(at(100), all) == std::vector<std::string> { "a" });
    CHECK(table.takeEnded(at(300), all).empty());
    CHECK(table.takeEnded(at(400), all) == std::vector<std::string> { "b" });
    CHECK(table.takeEnded(at(9000), all).empty());
    table.renew("a", at(9100));
    table.renew("a", at(9050)); // an earlier deadline
    CHECK(table.takeEnded(at(9060), all) == std::vector<std::string> { "a" });
    CHECK(table.takeEnded(at(9200), all).empty());
}

TEST_CASE("lease table: returns at most the requested number", "[lease_table]")
{
    lease_table table;
    for (int number = 0; number < 5; ++number)
        table.begin(std::to_string(number), at(number));
    CHECK(table.takeEnded(at(50), 3) == std::vector<std::string> { "0", "1", "2" });
    CHECK(table.takeEnded(at(50), 3) == std::vector<std::string> { "3", "4" });
}

TEST_CASE("lease table: agrees with a full scan", "[lease_table][property]")
{
    rc::prop("the same leases expire as in a plain map", [] {
        lease_table table;
        std::map<std::string, steady_time> plain;
        int now = 0;
        for (int step = *rc::gen::inRange(1, 200); step > 0; --step) {
            const std::string holder = std::to_string(*rc::gen::inRange(0, 6));
            const auto deadline = at(now + *rc::gen::inRange(0, 300));
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                table.renew(holder, deadline);
                plain[holder] = deadline;
                break;
            case 1:
                table.begin(holder, deadline);
                plain.try_emplace(holder, deadline);
                break;
            default:
                now += *rc::gen::inRange(0, 100);
                auto ended = table.takeEnded(at(now), all);
                std::sort(ended.begin(), ended.end());
                std::vector<std::string> expected;
                for (const auto& [name, end] : plain) {
                    if (end <= at(now))
                        expected.push_back(name);
                }
                for (const auto& name : expected)
                    plain.erase(name);
                RC_ASSERT(ended == expected);
            }
        }
    });
}
