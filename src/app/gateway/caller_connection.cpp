/// @file
/// @brief Reads requests from a caller's connection.
#include "app/gateway/caller_connection.hpp"

namespace buckthornrail::app {
namespace {

/// Bytes of pipelined requests that are buffered during a call; above that, reading pauses.
constexpr std::size_t maxPipelinedBytes = 64U << 10U;

http1::parser_limits parserLimits(const gateway::caller_limits& limits)
{
    return { limits.maxHeadBytes, limits.maxBodyBytes };
}

} // namespace

caller_connection::caller_connection(gateway_role& gateway, net::connection_pointer connection)
    : m_gateway(gateway)
    , m_connection(std::move(connection))
    , m_parser(parserLimits(gateway.limits()))
    , m_held(*gateway.context().openMessages, [this] { onEvicted(); })
    , m_timeoutTimer(gateway.loop())
{
}

void caller_connection::begin()
{
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    m_connection->setHandlers({
        nullptr,
        [weak](std::string_view bytes) {
            if (const auto self = weak.lock())
                self->onBytes(bytes);
        },
        [weak] {
            if (const auto self = weak.lock())
                self->onDrained();
        },
        [weak](net::connection_end) {
            if (const auto self = weak.lock())
                self->onEnded();
        },
    });
    startIdleTimer();
}

http1::response_terms caller_connection::terms() const
{
    auto terms = m_terms;
    terms.keepAlive = terms.keepAlive && !m_gateway.context().isStopping;
    return terms;
}

void caller_connection::streamBegins()
{
    if (!m_terms.acceptsChunks)
        m_connection->resetUnlessClosedInOrder();
}

void caller_connection::onBytes(std::string_view bytes)
{
    if (m_isClosed || m_isClosing || m_isCutOff)
        return;
    if (!m_hasRequestStarted && !m_call) {
        m_hasRequestStarted = true;
        m_firstByteAt = steadyNow();
        const std::weak_ptr<caller_connection> weak = weak_from_this();
        m_timeoutTimer.set(m_firstByteAt + m_gateway.limits().headerTimeout, [weak] {
            const auto self = weak.lock();
            if (self && !self->m_call)
                self->refuse(result_code::SlowSender);
        });
    }
    m_parser.parse(bytes);
    updateHeldBytes();
    if (m_isCutOff)
        return;
    if (m_call) {
        if (m_parser.unparsedBytes() > maxPipelinedBytes)
            m_connection->setReading(false);
        return;
    }
    advance();
}

void caller_connection::write(std::string_view bytes)
{
    m_connection->write(bytes);
    updateHeldBytes();
}

void caller_connection::onDrained()
{
    updateHeldBytes();
    if (m_isClosing) {
        m_connection->closeAfterWrite();
        onEnded();
        return;
    }
    if (m_call)
        m_call->drained();
}

void caller_connection::updateHeldBytes()
{
    (void)m_held.resize(m_requestBytes + m_parser.heldBytes() + m_connection->pendingBytes());
}

void caller_connection::onEvicted()
{
    m_isCutOff = true;
    m_gateway.context().metrics.count(
        "messages_cut_off", std::string(nameIn(http1::messageBoundNames, http1::message_bound::OpenBytes)));
    telemetry::logEvent(event_code::MessageCutOff,
        { { "request", m_call ? m_call->requestId() : std::string() }, { "from", "caller" }, { "target", "" },
            { "address", "" }, { "bound", "open_bytes" }, { "held", std::to_string(m_connection->pendingBytes()) },
            { "open", std::to_string(m_gateway.context().openMessages->used()) } });
    const bool isReading = !m_call && m_connection->pendingBytes() == 0;
    m_parser.discard();
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    // Deferred: the bytes of another connection may be on the stack.
    m_gateway.loop().post([weak, isReading] {
        const auto self = weak.lock();
        if (!self || self->m_isClosed)
            return;
        if (isReading)
            self->refuse(result_code::Busy);
        else
            self->reset();
    });
}

void caller_connection::advance()
{
    const auto state = m_parser.state();
    if (state == http1::parse_state::Invalid) {
        const auto error = m_parser.error();
        refuse(error == http1::parse_error::HeadTooLarge    ? result_code::HeadTooLarge
                : error == http1::parse_error::BodyTooLarge ? result_code::BodyTooLarge
                                                            : result_code::MalformedRequest);
        return;
    }
    if (state == http1::parse_state::Body && m_parser.head().expectsContinue && !m_hasSentContinue) {
        m_hasSentContinue = true;
        m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (state == http1::parse_state::Done)
        startCall();
}

void caller_connection::startCall()
{
    m_timeoutTimer.cancel();
    m_terms = http1::termsFor(m_parser.head());
    m_terms.keepAlive = m_terms.keepAlive && !m_gateway.isCrowded();
    auto body = m_parser.takeBody();
    // The call needs the body for each attempt: it counts, and isn't dropped.
    m_requestBytes = body.size();
    m_held.setPinned(true);
    m_call = std::make_shared<gateway_call>(m_gateway.context(), *this, m_parser.head(), std::move(body));
    const auto call = m_call;
    call->start(m_firstByteAt);
}

void caller_connection::finished(bool aborted)
{
    const bool staysOpen = !aborted && terms().keepAlive;
    const bool mustReset = aborted && !m_terms.acceptsChunks;
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    // Deferred, as the call is still on the stack.
    m_gateway.loop().post([weak, staysOpen, mustReset] {
        const auto self = weak.lock();
        if (!self || self->m_isClosed)
            return;
        self->m_call = nullptr;
        self->m_requestBytes = 0;
        self->m_held.setPinned(false);
        self->updateHeldBytes();
        if (self->m_isCutOff)
            return;
        if (mustReset) {
            self->abort();
            return;
        }
        if (!staysOpen) {
            self->close();
            return;
        }
        self->m_hasRequestStarted = self->m_parser.unparsedBytes() > 0;
        self->m_firstByteAt = steadyNow();
        self->m_hasSentContinue = false;
        self->m_connection->setReading(true);
        self->m_parser.next();
        self->startIdleTimer();
        self->advance();
    });
}

void caller_connection::refuse(result_code code)
{
    const auto& info = describe(code);
    telemetry::logEvent(event_code::CallRefused,
        { { "code", std::to_string(static_cast<int>(code)) }, { "reason", std::string(info.name) } });
    const auto response
        = net::plainResponse(info.httpStatus, "{\"name\":\"" + std::string(info.name) + "\",\"ran\":\"no\"}");
    m_connection->write(http1::formatResponse(response.head, response.body, false));
    close();
}

void caller_connection::startIdleTimer()
{
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    m_timeoutTimer.set(steadyNow() + m_gateway.limits().idleTimeout, [weak] {
        const auto self = weak.lock();
        if (self && !self->m_call)
            self->close();
    });
}

void caller_connection::onEnded()
{
    if (std::exchange(m_isClosed, true))
        return;
    m_timeoutTimer.cancel();
    m_held.setPinned(false);
    (void)m_held.resize(0);
    const auto call = std::exchange(m_call, nullptr);
    if (call)
        call->callerDisconnected();
    m_gateway.removeConnection(shared_from_this());
}

void caller_connection::close()
{
    if (m_isClosed || m_isClosing)
        return;
    if (m_connection->pendingBytes() == 0) {
        m_connection->closeAfterWrite();
        onEnded();
        return;
    }
    m_isClosing = true;
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    m_timeoutTimer.set(steadyNow() + m_gateway.limits().idleTimeout, [weak] {
        if (const auto self = weak.lock())
            self->reset();
    });
}

void caller_connection::reset()
{
    m_connection->abort(true);
    onEnded();
}

void caller_connection::closeIfIdle()
{
    if (!m_call && !m_isClosing && m_parser.isIdle())
        close();
}

void caller_connection::abort()
{
    m_connection->abort(false);
    onEnded();
}

} // namespace buckthornrail::app
