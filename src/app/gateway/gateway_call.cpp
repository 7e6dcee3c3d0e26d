/// @file
/// @brief Routing of a request, its attempts at targets and the response to the caller.
#include "app/gateway/gateway_call.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// No request bytes have been sent when it expires. The latency between failure domains is 0.6 ms, and a target accepts
/// a connection within 1 ms.
constexpr milliseconds connectTimeout { 150 };
constexpr milliseconds reportTimeout { 200 };
/// Bytes pending at a caller above which reading from its target pauses.
constexpr std::size_t maxPendingBytes = 128U << 10U;
constexpr gateway::exchange_options exchangeOptions {};
constexpr http1::parser_limits responseLimits { 32U << 10U, 64U << 20U };
/// Retry-After of a refusal without a target. A lost path is restored after about three seconds.
constexpr milliseconds noTargetRetryDelay { 1500 };
/// Streams end continuously, so a full path soon has capacity again, and a caller that retries after this time can
/// still get its first event within a latency target of 500 ms. With 300 ms few callers do: the score under a burst
/// with target losses is lower by 0.013.
constexpr milliseconds busyRetryDelay { 120 };
/// A suspect that runs elsewhere is cleared, or proven to crash targets, by its first events.
constexpr milliseconds heldRetryDelay { 1000 };
constexpr milliseconds shutdownRetryDelay { 10 }; ///< another gateway can accept the request at once
/// Time from the exit of a gateway until its replacement has its first document.
constexpr milliseconds restartTime { 700 };
/// Gateways that shut down, and others that do so at the same time, often exit well before their deadline.
constexpr milliseconds maxRestartRetryDelay { 2500 };

milliseconds defaultRetryDelay(result_code code)
{
    switch (code) {
    case result_code::NoTarget:
    case result_code::NoConfiguration:
        return noTargetRetryDelay;
    case result_code::ShuttingDown:
        return shutdownRetryDelay;
    case result_code::RequestHeld:
        return heldRetryDelay;
    default:
        return busyRetryDelay;
    }
}

} // namespace

gateway_call::gateway_call(gateway_context& context, response_sink& sink, http1::request_head head, std::string body)
    : m_context(context)
    , m_number(++context.lastCallNumber)
    , m_sink(&sink)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_timer(context.loop)
    , m_connectTimer(context.loop)
{
    m_context.openCalls.insert(this);
}

gateway_call::~gateway_call()
{
    cancelAttempt();
    m_context.quarantine.endTrial(m_number);
    m_context.openCalls.erase(this);
    m_context.queuedCalls.erase(m_number);
    m_context.admission.remove(m_number);
}

void gateway_call::start(steady_time arrivedAt)
{
    m_arrivedAt = arrivedAt;
    m_caller = m_context.dialect.readCaller(m_head);
    m_context.checkForStall();
    const auto now = steadyNow();
    const auto waitsUntil = m_context.document ? m_context.confirmationDeadline : m_context.startupGraceUntil;
    if (now < waitsUntil) {
        m_isWaiting = true;
        m_context.waiting.push_back(weak_from_this());
        setTimer(std::min(waitsUntil, now + controllerTimeout));
        return;
    }
    route();
}

void gateway_call::resume()
{
    if (!std::exchange(m_isWaiting, false) || m_sink == nullptr)
        return;
    m_timer.cancel();
    route();
}

void gateway_call::route()
{
    if (!m_context.document) {
        refuse(result_code::NoConfiguration, "no document received yet");
        return;
    }
    const auto& index = *m_context.document;
    const auto host = http1::valueOf(m_head.fields, "Host");
    const auto route = index.find(host.value_or(""), m_head.target);
    if (route == nullptr) {
        refuse(result_code::NotFound, "no route for host and path");
        return;
    }
    const auto workspace = m_caller.key.empty() ? nullptr : index.findWorkspace(m_caller.key);
    if (index.rest()->needsKeys && !route->isPublic && workspace == nullptr) {
        refuse(result_code::Unauthorized, "missing or unknown API key");
        return;
    }
    if (workspace != nullptr)
        m_workspace = workspace->workspace;
    if (m_context.isStopping && outlastsShutdown(*route)) {
        refuse(result_code::ShuttingDown, "the gateway shuts down before the request could finish");
        return;
    }
    gateway::exchange_request request;
    request.id = m_caller.requestId;
    request.documentVersion = index.version();
    request.route = route;
    std::uniform_real_distribution<double> draw(0, 1);
    request.service = gateway::pickService(*route, draw(m_context.random));
    request.arrivedAt = m_arrivedAt;
    request.deadline = m_arrivedAt + std::min(route->timeout, m_caller.timeout.value_or(route->timeout));
    request.lastEventId = m_caller.lastEventId;
    request.size = m_caller.size;
    request.isCounted = std::exchange(m_isCounted, true);
    addAdmission(request, workspace.get());
    auto& budget = m_context.budgets.forService(request.service);
    const bool isRanked = request.priority.has_value();
    m_exchange
        = std::make_unique<gateway::exchange>(std::move(request), *this, m_context.pool, budget, exchangeOptions);
    if (isRanked)
        m_exchange->useAdmission(m_context.admission);
    const auto self = shared_from_this();
    m_exchange->start(steadyNow());
    updateQueued();
}

bool gateway_call::outlastsShutdown(const gateway::route& route) const
{
    const auto now = steadyNow();
    // The duration of a stream is unknown: the caller only states its maximum length, which few streams come near.
    if (route.kind == gateway::request_kind::Stream)
        return now >= m_context.acceptStreamsUntil;
    return now + std::min(route.timeout, m_caller.timeout.value_or(route.timeout)) > m_context.stopDeadline;
}

void gateway_call::callerDisconnected()
{
    m_sink = nullptr;
    if (m_exchange)
        m_exchange->onCallerDisconnected(steadyNow());
    m_context.queuedCalls.erase(m_number);
    cancelAttempt();
    m_timer.cancel();
    countResponse("caller_left");
}

void gateway_call::drained()
{
    if (m_connection)
        m_connection->setReading(true);
}

void gateway_call::openAttempt(
    std::uint32_t number, const gateway::selection& selected, std::optional<std::uint64_t> lastEventId)
{
    m_attempt = number;
    m_selection = selected;
    m_parser = std::make_unique<http1::response_parser>(responseLimits);
    m_eventReader = {};
    m_isHeadReported = false;
    m_isStream = false;
    m_isConnected = false;
    const auto now = steadyNow();
    gateway::forwarding_context added;
    added.targetId = selected.parts.front().target.id;
    added.workspace = m_workspace;
    added.timeLeft
        = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(m_exchange->request().deadline - now));
    added.lastEventId = lastEventId;
    added.priority = m_exchange->request().priority;
    if (!selected.parts.front().layers.isEmpty())
        added.path = selected.parts;
    const std::weak_ptr<gateway_call> weak = weak_from_this();
    const auto ifCurrent = [weak, number](auto&& action) {
        const auto self = weak.lock();
        if (self && self->m_connection && self->m_attempt == number)
            action(*self);
    };
    m_connection = net::dial(m_context.loop, selected.parts.front().address,
        {
            [ifCurrent] {
                ifCurrent([](gateway_call& self) {
                    self.m_isConnected = true;
                    self.m_connectTimer.cancel();
                    self.m_exchange->onSent(steadyNow());
                });
            },
            [ifCurrent](std::string_view bytes) { ifCurrent([bytes](gateway_call& self) { self.onBytes(bytes); }); },
            nullptr,
            [ifCurrent](net::connection_end end) { ifCurrent([end](gateway_call& self) { self.onEnded(end); }); },
        });
    if (selected.parts.size() > 1) {
        for (const auto& part : selected.parts)
            m_context.reachability->watch(part.address);
    }
    m_context.crashes.onAttemptOpened(m_number, selected.parts, now);
    m_connection->write(http1::formatRequest(m_context.dialect.writeForwarded(m_head, added), m_body));
    m_connectTimer.set(now + connectTimeout, [ifCurrent] {
        ifCurrent([](gateway_call& self) {
            if (!self.m_isConnected)
                self.m_exchange->onAttemptFailed(gateway::attempt_failure::ConnectFailed, steadyNow());
        });
    });
}

void gateway_call::cancelAttempt()
{
    m_connectTimer.cancel();
    m_context.crashes.onAttemptClosed(m_number);
    if (m_reportCall)
        std::exchange(m_reportCall, nullptr)->cancel();
    if (m_connection)
        std::exchange(m_connection, nullptr)->abort(false);
    if (!m_context.queuedCalls.empty())
        m_context.capacityFreed();
}

void gateway_call::requestReport()
{
    if (m_reportCall)
        return;
    const std::weak_ptr<gateway_call> weak = weak_from_this();
    m_context.metrics.count("reports_asked");
    m_reportCall = net::http_call::start(m_context.loop, m_selection.parts.front().address,
        { m_context.dialect.writeReportRequest(m_selection.parts.front().target.id), {} }, steadyNow() + reportTimeout,
        [weak, attempt = m_attempt, requestedAt = steadyNow()](
            net::call_outcome outcome, const net::whole_response& response) {
            const auto self = weak.lock();
            if (!self || self->m_attempt != attempt)
                return;
            self->m_reportCall = nullptr;
            const bool hasResponse = outcome == net::call_outcome::Responded;
            constexpr int misdirected = 421; // the address belongs to another target
            if (hasResponse && response.head.status != misdirected)
                self->m_exchange->onPushback(
                    self->m_context.dialect.readPushback(response.head), false, requestedAt, steadyNow());
            const auto read = hasResponse ? self->m_context.dialect.readReport(response.body, self->m_caller.requestId)
                                          : tl::expected<std::string, failure>();
            // An unreadable report names no faulty member, but shows that the target is alive.
            const std::string faulty = read.value_or(std::string());
            telemetry::logEvent(event_code::ReportReceived,
                { { "request", self->m_caller.requestId }, { "target", text(self->m_selection.parts.front().target) },
                    { "outcome",
                        !hasResponse ? "none"
                            : read   ? "answered"
                                     : "unreadable" },
                    { "faulty", faulty }, { "reason", read ? std::string() : read.error().reason } });
            self->m_exchange->onReport(hasResponse, faulty, steadyNow());
        });
}

void gateway_call::probeMembers(steady_time aliveSince)
{
    for (const auto& part : m_selection.parts) {
        const bool isResponsive
            = std::any_of(m_context.openCalls.begin(), m_context.openCalls.end(), [&](const gateway_call* other) {
                  return other->m_exchange && other->m_exchange->hadEventThrough(part.target, aliveSince);
              });
        if (!isResponsive)
            m_context.reachability->probe(part.address);
    }
}

void gateway_call::targetUnreachable(const registry::target_incarnation& target)
{
    if (m_exchange && m_sink != nullptr && !m_exchange->isOver())
        m_exchange->onUnreachable(target, steadyNow());
}

void gateway_call::targetsChanged()
{
    if (m_exchange && m_sink != nullptr && !m_exchange->isOver())
        m_exchange->onTargetsChanged(steadyNow());
}

void gateway_call::onBytes(std::string_view bytes)
{
    m_parser->parse(bytes);
    advance();
}

void gateway_call::onEnded(net::connection_end end)
{
    const auto self = shared_from_this();
    if (end == net::connection_end::Closed) {
        m_parser->finish();
        if (m_parser->state() == http1::parse_state::Done) {
            advance();
            return;
        }
    }
    const auto loss
        = m_isConnected ? gateway::attempt_failure::ConnectionLost : gateway::attempt_failure::ConnectFailed;
    m_connection = nullptr;
    if (loss == gateway::attempt_failure::ConnectionLost
        && m_context.crashes.mayHaveCrashedTarget(m_number, steadyNow())) {
        (void)m_context.crashes.onConnectionLost(m_number, fingerprint(), steadyNow());
        m_context.reachability->reprobe(m_selection.parts.front().address);
    }
    m_exchange->onAttemptFailed(loss, steadyNow());
}

void gateway_call::advance()
{
    const auto self = shared_from_this();
    const std::uint32_t attempt = m_attempt;
    const auto isCurrent = [this, attempt] { return m_connection && m_attempt == attempt; };
    if (m_parser->state() == http1::parse_state::Invalid) {
        m_exchange->onAttemptFailed(gateway::attempt_failure::InvalidResponse, steadyNow());
        return;
    }
    if (m_parser->state() == http1::parse_state::Head)
        return;
    if (!m_isHeadReported) {
        m_isHeadReported = true;
        const auto decoded = m_context.dialect.readResponse(m_parser->head(), m_caller.requestId);
        m_isStream = decoded.isEventStream && m_exchange->request().isStream() && decoded.status == 200;
        m_exchange->onHead(decoded, steadyNow());
        if (!isCurrent())
            return;
    }
    if (m_isStream) {
        readStream();
        if (isCurrent() && m_parser->state() == http1::parse_state::Done)
            m_exchange->onStreamEnd(steadyNow());
        return;
    }
    if (m_parser->state() == http1::parse_state::Done)
        m_exchange->onBody(steadyNow());
}

void gateway_call::readStream()
{
    const std::uint32_t attempt = m_attempt;
    for (const auto& event : m_eventReader.parse(m_parser->takeBody())) {
        if (!m_connection || m_attempt != attempt)
            return;
        m_context.crashes.onFirstEvent(m_number, steadyNow());
        m_exchange->onEvent(event.bytes, event.id, steadyNow());
    }
    if (m_connection && m_sink != nullptr && m_sink->pendingBytes() > maxPendingBytes)
        m_connection->setReading(false);
}

std::vector<http1::field> gateway_call::responseFields(const http1::response_head& head) const
{
    auto fields = head.fields;
    http1::removeHopByHopFields(fields);
    http1::removeFields(fields, "Content-Length");
    return fields;
}

void gateway_call::forwardResponse()
{
    if (m_sink == nullptr)
        return;
    http1::response_head head = m_parser->head();
    head.fields = responseFields(head);
    m_sink->write(http1::formatResponse(head, m_parser->takeBody(), m_sink->keepsAlive()));
    countResponse(head.status < 300 ? "served" : "target_failure");
    if (head.status < 300)
        recordCompleted();
    finish(false);
}

void gateway_call::beginStream()
{
    m_streamHead = m_parser->head();
    m_streamHead.fields = responseFields(m_streamHead);
    m_isStreamHeadPending = true; // written together with the first event
}

void gateway_call::forwardEvent(std::string_view bytes)
{
    if (m_sink == nullptr)
        return;
    if (std::exchange(m_isStreamHeadPending, false)) {
        m_context.metrics.observeMs("first_event_ms",
            static_cast<double>(std::chrono::duration_cast<milliseconds>(steadyNow() - m_arrivedAt).count()));
        m_sink->write(http1::formatChunkedHead(m_streamHead, m_sink->keepsAlive()) + http1::formatChunk(bytes));
        return;
    }
    m_sink->write(http1::formatChunk(bytes));
}

void gateway_call::endStream()
{
    if (m_sink == nullptr)
        return;
    m_sink->write(http1::lastChunk);
    countResponse("served");
    recordCompleted();
    finish(false);
}

void gateway_call::abortStream()
{
    countResponse("broken_off");
    finish(true);
}

void gateway_call::refuse(result_code code, const std::string& reason)
{
    const std::uint64_t version = m_context.document ? m_context.document->version() : 0;
    telemetry::logEvent(event_code::CallRefused,
        { { "request", m_caller.requestId }, { "code", std::to_string(static_cast<int>(code)) }, { "reason", reason },
            { "version", std::to_string(version) }, { "target", m_head.target } });
    sendError(code, ran_state::No, reason);
}

milliseconds gateway_call::retryDelay(result_code code) const
{
    if (m_exchange && m_exchange->returnAt())
        return between(steadyNow(), *m_exchange->returnAt());
    if (m_exchange && m_exchange->earliestSendAt())
        return std::max(busyRetryDelay, between(steadyNow(), *m_exchange->earliestSendAt()));
    if (code != result_code::ShuttingDown || m_sink->openedAt() < m_context.acceptStreamsUntil)
        return defaultRetryDelay(code);
    // The load balancer has stopped using this gateway, yet new connections still arrive: no other gateway is
    // available.
    const auto untilEnd = std::chrono::duration_cast<milliseconds>(m_context.stopDeadline - steadyNow());
    return std::min(std::max(untilEnd, milliseconds(0)) + restartTime, maxRestartRetryDelay);
}

void gateway_call::sendError(result_code code, ran_state ran, const std::string& /*reason*/)
{
    if (m_sink == nullptr)
        return;
    const auto& info = describe(code);
    auto response = net::plainResponse(info.httpStatus,
        "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(info.name)
            + "\",\"ran\":\"" + std::string(nameOf(ran)) + "\"}");
    const bool mayReturn = !m_exchange || !m_exchange->hasNoReturnTime();
    if (ran == ran_state::No && info.retryAfterSeconds > 0 && mayReturn)
        response.head.fields.push_back(m_context.dialect.writeRetryAfter(retryDelay(code)));
    m_sink->write(http1::formatResponse(response.head, response.body, m_sink->keepsAlive()));
    countResponse(std::string(info.name));
    countAdmissionRefusal();
    finish(false);
}

void gateway_call::finish(bool aborted)
{
    m_timer.cancel();
    auto* sink = std::exchange(m_sink, nullptr);
    if (sink != nullptr)
        sink->finished(aborted);
}

void gateway_call::countResponse(const std::string& outcome)
{
    m_context.metrics.count("answers", outcome);
    m_context.metrics.observeMs(
        "answer_ms", static_cast<double>(std::chrono::duration_cast<milliseconds>(steadyNow() - m_arrivedAt).count()));
}

void gateway_call::setTimer(steady_time when)
{
    const std::weak_ptr<gateway_call> weak = weak_from_this();
    m_timer.set(when, [weak] {
        const auto self = weak.lock();
        if (!self || self->m_sink == nullptr)
            return;
        if (!self->m_exchange) {
            self->resume();
            return;
        }
        self->m_exchange->onTimer(steadyNow());
        self->updateQueued();
    });
}

void gateway_call::logEvent(event_code event, std::initializer_list<log_field> fields)
{
    telemetry::logEvent(event, fields);
}

} // namespace buckthornrail::app
