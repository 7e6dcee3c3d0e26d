/// @file
/// @brief Passes events to the replica and applies its effects.
#include "app/shared/replicated_log.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds slowTickPeriod { 200 };
/// Interval between attempts to reopen a failed disk, which may have been full or unresponsive only briefly.
constexpr milliseconds recoveryInterval { 500 };
/// Used instead of the number of the link to the leader when this member leads.
constexpr link::link_number ownLink = ~link::link_number { 0 };

agreement::replica_options replicaOptions(std::uint32_t electionTimeoutMs)
{
    agreement::replica_options options;
    options.electionTimeoutMin = milliseconds(electionTimeoutMs);
    options.electionTimeoutMax = milliseconds(2 * electionTimeoutMs);
    options.initialElectionTimeoutMax = milliseconds(electionTimeoutMs / 2);
    options.heartbeatInterval = milliseconds(std::max<std::uint32_t>(electionTimeoutMs / 7, 10));
    return options;
}

/// @return the addresses, separated by commas, with the role of those that don't vote
std::string describeMembers(const std::vector<agreement::member>& members)
{
    std::string text;
    for (const auto& member : members)
        text += (text.empty() ? "" : ",") + member.address + (member.voter ? "" : "(learner)");
    return text;
}

} // namespace

replicated_log::replicated_log(
    link::event_loop& loop, link::link_hub& hub, state_machine& stateMachine, replicated_log_options options)
    : m_loop(loop)
    , m_hub(hub)
    , m_stateMachine(stateMachine)
    , m_options(std::move(options))
{
}

replicated_log::~replicated_log() = default;

tl::expected<void, failure> replicated_log::start()
{
    if (auto opened = openStore(); !opened)
        return opened;
    setSeeds(m_options.seeds);
    dialPeers();
    m_ticker = std::make_unique<periodic_task>(m_loop, tickPeriod, [this] { tick(); });
    m_slowTicker = std::make_unique<periodic_task>(m_loop, slowTickPeriod, [this] { slowTick(); });
    return {};
}

tl::expected<void, failure> replicated_log::openStore()
{
    if (!m_device) {
        auto device = storage::openFolder(m_options.dataFolder);
        if (!device)
            return tl::make_unexpected(device.error());
        m_device = std::move(*device);
    }
    m_store = std::make_unique<storage::log_store>(*m_device);
    const auto self = m_store->loadIdentity(randomNumber());
    if (!self)
        return tl::make_unexpected(self.error());
    auto loaded = m_store->load();
    if (!loaded)
        return tl::make_unexpected(loaded.error());
    const bool isReopened = m_replica != nullptr;
    if (loaded->lastSnapshot.index > 0 || isReopened) {
        if (auto restored = m_stateMachine.restoreState(loaded->lastSnapshot.state); !restored)
            return restored;
    }
    m_applied = loaded->lastSnapshot.index;
    m_replica = std::make_unique<agreement::replica>(
        *self, std::move(*loaded), replicaOptions(m_options.electionTimeoutMs), randomNumber(), steadyNow());
    telemetry::logEvent(event_code::LogOpened,
        { { "snapshot", std::to_string(m_replica->snapshotIndex()) },
            { "last", std::to_string(m_replica->lastIndex()) }, { "term", std::to_string(m_replica->term()) } });
    return {};
}

void replicated_log::setSeeds(std::vector<std::string> seeds)
{
    m_options.seeds = std::move(seeds);
    for (const auto& address : m_options.seeds) {
        if (address != m_options.ownAddress)
            m_peers.try_emplace(address);
    }
}

tl::expected<void, failure> replicated_log::initialize()
{
    for (const auto& [address, peer] : m_peers) {
        if (peer.initialized) {
            return tl::make_unexpected(
                failure { result_code::AlreadyInitialized, "controller " + address + " already has a log" });
        }
    }
    auto done = m_replica->initialize(m_options.ownAddress, steadyNow());
    scheduleFlush();
    return done;
}

void replicated_log::submit(const std::string& id, std::string bytes, done_callback done, milliseconds timeout)
{
    const steady_time now = steadyNow();
    m_commands[id] = { std::move(bytes), std::move(done), now + timeout, 0, 0, {} };
    forwardCommands();
    scheduleFlush();
}

void replicated_log::confirm(std::function<void(bool)> callback, milliseconds timeout)
{
    const std::uint64_t readId = ++m_lastReadId;
    m_confirmations[readId] = { std::move(callback), steadyNow() + timeout, 0 };
    m_replica->requestReadIndex(readId);
    scheduleFlush();
}

bool replicated_log::onMessage(link::link_number linkNumber, const link::message& message)
{
    if (const auto* peer = std::get_if<agreement::peer_message>(&message)) {
        m_contacts.record(peer->from, steadyNow());
        m_replica->receive(*peer, steadyNow());
    } else if (const auto* forwarded = std::get_if<link::forward_command>(&message)) {
        m_replica->propose(forwarded->bytes);
    } else if (const auto* join = std::get_if<link::join_request>(&message)) {
        recordJoinRequest(join->member, join->address);
    } else if (const auto* hello = std::get_if<link::controller_hello>(&message)) {
        onHello(linkNumber, *hello);
    } else {
        return false;
    }
    scheduleFlush();
    return true;
}

void replicated_log::tick()
{
    const steady_time now = steadyNow();
    m_replica->tick(now);
    updateMembers();
    continueLeaving(now);
    scheduleFlush();
}

void replicated_log::slowTick()
{
    const steady_time now = steadyNow();
    if (m_stallWatch.check(now) > milliseconds(0))
        m_contacts.restart(now);
    tryRecover();
    dialPeers();
    reportMissingQuorum(now);
    reportTolerance(now);
    forwardCommands();
    scheduleFlush();
}

void replicated_log::scheduleFlush()
{
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    m_loop.post([this] {
        m_flushScheduled = false;
        flush();
    });
}

void replicated_log::flush()
{
    while (true) {
        const agreement::effects effects = m_replica->takeEffects();
        if (!persist(effects))
            return;
        for (const auto& message : effects.messages)
            deliver(message);
        applyCommitted(effects.committed);
        for (const auto& read : effects.reads) {
            const auto found = m_confirmations.find(read.readId);
            if (found != m_confirmations.end())
                found->second.index = std::max<agreement::log_index>(read.index, 1);
        }
        completeConfirmations();
        const bool idle = !effects.needsPersist() && effects.messages.empty() && effects.committed.empty();
        if (idle)
            break;
    }
    saveSnapshotIfDue();
    checkLeadership();
}

bool replicated_log::persist(const agreement::effects& effects)
{
    if (!effects.needsPersist())
        return true;
    const auto saved = m_store->persist(effects);
    if (!saved) {
        markFaulted(saved.error());
        return false;
    }
    if (!effects.installed)
        return true;
    if (auto restored = m_stateMachine.restoreState(effects.installed->state); !restored) {
        markFaulted(restored.error());
        return false;
    }
    telemetry::logEvent(event_code::SnapshotInstalled,
        { { "leader", leaderAddress() }, { "index", std::to_string(effects.installed->index) },
            { "bytes", std::to_string(effects.installed->state.size()) }, { "before", std::to_string(m_applied) } });
    m_applied = effects.installed->index;
    if (changed)
        changed();
    return true;
}

void replicated_log::applyCommitted(const std::vector<agreement::log_entry>& entries)
{
    for (const auto& entry : entries) {
        m_applied = entry.index;
        if (entry.kind == agreement::entry_kind::Members)
            telemetry::logEvent(event_code::MemberChanged,
                { { "members", describeMembers(entry.members) }, { "index", std::to_string(entry.index) } });
        if (entry.kind != agreement::entry_kind::Command)
            continue;
        const std::string id = m_stateMachine.applyCommand(entry.command);
        if (id.empty())
            telemetry::logEvent(event_code::MessageRejected, { { "index", std::to_string(entry.index) } });
        const auto pending = m_commands.find(id);
        if (pending == m_commands.end())
            continue;
        const auto done = std::move(pending->second.done);
        m_commands.erase(pending);
        done(true);
    }
    if (!entries.empty() && changed)
        changed();
}

void replicated_log::completeConfirmations()
{
    const steady_time now = steadyNow();
    std::vector<std::pair<std::function<void(bool)>, bool>> completed;
    for (auto it = m_confirmations.begin(); it != m_confirmations.end();) {
        const auto& pending = it->second;
        const bool current = pending.index != 0 && m_applied >= pending.index;
        if (!current && now < pending.deadline) {
            ++it;
            continue;
        }
        completed.emplace_back(pending.callback, current);
        it = m_confirmations.erase(it);
    }
    for (const auto& [callback, current] : completed)
        callback(current);
}

void replicated_log::saveSnapshotIfDue()
{
    const bool isDue = m_applied - m_replica->snapshotIndex() >= m_options.snapshotEntries;
    if (m_replica->role() == agreement::replica_role::Faulted || !isDue)
        return;
    const auto snapshot = m_replica->compact(m_applied, m_stateMachine.saveState());
    const auto saved = m_store->saveSnapshot(snapshot, m_replica->hardState(), m_replica->entriesAfterSnapshot());
    if (!saved) {
        markFaulted(saved.error());
        return;
    }
    telemetry::logEvent(event_code::SnapshotSaved,
        { { "index", std::to_string(snapshot.index) }, { "bytes", std::to_string(snapshot.state.size()) } });
}

void replicated_log::forwardCommands()
{
    const steady_time now = steadyNow();
    std::vector<done_callback> expired;
    for (auto it = m_commands.begin(); it != m_commands.end();) {
        auto& pending = it->second;
        if (now >= pending.deadline) {
            expired.push_back(std::move(pending.done));
            it = m_commands.erase(it);
            continue;
        }
        forward(pending, now);
        ++it;
    }
    for (const auto& done : expired)
        done(false);
}

void replicated_log::forward(pending_command& command, steady_time now)
{
    const link::link_number linkNumber = isLeader() ? ownLink : leaderLink();
    const bool isInFlight = command.forwardedLink == linkNumber && command.forwardedTerm == m_replica->term();
    if (linkNumber == 0 || isInFlight)
        return;
    const bool isSent = isLeader() ? m_replica->propose(command.bytes).has_value()
                                   : m_hub.send(linkNumber, link::encode(link::forward_command { command.bytes }));
    if (!isSent)
        return;
    if (command.forwardedLink != 0)
        telemetry::logEvent(event_code::CommandForwardedAgain,
            { { "leader", leaderAddress() }, { "bytes", std::to_string(command.bytes.size()) },
                { "after_ms", std::to_string(between(command.forwardedAt, now).count()) } });
    command.forwardedLink = linkNumber;
    command.forwardedTerm = m_replica->term();
    command.forwardedAt = now;
}

void replicated_log::checkLeadership()
{
    const bool leads = isLeader();
    if (leads == m_wasLeader)
        return;
    m_wasLeader = leads;
    telemetry::logEvent(leads ? event_code::LeaderElected : event_code::LeaderLost,
        { { "address", m_options.ownAddress }, { "term", std::to_string(m_replica->term()) } });
    if (leadershipChanged)
        leadershipChanged(leads);
}

void replicated_log::markFaulted(const failure& error)
{
    m_replica->markFaulted();
    m_nextRecoveryAt = steadyNow() + recoveryInterval;
    telemetry::logEvent(event_code::StorageFault,
        { { "code", std::to_string(static_cast<int>(error.code)) }, { "reason", error.reason } },
        telemetry::severity::Error);
}

void replicated_log::tryRecover()
{
    if (m_replica->role() != agreement::replica_role::Faulted || steadyNow() < m_nextRecoveryAt)
        return;
    m_nextRecoveryAt = steadyNow() + recoveryInterval;
    // Nothing has been acknowledged since the failed write, so the replica continues from what is on disk, as after a
    // restart.
    const auto opened = openStore();
    if (!opened)
        return;
    const auto probed = m_store->probe();
    if (!probed) {
        m_replica->markFaulted();
        return;
    }
    telemetry::logEvent(event_code::StorageRegained, { { "index", std::to_string(m_replica->lastIndex()) } });
    if (changed)
        changed();
}

} // namespace buckthornrail::app
