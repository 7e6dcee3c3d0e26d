/// @file
/// @brief Requests to models that are split over several targets: chains of stages.
#include "app/entry/entry.hpp"

namespace buckthornrail::app {
namespace {

constexpr milliseconds stageStartTimeout { 800 }; ///< for a sidecar to start its stage

} // namespace

void entry::startChain(run_context context)
{
    const auto& request = context.request;
    execution::chain_request runRequest { request.id, context.admission.model, context.version,
        context.admission.layerCount, request.prompt, request.maxTokens, request.deadline };
    execution::chain_run_options options;
    options.progressTimeout = milliseconds(m_settings.progressTimeoutMs);
    const std::string id = request.id;
    m_chains.emplace(id, active_chain { std::move(context), execution::chain_run(std::move(runRequest), options) });
    withChain(id, [](auto& run, steady_time now) { run.start(now); });
}

void entry::handleStage(link::link_number linkNumber, const link::message& message)
{
    if (const auto* fenced = std::get_if<link::stage_fenced>(&message)) {
        withChain(fenced->request, [&](auto& run, steady_time now) {
            run.stageFenced(m_links->instanceOf(linkNumber), fenced->generation, now);
        });
    } else if (const auto* token = std::get_if<link::stage_token>(&message)) {
        withChain(token->request, [&](auto& run, steady_time now) {
            run.token({ token->generation, token->token, token->text, token->last, token->finishReason }, now);
        });
    } else if (const auto* failed = std::get_if<link::stage_failed>(&message)) {
        recordDecision(failed->request,
            "stage " + std::to_string(failed->stage) + " of generation " + std::to_string(failed->generation)
                + " failed: " + failed->reason);
        withChain(failed->request, [&](auto& run, steady_time now) {
            if (failed->generation == run.generation() && failed->stage < run.plan().stages.size())
                m_routes.attemptFailed(run.plan().stages[failed->stage].instance, now);
            run.stageFailed(failed->generation, failed->stage, { failed->code, failed->reason }, now);
        });
    }
}

void entry::applyEffect(active_chain& active, const execution::chain_effect& effect)
{
    auto& context = active.context;
    const std::string& id = context.request.id;
    if (const auto* choose = std::get_if<execution::choose_chain>(&effect)) {
        chooseChain(active, *choose);
    } else if (const auto* open = std::get_if<execution::open_stage>(&effect)) {
        const auto& stage = open->plan.stages[open->stage];
        m_routes.attemptOffered(stage.instance);
        active.stagesInFlight.push_back(stage.instance);
        auto offer = makeOffer(context, { id, open->plan.generation }, stage.incarnation, steadyNow());
        offer.startWithinMs
            = std::min<std::uint32_t>(offer.startWithinMs, static_cast<std::uint32_t>(stageStartTimeout.count()));
        offer.work.kind = dispatch::work_kind::Stage;
        offer.work.chain = open->plan;
        offer.work.stage = open->stage;
        offer.work.maxTokens = open->maxTokens;
        m_links->send(stage.instance, stage.linkAddress, offer);
    } else if (const auto* revoke = std::get_if<execution::revoke_stage>(&effect)) {
        m_links->send(revoke->stage.instance, revoke->stage.linkAddress,
            dispatch::attempt_revoke { { id, revoke->generation }, revoke->stage.incarnation, true });
    } else if (const auto* first = std::get_if<execution::send_first_step>(&effect)) {
        m_links->send(first->stage.instance, first->stage.linkAddress, first->step);
    } else if (const auto* fence = std::get_if<execution::fence_stage>(&effect)) {
        telemetry::logEvent(event_code::GenerationFenced,
            { { "request", id }, { "below", std::to_string(fence->generation) },
                { "instance", fence->stage.instance } });
        m_links->send(fence->stage.instance, fence->stage.linkAddress, link::stage_fence { id, fence->generation });
    } else if (const auto* close = std::get_if<execution::close_stage>(&effect)) {
        m_links->send(close->stage.instance, close->stage.linkAddress, link::stage_close { id });
    } else if (const auto* token = std::get_if<execution::deliver_token>(&effect)) {
        dispatch::response_frame frame;
        frame.attempt = { id, active.run.generation() };
        frame.bytes = token->text;
        deliverFrame(context, std::move(frame));
    } else if (const auto* last = std::get_if<execution::finish_chain>(&effect)) {
        releaseStages(active);
        finish(context, last->result, last->ran, last->finishReason);
    }
}

void entry::releaseStages(active_chain& active)
{
    for (const auto& instance : std::exchange(active.stagesInFlight, {}))
        m_routes.attemptReleased(instance);
}

void entry::chooseChain(active_chain& active, const execution::choose_chain& effect)
{
    auto& context = active.context;
    const steady_time now = steadyNow();
    auto query = makeQuery(context, now);
    query.excluded = effect.excluded;
    releaseStages(active);
    const auto candidates = m_routes.stageCandidates(query, now);
    auto chain = execution::buildChain(candidates, context.admission.layerCount);
    if (!chain) {
        telemetry::logEvent(
            event_code::RouteRefused, { { "request", context.request.id }, { "reason", chain.error().reason } });
        recordDecision(context.request.id, "no chain: " + chain.error().reason);
        active.run.noChain(chain.error());
        return;
    }
    std::string stages;
    for (const auto& stage : *chain) {
        stages += (stages.empty() ? "" : ",") + stage.instance + "[" + std::to_string(stage.firstLayer) + "-"
            + std::to_string(stage.endLayer) + ")";
    }
    telemetry::logEvent(event_code::ChainBuilt,
        { { "request", context.request.id }, { "generation", std::to_string(active.run.generation() + 1) },
            { "candidates", std::to_string(candidates.size()) }, { "stages", stages },
            { "reason", "lowest_estimate" } });
    recordDecision(context.request.id, "generation " + std::to_string(active.run.generation() + 1) + ": " + stages);
    active.run.chainBuilt(std::move(*chain), now);
}

} // namespace buckthornrail::app
