/// @file
/// @brief Strategies that select one of several candidate targets. FinishEstimate is the default; the simpler ones are
/// baselines for comparison.
#pragma once

#include "buckthornrail/core/enum_names.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <span>

namespace buckthornrail::routing {

/// @brief A target that could take a request, with its estimates.
struct candidate {
    double waitMs = 0; ///< expected time until a slot is free
    double finishMs = 0; ///< expected time until the response is complete
    double rate = 1; ///< throughput with all slots in use, in work units per ms
    std::uint32_t outstanding = 0; ///< requests at the target, running or queued, as far as known
    std::uint32_t slots = 1; ///< requests that the target runs concurrently
    std::uint64_t affinity = 0; ///< rendezvous hash of prompt prefix and target; 0: no affinity
};

/// @brief Selection strategies; the setting `strategy` names one of them.
enum class strategy_kind : std::uint8_t { Random, RoundRobin, LeastOutstanding, FinishEstimate };

/// @brief Names of the strategies in settings.
inline constexpr std::array strategyNames {
    enum_name<strategy_kind> { strategy_kind::Random, "random" },
    enum_name<strategy_kind> { strategy_kind::RoundRobin, "round_robin" },
    enum_name<strategy_kind> { strategy_kind::LeastOutstanding, "least_outstanding" },
    enum_name<strategy_kind> { strategy_kind::FinishEstimate, "finish_estimate" },
};

/// @brief The candidate that a strategy selected.
struct selection {
    std::size_t index = 0; ///< in the span of candidates
    std::string_view reason; ///< why it was selected, for the log
};

/// @brief Interface of the selection strategies.
/// @ingroup routing
class selection_strategy {
public:
    selection_strategy() = default;
    selection_strategy(const selection_strategy&) = delete;
    selection_strategy& operator=(const selection_strategy&) = delete;
    virtual ~selection_strategy() = default;

    /// @brief Selects a candidate.
    /// @param candidates must not be empty
    /// @param random source of randomness
    virtual selection select(std::span<const candidate> candidates, std::mt19937_64& random) = 0;
};

/// @brief Creates a strategy of the given kind.
std::unique_ptr<selection_strategy> makeStrategy(strategy_kind kind);

} // namespace buckthornrail::routing
