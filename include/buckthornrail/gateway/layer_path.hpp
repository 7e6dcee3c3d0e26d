/// @file
/// @brief Cheapest path through targets that hold ranges of layers: runs every layer once, in order.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace buckthornrail::gateway {

/// Input of the search: a target with its layers and costs.
struct path_candidate {
    registry::layer_range layers;
    std::size_t domain = 0; ///< index of its failure domain
    double msPerLayer = 0; ///< time of a token for each layer, at the present load
    double fixedMs = 0; ///< cost of using the target at all, such as penalties for recent failures
    bool mayStart = true; ///< may run the first part
};

/// A part of a path: the candidate runs these layers, a subrange of those it holds.
struct path_part {
    std::size_t candidate = 0; ///< index into the candidates
    registry::layer_range layers;
    bool operator==(const path_part&) const = default;
};

struct path_costs {
    /// Cost of each hop: network latency and a place in the next target's queue.
    double perPartMs = 0.3;
    /// Cost of a first target outside the gateway's domain. Only events cross there.
    double remoteStartMs = 4;
    /// Cost of a hop between domains, where activations share a link of limited bandwidth: a typical prompt occupies it
    /// for 14 ms. The cost is higher than that, as the traffic of a domain may cross twice, so a path crosses only
    /// where the chains within other domains are congested. For slower links the pool raises it.
    double crossingMs = 80;
    /// Added to crossingMs: time until the link from one domain to another is free, at [from * domains + to]; empty: 0.
    std::vector<double> linkWaitMs;
};

/// @brief Finds the cheapest path over layers [0, layerCount).
/// @param candidates targets; their domains are below `domainCount`
/// @param layerCount layers of the model
/// @param domainCount number of domains
/// @param startDomain domain of the gateway, below `domainCount`
/// @param costs costs of hops
/// @return the parts in order; empty when the candidates don't cover all layers
std::vector<path_part> findPath(std::span<const path_candidate> candidates, std::uint32_t layerCount,
    std::size_t domainCount, std::size_t startDomain, const path_costs& costs = {});

} // namespace buckthornrail::gateway
