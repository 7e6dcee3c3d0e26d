/// @file
/// @brief Ways to pick one of several candidates; the simple ones stay as baselines to measure against.
#pragma once

#include "buckthornrail/core/enum_names.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <span>

namespace buckthornrail::routing {

/// A target that could take a request.
struct candidate {
    double waitMs = 0; ///< expected time until a slot is free
    double finishMs = 0; ///< expected time until the answer is complete
    double rate = 1; ///< work per ms with all slots in use
    std::uint32_t outstanding = 0; ///< known requests at the target
    std::uint32_t slots = 1;
    std::uint64_t affinity = 0; ///< rendezvous hash of prompt prefix and target; 0: none
};

enum class strategy_kind : std::uint8_t { Random, RoundRobin, LeastOutstanding, FinishEstimate };

inline constexpr std::array strategyNames {
    enum_name<strategy_kind> { strategy_kind::Random, "random" },
    enum_name<strategy_kind> { strategy_kind::RoundRobin, "round_robin" },
    enum_name<strategy_kind> { strategy_kind::LeastOutstanding, "least_outstanding" },
    enum_name<strategy_kind> { strategy_kind::FinishEstimate, "finish_estimate" },
};

/// What a strategy picked, and why, for the log.
struct selection {
    std::size_t index = 0;
    std::string_view reason;
};

/// @ingroup routing
class selection_strategy {
public:
    selection_strategy() = default;
    selection_strategy(const selection_strategy&) = delete;
    selection_strategy& operator=(const selection_strategy&) = delete;
    virtual ~selection_strategy() = default;

    /// @param candidates at least one
    virtual selection select(std::span<const candidate> candidates, std::mt19937_64& random) = 0;
};

/// @brief Makes a strategy.
std::unique_ptr<selection_strategy> makeStrategy(strategy_kind kind);

} // namespace buckthornrail::routing
