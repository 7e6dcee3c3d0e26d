/// @file
/// @brief Connects runs with the route table, the controller session and the links to sidecars.
#include "app/entry/entry.hpp"

#include "app/entry/entry_api.hpp"
#include "app/shared/role_runner.hpp"

namespace buckthornrail::app {
namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds readinessGrace { 1000 }; ///< for load balancers to see the failed readiness before refusals
constexpr milliseconds leaveTimeout { 1500 }; ///< for the controllers to acknowledge that this instance has left
constexpr std::size_t maxRecentRequests = 2000;

routing::route_options routeOptions(const settings::settings& settings)
{
    routing::route_options options;
    options.strategy = valueIn(routing::strategyNames, settings.strategy).value_or(options.strategy);
    options.failureDomain = settings.failureDomain;
    return options;
}

membership::instance_record makeRecord(const settings::settings& settings, incarnation_number incarnation)
{
    membership::instance_record record;
    record.id = settings.id;
    record.role = membership::instance_role::Entry;
    record.incarnation = incarnation;
    record.failureDomain = settings.failureDomain;
    record.httpAddress = settings.httpAddress;
    record.state = membership::instance_state::Ready;
    return record;
}

std::uint32_t millisecondsUntil(steady_time deadline, steady_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now).count();
    return left <= 0 ? 0 : static_cast<std::uint32_t>(left);
}

double elapsedMs(steady_time from, steady_time to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

bool isFailureOfTarget(result_code code)
{
    return code == result_code::TargetFailed || code == result_code::TargetStalled
        || code == result_code::AnswerIncomplete;
}

} // namespace

entry::entry(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_incarnation(randomNumber())
    , m_random(randomNumber())
    , m_routes(routeOptions(settings), randomNumber())
{
}

entry::~entry() = default;

tl::expected<void, failure> entry::start()
{
    m_hub = std::make_unique<link::link_hub>(m_loop,
        link::hub_handlers {
            [this](link::link_number linkNumber, bool) {
                if (!m_session->onOpened(linkNumber))
                    m_links->onOpened(linkNumber);
            },
            [this](link::link_number linkNumber) {
                if (!m_session->onClosed(linkNumber))
                    m_links->onClosed(linkNumber);
            },
            [this](link::link_number linkNumber, const std::string& bytes) { onMessage(linkNumber, bytes); },
            [this](link::link_number linkNumber) { m_session->onProgress(linkNumber); },
        });
    m_links = std::make_unique<sidecar_links>(*m_hub, m_settings.id, m_incarnation,
        sidecar_link_callbacks {
            [this](const attempt_id& attempt) { onUnsentOffer(attempt); },
            [this](const instance_id& instance) { onLinkLost(instance); },
        });
    m_session = std::make_unique<session_client>(
        m_loop, *m_hub, m_settings, makeRecord(m_settings, m_incarnation), true, sessionCallbacks());
    m_ticker = std::make_unique<periodic_task>(m_loop, tickPeriod, [this] { tick(); });
    return {};
}

session_callbacks entry::sessionCallbacks()
{
    session_callbacks callbacks;
    callbacks.leaseRenewed = [](configuration_version, steady_time) {};
    callbacks.configurationApplied = [this](const configuration::document&, configuration_version) {
        passEventToAll(m_runs, [](auto& run, steady_time now) { run.configurationReceived(now); });
    };
    callbacks.orderReceived = [](const dispatch::target_order&) {};
    callbacks.membershipChanged = [this](const membership::membership_delta& delta) { onMembership(delta); };
    callbacks.drainRequested = [this](bool drain) { m_drainedByOperator = drain; };
    callbacks.claimReplyReceived = [this](const link::claim_reply& reply) {
        const auto found = m_pendingClaims.find(reply.commandId);
        if (found == m_pendingClaims.end())
            return;
        const std::string id = found->second;
        m_pendingClaims.erase(found);
        withRun(id, [&reply](auto& run, steady_time now) {
            if (reply.available)
                run.claimReplyReceived(reply.result, now);
            else
                run.claimFailed(now);
        });
    };
    return callbacks;
}

void entry::stop(std::function<void()> done)
{
    m_isStopping = true;
    m_isReady = false;
    m_session->setState(membership::instance_state::Draining);
    m_loop.runAt(steadyNow() + readinessGrace, [this, done = std::move(done)]() mutable {
        m_refusesRequests = true;
        m_onStopped = std::move(done);
    });
}

void entry::callerGone(const std::string& requestId)
{
    withRun(requestId, [](auto& run, steady_time now) { run.callerGone(now); });
    withChain(requestId, [](auto& run, steady_time now) { run.callerGone(now); });
}

std::vector<std::string> entry::allowedPipelines(const std::string& workspace) const
{
    std::vector<std::string> names;
    for (const auto& [name, pipeline] : m_session->configuration().current().pipelines) {
        if (isWorkspaceAllowed(pipeline.workspaces, workspace))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> entry::explain(const std::string& requestId) const
{
    const auto found = m_decisions.find(requestId);
    return found == m_decisions.end() ? std::vector<std::string> {} : found->second;
}

void entry::onMessage(link::link_number linkNumber, const std::string& bytes)
{
    const auto message = decodeOrClose(*m_hub, linkNumber, bytes);
    if (message && !m_session->onMessage(linkNumber, *message))
        handle(linkNumber, *message);
}

void entry::handle(link::link_number linkNumber, const link::message& message)
{
    if (const auto* accepted = std::get_if<dispatch::attempt_accepted>(&message)) {
        withAttempt(accepted->attempt, [&](auto& run, steady_time now) { run.accepted(accepted->attempt, now); });
    } else if (const auto* refused = std::get_if<dispatch::attempt_refused>(&message)) {
        onRefused(linkNumber, *refused);
    } else if (const auto* started = std::get_if<dispatch::attempt_started>(&message)) {
        withAttempt(started->attempt, [&](auto& run, steady_time now) { run.started(started->attempt, now); });
        withChain(started->attempt.request, [&](auto& run, steady_time now) {
            run.stageOpened(m_links->instanceOf(linkNumber), started->attempt.number, now);
        });
    } else if (const auto* frame = std::get_if<dispatch::response_frame>(&message)) {
        withAttempt(frame->attempt, [&](auto& run, steady_time now) { run.frame(*frame, now); });
    } else if (const auto* end = std::get_if<dispatch::response_end>(&message)) {
        withAttempt(end->attempt, [&](auto& run, steady_time now) { run.ended(*end, now); });
    } else if (const auto* revoked = std::get_if<dispatch::revoke_reply>(&message)) {
        withAttempt(revoked->attempt, [&](auto& run, steady_time now) { run.revokeReplyReceived(*revoked, now); });
    } else if (const auto* attached = std::get_if<dispatch::attach_reply>(&message)) {
        withAttempt(attached->attempt, [&](auto& run, steady_time now) { run.attachReplyReceived(*attached, now); });
    } else if (const auto* load = std::get_if<dispatch::load_report>(&message)) {
        m_routes.applyLoadReport(*load, steadyNow());
    } else {
        handleStage(linkNumber, message);
    }
}

void entry::onRefused(link::link_number linkNumber, const dispatch::attempt_refused& refused)
{
    const std::string code(describe(refused.code).name);
    recordDecision(refused.attempt.request, "attempt " + std::to_string(refused.attempt.number) + " refused: " + code);
    telemetry::logEvent(event_code::AttemptRefused, { { "attempt", toString(refused.attempt) }, { "code", code } });
    withAttempt(refused.attempt, [&](auto& run, steady_time now) { run.refused(refused, now); });
    withChain(refused.attempt.request, [&](auto& run, steady_time now) {
        run.stageRefused(
            m_links->instanceOf(linkNumber), refused.attempt.number, { refused.code, refused.reason }, now);
    });
}

void entry::onMembership(const membership::membership_delta& delta)
{
    if (delta.full) {
        for (const auto& id : m_routes.ids()) {
            if (m_session->membership().find(id) == nullptr)
                m_routes.remove(id);
        }
    }
    for (const auto& record : delta.records) {
        m_routes.update(record);
        if (record.role == membership::instance_role::Sidecar && record.state == membership::instance_state::Lost)
            m_links->close(record.id);
    }
    m_metrics.gauge("known_targets", static_cast<double>(m_routes.size()));
}

void entry::onUnsentOffer(const attempt_id& attempt)
{
    withAttempt(attempt, [&](auto& run, steady_time now) { run.offerNotSent(attempt, now); });
}

void entry::onLinkLost(const instance_id& instance)
{
    passEventToAll(m_runs, [&](auto& run, steady_time now) { run.linkLost(instance, now); });
    passEventToAll(m_chains, [&](auto& run, steady_time now) { run.linkLost(instance, now); });
}

routing::route_query entry::makeQuery(const run_context& context, steady_time now) const
{
    const auto& request = context.request;
    routing::route_query query;
    query.model = context.admission.model;
    query.version = context.version;
    query.service = request.service;
    query.pools = context.admission.pools;
    query.work = std::max<std::uint32_t>(request.maxTokens, 1);
    query.startDeadline = std::max(request.deadline, now);
    if (!request.prompt.empty())
        query.prefixHash = routing::hashPrefix(request.workspace, request.prompt);
    return query;
}

void entry::startRun(run_context context)
{
    const auto& request = context.request;
    dispatch::run_request runRequest;
    runRequest.id = request.id;
    runRequest.nonIdempotent = context.admission.nonIdempotent;
    runRequest.claim = { request.workspace, request.idempotencyKey };
    runRequest.requestDigest = request.digest;
    runRequest.canResume = !request.pipeline.empty();
    runRequest.isStream = request.isStream;
    runRequest.deadline = request.deadline;
    dispatch::run_options options;
    options.progressTimeout = milliseconds(m_settings.progressTimeoutMs);
    const std::string id = request.id;
    m_runs.emplace(
        id, active_run { std::move(context), dispatch::request_run(std::move(runRequest), options, steadyNow()) });
    withRun(id, [](auto& run, steady_time now) { run.start(now); });
}

void entry::removeRun(const std::string& requestId)
{
    std::erase_if(m_attachedRequests, [&](const auto& item) { return item.second == requestId; });
    m_runs.erase(requestId);
    m_chains.erase(requestId);
}

void entry::applyEffect(active_run& active, const dispatch::run_effect& effect)
{
    if (const auto* choose = std::get_if<dispatch::choose_target>(&effect)) {
        chooseTarget(active, *choose);
    } else if (const auto* claim = std::get_if<dispatch::send_claim>(&effect)) {
        sendClaim(active, *claim);
    } else if (const auto* offer = std::get_if<dispatch::send_offer>(&effect)) {
        sendOffer(active, *offer);
    } else if (const auto* revoke = std::get_if<dispatch::send_revoke>(&effect)) {
        sendTo(revoke->target.instance,
            dispatch::attempt_revoke { revoke->attempt, revoke->target.incarnation, revoke->cancelStarted });
    } else if (const auto* attach = std::get_if<dispatch::send_attach>(&effect)) {
        telemetry::logEvent(event_code::ClaimHeld,
            { { "request", active.context.request.id }, { "holder", toString(attach->attempt) },
                { "instance", attach->target.instance } });
        recordDecision(active.context.request.id,
            "the key is held by attempt " + toString(attach->attempt) + " at " + attach->target.instance);
        m_attachedRequests.emplace(attach->attempt.request, active.context.request.id);
        sendTo(attach->target.instance, dispatch::response_attach { attach->attempt, attach->target.incarnation });
    } else if (const auto* frames = std::get_if<dispatch::deliver_frames>(&effect)) {
        for (const auto& frame : frames->frames)
            deliverFrame(active.context, frame);
    } else if (const auto* last = std::get_if<dispatch::finish_run>(&effect)) {
        recordOutcome(active.context, active.run.target().instance, last->result);
        finish(active.context, last->result, last->ran, last->finishReason);
    }
}

void entry::chooseTarget(active_run& active, const dispatch::choose_target& effect)
{
    auto& context = active.context;
    const steady_time now = steadyNow();
    recordOutcome(context, active.run.target().instance, effect.previous);
    if (effect.previousMayHaveRun) {
        telemetry::logEvent(event_code::AttemptLost,
            { { "request", context.request.id }, { "attempt", std::to_string(active.run.attempts()) },
                { "instance", active.run.target().instance },
                { "code", std::string(describe(effect.previous.code).name) }, { "reason", effect.previous.reason } },
            telemetry::severity::Warning);
    }
    if (effect.previousMayHaveRun && !m_retryBudgets[context.request.workspace].tryTake()) {
        recordDecision(context.request.id, "no retry: the workspace's retry budget is spent");
        active.run.noTarget({ result_code::RetryBudgetSpent, "" }, now);
        return;
    }
    const bool isStale = effect.previous.code == result_code::StaleConfiguration && context.framesDelivered == 0;
    const auto renewed = isStale ? readmit(context) : tl::expected<void, failure>();
    if (!renewed) {
        reportNoTarget(active, renewed.error(), now);
        return;
    }
    auto query = makeQuery(context, now);
    query.excluded = effect.excluded;
    const auto choice = m_routes.choose(query, now);
    if (!choice) {
        reportNoTarget(active, choice.error(), now);
        return;
    }
    telemetry::logEvent(event_code::RouteChosen,
        { { "request", context.request.id }, { "attempt", std::to_string(active.run.attempts() + 1) },
            { "candidates", std::to_string(choice->candidates) }, { "chosen", choice->instance },
            { "reason", std::string(choice->reason) }, { "version", context.version } });
    recordDecision(context.request.id,
        "attempt " + std::to_string(active.run.attempts() + 1) + " to " + choice->instance + ", one of "
            + std::to_string(choice->candidates) + " (" + std::string(choice->reason) + ")");
    active.run.targetChosen({ choice->instance, choice->incarnation }, now);
}

void entry::reportNoTarget(active_run& active, const failure& why, steady_time now)
{
    const std::string& request = active.context.request.id;
    telemetry::logEvent(event_code::RouteRefused,
        { { "request", request }, { "code", std::string(describe(why.code).name) }, { "reason", why.reason } });
    recordDecision(request, "no target: " + why.reason);
    active.run.noTarget(why, now);
}

void entry::sendOffer(active_run& active, const dispatch::send_offer& offer)
{
    auto& context = active.context;
    const steady_time now = steadyNow();
    dispatch::attempt_offer message = makeOffer(context, offer.attempt, offer.target.incarnation, now);
    message.nonIdempotent = active.run.request().nonIdempotent;
    if (context.request.pipeline.empty()) {
        message.work = context.request.call;
    } else {
        message.work.kind = dispatch::work_kind::Completion;
        message.work.model = context.admission.model;
        message.work.version = context.version;
        message.work.prompt = context.request.prompt;
        for (const auto& token : offer.priorTokens)
            message.work.prompt += token;
        message.work.maxTokens = context.request.maxTokens - static_cast<std::uint32_t>(offer.priorTokens.size());
    }
    context.attemptStartedAt = now;
    context.framesInAttempt = 0;
    context.isAttemptInFlight = true;
    m_routes.attemptOffered(offer.target.instance);
    sendTo(offer.target.instance, message);
}

dispatch::attempt_offer entry::makeOffer(
    const run_context& context, const attempt_id& attempt, incarnation_number incarnation, steady_time now) const
{
    dispatch::attempt_offer offer;
    offer.attempt = attempt;
    offer.incarnation = incarnation;
    offer.configuration = m_session->configuration().version();
    offer.startWithinMs = millisecondsUntil(context.request.deadline, now);
    offer.finishWithinMs = offer.startWithinMs;
    offer.workspace = context.request.workspace;
    offer.weight = context.admission.weight;
    offer.priority = context.admission.priority;
    return offer;
}

void entry::sendClaim(active_run& active, const dispatch::send_claim& claim)
{
    const auto& request = active.context.request;
    link::claim_request message;
    message.commandId = randomId();
    message.command.key = { request.workspace, request.idempotencyKey };
    message.command.requestDigest = request.digest;
    message.command.holder = claim.holder;
    message.command.replaces = claim.replaces;
    message.command.wallSeconds = wallSeconds();
    message.command.retainSeconds = m_settings.claimRetentionSeconds;
    m_pendingClaims[message.commandId] = request.id;
    if (!m_session->send(message))
        active.run.claimFailed(steadyNow());
}

void entry::recordOutcome(run_context& context, const instance_id& instance, const failure& outcome)
{
    if (!std::exchange(context.isAttemptInFlight, false))
        return;
    const steady_time now = steadyNow();
    if (isFailureOfTarget(outcome.code)) {
        m_routes.attemptFailed(instance, now);
        return;
    }
    // A request cut off by its deadline still yields a latency sample, so that slow targets are recognised.
    const double work = context.request.pipeline.empty() ? 1 : context.framesInAttempt;
    const bool hasSample = outcome.code == result_code::Ok
        || (outcome.code == result_code::DeadlinePassed && context.framesInAttempt > 0);
    if (hasSample)
        m_routes.attemptSucceeded(instance, elapsedMs(context.attemptStartedAt, now), work);
    else
        m_routes.attemptReleased(instance);
}

void entry::finish(run_context& context, const failure& result, ran_state ran, const std::string& finishReason)
{
    const auto& request = context.request;
    const std::string code(describe(result.code).name);
    auto& inFlight = m_inFlight[request.workspace];
    inFlight -= inFlight > 0 ? 1 : 0;
    telemetry::logEvent(event_code::RequestFinished,
        { { "request", request.id }, { "workspace", request.workspace }, { "code", code },
            { "ran", std::string(nameOf(ran)) }, { "reason", result.reason } });
    recordDecision(request.id, "finished: " + code + ", ran: " + std::string(nameOf(ran)));
    m_metrics.count("requests_total", code);
    m_metrics.observeMs("request_ms", elapsedMs(context.startedAt, steadyNow()));
    context.queue->push(final_result { result, ran, finishReason });
}

void entry::deliverFrame(run_context& context, dispatch::response_frame frame)
{
    if (context.framesDelivered++ == 0)
        m_metrics.observeMs("first_token_ms", elapsedMs(context.startedAt, steadyNow()));
    ++context.framesInAttempt;
    if (!context.queue->push(std::move(frame)))
        m_loop.post([this, id = context.request.id] { callerGone(id); });
}

void entry::sendTo(const instance_id& instance, const link::message& message)
{
    const auto* record = m_session->membership().find(instance);
    if (record != nullptr)
        m_links->send(instance, record->linkAddress, message);
}

void entry::tick()
{
    const steady_time now = steadyNow();
    passEventToAll(m_runs, [](auto& run, steady_time tickTime) { run.tick(tickTime); });
    passEventToAll(m_chains, [](auto& run, steady_time tickTime) { run.tick(tickTime); });
    m_isReady = !m_isStopping && !m_refusesRequests && !m_drainedByOperator && m_session->hasLease();
    m_metrics.gauge("requests_in_flight", static_cast<double>(m_runs.size() + m_chains.size()));
    m_metrics.gauge("link_bytes_sent", static_cast<double>(m_hub->bytesSent()));
    m_metrics.gauge("link_bytes_received", static_cast<double>(m_hub->bytesReceived()));
    if (!m_onStopped || !m_runs.empty() || !m_chains.empty() || m_activeHandlers > 0)
        return;
    if (m_session->record().state != membership::instance_state::Left) {
        m_session->setState(membership::instance_state::Left);
        m_leaveDeadline = now + leaveTimeout;
        return;
    }
    if (m_session->isStateAcknowledged() || now >= m_leaveDeadline)
        std::exchange(m_onStopped, {})();
}

void entry::recordDecision(const std::string& requestId, const std::string& decision)
{
    const auto [found, isNew] = m_decisions.try_emplace(requestId);
    found->second.push_back(decision);
    if (!isNew)
        return;
    m_recentRequests.push_back(requestId);
    if (m_recentRequests.size() <= maxRecentRequests)
        return;
    m_decisions.erase(m_recentRequests.front());
    m_recentRequests.pop_front();
}

int runEntry(const settings::settings& settings)
{
    return runRole<entry>(settings, settings::process_role::Entry,
        [&settings](link::event_loop& loop, entry& role) { return entryRoutes(loop, role, settings); });
}

} // namespace buckthornrail::app
