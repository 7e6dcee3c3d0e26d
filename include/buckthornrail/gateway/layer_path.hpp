/// @file
/// @brief A way through targets that hold ranges of layers: every layer once, in order, at the least cost.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace buckthornrail::gateway {

/// A target as the search sees it.
struct path_candidate {
    registry::layer_range layers;
    std::size_t domain = 0; ///< number of its failure domain
    double msPerLayer = 0; ///< time that a token takes here for each layer, at the present load
    double fixedMs = 0; ///< for taking part at all: a target that failed lately is used only where no other is left
    bool mayStart = true; ///< may run the first part
};

/// A part of a path: the candidate runs these layers, a piece of what it holds.
struct path_part {
    std::size_t candidate = 0; ///< position in the search's input
    registry::layer_range layers;
    bool operator==(const path_part&) const = default;
};

struct path_costs {
    /// Handing a token on: a delay on the wire and a place in the next target's queue.
    double perPartMs = 0.3;
    /// The first target is in another domain than the caller's gateway: only events cross.
    double remoteStartMs = 4;
    /// Activations cross between domains and fill a pipe that all share: a usual prompt takes 14 ms of it. The traffic
    /// of one domain may cross twice, so a path does it where the other domains' chains are crowded. For narrower pipes
    /// the pool raises it.
    double crossingMs = 80;
    /// Besides, what waits for the pipe from one domain to another: at [from * domains + to]; empty: nothing.
    std::vector<double> pipeWaitMs;
};

/// @brief Finds the cheapest path over layers [0, layerCount).
/// @param domainCount candidates' domains are below it; so is `startDomain`
/// @return the parts in order, or nothing when the candidates leave a gap
std::vector<path_part> findPath(std::span<const path_candidate> candidates, std::uint32_t layerCount,
    std::size_t domainCount, std::size_t startDomain, const path_costs& costs = {});

} // namespace buckthornrail::gateway
