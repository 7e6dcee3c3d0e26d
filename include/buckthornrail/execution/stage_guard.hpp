/// @file
/// @brief Ensures that a sidecar runs each step of a split model's request at most once, in order, and only in the
/// newest generation.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/execution/chain.hpp"

#include <map>
#include <optional>

namespace buckthornrail::execution {

/// The computation of one token by one stage.
struct stage_step {
    std::string request;
    std::uint32_t generation = 0;
    std::uint32_t token = 0; ///< counted from 0 within the generation
    std::uint32_t stage = 0;
    std::string input; ///< activations; for stage 0 the whole text with token 0, then the previous token
};

/// Whether a step is run. All steps but those with Run are dropped.
enum class step_verdict {
    Run,
    Duplicate, ///< was admitted before
    OutOfOrder, ///< an earlier step is missing
    Fenced, ///< a higher generation is known
    Unknown, ///< the stage is not open in this generation
};

/// @brief Name of a verdict, as in metrics.
std::string_view nameOf(step_verdict verdict);

/// @brief State of the requests whose chains include this sidecar.
/// @ingroup execution
class stage_guard {
public:
    /// @brief Opens a stage of a request's chain. Replaces one of a lower generation.
    /// @param stage number of the stage in the plan
    /// @param self the stage that this sidecar's target can run
    /// @param deadline from which on expire() removes the request; never moved to an earlier time
    /// @return BadChain when the plan is invalid or its stage differs from `self`; FencedGeneration when this
    /// generation or a higher one was opened before, or it is fenced
    tl::expected<void, failure> open(const std::string& request, const chain_plan& plan, std::uint32_t stage,
        const chain_stage& self, steady_time deadline);

    /// @brief Rejects all generations below `generation` from now on, including those that were never opened.
    void fence(const std::string& request, std::uint32_t generation, steady_time deadline);

    /// @brief Decides whether a step is run. @return Run at most once for each step
    step_verdict admit(const stage_step& step);

    /// @return the open chain of a request; null: none
    [[nodiscard]] const chain_plan* planOf(const std::string& request) const;

    /// @brief Removes requests whose deadline has passed. @return their ids
    std::vector<std::string> expire(steady_time now);

    /// @brief Closes the stage of a request. Its steps are dropped, and its fence remains until the deadline.
    void close(const std::string& request);

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct request_state {
        std::uint32_t generation = 0; ///< highest one known
        std::optional<chain_plan> plan; ///< set while the stage is open
        std::uint32_t stage = 0;
        std::uint32_t nextToken = 0;
        steady_time deadline {};
    };

    std::map<std::string, request_state> m_requests;
};

} // namespace buckthornrail::execution
