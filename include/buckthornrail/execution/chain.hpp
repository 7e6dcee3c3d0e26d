/// @file
/// @brief Chains of stages that cover a model split by layer ranges.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace buckthornrail::execution {

/// One stage: a target that runs layers [firstLayer, endLayer).
struct chain_stage {
    instance_id instance;
    std::string linkAddress;
    incarnation_number incarnation = 0;
    std::string version;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    bool operator==(const chain_stage&) const = default;
};

/// A chain for one request. A higher generation replaces a lower one.
struct chain_plan {
    std::uint32_t generation = 0;
    std::string model;
    std::string version;
    std::uint32_t layerCount = 0;
    std::vector<chain_stage> stages;
};

/// @brief Checks that the stages cover layers 0 to layerCount with neither gap nor overlap, all of one version.
/// @return BadChain with the place of the fault.
tl::expected<void, failure> checkChain(const chain_plan& plan);

/// A target that could be a stage, with its cost (any unit; lower is better).
struct stage_candidate {
    chain_stage stage;
    double cost = 0;
};

/// @brief Cheapest chain from 0 to layerCount over the candidates, each used once.
/// @return NoTarget when the candidates leave a gap.
tl::expected<std::vector<chain_stage>, failure> buildChain(
    std::span<const stage_candidate> candidates, std::uint32_t layerCount);

} // namespace buckthornrail::execution
