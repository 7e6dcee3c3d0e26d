/// @file
/// @brief Rate limits, backoff and leaving that targets announce: where requests go then, and what is refused.
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>

using namespace test_support;

namespace {

target_response responseWithLimit(int status, std::optional<double> perSecond, bool stream = false)
{
    auto response = authenticResponse(status, stream);
    response.pushback = target_pushback { perSecond, {} };
    return response;
}

steady_time afterMs(int ms) { return zero + milliseconds(ms); }

/// Merges a limit that another gateway received from a target.
void mergeLimit(target_pool& pool, const std::string& target, std::optional<double> perSecond, int ms)
{
    (void)pool.mergeRemoteLimits(std::vector<registry::limit_report> { { target, perSecond, 0 } }, afterMs(ms));
}

/// Makes `count` selections at intervals of 100 ms and counts each as sent.
/// @return the number of selections whose first target is the given one
int countFirst(target_pool& pool, const std::string& target, int count, int fromMs)
{
    int found = 0;
    for (int i = 0; i < count; ++i) {
        const auto selected = pool.select("s", {}, afterMs(fromMs + i * 100));
        REQUIRE(selected);
        pool.recordSent(selected->parts.front().target, afterMs(fromMs + i * 100));
        found += selected->parts.front().target == target ? 1 : 0;
    }
    return found;
}

} // namespace

// Guards against limits that apply to first attempts only: they apply to every selection.
TEST_CASE("target limit: a path begins at a target within its limit, and elsewhere beyond it", "[target_limit]")
{
    const bool layered = GENERATE(false, true);
    CAPTURE(layered);
    exchange_bench bench(request_kind::Safe, false, layered);
    bench.pool.setShare({ 1, 0 }, zero);
    CHECK(countFirst(bench.pool, "a0", 50, 0) > 20); // in the gateway's own domain
    mergeLimit(bench.pool, "a0", 1, 5000);
    CHECK(countFirst(bench.pool, "a0", 50, 5000) <= 10); // within 5 s
}

// Guards against requests that are refused although limited targets could serve them: they are used last, not never.
TEST_CASE("target limit: where all targets are limited, each is used up to its limit", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    for (const std::string target : { "a0", "b0", "c0" })
        mergeLimit(bench.pool, target, 2, 0);
    int served = 0;
    for (int ms = 0; ms < 20000; ms += 50) {
        const auto selected = bench.pool.select("s", {}, afterMs(ms));
        served += selected ? 1 : 0;
        if (selected)
            bench.pool.recordSent(selected->parts.front().target, afterMs(ms));
    }
    CHECK(served >= 110); // of 120
    CHECK(served <= 135);
}

// Guards against callers that wait until their deadline, or that all retry at the same moment.
TEST_CASE("target limit: with all limits used up, a request is refused at once, not executed, with a time to retry",
    "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    for (const std::string target : { "a0", "b0", "c0" }) {
        mergeLimit(bench.pool, target, 0.5, 0);
        for (int sent = 0; sent < 5; ++sent)
            bench.pool.recordSent(target, afterMs(0));
    }
    std::set<steady_time> times;
    for (int request = 0; request < 10; ++request) {
        bench.port.outcome.clear();
        auto call = bench.make();
        call.start(zero);
        CHECK(bench.port.outcome == "error");
        CHECK(bench.port.errorRan == ran_state::No);
        REQUIRE(call.earliestSendAt());
        CHECK(*call.earliestSendAt() > zero);
        times.insert(*call.earliestSendAt());
    }
    CHECK(times.size() == 10);
}

// Guards against a missing retry time while another target is loading layers and can't be the first of a path.
TEST_CASE("target limit: targets that can't be the first of a path don't count as available", "[target_limit]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    for (const std::string target : { "a0", "b0" })
        (void)bench.pool.recordPushback(target, { {}, {}, milliseconds(3000) }, false, zero, zero);
    bench.setLayers("c0", {});
    const auto sendAt = bench.pool.earliestSendAt("s", zero);
    REQUIRE(sendAt);
    CHECK(*sendAt >= afterMs(3000));
}

TEST_CASE("target limit: a refusal for another reason names no retry time", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    mergeLimit(bench.pool, "a0", 0.5, 0);
    for (const std::string target : { "a0", "b0", "c0" })
        bench.setState(target, registry::target_state::Gone);
    auto call = bench.make();
    call.start(zero);
    CHECK(bench.port.outcome == "error");
    CHECK_FALSE(call.earliestSendAt());
}

// Guards against a response that was in flight when the limit was set, and that clears it.
TEST_CASE("target limit: only responses to requests sent after its confirmation clear it", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    const registry::target_incarnation a0 = "a0";
    CHECK(bench.pool.recordPushback(a0, { 1, {} }, true, afterMs(0), afterMs(100)));
    CHECK_FALSE(bench.pool.recordPushback(a0, { 1, {} }, true, afterMs(0), afterMs(150)));
    CHECK_FALSE(bench.pool.recordPushback(a0, { {}, {} }, true, afterMs(50), afterMs(200)));
    CHECK(bench.pool.limitedCount(afterMs(200)) == 1);
    CHECK_FALSE(bench.pool.recordPushback(
        a0, { {}, {} }, false, afterMs(160), afterMs(200))); // not a response of the target itself
    CHECK_FALSE(
        bench.pool.recordPushback(a0, { {}, {} }, true, afterMs(160), afterMs(200))); // a single one doesn't clear it
    CHECK_FALSE(bench.pool.recordPushback(a0, { 1, {} }, true, afterMs(160), afterMs(210)));
    CHECK_FALSE(bench.pool.recordPushback(a0, { {}, {} }, true, afterMs(220), afterMs(230)));
    const auto over = bench.pool.recordPushback(a0, { {}, {} }, true, afterMs(220), afterMs(230));
    REQUIRE(over);
    CHECK(over->before == 1.0);
    CHECK_FALSE(over->after);
    CHECK(bench.pool.limitedCount(afterMs(200)) == 0);
}

// Guards against limits that aren't announced, or are announced with every heartbeat.
TEST_CASE(
    "target limit: limits received here are announced to the other gateways, and so is their end", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const registry::target_incarnation a0 = "a0";
    mergeLimit(bench.pool, "b0", 3, 0);
    CHECK(bench.pool.takeLimitReports(false, afterMs(0)).empty()); // received from the others
    (void)bench.pool.recordPushback(a0, { 1, {} }, true, afterMs(0), afterMs(100));
    const auto reports = bench.pool.takeLimitReports(false, afterMs(150));
    REQUIRE(reports.size() == 1);
    CHECK(reports.front() == registry::limit_report { a0, 1, 50 });
    (void)bench.pool.recordPushback(a0, { 1, {} }, true, afterMs(200), afterMs(300));
    CHECK(bench.pool.takeLimitReports(false, afterMs(300)).empty());
    (void)bench.pool.recordPushback(a0, { 1, {} }, true, afterMs(1200), afterMs(1300));
    CHECK(bench.pool.takeLimitReports(false, afterMs(1300)).size() == 1); // an unchanged limit, once a second
    (void)bench.pool.recordPushback(a0, { {}, {} }, true, afterMs(1400), afterMs(1500));
    (void)bench.pool.recordPushback(a0, { {}, {} }, true, afterMs(1400), afterMs(1500));
    CHECK(bench.pool.takeLimitReports(false, afterMs(1500)).size() == 1);
    CHECK(bench.pool.takeLimitReports(true, afterMs(1500)).size() == 2); // a new session: everything
}

// Guards against limits that an earlier incarnation of a target set.
TEST_CASE("target limit: a restarted target has none", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    bench.pool.setShare({ 1, 0 }, zero);
    mergeLimit(bench.pool, "a0", 0, 0);
    CHECK(bench.pool.limitedCount(afterMs(0)) == 1);
    bench.restart("a0", 500);
    CHECK(bench.pool.limitedCount(afterMs(0)) == 0);
}

TEST_CASE("target limit: a field that can't be parsed changes nothing", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    (void)bench.pool.recordPushback("a0", { 1, {} }, true, afterMs(0), afterMs(100));
    CHECK_FALSE(bench.pool.recordPushback("a0", { {}, "field: nan" }, true, afterMs(200), afterMs(300)));
    CHECK(bench.pool.limitedCount(afterMs(300)) == 1);
}

// Guards against limits that are ignored in some kinds of responses, such as refusals and failures.
TEST_CASE("target limit: it is read from any response of the target", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    auto response = GENERATE(responseWithLimit(200, 4), responseWithLimit(500, 4), responseWithLimit(404, 4));
    SECTION("response of the service") { }
    SECTION("refusal")
    {
        response = refusal();
        response.pushback = target_pushback { 4, {} };
    }
    call.onHead(response, zero);
    CHECK(bench.pool.limitedCount(zero) == 1);
}

// Guards against probes beyond the limit, and against a target that is considered dead because it wasn't probed.
TEST_CASE("target limit: the target of a silent stream is probed within its limit only", "[target_limit]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    bench.pool.setShare({ 1, 0 }, zero);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    for (const auto& target : bench.firstTargets) {
        mergeLimit(bench.pool, target, 0, 0);
        for (int sent = 0; sent < 5; ++sent)
            bench.pool.recordSent(target, afterMs(0));
    }
    for (int ms = 0; ms <= 900; ms += 50)
        call.onTimer(afterMs(ms));
    CHECK(bench.port.reports == 0);
    CHECK(bench.port.attempts == 1);
}

// Guards against the gateway's own refusal backoff in place of the target's Retry-After, and against a backoff that
// ends when an earlier stream at the target succeeds.
TEST_CASE("target backoff: nothing begins at a target until its Retry-After has passed", "[target_limit]")
{
    const bool layered = GENERATE(false, true);
    CAPTURE(layered);
    exchange_bench bench(request_kind::Safe, false, layered);
    auto refused = refusal();
    refused.pushback = target_pushback { {}, {}, milliseconds(3000) };
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    const auto target = bench.port.target;
    call.onHead(refused, zero);
    CHECK(bench.port.attempts == 2); // retried at another target at once
    for (int ms = 0; ms < 3000; ms += 50) {
        bench.pool.succeeded(target, 5); // of an earlier stream
        const auto selected = bench.pool.select("s", {}, afterMs(ms));
        REQUIRE(selected);
        CHECK(selected->parts.front().target != target);
        CHECK_FALSE(bench.pool.maySend(target, afterMs(ms)));
    }
    CHECK(bench.pool.maySend(target, afterMs(3000)));
    CHECK(bench.pool.takeUnreachable().empty()); // it is reachable
}

// Guards against a later, shorter backoff that ends a longer one early.
TEST_CASE("target backoff: the one that ends last counts", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const registry::target_incarnation a0 = "a0";
    (void)bench.pool.recordPushback(a0, { {}, {}, milliseconds(3000) }, false, afterMs(0), afterMs(0));
    (void)bench.pool.recordPushback(a0, { {}, {}, milliseconds(200) }, false, afterMs(1000), afterMs(1000));
    CHECK_FALSE(bench.pool.maySend(a0, afterMs(2999)));
    CHECK(bench.pool.maySend(a0, afterMs(3000)));
    bench.restart("a0", 500);
    CHECK(bench.pool.maySend({ "a0", 500 }, afterMs(1500))); // not inherited by a new incarnation
}

TEST_CASE("target backoff: with all targets in backoff, requests are refused at once until the first one ends",
    "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    for (const std::string target : { "a0", "b0", "c0" })
        (void)bench.pool.recordPushback(
            target, { {}, {}, milliseconds(target == "b0" ? 2000 : 3000) }, false, zero, zero);
    auto call = bench.make();
    call.start(zero);
    CHECK(bench.port.outcome == "error");
    CHECK(bench.port.errorRan == ran_state::No);
    REQUIRE(call.earliestSendAt());
    CHECK(*call.earliestSendAt() >= afterMs(2000));
    CHECK(*call.earliestSendAt() <= afterMs(2500));
}

// Guards against failing requests while the only target with some of the layers is in backoff.
TEST_CASE(
    "target backoff: a target in backoff is a later part of a path only if no other has its layers", "[target_limit]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    (void)bench.pool.recordPushback("a1", { {}, {}, milliseconds(3000) }, false, zero, zero);
    const auto selected = bench.pool.select("s", {}, zero);
    REQUIRE(selected);
    CHECK(selected->parts.back().target != registry::target_incarnation("a1"));
    bench.setState("b1", registry::target_state::Gone);
    bench.setState("c1", registry::target_state::Gone);
    CHECK(bench.pool.select("s", {}, zero)->parts.back().target == registry::target_incarnation("a1"));
}

// Guards against new work for a target whose leaving is known from its responses only.
TEST_CASE("target leaving: no path uses a target that announces it, and it is reported", "[target_limit]")
{
    const bool layered = GENERATE(false, true);
    CAPTURE(layered);
    exchange_bench bench(request_kind::Stream, true, layered);
    target_pushback leaving;
    leaving.isLeaving = true;
    const registry::target_incarnation a0 = "a0";
    (void)bench.pool.recordPushback(a0, leaving, true, zero, zero);
    (void)bench.pool.recordPushback(a0, {}, true, afterMs(50), afterMs(100)); // leaving is final
    CHECK_FALSE(bench.pool.maySend(a0, afterMs(100)));
    CHECK(bench.pool.isLeaving(a0));
    for (int ms = 0; ms < 2000; ms += 50) {
        const auto selected = bench.pool.select("s", {}, afterMs(ms));
        REQUIRE(selected);
        for (const auto& part : selected->parts)
            CHECK(part.target != a0);
    }
    CHECK(bench.pool.unreportedLeaving() == std::vector<registry::target_incarnation> { a0 });
    bench.setState("a0", registry::target_state::Draining);
    CHECK(bench.pool.unreportedLeaving().empty());
    bench.restart("a0", 500);
    CHECK(bench.pool.maySend({ "a0", 500 }, afterMs(3000)));
}

// Guards against an incomplete list for operators who ask why a target gets no requests.
TEST_CASE(
    "target pushback: targets that are limited, in backoff or leaving are listed, with the time left", "[target_limit]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    mergeLimit(bench.pool, "a0", 1.5, 0);
    (void)bench.pool.recordPushback("b0", { {}, {}, milliseconds(3000) }, false, zero, zero);
    target_pushback leaving;
    leaving.isLeaving = true;
    (void)bench.pool.recordPushback("c0", leaving, false, zero, zero);
    const auto restricted = bench.pool.restrictedTargets(afterMs(1000));
    REQUIRE(restricted.size() == 3);
    CHECK(restricted[0].perSecond == 1.5);
    CHECK(restricted[0].limitAge == milliseconds(1000));
    CHECK(restricted[1].backoffLeft == milliseconds(2000));
    CHECK(restricted[2].isLeaving);
    CHECK(bench.pool.restrictedTargets(afterMs(3000)).size() == 2);
}
