/// @file
/// @brief A gateway's part in detecting requests that crash targets: suspects, trials and dispatch verdicts.
#include "buckthornrail/gateway/quarantine_gate.hpp"
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>

using namespace test_support;
using registry::quarantine_stage;
using registry::trial_refusal;

namespace {

request_fingerprint fingerprintWith(std::uint8_t name)
{
    request_fingerprint fingerprint;
    fingerprint.bytes[0] = name;
    return fingerprint;
}

selected_part partAt(const std::string& target, const std::string& address) { return { target, address, { 0, 5 }, 0 }; }

request_fingerprint fingerprintOfCall(call_number call) { return fingerprintWith(static_cast<std::uint8_t>(call)); }

registry::quarantine_delta deltaWith(
    std::uint64_t revision, const request_fingerprint& fingerprint, quarantine_stage stage)
{
    return { revision, false, { { fingerprint, stage } } };
}

std::vector<request_fingerprint> startedOf(const std::vector<registry::crash_report>& reports)
{
    return reports.empty() ? std::vector<request_fingerprint>() : reports.front().begun;
}

} // namespace

TEST_CASE("crash watch: requests that had just started on a crashed target are suspects, older ones aren't", "[crash]")
{
    crash_watch watch;
    watch.onAttemptOpened(1, { partAt("a", "a:1"), partAt("b", "b:1") }, zero);
    watch.onAttemptOpened(2, { partAt("a", "a:1") }, zero);
    watch.onAttemptOpened(3, { partAt("c", "c:1"), partAt("a", "a:1") }, zero + milliseconds(900));
    watch.onFirstEvent(1, zero + milliseconds(100));
    watch.onFirstEvent(2, zero + milliseconds(900));
    const auto now = zero + milliseconds(1000);
    const auto reports = watch.onTargetsEnded("a:1", {}, fingerprintOfCall, now);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().target == registry::target_incarnation("a"));
    // The request that started last is listed first; any member of its path counts, not only the first.
    CHECK(startedOf(reports) == std::vector { fingerprintWith(3), fingerprintWith(2) });
}

TEST_CASE("crash watch: an attempt that lost its connection awaits the state of its target, which may be reported late",
    "[crash]")
{
    crash_watch watch;
    watch.onAttemptOpened(1, { partAt("a", "a:1") }, zero);
    CHECK(watch.onConnectionLost(1, fingerprintWith(1), zero + milliseconds(50)));
    CHECK(watch.awaitsTargetState(1, zero + milliseconds(51)));
    SECTION("the target has ended")
    {
        CHECK(startedOf(watch.onTargetsEnded("a:1", {}, fingerprintOfCall, zero + milliseconds(52)))
            == std::vector { fingerprintWith(1) });
        CHECK_FALSE(watch.awaitsTargetState(1, zero + milliseconds(53)));
        CHECK(watch.onTargetsEnded("a:1", {}, fingerprintOfCall, zero + milliseconds(54)).empty());
    }
    SECTION("it accepts connections, and turns out later to have restarted")
    {
        watch.onTargetAlive("a:1");
        CHECK_FALSE(watch.awaitsTargetState(1, zero + milliseconds(53)));
        CHECK(watch.onTargetsEnded("a:1", "a", fingerprintOfCall, zero + milliseconds(60)).empty());
        const registry::target_incarnation later("a", 7);
        CHECK(startedOf(watch.onTargetsEnded("a:1", later, fingerprintOfCall, zero + milliseconds(900)))
            == std::vector { fingerprintWith(1) });
    }
    SECTION("its state is not reported") { CHECK_FALSE(watch.awaitsTargetState(1, zero + milliseconds(200))); }
    SECTION("the lost attempt has expired")
    {
        CHECK(watch.onTargetsEnded("a:1", {}, fingerprintOfCall, zero + milliseconds(5000)).empty());
    }
}

TEST_CASE("crash watch: an attempt that had run for a while, or was over, awaits no target state", "[crash]")
{
    crash_watch watch;
    watch.onAttemptOpened(1, { partAt("a", "a:1") }, zero);
    watch.onFirstEvent(1, zero);
    CHECK_FALSE(watch.onConnectionLost(1, fingerprintWith(1), zero + milliseconds(600)));
    watch.onAttemptOpened(2, { partAt("a", "a:1") }, zero);
    watch.onAttemptClosed(2);
    CHECK_FALSE(watch.onConnectionLost(2, fingerprintWith(2), zero));
    CHECK(watch.onTargetsEnded("a:1", {}, fingerprintOfCall, zero).empty());
}

TEST_CASE("quarantine gate: requests run without a claim while none is quarantined", "[quarantine]")
{
    quarantine_gate gate(1);
    CHECK(gate.isEmpty());
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "a", zero) == dispatch_verdict::Go);
    CHECK_FALSE(gate.hasUnsentChanges());
}

TEST_CASE("quarantine gate: a suspect starts shortly after its trial is granted", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.reportCrash({ "a", { fingerprintWith(1) } }, zero);
    CHECK(gate.requestDispatch(1, fingerprintWith(2), "b", zero) == dispatch_verdict::Go);
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero) == dispatch_verdict::Wait);
    const auto batches = gate.takeBatches(false, zero);
    REQUIRE(batches.size() == 1);
    CHECK(batches.front().change.crashes.size() == 1);
    REQUIRE(batches.front().change.claims.size() == 1);
    gate.applyDelta(deltaWith(1, fingerprintWith(1), quarantine_stage::Suspect));
    SECTION("granted")
    {
        gate.onReceipt({ batches.front().number, {} }, zero + milliseconds(10));
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(20)) == dispatch_verdict::Wait);
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(50)) == dispatch_verdict::Go);
        CHECK_FALSE(gate.mustCancel(1, fingerprintWith(1)));
        CHECK(gate.mustCancel(2, fingerprintWith(1))); // a copy of the request in another call
        CHECK(gate.callsOnTrial() == std::vector<call_number> { 1 });
        // A copy of the request has crashed a target elsewhere meanwhile: the trial proves nothing any more.
        gate.applyDelta(deltaWith(2, fingerprintWith(1), quarantine_stage::Held));
        CHECK(gate.mustCancel(1, fingerprintWith(1)));
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(60)) == dispatch_verdict::Wait);
    }
    SECTION("refused: it runs elsewhere")
    {
        gate.onReceipt(
            { batches.front().number, { { batches.front().change.claims.front().trial, trial_refusal::Running } } },
            zero);
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(100)) == dispatch_verdict::Wait);
        CHECK_FALSE(gate.hasUnsentChanges());
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(200)) == dispatch_verdict::Wait);
        CHECK(gate.hasUnsentChanges()); // claimed again
    }
    SECTION("no controller responds: a suspect runs, as most suspects crash nothing")
    {
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(149)) == dispatch_verdict::Wait);
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(150)) == dispatch_verdict::Go);
    }
    SECTION("no controller responds: a held request continues to wait")
    {
        gate.applyDelta(deltaWith(2, fingerprintWith(1), quarantine_stage::Held));
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero) == dispatch_verdict::Wait);
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(5000)) == dispatch_verdict::Wait);
    }
    SECTION("proven")
    {
        gate.applyDelta(deltaWith(2, fingerprintWith(1), quarantine_stage::Proven));
        CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero) == dispatch_verdict::Refuse);
    }
}

TEST_CASE("quarantine gate: a held request runs on a target without another trial", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.applyDelta(deltaWith(1, fingerprintWith(1), quarantine_stage::Held));
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "a", zero) == dispatch_verdict::Wait);
    const auto batches = gate.takeBatches(false, zero);
    REQUIRE(batches.size() == 1);
    gate.onReceipt(
        { batches.front().number, { { batches.front().change.claims.front().trial, trial_refusal::TargetTaken } } },
        zero);
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "a", zero) == dispatch_verdict::Elsewhere);
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero) == dispatch_verdict::Wait);
    const auto second = gate.takeBatches(false, zero);
    REQUIRE(second.size() == 1);
    gate.onReceipt({ second.front().number, {} }, zero);
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "b", zero + milliseconds(40)) == dispatch_verdict::Go);
    // The trial is not valid for another target.
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "c", zero + milliseconds(41)) == dispatch_verdict::Wait);
}

TEST_CASE("quarantine gate: a granted trial stays valid until it starts", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.applyDelta(deltaWith(1, fingerprintWith(1), quarantine_stage::Held));
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "a", zero) == dispatch_verdict::Wait);
    const auto batches = gate.takeBatches(false, zero);
    gate.onReceipt({ batches.front().number, {} }, zero);
    // Not listed, as its attempt has not started: a trial whose attempt seems over would be ended.
    CHECK(gate.callsOnTrial().empty());
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "a", zero + milliseconds(40)) == dispatch_verdict::Go);
    CHECK(gate.callsOnTrial() == std::vector<call_number> { 1 });
}

TEST_CASE("quarantine gate: reports of one gateway prove nothing; a complete response clears a request", "[quarantine]")
{
    quarantine_gate gate(1);
    for (const auto* target : { "a", "b", "c", "d" })
        gate.reportCrash({ target, { fingerprintWith(1) } }, zero);
    CHECK(gate.stageOf(fingerprintWith(1)) == quarantine_stage::Held);
    (void)gate.takeBatches(false, zero);
    CHECK(gate.reportCompleted(fingerprintWith(1)));
    CHECK_FALSE(gate.reportCompleted(fingerprintWith(2))); // never reported
    const auto batches = gate.takeBatches(false, zero);
    REQUIRE(batches.size() == 1);
    CHECK(batches.front().change.cleared == std::vector { fingerprintWith(1) });
    CHECK(gate.isEmpty());
}

TEST_CASE("quarantine gate: batches are resent until they are committed", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.reportCrash({ "a", { fingerprintWith(1) } }, zero);
    REQUIRE(gate.takeBatches(false, zero).size() == 1);
    CHECK(gate.takeBatches(false, zero + milliseconds(300)).empty());
    CHECK(gate.takeBatches(true, zero + milliseconds(300)).size() == 1); // over a new session
    const auto second = gate.takeBatches(false, zero + milliseconds(1300));
    REQUIRE(second.size() == 1);
    gate.onReceipt({ second.front().number, {} }, zero);
    CHECK(gate.takeBatches(true, zero + milliseconds(9000)).empty());
    // Reports without a complete response expire.
    CHECK_FALSE(gate.isEmpty());
    (void)gate.takeBatches(false, zero + milliseconds(60001));
    CHECK(gate.isEmpty());
}

TEST_CASE(
    "crash watch: a part counts less the more sound requests have it; a request that has run is no suspect", "[crash]")
{
    crash_watch watch;
    watch.setGatewayCount(5);
    const auto common = fingerprintWith(100);
    const auto rare = fingerprintWith(101);
    for (call_number call = 10; call < 110; ++call) {
        watch.onAttemptOpened(call, { partAt("b", "b:1") }, zero, { common });
        watch.onFirstEvent(call, zero);
        CHECK_FALSE(watch.takeSurvival(call, false, zero + milliseconds(499)));
        CHECK(watch.takeSurvival(call, false, zero + milliseconds(500)) == zero);
        CHECK_FALSE(watch.takeSurvival(call, false, zero + milliseconds(510))); // only once
    }
    watch.onAttemptOpened(2, { partAt("a", "a:1") }, zero, { common, rare });
    const auto reports = watch.onTargetsEnded("a:1", {}, fingerprintOfCall, zero + milliseconds(600));
    REQUIRE(reports.size() == 1);
    const auto parts = reports.front().partsOf(0);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].part == common);
    CHECK(parts[0].presence == 0);
    CHECK(parts[1].part == rare);
    CHECK(parts[1].presence > 400);
    // A call that has run moves to another target, which crashes.
    watch.onAttemptClosed(10);
    watch.onAttemptOpened(10, { partAt("c", "c:1") }, zero + milliseconds(700), { common });
    CHECK_FALSE(watch.mayHaveCrashedTarget(10, zero + milliseconds(710)));
    CHECK(watch.onTargetsEnded("c:1", {}, fingerprintOfCall, zero + milliseconds(720)).empty());
    watch.forgetCall(10);
    watch.onAttemptOpened(10, { partAt("c", "c:1") }, zero + milliseconds(800));
    CHECK(watch.mayHaveCrashedTarget(10, zero + milliseconds(810)));
}

TEST_CASE("sound parts: shares are those of the most recent requests", "[crash]")
{
    sound_parts_options options;
    options.maxRequests = 10;
    sound_parts parts(options);
    CHECK(parts.shareOf(fingerprintWith(1)) > 0.01); // nothing is known yet
    CHECK(parts.shareOf(fingerprintWith(1), 30, 30) > 0.8);
    for (int count = 0; count < 10; ++count)
        parts.record({ fingerprintWith(1), fingerprintWith(2) });
    CHECK(parts.shareOf(fingerprintWith(1)) > 0.6);
    CHECK(parts.shareOf(fingerprintWith(3)) < 0.02);
    for (int count = 0; count < 50; ++count)
        parts.record({ fingerprintWith(3) });
    CHECK(parts.shareOf(fingerprintWith(1)) < 0.02);
    CHECK(parts.shareOf(fingerprintWith(3)) > 0.6);
    CHECK(parts.size() == 10);
}

TEST_CASE(
    "quarantine gate: a suspect part restricts nothing, a held one makes requests with it run on trial", "[quarantine]")
{
    quarantine_gate gate(1);
    const request_fingerprints request { fingerprintWith(1), { fingerprintWith(100), fingerprintWith(101) } };
    const auto partDelta = [](std::uint64_t revision, std::uint8_t part, quarantine_stage stage, bool isContested) {
        return registry::quarantine_delta { revision, false, { { fingerprintWith(part), stage, true, isContested } } };
    };
    gate.applyDelta(partDelta(1, 100, quarantine_stage::Suspect, false));
    CHECK(gate.requestDispatch(1, request, "a", zero) == dispatch_verdict::Go);
    CHECK_FALSE(gate.mustCancel(1, request));
    gate.applyDelta(partDelta(2, 100, quarantine_stage::Held, false));
    CHECK(gate.mustCancel(1, request));
    CHECK(gate.requestDispatch(1, request, "a", zero) == dispatch_verdict::Wait);
    auto batches = gate.takeBatches(false, zero);
    REQUIRE(batches.size() == 1);
    REQUIRE(batches.front().change.claims.size() == 1);
    CHECK(batches.front().change.claims.front().fingerprint == fingerprintWith(100));
    gate.onReceipt({ batches.front().number, {} }, zero);
    CHECK(gate.requestDispatch(1, request, "a", zero + milliseconds(40)) == dispatch_verdict::Go);
    CHECK_FALSE(gate.mustCancel(1, request));
    SECTION("its other part is held too: both are claimed together")
    {
        gate.applyDelta(partDelta(3, 101, quarantine_stage::Held, false));
        CHECK(gate.mustCancel(1, request));
        CHECK(gate.requestDispatch(1, request, "a", zero + milliseconds(41)) == dispatch_verdict::Wait);
        batches = gate.takeBatches(false, zero + milliseconds(42));
        REQUIRE(batches.size() == 1);
        const auto& claims = batches.front().change.claims;
        REQUIRE(claims.size() == 2);
        CHECK(claims[0].trial == claims[1].trial);
        // One of them is refused: the other one is given back.
        gate.onReceipt({ batches.front().number, { { claims[0].trial, trial_refusal::Running } } }, zero);
        batches = gate.takeBatches(false, zero + milliseconds(50));
        REQUIRE(batches.size() == 1);
        CHECK(batches.front().change.ends.size() == 2);
    }
    SECTION("two contested parts together are refused, one alone runs on trial")
    {
        gate.applyDelta(partDelta(3, 100, quarantine_stage::Held, true));
        CHECK(gate.requestDispatch(2, request, "a", zero) == dispatch_verdict::Wait);
        gate.applyDelta(partDelta(4, 101, quarantine_stage::Held, true));
        CHECK(gate.requestDispatch(2, request, "a", zero) == dispatch_verdict::Refuse);
        const request_fingerprints other { fingerprintWith(2), { fingerprintWith(101) } };
        CHECK(gate.requestDispatch(3, other, "a", zero) == dispatch_verdict::Wait);
    }
    SECTION("it is proven")
    {
        gate.applyDelta(partDelta(3, 100, quarantine_stage::Proven, false));
        CHECK(gate.requestDispatch(2, request, "a", zero) == dispatch_verdict::Refuse);
    }
}

TEST_CASE("quarantine gate: only a response that began after a part came under suspicion clears it", "[quarantine]")
{
    quarantine_gate gate(1);
    const auto part = fingerprintWith(100);
    gate.applyDelta({ 1, false, { { part, quarantine_stage::Suspect, true, false } } }, zero + milliseconds(100));
    CHECK(gate.reportSurvived({ part, fingerprintWith(101) }, zero + milliseconds(99)).empty());
    CHECK_FALSE(gate.hasUnsentChanges());
    // A full copy, as after a change of the session, doesn't begin the suspicion anew.
    gate.applyDelta({ 2, true, { { part, quarantine_stage::Held, true, false } } }, zero + milliseconds(500));
    CHECK(gate.reportSurvived({ part, fingerprintWith(101) }, zero + milliseconds(100)) == std::vector { part });
    CHECK(gate.takeBatches(false, zero).front().change.cleared == std::vector { part });
}

TEST_CASE("quarantine gate: the end of an unsent claim is not sent", "[quarantine]")
{
    quarantine_gate gate(1);
    gate.applyDelta(deltaWith(1, fingerprintWith(1), quarantine_stage::Suspect));
    CHECK(gate.requestDispatch(1, fingerprintWith(1), "a", zero) == dispatch_verdict::Wait);
    gate.endTrial(1);
    CHECK_FALSE(gate.hasUnsentChanges());
}

TEST_CASE("exchange: a request proven to crash targets is refused at once and is not retryable", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.verdict = dispatch_verdict::Refuse;
    auto call = bench.make();
    call.start(zero);
    CHECK(bench.port.errorCode == result_code::RequestQuarantined);
    CHECK(bench.port.errorRan == ran_state::No);
    CHECK(bench.port.attempts == 0);
    CHECK(describe(result_code::RequestQuarantined).retryAfterSeconds == 0);
}

TEST_CASE("exchange: a held request starts once it is permitted, or is refused as retryable", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.verdict = dispatch_verdict::Wait;
    auto call = bench.make();
    call.start(zero);
    CHECK_FALSE(bench.port.isOpen);
    SECTION("it is permitted")
    {
        bench.port.verdict = dispatch_verdict::Go;
        call.onQuarantineChanged(zero + milliseconds(30));
        CHECK(bench.port.isOpen);
    }
    SECTION("it is permitted, as the poll finds")
    {
        bench.port.verdict = dispatch_verdict::Go;
        call.onTimer(bench.port.timer);
        CHECK(bench.port.isOpen);
        CHECK(bench.port.timer > zero);
    }
    SECTION("it is not permitted")
    {
        for (int i = 0; i < 100 && bench.port.outcome.empty(); ++i)
            call.onTimer(bench.port.timer);
        CHECK(bench.port.errorCode == result_code::RequestHeld);
        CHECK(bench.port.errorRan == ran_state::No);
        CHECK(bench.port.timer <= zero + milliseconds(420));
    }
    SECTION("its caller disconnects")
    {
        call.onCallerDisconnected(zero + milliseconds(10));
        call.onQuarantineChanged(zero + milliseconds(20));
        CHECK_FALSE(bench.port.isOpen);
    }
}

TEST_CASE("exchange: a held request whose target is taken runs on another, or waits while all are taken", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.verdicts["a0"] = dispatch_verdict::Elsewhere;
    SECTION("another target is free")
    {
        auto call = bench.make();
        call.start(zero);
        CHECK(bench.port.isOpen);
        CHECK(bench.port.target != "a0");
    }
    SECTION("all are taken")
    {
        for (const auto* target : { "b0", "c0" })
            bench.port.verdicts[target] = dispatch_verdict::Elsewhere;
        auto call = bench.make();
        call.start(zero);
        CHECK_FALSE(bench.port.isOpen);
        CHECK(bench.port.outcome.empty());
        bench.port.verdicts.clear();
        for (int i = 0; i < 10 && !bench.port.isOpen; ++i)
            call.onTimer(bench.port.timer);
        CHECK(bench.port.isOpen);
    }
}

TEST_CASE("exchange: an attempt without an event is cancelled when the request is on trial elsewhere", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, false);
    bench.port.mustCancelAttempt = true;
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
    SECTION("not after its first event, as the target has survived its start")
    {
        call.onHead(authenticResponse(200, true), zero);
        call.onEvent("e", 1, zero);
        call.onQuarantineChanged(zero + milliseconds(10));
        CHECK(bench.port.isOpen);
    }
}

TEST_CASE("exchange: an unsafe request is not cancelled because of a copy", "[exchange]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    bench.port.mustCancelAttempt = true;
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    call.onQuarantineChanged(zero + milliseconds(10));
    CHECK(bench.port.isOpen);
}
