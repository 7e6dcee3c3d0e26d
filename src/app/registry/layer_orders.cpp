/// @file
/// @brief Giving orders for layers.
#include "app/registry/layer_orders.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// After the last new target, or a change of leader, for so long nothing is planned. Targets of a fresh system announce
/// themselves within about half a second of each other.
constexpr milliseconds settleTime { 500 };
/// Targets called at once, a connection each. A fresh system's 3,000 targets called together took three quarters of the
/// connections that a process may have; so many at a time are through in a tenth of a second.
constexpr std::ptrdiff_t mostCalls = 256;
/// A call to a target; a live one answers within a few milliseconds.
constexpr milliseconds callPatience { 800 };
/// An order that failed is tried again after so long.
constexpr milliseconds retryPause { 700 };
/// An order without effect for so long is given up and planned anew: ten layers load in 2 s, a whole accelerator in 7
/// s, and several loads at once share the weight store.
constexpr milliseconds orderPatience { 20000 };
/// Requests of usual size that a target should hold in memory beside its layers. A failure domain's whole traffic is
/// about 60 at once at the usual load, half as much again while another domain's chain is broken, and each is in every
/// target of its path: the target with the least room bounds them all.
constexpr double sequencesInMemory = 68;

std::string rangeText(const registry::layer_range& range)
{
    return std::to_string(range.first) + "-" + std::to_string(range.end);
}

/// What a target's accelerator must have room for at the least; no memory for an unknown one.
registry::memory_needs needsOf(const registry::target_record& record, const gateway::layered_engine& engine)
{
    const double tokens = sequencesInMemory * (engine.usualPromptTokens + engine.usualAnswerTokens);
    const double tokenBytesPerLayer = engine.tokenBytes / std::max(engine.layers, 1U);
    for (const auto& kind : engine.kinds) {
        if (kind.name == record.accelerator)
            return { kind.memoryMb, engine.layerMb, tokenBytesPerLayer, tokens };
    }
    return { 0, engine.layerMb, tokenBytesPerLayer, tokens };
}

} // namespace

layer_orders::layer_orders(link::event_loop& loop, const gateway::control_dialect& dialect, target_rests& rests)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_rests(rests)
{
}

void layer_orders::begin(std::uint64_t fence, steady_time now)
{
    m_active = true;
    m_isPlanDue = true;
    m_fence = fence;
    m_settledAt = now + settleTime;
}

void layer_orders::end()
{
    m_active = false;
    for (auto& [id, order] : m_open) {
        if (order.call)
            order.call->cancel();
    }
    m_open.clear();
}

void layer_orders::step(const registry::target_table& targets, const std::vector<gateway::service>& services,
    std::uint64_t version, steady_time now)
{
    if (!m_active)
        return;
    if (targets.records().size() > m_knownTargets)
        m_settledAt = std::max(m_settledAt, now + settleTime);
    m_knownTargets = targets.records().size();
    settle(targets, now);
    if (now < m_settledAt)
        return;
    const plan_basis basis { targets.revision(), version };
    if (m_isPlanDue || basis != m_planned) {
        m_planned = basis;
        m_isPlanDue = false;
        for (const auto& service : services) {
            if (service.engine && service.engine->layers > 0 && plan(targets, service, now))
                m_isPlanDue = true;
        }
    }
    proceed(targets, now);
}

void layer_orders::proceed(const registry::target_table& targets, steady_time now)
{
    auto calls = std::count_if(m_open.begin(), m_open.end(), [](const auto& item) { return item.second.call; });
    for (auto& [id, order] : m_open) {
        if (calls >= mostCalls)
            return;
        const auto* record = targets.find(id);
        if (record == nullptr || order.isSent || order.call || now < order.nextTry)
            continue;
        if (m_rests.isResting(order.target, now))
            continue;
        ask(*record, order, now);
        ++calls;
    }
}

void layer_orders::settle(const registry::target_table& targets, steady_time now)
{
    std::erase_if(m_open, [&](auto& item) {
        auto& order = item.second;
        const auto* record = targets.find(item.first);
        const bool isGone = record == nullptr || record->state != registry::target_state::Ready
            || record->incarnation() != order.target;
        const bool isDone = !isGone && order.isSent && record->layers == order.layers;
        if (!isGone && !isDone && now < order.deadline)
            return false;
        telemetry::logEvent(event_code::LayersSettled,
            { { "target", text(order.target) }, { "layers", rangeText(order.layers) },
                { "outcome",
                    isDone       ? "held"
                        : isGone ? "target_gone"
                                 : "given_up" } });
        if (order.call)
            order.call->cancel();
        m_isPlanDue = true;
        return true;
    });
}

bool layer_orders::plan(const registry::target_table& targets, const gateway::service& service, steady_time now)
{
    const auto& engine = *service.engine;
    const auto isPlanned = [&service](const registry::target_record& record) {
        return record.service == service.name && record.state == registry::target_state::Ready;
    };
    std::map<std::string, std::vector<registry::memory_needs>> domains;
    for (const auto& [id, record] : targets.records()) {
        if (isPlanned(record))
            domains[record.failureDomain].push_back(needsOf(record, engine));
    }
    std::map<std::string, double> comfortable;
    for (const auto& [domain, accelerators] : domains)
        comfortable[domain] = registry::comfortableTokens(accelerators, engine.layers);
    std::vector<registry::plan_target> candidates;
    for (const auto& [id, record] : targets.records()) {
        if (!isPlanned(record))
            continue;
        const auto open = m_open.find(id);
        const bool isSettled = open == m_open.end();
        auto needs = needsOf(record, engine);
        const std::uint32_t capacity = std::min(engine.layers, registry::layersThatFit(needs));
        needs.tokens = comfortable[record.failureDomain];
        const std::uint32_t most = std::min(capacity, registry::layersThatFit(needs));
        candidates.push_back(
            { id, record.failureDomain, capacity, most, isSettled ? record.layers : open->second.layers, isSettled });
    }
    const auto steps = registry::planLayers(candidates, service.engine->layers);
    for (const auto& step : steps)
        m_open[step.id] = { targets.find(step.id)->incarnation(), step.layers, now + orderPatience, now, step.isUrgent,
            false, nullptr };
    return !steps.empty();
}

void layer_orders::ask(const registry::target_record& record, open_order& order, steady_time now)
{
    order.call = net::http_call::start(m_loop, record.address, { m_dialect.writeReportRequest(record.id), {} },
        now + callPatience, [this, record](net::call_outcome outcome, const net::whole_response& response) {
            onReport(record, outcome, response);
        });
}

layer_orders::open_order* layer_orders::orderOf(const registry::target_record& record)
{
    const auto found = m_open.find(record.id);
    return found == m_open.end() || found->second.target != record.incarnation() ? nullptr : &found->second;
}

void layer_orders::onReport(
    const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response)
{
    auto* order = orderOf(record);
    if (order == nullptr)
        return;
    order->call = nullptr;
    order->nextTry = steadyNow() + retryPause;
    if (m_rests.heard(order->target, outcome, response, steadyNow()))
        return;
    if (outcome != net::call_outcome::Answered || response.head.status != 200) {
        telemetry::logEvent(event_code::ReportReceived,
            { { "target", record.id }, { "outcome", "none" }, { "status", std::to_string(response.head.status) } });
        return;
    }
    const auto report = m_dialect.readReport(response.body);
    if (!report) {
        telemetry::logEvent(event_code::ReportReceived,
            { { "target", record.id }, { "outcome", "unreadable" }, { "reason", report.error().reason } });
        return;
    }
    if (report->startedMs != 0 && report->startedMs != record.startedMs)
        return; // another life answers, which hasn't announced itself here yet
    if (report->isBusy)
        return; // an order is being carried out, perhaps an earlier leader's: its end is waited for
    if (report->layers == order->layers) {
        order->isSent = true;
        return;
    }
    give(record, *report);
}

void layer_orders::give(const registry::target_record& record, const gateway::target_report& report)
{
    auto& order = m_open.at(record.id);
    telemetry::logEvent(event_code::LayersOrdered,
        { { "target", text(record.incarnation()) }, { "layers", rangeText(order.layers) },
            { "held", rangeText(report.layers) }, { "fence", std::to_string(m_fence) },
            { "revision", std::to_string(report.revision) } });
    const auto [head, body]
        = m_dialect.writeOrder({ record.id, order.layers, m_fence, report.revision, order.isUrgent });
    order.call = net::http_call::start(m_loop, record.address, { head, body }, steadyNow() + callPatience,
        [this, record](
            net::call_outcome outcome, const net::whole_response& response) { onTaken(record, outcome, response); });
}

void layer_orders::onTaken(
    const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response)
{
    auto* open = orderOf(record);
    if (open == nullptr)
        return;
    auto& order = *open;
    order.call = nullptr;
    order.nextTry = steadyNow() + retryPause;
    (void)m_rests.heard(order.target, outcome, response, steadyNow());
    const bool isTaken = outcome == net::call_outcome::Answered && response.head.status < 300;
    // Without an answer the order may have been taken; the next report tells, and its count guards against a second
    // one.
    order.isSent = isTaken;
    if (isTaken)
        return;
    telemetry::logEvent(event_code::LayersSettled,
        { { "target", record.id }, { "layers", rangeText(order.layers) }, { "outcome", "not_taken" },
            { "status", std::to_string(response.head.status) } });
}

} // namespace buckthornrail::app
