/// @file
/// @brief Probabilities of chance hits.
#include "buckthornrail/registry/crash_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::registry {
namespace {

constexpr double scale = 100; ///< of surprise
/// Shares are estimates: a single crash never says more than this.
constexpr surprise maxPresence = 500;
/// A target on trial may crash for another reason, as others just did.
constexpr surprise trialSurprise = 300;

} // namespace

surprise surpriseOfPresence(double share, double requests)
{
    const double absent = std::pow(1 - std::clamp(share, 0.0, 1.0), std::max(requests, 1.0));
    const double present = std::max(1 - absent, std::exp(-maxPresence / scale));
    return static_cast<surprise>(std::lround(-std::log(present) * scale));
}

surprise crash_evidence::countHit(surprise value)
{
    const auto counted = std::clamp(value, surprise(0), maxPresence);
    presence += counted;
    ++hits;
    ends = std::max(ends, hits); // the end may have been reported before the part's first crash
    return counted;
}

void crash_evidence::ignoreEnd()
{
    if (ends > hits)
        --ends;
}

void crash_evidence::forgive(surprise value)
{
    presence -= value;
    hits -= value > 0 && hits > 0 ? 1 : 0;
    ends = std::max(ends, hits + 1) - 1;
}

surprise crash_evidence::total() const
{
    // Among many crashes, a few hits are likely: one of "ends choose hits" ways for this to happen, the first crash
    // being a hit by definition.
    double ways = 0;
    for (std::uint32_t hit = 1; hit < hits && hit < ends; ++hit)
        ways += std::log(static_cast<double>(ends - hit) / static_cast<double>(hit));
    const auto correction = static_cast<surprise>(std::lround(std::max(ways, 0.0) * scale));
    return presence + trialSurprise * static_cast<surprise>(trials) - correction;
}

} // namespace buckthornrail::registry
