/// @file
/// @brief Driving a replica: events in, effects carried out in order.
#include "app/controller.hpp"

#include "app/controller_api.hpp"
#include "app/role_runner.hpp"
#include "buckthornrail/agreement/admission.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds slowTickPeriod { 200 };
constexpr milliseconds commandResend { 500 };
constexpr milliseconds confirmationPatience { 400 };
constexpr milliseconds pushPeriod { 200 }; ///< changes that follow each other closely go out together
constexpr milliseconds confirmationPeriod { 100 }; ///< one quorum round answers all heartbeats that came meanwhile
constexpr milliseconds transitionPatience { 1000 };
constexpr milliseconds longestLeaseCheckGap { 1000 };
constexpr milliseconds joinWishLifetime { 2000 };
constexpr milliseconds claimPatience { 2500 };
constexpr milliseconds commandPatience { 10000 };
constexpr milliseconds handOverPeriod { 300 };
constexpr std::size_t maxJoinWishes = 16;

agreement::replica_options replicaOptions(const settings::settings& settings)
{
    agreement::replica_options options;
    options.electionTimeoutMin = milliseconds(settings.electionTimeoutMs);
    options.electionTimeoutMax = milliseconds(2 * settings.electionTimeoutMs);
    options.heartbeatInterval = milliseconds(std::max<std::uint32_t>(settings.electionTimeoutMs / 7, 10));
    return options;
}

} // namespace

controller::controller(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_sessions([this](link::channel_number channel,
                     const link::message& message) { m_hub->send(channel, link::encode(message)); },
          milliseconds(settings.leaseMs))
{
}

controller::~controller() = default;

tl::expected<void, failure> controller::start()
{
    auto device = storage::openFolder(m_settings.dataFolder);
    if (!device)
        return tl::make_unexpected(device.error());
    m_device = std::move(*device);
    m_store = std::make_unique<storage::log_store>(*m_device);
    const auto self = m_store->loadIdentity(randomNumber());
    if (!self)
        return tl::make_unexpected(self.error());
    auto loaded = m_store->load();
    if (!loaded)
        return tl::make_unexpected(loaded.error());
    if (loaded->base.index > 0) {
        if (auto restored = m_state.restore(loaded->base.state); !restored)
            return restored;
    }
    m_applied = loaded->base.index;
    m_replica = std::make_unique<agreement::replica>(
        *self, std::move(*loaded), replicaOptions(m_settings), randomNumber(), steadyNow());
    m_hub = std::make_unique<link::link_hub>(m_loop,
        link::hub_handlers {
            [this](link::channel_number channel, bool inbound) { onOpened(channel, inbound); },
            [this](link::channel_number channel) { onClosed(channel); },
            [this](link::channel_number channel, const std::string& bytes) { onMessage(channel, bytes); },
        });
    if (m_hub->listen(m_settings.linkAddress) == 0)
        return tl::make_unexpected(
            failure { result_code::BadSettings, "can't listen on " + m_settings.reachableAddress() });
    for (const auto& address : m_settings.controllers) {
        if (address != m_settings.reachableAddress())
            m_peers[address].address = address;
    }
    dialPeers();
    m_ticker = std::make_unique<periodic_task>(m_loop, tickPeriod, [this] { tick(); });
    m_slowTicker = std::make_unique<periodic_task>(m_loop, slowTickPeriod, [this] {
        dialPeers();
        reportHeard();
        expireLeases();
        proposeTransitions();
        admitMembers();
        resendCommands();
        scheduleFlush();
    });
    return {};
}

void controller::stop(std::function<void()> done)
{
    m_isReady = false;
    m_replica->transferLeadership();
    flush();
    m_loop.runAt(steadyNow() + handOverPeriod, std::move(done));
}

tl::expected<void, failure> controller::initialize()
{
    for (const auto& [address, peer] : m_peers) {
        if (peer.initialized) {
            return tl::make_unexpected(
                failure { result_code::AlreadyInitialized, "controller " + address + " holds a log" });
        }
    }
    auto done = m_replica->initialize(m_settings.reachableAddress(), steadyNow());
    scheduleFlush();
    return done;
}

void controller::submit(command_body body, result_callback callback, milliseconds patience)
{
    const command value { randomName(), std::move(body) };
    const steady_time now = steadyNow();
    m_commands[value.id] = { encodeCommand(value), std::move(callback), now + patience, now };
    resendCommands();
    scheduleFlush();
}

void controller::confirm(std::function<void(bool)> callback, milliseconds patience)
{
    const std::uint64_t readId = ++m_lastReadId;
    m_confirmations[readId] = { std::move(callback), steadyNow() + patience, 0 };
    m_replica->confirmRead(readId);
    scheduleFlush();
}

controller_status controller::status() const
{
    controller_status status;
    status.self = m_replica->self();
    status.leader = m_replica->leader();
    status.role = m_replica->role();
    status.term = m_replica->term();
    status.commit = m_replica->commitIndex();
    status.members = m_replica->members();
    for (const auto& member : status.members) {
        if (status.role == agreement::replica_role::Leader && m_replica->isReachable(member.id, steadyNow()))
            status.reachable.push_back(member.id);
    }
    status.version = m_state.configuration().version();
    for (const auto& [id, record] : m_state.membership().records())
        status.instances.push_back(record);
    for (const auto& [instance, record] : m_state.placement().records())
        status.orders.push_back(record);
    status.claims = m_state.claims().size();
    status.sessions = m_sessions.size();
    return status;
}

void controller::onMessage(link::channel_number channel, const std::string& bytes)
{
    const auto message = decodeOrClose(*m_hub, channel, bytes);
    if (!message)
        return;
    handle(channel, *message);
    scheduleFlush();
}

void controller::handle(link::channel_number channel, const link::message& message)
{
    if (const auto* peer = std::get_if<agreement::peer_message>(&message)) {
        m_replica->receive(*peer, steadyNow());
    } else if (const auto* heartbeat = std::get_if<link::session_heartbeat>(&message)) {
        m_sessions.heartbeat(channel, *heartbeat, steadyNow());
    } else if (const auto* announce = std::get_if<link::session_announce>(&message)) {
        m_sessions.announced(channel, *announce, steadyNow());
        proposeTransitions();
    } else if (const auto* forwarded = std::get_if<link::forward_command>(&message)) {
        m_replica->propose(forwarded->bytes);
    } else if (const auto* claim = std::get_if<link::claim_request>(&message)) {
        onClaim(channel, *claim);
    } else if (const auto* report = std::get_if<link::lease_report>(&message)) {
        heard(report->instances);
    } else if (const auto* ended = std::get_if<link::order_report>(&message)) {
        submit(
            order_ended_command { ended->instance, ended->fence, ended->code, ended->reason }, [](const auto&) {},
            commandPatience);
    } else if (const auto* join = std::get_if<link::join_request>(&message)) {
        if (m_joins.contains(join->member) || m_joins.size() < maxJoinWishes)
            m_joins[join->member] = { join->address, steadyNow() + joinWishLifetime };
    } else if (const auto* hello = std::get_if<link::controller_hello>(&message)) {
        const auto known = m_peers.find(hello->address);
        if (known != m_peers.end())
            known->second.initialized = hello->initialized;
    }
}

void controller::onClaim(link::channel_number channel, const link::claim_request& request)
{
    submit(
        request.command,
        [this, channel, id = request.commandId](const tl::expected<command_result, failure>& result) {
            link::claim_reply reply;
            reply.commandId = id;
            reply.available = result.has_value();
            if (result)
                reply.result = result->claim;
            m_hub->send(channel, link::encode(reply));
        },
        claimPatience);
}

void controller::onOpened(link::channel_number channel, bool inbound)
{
    if (inbound)
        return;
    for (auto& [address, peer] : m_peers) {
        if (peer.channel != channel)
            continue;
        peer.open = true;
        telemetry::logEvent(event_code::LinkOpened, { { "peer", address } });
    }
}

void controller::onClosed(link::channel_number channel)
{
    m_sessions.closed(channel);
    for (auto& [address, peer] : m_peers) {
        if (peer.channel != channel)
            continue;
        if (peer.open)
            telemetry::logEvent(event_code::LinkClosed, { { "peer", address } }, telemetry::severity::Warning);
        peer.channel = 0;
        peer.open = false;
    }
}

void controller::dialPeers()
{
    for (const auto& member : m_replica->members()) {
        if (member.address != m_settings.reachableAddress())
            m_peers[member.address].address = member.address;
    }
    const bool isBlank = m_replica->members().empty();
    for (auto& [address, peer] : m_peers) {
        if (peer.channel == 0)
            peer.channel = m_hub->dial(address);
        sendToPeer(address, link::controller_hello { m_replica->self(), m_settings.reachableAddress(), !isBlank });
        if (isBlank)
            sendToPeer(address, link::join_request { m_replica->self(), m_settings.reachableAddress() });
    }
}

void controller::sendToPeer(const std::string& address, const link::message& message)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end() && found->second.open)
        m_hub->send(found->second.channel, link::encode(message));
}

void controller::sendToLeader(const link::message& message)
{
    for (const auto& member : m_replica->members()) {
        if (member.id == m_replica->leader())
            sendToPeer(member.address, message);
    }
}

void controller::tick()
{
    const steady_time now = steadyNow();
    m_replica->tick(now);
    if (m_pushNeeded && now >= m_pushDeadline) {
        m_pushNeeded = false;
        m_pushDeadline = now + pushPeriod;
        m_sessions.pushAll(m_state);
    }
    confirmSessions();
    scheduleFlush();
}

void controller::scheduleFlush()
{
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    m_loop.post([this] {
        m_flushScheduled = false;
        flush();
    });
}

void controller::flush()
{
    while (true) {
        const agreement::effects effects = m_replica->takeEffects();
        if (!persist(effects))
            return;
        for (const auto& message : effects.messages) {
            const auto& members = m_replica->members();
            const auto to = std::find_if(
                members.begin(), members.end(), [&](const auto& member) { return member.id == message.to; });
            if (to != members.end()) {
                sendToPeer(to->address, message);
                continue;
            }
            // An answer to a leader that this blank or outdated replica doesn't know yet.
            for (const auto& [address, peer] : m_peers)
                sendToPeer(address, message);
        }
        applyCommitted(effects.committed);
        for (const auto& read : effects.reads) {
            const auto found = m_confirmations.find(read.readId);
            if (found != m_confirmations.end())
                found->second.index = std::max<agreement::log_index>(read.index, 1);
        }
        releaseConfirmations();
        const bool idle = !effects.needsPersist() && effects.messages.empty() && effects.committed.empty();
        if (idle)
            break;
    }
    saveSnapshotWhenDue();
    watchLeadership();
}

bool controller::persist(const agreement::effects& effects)
{
    if (!effects.needsPersist())
        return true;
    const auto saved = m_store->persist(effects);
    if (!saved) {
        disable(saved.error());
        return false;
    }
    if (!effects.installed)
        return true;
    if (auto restored = m_state.restore(effects.installed->state); !restored) {
        disable(restored.error());
        return false;
    }
    m_applied = effects.installed->index;
    m_pushNeeded = true;
    return true;
}

void controller::applyCommitted(const std::vector<agreement::log_entry>& entries)
{
    for (const auto& entry : entries) {
        m_applied = entry.index;
        if (entry.kind == agreement::entry_kind::Members)
            telemetry::logEvent(event_code::MemberChanged, { { "members", std::to_string(entry.members.size()) } });
        if (entry.kind != agreement::entry_kind::Command)
            continue;
        const auto value = decodeCommand(entry.command);
        if (!value) {
            telemetry::logEvent(event_code::MessageRejected, { { "index", std::to_string(entry.index) } });
            continue;
        }
        const configuration_version before = m_state.configuration().version();
        const command_result result = m_state.apply(*value);
        if (m_state.configuration().version() != before) {
            telemetry::logEvent(event_code::ConfigurationAccepted,
                { { "version", std::to_string(result.change.version) }, { "change", result.change.changeId } });
        }
        if (const auto* batch = std::get_if<transition_batch>(&value->body))
            logTransitions(*batch);
        const auto waiting = m_commands.find(value->id);
        if (waiting == m_commands.end())
            continue;
        const auto callback = std::move(waiting->second.callback);
        m_commands.erase(waiting);
        callback(result);
    }
    m_pushNeeded = m_pushNeeded || !entries.empty();
}

void controller::logTransitions(const transition_batch& batch) const
{
    for (const auto& transition : batch.transitions) {
        const auto& record = transition.record;
        const bool joins
            = record.state == membership::instance_state::Joined || record.state == membership::instance_state::Ready;
        const bool leaves
            = record.state == membership::instance_state::Draining || record.state == membership::instance_state::Left;
        if (transition.lossOnly || (!joins && !leaves))
            continue;
        telemetry::logEvent(joins ? event_code::InstanceJoined : event_code::InstanceDraining,
            { { "instance", record.id }, { "state", std::string(nameIn(membership::stateNames, record.state)) },
                { "domain", record.failureDomain } });
    }
}

void controller::releaseConfirmations()
{
    const steady_time now = steadyNow();
    std::vector<std::pair<std::function<void(bool)>, bool>> answered;
    for (auto at = m_confirmations.begin(); at != m_confirmations.end();) {
        const auto& [readId, waiting] = *at;
        const bool current = waiting.index != 0 && m_applied >= waiting.index;
        if (!current && now < waiting.deadline) {
            ++at;
            continue;
        }
        if (waiting.callback)
            answered.emplace_back(waiting.callback, current);
        else if (current)
            m_sessions.confirmed(readId, m_state);
        at = m_confirmations.erase(at);
    }
    for (const auto& [callback, current] : answered)
        callback(current);
}

void controller::saveSnapshotWhenDue()
{
    if (m_replica->role() == agreement::replica_role::Faulted
        || m_applied - m_replica->baseIndex() < m_settings.snapshotEntries)
        return;
    const auto base = m_replica->compact(m_applied, m_state.save());
    const auto saved = m_store->saveSnapshot(base, m_replica->hardState(), m_replica->entriesAfterBase());
    if (!saved) {
        disable(saved.error());
        return;
    }
    telemetry::logEvent(event_code::SnapshotSaved,
        { { "index", std::to_string(base.index) }, { "bytes", std::to_string(base.state.size()) } });
}

void controller::resendCommands()
{
    const steady_time now = steadyNow();
    std::vector<result_callback> late;
    for (auto at = m_commands.begin(); at != m_commands.end();) {
        auto& waiting = at->second;
        if (now >= waiting.deadline) {
            late.push_back(std::move(waiting.callback));
            at = m_commands.erase(at);
            continue;
        }
        if (now >= waiting.resendDeadline) {
            waiting.resendDeadline = now + commandResend;
            if (!m_replica->propose(waiting.bytes))
                sendToLeader(link::forward_command { waiting.bytes });
        }
        ++at;
    }
    for (const auto& callback : late)
        callback(tl::make_unexpected(failure { result_code::NoQuorum, "" }));
}

void controller::confirmSessions()
{
    if (m_replica->leader() != m_confirmedBy) {
        // What the old leader was asked it may never answer.
        m_confirmedBy = m_replica->leader();
        std::erase_if(m_confirmations, [](const auto& item) { return !item.second.callback; });
        m_sessions.forgetConfirmations();
    }
    const steady_time now = steadyNow();
    if (m_confirmedBy == 0 || now < m_confirmDeadline)
        return;
    const bool isOpen = std::any_of(m_confirmations.begin(), m_confirmations.end(),
        [](const auto& item) { return !item.second.callback && item.second.index == 0; });
    if (!m_sessions.hasWaiting() || isOpen)
        return;
    m_confirmDeadline = now + confirmationPeriod;
    const std::uint64_t readId = ++m_lastReadId;
    m_confirmations[readId] = { {}, now + confirmationPatience, 0 };
    m_sessions.beginConfirmation(readId);
    m_replica->confirmRead(readId);
}

void controller::reportHeard()
{
    const auto instances = m_sessions.takeHeard();
    if (instances.empty())
        return;
    if (m_replica->role() == agreement::replica_role::Leader)
        heard(instances);
    else
        sendToLeader(link::lease_report { instances });
}

void controller::heard(const std::vector<instance_id>& instances)
{
    const steady_time deadline = steadyNow() + milliseconds(m_settings.leaseMs);
    for (const auto& id : instances)
        m_leases[id] = deadline;
}

void controller::expireLeases()
{
    if (m_replica->role() != agreement::replica_role::Leader)
        return;
    const steady_time now = steadyNow();
    const steady_time checkedBefore = std::exchange(m_leasesChecked, now);
    if (now - checkedBefore > longestLeaseCheckGap) {
        // This process was held up, or has just begun to lead: heartbeats of that time may still be unread.
        for (auto& [id, deadline] : m_leases)
            deadline = std::max(deadline, now + milliseconds(m_settings.leaseMs));
    }
    transition_batch batch;
    for (const auto& [id, record] : m_state.membership().records()) {
        const bool isGone
            = record.state == membership::instance_state::Left || record.state == membership::instance_state::Lost;
        if (isGone) {
            m_leases.erase(id);
            continue;
        }
        // A new leader has heard nobody yet: everyone gets a whole lease to come.
        const auto lease = m_leases.try_emplace(id, now + milliseconds(2 * m_settings.leaseMs)).first;
        if (now < lease->second)
            continue;
        lease->second = now + transitionPatience;
        batch.transitions.push_back({ record, true });
        telemetry::logEvent(event_code::InstanceLost, { { "instance", id }, { "domain", record.failureDomain } },
            telemetry::severity::Warning);
    }
    if (!batch.transitions.empty())
        m_replica->propose(encodeCommand({ randomName(), std::move(batch) }));
}

void controller::proposeTransitions()
{
    if (steadyNow() < m_transitionDeadline)
        return;
    auto missing = m_sessions.missingTransitions(m_state, steadyNow());
    if (missing.empty())
        return;
    m_transitionDeadline = steadyNow() + transitionPatience;
    submit(
        transition_batch { std::move(missing) }, [this](const auto&) { m_transitionDeadline = {}; },
        transitionPatience);
}

void controller::admitMembers()
{
    const steady_time now = steadyNow();
    std::erase_if(m_joins, [now](const auto& item) { return now >= item.second.deadline; });
    if (m_replica->role() != agreement::replica_role::Leader)
        return;
    std::vector<agreement::join_wish> wishes;
    for (const auto& [id, wish] : m_joins) {
        const auto& listed = m_settings.controllers;
        if (std::find(listed.begin(), listed.end(), wish.address) != listed.end())
            wishes.push_back({ id, wish.address });
    }
    if (auto changed = agreement::nextMembers(*m_replica, wishes, now))
        (void)m_replica->proposeMembers(std::move(*changed));
}

void controller::watchLeadership()
{
    const bool leads = m_replica->role() == agreement::replica_role::Leader;
    if (leads != m_wasLeader) {
        m_wasLeader = leads;
        m_leases.clear();
        telemetry::logEvent(leads ? event_code::LeaderElected : event_code::LeaderLost,
            { { "instance", m_settings.id }, { "term", std::to_string(m_replica->term()) } });
    }
    m_isReady = m_replica->leader() != 0 && m_replica->role() != agreement::replica_role::Faulted;
    m_metrics.gauge("leader", leads ? 1 : 0);
    m_metrics.gauge("commit_index", static_cast<double>(m_replica->commitIndex()));
    m_metrics.gauge("sessions", static_cast<double>(m_sessions.size()));
    m_metrics.gauge("link_bytes_sent", static_cast<double>(m_hub->bytesSent()));
    m_metrics.gauge("link_bytes_received", static_cast<double>(m_hub->bytesReceived()));
}

void controller::disable(const failure& why)
{
    m_replica->fault();
    m_isReady = false;
    telemetry::logEvent(event_code::StorageFault,
        { { "code", std::to_string(static_cast<int>(why.code)) }, { "reason", why.reason } },
        telemetry::severity::Error);
}

int runController(const settings::settings& settings)
{
    return runRole<controller>(settings, settings::process_role::Controller,
        [&settings](link::event_loop& loop, controller& role) { return controllerRoutes(loop, role, settings); });
}

} // namespace buckthornrail::app
