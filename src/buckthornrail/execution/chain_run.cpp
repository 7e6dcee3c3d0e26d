/// @file
/// @brief Transitions between the phases of a request, and its generations.
#include "buckthornrail/execution/chain_run.hpp"

#include <algorithm>

namespace buckthornrail::execution {

chain_run::chain_run(chain_request request, chain_run_options options)
    : m_request(std::move(request))
    , m_options(options)
    , m_text(m_request.prompt)
{
    m_plan.model = m_request.model;
    m_plan.version = m_request.version;
    m_plan.layerCount = m_request.layerCount;
}

void chain_run::start(steady_time now)
{
    m_phaseDeadline = m_request.deadline;
    if (now >= m_request.deadline) {
        finish({ result_code::DeadlinePassed, "the deadline had passed before the request was dispatched" });
        return;
    }
    choose();
}

void chain_run::chainBuilt(std::vector<chain_stage> stages, steady_time now)
{
    if (m_phase != phase::Choosing)
        return;
    ++m_plan.generation;
    m_plan.stages = std::move(stages);
    if (auto valid = checkChain(m_plan); !valid) {
        finish(valid.error());
        return;
    }
    m_nextToken = 0;
    m_pendingInstances.clear();
    m_phase = phase::Opening;
    m_phaseDeadline = now + m_options.openTimeout;
    for (std::uint32_t index = 0; index < m_plan.stages.size(); ++index) {
        m_pendingInstances.insert(m_plan.stages[index].instance);
        m_effects.emplace_back(open_stage { m_plan, index, m_request.maxTokens - m_tokensDelivered });
    }
}

void chain_run::noChain(failure why)
{
    if (m_phase == phase::Choosing)
        finish(m_lastFailure.code == result_code::Ok ? std::move(why) : m_lastFailure);
}

void chain_run::stageOpened(const instance_id& instance, std::uint32_t generation, steady_time now)
{
    if (m_phase != phase::Opening || generation != m_plan.generation)
        return;
    m_pendingInstances.erase(instance);
    if (!m_pendingInstances.empty())
        return;
    m_phase = phase::Running;
    m_phaseDeadline = now + m_options.progressTimeout;
    m_hasSentStep = true;
    m_effects.emplace_back(
        send_first_step { m_plan.stages.front(), { m_request.id, m_plan.generation, 0, 0, m_text } });
}

void chain_run::stageRefused(const instance_id& instance, std::uint32_t generation, const failure& why, steady_time now)
{
    if (generation != m_plan.generation || !hasStage(instance))
        return;
    if (m_phase == phase::Opening)
        abandonOpening(instance, why);
    else if (m_phase == phase::Running)
        linkLost(instance, now);
}

void chain_run::stageFenced(const instance_id& instance, std::uint32_t generation, steady_time now)
{
    if (m_phase != phase::Fencing || generation != m_plan.generation + 1)
        return;
    m_pendingInstances.erase(instance);
    if (m_pendingInstances.empty())
        finishFencing(now);
}

void chain_run::stageFailed(std::uint32_t generation, std::uint32_t stage, const failure& why, steady_time now)
{
    if (m_phase != phase::Running || generation != m_plan.generation || stage >= m_plan.stages.size())
        return;
    m_excluded.insert(m_plan.stages[stage].instance);
    fenceAll(why, now);
}

void chain_run::linkLost(const instance_id& instance, steady_time now)
{
    if (!hasStage(instance))
        return;
    const failure why { result_code::TargetFailed, "the link to stage " + instance + " closed" };
    if (m_phase == phase::Opening) {
        abandonOpening(instance, why);
        return;
    }
    if (m_phase == phase::Running) {
        m_excluded.insert(instance);
        fenceAll(why, now);
    }
    if (m_phase == phase::Fencing && m_pendingInstances.erase(instance) > 0 && m_pendingInstances.empty())
        finishFencing(now);
}

void chain_run::token(const chain_token& token, steady_time now)
{
    const bool isNext
        = m_phase == phase::Running && token.generation == m_plan.generation && token.token == m_nextToken;
    if (!isNext)
        return; // of a fenced generation, or a duplicate
    ++m_nextToken;
    ++m_tokensDelivered;
    m_text += token.text;
    m_phaseDeadline = now + m_options.progressTimeout;
    m_effects.emplace_back(deliver_token { token.text });
    if (token.last || m_tokensDelivered >= m_request.maxTokens)
        finish({ result_code::Ok, "" }, token.finishReason);
}

void chain_run::callerGone(steady_time now)
{
    (void)now;
    if (m_phase != phase::Finished)
        finish({ result_code::Cancelled, "" });
}

void chain_run::tick(steady_time now)
{
    if (m_phase == phase::Finished || m_phase == phase::Idle)
        return;
    if (now >= m_request.deadline) {
        finish({ result_code::DeadlinePassed, "" });
        return;
    }
    if (now < m_phaseDeadline)
        return;
    if (m_phase == phase::Opening) {
        const instance_id unresponsive = *m_pendingInstances.begin();
        abandonOpening(unresponsive, { result_code::TargetStalled, "stage " + unresponsive + " did not open" });
        return;
    }
    if (m_phase == phase::Running) {
        fenceAll({ result_code::TargetStalled, "the chain made no progress" }, now);
        return;
    }
    if (m_phase == phase::Fencing) {
        // Instances that did not confirm the fence are excluded. Steps and tokens that they may still send are dropped
        // by their generation.
        m_excluded.insert(m_pendingInstances.begin(), m_pendingInstances.end());
        finishFencing(now);
    }
}

std::optional<chain_effect> chain_run::nextEffect()
{
    if (m_effects.empty())
        return std::nullopt;
    chain_effect effect = std::move(m_effects.front());
    m_effects.pop_front();
    return effect;
}

steady_time chain_run::nextDeadline() const { return std::min(m_phaseDeadline, m_request.deadline); }

void chain_run::choose()
{
    m_phase = phase::Choosing;
    m_phaseDeadline = m_request.deadline;
    m_effects.emplace_back(choose_chain { m_excluded });
}

void chain_run::abandonOpening(const instance_id& failedInstance, const failure& why)
{
    m_lastFailure = why;
    m_excluded.insert(failedInstance);
    for (const auto& stage : m_plan.stages)
        m_effects.emplace_back(revoke_stage { stage, m_plan.generation });
    if (m_plan.generation >= m_options.maxGenerations) {
        finish(why);
        return;
    }
    choose();
}

void chain_run::fenceAll(const failure& why, steady_time now)
{
    m_lastFailure = why;
    if (m_plan.generation >= m_options.maxGenerations) {
        finish({ result_code::AnswerIncomplete, why.reason });
        return;
    }
    m_phase = phase::Fencing;
    m_phaseDeadline = now + m_options.fenceTimeout;
    m_pendingInstances.clear();
    for (const auto& stage : m_plan.stages) {
        m_pendingInstances.insert(stage.instance);
        m_effects.emplace_back(fence_stage { stage, m_plan.generation + 1 });
    }
}

void chain_run::finishFencing(steady_time now)
{
    (void)now;
    choose();
}

void chain_run::finish(failure result, const std::string& finishReason)
{
    m_phase = phase::Finished;
    for (const auto& stage : m_plan.stages)
        m_effects.emplace_back(close_stage { stage });
    m_effects.emplace_back(
        finish_chain { std::move(result), m_hasSentStep ? ran_state::Yes : ran_state::No, finishReason });
}

bool chain_run::hasStage(const instance_id& instance) const
{
    return std::any_of(m_plan.stages.begin(), m_plan.stages.end(),
        [&instance](const chain_stage& stage) { return stage.instance == instance; });
}

} // namespace buckthornrail::execution
