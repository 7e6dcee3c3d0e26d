/// @file
/// @brief Tests of target announcements in any order, and of layer planning after losses of targets.
#include "buckthornrail/registry/layer_plan.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <catch2/catch.hpp>
#include <numeric>
#include <rapidcheck/catch.h>

using namespace buckthornrail::registry;

namespace {

target_record announced(const std::string& id, std::uint64_t sequence, target_state state = target_state::Ready)
{
    target_record record;
    record.id = id;
    record.service = "s";
    record.address = "10.0.0.1:" + id;
    record.state = state;
    record.sequence = sequence;
    return record;
}

/// Applies the planned assignments until there are no more. @return number of rounds
int runPlanner(std::vector<plan_target>& targets, std::uint32_t layers)
{
    for (int round = 0; round < 200; ++round) {
        const auto assignments = planLayers(targets, layers);
        if (assignments.empty())
            return round;
        for (const auto& assignment : assignments) {
            for (auto& target : targets) {
                if (target.id == assignment.id)
                    target.heldLayers = assignment.layers;
            }
        }
    }
    FAIL("the planner doesn't converge");
    return 0;
}

/// @return the lowest number of holders among the layers of a domain
int minHolders(const std::vector<plan_target>& targets, const std::string& domain, std::uint32_t layers)
{
    std::vector<int> holders(layers, 0);
    for (const auto& target : targets) {
        if (target.failureDomain != domain)
            continue;
        for (auto layer = target.heldLayers.first; layer < target.heldLayers.end; ++layer)
            ++holders.at(layer);
    }
    return *std::min_element(holders.begin(), holders.end());
}

} // namespace

TEST_CASE("targets: stale announcements have no effect", "[registry]")
{
    target_table table;
    CHECK(table.apply(announced("1", 5)));
    CHECK(table.apply(announced("1", 6, target_state::Draining)));
    CHECK_FALSE(table.apply(announced("1", 5)));
    CHECK_FALSE(table.apply(announced("1", 7))); // it is draining
    CHECK(table.find("1")->state == target_state::Draining);
    CHECK(table.apply(announced("1", 0, target_state::Gone)));
    CHECK_FALSE(table.apply(announced("1", 9)));
    CHECK(table.find("1")->state == target_state::Gone);
}

TEST_CASE("targets: a lost target is restored only by a newer announcement", "[registry]")
{
    target_table table;
    table.apply(announced("1", 5));
    CHECK(table.apply(announced("1", 8, target_state::Lost)));
    CHECK_FALSE(table.apply(announced("1", 7)));
    CHECK(table.apply(announced("1", 9)));
    CHECK(table.find("1")->state == target_state::Ready);
    CHECK_FALSE(table.apply(announced("unknown", 3, target_state::Lost)));
}

TEST_CASE("targets: a new target at an address ends the previous one", "[registry]")
{
    target_table table;
    auto first = announced("1", 5);
    auto second = announced("2", 1);
    second.address = first.address;
    second.service = "other";
    table.apply(first);
    table.apply(second);
    CHECK(table.find("1")->state == target_state::Gone);
    CHECK(table.find("2")->state == target_state::Ready);
    // The previous target crashed, and a network fault delayed its last heartbeat until now.
    first.sequence = 6;
    CHECK_FALSE(table.apply(first));
    CHECK(table.find("1")->state == target_state::Gone);
    CHECK(table.find("2")->state == target_state::Ready);
}

TEST_CASE("targets: a view updated by deltas equals the table", "[registry]")
{
    rc::prop("any announcements, with deltas skipped", [] {
        target_table table;
        target_view view;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        for (const int step : steps) {
            auto record = announced(std::to_string(step % 5), static_cast<std::uint64_t>(step / 5 % 8));
            record.state = static_cast<target_state>(step / 40 % 4);
            table.apply(record);
            if (step % 3 == 0)
                RC_ASSERT(view.apply(table.changesSince(view.revision())));
        }
        RC_ASSERT(view.apply(table.changesSince(view.revision())));
        RC_ASSERT(view.records() == table.records());
    });
}

namespace {

target_record incarnationOf(std::uint64_t startedMs, std::uint64_t sequence, target_state state = target_state::Ready)
{
    target_record record = announced("1", sequence, state);
    record.startedMs = startedMs;
    return record;
}

} // namespace

TEST_CASE("target incarnations: a later one replaces the record in any state", "[registry]")
{
    const auto state = GENERATE(target_state::Ready, target_state::Draining, target_state::Lost, target_state::Gone);
    target_table table;
    auto first = incarnationOf(100, 50);
    first.layers = { 3, 9 };
    table.apply(first);
    auto marked = first;
    marked.state = state;
    marked.sequence = 51;
    table.apply(marked);
    CHECK(table.apply(incarnationOf(200, 1)));
    CHECK(table.find("1")->incarnation() == target_incarnation("1", 200));
    CHECK(table.find("1")->state == target_state::Ready);
    CHECK(table.find("1")->layers.isEmpty());
    CHECK(table.find("1")->sequence == 1);
    // Stale announcements of the earlier incarnation, in every state.
    for (const auto late : { target_state::Ready, target_state::Draining, target_state::Lost, target_state::Gone })
        CHECK_FALSE(table.apply(incarnationOf(100, 99, late)));
    CHECK(table.find("1")->state == target_state::Ready);
}

TEST_CASE("target incarnations: leaving without a start time refers to the known one", "[registry]")
{
    target_table table;
    table.apply(incarnationOf(200, 5));
    target_record leave;
    leave.id = "1";
    leave.state = target_state::Gone;
    CHECK(table.apply(leave));
    CHECK(table.find("1")->state == target_state::Gone);
    CHECK(table.find("1")->incarnation() == target_incarnation("1", 200));
    CHECK(table.find("1")->service == "s"); // other fields are kept
    CHECK_FALSE(table.apply(incarnationOf(200, 6)));
    CHECK(table.apply(incarnationOf(300, 1)));
}

TEST_CASE("target incarnations: an earlier start is accepted only when the known one is gone or lost", "[registry]")
{
    target_table table;
    table.apply(incarnationOf(200, 5));
    CHECK_FALSE(table.apply(incarnationOf(100, 9)));
    table.apply(incarnationOf(200, 6, target_state::Lost));
    CHECK_FALSE(table.apply(incarnationOf(100, 9, target_state::Gone)));
    CHECK(table.apply(incarnationOf(100, 9)));
    CHECK(table.find("1")->state == target_state::Ready);
}

TEST_CASE(
    "target incarnations: the first announcement of an earlier one doesn't take a later one's address", "[registry]")
{
    target_table table;
    auto later = incarnationOf(200, 1);
    table.apply(later);
    auto late = announced("2", 1);
    late.address = later.address;
    late.startedMs = 100;
    CHECK_FALSE(table.apply(late));
    CHECK(table.find("1")->state == target_state::Ready);
    CHECK(table.find("2") == nullptr);
    late.startedMs = 300;
    CHECK(table.apply(late));
    CHECK(table.find("1")->state == target_state::Gone);
}

TEST_CASE("target incarnations: only the newest remains, in any order of announcements", "[registry]")
{
    rc::prop("any incarnations, stale announcements, states set by controllers, and skipped deltas", [] {
        constexpr std::uint64_t maxIncarnations = 4;
        target_table table;
        target_view view;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4 * 4 * 6 * 2));
        std::uint64_t newest = 1;
        for (const int step : steps) {
            const auto state = static_cast<target_state>(step % 4);
            const std::uint64_t number = 1 + static_cast<std::uint64_t>(step / 4) % maxIncarnations;
            newest = std::max(newest, number);
            auto record = incarnationOf(number * 100, static_cast<std::uint64_t>(step / 16 % 6), state);
            record.layers = { static_cast<std::uint32_t>(number), static_cast<std::uint32_t>(number + 5) };
            const auto* known = table.find("1");
            // Controllers accept an earlier start only from a target that responds; an earlier incarnation doesn't.
            const bool isEarlier = known != nullptr && record.startedMs < known->startedMs;
            if (state == target_state::Lost && known != nullptr)
                record.startedMs = known->startedMs; // controllers mark the known incarnation
            if (!isEarlier || !isGoneOrLost(*known))
                table.apply(record);
            if (step % 3 == 0)
                RC_ASSERT(view.apply(table.changesSince(view.revision())));
        }
        // The target restarts once more, announces itself, and then loads layers.
        auto last = incarnationOf((newest + 1) * 100, 1);
        RC_ASSERT(table.apply(last));
        RC_ASSERT(table.find("1")->layers.isEmpty());
        last.sequence = 2;
        last.layers = { 7, 8 };
        table.apply(last);
        for (const int step : steps) {
            auto stale = incarnationOf((1 + static_cast<std::uint64_t>(step / 4) % maxIncarnations) * 100, 90);
            stale.state = static_cast<target_state>(step % 4);
            RC_ASSERT(!table.apply(stale));
        }
        RC_ASSERT(view.apply(table.changesSince(view.revision())));
        RC_ASSERT(view.records() == table.records());
        RC_ASSERT(view.records().size() == 1U);
        RC_ASSERT(view.records().at("1").incarnation() == last.incarnation());
        RC_ASSERT(view.records().at("1").layers == last.layers);
    });
}

TEST_CASE("layer plan: memory for requests limits the layers", "[registry]")
{
    CHECK(layersThatFit({ 21600, 1750, 7375, 64000 }) == 9);
    CHECK(layersThatFit({ 21600, 1750, 7375, 0 }) == 12);
    CHECK(layersThatFit({ 1000, 1750, 7375, 0 }) == 0);
}

TEST_CASE("layer plan: a domain has complete chains while its targets suffice, after any losses", "[registry]")
{
    rc::prop("any targets, lost one after another", [] {
        constexpr std::uint32_t layers = 80;
        const auto capacities = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 33));
        const auto less = *rc::gen::inRange<std::uint32_t>(0, 6);
        std::vector<plan_target> targets;
        targets.reserve(capacities.size());
        for (const auto capacity : capacities) {
            targets.push_back({ std::to_string(targets.size()), targets.size() % 2 == 0 ? "a" : "b", capacity,
                std::max(capacity, less + 1) - less, {}, true });
        }
        const auto preferredLayersIn = [&targets](const std::string& domain) {
            return std::accumulate(
                targets.begin(), targets.end(), 0U, [&](std::uint32_t sum, const plan_target& target) {
                    return sum + (target.failureDomain == domain ? target.preferredLayers : 0);
                });
        };
        runPlanner(targets, layers);
        for (const std::string domain : { "a", "b" })
            RC_ASSERT(preferredLayersIn(domain) < layers || minHolders(targets, domain, layers) >= 1);
        while (!targets.empty()) {
            targets.erase(targets.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(targets)));
            runPlanner(targets, layers);
            for (const auto& target : targets) {
                RC_ASSERT(target.heldLayers.size() <= target.capacity);
                RC_ASSERT(target.heldLayers.end <= layers);
            }
        }
    });
}

TEST_CASE("layer plan: the smallest sufficient redundant target fills a gap", "[registry]")
{
    std::vector<plan_target> targets {
        { "big", "a", 40, 40, { 0, 40 }, true },
        { "spareBig", "a", 40, 40, { 0, 40 }, true },
        { "spareSmall", "a", 10, 10, { 0, 10 }, true },
        { "mid", "a", 30, 30, { 40, 70 }, true },
    };
    const auto assignments = planLayers(targets, 80);
    REQUIRE(assignments.size() == 1);
    CHECK(assignments.front() == layer_assignment { "spareSmall", { 70, 80 }, true });
}

TEST_CASE("layer plan: without a redundant target, adjacent targets keep their layers and extend into a gap by spare "
          "capacity",
    "[registry]")
{
    std::vector<plan_target> targets {
        { "below", "a", 36, 30, { 0, 30 }, true },
        { "above", "a", 43, 40, { 39, 79 }, true },
        { "last", "a", 1, 1, { 79, 80 }, true },
    };
    CHECK(planLayers(targets, 80)
        == std::vector<layer_assignment> { { "below", { 0, 36 }, false }, { "above", { 36, 79 }, false } });
    targets[0].capacity = 35; // one layer too few: no target is extended
    CHECK(planLayers(targets, 80).empty());
    targets[0].capacity = 60;
    targets[1].canTakeOrder = false; // has a pending order
    CHECK(planLayers(targets, 80) == std::vector<layer_assignment> { { "below", { 0, 39 }, false } });
}

TEST_CASE("layer plan: a new target goes where the holders have the least capacity", "[registry]")
{
    const std::vector<plan_target> targets {
        { "first", "a", 40, 40, { 0, 40 }, true },
        { "grown", "a", 40, 30, { 40, 80 }, true },
        { "new", "a", 20, 20, {}, true },
    };
    CHECK(planLayers(targets, 80) == std::vector<layer_assignment> { { "new", { 40, 60 }, false } });
}

TEST_CASE("layer plan: memory beyond chains and redundant layers goes to tokens", "[registry]")
{
    // Each has 100 MB, 10 MB per layer and 1 kB per token and layer: 10 layers without tokens, 5 with 10,000 tokens.
    const auto domainOf = [](std::size_t count, double minTokens) {
        return std::vector<memory_requirements>(count, { 100, 10, 1000, minTokens });
    };
    const auto layersAt = [](const std::vector<memory_requirements>& domain, double tokens) {
        auto needs = domain.front();
        needs.tokens = tokens;
        return layersThatFit(needs) * domain.size();
    };
    const auto redundant = domainOf(4, 1000); // 36 layers at the minimum: one chain of 20 and half a second one
    CHECK(layersAt(redundant, preferredTokens(redundant, 20)) >= 30);
    CHECK(preferredTokens(redundant, 20) > 1000);
    CHECK(layersAt(redundant, preferredTokens(redundant, 20) + 500) < 30);
    const auto two = domainOf(5, 1000); // 45 layers: two complete chains
    CHECK(layersAt(two, preferredTokens(two, 20)) >= 40);
    const auto few = domainOf(3, 1000); // 27 layers: less than one and a half chains
    CHECK(preferredTokens(few, 20) == 1000);
    CHECK(preferredTokens({}, 20) == 0);
}

TEST_CASE("layer plan: a target with a pending order gets no other one", "[registry]")
{
    const std::vector<plan_target> targets { { "1", "a", 80, 80, {}, false } };
    CHECK(planLayers(targets, 80).empty());
    CHECK(planLayers(targets, 0).empty());
}
