/// @file
/// @brief Admission of requests by priority at one gateway, with the exchange that asks for it.
#include "support/exchange_bench.hpp"

#include <deque>

using namespace test_support;

namespace {

constexpr std::uint32_t layers = 80;
constexpr double promptTokens = 800;
constexpr double outputTokens = 200;
constexpr std::size_t memoryRequests = 20; ///< typical requests that the only target has memory for

/// One target that holds all layers, with memory for 20 typical requests.
target_pool smallPool()
{
    registry::target_record record;
    record.id = "t";
    record.service = "s";
    record.address = "t:1";
    record.failureDomain = "a";
    record.accelerator = "fast";
    record.slots = 192;
    record.layers = { 0, layers };
    layered_engine engine;
    engine.layers = layers;
    engine.layerMb = 1;
    engine.tokenBytes = layers * 1000.0;
    engine.stepMs = 1;
    engine.stepsPerPass = 5;
    engine.usualPromptTokens = promptTokens;
    engine.usualOutputTokens = outputTokens;
    const double requestMb = (promptTokens + outputTokens) * engine.tokenBytes / 1e6;
    engine.kinds = { { "fast", layers * engine.layerMb + memoryRequests * requestMb, 1, 1 } };
    target_pool pool({ "a" }, 1);
    pool.update({ { record.id, record } });
    pool.setEngine("s", engine);
    pool.setOtherGateways(1, 0);
    pool.setOtherGatewayLoads({ 0 }, zero);
    return pool;
}

std::shared_ptr<const route> routeWith(std::uint32_t priority)
{
    route definition;
    definition.name = "r" + std::to_string(priority);
    definition.kind = request_kind::Stream;
    definition.resumable = true;
    definition.timeout = milliseconds(20000);
    definition.latencyTarget = milliseconds(500);
    definition.priority = priority;
    definition.maxAttempts = 2;
    definition.services = { { "s", 1 } };
    return std::make_shared<route>(definition);
}

/// A gateway with a full target and requests of two priorities.
class admission_bench {
public:
    admission_bench()
    {
        control.setRankedServices({ { "s", { 0, 1 } } }, zero);
        control.setCapacity("s", pool.memoryTokens("s"));
    }

    struct caller {
        recording_port port;
        std::unique_ptr<exchange> request;
    };

    caller& arrive(std::uint32_t priority, steady_time now, milliseconds waitedBefore = milliseconds(0))
    {
        pool.setOtherGatewayLoads({ 0 }, now); // keeps the loads current
        exchange_request request;
        request.id = "q" + std::to_string(callers.size());
        request.service = "s";
        request.route = routeWith(priority);
        request.arrivedAt = now;
        request.deadline = now + milliseconds(20000) - waitedBefore;
        request.size = { promptTokens, outputTokens };
        request.call = callers.size() + 1;
        request.priority = priority;
        request.waitedBefore = waitedBefore;
        auto& added = callers.emplace_back();
        added.request = std::make_unique<exchange>(std::move(request), added.port, pool, budget);
        added.request->useAdmission(control);
        added.request->start(now);
        return added;
    }

    /// Fills the target.
    void fill(std::uint32_t priority, steady_time now)
    {
        while (callers.size() < 100 && arrive(priority, now).port.isOpen) { }
        REQUIRE(callers.size() > memoryRequests / 2);
        REQUIRE(callers.size() < 100);
    }

    /// The stream of a caller ends early, which frees its memory.
    void end(caller& ended, steady_time now) { ended.request->onCallerDisconnected(now); }

    target_pool pool = smallPool();
    shared_retry_budget budget { shared_retry_budget_options {} };
    admission_control control { 1 };
    std::deque<caller> callers;
};

steady_time at(int ms) { return zero + milliseconds(ms); }

} // namespace

// Guards against a refusal although capacity comes free before the latest useful start.
TEST_CASE("admission: a request waits for capacity instead of being refused", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    CHECK(waiting.request->isQueued());
    CHECK(waiting.port.outcome.empty());
    CHECK_FALSE(waiting.request->retryAdmission(at(50)));
    bench.end(bench.callers.front(), at(60));
    CHECK(waiting.request->retryAdmission(at(60)));
    CHECK(waiting.port.isOpen);
    CHECK(bench.control.queue().size() == 0);
}

// Guards against requests that wait in vain, and against refusals without a return time.
TEST_CASE("admission: a request that can't start in time is refused as not run, with a time to return", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    const auto latest = waiting.port.timer;
    CHECK(latest == at(250)); // half of the latency target is left to the prefill
    waiting.request->onTimer(latest);
    CHECK(waiting.port.outcome == "error");
    CHECK(waiting.port.errorCode == result_code::Busy);
    CHECK(waiting.port.errorRan == ran_state::No);
    CHECK(waiting.port.attempts == 0);
    CHECK(bench.control.queue().size() == 0);
    REQUIRE(waiting.request->returnAt().has_value());
    CHECK(*waiting.request->returnAt() > latest);
    CHECK(*waiting.request->returnAt() <= latest + milliseconds(20000) / 3);
}

// Guards against a queue served in order of arrival regardless of priority.
TEST_CASE("admission: freed capacity goes to the higher priority although the lower one waited first", "[admission]")
{
    admission_bench bench;
    bench.fill(1, at(0));
    auto& lower = bench.callers.back();
    REQUIRE(lower.request->isQueued());
    auto& higher = bench.arrive(0, at(10));
    REQUIRE(higher.request->isQueued());
    CHECK(bench.control.queue().next("s")->priority == 0);
    bench.end(bench.callers.front(), at(20));
    CHECK_FALSE(lower.request->retryAdmission(at(20))); // it must wait for the higher one
    CHECK(higher.request->retryAdmission(at(20)));
    CHECK(higher.port.isOpen);
    CHECK(lower.request->isQueued());
}

// Guards against new requests that take freed capacity before those already queued.
TEST_CASE("admission: a new request doesn't overtake a queued one of its priority", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    for (std::size_t i = 0; i < memoryRequests / 2; ++i)
        bench.end(bench.callers[i], at(10));
    auto& fresh = bench.arrive(0, at(10));
    CHECK(fresh.request->isQueued());
    CHECK(waiting.request->retryAdmission(at(10)));
    CHECK(waiting.port.isOpen);
}

// Guards against callers that return at their time and are refused again in favour of new ones.
TEST_CASE("admission: a returning request goes before new ones and may wait when it is late", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& fresh = bench.callers.back();
    auto& returning = bench.arrive(0, at(10), milliseconds(800));
    CHECK(returning.request->isQueued());
    CHECK(bench.control.queue().next("s")->isReturning);
    CHECK(returning.port.timer == at(10) + milliseconds(1500)); // before its caller disconnects
    bench.end(bench.callers.front(), at(20));
    CHECK_FALSE(fresh.request->retryAdmission(at(20)));
    CHECK(returning.request->retryAdmission(at(20)));
}

// Guards against requests that are sent to a target after their caller has disconnected.
TEST_CASE("admission: a caller that disconnects leaves the queue at once", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    REQUIRE(bench.control.queue().size() == 1);
    waiting.request->onCallerDisconnected(at(5));
    CHECK(bench.control.queue().size() == 0);
    CHECK(waiting.port.attempts == 0);
    CHECK(waiting.request->isOver());
}

// Guards against queued requests that start too late after the process was suspended.
TEST_CASE("admission: a clock jump over the latest start refuses a queued request without running it", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    SECTION("within its caller's deadline: all loads are out of date then, and everything would seem to fit")
    {
        waiting.request->onTimer(at(5000));
        CHECK(waiting.port.errorCode == result_code::Busy);
    }
    SECTION("beyond its caller's deadline")
    {
        waiting.request->onTimer(at(600000));
        CHECK(waiting.port.errorCode == result_code::DeadlinePassed);
    }
    CHECK(waiting.port.outcome == "error");
    CHECK(waiting.port.errorRan == ran_state::No);
    CHECK(waiting.port.attempts == 0);
}

TEST_CASE("admission: requests of a service that isn't ranked neither wait nor are counted", "[admission]")
{
    // Deployments without different priorities must be served as before.
    admission_bench bench;
    bench.fill(0, at(0));
    bench.control.setRankedServices({}, at(0));
    exchange_request request;
    request.id = "plain";
    request.service = "s";
    request.route = routeWith(0);
    request.deadline = at(20000);
    request.size = { promptTokens, outputTokens };
    recording_port port;
    exchange plain(std::move(request), port, bench.pool, bench.budget);
    plain.start(at(0));
    CHECK(port.errorCode == result_code::Busy);
    CHECK_FALSE(plain.returnAt().has_value());
    CHECK_FALSE(bench.control.isActive());
    CHECK(bench.control.report(at(0)).empty());
}

TEST_CASE("admission: a lower priority is not starved by a queue of a higher one", "[admission]")
{
    // The queue is ordered by priority, so that without the guarantee a permanent queue of priority 0 takes everything.
    admission_bench bench;
    bench.fill(0, at(0));
    auto& higher = bench.arrive(0, at(1), milliseconds(300));
    auto& lower = bench.arrive(1, at(1), milliseconds(300));
    REQUIRE(higher.request->isQueued());
    REQUIRE(lower.request->isQueued());
    const auto candidates = bench.control.candidates("s", at(2));
    REQUIRE(candidates.size() == 2);
    bench.end(bench.callers.front(), at(2));
    CHECK(lower.request->retryAdmission(at(2)));
    CHECK(lower.port.isOpen);
}

// Guards against queued requests that are lost, or held until the process exits, at a shutdown.
TEST_CASE("admission: queued requests of a gateway that shuts down are told to go to another one", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    waiting.request->refuseQueued(queue_exit::ShuttingDown, at(10));
    CHECK(waiting.port.errorCode == result_code::ShuttingDown);
    CHECK(waiting.port.errorRan == ran_state::No);
    CHECK_FALSE(waiting.request->returnAt().has_value());
    CHECK(bench.control.queue().size() == 0);
}

// Guards against refusing all queued requests while a target is briefly missing.
TEST_CASE("admission: a moment without a path doesn't empty the queue", "[admission]")
{
    admission_bench bench;
    bench.fill(0, at(0));
    auto& waiting = bench.callers.back();
    bench.pool.update({});
    CHECK_FALSE(waiting.request->retryAdmission(at(10)));
    CHECK(waiting.request->isQueued());
}

TEST_CASE("admission: running tokens return to zero when all attempts have ended", "[admission]")
{
    // A count that only grows would hold back lower priorities for ever.
    admission_bench bench;
    bench.fill(0, at(0));
    for (auto& each : bench.callers)
        bench.end(each, at(100));
    const auto report = bench.control.report(at(100));
    REQUIRE(report.size() == 1);
    for (const auto& rank : report.front().ranks) {
        CHECK(rank.runningTokens == 0);
        CHECK(rank.waitingTokens == 0);
    }
}
