/// @file
/// @brief Load pattern: targets in need name how much they take. Where requests go then, and what is refused.
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>

using namespace test_support;

namespace {

target_response named(int status, std::optional<double> perSecond, bool stream = false)
{
    auto answer = authenticResponse(status, stream);
    answer.pushback = target_pushback { perSecond, {} };
    return answer;
}

steady_time at(int ms) { return zero + milliseconds(ms); }

/// Takes a target's limit over as another gateway heard it.
void tell(target_pool& pool, const std::string& target, std::optional<double> perSecond, int ms)
{
    (void)pool.toldLimits(std::vector<registry::limit_news> { { target, perSecond, 0 } }, at(ms));
}

/// @return how many of so many selections, one each 100 ms, begin at a target; each is sent
int firstsAt(target_pool& pool, const std::string& target, int count, int fromMs)
{
    int found = 0;
    for (int one = 0; one < count; ++one) {
        const auto chosen = pool.select("s", {}, at(fromMs + one * 100));
        REQUIRE(chosen);
        pool.noteSent(chosen->parts.front().target, at(fromMs + one * 100));
        found += chosen->parts.front().target == target ? 1 : 0;
    }
    return found;
}

} // namespace

// Guards against limits that only first attempts heed: all that is selected is bound by them.
TEST_CASE("target limit: a path begins at a target as often as it takes, and elsewhere otherwise", "[target_limit]")
{
    const bool layered = GENERATE(false, true);
    CAPTURE(layered);
    exchange_bench bench(request_kind::Safe, false, layered);
    bench.pool.setShare({ 1, 0 }, zero);
    CHECK(firstsAt(bench.pool, "a0", 50, 0) > 20); // of the gateway's own domain
    tell(bench.pool, "a0", 1, 5000);
    CHECK(firstsAt(bench.pool, "a0", 50, 5000) <= 10); // within 5 s
}

// Guards against a fleet that stands still for a limit: limited targets are used last, not never.
TEST_CASE("target limit: where all targets are limited, each gets what it takes", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    for (const std::string target : { "a0", "b0", "c0" })
        tell(bench.pool, target, 2, 0);
    int served = 0;
    for (int ms = 0; ms < 20000; ms += 50) {
        const auto chosen = bench.pool.select("s", {}, at(ms));
        served += chosen ? 1 : 0;
        if (chosen)
            bench.pool.noteSent(chosen->parts.front().target, at(ms));
    }
    CHECK(served >= 110); // of 120
    CHECK(served <= 135);
}

// Guards against callers that wait for a deadline, or come back together at the next moment.
TEST_CASE(
    "target limit: what no target takes now is refused at once, not run, with a time to come back", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    for (const std::string target : { "a0", "b0", "c0" }) {
        tell(bench.pool, target, 0.5, 0);
        for (int sent = 0; sent < 5; ++sent)
            bench.pool.noteSent(target, at(0));
    }
    std::set<steady_time> times;
    for (int request = 0; request < 10; ++request) {
        bench.port.outcome.clear();
        auto call = bench.make();
        call.start(zero);
        CHECK(bench.port.outcome == "answered");
        CHECK(bench.port.answerRan == ran_state::No);
        REQUIRE(call.roomExpectedAt());
        CHECK(*call.roomExpectedAt() > zero);
        times.insert(*call.roomExpectedAt());
    }
    CHECK(times.size() == 10);
}

// Guards against a time to come back that is lost for a target which is loading, and can't begin a path.
TEST_CASE("target limit: targets at which no path begins don't count as room", "[target_limit]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    for (const std::string target : { "a0", "b0" })
        (void)bench.pool.heard(target, { {}, {}, milliseconds(3000) }, false, zero, zero);
    bench.setLayers("c0", {});
    const auto room = bench.pool.roomExpectedAt("s", zero);
    REQUIRE(room);
    CHECK(*room >= at(3000));
}

TEST_CASE("target limit: a refusal for another reason names no such time", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    tell(bench.pool, "a0", 0.5, 0);
    for (const std::string target : { "a0", "b0", "c0" })
        bench.setState(target, registry::target_state::Gone);
    auto call = bench.make();
    call.start(zero);
    CHECK(bench.port.outcome == "answered");
    CHECK_FALSE(call.roomExpectedAt());
}

// Guards against an answer that was on its way when the limit was named, and ends it.
TEST_CASE("target limit: only a request that was sent after it tells that it is over", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    const registry::target_incarnation a0 = "a0";
    CHECK(bench.pool.heard(a0, { 1, {} }, true, at(0), at(100)));
    CHECK_FALSE(bench.pool.heard(a0, { 1, {} }, true, at(0), at(150)));
    CHECK_FALSE(bench.pool.heard(a0, { {}, {} }, true, at(50), at(200)));
    CHECK(bench.pool.limitedCount(at(200)) == 1);
    CHECK_FALSE(bench.pool.heard(a0, { {}, {} }, false, at(160), at(200))); // of one that isn't the target's answer
    CHECK_FALSE(bench.pool.heard(a0, { {}, {} }, true, at(160), at(200))); // one alone may lack it
    CHECK_FALSE(bench.pool.heard(a0, { 1, {} }, true, at(160), at(210)));
    CHECK_FALSE(bench.pool.heard(a0, { {}, {} }, true, at(220), at(230)));
    const auto over = bench.pool.heard(a0, { {}, {} }, true, at(220), at(230));
    REQUIRE(over);
    CHECK(over->before == 1.0);
    CHECK_FALSE(over->after);
    CHECK(bench.pool.limitedCount(at(200)) == 0);
}

// Guards against a limit that is kept to itself, or told over and over.
TEST_CASE("target limit: other gateways are told of what was heard here, and when it was over", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const registry::target_incarnation a0 = "a0";
    tell(bench.pool, "b0", 3, 0);
    CHECK(bench.pool.takeLimitNews(false, at(0)).empty()); // it is the others' own
    (void)bench.pool.heard(a0, { 1, {} }, true, at(0), at(100));
    const auto news = bench.pool.takeLimitNews(false, at(150));
    REQUIRE(news.size() == 1);
    CHECK(news.front() == registry::limit_news { a0, 1, 50 });
    (void)bench.pool.heard(a0, { 1, {} }, true, at(200), at(300));
    CHECK(bench.pool.takeLimitNews(false, at(300)).empty());
    (void)bench.pool.heard(a0, { 1, {} }, true, at(1200), at(1300));
    CHECK(bench.pool.takeLimitNews(false, at(1300)).size() == 1); // that it holds on, once a second
    (void)bench.pool.heard(a0, { {}, {} }, true, at(1400), at(1500));
    (void)bench.pool.heard(a0, { {}, {} }, true, at(1400), at(1500));
    CHECK(bench.pool.takeLimitNews(false, at(1500)).size() == 1);
    CHECK(bench.pool.takeLimitNews(true, at(1500)).size() == 2); // a new session: everything
}

// Guards against limits that an earlier life of a target named.
TEST_CASE("target limit: a target that starts anew has named none", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    tell(bench.pool, "a0", 0, 0);
    CHECK(bench.pool.limitedCount(at(0)) == 1);
    bench.restart("a0", 500);
    CHECK(bench.pool.limitedCount(at(0)) == 0);
}

TEST_CASE("target limit: what can't be read changes nothing", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    (void)bench.pool.heard("a0", { 1, {} }, true, at(0), at(100));
    CHECK_FALSE(bench.pool.heard("a0", { {}, "field: nan" }, true, at(200), at(300)));
    CHECK(bench.pool.limitedCount(at(300)) == 1);
}

// Guards against answers whose limit is lost, whatever they are: whole, refused, streamed, failed.
TEST_CASE("target limit: it is taken from any answer of the target", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    auto answer = GENERATE(named(200, 4), named(500, 4), named(404, 4));
    SECTION("its own") { }
    SECTION("a refusal")
    {
        answer = refusal();
        answer.pushback = target_pushback { 4, {} };
    }
    call.onHead(answer, zero);
    CHECK(bench.pool.limitedCount(zero) == 1);
}

// Guards against questions that go past the limit, and against a target that passes for dead since it wasn't asked.
TEST_CASE("target limit: a silent stream's target is asked only as often as it takes", "[target_limit]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    bench.pool.setShare({ 1, 0 }, zero);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    for (const auto& target : bench.firsts) {
        tell(bench.pool, target, 0, 0);
        for (int sent = 0; sent < 5; ++sent)
            bench.pool.noteSent(target, at(0));
    }
    for (int ms = 0; ms <= 900; ms += 50)
        call.onTimer(at(ms));
    CHECK(bench.port.reports == 0);
    CHECK(bench.port.attempts == 1);
}
// Guards against a pause of the gateway's own in place of the time that a target names, and against one that a stream
// ends which goes on there.
TEST_CASE("target rest: nothing begins at a target until its rest is over", "[target_limit]")
{
    const bool layered = GENERATE(false, true);
    CAPTURE(layered);
    exchange_bench bench(request_kind::Safe, false, layered);
    auto turnedAway = refusal();
    turnedAway.pushback = target_pushback { {}, {}, milliseconds(3000) };
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    const auto target = bench.port.target;
    call.onHead(turnedAway, zero);
    CHECK(bench.port.attempts == 2); // it goes on elsewhere at once
    for (int ms = 0; ms < 3000; ms += 50) {
        bench.pool.succeeded(target, 5); // of an earlier stream
        const auto chosen = bench.pool.select("s", {}, at(ms));
        REQUIRE(chosen);
        CHECK(chosen->parts.front().target != target);
        CHECK_FALSE(bench.pool.maySend(target, at(ms)));
    }
    CHECK(bench.pool.maySend(target, at(3000)));
    CHECK(bench.pool.takeDark().empty()); // it lives
}

// Guards against a shorter rest that cuts a longer one off, which was asked for earlier.
TEST_CASE("target rest: the one that ends last counts", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const registry::target_incarnation a0 = "a0";
    (void)bench.pool.heard(a0, { {}, {}, milliseconds(3000) }, false, at(0), at(0));
    (void)bench.pool.heard(a0, { {}, {}, milliseconds(200) }, false, at(1000), at(1000));
    CHECK_FALSE(bench.pool.maySend(a0, at(2999)));
    CHECK(bench.pool.maySend(a0, at(3000)));
    bench.restart("a0", 500);
    CHECK(bench.pool.maySend({ "a0", 500 }, at(1500))); // another life has asked for none
}

TEST_CASE("target rest: where all rest, a request is refused at once until one is over", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    for (const std::string target : { "a0", "b0", "c0" })
        (void)bench.pool.heard(target, { {}, {}, milliseconds(target == "b0" ? 2000 : 3000) }, false, zero, zero);
    auto call = bench.make();
    call.start(zero);
    CHECK(bench.port.outcome == "answered");
    CHECK(bench.port.answerRan == ran_state::No);
    REQUIRE(call.roomExpectedAt());
    CHECK(*call.roomExpectedAt() >= at(2000));
    CHECK(*call.roomExpectedAt() <= at(2500));
}

// Guards against a path that is given up while nothing but a resting member has the layers.
TEST_CASE("target rest: a member that rests is passed through only where no other has its layers", "[target_limit]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    (void)bench.pool.heard("a1", { {}, {}, milliseconds(3000) }, false, zero, zero);
    const auto chosen = bench.pool.select("s", {}, zero);
    REQUIRE(chosen);
    CHECK(chosen->parts.back().target != registry::target_incarnation("a1"));
    bench.setState("b1", registry::target_state::Gone);
    bench.setState("c1", registry::target_state::Gone);
    CHECK(bench.pool.select("s", {}, zero)->parts.back().target == registry::target_incarnation("a1"));
}

// Guards against work for a target that only its answers call leaving.
TEST_CASE(
    "target leave: nothing passes through a target that says that it leaves, and others are told", "[target_limit]")
{
    const bool layered = GENERATE(false, true);
    CAPTURE(layered);
    exchange_bench bench(request_kind::Stream, true, layered);
    target_pushback leaves;
    leaves.isLeaving = true;
    const registry::target_incarnation a0 = "a0";
    (void)bench.pool.heard(a0, leaves, true, zero, zero);
    (void)bench.pool.heard(a0, {}, true, at(50), at(100)); // it doesn't come back
    CHECK_FALSE(bench.pool.maySend(a0, at(100)));
    CHECK(bench.pool.isLeaving(a0));
    for (int ms = 0; ms < 2000; ms += 50) {
        const auto chosen = bench.pool.select("s", {}, at(ms));
        REQUIRE(chosen);
        for (const auto& part : chosen->parts)
            CHECK(part.target != a0);
    }
    CHECK(bench.pool.leavingUnknown() == std::vector<registry::target_incarnation> { a0 });
    bench.setState("a0", registry::target_state::Draining);
    CHECK(bench.pool.leavingUnknown().empty());
    bench.restart("a0", 500);
    CHECK(bench.pool.maySend({ "a0", 500 }, at(3000)));
}

// Guards against an operator who can't see why a target gets nothing.
TEST_CASE("target pushback: who is limited, resting or leaving is listed, and until when", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    tell(bench.pool, "a0", 1.5, 0);
    (void)bench.pool.heard("b0", { {}, {}, milliseconds(3000) }, false, zero, zero);
    target_pushback leaves;
    leaves.isLeaving = true;
    (void)bench.pool.heard("c0", leaves, false, zero, zero);
    const auto held = bench.pool.heldTargets(at(1000));
    REQUIRE(held.size() == 3);
    CHECK(held[0].perSecond == 1.5);
    CHECK(held[0].heardAgo == milliseconds(1000));
    CHECK(held[1].restLeft == milliseconds(2000));
    CHECK(held[2].isLeaving);
    CHECK(bench.pool.heldTargets(at(3000)).size() == 2);
}
