/// @file
/// @brief The registry's start, operator calls and ticks. registry_targets, registry_sessions and registry_quarantine
/// hold the rest of the class.
#include "app/registry/registry.hpp"

#include "app/shared/control_response.hpp"
#include "app/shared/members_page.hpp"
#include "app/shared/pushback_page.hpp"
#include "app/shared/role_runner.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

constexpr milliseconds tickPeriod { 50 };
/// Time that the first member waits to learn of an existing log before it forms one.
constexpr milliseconds bootstrapDelay { 300 };
/// Target changes of one commit that are logged one by one; more get one summary line. The log takes this many lines in
/// half a second.
constexpr std::uint64_t maxRecordsLogged = 200;
constexpr std::string_view quarantinePath = "/quarantine";
constexpr std::size_t minVoters = 2; ///< so that an acknowledged document is stored on two disks

} // namespace

registry_role::registry_role(link::event_loop& loop, const settings::settings& settings,
    const gateway::control_dialect& dialect, telemetry::metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_dialect(dialect)
    , m_metrics(metrics)
    , m_feed(dialect)
    , m_backoffs(dialect)
    , m_orders(loop, dialect, m_backoffs)
    , m_watch(loop, dialect, m_state.targets(), m_backoffs, milliseconds(settings.targetHeartbeatMs),
          target_watch_callbacks {
              [this] { return m_log->isLeader(); },
              [this](const link::target_heartbeat& heartbeat) {
                  if (!m_log->reachesLeader())
                      return false;
                  m_pendingReport.heard.push_back(heartbeat);
                  return true;
              },
              [this](const registry::target_record& lost) { submitTargets({ lost }, [](bool) {}); },
          })
{
}

registry_role::~registry_role() = default;

tl::expected<void, failure> registry_role::start()
{
    link::hub_options hubOptions;
    hubOptions.keepAlivePeriod = milliseconds(m_settings.linkKeepAliveMs);
    hubOptions.openTimeout = milliseconds(m_settings.linkOpenTimeoutMs);
    m_hub = std::make_unique<link::link_hub>(m_loop,
        link::hub_handlers {
            [this](link::link_number linkNumber, bool inbound) {
                if (!inbound)
                    m_log->onOpened(linkNumber);
            },
            [this](link::link_number linkNumber) {
                m_log->onClosed(linkNumber);
                m_sessions.erase(linkNumber);
                m_gatewaySessions.remove(linkNumber);
                m_memberLimitsSent.erase(linkNumber);
            },
            [this](link::link_number linkNumber, const std::string& bytes) { onMessage(linkNumber, bytes); },
            [this](link::link_number linkNumber) { m_log->onProgress(linkNumber); },
            [this](link::link_number linkNumber, const link::link_end& end) { m_log->onEnding(linkNumber, end); },
        },
        hubOptions);
    replicated_log_options options;
    options.dataFolder = m_settings.dataFolder;
    options.ownAddress = m_settings.reachableAddress();
    options.controlAddress = m_settings.httpAddress;
    options.failureDomain = m_settings.failureDomain;
    options.seeds = m_settings.controllers;
    options.electionTimeoutMs = m_settings.electionTimeoutMs;
    options.snapshotEntries = m_settings.snapshotEntries;
    options.admitsUnlisted = true;
    options.toleratedLosses = m_settings.toleratedLosses;
    m_log = std::make_unique<replicated_log>(m_loop, *m_hub, m_state, std::move(options));
    m_log->changed = [this] { onChanged(); };
    m_log->leadershipChanged = [this](bool leads) {
        m_watch.resetLeases();
        m_gatewaySessions.reset(leads, steadyNow());
        m_memberLimitsSent.clear();
        m_quarantineTimers.reset();
        if (leads)
            m_orders.startLeading(m_log->replica().term(), steadyNow());
        else
            m_orders.stopLeading();
    };
    if (auto started = m_log->start(); !started)
        return started;
    if (m_hub->listen(m_settings.linkAddress) == 0)
        return tl::make_unexpected(failure { result_code::BadSettings, "can't listen on " + m_settings.linkAddress });
    net::service_options controlOptions;
    controlOptions.openMessages = std::make_shared<memory_budget>(m_settings.maxOpenBytes);
    m_control = std::make_unique<net::http_service>(
        m_loop,
        [this](const net::whole_request& request, const net::responder& respond) { onRequest(request, respond); },
        controlOptions);
    if (m_control->listen(m_settings.httpAddress) == 0)
        return tl::make_unexpected(failure { result_code::BadSettings, "can't listen on " + m_settings.httpAddress });
    m_bootstrapAt = steadyNow() + bootstrapDelay;
    m_ticker = std::make_unique<periodic_task>(m_loop, tickPeriod, [this] { tick(); });
    return {};
}

void registry_role::stop(std::function<void()> done) { m_log->leave(std::move(done)); }

void registry_role::bootstrapIfFirst()
{
    const bool isFirst = m_settings.bootstrap == "true" && !m_settings.controllers.empty()
        && m_settings.controllers.front() == m_settings.reachableAddress();
    const bool isBlank = m_log->replica().lastIndex() == 0 && m_log->replica().term() == 0;
    if (!isFirst || !isBlank || steadyNow() < m_bootstrapAt || m_log->knowsOtherLog())
        return;
    if (const auto formed = m_log->initialize(); !formed)
        telemetry::logEvent(event_code::MemberChanged, { { "reason", formed.error().reason } });
}

bool registry_role::hasEnoughVoters() const
{
    const auto& members = m_log->replica().members();
    const auto voters = std::count_if(members.begin(), members.end(), [](const auto& member) { return member.voter; });
    return m_settings.controllers.size() < minVoters || voters >= static_cast<std::ptrdiff_t>(minVoters);
}

void registry_role::onRequest(const net::whole_request& request, const net::responder& respond)
{
    if (request.head.target == "/metrics") {
        respond(net::plainResponse(200, m_metrics.text(), "text/plain"));
        return;
    }
    if (request.head.target == "/status") {
        respond(statusPage());
        return;
    }
    if (request.head.target == membersPath) {
        respond(net::plainResponse(200, membersPage(*m_log, steadyNow())));
        return;
    }
    if (request.head.target == pushbackPath) {
        respond(net::plainResponse(200, pushbackPage(restrictedTargets(steadyNow()))));
        return;
    }
    if (request.head.target.starts_with(quarantinePath)) {
        onQuarantineCall(request, respond);
        return;
    }
    auto call = m_dialect.readRequest(request.head, request.body);
    if (auto* publish = std::get_if<gateway::publish_request>(&call)) {
        onPublish(std::move(*publish), respond);
    } else if (std::holds_alternative<gateway::read_document_request>(call)) {
        onRead(respond);
    } else if (const auto* announce = std::get_if<gateway::announce_request>(&call)) {
        onAnnounce(announce->record, respond);
    } else {
        const auto& unreadable = std::get<gateway::invalid_request>(call);
        const std::string what = request.head.method + " " + request.head.target;
        if (unreadable.isRecord)
            logRefusedRecord(what, unreadable.reason);
        else
            logCall(what, unreadable.status, unreadable.reason);
        respond(errorResponse(unreadable.status, unreadable.reason));
    }
}

void registry_role::onPublish(gateway::publish_request call, const net::responder& respond)
{
    constexpr int invalid = 400;
    constexpr int conflict = 409;
    const link::timed_task task(m_loop, "publish");
    const auto read = m_dialect.readDocument(call.text);
    if (!read) {
        logCall("publish", invalid, read.error().reason);
        respond(errorResponse(invalid, read.error().reason));
        return;
    }
    const std::uint64_t version = call.version;
    const auto respondCommitted = [this, version, text = call.text, respond] {
        const auto& held = m_state.document();
        const bool differs = held.version == version && held.text != text;
        const int status = differs ? conflict : 200;
        logCall("publish", status, "version " + std::to_string(version) + ", held " + std::to_string(held.version));
        respond(differs ? errorResponse(conflict, "this version is already published with different content")
                        : net::plainResponse(200, "{}"));
    };
    if (version <= m_state.document().version) {
        respondCommitted();
        return;
    }
    if (!hasEnoughVoters()) {
        logCall("publish", 503, "fewer than two voting members");
        respond(errorResponse(503, "the cluster has fewer than two voting members"));
        return;
    }
    const std::string id = randomId();
    m_log->submit(
        id, encodePublish(id, { version, std::move(call.text) }),
        [respondCommitted, respond](bool committed) {
            if (committed) {
                respondCommitted();
                return;
            }
            logCall("publish", 503, "not committed in time");
            respond(errorResponse(503, "no quorum committed the change in time"));
        },
        controlCallTimeout);
}

void registry_role::onRead(const net::responder& respond)
{
    m_log->confirm(
        [this, respond](bool current) {
            const auto& held = m_state.document();
            if (!current || held.version == 0) {
                logCall("read", 503, current ? "nothing published" : "not confirmed");
                respond(errorResponse(503, "no document is published, or no quorum confirmed the newest one"));
                return;
            }
            logCall("read", 200, "version " + std::to_string(held.version));
            respond(net::plainResponse(200, held.text));
        },
        controlCallTimeout);
}

void registry_role::onMessage(link::link_number linkNumber, const std::string& bytes)
{
    const link::timed_task task(m_loop, "message");
    const auto message = decodeOrClose(*m_hub, linkNumber, bytes);
    if (!message || m_log->onMessage(linkNumber, *message))
        return;
    if (const auto* heartbeat = std::get_if<link::gateway_heartbeat>(&*message)) {
        onHeartbeat(linkNumber, *heartbeat);
    } else if (const auto* report = std::get_if<link::member_report>(&*message)) {
        onReport(linkNumber, *report);
    } else if (const auto* response = std::get_if<registry::fleet_report>(&*message)) {
        m_gatewaySessions.applyLeaderResponse(*response, m_state.targets(), steadyNow());
        m_limits.merge(response->limits, registry::limit_source::Leader, m_state.targets(), steadyNow());
        m_totalsReceivedAt = steadyNow();
    }
}

void registry_role::tick()
{
    const link::timed_task task(m_loop, "tick");
    const steady_time now = steadyNow();
    if (const auto gap = m_stallWatch.check(now); gap > milliseconds(0)) {
        telemetry::logEvent(event_code::ProcessStoodStill,
            { { "ms", std::to_string(gap.count()) }, { "version", std::to_string(m_state.document().version) } },
            telemetry::severity::Warning);
        m_watch.resetLeases(); // targets announced themselves to other controllers meanwhile
    }
    bootstrapIfFirst();
    std::erase_if(m_sessions, [this, now](const auto& item) {
        const bool isExpired = now >= item.second.deadline;
        if (isExpired) {
            m_gatewaySessions.remove(item.first);
            telemetry::logEvent(event_code::SessionLost, { { "gateway", item.second.instance } });
        }
        return isExpired;
    });
    refreshEndpoints();
    pushAll();
    confirmSessions();
    notifyWaiting();
    reportToLeader();
    if (m_log->isLeader()) {
        m_watch.probeExpired(now);
        expireQuarantineEntries();
        m_orders.update(m_state.targets(), services(), m_feed.version(), now);
    }
    m_metrics.gauge("is_leader", m_log->isLeader() ? 1 : 0);
    m_metrics.gauge("commit_index", static_cast<double>(m_log->replica().commitIndex()));
    updateMemberMetrics(*m_log, m_metrics, now);
    m_metrics.gauge("sums_of_others_age_ms", static_cast<double>(ageOfTotals().value_or(milliseconds(0)).count()));
    m_metrics.gauge("sessions", static_cast<double>(m_sessions.size()));
    m_metrics.gauge("link_bytes_sent", static_cast<double>(m_hub->bytesSent()));
    m_metrics.gauge("link_bytes_received", static_cast<double>(m_hub->bytesReceived()));
    m_metrics.gauge("link_bytes_waiting", static_cast<double>(m_hub->bytesWaiting()));
}

void registry_role::onChanged()
{
    const link::timed_task task(m_loop, "committed change");
    // Gateways are updated before the change is acknowledged, since the next leader may not be elected
    // in time to do it.
    pushAll();
    logQuarantine();
    const std::uint64_t logged = std::exchange(m_loggedTargetRevision, m_state.targets().revision());
    if (m_loggedTargetRevision - logged > maxRecordsLogged) {
        // The table was read from disk or received from a leader. The log would drop most of the lines, and building
        // each one takes time.
        telemetry::logEvent(event_code::TargetChanged,
            { { "targets", std::to_string(m_state.targets().records().size()) },
                { "revision", std::to_string(m_loggedTargetRevision) }, { "before", std::to_string(logged) } });
        return;
    }
    for (const auto& [id, record] : m_state.targets().records()) {
        if (record.revision <= logged)
            continue;
        telemetry::logEvent(event_code::TargetChanged,
            { { "target", text(record.incarnation()) }, { "service", record.service },
                { "state", std::string(nameIn(registry::targetStateNames, record.state)) },
                { "layers", std::to_string(record.layers.first) + "-" + std::to_string(record.layers.end) },
                { "sequence", std::to_string(record.sequence) }, { "revision", std::to_string(record.revision) } });
    }
}

const std::vector<gateway::service>& registry_role::services()
{
    m_feed.update(m_state.document());
    return m_feed.services();
}

std::optional<milliseconds> registry_role::ageOfTotals() const
{
    if (m_log->isLeader() || m_totalsReceivedAt == steady_time {})
        return std::nullopt;
    return between(m_totalsReceivedAt, steadyNow());
}

std::vector<gateway::restricted_target> registry_role::restrictedTargets(steady_time now) const
{
    std::map<registry::target_incarnation, gateway::restricted_target> restricted;
    for (const auto& limit : m_limits.limits(now)) {
        restricted[limit.target].perSecond = limit.perSecond;
        restricted[limit.target].limitAge = milliseconds(limit.ageMs);
    }
    for (const auto& [id, record] : m_state.targets().records()) {
        const auto target = record.incarnation();
        if (record.state == registry::target_state::Draining)
            restricted[target].isLeaving = true;
        if (m_backoffs.isBackingOff(target, now))
            restricted[target].backoffLeft = between(now, m_backoffs.endOf(target));
    }
    std::vector<gateway::restricted_target> rows;
    for (auto& [target, row] : restricted) {
        row.target = target;
        rows.push_back(row);
    }
    return rows;
}

net::whole_response registry_role::statusPage() const
{
    std::string text = "leader " + m_log->leaderAddress() + "\nterm " + std::to_string(m_log->replica().term())
        + "\ndocument " + std::to_string(m_state.document().version) + "\ngateways " + std::to_string(m_sessions.size())
        + "\n";
    if (const auto age = ageOfTotals())
        text += "sums_of_others_ms " + std::to_string(age->count()) + "\n";
    for (const auto& [linkNumber, gatewaySession] : m_sessions)
        text += "gateway " + gatewaySession.instance + " document " + std::to_string(gatewaySession.documentVersion)
            + " targets " + std::to_string(gatewaySession.targetRevision)
            + (gatewaySession.isConfirmed ? " confirmed\n" : " waiting\n");
    for (const auto& member : m_log->replica().members())
        text += "member " + member.address + (member.voter ? " voter\n" : " learner\n");
    for (const auto& [id, record] : m_state.targets().records()) {
        text += "target " + record.id + " " + record.service + " " + record.address + " "
            + std::string(nameIn(registry::targetStateNames, record.state)) + " " + std::to_string(record.layers.first)
            + "-" + std::to_string(record.layers.end) + "\n";
    }
    return net::plainResponse(200, text, "text/plain");
}

int runRegistry(const settings::settings& settings, const gateway::control_dialect& dialect)
{
    return runReloadableRole<registry_role>(
        settings, settings::process_role::Registry, [&](link::event_loop& loop, telemetry::metrics& metrics) {
            return std::make_unique<registry_role>(loop, settings, dialect, metrics);
        });
}

} // namespace buckthornrail::app
