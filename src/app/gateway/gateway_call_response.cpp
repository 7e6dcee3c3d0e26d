/// @file
/// @brief The response to the caller: a target's whole response, its stream, or an error of the gateway.
#include "app/gateway/gateway_call.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

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

std::vector<http1::field> gateway_call::responseFields(const http1::response_head& head) const
{
    auto fields = head.fields;
    http1::removeHopByHopFields(fields);
    if (m_head.method != "HEAD")
        http1::removeFields(fields, "Content-Length");
    return fields;
}

void gateway_call::forwardResponse()
{
    if (m_sink == nullptr)
        return;
    http1::response_head head = m_response->head();
    head.fields = responseFields(head);
    auto body = m_response->takeBody();
    const auto text = http1::formatResponse(head, body, m_sink->terms());
    std::string().swap(body); // a large response isn't held twice while it is written
    m_sink->write(text);
    countResponse(head.status < 300 ? "served" : "target_failure");
    if (head.status < 300)
        recordCompleted();
    finish(false);
}

void gateway_call::beginStream()
{
    m_streamHead = m_response->head();
    m_streamHead.fields = responseFields(m_streamHead);
    http1::removeFields(m_streamHead.fields, "Content-Length"); // of a response to HEAD
    m_isStreamHeadPending = true; // written together with the first event
}

std::string gateway_call::takeStreamHead()
{
    if (!std::exchange(m_isStreamHeadPending, false))
        return {};
    m_context.metrics.observeMs("first_event_ms",
        static_cast<double>(std::chrono::duration_cast<milliseconds>(steadyNow() - m_arrivedAt).count()));
    m_streamTerms = m_sink->terms();
    m_sink->streamBegins();
    return http1::formatStreamHead(m_streamHead, m_streamTerms);
}

void gateway_call::forwardEvent(std::string_view bytes)
{
    if (m_sink == nullptr)
        return;
    const std::string head = takeStreamHead(); // sets the terms
    m_sink->write(head + http1::formatStreamPart(bytes, m_streamTerms));
}

void gateway_call::endStream()
{
    if (m_sink == nullptr)
        return;
    const std::string head = takeStreamHead();
    m_sink->write(head + std::string(http1::streamEnd(m_streamTerms)));
    countResponse("served");
    recordCompleted();
    finish(false);
}

void gateway_call::abortStream()
{
    countResponse("broken_off");
    finish(true);
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
    m_sink->write(http1::formatResponse(response.head, response.body, m_sink->terms()));
    countResponse(std::string(info.name));
    countAdmissionRefusal();
    finish(false);
}

void gateway_call::countResponse(const std::string& outcome)
{
    m_context.metrics.count("answers", outcome);
    m_context.metrics.observeMs(
        "answer_ms", static_cast<double>(std::chrono::duration_cast<milliseconds>(steadyNow() - m_arrivedAt).count()));
}

} // namespace buckthornrail::app
