/// @file
/// @brief Route documents, paths over layers, selections of the target pool and the retry budget.
#include "buckthornrail/gateway/shared_retry_budget.hpp"
#include "buckthornrail/gateway/target_pool.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::gateway;
using registry::layer_range;

namespace {

route_document validDocument()
{
    route_document document;
    document.version = 3;
    document.services = { { "s", "/health", 10, std::nullopt }, { "t", "/health", 10, std::nullopt } };
    const auto add = [&document](const std::string& name, const std::string& prefix) {
        route added;
        added.name = name;
        added.host = "h.example";
        added.pathPrefix = prefix;
        added.timeout = milliseconds(100);
        added.services = { { "s", 1 } };
        document.routes.push_back(added);
    };
    add("short", "/a/");
    add("long", "/a/b/");
    document.workspaces = { { "w", { "k1", "k2" }, std::nullopt }, { "v", { "k3" }, std::nullopt } };
    return document;
}

registry::target_record readyTarget(const std::string& id, const std::string& domain, layer_range layers = {})
{
    registry::target_record record;
    record.id = id;
    record.service = "s";
    record.address = id;
    record.failureDomain = domain;
    record.accelerator = "k";
    record.slots = 6;
    record.layers = layers;
    return record;
}

target_pool poolOf(const std::vector<registry::target_record>& records)
{
    pool_options options;
    options.ownDomain = "a";
    target_pool pool(options, 1);
    std::map<std::string, registry::target_record> table;
    for (const auto& record : records)
        table[record.id] = record;
    pool.update(table);
    return pool;
}

layered_engine engineOf(std::uint32_t layers)
{
    layered_engine engine;
    engine.layers = layers;
    engine.layerMb = 10;
    engine.tokenBytes = 1e5;
    engine.stepMs = 1;
    engine.kinds = { { "k", 2000, 1, 1 } };
    return engine;
}

void checkCovers(
    const std::vector<path_part>& path, const std::vector<path_candidate>& candidates, std::uint32_t layers)
{
    std::uint32_t next = 0;
    for (const auto& part : path) {
        RC_ASSERT(part.layers.first == next);
        RC_ASSERT(part.layers.size() > 0U);
        RC_ASSERT(candidates[part.candidate].layers.first <= part.layers.first);
        RC_ASSERT(part.layers.end <= candidates[part.candidate].layers.end);
        next = part.layers.end;
    }
    RC_ASSERT(next == layers);
}

} // namespace

TEST_CASE("document: each error is rejected with its reason", "[gateway]")
{
    REQUIRE(checkDocument(validDocument()));
    const auto reasonOf = [](auto&& corrupt) {
        auto document = validDocument();
        corrupt(document);
        const auto checked = checkDocument(document);
        return checked ? std::string() : checked.error().reason;
    };
    CHECK(reasonOf([](auto& d) {
        d.routes[0].services = { { "nobody", 1 } };
    }).find("unknown service")
        != std::string::npos);
    CHECK(reasonOf([](auto& d) { d.routes[0].pathPrefix = "/a/b/"; }).find("shares its host") != std::string::npos);
    CHECK(reasonOf([](auto& d) {
        d.routes[0].services = { { "s", 0 }, { "t", 0 } };
    }).find("add up to 0")
        != std::string::npos);
    CHECK(reasonOf([](auto& d) { d.routes[0].timeout = milliseconds(0); }).find("timeout must be positive")
        != std::string::npos);
    CHECK(reasonOf([](auto& d) { d.workspaces[1].keys = { "k1" }; }).find("share a key") != std::string::npos);
}

TEST_CASE("document: the longest prefix wins, and hosts match exactly", "[gateway]")
{
    const route_index index(validDocument());
    CHECK(index.find("h.example", "/a/x")->name == "short");
    CHECK(index.find("h.example:80", "/a/b/c?q=/a/")->name == "long");
    CHECK(index.find("h.example", "/a/b")->name == "short");
    CHECK(index.find("h.example", "/") == nullptr);
    CHECK(index.find("other", "/a/x") == nullptr);
    CHECK(index.findWorkspace("k2")->workspace == "w");
    CHECK(index.findWorkspace("k") == nullptr);
}

TEST_CASE("document: requests are distributed by weight", "[gateway]")
{
    route weighted;
    weighted.services = { { "s", 90 }, { "t", 10 }, { "u", 0 } };
    CHECK(pickService(weighted, 0.0) == "s");
    CHECK(pickService(weighted, 0.89) == "s");
    CHECK(pickService(weighted, 0.91) == "t");
    CHECK(pickService(weighted, 0.999) == "t");
}

TEST_CASE("path: covers every layer once and in order, or is empty", "[gateway]")
{
    rc::prop("any ranges", [] {
        const auto layers = *rc::gen::inRange<std::uint32_t>(1, 40);
        const auto ranges = *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 40), rc::gen::inRange<std::uint32_t>(1, 15)));
        std::vector<path_candidate> candidates;
        std::vector<int> targetsByLayer(layers, 0);
        for (const auto& [first, size] : ranges) {
            const layer_range range { first, std::min(first + size, layers) };
            candidates.push_back({ range, candidates.size() % 3, 1, 0 });
            for (auto layer = range.first; layer < range.end; ++layer)
                ++targetsByLayer[layer];
        }
        const auto path = findPath(candidates, layers, 3, 0);
        const bool isCovered
            = std::all_of(targetsByLayer.begin(), targetsByLayer.end(), [](int count) { return count > 0; });
        RC_ASSERT(path.empty() != isCovered);
        if (!path.empty())
            checkCovers(path, candidates, layers);
    });
}

TEST_CASE("path: stays in one domain, prefers lower costs, avoids penalized targets", "[gateway]")
{
    const std::vector<path_candidate> candidates {
        { { 0, 10 }, 0, 1, 0 },
        { { 10, 20 }, 0, 1, 0 },
        { { 10, 20 }, 1, 0.1, 0 },
        { { 0, 20 }, 1, 2, 0 },
    };
    CHECK(findPath(candidates, 20, 2, 0) == std::vector<path_part> { { 0, { 0, 10 } }, { 1, { 10, 20 } } });
    auto penalized = candidates;
    penalized[1].fixedMs = 1000;
    CHECK(findPath(penalized, 20, 2, 0) == std::vector<path_part> { { 3, { 0, 20 } } });
    penalized[3].mayStart = false;
    CHECK(findPath(penalized, 20, 2, 0) == std::vector<path_part> { { 0, { 0, 10 } }, { 2, { 10, 20 } } });
}

TEST_CASE("pool: leaving, lost and excluded targets", "[gateway]")
{
    auto draining = readyTarget("draining", "a");
    draining.state = registry::target_state::Draining;
    auto lost = readyTarget("lost", "a");
    lost.state = registry::target_state::Lost;
    const steady_time now {};
    auto pool = poolOf({ draining, lost });
    REQUIRE(pool.select("s", {}, now));
    CHECK(pool.select("s", {}, now)->parts.front().target == "lost"); // the only one left
    CHECK_FALSE(pool.select("s", { { "lost" }, {} }, now));
    CHECK_FALSE(pool.select("unknown", {}, now));
    auto both = poolOf({ lost, readyTarget("far", "b") });
    CHECK(both.select("s", {}, now)->parts.front().target == "far");
}

TEST_CASE("pool: a target that refuses is avoided for the backoff, then tried again", "[gateway]")
{
    auto pool = poolOf({ readyTarget("near", "a"), readyTarget("far", "b") });
    const steady_time now {};
    for (int i = 0; i < 20; ++i)
        pool.succeeded("far", 50);
    for (int i = 0; i < 20; ++i)
        pool.succeeded("near", 10);
    pool.refused("near", now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "far");
    int near = 0;
    for (int i = 0; i < 100; ++i)
        near += pool.select("s", {}, now + milliseconds(150))->parts.front().target == "near" ? 1 : 0;
    CHECK(near > 80);
    CHECK(pool.takeUnreachable().empty());
    pool.refused("near", now);
    pool.refused("near", now);
    CHECK(pool.takeUnreachable()
        == std::vector<registry::target_incarnation> { "near" }); // three in a row: the controllers are to probe it
}

TEST_CASE("pool: the load of other gateways counts", "[gateway]")
{
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    pool.setEngine("s", engineOf(10));
    const steady_time now {};
    const auto first = pool.select("s", {}, now);
    REQUIRE(first);
    CHECK(first->parts.front().target == "x");
    // 1,900 MB for requests at 10 kB per token and layer: 19,000 tokens in ten layers. Each request takes 1,000.
    for (int i = 0; i < 5; ++i)
        pool.attemptStarted(*first, { 900, 100 });
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.setOtherGateways(4, 15);
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
}

TEST_CASE(
    "pool: reported loads of other gateways count by target, and load added here is assumed at the domain's others",
    "[gateway]")
{
    // Each target has memory for 190,000 tokens times layers and costs more close to it.
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    pool.setEngine("s", engineOf(10));
    pool.setOtherGateways(20, 400);
    const steady_time now {};
    pool.setOtherGatewayLoads({ 90, 190 }, now);
    const auto near = pool.select("s", {}, now);
    REQUIRE(near);
    CHECK(near->parts.front().target == "x");
    pool.setOtherGatewayLoads({ 190, 90 }, now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    pool.setOtherGatewayLoads({ 90 }, now); // doesn't match the table: only the number of attempts is known
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.setOtherGatewayLoads({ 90, 90 }, now);
    pool.attemptStarted(*near, { 900, 100 }); // 10,000 tokens times layers, at each of the domain's ten gateways
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    CHECK(pool.loads() == registry::target_loads { 10, 0 });
    pool.setOtherGatewayLoads({ 90, 90 }, now); // a newer report includes it
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.attemptEnded(*near, { 900, 100 }, false);
    CHECK(pool.loads() == registry::target_loads { 0, 0 });
}

TEST_CASE("pool: queued prefill counts until the first event", "[gateway]")
{
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    auto engine = engineOf(10);
    engine.prefillTokensPerSecond = 10000;
    engine.tokenBytes = 1; // memory doesn't count here
    pool.setEngine("s", engine);
    const steady_time now {};
    const auto near = pool.select("s", {}, now);
    REQUIRE(near->parts.front().target == "x");
    pool.attemptStarted(*near, { 1000, 1 }); // 100 ms of prefill
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    pool.prefillFinished(*near, { 1000, 1 });
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.attemptEnded(*near, { 1000, 1 }, true);
    pool.attemptStarted(*near, { 1000, 1 });
    pool.attemptEnded(*near, { 1000, 1 }, false);
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
}

TEST_CASE("pool: a slow link between domains keeps paths within one", "[gateway]")
{
    // Layers 5 to 10 are held in both domains; their target in the own domain is congested.
    auto pool = poolOf(
        { readyTarget("x", "a", { 0, 5 }), readyTarget("near", "a", { 5, 10 }), readyTarget("far", "b", { 5, 10 }) });
    auto engine = engineOf(10);
    engine.usualPromptTokens = 1000;
    engine.activationBytes = 10000;
    engine.linkMbps = 10000; // 8 ms for a prompt
    pool.setEngine("s", engine);
    pool.setOtherGateways(2, 10);
    const steady_time now {};
    pool.setOtherGatewayLoads({ 0, 195, 0 }, now); // in the order of ids: far, near, x
    const auto crossing = pool.select("s", {}, now);
    REQUIRE(crossing);
    CHECK(crossing->parts.back().target == "far");
    pool.attemptStarted(*crossing, { 20000, 1 }); // occupies the link for 160 ms
    CHECK(pool.select("s", {}, now)->parts.back().target == "near");
    pool.prefillFinished(*crossing, { 20000, 1 });
    CHECK(pool.select("s", {}, now)->parts.back().target == "far");
    engine.linkMbps = 1000; // 80 ms for a prompt, with two gateways
    pool.setEngine("s", engine);
    for (int i = 0; i < 100; ++i)
        pool.select("s", {}, now);
    CHECK(pool.select("s", {}, now)->parts.back().target == "near");
}

TEST_CASE("pool: a path slower than the others is avoided, and tried again later", "[gateway]")
{
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    pool.setEngine("s", engineOf(10));
    const steady_time now {};
    const auto near = pool.select("s", {}, now);
    const auto far = pool.select("s", { { "x" }, {} }, now);
    REQUIRE(near->parts.front().target == "x");
    REQUIRE(far->parts.front().target == "y");
    for (int i = 0; i < 20; ++i)
        pool.recordLatency(*far, latency_kind::NextEvent, 2.6, now);
    for (int i = 0; i < 20; ++i)
        pool.recordLatency(*near, latency_kind::NextEvent, 2.6, now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "x"); // both have the typical latency
    const auto kind = GENERATE(latency_kind::FirstEvent, latency_kind::NextEvent);
    pool.recordLatency(*far, kind, 2.6, now);
    for (int i = 0; i < 5; ++i)
        pool.recordLatency(*near, kind, 26, now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    CHECK(pool.select("s", {}, now + std::chrono::seconds(30))->parts.front().target == "x");
}

TEST_CASE("budget: retries are bounded by the number of requests and by a share of the slack", "[gateway]")
{
    shared_retry_budget_options options;
    options.ratio = 0.5;
    options.slack = 8;
    options.usableShare = 1;
    shared_retry_budget budget(options);
    const steady_time now {};
    for (int i = 0; i < 4; ++i)
        budget.countRequest(now);
    int taken = 0;
    budget.setGatewayCount(4, now);
    while (budget.tryTake(true, now))
        ++taken;
    CHECK(taken == 2); // half of 4 * 0.5 + 8 / 4
    while (budget.tryTake(false, now))
        ++taken;
    CHECK(taken == 4);
    CHECK_FALSE(budget.tryTake(false, now + milliseconds(9999)));
    CHECK(budget.tryTake(true, now + milliseconds(10000)));
}

TEST_CASE("budget: a restarted process uses no slack until it knows what was spent", "[gateway]")
{
    const steady_time now = steady_time {} + std::chrono::hours(1);
    shared_retry_budget_options options;
    options.ratio = 0.5;
    options.slack = 40;
    options.usableShare = 1;
    options.refusedShare = 1;
    options.slackFrom = now + options.window;
    shared_retry_budgets budgets(options);
    const auto takeAll = [&budgets](steady_time when) {
        int taken = 0;
        while (budgets.forService("s").tryTake(true, when))
            ++taken;
        return taken;
    };
    budgets.setGatewayCount(4, now);
    for (int i = 0; i < 4; ++i)
        budgets.forService("s").countRequest(now);
    CHECK(takeAll(now) == 2); // the ratio of its own requests
    CHECK_FALSE(budgets.isComplete(now));

    SECTION("reported by the leader")
    {
        budgets.restoreSpent({ { "s", 6 }, { "other", 10 } }, now);
        CHECK(budgets.isComplete(now));
        CHECK(takeAll(now) == 4); // 4 * 0.5 + 40 / 4 - 2 - 6
        CHECK_FALSE(budgets.forService("other").tryTake(true, now));
        CHECK(budgets.forService("third").tryTake(true, now));
    }
    SECTION("not reported, for a stream that has begun")
    {
        const auto later = now + options.window * 3 / 10;
        int taken = 0;
        while (budgets.forService("s").tryTake(false, later))
            ++taken;
        CHECK(taken == 3); // 4 * 0.5 + 0.3 * 40 / 4 - 2
        CHECK(takeAll(later) == 0);
    }
    SECTION("not reported")
    {
        CHECK(takeAll(now + options.window - milliseconds(1)) == 0);
        CHECK(budgets.isComplete(now + options.window));
        CHECK(takeAll(now + options.window) == 10);
    }
}

TEST_CASE("budget: without a known number of gateways there is no slack, and the last reported number stays valid",
    "[gateway]")
{
    const steady_time now = steady_time {} + std::chrono::hours(1);
    shared_retry_budget_options options;
    options.ratio = 0;
    options.slack = 40;
    options.usableShare = 1;
    shared_retry_budget budget(options);
    CHECK_FALSE(budget.tryTake(false, now));
    budget.setGatewayCount(0, now);
    CHECK_FALSE(budget.tryTake(false, now));
    budget.setGatewayCount(4, now);
    const auto takeAll = [&budget](steady_time when) {
        int taken = 0;
        while (budget.tryTake(false, when))
            ++taken;
        return taken;
    };
    CHECK(takeAll(now) == 10);
    CHECK(takeAll(now + 2 * options.window) == 10); // the controllers are unreachable for long
    budget.setGatewayCount(2, now + 4 * options.window);
    CHECK(takeAll(now + 4 * options.window) == 10); // the number was four within the window, as far as is known
    budget.setGatewayCount(2, now + 6 * options.window);
    CHECK(takeAll(now + 6 * options.window) == 20);
}
