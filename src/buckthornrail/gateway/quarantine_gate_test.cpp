/// @file
/// @brief A gateway's part in finding requests that end targets: who is to blame, who may run.
#include "buckthornrail/gateway/quarantine_gate.hpp"
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>

using namespace test_support;
using registry::quarantine_stage;
using registry::trial_refusal;

namespace {

request_fingerprint named(std::uint8_t name)
{
    request_fingerprint one;
    one.bytes[0] = name;
    return one;
}

selected_part partAt(const std::string& target, const std::string& address) { return { target, address, { 0, 5 }, 0 }; }

request_fingerprint byNumber(call_number call) { return named(static_cast<std::uint8_t>(call)); }

registry::quarantine_delta standing(std::uint64_t revision, const request_fingerprint& one, quarantine_stage stage)
{
    return { revision, false, { { one, stage } } };
}

std::vector<request_fingerprint> begunOf(const std::vector<registry::crash_report>& reports)
{
    return reports.empty() ? std::vector<request_fingerprint>() : reports.front().begun;
}

} // namespace

TEST_CASE(
    "crash watch: what had just begun at a target that ended is to blame, what had run for a while isn't", "[crash]")
{
    crash_watch watch;
    watch.onAttemptOpened(1, { partAt("a", "a:1"), partAt("b", "b:1") }, zero);
    watch.onAttemptOpened(2, { partAt("a", "a:1") }, zero);
    watch.onAttemptOpened(3, { partAt("c", "c:1"), partAt("a", "a:1") }, zero + milliseconds(900));
    watch.onFirstEvent(1, zero + milliseconds(100));
    watch.onFirstEvent(2, zero + milliseconds(900));
    const auto now = zero + milliseconds(1000);
    const auto reports = watch.onTargetsEnded("a:1", {}, byNumber, now);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().target == registry::target_incarnation("a"));
    // The one that began last goes first; a member that isn't the first counts as well.
    CHECK(begunOf(reports) == std::vector { named(3), named(2) });
}

TEST_CASE("crash watch: an attempt that is cut off waits for word of its target, which may also come late", "[crash]")
{
    crash_watch watch;
    watch.onAttemptOpened(1, { partAt("a", "a:1") }, zero);
    CHECK(watch.onConnectionLost(1, named(1), zero + milliseconds(50)));
    CHECK(watch.awaitsVerdict(1, zero + milliseconds(51)));
    SECTION("it is gone")
    {
        CHECK(begunOf(watch.onTargetsEnded("a:1", {}, byNumber, zero + milliseconds(52))) == std::vector { named(1) });
        CHECK_FALSE(watch.awaitsVerdict(1, zero + milliseconds(53)));
        CHECK(watch.onTargetsEnded("a:1", {}, byNumber, zero + milliseconds(54)).empty());
    }
    SECTION("it takes connections, and is found later to be another life")
    {
        watch.onTargetAlive("a:1");
        CHECK_FALSE(watch.awaitsVerdict(1, zero + milliseconds(53)));
        CHECK(watch.onTargetsEnded("a:1", "a", byNumber, zero + milliseconds(60)).empty());
        const registry::target_incarnation later("a", 7);
        CHECK(begunOf(watch.onTargetsEnded("a:1", later, byNumber, zero + milliseconds(900)))
            == std::vector { named(1) });
    }
    SECTION("nothing is heard") { CHECK_FALSE(watch.awaitsVerdict(1, zero + milliseconds(200))); }
    SECTION("it is forgotten") { CHECK(watch.onTargetsEnded("a:1", {}, byNumber, zero + milliseconds(5000)).empty()); }
}

TEST_CASE("crash watch: one that had run for a while, or was over, awaits nothing", "[crash]")
{
    crash_watch watch;
    watch.onAttemptOpened(1, { partAt("a", "a:1") }, zero);
    watch.onFirstEvent(1, zero);
    CHECK_FALSE(watch.onConnectionLost(1, named(1), zero + milliseconds(600)));
    watch.onAttemptOpened(2, { partAt("a", "a:1") }, zero);
    watch.onAttemptClosed(2);
    CHECK_FALSE(watch.onConnectionLost(2, named(2), zero));
    CHECK(watch.onTargetsEnded("a:1", {}, byNumber, zero).empty());
}

TEST_CASE("quarantine gate: nothing is asked for as long as nothing is held against anyone", "[quarantine]")
{
    quarantine_gate gate(1);
    CHECK(gate.isEmpty());
    CHECK(gate.requestDispatch(1, named(1), "a", zero) == dispatch_verdict::Go);
    CHECK_FALSE(gate.hasUnsentChanges());
}

TEST_CASE("quarantine gate: a suspect runs once its trial is granted, a little later", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.reportCrash({ "a", { named(1) } }, zero);
    CHECK(gate.requestDispatch(1, named(2), "b", zero) == dispatch_verdict::Go);
    CHECK(gate.requestDispatch(1, named(1), "b", zero) == dispatch_verdict::Wait);
    const auto news = gate.takeBatches(false, zero);
    REQUIRE(news.size() == 1);
    CHECK(news.front().change.crashes.size() == 1);
    REQUIRE(news.front().change.claims.size() == 1);
    gate.applyDelta(standing(1, named(1), quarantine_stage::Suspect));
    SECTION("granted")
    {
        gate.onReceipt({ news.front().number, {} }, zero + milliseconds(10));
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(20)) == dispatch_verdict::Wait);
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(50)) == dispatch_verdict::Go);
        CHECK_FALSE(gate.mustCancel(1, named(1)));
        CHECK(gate.mustCancel(2, named(1))); // a copy in another call
        CHECK(gate.callsOnTrial() == std::vector<call_number> { 1 });
        // A target ended under a copy elsewhere meanwhile: the trial says nothing any more.
        gate.applyDelta(standing(2, named(1), quarantine_stage::Held));
        CHECK(gate.mustCancel(1, named(1)));
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(60)) == dispatch_verdict::Wait);
    }
    SECTION("it runs somewhere else")
    {
        gate.onReceipt(
            { news.front().number, { { news.front().change.claims.front().trial, trial_refusal::Running } } }, zero);
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(100)) == dispatch_verdict::Wait);
        CHECK_FALSE(gate.hasUnsentChanges());
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(200)) == dispatch_verdict::Wait);
        CHECK(gate.hasUnsentChanges()); // claimed anew
    }
    SECTION("no controller answers: suspects are innocent as a rule")
    {
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(149)) == dispatch_verdict::Wait);
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(150)) == dispatch_verdict::Go);
    }
    SECTION("one that is held waits all the same")
    {
        gate.applyDelta(standing(2, named(1), quarantine_stage::Held));
        CHECK(gate.requestDispatch(1, named(1), "b", zero) == dispatch_verdict::Wait);
        CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(5000)) == dispatch_verdict::Wait);
    }
    SECTION("proven")
    {
        gate.applyDelta(standing(2, named(1), quarantine_stage::Proven));
        CHECK(gate.requestDispatch(1, named(1), "b", zero) == dispatch_verdict::Refuse);
    }
}

TEST_CASE("quarantine gate: one that is held goes to a target without another trial", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.applyDelta(standing(1, named(1), quarantine_stage::Held));
    CHECK(gate.requestDispatch(1, named(1), "a", zero) == dispatch_verdict::Wait);
    const auto news = gate.takeBatches(false, zero);
    REQUIRE(news.size() == 1);
    gate.onReceipt(
        { news.front().number, { { news.front().change.claims.front().trial, trial_refusal::TargetTaken } } }, zero);
    CHECK(gate.requestDispatch(1, named(1), "a", zero) == dispatch_verdict::Elsewhere);
    CHECK(gate.requestDispatch(1, named(1), "b", zero) == dispatch_verdict::Wait);
    const auto again = gate.takeBatches(false, zero);
    REQUIRE(again.size() == 1);
    gate.onReceipt({ again.front().number, {} }, zero);
    CHECK(gate.requestDispatch(1, named(1), "b", zero + milliseconds(40)) == dispatch_verdict::Go);
    // Not to another target with that trial.
    CHECK(gate.requestDispatch(1, named(1), "c", zero + milliseconds(41)) == dispatch_verdict::Wait);
}

TEST_CASE("quarantine gate: a trial that is granted stands until it begins", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.applyDelta(standing(1, named(1), quarantine_stage::Held));
    CHECK(gate.requestDispatch(1, named(1), "a", zero) == dispatch_verdict::Wait);
    const auto news = gate.takeBatches(false, zero);
    gate.onReceipt({ news.front().number, {} }, zero);
    // Whoever ends trials whose attempts are over finds none: this one's attempt is still to come.
    CHECK(gate.callsOnTrial().empty());
    CHECK(gate.requestDispatch(1, named(1), "a", zero + milliseconds(40)) == dispatch_verdict::Go);
    CHECK(gate.callsOnTrial() == std::vector<call_number> { 1 });
}

TEST_CASE("quarantine gate: own reports prove nothing; a whole answer clears", "[quarantine]")
{
    quarantine_gate gate(1);
    for (const auto* target : { "a", "b", "c", "d" })
        gate.reportCrash({ target, { named(1) } }, zero);
    CHECK(gate.stageOf(named(1)) == quarantine_stage::Held);
    (void)gate.takeBatches(false, zero);
    CHECK(gate.reportCompleted(named(1)));
    CHECK_FALSE(gate.reportCompleted(named(2))); // of which nothing is known
    const auto news = gate.takeBatches(false, zero);
    REQUIRE(news.size() == 1);
    CHECK(news.front().change.cleared == std::vector { named(1) });
    CHECK(gate.isEmpty());
}

TEST_CASE("quarantine gate: news are sent until they stand in the log", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.reportCrash({ "a", { named(1) } }, zero);
    REQUIRE(gate.takeBatches(false, zero).size() == 1);
    CHECK(gate.takeBatches(false, zero + milliseconds(300)).empty());
    CHECK(gate.takeBatches(true, zero + milliseconds(300)).size() == 1); // over another session
    const auto again = gate.takeBatches(false, zero + milliseconds(1300));
    REQUIRE(again.size() == 1);
    gate.onReceipt({ again.front().number, {} }, zero);
    CHECK(gate.takeBatches(true, zero + milliseconds(9000)).empty());
    // What nobody answers doesn't gather for ever, nor is it asked for ever.
    CHECK_FALSE(gate.isEmpty());
    (void)gate.takeBatches(false, zero + milliseconds(60001));
    CHECK(gate.isEmpty());
}

TEST_CASE("quarantine gate: a claim that was never sent needs no end", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.applyDelta(standing(1, named(1), quarantine_stage::Suspect));
    CHECK(gate.requestDispatch(1, named(1), "a", zero) == dispatch_verdict::Wait);
    gate.endTrial(1);
    CHECK_FALSE(gate.hasUnsentChanges());
}

TEST_CASE("exchange: a request that targets end under is refused at once, with a final answer", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.verdict = dispatch_verdict::Refuse;
    auto call = bench.make();
    call.start(zero);
    CHECK(bench.port.answerCode == result_code::RequestQuarantined);
    CHECK(bench.port.answerRan == ran_state::No);
    CHECK(bench.port.attempts == 0);
    CHECK(describe(result_code::RequestQuarantined).retryAfterSeconds == 0);
}

TEST_CASE("exchange: one that waits for its turn begins with the word, or is told when to come back", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.verdict = dispatch_verdict::Wait;
    auto call = bench.make();
    call.start(zero);
    CHECK_FALSE(bench.port.isOpen);
    SECTION("the word comes")
    {
        bench.port.verdict = dispatch_verdict::Go;
        call.onQuarantineChanged(zero + milliseconds(30));
        CHECK(bench.port.isOpen);
    }
    SECTION("it is asked for, too")
    {
        bench.port.verdict = dispatch_verdict::Go;
        call.onTimer(bench.port.wake);
        CHECK(bench.port.isOpen);
        CHECK(bench.port.wake > zero);
    }
    SECTION("it doesn't come")
    {
        for (int at = 0; at < 100 && bench.port.outcome.empty(); ++at)
            call.onTimer(bench.port.wake);
        CHECK(bench.port.answerCode == result_code::RequestHeld);
        CHECK(bench.port.answerRan == ran_state::No);
        CHECK(bench.port.wake <= zero + milliseconds(420));
    }
    SECTION("its caller leaves")
    {
        call.onCallerGone(zero + milliseconds(10));
        call.onQuarantineChanged(zero + milliseconds(20));
        CHECK_FALSE(bench.port.isOpen);
    }
}

TEST_CASE("exchange: one that may not run at a target goes to another, or waits while all are taken", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.verdicts["a0"] = dispatch_verdict::Elsewhere;
    SECTION("another")
    {
        auto call = bench.make();
        call.start(zero);
        CHECK(bench.port.isOpen);
        CHECK(bench.port.target != "a0");
    }
    SECTION("none")
    {
        for (const auto* target : { "b0", "c0" })
            bench.port.verdicts[target] = dispatch_verdict::Elsewhere;
        auto call = bench.make();
        call.start(zero);
        CHECK_FALSE(bench.port.isOpen);
        CHECK(bench.port.outcome.empty());
        bench.port.verdicts.clear();
        for (int at = 0; at < 10 && !bench.port.isOpen; ++at)
            call.onTimer(bench.port.wake);
        CHECK(bench.port.isOpen);
    }
}

TEST_CASE("exchange: an attempt without an event is left when the request is on trial elsewhere", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.leaves = true;
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    SECTION("before the first event")
    {
        bench.port.verdict = dispatch_verdict::Wait;
        call.onQuarantineChanged(zero + milliseconds(10));
        CHECK_FALSE(bench.port.isOpen);
        CHECK(bench.port.outcome.empty());
    }
    SECTION("not once it answers: it has begun, and the target lives")
    {
        call.onHead(ownAnswer(200, true), zero);
        call.onEvent("e", 1, zero);
        call.onQuarantineChanged(zero + milliseconds(10));
        CHECK(bench.port.isOpen);
    }
}

TEST_CASE("exchange: a request that must not be repeated isn't left on another's account", "[exchange]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    bench.port.leaves = true;
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    call.onQuarantineChanged(zero + milliseconds(10));
    CHECK(bench.port.isOpen);
}
