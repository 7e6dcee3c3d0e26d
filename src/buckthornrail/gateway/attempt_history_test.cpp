/// @file
/// @brief Which targets count against a route's limit: the decision, and exchanges that never run on more targets.
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace test_support;

namespace {

/// Retries without a limit of their own.
void makeBudgetAmple(exchange_bench& bench)
{
    shared_retry_budget_options ample;
    ample.slack = 100000;
    bench.budget = shared_retry_budget(ample);
}

void loseConnection(exchange& call, steady_time now)
{
    call.onSent(now);
    call.onAttemptFailed(attempt_failure::ConnectionLost, http1::message_end::Reset, now);
}

std::size_t distinct(const std::vector<std::string>& targets)
{
    return std::set<std::string>(targets.begin(), targets.end()).size();
}

} // namespace

TEST_CASE("attempt history: which targets count, for each way an attempt ends and all that is known", "[gateway]")
{
    constexpr std::array notRun { attempt_outcome::Unsent, attempt_outcome::Refused };
    constexpr std::array ended { target_evidence::Ended, target_evidence::Replaced };
    for (const auto& outcome : attemptOutcomeNames) {
        for (const auto& evidence : targetEvidenceNames) {
            const bool mayHaveRun = std::find(notRun.begin(), notRun.end(), outcome.value) == notRun.end();
            const bool runsNoLonger = std::find(ended.begin(), ended.end(), evidence.value) != ended.end();
            INFO(outcome.name << ", " << evidence.name);
            attempt_history history;
            history.record("t", "t:1", outcome.value);
            const auto counted = history.countedTargets([&](const auto&, const auto&) { return evidence.value; });
            CHECK(counted.contains("t") == (mayHaveRun && !runsNoLonger));
        }
    }
}

TEST_CASE("attempt history: an attempt that didn't run undoes no earlier one that may have", "[gateway]")
{
    const auto isAlive = [](const auto&, const auto&) { return target_evidence::Alive; };
    for (const auto later : { attempt_outcome::Unsent, attempt_outcome::Refused }) {
        attempt_history history;
        history.record("t", "t:1", attempt_outcome::Stalled);
        history.record("t", "t:1", later);
        CHECK(history.countedTargets(isAlive).contains("t"));
        CHECK(history.describe(isAlive) == "t:stalled:alive:counted");
    }
}

TEST_CASE("target pool: what is known of a target follows its last sign of life", "[gateway]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    const auto evidence = [&] { return bench.pool.evidenceOf("a0", "a0:1"); };
    CHECK(evidence() == target_evidence::Alive);
    bench.pool.markUnresponsive("a0:1");
    CHECK(evidence() == target_evidence::Unresponsive);
    bench.setState("a0", registry::target_state::Lost);
    CHECK(evidence() == target_evidence::CutOff);
    bench.pool.markRefusing("a0:1");
    CHECK(evidence() == target_evidence::Ended);
    SECTION("its heartbeats arrive again")
    {
        bench.setState("a0", registry::target_state::Ready);
        CHECK(evidence() == target_evidence::Alive);
    }
    SECTION("its address accepts connections again")
    {
        bench.pool.markReachable("a0:1");
        CHECK(evidence() == target_evidence::Unheard);
    }
    SECTION("it signs off")
    {
        bench.pool.markReachable("a0:1");
        bench.setState("a0", registry::target_state::Gone);
        CHECK(evidence() == target_evidence::SignedOff);
    }
    SECTION("the controllers no longer list it, which says nothing of its process")
    {
        bench.pool.update({});
        CHECK(evidence() == target_evidence::Unknown);
    }
    SECTION("another target that started later has its address")
    {
        registry::target_record other;
        other.id = "z";
        other.startedMs = 5;
        other.address = "a0:1";
        bench.pool.update({ { "z", other } });
        CHECK(evidence() == target_evidence::Replaced);
    }
}

// A reset shows the end of a connection, not of its target. Taken for the target's end, a request ran on three targets
// where its route allows two: at the first the connection was reset, the second failed, a third served it.
TEST_CASE("incident, targets beyond the route: a plain target whose connection was lost counts", "[gateway][incident]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    makeBudgetAmple(bench);
    auto call = bench.make();
    call.start(zero);
    for (int i = 0; i < 6 && bench.port.outcome.empty(); ++i)
        loseConnection(call, zero + milliseconds(i));
    CHECK(distinct(bench.port.targets) == 2);
}

// A begun stream that found no target at once forgot, while it waited, the one that it had just lost.
TEST_CASE("incident, targets beyond the route: a stream that waits counts the target it lost", "[gateway][incident]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    makeBudgetAmple(bench);
    auto call = bench.make();
    call.start(zero);
    std::set<std::string> ranOn;
    auto now = zero;
    std::uint64_t next = 1;
    for (int i = 0; i < 6 && bench.port.outcome.empty(); ++i) {
        call.onSent(now);
        call.onHead(authenticResponse(200, true), now);
        call.onEvent("e", next++, now);
        ranOn.insert(bench.port.target);
        for (const auto& id : bench.firstTargets)
            bench.setState(id, registry::target_state::Draining); // no path: it waits
        call.onAttemptFailed(attempt_failure::ConnectionLost, http1::message_end::Reset, now);
        REQUIRE_FALSE(bench.port.isOpen);
        for (const auto& id : bench.firstTargets)
            bench.setState(id, registry::target_state::Ready);
        now += milliseconds(150);
        call.onTimer(now);
    }
    CHECK(ranOn.size() == 2);
}

// A connection that couldn't be opened took its target out of the count, though an earlier attempt had run there.
TEST_CASE("incident, targets beyond the route: a failed connect forgets no earlier run", "[gateway][incident]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    makeBudgetAmple(bench);
    auto call = bench.make();
    call.start(zero);
    std::set<std::string> ranOn;
    auto now = zero;
    for (int i = 0; i < 12 && bench.port.outcome.empty(); ++i) {
        if (!bench.port.isOpen) {
            now += milliseconds(150);
            call.onTimer(now);
            continue;
        }
        if (ranOn.contains(bench.port.target)) {
            call.onAttemptFailed(attempt_failure::ConnectFailed, http1::message_end::Open, now);
            continue;
        }
        beginStream(call);
        call.onEvent("e", ranOn.size() + 1, now);
        ranOn.insert(bench.port.target);
        call.onAttemptFailed(attempt_failure::ConnectionLost, http1::message_end::Reset, now);
    }
    CHECK(ranOn.size() == 2);
}

// While an attempt waited for the quarantine's verdict, "all targets are taken" dropped the limit to counted targets.
TEST_CASE("incident, targets beyond the route: a wait for a verdict keeps the limit", "[gateway][incident]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    makeBudgetAmple(bench);
    auto call = bench.make();
    call.start(zero);
    loseConnection(call, zero);
    const std::set<std::string> ranOn(bench.port.targets.begin(), bench.port.targets.end());
    REQUIRE(ranOn.size() == 2);
    for (const auto& id : ranOn)
        bench.port.verdicts[id] = dispatch_verdict::Elsewhere;
    loseConnection(call, zero);
    for (int i = 1; i < 15; ++i)
        call.onTimer(zero + milliseconds(20 * i));
    for (const auto& target : bench.port.targets)
        CHECK(ranOn.contains(target));
}

TEST_CASE("exchange: at its limit a request waits for a counted target, or for the proof that it ended", "[exchange]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    makeBudgetAmple(bench);
    auto call = bench.make();
    call.start(zero);
    loseConnection(call, zero);
    loseConnection(call, zero);
    const std::set<std::string> ranOn(bench.port.targets.begin(), bench.port.targets.end());
    REQUIRE(ranOn.size() == 2);
    for (const auto& id : ranOn)
        bench.pool.markRefusing(id + ":1");
    for (std::size_t i = 0; i < ranOn.size() && bench.port.isOpen; ++i)
        call.onAttemptFailed(attempt_failure::ConnectFailed, http1::message_end::Open, zero);
    CHECK(bench.port.outcome.empty());
    CHECK_FALSE(bench.port.isOpen);
    SECTION("one of them listens again")
    {
        call.onTimer(zero + milliseconds(150));
        CHECK(ranOn.contains(bench.port.target));
        CHECK(bench.port.isOpen);
    }
    SECTION("both have ended")
    {
        for (const auto& id : ranOn)
            bench.setState(id, registry::target_state::Lost);
        call.onTimer(zero + milliseconds(150));
        CHECK_FALSE(ranOn.contains(bench.port.target));
        CHECK(bench.port.isOpen);
    }
}

namespace {

/// Targets with a state of their own, and what a gateway is told of them. Reports err in each way but one: nothing that
/// runs on is said both to refuse connections and to have stopped its heartbeats, or to have been replaced.
class fallible_reports {
public:
    explicit fallible_reports(exchange_bench& bench)
        : m_bench(bench)
    {
    }

    [[nodiscard]] bool isRunning(const std::string& id) const { return !m_ended.contains(id); }

    /// @brief Something happens at a target, or is reported of it. @param what 0 to 6
    void change(const std::string& id, int what)
    {
        using registry::target_state;
        switch (what) {
        case 0:
            m_ended.insert(id);
            return;
        case 1:
            report(id, target_state::Ready);
            return;
        case 2:
            report(id, target_state::Draining);
            return;
        case 3:
            report(id, target_state::Lost);
            return;
        case 4:
            report(id, target_state::Gone);
            return;
        case 5:
            if (isRunning(id) && m_isSilent[id])
                return;
            m_refuses[id] = true;
            m_bench.pool.markRefusing(id + ":1");
            return;
        default:
            m_bench.pool.markUnresponsive(id + ":1");
            return;
        }
    }

    /// @brief A connection to the target was opened.
    void connected(const std::string& id) { m_refuses[id] = false; }

private:
    void report(const std::string& id, registry::target_state state)
    {
        const bool isSilent = state == registry::target_state::Lost || state == registry::target_state::Gone;
        if (isSilent && isRunning(id) && m_refuses[id])
            return;
        if (!isSilent && m_isSilent[id])
            m_refuses[id] = false;
        m_isSilent[id] = isSilent;
        m_bench.setState(id, state);
    }

    exchange_bench& m_bench;
    std::set<std::string> m_ended;
    std::map<std::string, bool> m_refuses;
    std::map<std::string, bool> m_isSilent;
};

/// @brief The open attempt ends, or goes on. @param how 0 to 7 @param next id of the next event
void endAttempt(exchange& call, exchange_bench& bench, int how, std::uint64_t& next, bool isStream, steady_time now)
{
    if (how == 0) {
        call.onAttemptFailed(attempt_failure::ConnectFailed, http1::message_end::Open, now);
        return;
    }
    call.onSent(now);
    if (isStream && how >= 4) {
        call.onHead(authenticResponse(200, true), now);
        call.onEvent("e", next, now);
        ++next;
    }
    switch (how) {
    case 1:
        call.onHead(refusal(), now);
        return;
    case 2:
        call.onHead(authenticResponse(500), now);
        return;
    case 3:
        call.onAttemptFailed(attempt_failure::InvalidResponse, http1::message_end::Malformed, now);
        return;
    case 4:
    case 5:
        call.onAttemptFailed(attempt_failure::ConnectionLost, http1::message_end::Reset, now);
        return;
    case 6:
        call.onUnreachable(bench.port.target, now + milliseconds(60));
        return;
    default:
        call.onTimer(now + milliseconds(90));
        return;
    }
}

/// @brief Draws what happens to a request and to its targets, and checks after each step where it may run.
void neverRunsOnMore(request_kind kind)
{
    constexpr int refused = 1;
    const bool isStream = kind == request_kind::Stream;
    exchange_bench bench(kind, isStream, isStream);
    makeBudgetAmple(bench);
    fallible_reports reports(bench);
    auto call = bench.make();
    call.start(zero);
    std::set<std::string> ranOn; // in attempts that have ended
    bool isSent = false; // the open attempt
    std::uint64_t next = 1;
    auto now = zero;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 3), rc::gen::inRange(0, 7)));
    for (const auto& [action, target, what] : steps) {
        if (!bench.port.outcome.empty())
            break;
        now += milliseconds(7);
        const auto attempts = bench.port.attempts;
        const std::string at = bench.port.target;
        const bool endsAttempt = bench.port.isOpen && action < 8 && !(isSent && action == 0);
        if (endsAttempt && action > 0) {
            reports.connected(at);
            isSent = true;
        }
        if (endsAttempt)
            endAttempt(call, bench, action, next, isStream, now);
        else if (action < 12)
            reports.change(bench.firstTargets[static_cast<std::size_t>(target)], what);
        else if (action < 14)
            call.onTimer(now += milliseconds(160));
        else
            bench.port.verdict = action == 14 ? dispatch_verdict::Elsewhere : dispatch_verdict::Go;
        if (!bench.port.isOpen || bench.port.attempts != attempts) {
            if (isSent && action != refused)
                ranOn.insert(at);
            isSent = false;
        }
        auto mayRunOn = ranOn;
        if (bench.port.isOpen)
            mayRunOn.insert(bench.port.target);
        const auto running = std::count_if(
            mayRunOn.begin(), mayRunOn.end(), [&](const std::string& id) { return reports.isRunning(id); });
        RC_ASSERT(running <= 2);
    }
}

} // namespace

TEST_CASE("exchange: whatever happens, a request runs on no more targets than its route allows", "[exchange]")
{
    rc::prop("plain requests", [] { neverRunsOnMore(request_kind::Safe); });
    rc::prop("streams", [] { neverRunsOnMore(request_kind::Stream); });
}
