/// @file
/// @brief Routing of a request and its attempts at targets.
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

} // namespace

gateway_call::gateway_call(gateway_context& context, response_sink& sink, http1::request_head head, std::string body)
    : m_context(context)
    , m_number(++context.lastCallNumber)
    , m_sink(&sink)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_held(*context.openMessages, [this] { onEvicted(); })
    , m_timer(context.loop)
    , m_connectTimer(context.loop)
    , m_progressTimer(context.loop)
{
    m_context.openCalls.insert(this);
}

gateway_call::~gateway_call()
{
    cancelAttempt();
    m_context.quarantine.endTrial(m_number);
    m_context.crashes.forgetCall(m_number);
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
    request.sharedParts = m_caller.sharedParts;
    m_partFingerprints.clear(); // they depend on the service
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
    m_response.emplace(m_context.responseLimits, m_head.method);
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
    m_context.crashes.onAttemptOpened(m_number, selected.parts, now, partFingerprints());
    m_connection->write(http1::formatRequest(m_context.dialect.writeForwarded(m_head, added), m_body));
    m_connectTimer.set(now + connectTimeout, [ifCurrent] {
        ifCurrent([](gateway_call& self) {
            if (!self.m_isConnected)
                self.failAttempt(gateway::attempt_failure::ConnectFailed);
        });
    });
}

void gateway_call::cancelAttempt()
{
    m_connectTimer.cancel();
    m_progressTimer.cancel();
    (void)m_held.resize(0);
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
    m_response->receive(bytes);
    if (!m_isStream && m_response->hasHead())
        recordProgress();
    if (updateHeldBytes())
        advance();
}

bool gateway_call::updateHeldBytes() { return m_held.resize(m_response->heldBytes()); }

void gateway_call::onEvicted()
{
    if (!m_response || m_response->end() == http1::message_end::OverBound)
        return;
    m_response->cutOff(http1::message_bound::OpenBytes);
    const std::weak_ptr<gateway_call> weak = weak_from_this();
    // Deferred: the bytes of another call may be on the stack.
    m_context.loop.post([weak, attempt = m_attempt] {
        const auto self = weak.lock();
        if (self && self->m_connection && self->m_attempt == attempt)
            self->failCutOff();
    });
}

void gateway_call::recordProgress() { m_progressAt = steadyNow(); }

void gateway_call::checkProgressAt(steady_time when)
{
    const std::weak_ptr<gateway_call> weak = weak_from_this();
    m_progressTimer.set(when, [weak, attempt = m_attempt] {
        const auto self = weak.lock();
        if (!self || !self->m_connection || self->m_attempt != attempt)
            return;
        const auto deadline = self->m_progressAt + self->m_context.maxPause;
        if (steadyNow() < deadline) {
            self->checkProgressAt(deadline);
            return;
        }
        self->m_response->cutOff(http1::message_bound::Progress);
        self->failCutOff();
    });
}

void gateway_call::failCutOff()
{
    const std::string bound(nameIn(http1::messageBoundNames, m_response->exceeded()));
    m_context.metrics.count("messages_cut_off", bound);
    const auto& first = m_selection.parts.front();
    telemetry::logEvent(event_code::MessageCutOff,
        { { "request", m_caller.requestId }, { "from", "target" }, { "target", text(first.target) },
            { "address", first.address }, { "bound", bound }, { "held", std::to_string(m_held.bytes()) },
            { "open", std::to_string(m_context.openMessages->used()) } });
    failAttempt(gateway::attempt_failure::InvalidResponse);
}

void gateway_call::onEnded(net::connection_end end)
{
    const auto self = shared_from_this();
    const bool isOrderly = end == net::connection_end::Closed;
    m_response->connectionEnded(isOrderly ? http1::transport_end::Closed : http1::transport_end::Reset);
    if (m_isConnected) {
        advance();
        return;
    }
    m_context.pool.markRefusing(m_selection.parts.front().address);
    m_context.requestHeartbeat(); // the controllers find out whether it has ended
    failAttempt(gateway::attempt_failure::ConnectFailed);
}

void gateway_call::failAttempt(gateway::attempt_failure how)
{
    const auto end = m_response->end();
    if (how == gateway::attempt_failure::ConnectionLost
        && m_context.crashes.mayHaveCrashedTarget(m_number, steadyNow())) {
        (void)m_context.crashes.onConnectionLost(m_number, fingerprint(), steadyNow());
        m_context.reachability->reprobe(m_selection.parts.front().address);
    }
    m_context.metrics.count("response_ends", std::string(nameIn(http1::messageEndNames, end)));
    m_exchange->onAttemptFailed(how, end, steadyNow());
}

void gateway_call::advance()
{
    const auto self = shared_from_this();
    const std::uint32_t attempt = m_attempt;
    const auto isCurrent = [this, attempt] { return m_connection && m_attempt == attempt; };
    if (m_response->end() == http1::message_end::OverBound) {
        failCutOff();
        return;
    }
    if (m_response->end() == http1::message_end::Malformed) {
        failAttempt(gateway::attempt_failure::InvalidResponse);
        return;
    }
    if (m_response->hasHead() && !m_isHeadReported) {
        m_isHeadReported = true;
        recordProgress();
        const auto decoded = m_context.dialect.readResponse(m_response->head(), m_caller.requestId);
        m_isStream = decoded.isEventStream && m_exchange->request().isStream() && decoded.status == 200;
        checkProgressAt(m_progressAt + m_context.maxPause);
        m_exchange->onHead(decoded, steadyNow());
        if (!isCurrent())
            return;
    }
    if (m_isStream) {
        passEventsOn();
        if (isCurrent())
            (void)updateHeldBytes();
    }
    const auto end = m_response->end();
    if (!isCurrent() || end == http1::message_end::Open)
        return;
    if (!http1::isWhole(end)) {
        failAttempt(gateway::attempt_failure::ConnectionLost);
        return;
    }
    m_context.metrics.count("response_ends", std::string(nameIn(http1::messageEndNames, end)));
    constexpr int firstErrorStatus = 300;
    if (m_response->head().status < firstErrorStatus)
        recordSurvival(true);
    if (m_isStream)
        m_exchange->onStreamEnd(end, steadyNow());
    else
        m_exchange->onBody(end, steadyNow());
}

void gateway_call::passEventsOn()
{
    const std::uint32_t attempt = m_attempt;
    for (const auto& event : m_response->takeEvents()) {
        if (!m_connection || m_attempt != attempt)
            return;
        if (!event.hasContent) {
            m_exchange->onPadding(event.bytes);
            continue;
        }
        recordProgress();
        m_context.crashes.onFirstEvent(m_number, steadyNow());
        recordSurvival(false);
        m_exchange->onEvent(event.bytes, event.id, steadyNow());
    }
    if (m_connection && m_sink != nullptr && m_sink->pendingBytes() > maxPendingBytes)
        m_connection->setReading(false);
}

void gateway_call::refuse(result_code code, const std::string& reason)
{
    const std::uint64_t version = m_context.document ? m_context.document->version() : 0;
    telemetry::logEvent(event_code::CallRefused,
        { { "request", m_caller.requestId }, { "code", std::to_string(static_cast<int>(code)) }, { "reason", reason },
            { "version", std::to_string(version) }, { "target", m_head.target } });
    sendError(code, ran_state::No, reason);
}

void gateway_call::finish(bool aborted)
{
    m_timer.cancel();
    auto* sink = std::exchange(m_sink, nullptr);
    if (sink != nullptr)
        sink->finished(aborted);
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
