/// @file
/// @brief Targets that start anew under their id, as a gateway sees them: work that ran there has ended, and what was
/// seen of the life before says nothing of the new one.
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>

using namespace test_support;

namespace {

constexpr std::uint64_t second = 200;

} // namespace

TEST_CASE("target life: a stream leaves a member that has started anew, and doesn't count it", "[gateway][life]")
{
    const std::string restarted = GENERATE("a0", "a1");
    exchange_bench bench(request_kind::Stream, true, true);
    auto call = bench.make();
    call.start(zero);
    REQUIRE(bench.port.target == "a0");
    beginStream(call);
    call.onEvent("1", 1, zero);
    bench.restart(restarted, second);
    call.onTargetsChanged(zero);
    REQUIRE(bench.port.attempts == 2);
    CHECK(bench.port.target != "a0"); // its domain has no whole chain
    CHECK(bench.port.resumeAfter == 1U);
    beginStream(call);
    call.onEvent("2", 2, zero);
    call.onStreamEnd(zero);
    CHECK(bench.port.events == "12");
}

TEST_CASE("target life: a request may go to as many living targets as its route allows", "[gateway][life]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    auto call = bench.make();
    call.start(zero);
    // Its route allows two targets: lives that have ended are not among them.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        call.onSent(zero);
        bench.restart(bench.port.target, life * 100);
        call.onTargetsChanged(zero);
        REQUIRE(bench.port.attempts == life + 1);
    }
    call.onSent(zero);
    call.onHead(authenticResponse(200), zero);
    call.onBody(zero);
    CHECK(bench.port.outcome == "passed on");
}

TEST_CASE("target life: what may not be repeated ends at once, as possibly run", "[gateway][life]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    bench.restart(bench.port.target, second);
    call.onTargetsChanged(zero);
    CHECK(bench.port.attempts == 1);
    CHECK(bench.port.outcome == "answered");
    CHECK(bench.port.answerRan == ran_state::Unknown);
}

TEST_CASE("target life: one that restarts elsewhere, or is only told of again, moves nothing", "[gateway][life]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    auto call = bench.make();
    call.start(zero);
    beginStream(call);
    call.onEvent("1", 1, zero);
    bench.restart("b0", second);
    call.onTargetsChanged(zero);
    bench.setState("c1", registry::target_state::Draining);
    call.onTargetsChanged(zero);
    CHECK(bench.port.attempts == 1);
}

TEST_CASE("target life: nothing is sent on what an earlier life held", "[gateway][life]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    for (const std::string domain : { "a", "b", "c" })
        bench.restart(domain + "1", second);
    CHECK_FALSE(bench.pool.select("s", {}, zero));
    bench.restart("b1", second, { 5, 10 });
    const auto chosen = bench.pool.select("s", {}, zero);
    REQUIRE(chosen);
    CHECK(chosen->parts.back().target == registry::target_incarnation("b1", second));
}

TEST_CASE("target life: work and doubt of the life before are gone", "[gateway][life]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const auto chosen = bench.pool.select("s", {}, zero);
    REQUIRE(chosen);
    const auto target = chosen->parts.front().target;
    const request_size size { 4000, 100 };
    for (int at = 0; at < 5; ++at)
        bench.pool.began(*chosen, size);
    bench.pool.wentDark(target, zero);
    bench.pool.endedAt(target.id + ":1");
    for (int at = 0; at < 20; ++at)
        bench.pool.failed(target);
    CHECK(bench.pool.select("s", {}, zero)->parts.front().target != target);
    CHECK(bench.pool.hasEnded(target));

    bench.restart(target.id, second);
    const registry::target_incarnation later(target.id, second);
    CHECK(bench.pool.wasReplaced(target));
    CHECK_FALSE(bench.pool.wasReplaced(later));
    CHECK(bench.pool.hasEnded(target));
    CHECK_FALSE(bench.pool.hasEnded(later));
    CHECK(bench.pool.select("s", {}, zero)->parts.front().target == later); // the nearest again
    // What ran at the life before ends now: the later one's work is its own.
    const auto again = bench.pool.select("s", {}, zero);
    bench.pool.began(*again, size);
    const auto before = bench.pool.loads();
    for (int at = 0; at < 5; ++at)
        bench.pool.ended(*chosen, size, false);
    CHECK(bench.pool.loads() == before);
    bench.pool.ended(*again, size, false);
    // A late suspicion of the life before.
    bench.pool.wentDark(target, zero);
    bench.pool.failed(target);
    CHECK(bench.pool.select("s", {}, zero)->parts.front().target == later);
}
