/// @file
/// @brief Admission of requests to ranked services: the queue of a gateway and its calls.
#include "app/gateway/gateway.hpp"

#include "app/shared/admission_page.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Interval at which queued calls are tried again without a known cause: other gateways' attempts free capacity, which
/// this gateway learns of only from load reports.
constexpr milliseconds queuePollInterval { 25 };
/// Least time between two runs. Attempts end every few milliseconds, and a path search takes about as long as
/// forwarding ten events.
constexpr milliseconds minQueueInterval { 20 };
/// Maximum number of calls that leave a service's queue in one run, started or refused. Each may cost a path search,
/// and the event loop forwards streams only between runs.
constexpr std::size_t maxExitsPerRun = 8;
/// A request whose stated timeout is shorter than its route's by at least this is taken to have been refused before.
/// Smaller differences come from rounding and network latency.
constexpr milliseconds minWaitedBefore { 100 };

} // namespace

void gateway_call::addAdmission(gateway::exchange_request& request, const gateway::workspace_keys* workspace) const
{
    request.priority = m_context.priorities.priorityOf(request.service, *request.route, workspace);
    if (!request.priority)
        return;
    request.call = m_number;
    request.bytes = m_body.size();
    const auto waited = request.route->timeout - m_caller.timeout.value_or(request.route->timeout);
    if (waited >= minWaitedBefore)
        request.waitedBefore = waited;
}

void gateway_call::updateQueued()
{
    if (m_exchange && m_exchange->isQueued()) {
        m_context.queuedCalls[m_number] = this;
        m_queuedAt = m_queuedAt.value_or(steadyNow());
        m_context.callQueued();
        return;
    }
    m_context.queuedCalls.erase(m_number);
    const auto queuedAt = std::exchange(m_queuedAt, std::nullopt);
    if (queuedAt && m_exchange && !m_exchange->isOver())
        m_context.metrics.observeMs("admission_wait_ms", static_cast<double>(between(*queuedAt, steadyNow()).count()));
}

void gateway_call::countAdmissionRefusal()
{
    if (m_exchange && (m_exchange->returnAt() || m_exchange->hasNoReturnTime()))
        m_context.metrics.countBy(
            "admission_refused", "priority", std::to_string(m_exchange->request().priority.value_or(0)));
}

bool gateway_call::retryAdmission()
{
    const auto self = shared_from_this();
    const bool isDone = m_exchange->retryAdmission(steadyNow());
    updateQueued();
    return isDone;
}

void gateway_call::refuseQueued(gateway::queue_exit how)
{
    const auto self = shared_from_this();
    m_exchange->refuseQueued(how, steadyNow());
    updateQueued();
}

void gateway_call::documentChanged()
{
    const auto self = shared_from_this();
    if (!m_exchange || !m_exchange->isQueued())
        return;
    const auto& index = *m_context.document;
    const auto& request = m_exchange->request();
    const auto route = index.find(http1::valueOf(m_head.fields, "Host").value_or(""), m_head.target);
    const auto workspace = m_caller.key.empty() ? nullptr : index.findWorkspace(m_caller.key);
    const std::string workspaceName = workspace == nullptr ? "" : workspace->workspace;
    const bool isSame = route == request.route && workspaceName == m_workspace
        && m_context.priorities.priorityOf(request.service, *request.route, workspace.get()) == request.priority;
    if (isSame)
        return;
    m_exchange->withdraw(steadyNow());
    m_context.queuedCalls.erase(m_number);
    m_exchange.reset();
    m_workspace.clear();
    m_timer.cancel();
    this->route();
}

void gateway_role::updatePriorities()
{
    m_context.priorities = m_isAdmissionOn ? gateway::priority_table(*m_context.document) : gateway::priority_table();
    m_context.admission.setRankedServices(m_context.priorities.priorities(), steadyNow());
    updateCapacity();
    const auto queued = m_context.queuedCalls;
    for (const auto& [number, call] : queued) {
        if (m_context.queuedCalls.contains(number))
            call->documentChanged();
    }
}

void gateway_role::updateCapacity()
{
    if (!m_context.admission.isActive())
        return;
    for (const auto& [service, priorities] : m_context.priorities.priorities())
        m_context.admission.setCapacity(service, m_context.pool.memoryTokens(service));
}

admission_overview gateway_role::admissionOverview()
{
    const auto now = steadyNow();
    admission_overview overview;
    overview.isOn = m_isAdmissionOn;
    overview.othersAge = m_context.admission.othersAge(now);
    overview.states = m_context.admission.states(now);
    for (auto& entry : m_context.admission.queue().requests()) {
        const auto call = m_context.queuedCalls.find(entry.call);
        overview.queued.push_back(
            { call == m_context.queuedCalls.end() ? "" : call->second->requestId(), std::move(entry) });
    }
    return overview;
}

void gateway_role::onCallQueued()
{
    scheduleQueue(steadyNow() + queuePollInterval);
    m_session.sendHeartbeatWhileWaiting();
}

void gateway_role::scheduleQueue(steady_time when)
{
    when = std::max(when, m_earliestQueueRunAt);
    if (when >= m_nextQueueRunAt)
        return;
    m_nextQueueRunAt = when;
    m_queueTimer.set(when, [this] {
        m_nextQueueRunAt = steady_time::max();
        serveQueue();
    });
}

void gateway_role::serveQueue()
{
    const auto now = steadyNow();
    m_earliestQueueRunAt = now + minQueueInterval;
    refuseDisplaced();
    if (now >= m_context.confirmationDeadline) {
        for (const auto& service : m_context.admission.waitingServices())
            serveQueue(service);
    }
    if (!m_context.queuedCalls.empty())
        scheduleQueue(now + queuePollInterval);
}

void gateway_role::serveQueue(const std::string& service)
{
    for (std::size_t left = 0; left < maxExitsPerRun; ++left) {
        const auto candidates = m_context.admission.candidates(service, steadyNow());
        const bool hasLeftQueue = std::any_of(
            candidates.begin(), candidates.end(), [this](gateway::call_number number) { return tryQueued(number); });
        if (!hasLeftQueue)
            return; // no other queued request can start: at least as much capacity is reserved from it
    }
    scheduleQueue(steadyNow());
}

bool gateway_role::tryQueued(gateway::call_number number)
{
    const auto call = m_context.queuedCalls.find(number);
    if (call != m_context.queuedCalls.end())
        return call->second->retryAdmission();
    m_context.admission.remove(number);
    return true;
}

void gateway_role::refuseDisplaced()
{
    for (const auto number : m_context.admission.takeDisplaced()) {
        const auto call = m_context.queuedCalls.find(number);
        if (call != m_context.queuedCalls.end())
            call->second->refuseQueued(gateway::queue_exit::Displaced);
    }
}

void gateway_role::refuseAllQueued()
{
    const auto queued = m_context.queuedCalls;
    for (const auto& [number, call] : queued) {
        if (m_context.queuedCalls.contains(number))
            call->refuseQueued(gateway::queue_exit::ShuttingDown);
    }
}

} // namespace buckthornrail::app
