/// @file
/// @brief Plans layers and sends the orders.
#include "app/registry/layer_orders.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Planning waits this long after the last new target or a change of leader. The targets of a new system announce
/// themselves within about half a second of each other.
constexpr milliseconds settleDelay { 500 };
/// Each call uses a connection. Calling the 3,000 targets of a new system all at once took three quarters of the
/// connections that a process may open; a batch of this size completes in a tenth of a second.
constexpr std::ptrdiff_t maxConcurrentCalls = 256;
/// Timeout of a call to a target; a live target responds within a few milliseconds.
constexpr milliseconds callTimeout { 800 };
/// Delay before the next attempt to send an order.
constexpr milliseconds retryDelay { 700 };
/// An order that isn't completed in this time is given up and planned anew. Ten layers load in 2 s and a whole
/// accelerator in 7 s, but concurrent loads share the bandwidth of the weight store.
constexpr milliseconds orderTimeout { 20000 };
/// Concurrent requests of usual size that a target should have memory for beside its layers. A failure domain runs
/// about 60 at the usual load, and half as many more while the chain of another domain is broken. Each request occupies
/// every target of its path, so the target with the least free memory limits them all.
constexpr double sequencesPerTarget = 68;

std::string rangeText(const registry::layer_range& range)
{
    return std::to_string(range.first) + "-" + std::to_string(range.end);
}

/// Memory of a target's accelerator, 0 for an unknown one, and what layers and the minimum number of tokens take of it.
registry::memory_requirements needsOf(const registry::target_record& record, const gateway::layered_engine& engine)
{
    const double tokens = sequencesPerTarget * (engine.usualPromptTokens + engine.usualOutputTokens);
    const double tokenBytesPerLayer = engine.tokenBytes / std::max(engine.layers, 1U);
    for (const auto& kind : engine.kinds) {
        if (kind.name == record.accelerator)
            return { kind.memoryMb, engine.layerMb, tokenBytesPerLayer, tokens };
    }
    return { 0, engine.layerMb, tokenBytesPerLayer, tokens };
}

} // namespace

layer_orders::layer_orders(link::event_loop& loop, const gateway::control_dialect& dialect, target_backoffs& backoffs)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_backoffs(backoffs)
{
}

void layer_orders::startLeading(std::uint64_t fence, steady_time now)
{
    m_isLeading = true;
    m_isPlanDue = true;
    m_fence = fence;
    m_planNotBefore = now + settleDelay;
}

void layer_orders::stopLeading()
{
    m_isLeading = false;
    for (auto& [id, order] : m_openOrders) {
        if (order.call)
            order.call->cancel();
    }
    m_openOrders.clear();
}

void layer_orders::update(const registry::target_table& targets, const std::vector<gateway::service>& services,
    std::uint64_t version, steady_time now)
{
    if (!m_isLeading)
        return;
    if (targets.records().size() > m_knownTargetCount)
        m_planNotBefore = std::max(m_planNotBefore, now + settleDelay);
    m_knownTargetCount = targets.records().size();
    closeFinishedOrders(targets, now);
    if (now < m_planNotBefore)
        return;
    const plan_inputs inputs { targets.revision(), version };
    if (m_isPlanDue || inputs != m_plannedInputs) {
        m_plannedInputs = inputs;
        m_isPlanDue = false;
        for (const auto& service : services) {
            if (service.engine && service.engine->layers > 0 && planService(targets, service, now))
                m_isPlanDue = true;
        }
    }
    startCalls(targets, now);
}

void layer_orders::startCalls(const registry::target_table& targets, steady_time now)
{
    auto calls
        = std::count_if(m_openOrders.begin(), m_openOrders.end(), [](const auto& item) { return item.second.call; });
    for (auto& [id, order] : m_openOrders) {
        if (calls >= maxConcurrentCalls)
            return;
        const auto* record = targets.find(id);
        if (record == nullptr || order.isAccepted || order.call || now < order.nextAttemptAt)
            continue;
        if (m_backoffs.isBackingOff(order.target, now))
            continue;
        requestReport(*record, order, now);
        ++calls;
    }
}

void layer_orders::closeFinishedOrders(const registry::target_table& targets, steady_time now)
{
    std::erase_if(m_openOrders, [&](auto& item) {
        auto& order = item.second;
        const auto* record = targets.find(item.first);
        const bool isGone = record == nullptr || record->state != registry::target_state::Ready
            || record->incarnation() != order.target;
        const bool isDone = !isGone && order.isAccepted && record->layers == order.layers;
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

bool layer_orders::planService(const registry::target_table& targets, const gateway::service& service, steady_time now)
{
    const auto& engine = *service.engine;
    const auto isPlanned = [&service](const registry::target_record& record) {
        return record.service == service.name && record.state == registry::target_state::Ready;
    };
    std::map<std::string, std::vector<registry::memory_requirements>> domains;
    for (const auto& [id, record] : targets.records()) {
        if (isPlanned(record))
            domains[record.failureDomain].push_back(needsOf(record, engine));
    }
    std::map<std::string, double> preferredTokens;
    for (const auto& [domain, accelerators] : domains)
        preferredTokens[domain] = registry::preferredTokens(accelerators, engine.layers);
    std::vector<registry::plan_target> candidates;
    for (const auto& [id, record] : targets.records()) {
        if (!isPlanned(record))
            continue;
        const auto open = m_openOrders.find(id);
        const bool canTakeOrder = open == m_openOrders.end();
        auto needs = needsOf(record, engine);
        const std::uint32_t capacity = std::min(engine.layers, registry::layersThatFit(needs));
        needs.tokens = preferredTokens[record.failureDomain];
        const std::uint32_t preferredLayers = std::min(capacity, registry::layersThatFit(needs));
        candidates.push_back({ id, record.failureDomain, capacity, preferredLayers,
            canTakeOrder ? record.layers : open->second.layers, canTakeOrder });
    }
    const auto assignments = registry::planLayers(candidates, service.engine->layers);
    for (const auto& assignment : assignments)
        m_openOrders[assignment.id] = { targets.find(assignment.id)->incarnation(), assignment.layers,
            now + orderTimeout, now, assignment.isUrgent, false, nullptr };
    return !assignments.empty();
}

void layer_orders::requestReport(const registry::target_record& record, open_order& order, steady_time now)
{
    order.call = net::http_call::start(m_loop, record.address, { m_dialect.writeReportRequest(record.id), {} },
        now + callTimeout, [this, record](net::call_outcome outcome, const net::whole_response& response) {
            onReport(record, outcome, response);
        });
}

layer_orders::open_order* layer_orders::findOrder(const registry::target_record& record)
{
    const auto found = m_openOrders.find(record.id);
    return found == m_openOrders.end() || found->second.target != record.incarnation() ? nullptr : &found->second;
}

void layer_orders::onReport(
    const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response)
{
    auto* order = findOrder(record);
    if (order == nullptr)
        return;
    order->call = nullptr;
    order->nextAttemptAt = steadyNow() + retryDelay;
    if (m_backoffs.recordResponse(order->target, outcome, response, steadyNow()))
        return;
    if (outcome != net::call_outcome::Responded || response.head.status != 200) {
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
        return; // from another incarnation, which hasn't announced itself here yet
    if (report->isBusy)
        return; // wait until the current order, perhaps one of an earlier leader, is completed
    if (report->layers == order->layers) {
        order->isAccepted = true;
        return;
    }
    sendOrder(record, *report);
}

void layer_orders::sendOrder(const registry::target_record& record, const gateway::target_report& report)
{
    auto& order = m_openOrders.at(record.id);
    telemetry::logEvent(event_code::LayersOrdered,
        { { "target", text(record.incarnation()) }, { "layers", rangeText(order.layers) },
            { "held", rangeText(report.layers) }, { "fence", std::to_string(m_fence) },
            { "revision", std::to_string(report.revision) } });
    const auto [head, body]
        = m_dialect.writeOrder({ record.id, order.layers, m_fence, report.revision, order.isUrgent });
    order.call = net::http_call::start(m_loop, record.address, { head, body }, steadyNow() + callTimeout,
        [this, record](net::call_outcome outcome, const net::whole_response& response) {
            onOrderResponse(record, outcome, response);
        });
}

void layer_orders::onOrderResponse(
    const registry::target_record& record, net::call_outcome outcome, const net::whole_response& response)
{
    auto* found = findOrder(record);
    if (found == nullptr)
        return;
    auto& order = *found;
    order.call = nullptr;
    order.nextAttemptAt = steadyNow() + retryDelay;
    (void)m_backoffs.recordResponse(order.target, outcome, response, steadyNow());
    const bool wasAccepted = outcome == net::call_outcome::Responded && response.head.status < 300;
    // Without a response the order may still have been accepted. The next report shows that, and the expected revision
    // keeps the target from accepting it twice.
    order.isAccepted = wasAccepted;
    if (wasAccepted)
        return;
    telemetry::logEvent(event_code::LayersSettled,
        { { "target", record.id }, { "layers", rangeText(order.layers) }, { "outcome", "not_taken" },
            { "status", std::to_string(response.head.status) } });
}

} // namespace buckthornrail::app
