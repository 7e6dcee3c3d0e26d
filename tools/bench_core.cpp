/// @file
/// @brief Benchmarks of routing decisions, gate, admission by priority and its queue, configuration store, codecs and
/// replicated log at growing sizes.
///
/// The global operator new is replaced to count allocations per iteration.
#include "buckthornrail/agreement/replica.hpp"
#include "buckthornrail/configuration/configuration_store.hpp"
#include "buckthornrail/dispatch/target_gate.hpp"
#include "buckthornrail/gateway/admission.hpp"
#include "buckthornrail/gateway/admission_queue.hpp"
#include "buckthornrail/gateway/fingerprint_request.hpp"
#include "buckthornrail/gateway/quarantine_gate.hpp"
#include "buckthornrail/gateway/return_schedule.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/routing/route_table.hpp"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocationCount { 0 };

} // namespace

[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocationCount;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)

constexpr std::int64_t modelCount = 33;
const steady_time begin = steady_time {} + std::chrono::hours(1);

membership::instance_record makeTarget(std::int64_t number)
{
    membership::instance_record record;
    record.id = "target-" + std::to_string(number);
    record.role = membership::instance_role::Sidecar;
    record.incarnation = 1;
    record.state = membership::instance_state::Ready;
    record.failureDomain = "domain-" + std::to_string(number % 19);
    record.target.model = "model-" + std::to_string(number % modelCount);
    record.target.version = "1";
    record.target.slots = 4;
    return record;
}

configuration::document makeDocument(std::int64_t workspaces)
{
    configuration::document document;
    for (std::int64_t number = 0; number < workspaces; ++number)
        document.workspaces["workspace-" + std::to_string(number)].weight = static_cast<std::uint32_t>(1 + number % 4);
    for (std::int64_t number = 0; number < modelCount; ++number) {
        document.models["model-" + std::to_string(number)].layers = 8;
        document.pipelines["pipeline-" + std::to_string(number)]
            = { "model-" + std::to_string(number), { { "1", 100 } }, {}, {}, request_priority::Normal };
    }
    return document;
}

void reportAllocations(benchmark::State& state, std::uint64_t before)
{
    state.counters["allocations"]
        = static_cast<double>(allocationCount - before) / static_cast<double>(state.iterations());
}

void routeDecision(benchmark::State& state)
{
    routing::route_table table({}, 1);
    for (std::int64_t number = 0; number < state.range(0); ++number)
        table.update(makeTarget(number));
    routing::route_query query;
    query.model = "model-1";
    query.version = "1";
    query.startDeadline = begin + std::chrono::hours(1);
    query.prefixHash = routing::hashPrefix("w", "prompt");
    const std::uint64_t before = allocationCount;
    for (auto step : state) {
        auto choice = table.choose(query, begin);
        benchmark::DoNotOptimize(choice);
    }
    reportAllocations(state, before);
}

void gateOfferAndFinish(benchmark::State& state)
{
    dispatch::gate_options options;
    options.incarnation = 1;
    options.recordRetention = milliseconds(state.range(0));
    dispatch::target_gate gate(options, begin);
    gate.renewConfiguration(1, begin + std::chrono::hours(1000));
    gate.setReady(true);
    dispatch::attempt_offer offer;
    offer.incarnation = 1;
    offer.configuration = 1;
    offer.startWithinMs = 1000;
    offer.finishWithinMs = 1000;
    steady_time now = begin;
    std::uint64_t number = 0;
    const std::uint64_t before = allocationCount;
    for (auto step : state) {
        now += milliseconds(1);
        offer.attempt = { std::to_string(++number), 1 };
        benchmark::DoNotOptimize(gate.offer(offer, 1, now));
        benchmark::DoNotOptimize(gate.finished(offer.attempt, now));
        if (number % 50 == 0)
            benchmark::DoNotOptimize(gate.tick(now));
    }
    reportAllocations(state, before);
}

gateway::queued_request makeQueuedRequest(std::int64_t number)
{
    gateway::queued_request request;
    request.call = static_cast<std::uint64_t>(number);
    request.service = "model-service";
    request.priority = static_cast<std::uint32_t>(number % 3);
    request.isReturning = number % 7 == 0;
    request.deadline = begin + milliseconds(number * 7919 % 20'000);
    request.enqueuedAt = begin + milliseconds(number);
    request.tokens = 1000;
    request.bytes = 4000;
    return request;
}

/// Adds a request to a queue that holds range(0) requests, and takes the first one.
void queueAddAndTake(benchmark::State& state)
{
    const auto size = static_cast<std::size_t>(state.range(0));
    gateway::admission_queue queue({ size + 1, (size + 1) * 4000 });
    std::int64_t number = 0;
    while (queue.size() < size)
        queue.add(makeQueuedRequest(number++));
    const std::uint64_t before = allocationCount;
    for (auto step : state) {
        benchmark::DoNotOptimize(queue.add(makeQueuedRequest(number++)));
        queue.remove(queue.next("model-service")->call);
    }
    reportAllocations(state, before);
}

/// Adds a request of the highest priority to a full queue, which displaces one of a lower priority.
void queueDisplace(benchmark::State& state)
{
    const auto size = static_cast<std::size_t>(state.range(0));
    gateway::admission_queue queue({ size, size * 4000 });
    std::int64_t number = 0;
    while (queue.size() < size)
        queue.add(makeQueuedRequest(number++));
    for (auto step : state) {
        auto request = makeQueuedRequest(number++);
        request.priority = 0;
        benchmark::DoNotOptimize(queue.add(request));
        state.PauseTiming();
        for (const auto call : queue.takeDisplaced()) { // restores the lower priority
            queue.remove(request.call);
            request.call = call;
            request.priority = 2;
            queue.add(request);
        }
        state.ResumeTiming();
    }
}

/// One refusal per millisecond at a gateway. range(0): spare rate in tokens per second; 0: none
void returnPromise(benchmark::State& state)
{
    gateway::return_schedule schedule({}, 1);
    gateway::return_request request;
    request.tokens = 1000;
    request.spareTokensPerSecond = static_cast<double>(state.range(0));
    request.gateways = 28;
    steady_time now = begin;
    for (auto step : state) {
        now += milliseconds(1);
        request.callerDeadline = now + std::chrono::seconds(20);
        benchmark::DoNotOptimize(schedule.promise("model-service", request, now));
    }
    state.counters["promises"] = static_cast<double>(schedule.promisedCount("model-service", 0, now));
}

/// The sums of promised and due tokens after returnPromise() at 1 refusal per millisecond.
void returnSums(benchmark::State& state)
{
    gateway::return_schedule schedule({}, 1);
    gateway::return_request request;
    request.tokens = 1000;
    steady_time now = begin;
    for (int refusal = 0; refusal < 10'000; ++refusal) {
        now += milliseconds(1);
        request.callerDeadline = now + std::chrono::seconds(20);
        schedule.promise("model-service", request, now);
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(schedule.promisedTokens("model-service", 0, now));
        benchmark::DoNotOptimize(schedule.dueTokens("model-service", 0, now));
    }
}

void configurationChange(benchmark::State& state)
{
    configuration::configuration_store store;
    auto document = makeDocument(state.range(0));
    const auto text = configuration::formatDocument(document);
    store.apply({ "0", 0, "", 0, configuration::makePatch(store.text(), text) });
    std::size_t patchBytes = 0;
    for (auto step : state) {
        document.workspaces["workspace-1"].weight = static_cast<std::uint32_t>(1 + store.version() % 9);
        const auto patch = configuration::makePatch(store.text(), configuration::formatDocument(document));
        patchBytes = patch.size();
        benchmark::DoNotOptimize(store.apply({ std::to_string(store.version()), store.version(), "", 0, patch }));
    }
    state.counters["document_bytes"] = static_cast<double>(store.text().size());
    state.counters["patch_bytes"] = static_cast<double>(patchBytes);
}

void configurationDelta(benchmark::State& state)
{
    configuration::configuration_store store;
    auto document = makeDocument(state.range(0));
    store.apply({ "0", 0, "", 0, configuration::makePatch(store.text(), configuration::formatDocument(document)) });
    configuration::configuration_view view;
    (void)view.apply(*store.updateFor(0));
    for (auto step : state) {
        state.PauseTiming();
        document.workspaces["workspace-1"].weight = static_cast<std::uint32_t>(1 + store.version() % 9);
        const auto patch = configuration::makePatch(store.text(), configuration::formatDocument(document));
        store.apply({ std::to_string(store.version()), store.version(), "", 0, patch });
        const auto update = store.updateFor(view.version());
        state.ResumeTiming();
        benchmark::DoNotOptimize(view.apply(*update));
    }
}

void frameCodec(benchmark::State& state)
{
    dispatch::response_frame frame;
    frame.attempt = { "0123456789abcdef0123456789abcdef", 1 };
    frame.bytes = " anchor42";
    std::size_t size = 0;
    for (auto step : state) {
        const auto bytes = link::encode(frame);
        size = bytes.size();
        benchmark::DoNotOptimize(link::decode(bytes));
    }
    state.counters["bytes"] = static_cast<double>(size);
}

void offerCodec(benchmark::State& state)
{
    dispatch::attempt_offer offer;
    offer.attempt = { "0123456789abcdef0123456789abcdef", 1 };
    offer.work.prompt.assign(static_cast<std::size_t>(state.range(0)), 'p');
    for (auto step : state)
        benchmark::DoNotOptimize(link::decode(link::encode(offer)));
}

void logCommit(benchmark::State& state)
{
    agreement::replica log(1, {}, {}, 1, begin);
    (void)log.initialize("a", begin);
    benchmark::DoNotOptimize(log.takeEffects());
    const std::string command(200, 'c');
    agreement::log_index sinceCompaction = 0;
    for (auto step : state) {
        log.propose(command);
        benchmark::DoNotOptimize(log.takeEffects());
        if (++sinceCompaction == 2000) {
            log.compact(log.commitIndex(), "");
            sinceCompaction = 0;
        }
    }
}

registry::target_delta makeTargetTable(std::int64_t targets)
{
    registry::target_delta delta;
    delta.full = true;
    for (std::int64_t number = 0; number < targets; ++number) {
        registry::target_record record;
        record.id = "i-" + std::to_string(1000000 + number * 7919);
        record.service = "model-service";
        record.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8080";
        record.failureDomain = "domain-" + std::to_string(number % 5);
        record.accelerator = "kind-a";
        record.layers = { 10, 22 };
        record.revision = static_cast<std::uint64_t>(number);
        delta.records.push_back(record);
    }
    return delta;
}

void tableEncode(benchmark::State& state)
{
    const auto table = makeTargetTable(state.range(0));
    for (auto step : state)
        benchmark::DoNotOptimize(link::encodeDelta(table));
    state.counters["bytes"] = static_cast<double>(link::encodeDelta(table).size());
}

void tableDecode(benchmark::State& state)
{
    const auto bytes = link::encodeDelta(makeTargetTable(state.range(0)));
    for (auto step : state)
        benchmark::DoNotOptimize(link::decodeDelta(bytes));
}

/// Counts and decisions for requests of all services and priorities in turn, with current figures of other gateways.
void admissionDecision(benchmark::State& state)
{
    constexpr std::uint32_t services = 16;
    std::map<std::string, std::vector<std::uint32_t>> ranked;
    registry::demand_report others;
    for (std::uint32_t number = 0; number < services; ++number) {
        const std::string name = "model-service-" + std::to_string(100 + number);
        registry::service_demand demand { name, 50'000, {} };
        for (std::uint32_t priority = 0; priority < registry::maxPrioritiesInDemand; ++priority) {
            ranked[name].push_back(priority);
            demand.ranks.push_back({ priority, 5000 + 100 * priority, 9000, 100 * number, 0, 50 });
        }
        others.push_back(demand);
    }
    gateway::admission admission;
    admission.setRankedServices(ranked, begin);
    for (const auto& demand : others)
        admission.setCapacity(demand.service, 120'000);
    steady_time now = begin;
    std::uint32_t number = 0;
    const std::uint64_t before = allocationCount;
    for (auto step : state) {
        if (number % 1000 == 0)
            admission.setOthers(others, now);
        now += std::chrono::microseconds(300);
        const gateway::admission_request request { others[number % services].service,
            number / services % static_cast<std::uint32_t>(registry::maxPrioritiesInDemand), 1000, false };
        admission.countArrival(request, now);
        benchmark::DoNotOptimize(admission.reservedShare(request, now));
        admission.countAdmission(request, now);
        ++number;
    }
    reportAllocations(state, before);
}

/// What the quarantine costs a request with three shared parts, while a number of other parts are quarantined.
void quarantineOfRequest(benchmark::State& state)
{
    gateway::crash_watch watch;
    gateway::quarantine_gate gate(1);
    registry::quarantine_delta delta { 1, false, {} };
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        const auto part = gateway::fingerprintOfPart("other", std::to_string(number));
        delta.standings.push_back({ part, registry::quarantine_stage::Proven, true, false });
    }
    gate.applyDelta(delta);
    const std::vector<gateway::selected_part> path { { { "target" }, "10.0.0.1:1", { 0, 8 }, 0 } };
    steady_time now {};
    gateway::call_number call = 0;
    for ([[maybe_unused]] const auto& iteration : state) {
        ++call;
        now += milliseconds(1);
        std::vector<request_fingerprint> parts;
        for (const std::uint64_t kind : { 0U, 100U, 200U })
            parts.push_back(gateway::fingerprintOfPart("service", std::to_string(kind + call % 60)));
        benchmark::DoNotOptimize(gate.requestDispatch(call, { {}, parts }, path.front().target, now));
        watch.onAttemptOpened(call, path, now, parts);
        watch.onFirstEvent(call, now);
        benchmark::DoNotOptimize(watch.takeSurvival(call, true, now));
        watch.forgetCall(call);
    }
}

BENCHMARK(quarantineOfRequest)->Arg(0)->Arg(1000);
BENCHMARK(admissionDecision);
BENCHMARK(tableEncode)->Arg(30)->Arg(300)->Arg(3000)->Unit(benchmark::kMillisecond);
BENCHMARK(tableDecode)->Arg(30)->Arg(300)->Arg(3000)->Unit(benchmark::kMillisecond);
BENCHMARK(routeDecision)->Arg(26)->Arg(260)->Arg(2600);
BENCHMARK(gateOfferAndFinish)->Arg(1000)->Arg(600'000);
BENCHMARK(queueAddAndTake)->Arg(0)->Arg(256)->Arg(10'000);
BENCHMARK(queueDisplace)->Arg(256)->Arg(10'000);
BENCHMARK(returnPromise)->Arg(0)->Arg(100'000'000);
BENCHMARK(returnSums);
BENCHMARK(configurationChange)->Arg(75)->Arg(750)->Arg(7500)->Unit(benchmark::kMillisecond);
BENCHMARK(configurationDelta)->Arg(75)->Arg(750)->Arg(7500)->Unit(benchmark::kMillisecond)->Iterations(20);
BENCHMARK(frameCodec);
BENCHMARK(offerCodec)->Arg(400)->Arg(40'000);
BENCHMARK(logCommit);

} // namespace

BENCHMARK_MAIN();
