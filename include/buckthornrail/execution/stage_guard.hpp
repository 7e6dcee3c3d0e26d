/// @file
/// @brief A sidecar's guard over the steps of split requests: each step once, in order, in the newest generation.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/execution/chain.hpp"

#include <map>
#include <optional>

namespace buckthornrail::execution {

/// One pass of one token through one stage.
struct stage_step {
    std::string request;
    std::uint32_t generation = 0;
    std::uint32_t token = 0; ///< counted from 0 within the generation
    std::uint32_t stage = 0;
    std::string input; ///< activations; for stage 0 the text so far or the last token
};

enum class step_verdict {
    Run,
    Duplicate, ///< run before; dropped
    OutOfOrder, ///< an earlier step has not come; dropped
    Fenced, ///< a higher generation is known; dropped
    Unknown, ///< this sidecar was never asked to take part; dropped
};

/// @brief Name of a verdict.
std::string_view nameOf(step_verdict verdict);

/// @ingroup execution
class stage_guard {
public:
    /// @brief Takes part in a chain as stage `stage`.
    /// @param self what this sidecar's target holds
    /// @return BadChain when the plan is not whole or names another range, FencedGeneration for an old generation.
    tl::expected<void, failure> open(const std::string& request, const chain_plan& plan, std::uint32_t stage,
        const chain_stage& self, steady_time deadline);

    /// @brief Refuses all generations below `generation` from now on, also those that were never opened.
    void fence(const std::string& request, std::uint32_t generation, steady_time deadline);

    /// @brief Decides on a step; Run is given at most once for each step.
    step_verdict admit(const stage_step& step);

    /// @brief The open chain of a request, or nothing.
    [[nodiscard]] const chain_plan* planOf(const std::string& request) const;

    /// @brief Forgets requests whose deadline has passed. @return their names.
    std::vector<std::string> expire(steady_time now);

    /// @brief Ends a request: its steps are refused, its fence stays until the deadline.
    void close(const std::string& request);

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct request_state {
        std::uint32_t generation = 0; ///< highest seen
        std::optional<chain_plan> plan; ///< set while open
        std::uint32_t stage = 0;
        std::uint32_t nextToken = 0;
        steady_time deadline {};
    };

    std::map<std::string, request_state> m_requests;
};

} // namespace buckthornrail::execution
