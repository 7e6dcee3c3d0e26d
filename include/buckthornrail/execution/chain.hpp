/// @file
/// @brief Chains of stages that together run all layers of a model.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace buckthornrail::execution {

/// A stage of a chain: a target that runs layers [firstLayer, endLayer).
struct chain_stage {
    instance_id instance;
    std::string linkAddress;
    incarnation_number incarnation = 0;
    std::string version;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    bool operator==(const chain_stage&) const = default;
};

/// The chain of one request. A plan of a higher generation replaces those of lower ones.
struct chain_plan {
    std::uint32_t generation = 0;
    std::string model;
    std::string version;
    std::uint32_t layerCount = 0;
    std::vector<chain_stage> stages;
};

/// @brief Checks that the stages cover layers [0, layerCount) without gaps or overlaps, all with the plan's version.
/// @return BadChain with the first stage or layer that is wrong
tl::expected<void, failure> checkChain(const chain_plan& plan);

/// A target that can run a stage.
struct stage_candidate {
    chain_stage stage;
    double cost = 0; ///< of using the stage, in any unit; lower is better
};

/// @brief Finds the chain over layers [0, layerCount) with the lowest total cost. Uses each candidate at most once.
/// @return the stages in order; NoTarget when no chain of candidates covers all layers
tl::expected<std::vector<chain_stage>, failure> buildChain(
    std::span<const stage_candidate> candidates, std::uint32_t layerCount);

} // namespace buckthornrail::execution
