/// @file
/// @brief What a version of the document costs a registry that sends it and a gateway that takes it over, by routes.
#include "app/gateway/gateway_document.hpp"
#include "buckthornrail/compression/text_patch.hpp"
#include "platform/dialects.hpp"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)
using app::versioned_text;
using nlohmann::json;

constexpr std::uint64_t firstVersion = 1;

std::string prefixOf(std::int64_t route)
{
    std::string prefix = "/prefix";
    prefix += std::to_string(route);
    return prefix += '/';
}

std::string hostOf(std::int64_t route)
{
    constexpr std::int64_t hosts = 50;
    std::string host = "h";
    host += std::to_string(route % hosts);
    return host += ".example";
}

json routeOf(std::int64_t number)
{
    return { { "name", "r-" + std::to_string(number) }, { "host", hostOf(number) }, { "path-prefix", prefixOf(number) },
        { "kind", "streaming" }, { "timeout-ms", 20000 }, { "target-latency-ms", 500 }, { "priority", 1 },
        { "service", "engine" }, { "max-attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true },
        { "gap-aim-ms", 200 } };
}

/// @param changed route that differs by version; -1: none
versioned_text documentOf(std::uint64_t version, std::int64_t routes, std::int64_t changed)
{
    json all = json::array();
    for (std::int64_t at = 0; at < routes; ++at) {
        all.push_back(routeOf(at));
        if (at == changed)
            all.back()["priority"] = version % 7;
    }
    json tenants = json::array();
    for (int at = 0; at < 24; ++at)
        tenants.push_back({ { "name", "w" + std::to_string(at) }, { "api-keys", { "key" + std::to_string(at) } } });
    const json whole { { "version", version }, { "routes", all }, { "services", { { { "name", "engine" } } } },
        { "tenants", tenants } };
    return { version, whole.dump() };
}

/// @brief Slices of a registry's messages. @param held version that the gateway has
std::vector<link::document_slice> slicesFrom(app::document_feed& feed, std::uint64_t held, const versioned_text& newest)
{
    std::vector<link::document_slice> slices;
    for (const auto* bytes : feed.messagesFrom(held, newest))
        slices.push_back(std::get<link::document_slice>(link::decode(*bytes).value()));
    return slices;
}

void readAsAWhole(benchmark::State& state)
{
    const auto text = documentOf(firstVersion, state.range(0), -1);
    for (auto _ : state) {
        auto read = platform::controlDialect().readDocument(text.text);
        gateway::route_index index(std::move(read.value()));
        benchmark::DoNotOptimize(index);
    }
}

void takeWholeInSlices(benchmark::State& state)
{
    const auto text = documentOf(firstVersion, state.range(0), -1);
    app::document_feed feed(platform::controlDialect());
    feed.update(text);
    const auto slices = slicesFrom(feed, 0, text);
    double longest = 0;
    for (auto _ : state) {
        app::gateway_document held(platform::controlDialect());
        const auto begun = std::chrono::steady_clock::now();
        auto last = begun;
        for (const auto& slice : slices) {
            (void)held.take(slice);
            const auto now = std::chrono::steady_clock::now();
            longest = std::max(longest, std::chrono::duration<double, std::micro>(now - last).count());
            last = now;
        }
        (void)held.activate();
    }
    state.counters["longest_slice_us"] = longest;
    state.counters["slices"] = static_cast<double>(slices.size());
}

void takeOneRoute(benchmark::State& state)
{
    app::document_feed feed(platform::controlDialect());
    auto text = documentOf(firstVersion, state.range(0), -1);
    feed.update(text);
    app::gateway_document held(platform::controlDialect());
    for (const auto& slice : slicesFrom(feed, 0, text))
        (void)held.take(slice);
    (void)held.activate();
    std::uint64_t version = firstVersion;
    for (auto _ : state) {
        state.PauseTiming();
        ++version;
        text = documentOf(version, state.range(0), state.range(0) / 2);
        feed.update(text);
        const auto slices = slicesFrom(feed, version - 1, text);
        state.ResumeTiming();
        for (const auto& slice : slices)
            (void)held.take(slice);
        (void)held.activate();
    }
}

void followOneRoute(benchmark::State& state)
{
    app::document_feed feed(platform::controlDialect());
    const std::vector<versioned_text> texts { documentOf(2, state.range(0), 3), documentOf(3, state.range(0), 3) };
    feed.update(texts[0]);
    std::uint64_t version = 3;
    for (auto _ : state) {
        state.PauseTiming();
        versioned_text next { ++version, texts[version % 2].text };
        state.ResumeTiming();
        // The text's own version repeats, so that each call is a change of one route.
        feed.update(next);
    }
}

void patchOneRoute(benchmark::State& state)
{
    const auto before = documentOf(2, state.range(0), 3);
    const auto after = documentOf(3, state.range(0), 3);
    for (auto _ : state)
        benchmark::DoNotOptimize(compression::makePatch(before.text, after.text));
}

void find(benchmark::State& state)
{
    const auto text = documentOf(firstVersion, state.range(0), -1);
    const gateway::route_index index(platform::controlDialect().readDocument(text.text).value());
    std::int64_t at = 0;
    for (auto _ : state) {
        at = (at + 7919) % state.range(0);
        benchmark::DoNotOptimize(index.find(hostOf(at), prefixOf(at)));
    }
}

void sizes(benchmark::internal::Benchmark* one)
{
    for (const std::int64_t routes : { 250, 2000, 10'000, 100'000 })
        one->Arg(routes);
    one->Unit(benchmark::kMicrosecond);
}

BENCHMARK(readAsAWhole)->Apply(sizes);
BENCHMARK(takeWholeInSlices)->Apply(sizes);
BENCHMARK(takeOneRoute)->Apply(sizes)->Iterations(20);
BENCHMARK(followOneRoute)->Apply(sizes);
BENCHMARK(patchOneRoute)->Apply(sizes);
BENCHMARK(find)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
