/// @file
/// @brief Leases and probes of targets.
#include "app/registry/target_watch.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Missed heartbeats after which a target is asked; heartbeats come up to seconds late.
constexpr int missedHeartbeats = 3;
constexpr milliseconds heartbeatSlack { 400 };
/// Without an answer by then a target counts as lost. Asking as soon as a gateway calls it dark saves up to four
/// seconds against waiting for missed heartbeats.
constexpr milliseconds probePatience { 300 };
/// Targets asked at once, a connection each: a quarter of what a process may open. A domain that is cut off with 3,000
/// targets is found out within a second.
constexpr std::size_t mostProbes = 1024;

} // namespace

target_watch::target_watch(link::event_loop& loop, const gateway::control_dialect& dialect,
    const registry::target_table& targets, target_rests& rests, milliseconds heartbeatPeriod,
    target_watch_callbacks callbacks)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_targets(targets)
    , m_rests(rests)
    , m_heartbeatPeriod(heartbeatPeriod)
    , m_callbacks(std::move(callbacks))
{
}

steady_time target_watch::nextLeaseEnd() const
{
    return steadyNow() + m_heartbeatPeriod * missedHeartbeats + heartbeatSlack;
}

bool target_watch::heard(const std::string& targetId, const registry::announcement_order& order)
{
    if (!m_callbacks.isLeader() && !m_callbacks.tellLeader({ targetId, order.startedMs, order.sequence }))
        return false;
    const auto* known = m_targets.find(targetId);
    if (known != nullptr && order.startedMs < known->startedMs)
        return true; // of an earlier life: it says nothing of the one known
    auto& newest = m_newest[targetId];
    if (order >= newest) {
        newest = order;
        m_leases.renew(targetId, nextLeaseEnd());
    }
    return true;
}

void target_watch::suspect(const registry::target_incarnation& target)
{
    const auto* record = m_targets.find(target.id);
    const bool isUp
        = record != nullptr && record->incarnation() == target && record->state == registry::target_state::Ready;
    if (m_callbacks.isLeader() && isUp && !m_probes.contains(target) && !m_rests.isResting(target, steadyNow()))
        probe(*record);
}

void target_watch::verify(
    const registry::target_record& record, std::function<void(const registry::target_record&)> answered)
{
    const auto target = record.incarnation();
    if (m_verifications.contains(target) || m_rests.isResting(target, steadyNow()))
        return;
    m_verifications[target] = net::http_call::start(m_loop, record.address,
        { m_dialect.writeReportRequest(record.id), {} }, steadyNow() + probePatience,
        [this, record, target, answered = std::move(answered)](
            net::call_outcome outcome, const net::whole_response& response) {
            const auto ended = m_verifications.extract(target);
            (void)m_rests.heard(target, outcome, response, steadyNow());
            const bool isAlive = isAnswerOf(target, outcome, response);
            telemetry::logEvent(event_code::ReportReceived,
                { { "target", text(target) }, { "reason", "it announces an earlier start than the life that is over" },
                    { "outcome", isAlive ? "answered" : "none" } });
            if (isAlive)
                answered(record);
        });
}

void target_watch::forget()
{
    m_leases.clear();
    m_followedRevision.reset();
}

void target_watch::followTable()
{
    if (m_followedRevision == m_targets.revision())
        return;
    m_followedRevision = m_targets.revision();
    for (const auto& [id, record] : m_targets.records()) {
        // A new leader has heard nobody yet: each target gets a whole lease to come.
        if (!registry::isOver(record))
            m_leases.begin(id, nextLeaseEnd());
    }
    std::erase_if(m_newest, [this](const auto& item) { return m_targets.find(item.first) == nullptr; });
}

void target_watch::step(steady_time now)
{
    followTable();
    if (m_probes.size() >= mostProbes)
        return;
    for (const auto& id : m_leases.takeEnded(now, mostProbes - m_probes.size())) {
        const auto* record = m_targets.find(id);
        if (record == nullptr || registry::isOver(*record))
            continue;
        // Announcements may be what is lost, and not the target: it is asked before it counts as lost.
        if (m_rests.isResting(record->incarnation(), now))
            m_leases.renew(id, nextLeaseEnd());
        else if (!m_probes.contains(record->incarnation()))
            probe(*record);
    }
}

void target_watch::probe(const registry::target_record& record)
{
    const auto target = record.incarnation();
    m_probes[target] = net::http_call::start(m_loop, record.address, { m_dialect.writeReportRequest(record.id), {} },
        steadyNow() + probePatience, [this, target](net::call_outcome outcome, const net::whole_response& response) {
            onProbed(target, outcome, response);
        });
}

bool target_watch::isAnswerOf(
    const registry::target_incarnation& asked, net::call_outcome outcome, const net::whole_response& response) const
{
    if (outcome != net::call_outcome::Answered || response.head.status != 200)
        return false;
    const auto report = m_dialect.readReport(response.body);
    // One that can't be read comes from a target that lives; one that tells another start, from another life.
    return !report || report->startedMs == 0 || report->startedMs == asked.startedMs;
}

void target_watch::onProbed(
    const registry::target_incarnation& asked, net::call_outcome outcome, const net::whole_response& response)
{
    const auto ended = m_probes.extract(asked);
    const bool asksForRest = m_rests.heard(asked, outcome, response, steadyNow());
    const bool answers = asksForRest || isAnswerOf(asked, outcome, response);
    telemetry::logEvent(event_code::ReportReceived,
        { { "target", text(asked) }, { "outcome", answers ? "answered" : "none" },
            { "status", std::to_string(response.head.status) } });
    const auto* record = m_targets.find(asked.id);
    if (record == nullptr || record->incarnation() != asked)
        return; // a later life is known by now: the answer says nothing of it
    if (answers)
        m_leases.renew(asked.id, nextLeaseEnd());
    else
        lose(asked);
}

void target_watch::lose(const registry::target_incarnation& target)
{
    const auto* record = m_targets.find(target.id);
    if (!m_callbacks.isLeader() || record == nullptr || registry::isOver(*record))
        return;
    registry::target_record lost = *record;
    lost.state = registry::target_state::Lost;
    const auto& newest = m_newest[target.id];
    if (newest.startedMs == lost.startedMs)
        lost.sequence = std::max(record->sequence, newest.sequence);
    telemetry::logEvent(event_code::InstanceLost, { { "instance", text(target) }, { "address", record->address } },
        telemetry::severity::Warning);
    m_leases.renew(target.id, nextLeaseEnd());
    m_callbacks.lost(lost);
}

} // namespace buckthornrail::app
