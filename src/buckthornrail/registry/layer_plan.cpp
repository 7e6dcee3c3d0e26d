/// @file
/// @brief Assigns layer ranges to the targets of each failure domain.
#include "buckthornrail/registry/layer_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace buckthornrail::registry {
namespace {

constexpr double bytesPerMb = 1e6;
/// Upper bound of the search: more tokens than all gateways keep in flight at a domain.
constexpr double maxExtraTokens = 1e6;
constexpr double tokenStep = 500; ///< precision of the search; smaller than one request
/// Fraction of the model that a domain with a single chain holds a second time, enough to lose two members at once.
/// The remaining memory is left to requests.
constexpr double redundantShare = 0.5;

/// Counts, for each layer, the targets of one domain that hold it, and their capacity.
class layer_coverage {
public:
    explicit layer_coverage(std::uint32_t layerCount)
        : m_holders(layerCount, 0)
        , m_capacity(layerCount, 0)
    {
    }

    void add(const plan_target& target) { change(target, 1); }
    void remove(const plan_target& target) { change(target, -1); }
    [[nodiscard]] int minHolders(const layer_range& range) const
    {
        return *std::min_element(m_holders.begin() + range.first, m_holders.begin() + range.end);
    }
    /// @brief First contiguous run of layers without a holder; empty when every layer has one.
    [[nodiscard]] layer_range gap() const
    {
        const auto begin = std::find(m_holders.begin(), m_holders.end(), 0);
        const auto end = std::find_if(begin, m_holders.end(), [](int holders) { return holders > 0; });
        return { position(begin), position(end) };
    }
    /// @brief The range that most needs another holder: it starts at the first gap, or else covers the layers whose
    /// holders have the least capacity.
    /// @param size number of layers; limited to the model's
    [[nodiscard]] layer_range leastCovered(std::uint32_t size) const
    {
        const auto count = static_cast<std::uint32_t>(m_holders.size());
        size = std::min(size, count);
        const auto open = gap();
        std::uint32_t begin = std::min(open.first, count - size);
        if (open.isEmpty())
            begin = lowestCapacityWindow(size);
        return { begin, begin + size };
    }

private:
    void change(const plan_target& target, int by)
    {
        if (target.heldLayers.isEmpty())
            return;
        const double capacity = static_cast<double>(target.preferredLayers) / target.heldLayers.size();
        const auto end = std::min<std::size_t>(target.heldLayers.end, m_holders.size());
        for (std::size_t layer = target.heldLayers.first; layer < end; ++layer) {
            m_holders[layer] += by;
            m_capacity[layer] += by * capacity;
        }
    }
    [[nodiscard]] std::uint32_t lowestCapacityWindow(std::uint32_t size) const
    {
        std::uint32_t best = 0;
        double lowestCapacity = 0;
        for (std::uint32_t begin = 0; begin + size <= m_capacity.size(); ++begin) {
            const double capacity = std::accumulate(m_capacity.begin() + begin, m_capacity.begin() + begin + size, 0.0);
            if (begin == 0 || capacity < lowestCapacity - sumTolerance) {
                best = begin;
                lowestCapacity = capacity;
            }
        }
        return best;
    }
    [[nodiscard]] std::uint32_t position(std::vector<int>::const_iterator iterator) const
    {
        return static_cast<std::uint32_t>(iterator - m_holders.begin());
    }

    static constexpr double sumTolerance = 1e-6; ///< exceeds the rounding differences between summation orders
    std::vector<int> m_holders;
    std::vector<double> m_capacity; ///< per layer; a target that holds exactly its preferred layers adds 1 to each
};

class domain_planner {
public:
    domain_planner(std::vector<plan_target> targets, std::uint32_t layerCount)
        : m_targets(std::move(targets))
        , m_coverage(layerCount)
    {
        std::sort(m_targets.begin(), m_targets.end(), [](const plan_target& a, const plan_target& b) {
            return a.capacity != b.capacity ? a.capacity > b.capacity : a.id < b.id;
        });
        for (const auto& target : m_targets)
            m_coverage.add(target);
    }

    void run(std::vector<layer_assignment>& assignments)
    {
        for (auto& target : m_targets) {
            if (target.canTakeOrder && target.heldLayers.isEmpty() && target.preferredLayers > 0)
                order(target, m_coverage.leastCovered(target.preferredLayers), assignments);
        }
        const auto gap = m_coverage.gap();
        if (gap.isEmpty())
            return;
        auto* redundant = findRedundant(gap.size());
        if (redundant == nullptr) {
            extendNeighbours(gap, assignments);
            return;
        }
        m_coverage.remove(*redundant);
        const auto window = m_coverage.leastCovered(redundant->preferredLayers);
        m_coverage.add(*redundant);
        order(*redundant, window, assignments);
        assignments.back().isUrgent = true;
    }

private:
    void order(plan_target& target, const layer_range& layers, std::vector<layer_assignment>& assignments)
    {
        m_coverage.remove(target);
        target.heldLayers = layers;
        target.canTakeOrder = false;
        m_coverage.add(target);
        assignments.push_back({ target.id, target.heldLayers, false });
    }

    /// @brief Finds the target with the largest spare capacity among those adjacent to a gap on one side.
    template <typename Predicate> plan_target* findLargestSpareCapacity(const Predicate& isAdjacent)
    {
        plan_target* found = nullptr;
        for (auto& target : m_targets) {
            if (!target.canTakeOrder || target.heldLayers.isEmpty() || !isAdjacent(target.heldLayers))
                continue;
            if (found == nullptr || spareCapacityOf(&target) > spareCapacityOf(found))
                found = &target;
        }
        return found;
    }
    static std::uint32_t spareCapacityOf(const plan_target* target)
    {
        return target == nullptr || target->capacity < target->heldLayers.size()
            ? 0
            : target->capacity - target->heldLayers.size();
    }

    /// @brief Extends the targets adjacent to a gap over it, in proportion to their spare capacity. Changes nothing
    /// unless they can fill the whole gap.
    void extendNeighbours(const layer_range& gap, std::vector<layer_assignment>& assignments)
    {
        auto* below = findLargestSpareCapacity([&gap](const layer_range& held) { return held.end == gap.first; });
        auto* above = findLargestSpareCapacity([&gap](const layer_range& held) { return held.first == gap.end; });
        const std::uint32_t spareBelow = spareCapacityOf(below);
        const std::uint32_t spareAbove = spareCapacityOf(above);
        const std::uint32_t spare = spareBelow + spareAbove;
        if (spare == 0 || spare < gap.size())
            return;
        const std::uint32_t share = gap.size() * spareBelow / spare;
        const std::uint32_t taken = std::max(share, gap.size() - std::min(gap.size(), spareAbove));
        if (taken > 0)
            order(*below, { below->heldLayers.first, gap.first + taken }, assignments);
        if (taken < gap.size())
            order(*above, { gap.first + taken, above->heldLayers.end }, assignments);
    }

    /// @brief Finds a target whose layers are all held by others too: the smallest that fills the gap, since it loads
    /// fastest and contributes least to its present layers, or else the largest.
    /// @param gap number of layers to fill
    /// @return null when no target is redundant
    plan_target* findRedundant(std::uint32_t gap)
    {
        plan_target* found = nullptr;
        for (auto& target : m_targets) { // largest first
            if (!target.canTakeOrder || target.heldLayers.isEmpty() || m_coverage.minHolders(target.heldLayers) <= 1)
                continue;
            if (found == nullptr || target.preferredLayers >= gap)
                found = &target;
        }
        return found;
    }

    std::vector<plan_target> m_targets;
    layer_coverage m_coverage;
};

} // namespace

std::uint32_t layersThatFit(const memory_requirements& needs)
{
    const double perLayerMb = needs.layerMb + needs.tokens * needs.tokenBytesPerLayer / bytesPerMb;
    return perLayerMb <= 0 ? 0 : static_cast<std::uint32_t>(std::floor(needs.memoryMb / perLayerMb));
}

double preferredTokens(std::span<const memory_requirements> accelerators, std::uint32_t layerCount)
{
    if (accelerators.empty() || layerCount == 0)
        return 0;
    const auto layersAt = [&](double tokens) {
        std::uint32_t layers = 0;
        for (auto needs : accelerators) {
            needs.tokens = tokens;
            layers += layersThatFit(needs);
        }
        return layers;
    };
    double low = accelerators.front().tokens;
    double high = low + maxExtraTokens;
    const std::uint32_t chains = layersAt(low) / layerCount;
    const auto wanted
        = chains > 1 ? chains * layerCount : layerCount + static_cast<std::uint32_t>(redundantShare * layerCount);
    if (layersAt(low) < wanted)
        return low;
    while (high - low > tokenStep) {
        const double middle = (low + high) / 2;
        (layersAt(middle) >= wanted ? low : high) = middle;
    }
    return low;
}

std::vector<layer_assignment> planLayers(std::span<const plan_target> targets, std::uint32_t layerCount)
{
    std::vector<layer_assignment> assignments;
    if (layerCount == 0)
        return assignments;
    std::map<std::string, std::vector<plan_target>> domains;
    for (const auto& target : targets)
        domains[target.failureDomain].push_back(target);
    for (auto& [domain, members] : domains)
        domain_planner(std::move(members), layerCount).run(assignments);
    return assignments;
}

} // namespace buckthornrail::registry
