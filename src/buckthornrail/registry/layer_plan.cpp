/// @file
/// @brief Planning of layer ranges.
#include "buckthornrail/registry/layer_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace buckthornrail::registry {
namespace {

constexpr double bytesPerMb = 1e6;
/// Room beyond this is of no use: it is more than all gateways of a domain have ever open.
constexpr double searchedTokens = 1e6;
constexpr double tokenStep = 500; ///< less than a request
/// Where a domain has one chain, so much of a model is held a second time: enough for two members that end together.
/// What memory is left beyond that goes to requests.
constexpr double spareShare = 0.5;

/// How well the targets of one domain hold each layer.
class layer_cover {
public:
    explicit layer_cover(std::uint32_t layerCount)
        : m_holders(layerCount, 0)
        , m_room(layerCount, 0)
    {
    }

    void add(const plan_target& target) { change(target, 1); }
    void remove(const plan_target& target) { change(target, -1); }
    [[nodiscard]] int leastIn(const layer_range& range) const
    {
        return *std::min_element(m_holders.begin() + range.first, m_holders.begin() + range.end);
    }
    /// @brief The first run of layers that nobody holds; empty when there is none.
    [[nodiscard]] layer_range gap() const
    {
        const auto begin = std::find(m_holders.begin(), m_holders.end(), 0);
        const auto end = std::find_if(begin, m_holders.end(), [](int holders) { return holders > 0; });
        return { position(begin), position(end) };
    }
    /// @brief Where a target is missed most: from the first layer that nobody holds on, or else where the holders have
    /// the least room.
    [[nodiscard]] layer_range weakest(std::uint32_t size) const
    {
        const auto count = static_cast<std::uint32_t>(m_holders.size());
        size = std::min(size, count);
        const auto open = gap();
        std::uint32_t begin = std::min(open.first, count - size);
        if (open.isEmpty())
            begin = leastRoomyWindow(size);
        return { begin, begin + size };
    }

private:
    void change(const plan_target& target, int by)
    {
        if (target.holds.isEmpty())
            return;
        const double room = static_cast<double>(target.comfortable) / target.holds.size();
        const auto end = std::min<std::size_t>(target.holds.end, m_holders.size());
        for (std::size_t layer = target.holds.first; layer < end; ++layer) {
            m_holders[layer] += by;
            m_room[layer] += by * room;
        }
    }
    [[nodiscard]] std::uint32_t leastRoomyWindow(std::uint32_t size) const
    {
        std::uint32_t best = 0;
        double bestRoom = 0;
        for (std::uint32_t begin = 0; begin + size <= m_room.size(); ++begin) {
            const double room = std::accumulate(m_room.begin() + begin, m_room.begin() + begin + size, 0.0);
            if (begin == 0 || room < bestRoom - smallestGain) {
                best = begin;
                bestRoom = room;
            }
        }
        return best;
    }
    [[nodiscard]] std::uint32_t position(std::vector<int>::const_iterator at) const
    {
        return static_cast<std::uint32_t>(at - m_holders.begin());
    }

    static constexpr double smallestGain = 1e-6; ///< sums in another order differ by less
    std::vector<int> m_holders;
    std::vector<double> m_room; ///< of each layer's holders: 1 for one that holds what is comfortable
};

class domain_plan {
public:
    domain_plan(std::vector<plan_target> targets, std::uint32_t layerCount)
        : m_targets(std::move(targets))
        , m_cover(layerCount)
    {
        std::sort(m_targets.begin(), m_targets.end(), [](const plan_target& a, const plan_target& b) {
            return a.capacity != b.capacity ? a.capacity > b.capacity : a.id < b.id;
        });
        for (const auto& target : m_targets)
            m_cover.add(target);
    }

    void run(std::vector<plan_step>& steps)
    {
        for (auto& target : m_targets) {
            if (target.isSettled && target.holds.isEmpty() && target.comfortable > 0)
                order(target, m_cover.weakest(target.comfortable), steps);
        }
        const auto gap = m_cover.gap();
        if (gap.isEmpty())
            return;
        auto* spare = findSpare(gap.size());
        if (spare == nullptr) {
            extendNeighbours(gap, steps);
            return;
        }
        m_cover.remove(*spare);
        const auto window = m_cover.weakest(spare->comfortable);
        m_cover.add(*spare);
        order(*spare, window, steps);
        steps.back().isUrgent = true;
    }

private:
    void order(plan_target& target, const layer_range& layers, std::vector<plan_step>& steps)
    {
        m_cover.remove(target);
        target.holds = layers;
        target.isSettled = false;
        m_cover.add(target);
        steps.push_back({ target.id, target.holds, false });
    }

    /// @brief The target with the most capacity left among those that could grow into a gap from one side.
    template <typename Touches> plan_target* roomiest(const Touches& touches)
    {
        plan_target* found = nullptr;
        for (auto& target : m_targets) {
            if (!target.isSettled || target.holds.isEmpty() || !touches(target.holds))
                continue;
            if (found == nullptr || spaceOf(&target) > spaceOf(found))
                found = &target;
        }
        return found;
    }
    static std::uint32_t spaceOf(const plan_target* target)
    {
        return target == nullptr || target->capacity < target->holds.size() ? 0
                                                                            : target->capacity - target->holds.size();
    }

    /// @brief The gap's neighbours hold it besides their own layers, if they can.
    void extendNeighbours(const layer_range& gap, std::vector<plan_step>& steps)
    {
        auto* below = roomiest([&gap](const layer_range& held) { return held.end == gap.first; });
        auto* above = roomiest([&gap](const layer_range& held) { return held.first == gap.end; });
        const std::uint32_t spaceBelow = spaceOf(below);
        const std::uint32_t spaceAbove = spaceOf(above);
        const std::uint32_t space = spaceBelow + spaceAbove;
        if (space == 0 || space < gap.size())
            return;
        const std::uint32_t share = gap.size() * spaceBelow / space;
        const std::uint32_t taken = std::max(share, gap.size() - std::min(gap.size(), spaceAbove));
        if (taken > 0)
            order(*below, { below->holds.first, gap.first + taken }, steps);
        if (taken < gap.size())
            order(*above, { gap.first + taken, above->holds.end }, steps);
    }

    /// @brief A target whose layers are all held by another one too: the smallest that fills the gap, as it loads
    /// soonest and is missed least, or else the largest.
    plan_target* findSpare(std::uint32_t gap)
    {
        plan_target* found = nullptr;
        for (auto& target : m_targets) { // largest first
            if (!target.isSettled || target.holds.isEmpty() || m_cover.leastIn(target.holds) <= 1)
                continue;
            if (found == nullptr || target.comfortable >= gap)
                found = &target;
        }
        return found;
    }

    std::vector<plan_target> m_targets;
    layer_cover m_cover;
};

} // namespace

std::uint32_t layersThatFit(const memory_needs& needs)
{
    const double eachMb = needs.layerMb + needs.tokens * needs.tokenBytesPerLayer / bytesPerMb;
    return eachMb <= 0 ? 0 : static_cast<std::uint32_t>(std::floor(needs.memoryMb / eachMb));
}

double comfortableTokens(std::span<const memory_needs> accelerators, std::uint32_t layerCount)
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
    double high = low + searchedTokens;
    const std::uint32_t chains = layersAt(low) / layerCount;
    const auto wanted
        = chains > 1 ? chains * layerCount : layerCount + static_cast<std::uint32_t>(spareShare * layerCount);
    if (layersAt(low) < wanted)
        return low;
    while (high - low > tokenStep) {
        const double middle = (low + high) / 2;
        (layersAt(middle) >= wanted ? low : high) = middle;
    }
    return low;
}

std::vector<plan_step> planLayers(std::span<const plan_target> targets, std::uint32_t layerCount)
{
    std::vector<plan_step> steps;
    if (layerCount == 0)
        return steps;
    std::map<std::string, std::vector<plan_target>> domains;
    for (const auto& target : targets)
        domains[target.failureDomain].push_back(target);
    for (auto& [domain, members] : domains)
        domain_plan(std::move(members), layerCount).run(steps);
    return steps;
}

} // namespace buckthornrail::registry
