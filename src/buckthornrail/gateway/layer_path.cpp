/// @file
/// @brief Shortest path by dynamic programming over (layer, domain).
#include "buckthornrail/gateway/layer_path.hpp"

#include <algorithm>
#include <limits>

namespace buckthornrail::gateway {
namespace {

constexpr double unreached = std::numeric_limits<double>::infinity();
constexpr std::size_t noCandidate = std::numeric_limits<std::size_t>::max();

/// Cheapest partial path that ends before a layer, with its last part in a given domain.
struct waypoint {
    double cost = unreached;
    std::size_t candidate = noCandidate; ///< that runs the last part
    std::uint32_t fromLayer = 0;
    std::size_t fromDomain = 0;
};

class search {
public:
    search(std::span<const path_candidate> candidates, std::uint32_t layerCount, std::size_t domainCount,
        std::size_t startDomain, const path_costs& costs)
        : m_candidates(candidates)
        , m_layerCount(layerCount)
        , m_domainCount(domainCount)
        , m_costs(costs)
        , m_waypoints((layerCount + 1) * domainCount)
    {
        waypointAt(0, startDomain).cost = 0;
    }

    std::vector<path_part> run()
    {
        for (std::uint32_t layer = 0; layer < m_layerCount; ++layer) {
            for (std::size_t index = 0; index < m_candidates.size(); ++index) {
                const auto& candidate = m_candidates[index];
                const bool mayRun = layer > 0 || candidate.mayStart;
                if (mayRun && candidate.layers.first <= layer && layer < candidate.layers.end)
                    extend(layer, index);
            }
        }
        return collect();
    }

private:
    waypoint& waypointAt(std::uint32_t layer, std::size_t domain)
    {
        return m_waypoints[layer * m_domainCount + domain];
    }

    void extend(std::uint32_t layer, std::size_t index)
    {
        const auto& candidate = m_candidates[index];
        const std::uint32_t end = std::min(candidate.layers.end, m_layerCount);
        const double own = m_costs.perPartMs + candidate.fixedMs + candidate.msPerLayer * (end - layer);
        waypoint& goal = waypointAt(end, candidate.domain);
        for (std::size_t domain = 0; domain < m_domainCount; ++domain) {
            const double before = waypointAt(layer, domain).cost;
            if (before == unreached)
                continue;
            double cost = before + own;
            if (domain != candidate.domain)
                cost += layer == 0 ? m_costs.remoteStartMs : crossingMs(domain, candidate.domain);
            if (cost < goal.cost)
                goal = { cost, index, layer, domain };
        }
    }

    [[nodiscard]] double crossingMs(std::size_t from, std::size_t to) const
    {
        const double waits = m_costs.linkWaitMs.empty() ? 0 : m_costs.linkWaitMs[from * m_domainCount + to];
        return m_costs.crossingMs + waits;
    }

    std::vector<path_part> collect()
    {
        std::size_t domain = 0;
        for (std::size_t other = 1; other < m_domainCount; ++other) {
            if (waypointAt(m_layerCount, other).cost < waypointAt(m_layerCount, domain).cost)
                domain = other;
        }
        std::vector<path_part> parts;
        std::uint32_t layer = m_layerCount;
        while (layer > 0) {
            const waypoint point = waypointAt(layer, domain);
            if (point.candidate == noCandidate)
                return {};
            parts.push_back({ point.candidate, { point.fromLayer, layer } });
            layer = point.fromLayer;
            domain = point.fromDomain;
        }
        std::reverse(parts.begin(), parts.end());
        return parts;
    }

    std::span<const path_candidate> m_candidates;
    std::uint32_t m_layerCount;
    std::size_t m_domainCount;
    path_costs m_costs;
    std::vector<waypoint> m_waypoints;
};

} // namespace

std::vector<path_part> findPath(std::span<const path_candidate> candidates, std::uint32_t layerCount,
    std::size_t domainCount, std::size_t startDomain, const path_costs& costs)
{
    return search(candidates, layerCount, domainCount, startDomain, costs).run();
}

} // namespace buckthornrail::gateway
