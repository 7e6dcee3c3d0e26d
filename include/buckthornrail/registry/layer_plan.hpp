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
    std::uint32_t capacity = 0; ///< layers that fit beside the memory that requests need at the least
    std::uint32_t comfortable = 0; ///< layers that leave much more of it; at most the capacity
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

/// @brief The most tokens that the accelerators of a domain can have room for, where they still hold all its whole
/// chains, or one chain and half a second one.
/// @param accelerators each with the least tokens to have room for
/// @return that least when they can't hold so much
double comfortableTokens(std::span<const memory_needs> accelerators, std::uint32_t layerCount);

/// @brief The next orders. Domains are planned each by itself.
///
/// Targets that hold nothing take as many layers as is comfortable, where layers are held least: so a domain is one
/// whole chain, and part of a second one. A gap is filled by a target whose layers others hold too, and without one by
/// its neighbours, up to their capacity.
/// @return at most one step a target; nothing when there is nothing to improve
std::vector<plan_step> planLayers(std::span<const plan_target> targets, std::uint32_t layerCount);

} // namespace buckthornrail::registry
