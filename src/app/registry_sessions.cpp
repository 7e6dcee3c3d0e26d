/// @file
/// @brief Gateways' sessions at a registry: heartbeats, confirmation by a quorum, what is pushed.
#include "app/registry.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Heartbeats of gateways that came meanwhile are answered after one round of the quorum.
constexpr milliseconds confirmPeriod { 100 };
constexpr milliseconds confirmPatience { 800 };
/// A gateway that has said nothing for so long doesn't count.
constexpr milliseconds sessionLifetime { 2000 };

/// A round of the quorum that takes longer than so long is told of, again and again: gateways leave a controller that
/// says nothing for 0.9 s, though it may only be sending its members a long entry.
constexpr milliseconds notePeriod { 300 };

} // namespace

void registry_role::onBeat(link::channel_number channel, const link::gateway_beat& beat)
{
    auto& one = m_sessions[channel];
    if (one.instance.empty())
        telemetry::logEvent(event_code::SessionOpened, { { "gateway", beat.instance } });
    one.instance = beat.instance;
    // What was sent over this channel arrives before anything sent later: a beat that crossed it on the way says less
    // than the gateway will hold.
    one.documentVersion = std::max(one.documentVersion, beat.documentVersion);
    one.targetRevision = std::max(one.targetRevision, beat.targetRevision);
    one.openAttempts = beat.openAttempts;
    if (beat.targetRevision == m_state.targets().revision())
        m_loads.tell(channel, m_state.targets(), beat.loads);
    m_gateways.heard({ beat.instance, beat.life, beat.repeats, beat.isRepeatsComplete }, steadyNow());
    one.waitingSequence = beat.sequence;
    one.deadline = steadyNow() + sessionLifetime;
    for (const auto& target : beat.darkTargets)
        m_watch.suspect(target);
    if (m_log->isLeader())
        return; // answered after the next confirmation
    one.isConfirmed = false;
    link::gateway_update update;
    update.sequence = beat.sequence;
    update.leader = m_log->leaderAddress();
    m_hub->send(channel, link::encode(link::message(update)));
}

void registry_role::confirmSessions()
{
    const steady_time now = steadyNow();
    const bool anyWaits = std::any_of(
        m_sessions.begin(), m_sessions.end(), [](const auto& item) { return item.second.waitingSequence != 0; });
    if (!m_log->isLeader() || m_confirming || !anyWaits || now < m_confirmDeadline)
        return;
    m_confirmDeadline = now + confirmPeriod;
    m_confirming = true;
    m_noteWaitAt = now + notePeriod;
    std::map<link::channel_number, std::uint64_t> waiting;
    for (auto& [channel, one] : m_sessions) {
        if (one.waitingSequence != 0)
            waiting[channel] = std::exchange(one.waitingSequence, 0);
    }
    m_log->confirm(
        [this, waiting](bool current) {
            m_confirming = false;
            if (!current || !m_log->isLeader())
                return;
            const fleet_totals fleet = totals();
            for (const auto& [channel, sequence] : waiting) {
                const auto found = m_sessions.find(channel);
                if (found == m_sessions.end())
                    continue;
                found->second.isConfirmed = true;
                sendUpdate(channel, found->second, sequence, fleet);
            }
        },
        confirmPatience);
}

void registry_role::noteWait()
{
    const steady_time now = steadyNow();
    // It leads as long as its quorum is heard, by parts of long messages if by nothing else.
    if (!m_log->isLeader() || !m_confirming || now < m_noteWaitAt)
        return;
    m_noteWaitAt = now + notePeriod;
    link::gateway_update update;
    update.leader = m_settings.reachableAddress();
    const std::string bytes = link::encode(link::message(update));
    for (const auto& [channel, one] : m_sessions)
        m_hub->send(channel, bytes);
}

void registry_role::pushAll()
{
    if (!m_log->isLeader())
        return;
    const fleet_totals fleet = totals();
    for (auto& [channel, one] : m_sessions) {
        const bool isBehind
            = one.documentVersion < m_state.document().version || one.targetRevision != m_state.targets().revision();
        if (one.isConfirmed && isBehind)
            sendUpdate(channel, one, 0, fleet);
    }
}

registry_role::fleet_totals registry_role::totals() const
{
    fleet_totals fleet;
    fleet.budgetSharers = static_cast<std::uint32_t>(m_gateways.count(steadyNow()));
    for (const auto& [channel, one] : m_sessions)
        fleet.openAttempts += one.openAttempts;
    return fleet;
}

void registry_role::sendUpdate(
    link::channel_number channel, session& one, std::uint64_t sequence, const fleet_totals& fleet)
{
    link::gateway_update update;
    update.sequence = sequence;
    update.leads = true;
    update.leader = m_settings.reachableAddress();
    update.document = m_state.documentUpdate(one.documentVersion);
    update.targets = m_state.targetsUpdate(one.targetRevision);
    for (const auto& member : m_log->replica().members())
        update.controllers.push_back(member.address);
    update.gateways = static_cast<std::uint32_t>(std::max<std::size_t>(m_sessions.size(), 1));
    update.budgetSharers = fleet.budgetSharers;
    if (auto earlier = m_gateways.earlierSpent(one.instance))
        update.earlierRepeats.push_back(std::move(*earlier));
    update.othersOpenAttempts = fleet.openAttempts - one.openAttempts;
    update.othersLoads = m_loads.othersOf(channel, m_state.targets());
    const std::string bytes = link::encode(link::message(update));
    if (!update.document.empty())
        telemetry::logEvent(event_code::DocumentSent,
            { { "gateway", one.instance }, { "from", std::to_string(update.document.front().from) },
                { "to", std::to_string(update.document.front().to) }, { "bytes", std::to_string(bytes.size()) },
                { "waiting", std::to_string(m_hub->bytesWaiting(channel)) } });
    one.documentVersion = std::max(one.documentVersion, m_state.document().version);
    one.targetRevision = m_state.targets().revision();
    m_hub->send(channel, bytes);
}

} // namespace buckthornrail::app
