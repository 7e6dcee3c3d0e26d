/// @file
/// @brief Gateway sessions of the registry: heartbeats, confirmation by a quorum, pushed updates.
#include "app/registry/registry.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::app {
namespace {

/// Period of quorum rounds. One round confirms the responses to all heartbeats that arrived since the last.
constexpr milliseconds confirmPeriod { 100 };
constexpr milliseconds confirmTimeout { 800 };
/// A session without heartbeats for this long is closed.
constexpr milliseconds sessionLifetime { 2000 };

/// Period of notices to gateways while a quorum round is open. Gateways leave a controller that is silent for 0.9 s,
/// although it may only be waiting for members that are receiving a long entry.
constexpr milliseconds noticePeriod { 300 };
/// Period of reports to the leader. It delays the loads that gateways report to those with sessions at other
/// controllers by half a period on average, in addition to the 300 ms between heartbeats.
constexpr milliseconds reportPeriod { 100 };
/// Unreachable and leaving targets, of each kind, that are stored while no leader is reachable: as many as a lost
/// failure domain has targets. Expired leases reveal the others.
constexpr std::size_t maxPendingReports = 1000;
/// Least time between pushes of the target table: 3,000 targets that announce themselves within a second would
/// otherwise cause as many updates for each gateway. A single change is pushed at once.
constexpr milliseconds tablePushPeriod { 50 };

} // namespace

void registry_role::onHeartbeat(link::link_number linkNumber, const link::gateway_heartbeat& heartbeat)
{
    auto& gatewaySession = m_sessions[linkNumber];
    if (gatewaySession.instance.empty()) {
        telemetry::logEvent(event_code::SessionOpened, { { "gateway", heartbeat.instance } });
        gatewaySession.quarantineRevision = heartbeat.quarantineRevision;
    }
    gatewaySession.instance = heartbeat.instance;
    gatewaySession.acceptsSlices = heartbeat.sliceVersion.has_value();
    // Updates arrive in order over this link, so a heartbeat that crossed one on the way names an older version than
    // the gateway will hold.
    gatewaySession.documentVersion
        = std::max(gatewaySession.documentVersion, heartbeat.sliceVersion.value_or(heartbeat.documentVersion));
    gatewaySession.targetRevision = std::max(gatewaySession.targetRevision, heartbeat.targetRevision);
    const registry::gateway_usage usage { heartbeat.instance, heartbeat.life, heartbeat.repeats,
        heartbeat.isRepeatsComplete };
    m_gatewaySessions.recordHeartbeat(linkNumber,
        { usage, heartbeat.openAttempts, heartbeat.targetRevision, heartbeat.loads, heartbeat.demand },
        m_state.targets(), steadyNow());
    m_limits.merge(heartbeat.limits, registry::limit_source::Downstream, m_state.targets(), steadyNow());
    gatewaySession.pendingSequence = heartbeat.sequence;
    gatewaySession.deadline = steadyNow() + sessionLifetime;
    queueQuarantineChanges(linkNumber, gatewaySession, heartbeat);
    for (const auto& target : heartbeat.darkTargets) {
        if (m_log->isLeader())
            m_watch.probeUnreachable(target);
        else if (m_pendingReport.darkTargets.size() < maxPendingReports)
            m_pendingReport.darkTargets.push_back(target);
    }
    auto& leaving = m_pendingReport.leavingTargets;
    if (m_log->isLeader())
        markDraining(heartbeat.leavingTargets);
    else if (leaving.size() < maxPendingReports) // the gateway reports those left out again in its next heartbeat
        leaving.insert(leaving.end(), heartbeat.leavingTargets.begin(), heartbeat.leavingTargets.end());
    if (!m_pendingReport.darkTargets.empty() || !m_pendingReport.leavingTargets.empty())
        m_nextReportAt = {}; // so a lost target is known everywhere 0.3 s after the first gateway detects it
    if (m_log->reachesLeader())
        return; // the response follows the next confirmation
    gatewaySession.isConfirmed = false;
    link::gateway_update update;
    update.sequence = heartbeat.sequence;
    m_hub->send(linkNumber, link::encode(link::message(update)));
}

void registry_role::onReport(link::link_number linkNumber, const link::member_report& report)
{
    if (!m_log->isLeader())
        return; // the next report goes to the new leader
    for (const auto& target : report.heard)
        m_watch.onAnnouncement(target.id, { target.startedMs, target.sequence });
    for (const auto& target : report.darkTargets)
        m_watch.probeUnreachable(target);
    markDraining(report.leavingTargets);
    m_limits.merge(report.limits, registry::limit_source::Downstream, m_state.targets(), steadyNow());
    auto response = m_gatewaySessions.respondTo(linkNumber, report.sessions, m_state.targets(), steadyNow());
    auto& sentRevision = m_memberLimitsSent[linkNumber];
    response.limits = m_limits.changesSince(std::exchange(sentRevision, m_limits.revision()), steadyNow());
    m_hub->send(linkNumber, link::encode(link::message(response)));
}

void registry_role::reportToLeader()
{
    const steady_time now = steadyNow();
    if (m_log->isLeader()) {
        m_pendingReport = {};
        return;
    }
    if (now < m_nextReportAt || !m_log->reachesLeader())
        return;
    m_nextReportAt = now + reportPeriod;
    auto report = std::exchange(m_pendingReport, {});
    report.sessions = m_gatewaySessions.report(m_state.targets(), now);
    if (std::exchange(m_lastReportedLeader, m_log->replica().leader()) != m_log->replica().leader())
        m_limitsRevisionReported = 0;
    report.limits = m_limits.changesForLeader(std::exchange(m_limitsRevisionReported, m_limits.revision()), now);
    m_log->sendToLeader(link::message(std::move(report)));
}

void registry_role::confirmSessions()
{
    const steady_time now = steadyNow();
    if (m_round.isOpen && m_round.leader != m_log->replica().leader())
        abandonRound();
    const bool anyWaits = std::any_of(
        m_sessions.begin(), m_sessions.end(), [](const auto& item) { return item.second.pendingSequence != 0; });
    if (!m_log->reachesLeader() || m_round.isOpen || !anyWaits || now < m_nextConfirmAt)
        return;
    m_nextConfirmAt = now + confirmPeriod;
    m_round = { m_round.number + 1, true, m_log->replica().leader(), {}, now + noticePeriod };
    for (auto& [linkNumber, gatewaySession] : m_sessions) {
        if (gatewaySession.pendingSequence != 0)
            m_round.waiting[linkNumber] = std::exchange(gatewaySession.pendingSequence, 0);
    }
    m_log->confirm([this, number = m_round.number](bool isCurrent) { onConfirmed(number, isCurrent); }, confirmTimeout);
}

void registry_role::onConfirmed(std::uint64_t round, bool isCurrent)
{
    if (!m_round.isOpen || m_round.number != round)
        return;
    if (!isCurrent) {
        abandonRound();
        return;
    }
    m_round.isOpen = false;
    for (const auto& [linkNumber, sequence] : std::exchange(m_round.waiting, {})) {
        const auto found = m_sessions.find(linkNumber);
        if (found == m_sessions.end())
            continue;
        found->second.isConfirmed = true;
        sendUpdate(linkNumber, found->second, sequence);
    }
}

void registry_role::abandonRound()
{
    m_round.isOpen = false;
    for (const auto& [linkNumber, sequence] : std::exchange(m_round.waiting, {})) {
        const auto found = m_sessions.find(linkNumber);
        if (found != m_sessions.end() && found->second.pendingSequence == 0)
            found->second.pendingSequence = sequence;
    }
}

void registry_role::notifyWaiting()
{
    const steady_time now = steadyNow();
    // Even parts of a long message show that the leader is alive, and a leader steps down without contact to its
    // quorum.
    if (!m_round.isOpen || now < m_round.nextNoticeAt || !m_log->reachesLeader())
        return;
    m_round.nextNoticeAt = now + noticePeriod;
    link::gateway_update update;
    update.waitsForQuorum = true;
    const std::string bytes = link::encode(link::message(update));
    for (const auto& [linkNumber, gatewaySession] : m_sessions)
        m_hub->send(linkNumber, bytes);
}

void registry_role::refreshEndpoints()
{
    auto endpoints = m_log->endpoints();
    if (endpoints == m_endpoints)
        return;
    m_endpoints = std::move(endpoints);
    ++m_endpointsRevision;
}

void registry_role::pushAll()
{
    const steady_time now = steadyNow();
    const bool isTablePushDue = now >= m_nextTablePushAt;
    bool isTablePushed = false;
    for (auto& [linkNumber, gatewaySession] : m_sessions) {
        const bool lacksTable = isTablePushDue && gatewaySession.targetRevision < m_state.targets().revision();
        const bool lacksDocument = gatewaySession.documentVersion < m_state.document().version;
        const bool lacksQuarantine = gatewaySession.quarantineRevision != m_state.quarantine().stageRevision();
        if (!gatewaySession.isConfirmed || (!lacksTable && !lacksDocument && !lacksQuarantine))
            continue;
        isTablePushed = isTablePushed || lacksTable;
        sendUpdate(linkNumber, gatewaySession, 0);
    }
    if (isTablePushed)
        m_nextTablePushAt = now + tablePushPeriod;
}

void registry_role::sendUpdate(link::link_number linkNumber, session& gatewaySession, std::uint64_t sequence,
    std::vector<registry::quarantine_receipt> receipts)
{
    const auto summary = m_gatewaySessions.summaryFor(linkNumber, m_state.targets(), steadyNow());
    link::gateway_update update;
    update.sequence = sequence;
    update.isServed = true;
    if (gatewaySession.acceptsSlices)
        sendSlices(linkNumber, gatewaySession); // the gateway activates them with the update
    else
        update.document = m_state.documentUpdate(gatewaySession.documentVersion);
    update.targets = m_state.targetsUpdate(gatewaySession.targetRevision);
    if (std::exchange(gatewaySession.endpointsRevisionSent, m_endpointsRevision) != m_endpointsRevision)
        update.controllers = m_endpoints;
    update.gateways = std::max(summary.gateways, 1U);
    update.budgetSharers = summary.budgetSharers;
    if (summary.earlier)
        update.earlierRepeats.push_back(*summary.earlier);
    update.othersOpenAttempts = summary.othersOpenAttempts;
    update.othersLoads = summary.othersLoads;
    update.othersDemand = summary.othersDemand;
    update.ordinal = summary.ordinal;
    update.limits
        = m_limits.changesSince(std::exchange(gatewaySession.limitsRevisionSent, m_limits.revision()), steadyNow());
    const auto& quarantine = m_state.quarantine();
    const std::uint64_t held = std::exchange(gatewaySession.quarantineRevision, quarantine.stageRevision());
    if (held != quarantine.stageRevision())
        update.quarantine.push_back(quarantine.changesSince(held));
    update.quarantineReceipts = std::move(receipts);
    const std::string bytes = link::encode(link::message(update));
    if (!update.document.empty())
        logDocumentSent(linkNumber, gatewaySession, bytes.size());
    gatewaySession.documentVersion = std::max(gatewaySession.documentVersion, m_state.document().version);
    gatewaySession.targetRevision = m_state.targets().revision();
    m_hub->send(linkNumber, bytes);
}

void registry_role::sendSlices(link::link_number linkNumber, const session& gatewaySession)
{
    m_feed.update(m_state.document());
    const auto messages = m_feed.messagesFrom(gatewaySession.documentVersion, m_state.document());
    std::size_t bytes = 0;
    for (const auto* message : messages) {
        bytes += message->size();
        m_hub->send(linkNumber, *message);
    }
    if (!messages.empty())
        logDocumentSent(linkNumber, gatewaySession, bytes);
}

void registry_role::logDocumentSent(link::link_number linkNumber, const session& gatewaySession, std::size_t bytes)
{
    telemetry::logEvent(event_code::DocumentSent,
        { { "gateway", gatewaySession.instance }, { "from", std::to_string(gatewaySession.documentVersion) },
            { "to", std::to_string(m_state.document().version) }, { "bytes", std::to_string(bytes) },
            { "waiting", std::to_string(m_hub->bytesWaiting(linkNumber)) } });
}

} // namespace buckthornrail::app
