/// @file
/// @brief Implementations of the selection strategies.
#include "buckthornrail/routing/selection_strategy.hpp"

#include <algorithm>
#include <optional>

namespace buckthornrail::routing {
namespace {

class random_strategy : public selection_strategy {
public:
    selection select(std::span<const candidate> candidates, std::mt19937_64& random) override
    {
        std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
        return { draw(random), "random" };
    }
};

class round_robin_strategy : public selection_strategy {
public:
    selection select(std::span<const candidate> candidates, std::mt19937_64& /*random*/) override
    {
        return { m_next++ % candidates.size(), "round_robin" };
    }

private:
    std::size_t m_next = 0;
};

class least_outstanding_strategy : public selection_strategy {
public:
    selection select(std::span<const candidate> candidates, std::mt19937_64& random) override
    {
        std::size_t best = 0;
        std::size_t ties = 1;
        for (std::size_t index = 1; index < candidates.size(); ++index) {
            if (candidates[index].outstanding > candidates[best].outstanding)
                continue;
            if (candidates[index].outstanding < candidates[best].outstanding) {
                best = index;
                ties = 1;
                continue;
            }
            ++ties;
            if (std::uniform_int_distribution<std::size_t>(0, ties - 1)(random) == 0)
                best = index;
        }
        return { best, "least_outstanding" };
    }
};

/// Power of two choices: draws two candidates weighted by rate and selects the one expected to finish earlier.
/// Prefix affinity takes precedence: the two candidates with the highest affinity are tried first, provided they have a
/// free slot. With a fixed second choice, requests that overflow from the first share one prefix cache.
class finish_estimate_strategy : public selection_strategy {
public:
    selection select(std::span<const candidate> candidates, std::mt19937_64& random) override
    {
        if (const auto target = findAffinityTarget(candidates))
            return { *target, "prefix_affinity" };
        const std::size_t first = drawByRate(candidates, random);
        const std::size_t second = drawByRate(candidates, random);
        const bool secondIsBetter = finishesEarlier(candidates[second], candidates[first]);
        return { secondIsBetter ? second : first, "earliest_of_two" };
    }

private:
    /// Limit on the preference for a cached prefix: it doesn't apply to targets that finish later than this multiple of
    /// the earliest finish time.
    static constexpr double maxAffinitySlowdown = 2.0;

    static bool finishesEarlier(const candidate& a, const candidate& b) { return a.finishMs < b.finishMs; }

    /// @return index of the candidate with the highest or second-highest affinity, if it has a free slot and finishes
    /// within maxAffinitySlowdown; nothing if neither does
    static std::optional<std::size_t> findAffinityTarget(std::span<const candidate> candidates)
    {
        std::array<std::size_t, 2> preferred { 0, 0 };
        double earliestFinishMs = candidates[0].finishMs;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            earliestFinishMs = std::min(earliestFinishMs, candidates[index].finishMs);
            if (candidates[index].affinity > candidates[preferred[0]].affinity)
                preferred = { index, preferred[0] };
            else if (index != preferred[0]
                && (preferred[1] == preferred[0] || candidates[index].affinity > candidates[preferred[1]].affinity))
                preferred[1] = index;
        }
        for (const std::size_t choice : preferred) {
            const auto& preferredCandidate = candidates[choice];
            if (preferredCandidate.affinity != 0 && preferredCandidate.waitMs <= 0
                && preferredCandidate.finishMs <= maxAffinitySlowdown * earliestFinishMs)
                return choice;
        }
        return std::nullopt;
    }

    /// @return index of a random candidate, weighted by rate
    static std::size_t drawByRate(std::span<const candidate> candidates, std::mt19937_64& random)
    {
        double total = 0;
        for (const auto& weighted : candidates)
            total += weighted.rate;
        double remaining = std::uniform_real_distribution<double>(0, total)(random);
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            remaining -= candidates[index].rate;
            if (remaining < 0)
                return index;
        }
        return candidates.size() - 1;
    }
};

} // namespace

std::unique_ptr<selection_strategy> makeStrategy(strategy_kind kind)
{
    switch (kind) {
    case strategy_kind::Random:
        return std::make_unique<random_strategy>();
    case strategy_kind::RoundRobin:
        return std::make_unique<round_robin_strategy>();
    case strategy_kind::LeastOutstanding:
        return std::make_unique<least_outstanding_strategy>();
    case strategy_kind::FinishEstimate:
        break;
    }
    return std::make_unique<finish_estimate_strategy>();
}

} // namespace buckthornrail::routing
