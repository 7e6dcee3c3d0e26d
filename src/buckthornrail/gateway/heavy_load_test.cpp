/// @file
/// @brief Placement and admission by the pool and the exchange under heavy load, one load pattern per case.
///
/// Engine parameters are rounded from a published document with three kinds of accelerators: a token step of 1 ms at
/// factor 1, a prompt of 800 tokens, an output of 200.
#include "support/exchange_bench.hpp"

#include <cmath>

using namespace test_support;
using registry::layer_range;

namespace {

constexpr double promptTokens = 800;
constexpr double outputTokens = 200;
constexpr double usualTokens = promptTokens + outputTokens;
constexpr std::uint32_t layers = 80;

registry::target_record targetWith(
    const std::string& id, const std::string& domain, const std::string& kind, layer_range range)
{
    registry::target_record record;
    record.id = id;
    record.service = "s";
    record.address = id + ":1";
    record.failureDomain = domain;
    record.accelerator = kind;
    record.slots = 192;
    record.layers = range;
    return record;
}

/// Weights take 1 MB per layer and a token 1 kB per layer, so that beside 40 layers there is memory for 100 typical
/// requests of 40 MB.
layered_engine mixedEngine()
{
    layered_engine engine;
    engine.layers = layers;
    engine.layerMb = 1;
    engine.tokenBytes = layers * 1000.0;
    engine.stepMs = 1;
    engine.stepMsPerSequence = 0.003;
    engine.stepMsPerContextToken = 0.000004;
    engine.stepsPerPass = 5;
    engine.usualPromptTokens = promptTokens;
    engine.usualOutputTokens = outputTokens;
    engine.kinds = { { "fast", 4040, 2, 1 }, { "slow", 4040, 16, 1 } };
    return engine;
}

target_pool poolOf(const std::vector<registry::target_record>& records, const layered_engine& engine)
{
    target_pool pool({ "a" }, 1);
    std::map<std::string, registry::target_record> table;
    for (const auto& record : records)
        table[record.id] = record;
    pool.update(table);
    pool.setEngine("s", engine);
    pool.setOtherGateways(1, 0);
    return pool;
}

target_pool fastAndSlowChain()
{
    return poolOf({ targetWith("f0", "a", "fast", { 0, 40 }), targetWith("f1", "a", "fast", { 40, 80 }),
                      targetWith("s0", "a", "slow", { 0, 40 }), targetWith("s1", "a", "slow", { 40, 80 }) },
        mixedEngine());
}

/// Constraints of a stream with a target for the gap between events.
selection_constraints constraintsOf(milliseconds eventGapTarget)
{
    selection_constraints constraints;
    constraints.eventGapTarget = eventGapTarget;
    return constraints;
}

/// Load of a number of typical requests on each of two targets with 40 layers, in 1000 tokens times layers.
std::uint32_t loadOf(double requests) { return static_cast<std::uint32_t>(requests * usualTokens * 40 / 1000); }

} // namespace

// A burst, or the loss of a chain, brings more streams than the fast accelerators normally serve. A fast chain takes
// 10 ms for five tokens, a slow one 80 ms and over 200 ms when full, which callers notice. Streams that end sooner also
// free their memory sooner.
TEST_CASE("heavy load: a fast chain is filled before one that is too slow for the gap target is used", "[heavy]")
{
    auto pool = fastAndSlowChain();
    milliseconds gapTarget { 200 };
    const auto firstAt = [&](double requests) {
        pool.setOtherGatewayLoads({ loadOf(requests), loadOf(requests), 0, 0 }, zero);
        return pool.select("s", constraintsOf(gapTarget), zero)->parts.front().target;
    };
    CHECK(firstAt(0) == "f0");
    CHECK(firstAt(75) == "f0");
    CHECK(firstAt(93) == "f0");
    CHECK(firstAt(120) == "s0");
    // If the slow chain meets the gap target, free memory decides: a nearly full target refuses requests or preempts
    // them.
    gapTarget = milliseconds(2000);
    CHECK(firstAt(0) == "f0");
    CHECK(firstAt(93) == "s0");
}

// The same burst once the slow chains are needed: each sequence lengthens every pass of a slow engine.
TEST_CASE("heavy load: load is spread over slow chains before their memory is short", "[heavy]")
{
    auto pool
        = poolOf({ targetWith("s0", "a", "slow", { 0, 80 }), targetWith("s1", "a", "slow", { 0, 80 }) }, mixedEngine());
    pool.setOtherGatewayLoads({ loadOf(60), 0 }, zero);
    CHECK(pool.select("s", constraintsOf(milliseconds(200)), zero)->parts.front().target == "s1");
    pool.setOtherGatewayLoads({ 0, loadOf(60) }, zero);
    CHECK(pool.select("s", constraintsOf(milliseconds(200)), zero)->parts.front().target == "s0");
}

// All chains are full after losses during a burst. A request that is sent all the same waits at its target, is
// preempted, processes its prompt again and delays the requests that started before it.
TEST_CASE("heavy load: a stream without free capacity is refused at once, and nothing is sent", "[heavy]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    auto engine = mixedEngine();
    engine.layers = 10;
    engine.kinds = { { "", 5 + 5 * 8.0, 1, 1 } }; // beside the weights of five layers, memory for 8000 tokens
    engine.tokenBytes = 10 * 1000.0;
    bench.pool.setEngine("s", engine);
    bench.pool.setOtherGateways(30, 40); // ten per domain: 3 % over the capacity of a target is too much
    const std::uint32_t maxLoad = 41; // thousands of tokens times layers
    const auto begin = [&bench] {
        auto call = bench.make();
        call.start(zero);
        return call;
    };
    SECTION("all full")
    {
        bench.pool.setOtherGatewayLoads(
            { maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1 }, zero);
        const auto call = begin();
        CHECK(call.isOver());
        CHECK(bench.port.attempts == 0);
        CHECK(bench.port.errorCode == result_code::Busy);
        CHECK(bench.port.errorRan == ran_state::No);
    }
    SECTION("equally full, but with one gateway per domain: the excess is freed within half a second")
    {
        bench.pool.setOtherGateways(3, 40);
        bench.pool.setOtherGatewayLoads(
            { maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1 }, zero);
        CHECK_FALSE(begin().isOver());
    }
    SECTION("full a second ago, and no report since")
    {
        bench.pool.setOtherGatewayLoads(
            { maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1 },
            zero - milliseconds(1001));
        CHECK_FALSE(begin().isOver());
    }
    SECTION("one chain with free capacity, in another domain")
    {
        bench.pool.setOtherGatewayLoads({ maxLoad + 1, maxLoad + 1, maxLoad + 1, maxLoad + 1, 0, 0 }, zero);
        const auto call = begin();
        CHECK_FALSE(call.isOver());
        CHECK(bench.port.target == "c0");
    }
}

// Members of one domain are lost. Its gateways see the same overloaded members at the same time, and each would send
// the load of the missing layers to the same neighbour domain. The link between two domains carries 20 prompts per
// second.
TEST_CASE("heavy load: a link too slow for all gateways' traffic costs more the busier they are", "[heavy]")
{
    auto engine = mixedEngine();
    engine.activationBytes = 62500;
    engine.linkMbps = 8000;
    auto pool = poolOf({ targetWith("head", "a", "fast", { 0, 40 }), targetWith("near", "a", "slow", { 40, 80 }),
                           targetWith("out", "b", "fast", { 40, 80 }) },
        engine);
    pool.setOtherGateways(10, 0);
    pool.setOtherGatewayLoads({ 0, loadOf(95), 0 }, zero); // in the order of ids: head, near, out
    steady_time now {};
    CHECK(pool.select("s", {}, now)->parts.back().target == "out");
    const auto selectRepeatedly = [&](milliseconds period) {
        for (int i = 0; i < 400; ++i)
            pool.select("s", {}, now += period);
    };
    selectRepeatedly(milliseconds(50)); // 200 a second over all gateways
    CHECK(pool.select("s", {}, now)->parts.back().target == "near");
    selectRepeatedly(milliseconds(2000)); // 5 a second
    CHECK(pool.select("s", {}, now)->parts.back().target == "out");
}

// Path searches for requests that can't start anyway take the processor from streams while a service is full.
TEST_CASE("heavy load: the lowest memory use is a lower bound of that of every path", "[heavy]")
{
    auto pool = fastAndSlowChain();
    for (const auto& loads :
        std::vector<std::vector<double>> { { 0, 0, 0, 0 }, { 90, 20, 50, 70 }, { 120, 130, 110, 99 } }) {
        pool.setOtherGatewayLoads({ loadOf(loads[0]), loadOf(loads[1]), loadOf(loads[2]), loadOf(loads[3]) }, zero);
        const double bound = pool.lowestMemoryUse("s");
        CHECK(bound == Approx(std::max(std::min(loads[0], loads[2]), std::min(loads[1], loads[3])) / 100).margin(0.02));
        CHECK(bound <= pool.select("s", constraintsOf(milliseconds(200)), zero)->memoryUse);
    }
    pool.update({});
    CHECK(std::isinf(pool.lowestMemoryUse("s")));
}
