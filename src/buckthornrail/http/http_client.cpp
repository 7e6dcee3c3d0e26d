/// @file
/// @brief HTTP calls with deadline and cancellation on cpp-httplib.
#include "buckthornrail/http/http_client.hpp"

#include "buckthornrail/http1/event_stream.hpp"

#include <algorithm>
#include <atomic>
#include <httplib.h>
#include <mutex>

namespace buckthornrail::http {
namespace {

constexpr milliseconds minTimeout { 1 };
constexpr std::string_view eventStreamType = "text/event-stream";

std::vector<header_field> copyHeaders(const httplib::Headers& headers)
{
    std::vector<header_field> fields;
    for (const auto& [name, value] : headers)
        fields.push_back({ name, value });
    return fields;
}

client_outcome outcomeOf(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Success:
        return client_outcome::Ok;
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return client_outcome::NotSent;
    case httplib::Error::Canceled:
        return client_outcome::Cancelled;
    default:
        return client_outcome::Broken;
    }
}

} // namespace

struct call_canceller::implementation {
    std::mutex mutex;
    httplib::Client* client = nullptr;
    bool cancelled = false;
};

call_canceller::call_canceller()
    : m_implementation(std::make_unique<implementation>())
{
}

call_canceller::~call_canceller() = default;

void call_canceller::cancel()
{
    const std::scoped_lock lock(m_implementation->mutex);
    m_implementation->cancelled = true;
    if (m_implementation->client != nullptr)
        m_implementation->client->stop();
}

client_response call(
    const client_request& request, const head_receiver& onHead, const body_receiver& onBody, call_canceller* canceller)
{
    const auto remaining
        = std::max(minTimeout, std::chrono::duration_cast<milliseconds>(request.deadline - boot_clock::now()));
    httplib::Client client("http://" + request.address);
    client.set_connection_timeout(std::min(remaining, request.connectTimeout));
    client.set_read_timeout(remaining);
    client.set_write_timeout(remaining);
    client.set_tcp_nodelay(true);
    client_response response;
    if (canceller != nullptr) {
        const std::scoped_lock lock(canceller->internals().mutex);
        if (canceller->internals().cancelled) {
            response.outcome = client_outcome::NotSent;
            return response;
        }
        canceller->internals().client = &client;
    }
    httplib::Request outgoing;
    outgoing.method = request.method;
    outgoing.path = request.path;
    outgoing.body = request.body;
    for (const auto& header : request.headers)
        outgoing.headers.emplace(header.name, header.value);
    if (!request.contentType.empty())
        outgoing.headers.emplace("Content-Type", request.contentType);
    bool isPastDeadline = false;
    bool isOverBound = false;
    std::optional<http1::event_stream_reader> events; // empty: the body isn't an event stream
    outgoing.response_handler = [&](const httplib::Response& head) {
        response.status = head.status;
        response.headers = copyHeaders(head.headers);
        if (head.get_header_value("Content-Type").starts_with(eventStreamType))
            events.emplace(request.maxEventBytes, request.maxPaddingBytes);
        if (onHead)
            onHead(head.status, response.headers);
        return true;
    };
    outgoing.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        isPastDeadline = boot_clock::now() >= request.deadline;
        if (isPastDeadline)
            return false;
        if (events)
            (void)events->parse(std::string_view(data, size));
        const bool isBodyOverBound = !onBody && response.body.size() + size > request.maxBodyBytes;
        isOverBound = isBodyOverBound || (events && events->error() != http1::event_stream_error::None);
        if (isOverBound)
            return false;
        if (onBody)
            return onBody(data, size);
        response.body.append(data, size);
        return true;
    };
    const auto result = client.send(outgoing);
    response.outcome = outcomeOf(result.error());
    if (isOverBound)
        response.outcome = client_outcome::Broken;
    // Its sender broke off an event stream that ends within an event, however the response is framed.
    if (response.outcome == client_outcome::Ok && events && events->hasPartialEvent())
        response.outcome = client_outcome::Broken;
    if (isPastDeadline || (response.outcome == client_outcome::Broken && boot_clock::now() >= request.deadline))
        response.outcome = client_outcome::TimedOut;
    if (canceller != nullptr) {
        const std::scoped_lock lock(canceller->internals().mutex);
        canceller->internals().client = nullptr;
        // A call that was never connected stays NotSent, even when it was cancelled.
        if (canceller->internals().cancelled && response.outcome != client_outcome::Ok
            && response.outcome != client_outcome::NotSent)
            response.outcome = client_outcome::Cancelled;
    }
    return response;
}

} // namespace buckthornrail::http
