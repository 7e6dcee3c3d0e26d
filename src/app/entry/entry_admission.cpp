/// @file
/// @brief Admission of requests at an entry: parameters from the active configuration, and the draw of a version.
#include "app/entry/entry.hpp"

namespace buckthornrail::app {

void entry::submit(const caller_request& request, std::shared_ptr<response_queue> queue)
{
    run_context context;
    context.request = request;
    context.queue = std::move(queue);
    context.startedAt = steadyNow();
    auto admission = admitRequest(request);
    if (!admission) {
        refuse(context, admission.error());
        return;
    }
    applyAdmission(context, std::move(*admission));
    const auto query = makeQuery(context, context.startedAt);
    const bool isSplit = !request.pipeline.empty() && !m_routes.hasUnsplitTarget(query, context.startedAt)
        && !m_routes.stageCandidates(query, context.startedAt).empty();
    if (isSplit && context.admission.nonIdempotent) {
        refuse(context,
            { result_code::BadHeader,
                "a pipeline whose model is split into stages does not support non-idempotent requests" });
        return;
    }
    ++m_inFlight[request.workspace];
    m_retryBudgets[request.workspace].countRequest();
    if (isSplit)
        startChain(std::move(context));
    else
        startRun(std::move(context));
}

tl::expected<admission_result, failure> entry::admitRequest(const caller_request& request) const
{
    if (m_refusesRequests || m_drainedByOperator)
        return tl::make_unexpected(failure { result_code::ShuttingDown, "" });
    if (!m_session->hasLease())
        return tl::make_unexpected(failure { result_code::NoConfiguration, "" });
    const auto inFlight = m_inFlight.find(request.workspace);
    return admit(m_session->configuration().current(), request, inFlight == m_inFlight.end() ? 0 : inFlight->second);
}

void entry::applyAdmission(run_context& context, admission_result admission)
{
    context.admission = std::move(admission);
    context.version = drawVersion(context.admission.versions, m_routes.readyVersions(context.admission.model),
        [this](std::uint32_t below) { return std::uniform_int_distribution<std::uint32_t>(0, below - 1)(m_random); });
}

tl::expected<void, failure> entry::readmit(run_context& context)
{
    constexpr std::uint32_t othersInFlight = 0; // already counted in flight: the limit is not checked again
    auto admission = admit(m_session->configuration().current(), context.request, othersInFlight);
    if (!admission)
        return tl::make_unexpected(admission.error());
    applyAdmission(context, std::move(*admission));
    return {};
}

void entry::refuse(const run_context& context, const failure& why)
{
    const std::string code(describe(why.code).name);
    telemetry::logEvent(
        event_code::RouteRefused, { { "request", context.request.id }, { "code", code }, { "reason", why.reason } });
    m_metrics.count("requests_total", code);
    context.queue->push(final_result { why, ran_state::No, "" });
}

} // namespace buckthornrail::app
