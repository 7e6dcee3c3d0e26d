/// @file
/// @brief Sessions, leases, claims and orders on top of the replicated log.
#include "app/controller/controller.hpp"

#include "app/controller/controller_api.hpp"
#include "app/shared/members_page.hpp"
#include "app/shared/role_runner.hpp"

namespace buckthornrail::app {
namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds slowTickPeriod { 200 };
constexpr milliseconds confirmationTimeout { 400 };
constexpr milliseconds pushPeriod { 200 }; ///< changes in quick succession are batched
constexpr milliseconds confirmationPeriod { 100 }; ///< one quorum round confirms all heartbeats received since the last
constexpr milliseconds transitionTimeout { 1000 };
constexpr milliseconds maxLeaseCheckGap { 1000 };
constexpr milliseconds claimTimeout { 2500 };
constexpr milliseconds commandTimeout { 10000 };

} // namespace

controller::controller(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_sessions([this](link::link_number linkNumber, const std::string& bytes) { m_hub->send(linkNumber, bytes); },
          milliseconds(settings.leaseMs))
{
}

controller::~controller() = default;

tl::expected<void, failure> controller::start()
{
    m_hub = std::make_unique<link::link_hub>(m_loop,
        link::hub_handlers {
            [this](link::link_number linkNumber, bool inbound) {
                if (!inbound)
                    m_log->onOpened(linkNumber);
            },
            [this](link::link_number linkNumber) {
                m_sessions.closed(linkNumber);
                m_log->onClosed(linkNumber);
            },
            [this](link::link_number linkNumber, const std::string& bytes) { onMessage(linkNumber, bytes); },
            [this](link::link_number linkNumber) { m_log->onProgress(linkNumber); },
            [this](link::link_number linkNumber, const link::link_end& end) { m_log->onEnding(linkNumber, end); },
        });
    replicated_log_options options;
    options.dataFolder = m_settings.dataFolder;
    options.ownAddress = m_settings.reachableAddress();
    options.seeds = m_settings.controllers;
    options.electionTimeoutMs = m_settings.electionTimeoutMs;
    options.snapshotEntries = m_settings.snapshotEntries;
    m_log = std::make_unique<replicated_log>(m_loop, *m_hub, *this, std::move(options));
    m_log->changed = [this] { m_pushNeeded = true; };
    m_log->leadershipChanged = [this](bool) { m_leases.clear(); };
    if (auto started = m_log->start(); !started)
        return started;
    if (m_hub->listen(m_settings.linkAddress) == 0)
        return tl::make_unexpected(
            failure { result_code::BadSettings, "can't listen on " + m_settings.reachableAddress() });
    m_ticker = std::make_unique<periodic_task>(m_loop, tickPeriod, [this] { tick(); });
    m_slowTicker = std::make_unique<periodic_task>(m_loop, slowTickPeriod, [this] {
        reportRenewals();
        expireLeases();
        proposeTransitions();
        updateMemberMetrics(*m_log, m_metrics, steadyNow());
        m_log->scheduleFlush();
    });
    return {};
}

void controller::stop(std::function<void()> done)
{
    m_isReady = false;
    m_log->leave(std::move(done));
}

tl::expected<void, failure> controller::initialize() { return m_log->initialize(); }

void controller::submit(command_body body, result_callback callback, milliseconds timeout)
{
    const command value { randomId(), std::move(body) };
    m_log->submit(
        value.id, encodeCommand(value),
        [this, callback = std::move(callback)](bool committed) {
            if (committed)
                callback(m_lastResult);
            else
                callback(tl::make_unexpected(failure { result_code::NoQuorum, "" }));
        },
        timeout);
}

void controller::confirm(std::function<void(bool)> callback, milliseconds timeout)
{
    m_log->confirm(std::move(callback), timeout);
}

std::string controller::applyCommand(const std::string& bytes)
{
    const auto value = decodeCommand(bytes);
    if (!value)
        return {};
    const configuration_version before = m_state.configuration().version();
    m_lastResult = m_state.apply(*value);
    if (m_state.configuration().version() != before) {
        telemetry::logEvent(event_code::ConfigurationAccepted,
            { { "version", std::to_string(m_lastResult.change.version) }, { "change", m_lastResult.change.changeId } });
    }
    if (const auto* batch = std::get_if<transition_batch>(&value->body))
        logTransitions(*batch);
    return value->id;
}

tl::expected<void, failure> controller::restoreState(const std::string& bytes)
{
    m_state = {};
    return bytes.empty() ? tl::expected<void, failure> {} : m_state.restore(bytes);
}

controller_status controller::status() const
{
    const auto& replica = m_log->replica();
    controller_status status;
    status.self = replica.self();
    status.leader = replica.leader();
    status.role = replica.role();
    status.term = replica.term();
    status.commit = replica.commitIndex();
    status.members = replica.members();
    for (const auto& member : status.members) {
        if (m_log->isLeader() && replica.isReachable(member.id, steadyNow()))
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

void controller::onMessage(link::link_number linkNumber, const std::string& bytes)
{
    const auto message = decodeOrClose(*m_hub, linkNumber, bytes);
    if (message && !m_log->onMessage(linkNumber, *message))
        handle(linkNumber, *message);
}

void controller::handle(link::link_number linkNumber, const link::message& message)
{
    if (const auto* heartbeat = std::get_if<link::session_heartbeat>(&message)) {
        m_sessions.heartbeat(linkNumber, *heartbeat, steadyNow());
    } else if (const auto* announce = std::get_if<link::session_announce>(&message)) {
        m_sessions.announced(linkNumber, *announce, steadyNow());
        proposeTransitions();
    } else if (const auto* claim = std::get_if<link::claim_request>(&message)) {
        onClaim(linkNumber, *claim);
    } else if (const auto* report = std::get_if<link::lease_report>(&message)) {
        renewLeases(report->instances);
    } else if (const auto* ended = std::get_if<link::order_report>(&message)) {
        submit(
            order_ended_command { ended->instance, ended->fence, ended->code, ended->reason }, [](const auto&) {},
            commandTimeout);
    }
}

void controller::tick()
{
    const steady_time now = steadyNow();
    if (m_pushNeeded && now >= m_pushDeadline) {
        m_pushNeeded = false;
        m_pushDeadline = now + pushPeriod;
        m_sessions.pushAll(m_state);
    }
    confirmSessions();
    const auto& replica = m_log->replica();
    m_isReady = replica.leader() != 0 && replica.role() != agreement::replica_role::Faulted;
    m_metrics.gauge("is_leader", m_log->isLeader() ? 1 : 0);
    m_metrics.gauge("commit_index", static_cast<double>(replica.commitIndex()));
    m_metrics.gauge("sessions", static_cast<double>(m_sessions.size()));
    m_metrics.gauge("link_bytes_sent", static_cast<double>(m_hub->bytesSent()));
    m_metrics.gauge("link_bytes_received", static_cast<double>(m_hub->bytesReceived()));
}

void controller::confirmSessions()
{
    if (m_log->replica().leader() != m_confirmingLeader) {
        // The previous leader may never respond to the confirmation that was requested from it.
        m_confirmingLeader = m_log->replica().leader();
        m_openConfirmation = 0;
        m_sessions.dropConfirmations();
    }
    const steady_time now = steadyNow();
    if (m_confirmingLeader == 0 || now < m_confirmDeadline || !m_sessions.hasPendingHeartbeats()
        || m_openConfirmation != 0)
        return;
    m_confirmDeadline = now + confirmationPeriod;
    const std::uint64_t number = ++m_lastConfirmation;
    m_openConfirmation = number;
    m_sessions.beginConfirmation(number);
    m_log->confirm(
        [this, number](bool current) {
            if (m_openConfirmation == number)
                m_openConfirmation = 0;
            if (current)
                m_sessions.confirmed(number, m_state);
        },
        confirmationTimeout);
}

void controller::onClaim(link::link_number linkNumber, const link::claim_request& request)
{
    submit(
        request.command,
        [this, linkNumber, id = request.commandId](const tl::expected<command_result, failure>& result) {
            link::claim_reply reply;
            reply.commandId = id;
            reply.available = result.has_value();
            if (result)
                reply.result = result->claim;
            m_hub->send(linkNumber, link::encode(reply));
        },
        claimTimeout);
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

void controller::reportRenewals()
{
    const auto instances = m_sessions.takeRenewals();
    if (instances.empty())
        return;
    if (m_log->isLeader())
        renewLeases(instances);
    else
        m_log->sendToLeader(link::lease_report { instances });
}

void controller::renewLeases(const std::vector<instance_id>& instances)
{
    const steady_time deadline = steadyNow() + milliseconds(m_settings.leaseMs);
    for (const auto& id : instances)
        m_leases[id] = deadline;
}

void controller::expireLeases()
{
    if (!m_log->isLeader())
        return;
    const steady_time now = steadyNow();
    const steady_time lastCheck = std::exchange(m_leasesCheckedAt, now);
    if (now - lastCheck > maxLeaseCheckGap) {
        // This process was stalled, or has just become the leader: heartbeats sent meanwhile may still be unread.
        for (auto& [id, deadline] : m_leases)
            deadline = std::max(deadline, now + milliseconds(m_settings.leaseMs));
    }
    transition_batch batch;
    for (const auto& [id, record] : m_state.membership().records()) {
        const bool isLeftOrLost
            = record.state == membership::instance_state::Left || record.state == membership::instance_state::Lost;
        if (isLeftOrLost) {
            m_leases.erase(id);
            continue;
        }
        // A new leader has received no heartbeats yet. It waits for two leases, so that every instance has at least
        // one whole lease in which its next heartbeat can arrive.
        const auto lease = m_leases.try_emplace(id, now + milliseconds(2 * m_settings.leaseMs)).first;
        if (now < lease->second)
            continue;
        lease->second = now + transitionTimeout;
        batch.transitions.push_back({ record, true });
        telemetry::logEvent(event_code::InstanceLost, { { "instance", id }, { "domain", record.failureDomain } },
            telemetry::severity::Warning);
    }
    if (!batch.transitions.empty())
        submit(
            std::move(batch), [](const auto&) {}, transitionTimeout);
}

void controller::proposeTransitions()
{
    if (steadyNow() < m_transitionDeadline)
        return;
    auto missing = m_sessions.missingTransitions(m_state, steadyNow());
    if (missing.empty())
        return;
    m_transitionDeadline = steadyNow() + transitionTimeout;
    submit(
        transition_batch { std::move(missing) }, [this](const auto&) { m_transitionDeadline = {}; }, transitionTimeout);
}

int runController(const settings::settings& settings)
{
    return runRole<controller>(settings, settings::process_role::Controller,
        [&settings](link::event_loop& loop, controller& role) { return controllerRoutes(loop, role, settings); });
}

} // namespace buckthornrail::app
