/// @file
/// @brief How many gateways share the budget of repeats, and what a gateway's earlier processes had spent.
#include "buckthornrail/registry/gateway_census.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::registry;

namespace {

const steady_time start = steady_time {} + std::chrono::hours(1);

gateway_life lifeOf(const std::string& id, std::uint64_t life, std::uint32_t spent, bool isComplete)
{
    return { id, life, { { "s", spent } }, isComplete };
}

} // namespace

TEST_CASE("census: a new leader says no number before all gateways have found it", "[registry]")
{
    const gateway_census_options periods;
    gateway_census census;
    census.heard(lifeOf("a", 1, 0, true), start);
    CHECK(census.count(start) == 0); // it has never led
    census.begin(start);
    census.heard(lifeOf("a", 1, 0, true), start);
    CHECK(census.count(start) == 0);
    census.heard(lifeOf("b", 1, 0, true), start + periods.settling / 2);
    CHECK(census.count(start + periods.settling) == 2);
}

TEST_CASE("census: a gateway counts for a window after its last word, once", "[registry]")
{
    const gateway_census_options periods;
    gateway_census census;
    census.begin(start);
    const auto later = start + periods.settling;
    census.heard(lifeOf("a", 1, 0, true), later);
    census.heard(lifeOf("b", 1, 0, true), later);
    census.heard(lifeOf("b", 2, 0, false), later + milliseconds(500));
    CHECK(census.count(later + periods.window - milliseconds(1)) == 2);
    CHECK(census.count(later + periods.window) == 1);
}

TEST_CASE("census: what earlier processes spent is told to the next one, when it is known", "[registry]")
{
    const gateway_census_options periods;
    const milliseconds soon { 1500 };
    gateway_census census;
    census.begin(start);
    const auto earlier = [&census] { return census.earlierSpent("a"); };

    SECTION("one that was never heard")
    {
        census.heard(lifeOf("a", 1, 0, false), start);
        CHECK_FALSE(earlier());
    }
    SECTION("one process after another")
    {
        census.heard(lifeOf("a", 1, 7, true), start);
        CHECK_FALSE(earlier());
        census.heard(lifeOf("a", 2, 0, false), start + soon);
        CHECK(earlier() == repeat_counts { { "s", 7 } });
        census.heard(lifeOf("a", 2, 3, false), start + soon);
        CHECK(earlier() == repeat_counts { { "s", 7 } });
        // Ended before it was told: both count.
        census.heard(lifeOf("a", 3, 0, false), start + 2 * soon);
        CHECK(earlier() == repeat_counts { { "s", 10 } });
        // Once told, its own count holds them.
        census.heard(lifeOf("a", 3, 11, true), start + 2 * soon);
        CHECK_FALSE(earlier());
        census.heard(lifeOf("a", 4, 0, false), start + 3 * soon);
        CHECK(earlier() == repeat_counts { { "s", 11 } });
    }
    SECTION("one that wasn't heard for a while before it was started anew")
    {
        census.heard(lifeOf("a", 1, 7, true), start);
        census.heard(lifeOf("a", 2, 0, false), start + periods.restartTime);
        CHECK_FALSE(earlier());
    }
    SECTION("one that followed one of which that wasn't known")
    {
        census.heard(lifeOf("a", 1, 2, false), start);
        census.heard(lifeOf("a", 2, 0, false), start + soon);
        CHECK_FALSE(earlier());
    }
    SECTION("a leader that has just been elected")
    {
        census.heard(lifeOf("a", 1, 7, true), start);
        census.begin(start + soon);
        census.heard(lifeOf("a", 2, 0, false), start + soon);
        CHECK_FALSE(earlier());
    }
}
