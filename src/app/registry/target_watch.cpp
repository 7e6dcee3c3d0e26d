/// @file
/// @brief Leases and probes of targets.
#include "app/registry/target_watch.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Missed heartbeats after which a target is probed; heartbeats may arrive seconds late.
constexpr int maxMissedHeartbeats = 3;
constexpr milliseconds heartbeatTolerance { 400 };
/// A target that doesn't respond to a probe within this time counts as lost. Probing as soon as a gateway reports the
/// target as unreachable saves up to four seconds compared with waiting for missed heartbeats.
constexpr milliseconds probeTimeout { 300 };
/// Each probe uses a connection; this is a quarter of the connections that a process may open. The loss of a failure
/// domain with 3,000 targets is detected within a second.
constexpr std::size_t maxConcurrentProbes = 1024;

} // namespace

target_watch::target_watch(link::event_loop& loop, const gateway::control_dialect& dialect,
    const registry::target_table& targets, target_backoffs& backoffs, milliseconds heartbeatPeriod,
    target_watch_callbacks callbacks)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_targets(targets)
    , m_backoffs(backoffs)
    , m_heartbeatPeriod(heartbeatPeriod)
    , m_callbacks(std::move(callbacks))
{
}

steady_time target_watch::nextLeaseDeadline() const
{
    return steadyNow() + m_heartbeatPeriod * maxMissedHeartbeats + heartbeatTolerance;
}

bool target_watch::onAnnouncement(const std::string& targetId, const registry::announcement_order& order)
{
    if (!m_callbacks.isLeader() && !m_callbacks.forwardToLeader({ targetId, order.startedMs, order.sequence }))
        return false;
    const auto* known = m_targets.find(targetId);
    if (known != nullptr && order.startedMs < known->startedMs)
        return true; // from an earlier incarnation: it doesn't renew the lease of the known one
    auto& newest = m_newestAnnouncements[targetId];
    if (order >= newest) {
        newest = order;
        m_leases.renew(targetId, nextLeaseDeadline());
    }
    return true;
}

void target_watch::probeUnreachable(const registry::target_incarnation& target)
{
    const auto* record = m_targets.find(target.id);
    const bool isReady
        = record != nullptr && record->incarnation() == target && record->state == registry::target_state::Ready;
    if (m_callbacks.isLeader() && isReady && !m_probes.contains(target)
        && !m_backoffs.isBackingOff(target, steadyNow()))
        probe(*record);
}

void target_watch::verifyEarlierStart(
    const registry::target_record& record, std::function<void(const registry::target_record&)> onAlive)
{
    const auto target = record.incarnation();
    if (m_verifications.contains(target) || m_backoffs.isBackingOff(target, steadyNow()))
        return;
    m_verifications[target] = net::http_call::start(m_loop, record.address,
        { m_dialect.writeReportRequest(record.id), {} }, steadyNow() + probeTimeout,
        [this, record, target, onAlive = std::move(onAlive)](
            net::call_outcome outcome, const net::whole_response& response) {
            const auto ended = m_verifications.extract(target);
            (void)m_backoffs.recordResponse(target, outcome, response, steadyNow());
            const bool isAlive = isResponseFrom(target, outcome, response);
            telemetry::logEvent(event_code::ReportReceived,
                { { "target", text(target) },
                    { "reason", "announced start is earlier than that of the ended incarnation" },
                    { "outcome", isAlive ? "answered" : "none" } });
            if (isAlive)
                onAlive(record);
        });
}

void target_watch::resetLeases()
{
    m_leases.clear();
    m_leasedRevision.reset();
}

void target_watch::startNewLeases()
{
    if (m_leasedRevision == m_targets.revision())
        return;
    m_leasedRevision = m_targets.revision();
    for (const auto& [id, record] : m_targets.records()) {
        // A new leader has received no announcements yet, so each target gets a full lease.
        if (!registry::isGoneOrLost(record))
            m_leases.start(id, nextLeaseDeadline());
    }
    std::erase_if(m_newestAnnouncements, [this](const auto& item) { return m_targets.find(item.first) == nullptr; });
}

void target_watch::probeExpired(steady_time now)
{
    startNewLeases();
    if (m_probes.size() >= maxConcurrentProbes)
        return;
    for (const auto& id : m_leases.takeExpired(now, maxConcurrentProbes - m_probes.size())) {
        const auto* record = m_targets.find(id);
        if (record == nullptr || registry::isGoneOrLost(*record))
            continue;
        // The announcements may be lost rather than the target, so it is probed before it counts as lost.
        if (m_backoffs.isBackingOff(record->incarnation(), now))
            m_leases.renew(id, nextLeaseDeadline());
        else if (!m_probes.contains(record->incarnation()))
            probe(*record);
    }
}

void target_watch::probe(const registry::target_record& record)
{
    const auto target = record.incarnation();
    m_probes[target] = net::http_call::start(m_loop, record.address, { m_dialect.writeReportRequest(record.id), {} },
        steadyNow() + probeTimeout, [this, target](net::call_outcome outcome, const net::whole_response& response) {
            onProbed(target, outcome, response);
        });
}

bool target_watch::isResponseFrom(
    const registry::target_incarnation& probed, net::call_outcome outcome, const net::whole_response& response) const
{
    if (outcome != net::call_outcome::Responded || response.head.status != 200)
        return false;
    const auto report = m_dialect.readReport(response.body);
    // An unreadable report still shows that the target is alive; one with another start is from another incarnation.
    return !report || report->startedMs == 0 || report->startedMs == probed.startedMs;
}

void target_watch::onProbed(
    const registry::target_incarnation& probed, net::call_outcome outcome, const net::whole_response& response)
{
    const auto ended = m_probes.extract(probed);
    const bool requestsBackoff = m_backoffs.recordResponse(probed, outcome, response, steadyNow());
    const bool isAlive = requestsBackoff || isResponseFrom(probed, outcome, response);
    telemetry::logEvent(event_code::ReportReceived,
        { { "target", text(probed) }, { "outcome", isAlive ? "answered" : "none" },
            { "status", std::to_string(response.head.status) } });
    const auto* record = m_targets.find(probed.id);
    if (record == nullptr || record->incarnation() != probed)
        return; // the response doesn't apply to the incarnation that is known by now
    if (isAlive)
        m_leases.renew(probed.id, nextLeaseDeadline());
    else
        markLost(probed);
}

void target_watch::markLost(const registry::target_incarnation& target)
{
    const auto* record = m_targets.find(target.id);
    if (!m_callbacks.isLeader() || record == nullptr || registry::isGoneOrLost(*record))
        return;
    registry::target_record lost = *record;
    lost.state = registry::target_state::Lost;
    const auto& newest = m_newestAnnouncements[target.id];
    if (newest.startedMs == lost.startedMs)
        lost.sequence = std::max(record->sequence, newest.sequence);
    telemetry::logEvent(event_code::InstanceLost, { { "instance", text(target) }, { "address", record->address } },
        telemetry::severity::Warning);
    m_leases.renew(target.id, nextLeaseDeadline());
    m_callbacks.onLost(lost);
}

} // namespace buckthornrail::app
