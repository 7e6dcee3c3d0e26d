/// @file
/// @brief Stages of split models: opens them, runs their steps and forwards the results.
#include "app/sidecar/sidecar.hpp"

namespace buckthornrail::app {
namespace {

constexpr milliseconds stepTimeout { 3000 }; ///< shorter than an entry's timeout for a chain

} // namespace

void sidecar::onStep(const execution::stage_step& step)
{
    const auto verdict = m_guard.admit(step);
    if (verdict != execution::step_verdict::Run) {
        m_metrics.count("steps_dropped_total", std::string(nameOf(verdict)));
        return;
    }
    const auto open = m_stageAttempts.find(step.request);
    const auto* plan = m_guard.planOf(step.request);
    if (open == m_stageAttempts.end() || plan == nullptr)
        return;
    if (const auto* work = m_core.workOf(open->second))
        runStep(step, *plan, work->maxTokens);
}

void sidecar::onFence(link::link_number linkNumber, const link::stage_fence& fence)
{
    m_guard.fence(fence.request, fence.generation, steadyNow() + m_core.gate().options().recordRetention);
    endStage(fence.request);
    telemetry::logEvent(
        event_code::GenerationFenced, { { "request", fence.request }, { "below", std::to_string(fence.generation) } });
    send(linkNumber, link::stage_fenced { fence.request, fence.generation });
}

void sidecar::onStageClose(const std::string& request)
{
    m_guard.close(request);
    endStage(request);
    asio::post(m_pool, [this, request] { m_targetAdapter->closeStage(request); });
}

void sidecar::startStage(const dispatch::start_work& work)
{
    const std::string& request = work.attempt.request;
    const auto opened = m_guard.open(
        request, work.work.chain, work.work.stage, ownStage(), work.deadline + m_core.gate().options().recordRetention);
    if (!opened) {
        m_core.notStarted(work.attempt, opened.error(), steadyNow());
        return;
    }
    endStage(request); // frees the slot of an older generation's stage
    m_stageAttempts[request] = work.attempt;
    m_core.stageOpened(work.attempt);
}

void sidecar::endStage(const std::string& request)
{
    const auto found = m_stageAttempts.find(request);
    if (found == m_stageAttempts.end())
        return;
    const attempt_id attempt = found->second;
    m_stageAttempts.erase(found);
    m_core.stageClosed(attempt, steadyNow());
}

void sidecar::runStep(const execution::stage_step& step, const execution::chain_plan& plan, std::uint32_t maxTokens)
{
    step_order order;
    order.step = step;
    order.firstLayer = m_settings.firstLayer;
    order.endLayer = m_settings.endLayer;
    order.isLastStage = step.stage + 1 == plan.stages.size();
    order.maxTokens = maxTokens;
    asio::post(m_pool, [this, order] {
        const auto outcome = m_targetAdapter->runStep(order, steadyNow() + stepTimeout);
        m_loop.post([this, step = order.step, outcome] { onStepEnded(step, outcome); });
    });
}

void sidecar::onStepEnded(const execution::stage_step& step, const step_outcome& outcome)
{
    const auto* plan = m_guard.planOf(step.request);
    if (plan == nullptr || plan->generation != step.generation)
        return; // fenced or closed while the target ran the step
    if (outcome.code != result_code::Ok) {
        sendToEntry(step.request, step.generation,
            link::stage_failed { step.request, step.generation, step.stage, outcome.code, outcome.reason });
        return;
    }
    if (step.stage + 1 < plan->stages.size()) {
        forwardStep({ step.request, step.generation, step.token, step.stage + 1, outcome.output },
            plan->stages[step.stage + 1]);
        return;
    }
    sendToEntry(step.request, step.generation,
        link::stage_token {
            step.request, step.generation, step.token, outcome.output, outcome.last, outcome.finishReason });
    if (!outcome.last)
        forwardStep({ step.request, step.generation, step.token + 1, 0, outcome.output }, plan->stages.front());
}

void sidecar::forwardStep(const execution::stage_step& step, const execution::chain_stage& stage)
{
    if (stage.instance == m_settings.id) {
        onStep(step);
        return;
    }
    auto& linkNumber = m_stageLinks[stage.linkAddress];
    if (linkNumber == 0)
        linkNumber = m_hub->dial(stage.linkAddress);
    const std::string bytes = link::encode(step);
    if (!m_hub->send(linkNumber, bytes))
        m_unsent[linkNumber].push_back(bytes);
}

void sidecar::sendToEntry(const std::string& request, std::uint32_t generation, const link::message& message)
{
    send(m_core.gate().linkNumberOf({ request, generation }), message);
}

execution::chain_stage sidecar::ownStage() const
{
    return { m_settings.id, m_settings.reachableAddress(), m_incarnation, m_settings.version, m_settings.firstLayer,
        m_settings.endLayer };
}

} // namespace buckthornrail::app
