/// @file
/// @brief State machine of an entry for a request to a model whose layers are split over several targets.
///
/// It has a chain built, opens its stages and delivers the tokens. After a failure it continues with a new chain, in
/// the next generation. A running generation that failed is fenced at its sidecars before the next one is opened;
/// sidecars that don't confirm the fence in time are excluded. The next generation prefills from the prompt and the
/// tokens already delivered.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/execution/stage_guard.hpp"

#include <deque>
#include <set>
#include <variant>

namespace buckthornrail::execution {

struct chain_run_options {
    milliseconds openTimeout { 1000 }; ///< for all stages of a chain to open
    milliseconds progressTimeout { 5000 }; ///< until the next token
    milliseconds fenceTimeout { 400 }; ///< for all stages to confirm a fence
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
    std::uint32_t maxTokens = 0; ///< that remain to be generated
};
/// Revoke the offer of a stage in a generation that did not open completely.
struct revoke_stage {
    chain_stage stage;
    std::uint32_t generation = 0;
};
/// Send the first step to stage 0. Each later one is sent by a sidecar.
struct send_first_step {
    chain_stage stage;
    stage_step step;
};
/// Fence a stage: its sidecar rejects all generations below this one.
struct fence_stage {
    chain_stage stage;
    std::uint32_t generation = 0;
};
/// End the request at a sidecar.
struct close_stage {
    chain_stage stage;
};
struct deliver_token {
    std::string text;
};
/// Send the caller the final result; the last effect of a run.
struct finish_chain {
    failure result;
    ran_state ran = ran_state::No; ///< whether any target may have run it
    std::string finishReason;
};
using chain_effect = std::variant<choose_chain, open_stage, revoke_stage, send_first_step, fence_stage, close_stage,
    deliver_token, finish_chain>;

/// @brief Runs one request. The owner passes events in and applies the effects that nextEffect() returns.
/// @ingroup execution
class chain_run {
public:
    chain_run(chain_request request, chain_run_options options);

    void start(steady_time now);
    void chainBuilt(std::vector<chain_stage> stages, steady_time now);
    /// @brief No chain can be built. Ends the request with its last failure, or with `why` if it had none.
    void noChain(failure why);
    /// @brief A sidecar has opened its stage in a generation. Steps start when all stages are open.
    void stageOpened(const instance_id& instance, std::uint32_t generation, steady_time now);
    /// @brief A sidecar refused its stage in a generation, or the offer could not be sent to it.
    void stageRefused(const instance_id& instance, std::uint32_t generation, const failure& why, steady_time now);
    /// @brief A sidecar has confirmed a fence. @param generation as in fence_stage
    void stageFenced(const instance_id& instance, std::uint32_t generation, steady_time now);
    /// @brief A stage of a running generation has failed. @param stage number in the plan
    void stageFailed(std::uint32_t generation, std::uint32_t stage, const failure& why, steady_time now);
    void linkLost(const instance_id& instance, steady_time now);
    /// @brief A token has arrived. Has no effect unless it is the next one of the current generation.
    void token(const chain_token& token, steady_time now);
    void callerGone(steady_time now);
    /// @brief Handles timeouts; due at nextDeadline().
    void tick(steady_time now);

    /// @return the next effect to apply, if any
    std::optional<chain_effect> nextEffect();
    [[nodiscard]] steady_time nextDeadline() const;
    [[nodiscard]] bool isFinished() const { return m_phase == phase::Finished; }
    [[nodiscard]] const chain_request& request() const { return m_request; }
    [[nodiscard]] std::uint32_t generation() const { return m_plan.generation; }
    [[nodiscard]] const chain_plan& plan() const { return m_plan; }

private:
    enum class phase { Idle, Choosing, Opening, Running, Fencing, Finished };

    void choose();
    /// @brief Revokes a generation in which a stage could not be opened, and requests another chain.
    void abandonOpening(const instance_id& failedInstance, const failure& why);
    /// @brief Fences a running generation that failed; ends the request if it was the last one allowed.
    void fenceAll(const failure& why, steady_time now);
    void finishFencing(steady_time now);
    void finish(failure result, const std::string& finishReason = {});
    [[nodiscard]] bool hasStage(const instance_id& instance) const;

    chain_request m_request;
    chain_run_options m_options;
    phase m_phase = phase::Idle;
    steady_time m_phaseDeadline {};
    chain_plan m_plan;
    std::set<instance_id> m_pendingInstances; ///< Opening: stage is not open; Fencing: fence is not confirmed
    std::set<instance_id> m_excluded;
    std::uint32_t m_nextToken = 0; ///< expected next, counted within the generation
    std::uint32_t m_tokensDelivered = 0; ///< number of delivered tokens, in all generations
    std::string m_text; ///< the prompt and the tokens delivered
    bool m_hasSentStep = false; ///< in any generation: targets may have run the request
    failure m_lastFailure;
    std::deque<chain_effect> m_effects;
};

} // namespace buckthornrail::execution
