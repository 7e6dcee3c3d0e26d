/// @file
/// @brief Plans which layers each target holds, so that every failure domain has complete chains of its own.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

#include <span>
#include <string>
#include <vector>

namespace buckthornrail::registry {

/// A target's state as input of the planner.
struct plan_target {
    std::string id;
    std::string failureDomain;
    std::uint32_t capacity = 0; ///< layers that fit beside the minimum memory for requests
    std::uint32_t preferredLayers = 0; ///< layers that leave more memory to requests; at most the capacity
    layer_range heldLayers; ///< loaded layers; the ordered ones while an order is pending
    bool canTakeOrder = true; ///< false while an order is pending
};

/// Layers that a target is to load.
struct layer_assignment {
    std::string id;
    layer_range layers;
    bool isUrgent = false; ///< fills a gap: requests in flight through the layers given up are not waited for
    bool operator==(const layer_assignment&) const = default;
};

/// Memory of an accelerator, and the memory that each layer and each token takes.
struct memory_requirements {
    double memoryMb = 0;
    double layerMb = 0;
    double tokenBytesPerLayer = 0;
    double tokens = 0; ///< number of tokens to reserve memory for
};

/// @brief Number of layers that fit into an accelerator beside the memory for its tokens.
std::uint32_t layersThatFit(const memory_requirements& needs);

/// @brief The most tokens that each accelerator of a domain can reserve memory for without giving up a chain: the
/// domain keeps all its complete chains, or, where there is only one, that chain and half of a second one.
/// @param accelerators with the minimum number of tokens, the same for each
/// @param layerCount layers of the model
/// @return the minimum when the accelerators can't hold that many layers; 0 without accelerators or layers
double preferredTokens(std::span<const memory_requirements> accelerators, std::uint32_t layerCount);

/// @brief Plans the next layer assignments. Each domain is planned independently.
///
/// A target without layers gets its preferred number of layers, where coverage is lowest: a domain thus forms one
/// complete chain and part of a second one. A gap is filled by a redundant target, one whose layers others hold too;
/// without such a target, by the targets adjacent to the gap, up to their capacity.
/// @param layerCount layers of the model
/// @return at most one assignment per target; empty when nothing can be improved
std::vector<layer_assignment> planLayers(std::span<const plan_target> targets, std::uint32_t layerCount);

} // namespace buckthornrail::registry
