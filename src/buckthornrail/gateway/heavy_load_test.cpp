/// @file
/// @brief Heavy load, a pattern a case: what the pool and the exchange make of it.
///
/// The figures of the engines are those of a published document of three kinds of accelerators, rounded: a token step
/// of 1 ms at factor 1, a prompt of 800 tokens, an answer of 200.
#include "support/exchange_bench.hpp"

using namespace test_support;
using registry::layer_range;

namespace {

constexpr double promptTokens = 800;
constexpr double answerTokens = 200;
constexpr double usualTokens = promptTokens + answerTokens;
constexpr std::uint32_t layers = 80;

registry::target_record holder(
    const std::string& id, const std::string& domain, const std::string& kind, layer_range held)
{
    registry::target_record record;
    record.id = id;
    record.service = "s";
    record.address = id + ":1";
    record.failureDomain = domain;
    record.accelerator = kind;
    record.slots = 192;
    record.layers = held;
    return record;
}

/// Weights take 1 MB a layer and a token 1 kB, so that 40 layers leave room for 100 usual requests of 40 MB.
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
    engine.usualAnswerTokens = answerTokens;
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
    return poolOf({ holder("f0", "a", "fast", { 0, 40 }), holder("f1", "a", "fast", { 40, 80 }),
                      holder("s0", "a", "slow", { 0, 40 }), holder("s1", "a", "slow", { 40, 80 }) },
        mixedEngine());
}

/// A choice for a stream whose pauses are on time up to a target.
selection_constraints boundsOf(milliseconds eventGapTarget)
{
    selection_constraints bounds;
    bounds.eventGapTarget = eventGapTarget;
    return bounds;
}

/// What so many usual requests need of each of two targets with 40 layers, in the unit of load rows.
std::uint32_t workOf(double requests) { return static_cast<std::uint32_t>(requests * usualTokens * 40 / 1000); }

} // namespace

// Burst, or the loss of a chain: more streams than the fast accelerators were used for. A fast chain takes 10 ms for
// five tokens, a slow one 80 ms and, full of requests, over 200 ms, which is a pause that callers notice. Streams that
// end sooner also free their memory sooner.
TEST_CASE("heavy load: a fast chain is filled before one too slow for the gap target is begun", "[heavy]")
{
    auto pool = fastAndSlowChain();
    milliseconds gapTarget { 200 };
    const auto firstAt = [&](double requests) {
        pool.setOtherGatewayLoads({ workOf(requests), workOf(requests), 0, 0 }, zero);
        return pool.select("s", boundsOf(gapTarget), zero)->parts.front().target;
    };
    CHECK(firstAt(0) == "f0");
    CHECK(firstAt(75) == "f0");
    CHECK(firstAt(93) == "f0");
    CHECK(firstAt(120) == "s0");
    // With time enough on the slow chain room decides: a nearly full target refuses, or preempts what it has begun.
    gapTarget = milliseconds(2000);
    CHECK(firstAt(0) == "f0");
    CHECK(firstAt(93) == "s0");
}

// The same burst, once the slow chains are needed: each sequence makes every pass of a slow engine longer.
TEST_CASE("heavy load: work is spread over slow chains before their memory is short", "[heavy]")
{
    auto pool = poolOf({ holder("s0", "a", "slow", { 0, 80 }), holder("s1", "a", "slow", { 0, 80 }) }, mixedEngine());
    pool.setOtherGatewayLoads({ workOf(60), 0 }, zero);
    CHECK(pool.select("s", boundsOf(milliseconds(200)), zero)->parts.front().target == "s1");
    pool.setOtherGatewayLoads({ 0, workOf(60) }, zero);
    CHECK(pool.select("s", boundsOf(milliseconds(200)), zero)->parts.front().target == "s0");
}

// All chains full, after losses under a burst: what is begun all the same waits at a target, is preempted there and
// read again, and holds up those that were begun before.
TEST_CASE("heavy load: a stream that finds no room is refused at once, and nothing is sent", "[heavy]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    auto engine = mixedEngine();
    engine.layers = 10;
    engine.kinds = { { "", 5 + 5 * 8.0, 1, 1 } }; // beside the weights of five layers, room for eight thousand tokens
    engine.tokenBytes = 10 * 1000.0;
    bench.pool.setEngine("s", engine);
    bench.pool.setOtherGateways(30, 40); // ten a domain: 3 in 100 over what a target has is too much
    const std::uint32_t whole = 41; // thousands of tokens times layers
    const auto begin = [&bench] {
        auto call = bench.make();
        call.start(zero);
        return call;
    };
    SECTION("all full")
    {
        bench.pool.setOtherGatewayLoads({ whole + 1, whole + 1, whole + 1, whole + 1, whole + 1, whole + 1 }, zero);
        const auto call = begin();
        CHECK(call.isOver());
        CHECK(bench.port.attempts == 0);
        CHECK(bench.port.answerCode == result_code::Busy);
        CHECK(bench.port.answerRan == ran_state::No);
    }
    SECTION("as full, but with one gateway a domain: what is over comes free within half a second")
    {
        bench.pool.setOtherGateways(3, 40);
        bench.pool.setOtherGatewayLoads({ whole + 1, whole + 1, whole + 1, whole + 1, whole + 1, whole + 1 }, zero);
        CHECK_FALSE(begin().isOver());
    }
    SECTION("full a second ago, and nothing heard since")
    {
        bench.pool.setOtherGatewayLoads(
            { whole + 1, whole + 1, whole + 1, whole + 1, whole + 1, whole + 1 }, zero - milliseconds(1001));
        CHECK_FALSE(begin().isOver());
    }
    SECTION("one chain with room, in another domain")
    {
        bench.pool.setOtherGatewayLoads({ whole + 1, whole + 1, whole + 1, whole + 1, 0, 0 }, zero);
        const auto call = begin();
        CHECK_FALSE(call.isOver());
        CHECK(bench.port.target == "c0");
    }
}

// Members lost in one domain: its gateways see the same crowded members at the same moment, and each would send the
// missing layers' work to the same neighbour. The pipe between two domains takes 20 prompts a second here.
TEST_CASE("heavy load: the busier the gateways, the dearer a pipe that all their traffic would not fit", "[heavy]")
{
    auto engine = mixedEngine();
    engine.activationBytes = 62500;
    engine.linkMbps = 8000;
    auto pool = poolOf({ holder("head", "a", "fast", { 0, 40 }), holder("near", "a", "slow", { 40, 80 }),
                           holder("out", "b", "fast", { 40, 80 }) },
        engine);
    pool.setOtherGateways(10, 0);
    pool.setOtherGatewayLoads({ 0, workOf(95), 0 }, zero); // in the order of ids: head, near, out
    steady_time now {};
    CHECK(pool.select("s", {}, now)->parts.back().target == "out");
    const auto keepChoosing = [&](milliseconds period) {
        for (int at = 0; at < 400; ++at)
            pool.select("s", {}, now += period);
    };
    keepChoosing(milliseconds(50)); // 200 a second over all gateways
    CHECK(pool.select("s", {}, now)->parts.back().target == "near");
    keepChoosing(milliseconds(2000)); // 5 a second
    CHECK(pool.select("s", {}, now)->parts.back().target == "out");
}
