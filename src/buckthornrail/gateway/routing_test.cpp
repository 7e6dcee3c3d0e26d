/// @file
/// @brief Documents, routes, paths over layers, the pool's choices and the budget of repeats.
#include "buckthornrail/gateway/shared_retry_budget.hpp"
#include "buckthornrail/gateway/target_pool.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::gateway;
using registry::layer_range;

namespace {

route_document goodDocument()
{
    route_document document;
    document.version = 3;
    document.services = { { "s", "/health", 10, std::nullopt }, { "t", "/health", 10, std::nullopt } };
    const auto add = [&document](const std::string& name, const std::string& prefix) {
        route one;
        one.name = name;
        one.host = "h.example";
        one.pathPrefix = prefix;
        one.longestWait = milliseconds(100);
        one.services = { { "s", 1 } };
        document.routes.push_back(one);
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

TEST_CASE("document: each fault is refused with its reason", "[gateway]")
{
    REQUIRE(checkDocument(goodDocument()));
    const auto reasonOf = [](auto&& spoil) {
        auto document = goodDocument();
        spoil(document);
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
    CHECK(reasonOf([](auto& d) { d.routes[0].longestWait = milliseconds(0); }).find("no time") != std::string::npos);
    CHECK(reasonOf([](auto& d) { d.workspaces[1].keys = { "k1" }; }).find("share a key") != std::string::npos);
}

TEST_CASE("document: the longest prefix wins, and only whole hosts match", "[gateway]")
{
    const route_index index(goodDocument());
    CHECK(index.find("h.example", "/a/x")->name == "short");
    CHECK(index.find("h.example:80", "/a/b/c?q=/a/")->name == "long");
    CHECK(index.find("h.example", "/a/b")->name == "short");
    CHECK(index.find("h.example", "/") == nullptr);
    CHECK(index.find("other", "/a/x") == nullptr);
    CHECK(index.holderOf("k2")->workspace == "w");
    CHECK(index.holderOf("k") == nullptr);
}

TEST_CASE("document: weights part the requests", "[gateway]")
{
    route one;
    one.services = { { "s", 90 }, { "t", 10 }, { "u", 0 } };
    CHECK(pickService(one, 0.0) == "s");
    CHECK(pickService(one, 0.89) == "s");
    CHECK(pickService(one, 0.91) == "t");
    CHECK(pickService(one, 0.999) == "t");
}

TEST_CASE("path: every layer once and in order, or none at all", "[gateway]")
{
    rc::prop("any ranges", [] {
        const auto layers = *rc::gen::inRange<std::uint32_t>(1, 40);
        const auto ranges = *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 40), rc::gen::inRange<std::uint32_t>(1, 15)));
        std::vector<path_candidate> candidates;
        std::vector<int> holders(layers, 0);
        for (const auto& [first, size] : ranges) {
            const layer_range range { first, std::min(first + size, layers) };
            candidates.push_back({ range, candidates.size() % 3, 1, 0 });
            for (auto layer = range.first; layer < range.end; ++layer)
                ++holders[layer];
        }
        const auto path = findPath(candidates, layers, 3, 0);
        const bool isCovered = std::all_of(holders.begin(), holders.end(), [](int count) { return count > 0; });
        RC_ASSERT(path.empty() != isCovered);
        if (!path.empty())
            checkCovers(path, candidates, layers);
    });
}

TEST_CASE("path: stays in one domain, takes the cheaper, avoids the doubtful", "[gateway]")
{
    const std::vector<path_candidate> candidates {
        { { 0, 10 }, 0, 1, 0 },
        { { 10, 20 }, 0, 1, 0 },
        { { 10, 20 }, 1, 0.1, 0 },
        { { 0, 20 }, 1, 2, 0 },
    };
    CHECK(findPath(candidates, 20, 2, 0) == std::vector<path_part> { { 0, { 0, 10 } }, { 1, { 10, 20 } } });
    auto doubtful = candidates;
    doubtful[1].extraMs = 1000;
    CHECK(findPath(doubtful, 20, 2, 0) == std::vector<path_part> { { 3, { 0, 20 } } });
    doubtful[3].mayStart = false;
    CHECK(findPath(doubtful, 20, 2, 0) == std::vector<path_part> { { 0, { 0, 10 } }, { 2, { 10, 20 } } });
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
    CHECK(pool.select("s", {}, now)->parts.front().target == "lost"); // better than none
    CHECK_FALSE(pool.select("s", { { "lost" }, {} }, now));
    CHECK_FALSE(pool.select("unknown", {}, now));
    auto both = poolOf({ lost, readyTarget("far", "b") });
    CHECK(both.select("s", {}, now)->parts.front().target == "far");
}

TEST_CASE("pool: a refusing target is left alone for a while, then tried again", "[gateway]")
{
    auto pool = poolOf({ readyTarget("near", "a"), readyTarget("far", "b") });
    const steady_time now {};
    for (int at = 0; at < 20; ++at)
        pool.succeeded("far", 50);
    for (int at = 0; at < 20; ++at)
        pool.succeeded("near", 10);
    pool.refused("near", now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "far");
    int near = 0;
    for (int at = 0; at < 100; ++at)
        near += pool.select("s", {}, now + milliseconds(150))->parts.front().target == "near" ? 1 : 0;
    CHECK(near > 80);
    CHECK(pool.takeDark().empty());
    pool.refused("near", now);
    pool.refused("near", now);
    CHECK(pool.takeDark()
        == std::vector<registry::target_incarnation> { "near" }); // three in a row: controllers should look
}

TEST_CASE("pool: the load of other gateways counts", "[gateway]")
{
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    pool.setEngine("s", engineOf(10));
    const steady_time now {};
    const auto first = pool.select("s", {}, now);
    REQUIRE(first);
    CHECK(first->parts.front().target == "x");
    // 1,900 MB for requests at 10 kB a token and layer: 19,000 tokens in ten layers, of which a request takes 1,000.
    for (int at = 0; at < 5; ++at)
        pool.began(*first, { 900, 100 });
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.setOthers(4, 15);
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
}

TEST_CASE("pool: work that others tell of by target counts there, and what grows here grows at its peers", "[gateway]")
{
    // Room for 190,000 tokens times layers at each target; close to it a target costs more.
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    pool.setEngine("s", engineOf(10));
    pool.setOthers(20, 400);
    const steady_time now {};
    pool.setOthersLoads({ 90, 190 }, now);
    const auto near = pool.select("s", {}, now);
    REQUIRE(near);
    CHECK(near->parts.front().target == "x");
    pool.setOthersLoads({ 190, 90 }, now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    pool.setOthersLoads({ 90 }, now); // a row of other targets: only the count of attempts is known
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.setOthersLoads({ 90, 90 }, now);
    pool.began(*near, { 900, 100 }); // 10,000, at ten gateways of the domain
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    CHECK(pool.loads() == registry::load_row { 10, 0 });
    pool.setOthersLoads({ 90, 90 }, now); // the others have told since
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.ended(*near, { 900, 100 }, false);
    CHECK(pool.loads() == registry::load_row { 0, 0 });
}

TEST_CASE("pool: prompts that wait to be read count until the first event", "[gateway]")
{
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    auto engine = engineOf(10);
    engine.readTokensPerSecond = 10000;
    engine.tokenBytes = 1; // memory doesn't count here
    pool.setEngine("s", engine);
    const steady_time now {};
    const auto near = pool.select("s", {}, now);
    REQUIRE(near->parts.front().target == "x");
    pool.began(*near, { 1000, 1 }); // 100 ms
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    pool.promptRead(*near, { 1000, 1 });
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
    pool.ended(*near, { 1000, 1 }, true);
    pool.began(*near, { 1000, 1 });
    pool.ended(*near, { 1000, 1 }, false);
    CHECK(pool.select("s", {}, now)->parts.front().target == "x");
}

TEST_CASE("pool: a narrow pipe between domains keeps paths inside one", "[gateway]")
{
    // Layers 5 to 10 are held in both domains, crowded in the own one.
    auto pool = poolOf(
        { readyTarget("x", "a", { 0, 5 }), readyTarget("near", "a", { 5, 10 }), readyTarget("far", "b", { 5, 10 }) });
    auto engine = engineOf(10);
    engine.usualPromptTokens = 1000;
    engine.activationBytes = 10000;
    engine.pipeMbps = 10000; // 8 ms for a prompt
    pool.setEngine("s", engine);
    pool.setOthers(2, 10);
    const steady_time now {};
    pool.setOthersLoads({ 0, 195, 0 }, now); // in the order of ids: far, near, x
    const auto crossing = pool.select("s", {}, now);
    REQUIRE(crossing);
    CHECK(crossing->parts.back().target == "far");
    pool.began(*crossing, { 20000, 1 }); // 160 ms of the pipe
    CHECK(pool.select("s", {}, now)->parts.back().target == "near");
    pool.promptRead(*crossing, { 20000, 1 });
    CHECK(pool.select("s", {}, now)->parts.back().target == "far");
    engine.pipeMbps = 1000; // 80 ms for a prompt, at two gateways
    pool.setEngine("s", engine);
    for (int at = 0; at < 100; ++at)
        pool.select("s", {}, now);
    CHECK(pool.select("s", {}, now)->parts.back().target == "near");
}

TEST_CASE("pool: a path slower than others is left, and tried again later", "[gateway]")
{
    auto pool = poolOf({ readyTarget("x", "a", { 0, 10 }), readyTarget("y", "b", { 0, 10 }) });
    pool.setEngine("s", engineOf(10));
    const steady_time now {};
    const auto near = pool.select("s", {}, now);
    const auto far = pool.select("s", { { "x" }, {} }, now);
    REQUIRE(near->parts.front().target == "x");
    REQUIRE(far->parts.front().target == "y");
    for (int at = 0; at < 20; ++at)
        pool.paced(*far, pace_kind::NextEvent, 2.6, now);
    for (int at = 0; at < 20; ++at)
        pool.paced(*near, pace_kind::NextEvent, 2.6, now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "x"); // both are as fast as usual
    const auto kind = GENERATE(pace_kind::FirstEvent, pace_kind::NextEvent);
    pool.paced(*far, kind, 2.6, now);
    for (int at = 0; at < 5; ++at)
        pool.paced(*near, kind, 26, now);
    CHECK(pool.select("s", {}, now)->parts.front().target == "y");
    CHECK(pool.select("s", {}, now + std::chrono::seconds(30))->parts.front().target == "x");
}

TEST_CASE("budget: repeats are bounded by requests and by a part of the slack", "[gateway]")
{
    shared_retry_budget_options options;
    options.ratio = 0.5;
    options.slack = 8;
    options.usableShare = 1;
    shared_retry_budget budget(options);
    const steady_time now {};
    for (int at = 0; at < 4; ++at)
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

TEST_CASE("budget: a process that was started anew uses no slack before it knows what was spent", "[gateway]")
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
        while (budgets.of("s").tryTake(true, when))
            ++taken;
        return taken;
    };
    budgets.setGatewayCount(4, now);
    for (int at = 0; at < 4; ++at)
        budgets.of("s").countRequest(now);
    CHECK(takeAll(now) == 2); // the ratio of its own requests
    CHECK_FALSE(budgets.isComplete(now));

    SECTION("told by the leader")
    {
        budgets.restoreSpent({ { "s", 6 }, { "other", 10 } }, now);
        CHECK(budgets.isComplete(now));
        CHECK(takeAll(now) == 4); // 4 * 0.5 + 40 / 4 - 2 - 6
        CHECK_FALSE(budgets.of("other").tryTake(true, now));
        CHECK(budgets.of("third").tryTake(true, now));
    }
    SECTION("not told, for a stream that has begun")
    {
        const auto later = now + options.window * 3 / 10;
        int taken = 0;
        while (budgets.of("s").tryTake(false, later))
            ++taken;
        CHECK(taken == 3); // 4 * 0.5 + 0.3 * 40 / 4 - 2
        CHECK(takeAll(later) == 0);
    }
    SECTION("not told")
    {
        CHECK(takeAll(now + options.window - milliseconds(1)) == 0);
        CHECK(budgets.isComplete(now + options.window));
        CHECK(takeAll(now + options.window) == 10);
    }
}

TEST_CASE("budget: before a number of gateways is known there is no slack, and the last one told holds", "[gateway]")
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
    CHECK(takeAll(now + 2 * options.window) == 10); // controllers away for long
    budget.setGatewayCount(2, now + 4 * options.window);
    CHECK(takeAll(now + 4 * options.window) == 10); // four were told of within the window, as far as is known
    budget.setGatewayCount(2, now + 6 * options.window);
    CHECK(takeAll(now + 6 * options.window) == 20);
}
