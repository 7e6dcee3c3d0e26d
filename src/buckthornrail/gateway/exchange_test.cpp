/// @file
/// @brief Response to the caller and retries of one request under each kind of failure.
#include "support/exchange_bench.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace test_support;

TEST_CASE("exchange: a response is forwarded", "[exchange]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    call.onHead(authenticResponse(200), zero);
    CHECK(bench.port.outcome.empty());
    call.onBody(http1::message_end::Length, zero);
    CHECK(bench.port.outcome == "forwarded");
    CHECK(call.isOver());
}

TEST_CASE("exchange: an unsafe request that may have run is never retried", "[exchange]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    call.onAttemptFailed(attempt_failure::ConnectionLost, http1::message_end::Reset, zero);
    CHECK(bench.port.attempts == 1);
    CHECK(bench.port.outcome == "error");
    CHECK(bench.port.errorRan == ran_state::Unknown);
    CHECK(describe(bench.port.errorCode).httpStatus == 502);
}

TEST_CASE("exchange: a request that the target refused is retried elsewhere, even if unsafe", "[exchange]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    auto call = bench.make();
    call.start(zero);
    for (int i = 0; i < 20 && bench.port.outcome.empty(); ++i) {
        call.onSent(zero);
        call.onHead(refusal(), zero);
    }
    CHECK(bench.port.attempts > 2);
    CHECK(bench.port.outcome == "error");
    CHECK(bench.port.errorRan == ran_state::No);
    CHECK(describe(bench.port.errorCode).httpStatus == 503);
}

TEST_CASE("exchange: a status that implies not executed without the target's statement is not forwarded", "[exchange]")
{
    for (const int status : { 408, 421, 429, 503 }) {
        exchange_bench bench(request_kind::Unsafe, false, false);
        auto call = bench.make();
        call.start(zero);
        call.onSent(zero);
        call.onHead(authenticResponse(status), zero);
        call.onBody(http1::message_end::Length, zero);
        INFO(status);
        CHECK(bench.port.outcome == "error");
        CHECK(bench.port.errorRan == ran_state::Unknown);
        CHECK(describe(bench.port.errorCode).httpStatus == 502);
    }
}

TEST_CASE("exchange: a failed safe request is retried on one more target", "[exchange]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    const std::string first = bench.port.target;
    call.onHead(authenticResponse(500), zero);
    CHECK(bench.port.attempts == 2);
    CHECK(bench.port.target != first);
    for (int i = 0; i < 10 && bench.port.outcome.empty(); ++i) {
        call.onSent(zero);
        call.onHead(authenticResponse(500), zero);
        call.onBody(http1::message_end::Length, zero);
    }
    CHECK(bench.port.outcome == "forwarded"); // the target's failure, not an error of the gateway
    const std::set<std::string> distinct(bench.port.targets.begin(), bench.port.targets.end());
    CHECK(distinct.size() == 2);
    CHECK(bench.port.attempts == 2); // a repeated failure is caused by the request
}

TEST_CASE("exchange: a safe request leaves a silent target before the latency target", "[exchange]")
{
    exchange_bench bench(request_kind::Safe, false, false);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    CHECK(bench.port.timer == zero + milliseconds(70));
    call.onTimer(zero + milliseconds(70));
    CHECK(bench.port.attempts == 2);
    CHECK(bench.port.isOpen);
}

TEST_CASE(
    "exchange: the final response comes by the deadline and states whether the request may have run", "[exchange]")
{
    exchange_bench bench(request_kind::Unsafe, false, false);
    auto unsent = bench.make();
    unsent.start(zero);
    CHECK(bench.port.timer == zero + milliseconds(1000));
    unsent.onTimer(zero + milliseconds(1000));
    CHECK(bench.port.errorRan == ran_state::No);

    exchange_bench other(request_kind::Unsafe, false, false);
    auto sent = other.make();
    sent.start(zero);
    sent.onSent(zero);
    sent.onTimer(zero + milliseconds(1000));
    CHECK(other.port.errorRan == ran_state::Unknown);
    CHECK(describe(other.port.errorCode).httpStatus == 504);
}

TEST_CASE("exchange: a disconnected caller cancels the attempt and receives nothing", "[exchange]")
{
    exchange_bench bench(request_kind::Stream, true, true);
    auto call = bench.make();
    call.start(zero);
    call.onSent(zero);
    call.onCallerDisconnected(zero);
    CHECK_FALSE(bench.port.isOpen);
    CHECK(bench.port.outcome.empty());
    call.onTimer(zero + milliseconds(5000));
    CHECK(bench.port.outcome.empty());
}

TEST_CASE("exchange: invariants hold for any sequence of events", "[exchange]")
{
    rc::prop("any events", [] {
        const auto kind = static_cast<request_kind>(*rc::gen::inRange(0, 3));
        const bool resumable = *rc::gen::arbitrary<bool>();
        exchange_bench bench(kind, resumable, kind == request_kind::Stream);
        auto call = bench.make();
        call.start(zero);
        int mayHaveRun = 0;
        bool sent = false;
        std::uint64_t nextId = 1;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
        steady_time now = zero;
        for (const int step : steps) {
            if (!bench.port.outcome.empty())
                break;
            const auto attempts = bench.port.attempts;
            now += milliseconds(3);
            switch (step) {
            case 0:
                call.onSent(now);
                sent = true;
                break;
            case 1:
                mayHaveRun += sent ? 1 : 0;
                call.onAttemptFailed(sent ? attempt_failure::ConnectionLost : attempt_failure::ConnectFailed,
                    http1::message_end::Reset, now);
                break;
            case 2:
                call.onHead(refusal(), now);
                break;
            case 3:
                mayHaveRun += 1;
                call.onHead(authenticResponse(500), now);
                break;
            case 4:
                call.onHead(authenticResponse(200, kind == request_kind::Stream), now);
                break;
            case 5:
                call.onEvent("e", nextId++, now);
                break;
            case 6:
                call.onReport(true, bench.port.target + ":1", now);
                break;
            case 7:
                now += milliseconds(200);
                call.onTimer(now);
                break;
            default:
                mayHaveRun += 1;
                call.onHead({ 200, false, false, false, {} }, now);
                break;
            }
            if (bench.port.attempts != attempts)
                sent = false;
            const bool isRetryable = kind == request_kind::Safe || (kind == request_kind::Stream && resumable);
            if (!isRetryable && mayHaveRun > 0)
                RC_ASSERT(bench.port.attempts == attempts);
        }
        if (bench.port.outcome == "error" && bench.port.errorRan == ran_state::No)
            RC_ASSERT(mayHaveRun == 0);
    });
}
