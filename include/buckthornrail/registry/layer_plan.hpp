/// @file
/// @brief Which layers each target should hold, so that every failure domain has whole chains of its own.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

#include <span>
#include <string>
#include <vector>

namespace buckthornrail::registry {

/// A target as the planner sees it.
struct plan_target {
    std::string id;
    std::string failureDomain;
    std::uint32_t capacity = 0; ///< layers that fit beside the requests' memory
    layer_range holds; ///< or is about to hold: an order that is out counts as carried out
    bool isSettled = true; ///< false: an order is out, so it takes no other one
};

/// An order to give.
struct plan_step {
    std::string id;
    layer_range layers;
    bool isUrgent = false; ///< fills a gap: what passes through the layers given up is not waited for
    bool operator==(const plan_step&) const = default;
};

/// Memory of an accelerator, and what a layer and a token need of it.
struct memory_needs {
    double memoryMb = 0;
    double layerMb = 0;
    double tokenBytesPerLayer = 0;
    double tokens = 0; ///< that the target should have room for
};

/// @brief Layers that fit into an accelerator with room for the tokens.
std::uint32_t layersThatFit(const memory_needs& needs);

/// @brief The next orders. Domains are planned each by itself.
///
/// Targets that hold nothing take the window that is covered least. A gap that no empty target can fill is filled by
/// one whose layers others hold too. So a domain first gets a whole chain, then a second hold on as many layers as fit.
/// @return at most one step a target; nothing when there is nothing to improve
std::vector<plan_step> planLayers(std::span<const plan_target> targets, std::uint32_t layerCount);

} // namespace buckthornrail::registry
