/// @file
/// @brief Planning of layer ranges.
#include "buckthornrail/registry/layer_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace buckthornrail::registry {
namespace {

constexpr double bytesPerMb = 1e6;

/// How many targets of one domain hold each layer.
class layer_cover {
public:
    explicit layer_cover(std::uint32_t layerCount)
        : m_holders(layerCount, 0)
    {
    }

    void add(const layer_range& range, int holders)
    {
        for (std::uint32_t layer = range.first; layer < std::min<std::size_t>(range.end, m_holders.size()); ++layer)
            m_holders[layer] += holders;
    }
    [[nodiscard]] int least() const { return *std::min_element(m_holders.begin(), m_holders.end()); }
    [[nodiscard]] int leastIn(const layer_range& range) const
    {
        return *std::min_element(m_holders.begin() + range.first, m_holders.begin() + range.end);
    }
    /// @brief Length of the first run of layers that nobody holds.
    [[nodiscard]] std::uint32_t gapSize() const
    {
        const auto begin = std::find(m_holders.begin(), m_holders.end(), 0);
        const auto end = std::find_if(begin, m_holders.end(), [](int holders) { return holders > 0; });
        return static_cast<std::uint32_t>(end - begin);
    }
    /// @brief The window that begins at the first of the layers held least.
    [[nodiscard]] layer_range leastCovered(std::uint32_t size) const
    {
        const auto count = static_cast<std::uint32_t>(m_holders.size());
        const auto first
            = static_cast<std::uint32_t>(std::min_element(m_holders.begin(), m_holders.end()) - m_holders.begin());
        const std::uint32_t begin = std::min(first, count - std::min(size, count));
        return { begin, std::min(begin + size, count) };
    }

private:
    std::vector<int> m_holders;
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
            m_cover.add(target.holds, 1);
    }

    void run(std::vector<plan_step>& steps)
    {
        for (auto& target : m_targets) {
            if (target.isSettled && target.holds.isEmpty() && target.capacity > 0)
                order(target, steps);
        }
        if (m_cover.least() > 0)
            return;
        auto* spare = findSpare(m_cover.gapSize());
        if (spare == nullptr)
            return;
        order(*spare, steps);
        steps.back().isUrgent = true;
    }

private:
    void order(plan_target& target, std::vector<plan_step>& steps)
    {
        m_cover.add(target.holds, -1);
        target.holds = m_cover.leastCovered(target.capacity);
        target.isSettled = false;
        m_cover.add(target.holds, 1);
        steps.push_back({ target.id, target.holds, false });
    }

    /// @brief A target whose layers are all held by another one too: the smallest that fills the gap, as it loads
    /// soonest and is missed least, or else the largest.
    plan_target* findSpare(std::uint32_t gap)
    {
        plan_target* found = nullptr;
        for (auto& target : m_targets) { // largest first
            if (!target.isSettled || target.holds.isEmpty() || m_cover.leastIn(target.holds) <= 1)
                continue;
            if (found == nullptr || target.capacity >= gap)
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
