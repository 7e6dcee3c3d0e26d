/// @file
/// @brief An entry's handling of one request to a split model: build a chain, run it, go on in a new generation.
///
/// A generation that is given up is fenced at its sidecars before the next one runs. The next one begins after the
/// last whole token: it prefills from the prompt and the tokens already given.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/execution/stage_guard.hpp"

#include <deque>
#include <set>
#include <variant>

namespace buckthornrail::execution {

struct chain_run_options {
    milliseconds openTimeout { 1000 };
    milliseconds progressTimeout { 5000 };
    milliseconds fenceTimeout { 400 };
    std::uint32_t maxGenerations = 6;
};

struct chain_request {
    std::string id;
    std::string model;
    std::string version;
    std::uint32_t layerCount = 0;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    steady_time deadline {};
};

/// A token from the last stage.
struct chain_token {
    std::uint32_t generation = 0;
    std::uint32_t token = 0;
    std::string text;
    bool last = false;
    std::string finishReason;
};

/// Build a chain without these instances, then call chainBuilt() or noChain().
struct choose_chain {
    std::set<instance_id> excluded;
};
/// Offer stage `stage` of the plan to its sidecar.
struct open_stage {
    chain_plan plan;
    std::uint32_t stage = 0;
    std::uint32_t maxTokens = 0;
};
struct revoke_stage {
    chain_stage stage;
    std::uint32_t generation = 0;
};
/// Give the first step to stage 0.
struct send_first_step {
    chain_stage stage;
    stage_step step;
};
/// Fence all generations below this one.
struct fence_stage {
    chain_stage stage;
    std::uint32_t generation = 0;
};
struct close_stage {
    chain_stage stage;
};
struct deliver_token {
    std::string text;
};
struct finish_chain {
    failure result;
    ran_state ran = ran_state::No;
    std::string finishReason;
};
using chain_effect = std::variant<choose_chain, open_stage, revoke_stage, send_first_step, fence_stage, close_stage,
    deliver_token, finish_chain>;

/// @ingroup execution
class chain_run {
public:
    chain_run(chain_request request, chain_run_options options);

    void start(steady_time now);
    void chainBuilt(std::vector<chain_stage> stages, steady_time now);
    void noChain(failure why);
    /// @brief A stage's sidecar has opened that generation.
    void stageOpened(const instance_id& instance, std::uint32_t generation, steady_time now);
    /// @brief A stage's sidecar refused, or could not be reached with, that generation.
    void stageRefused(const instance_id& instance, std::uint32_t generation, const failure& why, steady_time now);
    void stageFenced(const instance_id& instance, std::uint32_t generation, steady_time now);
    /// @brief A stage reports that `at` can't go on.
    void stageFailed(std::uint32_t generation, std::uint32_t at, const failure& why, steady_time now);
    void linkLost(const instance_id& instance, steady_time now);
    void token(const chain_token& token, steady_time now);
    void callerGone(steady_time now);
    void tick(steady_time now);

    std::optional<chain_effect> nextEffect();
    [[nodiscard]] steady_time nextDeadline() const;
    [[nodiscard]] bool isFinished() const { return m_phase == phase::Finished; }
    [[nodiscard]] const chain_request& request() const { return m_request; }
    [[nodiscard]] std::uint32_t generation() const { return m_plan.generation; }
    [[nodiscard]] const chain_plan& plan() const { return m_plan; }

private:
    enum class phase { Idle, Choosing, Opening, Running, Fencing, Finished };

    void choose();
    void abandonOpening(const instance_id& failedInstance, const failure& why);
    void fenceAll(const failure& why, steady_time now);
    void finishFencing(steady_time now);
    void finish(failure result, const std::string& finishReason = {});
    [[nodiscard]] bool hasStage(const instance_id& instance) const;

    chain_request m_request;
    chain_run_options m_options;
    phase m_phase = phase::Idle;
    steady_time m_phaseDeadline {};
    chain_plan m_plan;
    std::set<instance_id> m_pendingInstances; ///< Opening: not yet opened; Fencing: not yet fenced
    std::set<instance_id> m_excluded;
    std::uint32_t m_nextToken = 0; ///< within the generation
    std::uint32_t m_tokensDelivered = 0;
    std::string m_text; ///< prompt and the tokens given
    bool m_hasSentStep = false; ///< a step was sent: targets may have run
    failure m_lastFailure;
    std::deque<chain_effect> m_effects;
};

} // namespace buckthornrail::execution
