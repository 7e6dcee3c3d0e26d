/// @file
/// @brief Gateways' sessions at a registry: heartbeats, confirmation by a quorum, what is pushed.
#include "app/registry/registry.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::app {
namespace {

/// Heartbeats of gateways that came meanwhile are answered after one round of the quorum.
constexpr milliseconds confirmPeriod { 100 };
constexpr milliseconds confirmPatience { 800 };
/// A gateway that has said nothing for so long doesn't count.
constexpr milliseconds sessionLifetime { 2000 };

/// A round of the quorum that takes longer than so long is told of, and told again: gateways leave a controller that
/// says nothing for 0.9 s, though it may only be waiting for members that are being sent a long entry.
constexpr milliseconds notePeriod { 300 };
/// Reports to the leader. What gateways tell of their loads ages by half of it on the way to gateways with sessions
/// elsewhere, beside the 300 ms between their beats.
constexpr milliseconds reportPeriod { 100 };
/// Suspicions kept while no leader can be told: as many as targets of a lost failure domain. Leases find the others.
constexpr std::size_t mostUnreported = 1000;
/// Changes of the table of targets are gathered for so long: 3,000 targets that announce themselves within a second
/// would be as many updates for each gateway. A change that comes alone is told at once.
constexpr milliseconds tablePushPeriod { 50 };

} // namespace

void registry_role::onBeat(link::channel_number channel, const link::gateway_beat& beat)
{
    auto& one = m_sessions[channel];
    if (one.instance.empty()) {
        telemetry::logEvent(event_code::SessionOpened, { { "gateway", beat.instance } });
        one.quarantineRevision = beat.quarantineRevision;
    }
    one.instance = beat.instance;
    one.takesSlices = beat.sliceVersion.has_value();
    // What was sent over this channel arrives before anything sent later: a beat that crossed it on the way says less
    // than the gateway will hold.
    one.documentVersion = std::max(one.documentVersion, beat.sliceVersion.value_or(beat.documentVersion));
    one.targetRevision = std::max(one.targetRevision, beat.targetRevision);
    const registry::gateway_life life { beat.instance, beat.life, beat.repeats, beat.isRepeatsComplete };
    m_board.heard(
        channel, { life, beat.openAttempts, beat.targetRevision, beat.loads }, m_state.targets(), steadyNow());
    m_limits.take(beat.limits, registry::limit_source::Below, m_state.targets(), steadyNow());
    one.waitingSequence = beat.sequence;
    one.deadline = steadyNow() + sessionLifetime;
    takeQuarantine(channel, one, beat);
    for (const auto& target : beat.darkTargets) {
        if (m_log->isLeader())
            m_watch.suspect(target);
        else if (m_unreported.darkTargets.size() < mostUnreported)
            m_unreported.darkTargets.push_back(target);
    }
    auto& leaving = m_unreported.leavingTargets;
    if (m_log->isLeader())
        takeLeaving(beat.leavingTargets);
    else if (leaving.size() < mostUnreported) // the others are told again with the next beat
        leaving.insert(leaving.end(), beat.leavingTargets.begin(), beat.leavingTargets.end());
    if (!m_unreported.darkTargets.empty() || !m_unreported.leavingTargets.empty())
        m_reportAt = {}; // a lost target is known everywhere 0.3 s after the first gateway met it
    if (m_log->reachesLeader())
        return; // answered after the next confirmation
    one.isConfirmed = false;
    link::gateway_update update;
    update.sequence = beat.sequence;
    m_hub->send(channel, link::encode(link::message(update)));
}

void registry_role::onReport(link::channel_number channel, const link::member_report& report)
{
    if (!m_log->isLeader())
        return; // whoever leads gets the next one
    for (const auto& target : report.heard)
        m_watch.heard(target.id, { target.startedMs, target.sequence });
    for (const auto& target : report.darkTargets)
        m_watch.suspect(target);
    takeLeaving(report.leavingTargets);
    m_limits.take(report.limits, registry::limit_source::Below, m_state.targets(), steadyNow());
    auto answer = m_board.answer(channel, report.sessions, m_state.targets(), steadyNow());
    auto& told = m_memberLimitsTold[channel];
    answer.limits = m_limits.changesSince(std::exchange(told, m_limits.revision()), steadyNow());
    m_hub->send(channel, link::encode(link::message(answer)));
}

void registry_role::reportToLeader()
{
    const steady_time now = steadyNow();
    if (m_log->isLeader()) {
        m_unreported = {};
        return;
    }
    if (now < m_reportAt || !m_log->reachesLeader())
        return;
    m_reportAt = now + reportPeriod;
    auto report = std::exchange(m_unreported, {});
    report.sessions = m_board.report(m_state.targets());
    if (std::exchange(m_reportedTo, m_log->replica().leader()) != m_log->replica().leader())
        m_limitsReported = 0;
    report.limits = m_limits.changesForLeader(std::exchange(m_limitsReported, m_limits.revision()), now);
    m_log->sendToLeader(link::message(std::move(report)));
}

void registry_role::confirmSessions()
{
    const steady_time now = steadyNow();
    if (m_round.isOpen && m_round.leader != m_log->replica().leader())
        giveUpRound();
    const bool anyWaits = std::any_of(
        m_sessions.begin(), m_sessions.end(), [](const auto& item) { return item.second.waitingSequence != 0; });
    if (!m_log->reachesLeader() || m_round.isOpen || !anyWaits || now < m_confirmAt)
        return;
    m_confirmAt = now + confirmPeriod;
    m_round = { m_round.number + 1, true, m_log->replica().leader(), {}, now + notePeriod };
    for (auto& [channel, one] : m_sessions) {
        if (one.waitingSequence != 0)
            m_round.waiting[channel] = std::exchange(one.waitingSequence, 0);
    }
    m_log->confirm(
        [this, number = m_round.number](bool isCurrent) { onConfirmed(number, isCurrent); }, confirmPatience);
}

void registry_role::onConfirmed(std::uint64_t round, bool isCurrent)
{
    if (!m_round.isOpen || m_round.number != round)
        return;
    if (!isCurrent) {
        giveUpRound();
        return;
    }
    m_round.isOpen = false;
    for (const auto& [channel, sequence] : std::exchange(m_round.waiting, {})) {
        const auto found = m_sessions.find(channel);
        if (found == m_sessions.end())
            continue;
        found->second.isConfirmed = true;
        sendUpdate(channel, found->second, sequence);
    }
}

void registry_role::giveUpRound()
{
    m_round.isOpen = false;
    for (const auto& [channel, sequence] : std::exchange(m_round.waiting, {})) {
        const auto found = m_sessions.find(channel);
        if (found != m_sessions.end() && found->second.waitingSequence == 0)
            found->second.waitingSequence = sequence;
    }
}

void registry_role::noteWait()
{
    const steady_time now = steadyNow();
    // The leader is heard, by parts of long messages if by nothing else; and it hears its quorum as long as it leads.
    if (!m_round.isOpen || now < m_round.noteAt || !m_log->reachesLeader())
        return;
    m_round.noteAt = now + notePeriod;
    link::gateway_update update;
    update.waitsForQuorum = true;
    const std::string bytes = link::encode(link::message(update));
    for (const auto& [channel, one] : m_sessions)
        m_hub->send(channel, bytes);
}

void registry_role::followPlaces()
{
    auto places = m_log->places();
    if (places == m_places)
        return;
    m_places = std::move(places);
    ++m_placesRevision;
}

void registry_role::pushAll()
{
    const steady_time now = steadyNow();
    const bool tellsTable = now >= m_tablePushAt;
    bool isTableTold = false;
    for (auto& [channel, one] : m_sessions) {
        const bool lacksTable = tellsTable && one.targetRevision < m_state.targets().revision();
        const bool lacksDocument = one.documentVersion < m_state.document().version;
        const bool lacksQuarantine = one.quarantineRevision != m_state.quarantine().stageRevision();
        if (!one.isConfirmed || (!lacksTable && !lacksDocument && !lacksQuarantine))
            continue;
        isTableTold = isTableTold || lacksTable;
        sendUpdate(channel, one, 0);
    }
    if (isTableTold)
        m_tablePushAt = now + tablePushPeriod;
}

void registry_role::sendUpdate(link::channel_number channel, session& one, std::uint64_t sequence,
    std::vector<registry::quarantine_receipt> receipts)
{
    const auto fleet = m_board.summaryFor(channel, m_state.targets(), steadyNow());
    link::gateway_update update;
    update.sequence = sequence;
    update.isServed = true;
    if (one.takesSlices)
        sendSlices(channel, one); // the update puts them in force
    else
        update.document = m_state.documentUpdate(one.documentVersion);
    update.targets = m_state.targetsUpdate(one.targetRevision);
    if (std::exchange(one.placesTold, m_placesRevision) != m_placesRevision)
        update.controllers = m_places;
    update.gateways = std::max(fleet.gateways, 1U);
    update.budgetSharers = fleet.budgetSharers;
    if (fleet.earlier)
        update.earlierRepeats.push_back(*fleet.earlier);
    update.othersOpenAttempts = fleet.othersOpenAttempts;
    update.othersLoads = fleet.othersLoads;
    update.ordinal = fleet.ordinal;
    update.limits = m_limits.changesSince(std::exchange(one.limitsTold, m_limits.revision()), steadyNow());
    const auto& quarantine = m_state.quarantine();
    const std::uint64_t held = std::exchange(one.quarantineRevision, quarantine.stageRevision());
    if (held != quarantine.stageRevision())
        update.quarantine.push_back(quarantine.changesSince(held));
    update.quarantineReceipts = std::move(receipts);
    const std::string bytes = link::encode(link::message(update));
    if (!update.document.empty())
        noteSent(channel, one, bytes.size());
    one.documentVersion = std::max(one.documentVersion, m_state.document().version);
    one.targetRevision = m_state.targets().revision();
    m_hub->send(channel, bytes);
}

void registry_role::sendSlices(link::channel_number channel, const session& one)
{
    m_feed.update(m_state.document());
    const auto messages = m_feed.messagesFrom(one.documentVersion, m_state.document());
    std::size_t bytes = 0;
    for (const auto* message : messages) {
        bytes += message->size();
        m_hub->send(channel, *message);
    }
    if (!messages.empty())
        noteSent(channel, one, bytes);
}

void registry_role::noteSent(link::channel_number channel, const session& one, std::size_t bytes)
{
    telemetry::logEvent(event_code::DocumentSent,
        { { "gateway", one.instance }, { "from", std::to_string(one.documentVersion) },
            { "to", std::to_string(m_state.document().version) }, { "bytes", std::to_string(bytes) },
            { "waiting", std::to_string(m_hub->bytesWaiting(channel)) } });
}

} // namespace buckthornrail::app
