/// @file
/// @brief Tests of the number of live gateways and of the retries spent by a gateway's earlier processes.
#include "buckthornrail/registry/gateway_table.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::registry;

namespace {

const steady_time start = steady_time {} + std::chrono::hours(1);

gateway_usage usageOf(const std::string& id, std::uint64_t incarnation, std::uint32_t spent, bool isComplete)
{
    return { id, incarnation, { { "s", spent } }, isComplete };
}

} // namespace

TEST_CASE("gateway table: a new leader reports no number during the settling period", "[registry]")
{
    const gateway_table_options periods;
    gateway_table gateways;
    gateways.recordHeartbeat(usageOf("a", 1, 0, true), start);
    CHECK(gateways.count(start) == 0); // not the leader yet
    gateways.reset(start);
    gateways.recordHeartbeat(usageOf("a", 1, 0, true), start);
    CHECK(gateways.count(start) == 0);
    gateways.recordHeartbeat(usageOf("b", 1, 0, true), start + periods.settlingPeriod / 2);
    CHECK(gateways.count(start + periods.settlingPeriod) == 2);
}

TEST_CASE("gateway table: a gateway counts once, for a window after its last heartbeat", "[registry]")
{
    const gateway_table_options periods;
    gateway_table gateways;
    gateways.reset(start);
    const auto later = start + periods.settlingPeriod;
    gateways.recordHeartbeat(usageOf("a", 1, 0, true), later);
    gateways.recordHeartbeat(usageOf("b", 1, 0, true), later);
    gateways.recordHeartbeat(usageOf("b", 2, 0, false), later + milliseconds(500));
    CHECK(gateways.count(later + periods.window - milliseconds(1)) == 2);
    CHECK(gateways.count(later + periods.window) == 1);
}

TEST_CASE("gateway table: the retries spent by earlier processes are reported when known", "[registry]")
{
    const gateway_table_options periods;
    const milliseconds soon { 1500 };
    gateway_table gateways;
    gateways.reset(start);
    const auto earlier = [&gateways] { return gateways.earlierRetries("a"); };

    SECTION("no earlier heartbeat")
    {
        gateways.recordHeartbeat(usageOf("a", 1, 0, false), start);
        CHECK_FALSE(earlier());
    }
    SECTION("several processes in succession")
    {
        gateways.recordHeartbeat(usageOf("a", 1, 7, true), start);
        CHECK_FALSE(earlier());
        gateways.recordHeartbeat(usageOf("a", 2, 0, false), start + soon);
        CHECK(earlier() == retry_counts { { "s", 7 } });
        gateways.recordHeartbeat(usageOf("a", 2, 3, false), start + soon);
        CHECK(earlier() == retry_counts { { "s", 7 } });
        // It ended before it received the earlier count: both are added.
        gateways.recordHeartbeat(usageOf("a", 3, 0, false), start + 2 * soon);
        CHECK(earlier() == retry_counts { { "s", 10 } });
        // Once it has received the earlier count, its own includes them.
        gateways.recordHeartbeat(usageOf("a", 3, 11, true), start + 2 * soon);
        CHECK_FALSE(earlier());
        gateways.recordHeartbeat(usageOf("a", 4, 0, false), start + 3 * soon);
        CHECK(earlier() == retry_counts { { "s", 11 } });
    }
    SECTION("a pause in heartbeats before the restart")
    {
        gateways.recordHeartbeat(usageOf("a", 1, 7, true), start);
        gateways.recordHeartbeat(usageOf("a", 2, 0, false), start + periods.restartTime);
        CHECK_FALSE(earlier());
    }
    SECTION("an earlier process whose own earlier retries were unknown")
    {
        gateways.recordHeartbeat(usageOf("a", 1, 2, false), start);
        gateways.recordHeartbeat(usageOf("a", 2, 0, false), start + soon);
        CHECK_FALSE(earlier());
    }
    SECTION("a newly elected leader")
    {
        gateways.recordHeartbeat(usageOf("a", 1, 7, true), start);
        gateways.reset(start + soon);
        gateways.recordHeartbeat(usageOf("a", 2, 0, false), start + soon);
        CHECK_FALSE(earlier());
    }
}
