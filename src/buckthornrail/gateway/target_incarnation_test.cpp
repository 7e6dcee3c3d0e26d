/// @file
/// @brief Restarted targets: a new incarnation under the same id means that the work of the previous one has ended. Its
/// load and failure history must not be applied to the new one.
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>

using namespace test_support;

namespace {

constexpr std::uint64_t secondStartMs = 200;

} // namespace

TEST_CASE("target incarnation: a stream moves away from a restarted target, which doesn't count as an attempt",
    "[gateway][incarnation]")
{
    const std::string restarted = GENERATE("a0", "a1");
    exchange_bench bench(request_kind::Stream, true, true);
    auto call = bench.make();
    call.start(zero);
    REQUIRE(bench.port.target == "a0");
    beginStream(call);
    call.onEvent("1", 1, zero);
    bench.restart(restarted, secondStartMs);
    call.onTargetsChanged(zero);
    REQUIRE(bench.port.attempts == 2);
    CHECK(bench.port.target != "a0"); // its domain has no complete chain any more
    CHECK(bench.port.resumeAfter == 1U);
    beginStream(call);
    call.onEvent("2", 2, zero);
    call.onStreamEnd(http1::message_end::LastChunk, zero);
    CHECK(bench.port.events == "12");
}

TEST_CASE("target incarnation: ended incarnations don't count towards the route's maximum of attempts",
    "[gateway][incarnation]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    auto call = bench.make();
    call.start(zero);
    // The route allows two targets; incarnations that have ended don't count.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        call.onSent(zero);
        bench.restart(bench.port.target, incarnation * 100);
        call.onTargetsChanged(zero);
        REQUIRE(bench.port.attempts == incarnation + 1);
    }
    call.onSent(zero);
    call.onHead(authenticResponse(200), zero);
    call.onBody(http1::message_end::Length, zero);
    CHECK(bench.port.outcome == "forwarded");
}

TEST_CASE("target incarnation: a request that may not be retried ends at once, as possibly executed",
    "[gateway][incarnation]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    bench.restart(bench.port.target, secondStartMs);
    call.onTargetsChanged(zero);
    CHECK(bench.port.attempts == 1);
    CHECK(bench.port.outcome == "error");
    CHECK(bench.port.errorRan == ran_state::Unknown);
}

TEST_CASE(
    "target incarnation: a restart outside the path, or a mere state change, moves no stream", "[gateway][incarnation]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    auto call = bench.make();
    call.start(zero);
    beginStream(call);
    call.onEvent("1", 1, zero);
    bench.restart("b0", secondStartMs);
    call.onTargetsChanged(zero);
    bench.setState("c1", registry::target_state::Draining);
    call.onTargetsChanged(zero);
    CHECK(bench.port.attempts == 1);
}

TEST_CASE("target incarnation: layers of a previous incarnation are not used", "[gateway][incarnation]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    for (const std::string domain : { "a", "b", "c" })
        bench.restart(domain + "1", secondStartMs);
    CHECK_FALSE(bench.pool.select("s", {}, zero));
    bench.restart("b1", secondStartMs, { 5, 10 });
    const auto selected = bench.pool.select("s", {}, zero);
    REQUIRE(selected);
    CHECK(selected->parts.back().target == registry::target_incarnation("b1", secondStartMs));
}

TEST_CASE(
    "target incarnation: load and failure history of the previous incarnation are dropped", "[gateway][incarnation]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const auto selected = bench.pool.select("s", {}, zero);
    REQUIRE(selected);
    const auto target = selected->parts.front().target;
    const request_size size { 4000, 100 };
    for (int i = 0; i < 5; ++i)
        bench.pool.attemptStarted(*selected, size);
    bench.pool.markUnreachable(target, zero);
    const std::string address = target.id + ":1";
    bench.pool.markRefusing(address);
    for (int i = 0; i < 20; ++i)
        bench.pool.failed(target);
    CHECK(bench.pool.select("s", {}, zero)->parts.front().target != target);
    CHECK(bench.pool.evidenceOf(target, address) == target_evidence::Refusing);

    bench.restart(target.id, secondStartMs);
    const registry::target_incarnation later(target.id, secondStartMs);
    CHECK(bench.pool.wasReplaced(target));
    CHECK_FALSE(bench.pool.wasReplaced(later));
    CHECK(bench.pool.evidenceOf(target, address) == target_evidence::Replaced);
    CHECK(bench.pool.evidenceOf(later, address) == target_evidence::Alive);
    CHECK(bench.pool.select("s", {}, zero)->parts.front().target == later); // in the own domain again
    // Attempts at the previous incarnation that end now must not reduce the new one's load.
    const auto again = bench.pool.select("s", {}, zero);
    bench.pool.attemptStarted(*again, size);
    const auto before = bench.pool.loads();
    for (int i = 0; i < 5; ++i)
        bench.pool.attemptEnded(*selected, size, false);
    CHECK(bench.pool.loads() == before);
    bench.pool.attemptEnded(*again, size, false);
    // Late failure reports about the previous incarnation.
    bench.pool.markUnreachable(target, zero);
    bench.pool.failed(target);
    CHECK(bench.pool.select("s", {}, zero)->parts.front().target == later);
}
