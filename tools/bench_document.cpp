/// @file
/// @brief Benchmarks of sending a document version from a registry and assembling it in a gateway, by number of routes.
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

json makeRoute(std::int64_t number)
{
    return { { "name", "r-" + std::to_string(number) }, { "host", hostOf(number) }, { "path-prefix", prefixOf(number) },
        { "kind", "streaming" }, { "timeout-ms", 20000 }, { "target-latency-ms", 500 }, { "priority", 1 },
        { "service", "engine" }, { "max-attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true },
        { "gap-aim-ms", 200 } };
}

/// @param changed index of the route whose priority depends on the version; -1: none
versioned_text makeDocument(std::uint64_t version, std::int64_t routes, std::int64_t changed)
{
    json routeList = json::array();
    for (std::int64_t route = 0; route < routes; ++route) {
        routeList.push_back(makeRoute(route));
        if (route == changed)
            routeList.back()["priority"] = version % 7;
    }
    json tenants = json::array();
    for (int tenant = 0; tenant < 24; ++tenant)
        tenants.push_back(
            { { "name", "w" + std::to_string(tenant) }, { "api-keys", { "key" + std::to_string(tenant) } } });
    const json document { { "version", version }, { "routes", routeList }, { "services", { { { "name", "engine" } } } },
        { "tenants", tenants } };
    return { version, document.dump() };
}

/// @brief Decodes the slices that a registry sends. @param knownVersion version that the gateway has; 0: none
std::vector<link::document_slice> slicesFrom(
    app::document_feed& feed, std::uint64_t knownVersion, const versioned_text& newest)
{
    std::vector<link::document_slice> slices;
    for (const auto* bytes : feed.messagesFrom(knownVersion, newest))
        slices.push_back(std::get<link::document_slice>(link::decode(*bytes).value()));
    return slices;
}

void readWholeDocument(benchmark::State& state)
{
    const auto text = makeDocument(firstVersion, state.range(0), -1);
    for (auto _ : state) {
        auto read = platform::controlDialect().readDocument(text.text);
        gateway::route_index index(std::move(read.value()));
        benchmark::DoNotOptimize(index);
    }
}

void assembleWholeDocument(benchmark::State& state)
{
    const auto text = makeDocument(firstVersion, state.range(0), -1);
    app::document_feed feed(platform::controlDialect());
    feed.update(text);
    const auto slices = slicesFrom(feed, 0, text);
    double longest = 0;
    for (auto _ : state) {
        app::gateway_document document(platform::controlDialect());
        const auto started = std::chrono::steady_clock::now();
        auto last = started;
        for (const auto& slice : slices) {
            (void)document.add(slice);
            const auto now = std::chrono::steady_clock::now();
            longest = std::max(longest, std::chrono::duration<double, std::micro>(now - last).count());
            last = now;
        }
        (void)document.activate();
    }
    state.counters["longest_slice_us"] = longest;
    state.counters["slices"] = static_cast<double>(slices.size());
}

void assembleRouteChange(benchmark::State& state)
{
    app::document_feed feed(platform::controlDialect());
    auto text = makeDocument(firstVersion, state.range(0), -1);
    feed.update(text);
    app::gateway_document document(platform::controlDialect());
    for (const auto& slice : slicesFrom(feed, 0, text))
        (void)document.add(slice);
    (void)document.activate();
    std::uint64_t version = firstVersion;
    for (auto _ : state) {
        state.PauseTiming();
        ++version;
        text = makeDocument(version, state.range(0), state.range(0) / 2);
        feed.update(text);
        const auto slices = slicesFrom(feed, version - 1, text);
        state.ResumeTiming();
        for (const auto& slice : slices)
            (void)document.add(slice);
        (void)document.activate();
    }
}

void updateFeedRouteChange(benchmark::State& state)
{
    app::document_feed feed(platform::controlDialect());
    const std::vector<versioned_text> texts { makeDocument(2, state.range(0), 3), makeDocument(3, state.range(0), 3) };
    feed.update(texts[0]);
    std::uint64_t version = 3;
    for (auto _ : state) {
        state.PauseTiming();
        versioned_text next { ++version, texts[version % 2].text };
        state.ResumeTiming();
        // The version inside the texts alternates between 2 and 3, so that an update changes one route.
        feed.update(next);
    }
}

void makePatchRouteChange(benchmark::State& state)
{
    const auto before = makeDocument(2, state.range(0), 3);
    const auto after = makeDocument(3, state.range(0), 3);
    for (auto _ : state)
        benchmark::DoNotOptimize(compression::makePatch(before.text, after.text));
}

void findRoute(benchmark::State& state)
{
    const auto text = makeDocument(firstVersion, state.range(0), -1);
    const gateway::route_index index(platform::controlDialect().readDocument(text.text).value());
    std::int64_t route = 0;
    for (auto _ : state) {
        route = (route + 7919) % state.range(0);
        benchmark::DoNotOptimize(index.find(hostOf(route), prefixOf(route)));
    }
}

void withRouteCounts(benchmark::internal::Benchmark* registered)
{
    for (const std::int64_t routes : { 250, 2000, 10'000, 100'000 })
        registered->Arg(routes);
    registered->Unit(benchmark::kMicrosecond);
}

BENCHMARK(readWholeDocument)->Apply(withRouteCounts);
BENCHMARK(assembleWholeDocument)->Apply(withRouteCounts);
BENCHMARK(assembleRouteChange)->Apply(withRouteCounts)->Iterations(20);
BENCHMARK(updateFeedRouteChange)->Apply(withRouteCounts);
BENCHMARK(makePatchRouteChange)->Apply(withRouteCounts);
BENCHMARK(findRoute)->Apply(withRouteCounts);

} // namespace

BENCHMARK_MAIN();
