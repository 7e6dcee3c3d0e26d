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

steady_time timeAt(int ms) { return steady_time {} + milliseconds(ms); }

} // namespace

TEST_CASE("lease table: a lease expires once, at its latest deadline", "[lease_table]")
{
    lease_table table;
    table.start("a", timeAt(100));
    table.start("a", timeAt(900)); // ignored: the lease exists
    table.start("b", timeAt(200));
    table.renew("b", timeAt(400));
    CHECK(table.takeExpired(timeAt(99), all).empty());
    CHECK(table.takeExpired(timeAt(100), all) == std::vector<std::string> { "a" });
    CHECK(table.takeExpired(timeAt(300), all).empty());
    CHECK(table.takeExpired(timeAt(400), all) == std::vector<std::string> { "b" });
    CHECK(table.takeExpired(timeAt(9000), all).empty());
    table.renew("a", timeAt(9100));
    table.renew("a", timeAt(9050)); // an earlier deadline
    CHECK(table.takeExpired(timeAt(9060), all) == std::vector<std::string> { "a" });
    CHECK(table.takeExpired(timeAt(9200), all).empty());
}

TEST_CASE("lease table: returns at most the requested number", "[lease_table]")
{
    lease_table table;
    for (int number = 0; number < 5; ++number)
        table.start(std::to_string(number), timeAt(number));
    CHECK(table.takeExpired(timeAt(50), 3) == std::vector<std::string> { "0", "1", "2" });
    CHECK(table.takeExpired(timeAt(50), 3) == std::vector<std::string> { "3", "4" });
}

TEST_CASE("lease table: agrees with a full scan", "[lease_table][property]")
{
    rc::prop("the same leases expire as in a plain map", [] {
        lease_table table;
        std::map<std::string, steady_time> plain;
        int now = 0;
        for (int step = *rc::gen::inRange(1, 200); step > 0; --step) {
            const std::string holder = std::to_string(*rc::gen::inRange(0, 6));
            const auto deadline = timeAt(now + *rc::gen::inRange(0, 300));
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                table.renew(holder, deadline);
                plain[holder] = deadline;
                break;
            case 1:
                table.start(holder, deadline);
                plain.try_emplace(holder, deadline);
                break;
            default:
                now += *rc::gen::inRange(0, 100);
                auto ended = table.takeExpired(timeAt(now), all);
                std::sort(ended.begin(), ended.end());
                std::vector<std::string> expected;
                for (const auto& [name, end] : plain) {
                    if (end <= timeAt(now))
                        expected.push_back(name);
                }
                for (const auto& name : expected)
                    plain.erase(name);
                RC_ASSERT(ended == expected);
            }
        }
    });
}
