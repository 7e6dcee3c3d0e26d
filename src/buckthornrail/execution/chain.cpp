/// @file
/// @brief Validation of chains, and search for the cheapest one.
#include "buckthornrail/execution/chain.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace buckthornrail::execution {
namespace {

tl::unexpected<failure> badChain(const std::string& reason)
{
    return tl::make_unexpected(failure { result_code::BadChain, reason });
}

/// Cheapest chain found so far over the layers from 0 to a boundary.
struct partial_chain {
    double cost = 0;
    std::uint32_t previousEnd = 0; ///< where its last stage begins
    const stage_candidate* last = nullptr; ///< its last stage; null: the chain without stages
};

} // namespace

tl::expected<void, failure> checkChain(const chain_plan& plan)
{
    if (plan.stages.empty())
        return badChain("the chain has no stages");
    std::uint32_t covered = 0;
    for (const auto& stage : plan.stages) {
        const std::string name = "stage " + stage.instance;
        if (stage.version != plan.version)
            return badChain(name + " has version " + stage.version + ", not " + plan.version);
        if (stage.endLayer <= stage.firstLayer)
            return badChain(name + " has no layers");
        if (stage.firstLayer > covered)
            return badChain("layers " + std::to_string(covered) + " to " + std::to_string(stage.firstLayer)
                + " are missing before " + name);
        if (stage.firstLayer < covered)
            return badChain(name + " overlaps an earlier stage at layer " + std::to_string(stage.firstLayer));
        covered = stage.endLayer;
    }
    if (covered != plan.layerCount)
        return badChain(
            "the chain ends at layer " + std::to_string(covered) + " of " + std::to_string(plan.layerCount));
    return {};
}

tl::expected<std::vector<chain_stage>, failure> buildChain(
    std::span<const stage_candidate> candidates, std::uint32_t layerCount)
{
    // Sorted by first layer, each candidate comes after all those that end where it begins, so the cheapest chain up to
    // that boundary is final.
    std::vector<const stage_candidate*> ordered;
    for (const auto& candidate : candidates) {
        if (candidate.stage.endLayer > candidate.stage.firstLayer && candidate.stage.endLayer <= layerCount)
            ordered.push_back(&candidate);
    }
    std::sort(ordered.begin(), ordered.end(), [](const stage_candidate* a, const stage_candidate* b) {
        return std::tie(a->stage.firstLayer, a->stage.endLayer) < std::tie(b->stage.firstLayer, b->stage.endLayer);
    });
    std::map<std::uint32_t, partial_chain> best;
    best[0] = {};
    for (const auto* candidate : ordered) {
        const auto from = best.find(candidate->stage.firstLayer);
        if (from == best.end())
            continue;
        const double cost = from->second.cost + candidate->cost;
        const auto known = best.find(candidate->stage.endLayer);
        if (known != best.end() && known->second.cost <= cost)
            continue;
        best[candidate->stage.endLayer] = { cost, candidate->stage.firstLayer, candidate };
    }
    std::vector<chain_stage> chain;
    auto boundary = best.find(layerCount);
    if (boundary == best.end() || layerCount == 0)
        return tl::make_unexpected(failure { result_code::NoTarget, "the ready targets don't cover all layers" });
    while (boundary->second.last != nullptr) {
        chain.push_back(boundary->second.last->stage);
        boundary = best.find(boundary->second.previousEnd);
    }
    std::reverse(chain.begin(), chain.end());
    return chain;
}

} // namespace buckthornrail::execution
