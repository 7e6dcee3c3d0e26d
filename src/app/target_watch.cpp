/// @file
/// @brief Leases and probes of targets.
#include "app/target_watch.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Missed heartbeats after which a target is asked; heartbeats come up to seconds late.
constexpr int missedHeartbeats = 3;
constexpr milliseconds heartbeatSlack { 400 };
/// Without an answer by then a target counts as lost. Asking as soon as a gateway calls it dark saves up to four
/// seconds against waiting for missed heartbeats.
constexpr milliseconds probePatience { 300 };

bool isOver(const registry::target_record& record)
{
    return record.state == registry::target_state::Gone || record.state == registry::target_state::Lost;
}

} // namespace

target_watch::target_watch(link::event_loop& loop, const gateway::control_dialect& dialect,
    const registry::target_table& targets, milliseconds heartbeatPeriod, target_watch_callbacks callbacks)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_targets(targets)
    , m_heartbeatPeriod(heartbeatPeriod)
    , m_callbacks(std::move(callbacks))
{
}

steady_time target_watch::nextLeaseEnd() const
{
    return steadyNow() + m_heartbeatPeriod * missedHeartbeats + heartbeatSlack;
}

bool target_watch::heard(const std::string& targetId, std::uint64_t sequence)
{
    if (!m_callbacks.isLeader() && !m_callbacks.tellLeader({ targetId, sequence }))
        return false;
    auto& newest = m_sequences[targetId];
    if (sequence >= newest) {
        newest = sequence;
        m_leases[targetId] = nextLeaseEnd();
    }
    return true;
}

void target_watch::suspect(const std::string& targetId)
{
    const auto* record = m_targets.find(targetId);
    const bool isUp = record != nullptr && record->state == registry::target_state::Ready;
    if (m_callbacks.isLeader() && isUp && !m_probes.contains(targetId))
        probe(*record);
}

void target_watch::step(steady_time now)
{
    for (const auto& [id, record] : m_targets.records()) {
        if (isOver(record))
            continue;
        // A new leader has heard nobody yet: each target gets a whole lease to come.
        const auto lease = m_leases.try_emplace(id, nextLeaseEnd()).first;
        // Announcements may be what is lost, and not the target: it is asked before it counts as lost.
        if (now >= lease->second && !m_probes.contains(id))
            probe(record);
    }
    std::erase_if(m_leases, [this](const auto& item) { return m_targets.find(item.first) == nullptr; });
    std::erase_if(m_sequences, [this](const auto& item) { return m_targets.find(item.first) == nullptr; });
}

void target_watch::probe(const registry::target_record& record)
{
    m_probes[record.id] = net::http_call::start(m_loop, record.address, { m_dialect.writeReportCall(record.id), {} },
        steadyNow() + probePatience,
        [this, targetId = record.id](net::call_outcome outcome, const net::whole_response& response) {
            const auto ended = m_probes.extract(targetId);
            const bool answers = outcome == net::call_outcome::Answered && response.head.status == 200;
            telemetry::logEvent(event_code::ReportReceived,
                { { "target", targetId }, { "outcome", answers ? "answered" : "none" },
                    { "status", std::to_string(response.head.status) } });
            if (answers)
                m_leases[targetId] = nextLeaseEnd();
            else
                lose(targetId);
        });
}

void target_watch::lose(const std::string& targetId)
{
    const auto* record = m_targets.find(targetId);
    if (!m_callbacks.isLeader() || record == nullptr || isOver(*record))
        return;
    registry::target_record lost = *record;
    lost.state = registry::target_state::Lost;
    lost.sequence = std::max(record->sequence, m_sequences[targetId]);
    telemetry::logEvent(event_code::InstanceLost, { { "instance", targetId }, { "address", record->address } },
        telemetry::severity::Warning);
    m_leases[targetId] = nextLeaseEnd();
    m_callbacks.lost(lost);
}

} // namespace buckthornrail::app
