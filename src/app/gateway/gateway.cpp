/// @file
/// @brief Connects listeners, target pool and controller session of a gateway.
#include "app/gateway/gateway.hpp"

#include "app/gateway/caller_connection.hpp"
#include "app/shared/admission_page.hpp"
#include "app/shared/pushback_page.hpp"
#include "app/shared/role_runner.hpp"
#include "buckthornrail/net/descriptors.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// After SIGTERM the load balancer still routes callers here until two of its health checks, one per second, have
/// failed. Then idle connections are closed and new streams, the longest of which last over six seconds, are refused.
constexpr milliseconds balancerDrainTime { 2800 };
constexpr std::uint64_t maxHealthRequestBytes = 64U << 10U;
constexpr milliseconds stopCheckPeriod { 50 };
constexpr milliseconds stallCheckPeriod { 200 };
/// Time after the start in which calls wait for the first document instead of being refused.
constexpr milliseconds startupGracePeriod { 4000 };
/// Descriptors that aren't for requests: listeners, sessions, watched and probed targets.
constexpr std::size_t reservedDescriptors = 128;
constexpr std::size_t descriptorsPerRequest = 2; ///< its caller's connection and the one to its target
/// From this part of the allowed connections on, each closes after its response: callers that keep theirs would
/// otherwise use up what new ones need.
constexpr std::size_t crowdedDivisor = 2;
constexpr milliseconds crowdedLogInterval { 1000 };
/// Part of the platform's termination grace period that is reserved for the exit of the process.
constexpr milliseconds exitReserve { 400 };

gateway::pool_options poolOptions(const settings::settings& settings)
{
    gateway::pool_options options;
    options.ownDomain = settings.failureDomain;
    return options;
}

bool isAdmissionOn(const settings::settings& settings) { return settings.admissionMode == "auto"; }

/// @return for logs: the first few fingerprints
std::string listed(const std::vector<request_fingerprint>& fingerprints)
{
    constexpr std::size_t maxFingerprints = 8;
    std::string names;
    for (std::size_t i = 0; i < std::min(fingerprints.size(), maxFingerprints); ++i)
        names += (i == 0 ? "" : ",") + text(fingerprints[i]);
    return names;
}

/// @return the parts of the requests in a report, each once
std::vector<request_fingerprint> suspectParts(const registry::crash_report& report)
{
    std::set<request_fingerprint> parts;
    for (const auto& suspects : report.parts) {
        for (const auto& suspect : suspects)
            parts.insert(suspect.part);
    }
    return { parts.begin(), parts.end() };
}

gateway::shared_retry_budget_options budgetOptions(const settings::settings& settings)
{
    gateway::shared_retry_budget_options options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = std::chrono::seconds(settings.retryWindowSeconds);
    options.slackFrom = steadyNow() + options.window;
    return options;
}

net::service_options healthOptions(const std::shared_ptr<memory_budget>& openMessages)
{
    net::service_options options;
    options.limits.maxBodyBytes = maxHealthRequestBytes;
    options.openMessages = openMessages;
    return options;
}

http1::parser_limits responseLimits(const settings::settings& settings)
{
    http1::parser_limits limits;
    limits.maxHeadBytes = settings.maxHeadBytes;
    limits.maxInterimBytes = settings.maxInterimBytes;
    limits.maxBodyBytes = settings.maxResponseBytes;
    limits.maxChunkLineBytes = settings.maxChunkLineBytes;
    limits.maxTrailerBytes = settings.maxTrailerBytes;
    limits.maxEventBytes = settings.maxEventBytes;
    limits.maxPaddingBytes = settings.maxPaddingBytes;
    return limits;
}

} // namespace

gateway_role::gateway_role(link::event_loop& loop, const settings::settings& settings,
    const gateway::traffic_dialect& traffic, const gateway::control_dialect& control, telemetry::metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_document(control)
    , m_context { loop, traffic, metrics, gateway::target_pool(poolOptions(settings), randomNumber()),
        gateway::shared_retry_budgets(budgetOptions(settings)), nullptr, 0, std::mt19937_64(randomNumber()) }
    , m_listener(loop, [this](net::connection_pointer connection) { onConnection(std::move(connection)); })
    , m_health(
          loop,
          [this](
              const net::whole_request& request, const net::responder& respond) { onHealthRequest(request, respond); },
          healthOptions(m_context.openMessages))
    , m_session(loop, settings, m_document,
          gateway_session_callbacks {
              [this] { onDocument(); },
              [this](const registry::target_view& targets) { onTargets(targets); },
              [this] { return static_cast<std::uint32_t>(m_context.pool.openAttempts()); },
              [this] { return m_context.pool.loads(); },
              [this](const registry::target_loads& others) {
                  m_context.pool.setOtherGatewayLoads(others, steadyNow());
                  if (!m_context.queuedCalls.empty())
                      m_context.capacityFreed();
              },
              [this](const link::gateway_update& update) { onSessionUpdate(update); },
              [this] { return m_context.pool.takeUnreachable(); },
              [this](link::gateway_heartbeat& heartbeat) {
                  heartbeat.repeats = m_context.budgets.spent(steadyNow());
                  heartbeat.isRepeatsComplete = m_context.budgets.isComplete(steadyNow());
              },
              [this](link::gateway_heartbeat& heartbeat, bool isFirst) { fillQuarantine(heartbeat, isFirst); },
              [this](const link::gateway_update& update) {
                  onQuarantine(update);
                  m_context.confirmationDeadline = {};
                  resumeWaitingCalls();
              },
              [this](bool all) { return m_context.pool.takeLimitReports(all, steadyNow()); },
              [this](const std::vector<registry::limit_report>& reports) { onRemoteLimits(reports); },
              [this] { return m_context.pool.unreportedLeaving(); },
              [this] { return m_context.admission.report(steadyNow()); },
              [this](const registry::demand_report& others) { m_context.admission.setOthers(others, steadyNow()); },
          })
    , m_isAdmissionOn(isAdmissionOn(settings))
    , m_queueTimer(loop)
    , m_stallCheck(loop, stallCheckPeriod, [this] { checkForStall(); })
{
    m_context.responseLimits = responseLimits(settings);
    m_context.maxPause = milliseconds(settings.maxPauseMs);
    m_context.openMessages->setLimit(settings.maxOpenBytes);
    m_context.reachability
        = std::make_unique<net::reachability_prober>(loop, [this](const std::string& address, net::reachability state) {
              if (state == net::reachability::Open)
                  onReachable(address);
              else
                  onUnreachable(address, state);
          });
    m_context.checkForStall = [this] { checkForStall(); };
    m_context.requestHeartbeat = [this] { m_session.sendHeartbeatSoon(); };
    m_context.capacityFreed = [this] { scheduleQueue(steadyNow()); };
    m_context.callQueued = [this] { onCallQueued(); };
}

gateway_role::~gateway_role()
{
    const auto connections = m_connections;
    for (const auto& connection : connections)
        connection->abort();
}

void gateway_role::reload(const settings::settings& changed)
{
    m_session.setSeeds(changed.controllers);
    const bool wasAdmissionOn = std::exchange(m_isAdmissionOn, isAdmissionOn(changed));
    if (wasAdmissionOn != m_isAdmissionOn && m_context.document)
        updatePriorities();
}

tl::expected<void, failure> gateway_role::start()
{
    m_context.startupGraceUntil = steadyNow() + startupGracePeriod;
    if (m_health.listen(m_settings.httpAddress) == 0)
        return tl::make_unexpected(failure { result_code::BadSettings, "can't listen on " + m_settings.httpAddress });
    if (m_listener.listen(m_settings.gatewayAddress) == 0)
        return tl::make_unexpected(
            failure { result_code::BadSettings, "can't listen on " + m_settings.gatewayAddress });
    return {};
}

void gateway_role::stop(std::function<void()> done)
{
    if (m_context.isStopping)
        return;
    m_context.isStopping = true;
    m_onStopped = std::move(done);
    const auto now = steadyNow();
    m_earliestStop = now + balancerDrainTime;
    m_context.acceptStreamsUntil = m_earliestStop;
    m_context.stopDeadline
        = now + std::max(milliseconds(std::chrono::seconds(m_settings.graceSeconds)) - exitReserve, balancerDrainTime);
    m_stopCheck = std::make_unique<periodic_task>(m_loop, stopCheckPeriod, [this] { checkStopped(); });
}

void gateway_role::checkStopped()
{
    const auto now = steadyNow();
    if (now >= m_earliestStop && !std::exchange(m_hasClosedIdle, true)) {
        const auto connections = m_connections;
        for (const auto& connection : connections)
            connection->closeIfIdle();
        refuseAllQueued();
    }
    const bool isDone = now >= m_earliestStop && m_context.openCalls.empty();
    if ((isDone || now >= m_context.stopDeadline) && m_onStopped)
        std::exchange(m_onStopped, nullptr)();
}

gateway::caller_limits gateway_role::limits() const
{
    return m_context.document ? m_context.document->rest()->limits : gateway::caller_limits {};
}

std::size_t gateway_role::maxConnections()
{
    const std::size_t limit = net::descriptorLimit();
    return limit > reservedDescriptors + descriptorsPerRequest ? (limit - reservedDescriptors) / descriptorsPerRequest
                                                               : 1;
}

bool gateway_role::isCrowded() const { return m_connections.size() >= maxConnections() / crowdedDivisor; }

void gateway_role::closeUnread(const net::connection_pointer& connection)
{
    connection->abort(true);
    m_context.metrics.count("connections_closed_unread");
    const auto now = steadyNow();
    if (now < m_nextCrowdedLogAt)
        return;
    m_nextCrowdedLogAt = now + crowdedLogInterval;
    telemetry::logEvent(event_code::ConnectionsClosedUnread,
        { { "open", std::to_string(m_connections.size()) }, { "max", std::to_string(maxConnections()) } },
        telemetry::severity::Warning);
}

void gateway_role::onConnection(net::connection_pointer connection)
{
    if (m_connections.size() >= maxConnections()) {
        closeUnread(connection);
        return;
    }
    auto caller = std::make_shared<caller_connection>(*this, std::move(connection));
    m_connections.insert(caller);
    caller->begin();
}

void gateway_role::onSessionUpdate(const link::gateway_update& update)
{
    const auto now = steadyNow();
    m_context.pool.setOtherGateways(std::max<std::size_t>(update.gateways, 1), update.othersOpenAttempts);
    m_context.admission.setGatewayCount(std::max<std::size_t>(update.gateways, 1));
    m_context.crashes.setGatewayCount(std::max<std::size_t>(update.gateways, 1));
    if (!update.earlierRepeats.empty() && !m_context.budgets.isComplete(now))
        m_context.budgets.restoreSpent(update.earlierRepeats.front(), now);
    if (update.budgetSharers == 0)
        return; // unknown to the leader yet: the previous count stays valid
    m_context.budgets.setGatewayCount(update.budgetSharers, now);
    if (update.ordinal)
        m_context.pool.setShare({ update.budgetSharers, *update.ordinal }, now);
    const std::size_t before = std::exchange(m_context.budgetSharers, update.budgetSharers);
    if (before != update.budgetSharers)
        telemetry::logEvent(event_code::GatewaysCounted,
            { { "gateways", std::to_string(update.budgetSharers) }, { "before", std::to_string(before) } });
}

void gateway_role::onRemoteLimits(const std::vector<registry::limit_report>& reports)
{
    for (const auto& change : m_context.pool.mergeRemoteLimits(reports, steadyNow())) {
        telemetry::logEvent(event_code::TargetPushback,
            { { "target", text(change.target) }, { "per_second", gateway::text(change.after) },
                { "before", gateway::text(change.before) },
                { "before_age_ms", std::to_string(change.beforeAge.count()) }, { "source", "controllers" } });
    }
}

void gateway_role::onDocument()
{
    m_context.document = m_document.index();
    if (std::exchange(m_services, m_context.document->rest()) != m_context.document->rest())
        updateEngines();
    updatePriorities();
    telemetry::logEvent(event_code::ConfigurationApplied,
        { { "version", std::to_string(m_context.document->version()) },
            { "routes", std::to_string(m_context.document->routeCount()) } });
}

void gateway_role::updateEngines()
{
    std::set<std::string> engines;
    for (const auto& service : m_services->services) {
        m_context.pool.setEngine(service.name, service.engine);
        if (service.engine)
            engines.insert(service.name);
    }
    for (const auto& name : m_engines) {
        if (!engines.contains(name))
            m_context.pool.setEngine(name, std::nullopt);
    }
    m_engines = std::move(engines);
}

void gateway_role::onTargets(const registry::target_view& targets)
{
    for (const auto& address : m_context.pool.update(targets.records())) {
        m_context.reachability->forget(address);
        recordCrashes(address, m_context.pool.idAt(address));
    }
    updateCapacity();
    for (const auto& call : openCalls())
        call->targetsChanged();
    m_context.metrics.gauge("target_revision", static_cast<double>(targets.revision()));
}

void gateway_role::checkForStall()
{
    const auto now = steadyNow();
    const auto gap = m_stallWatch.check(now);
    if (gap == milliseconds(0))
        return;
    telemetry::logEvent(event_code::ProcessStoodStill,
        { { "ms", std::to_string(gap.count()) },
            { "version", std::to_string(m_context.document ? m_context.document->version() : 0) } },
        telemetry::severity::Warning);
    m_context.confirmationDeadline = now + controllerTimeout;
    m_session.sendHeartbeatSoon();
}

void gateway_role::resumeWaitingCalls()
{
    if (!m_context.document)
        return;
    for (const auto& call : std::exchange(m_context.waiting, {})) {
        if (const auto waiting = call.lock())
            waiting->resume();
    }
}

std::vector<std::shared_ptr<gateway_call>> gateway_role::openCalls() const
{
    std::vector<std::shared_ptr<gateway_call>> calls;
    for (auto* call : m_context.openCalls)
        calls.push_back(call->shared_from_this());
    return calls;
}

void gateway_role::onUnreachable(const std::string& address, net::reachability state)
{
    const auto target = m_context.pool.idAt(address);
    if (state == net::reachability::Refused) {
        m_context.pool.markRefusing(address);
        recordCrashes(address, {});
    } else {
        m_context.pool.markUnresponsive(address);
    }
    if (target.empty())
        return; // the controllers have already reported its end
    telemetry::logEvent(event_code::TargetUnreachable,
        { { "target", text(target) }, { "address", address },
            { "how", state == net::reachability::Refused ? "refused" : "silent" } });
    m_context.pool.markUnreachable(target, steadyNow());
    m_session.sendHeartbeatSoon(); // the controllers find out whether it has ended
    for (const auto& call : openCalls())
        call->targetUnreachable(target);
}

void gateway_role::onReachable(const std::string& address)
{
    m_context.pool.markReachable(address);
    m_context.crashes.onTargetAlive(address);
    notifyQuarantineChanged();
}

void gateway_role::recordCrashes(const std::string& address, const registry::target_incarnation& replacement)
{
    const auto fingerprintOf = [this](gateway::call_number number) {
        const auto found = std::find_if(m_context.openCalls.begin(), m_context.openCalls.end(),
            [number](const auto* call) { return call->number() == number; });
        return found == m_context.openCalls.end() ? request_fingerprint {} : (*found)->fingerprint();
    };
    bool hasCrashes = false;
    for (const auto& report : m_context.crashes.onTargetsEnded(address, replacement, fingerprintOf, steadyNow())) {
        // A target that is leaving, or has signed off, ends on its own.
        if (replacement.empty() && m_context.pool.isLeaving(report.target))
            continue;
        hasCrashes = true;
        m_context.metrics.count("crashes_blamed");
        telemetry::logEvent(event_code::CrashBlamed,
            { { "target", text(report.target) }, { "address", address },
                { "how", replacement.empty() ? "refused" : "replaced" },
                { "begun", std::to_string(report.begun.size()) }, { "fingerprints", listed(report.begun) },
                { "parts", listed(suspectParts(report)) } },
            telemetry::severity::Warning);
        m_context.quarantine.reportCrash(report, steadyNow());
    }
    if (!hasCrashes)
        return;
    m_context.requestHeartbeat();
    notifyQuarantineChanged();
}

void gateway_role::fillQuarantine(link::gateway_heartbeat& heartbeat, bool isFirst)
{
    const auto now = steadyNow();
    for (const auto call : m_context.quarantine.callsOnTrial()) {
        if (!m_context.crashes.mayHaveCrashedTarget(call, now) && !m_context.crashes.awaitsTargetState(call, now))
            m_context.quarantine.endTrial(call);
    }
    heartbeat.quarantineRevision = m_context.quarantine.revision();
    heartbeat.quarantine = m_context.quarantine.takeBatches(isFirst, now);
}

void gateway_role::onQuarantine(const link::gateway_update& update)
{
    for (const auto& delta : update.quarantine)
        m_context.quarantine.applyDelta(delta, steadyNow());
    for (const auto& receipt : update.quarantineReceipts)
        m_context.quarantine.onReceipt(receipt, steadyNow());
    if (!update.quarantine.empty() || !update.quarantineReceipts.empty())
        notifyQuarantineChanged();
}

void gateway_role::notifyQuarantineChanged()
{
    for (const auto& call : openCalls())
        call->quarantineChanged();
}

void gateway_role::onHealthRequest(const net::whole_request& request, const net::responder& respond)
{
    if (request.head.target == "/metrics") {
        m_context.metrics.gauge("quarantined_requests", static_cast<double>(m_context.quarantine.size()));
        m_context.metrics.gauge("limited_targets", static_cast<double>(m_context.pool.limitedCount(steadyNow())));
        m_context.metrics.gauge("admission_waiting", static_cast<double>(m_context.admission.queue().size()));
        m_context.metrics.gauge("open_message_bytes", static_cast<double>(m_context.openMessages->used()));
        m_context.metrics.gauge("members_dialled", static_cast<double>(m_context.reachability->probeCount()));
        respond(net::plainResponse(200, m_context.metrics.text(), "text/plain"));
        return;
    }
    if (request.head.target == pushbackPath) {
        respond(net::plainResponse(200, pushbackPage(m_context.pool.restrictedTargets(steadyNow()))));
        return;
    }
    if (request.head.target == admissionPath) {
        respond(net::plainResponse(200, admissionPage(admissionOverview(), steadyNow())));
        return;
    }
    respond(net::plainResponse(isReady() ? 200 : 503, isReady() ? "ready\n" : "not ready\n", "text/plain"));
}

int runGateway(const settings::settings& settings, const gateway::traffic_dialect& traffic,
    const gateway::control_dialect& control)
{
    return runReloadableRole<gateway_role>(
        settings, settings::process_role::Gateway, [&](link::event_loop& loop, telemetry::metrics& metrics) {
            return std::make_unique<gateway_role>(loop, settings, traffic, control, metrics);
        });
}

} // namespace buckthornrail::app
