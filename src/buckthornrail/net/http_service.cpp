/// @file
/// @brief HTTP/1.1 server and client on TCP connections.
#include "buckthornrail/net/http_service.hpp"

#include <array>
#include <utility>

namespace buckthornrail::net {
namespace {

constexpr int badRequest = 400;
constexpr int unavailable = 503;
constexpr int headTooLarge = 431;
constexpr int bodyTooLarge = 413;

struct reason_phrase {
    int status;
    std::string_view text;
};

constexpr std::array reasonPhrases {
    reason_phrase { 200, "OK" },
    reason_phrase { 400, "Bad Request" },
    reason_phrase { 401, "Unauthorized" },
    reason_phrase { 404, "Not Found" },
    reason_phrase { 408, "Request Timeout" },
    reason_phrase { 409, "Conflict" },
    reason_phrase { 413, "Content Too Large" },
    reason_phrase { 429, "Too Many Requests" },
    reason_phrase { 431, "Request Header Fields Too Large" },
    reason_phrase { 500, "Internal Server Error" },
    reason_phrase { 502, "Bad Gateway" },
    reason_phrase { 503, "Service Unavailable" },
    reason_phrase { 504, "Gateway Timeout" },
};

/// Server side of one connection. Handles one request at a time.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(
        link::event_loop& loop, connection_pointer connection, request_handler handler, const service_options& options)
        : m_connection(std::move(connection))
        , m_handler(std::move(handler))
        , m_options(options)
        , m_parser(options.limits)
        , m_idleTimer(loop)
    {
        if (options.openMessages != nullptr)
            m_held.emplace(*options.openMessages, [this] { onEvicted(); });
    }

    void start()
    {
        const auto self = shared_from_this();
        m_connection->setHandlers({ nullptr, [self](std::string_view bytes) { self->onBytes(bytes); }, nullptr,
            [self](connection_end) {
                self->m_idleTimer.cancel();
                self->updateHeldBytes(0);
            } });
        startIdleTimer();
    }

private:
    void startIdleTimer()
    {
        const std::weak_ptr<server_connection> weak = weak_from_this();
        m_idleTimer.set(boot_clock::now() + m_options.idleTimeout, [weak] {
            if (const auto self = weak.lock())
                self->m_connection->closeAfterWrite();
        });
    }

    void onBytes(std::string_view bytes)
    {
        if (m_isCutOff)
            return;
        m_parser.parse(bytes);
        updateHeldBytes(m_parser.heldBytes());
        if (!m_isCutOff)
            serve();
    }

    void updateHeldBytes(std::size_t bytes)
    {
        if (m_held)
            (void)m_held->resize(bytes);
    }

    /// All open messages together are too large, and this request is the largest.
    void onEvicted()
    {
        m_isCutOff = true;
        m_parser.discard();
        const std::weak_ptr<server_connection> weak = weak_from_this();
        // Deferred: the bytes of another connection may be on the stack.
        m_idleTimer.set(boot_clock::now(), [weak] {
            if (const auto self = weak.lock())
                self->serve();
        });
    }

    void serve()
    {
        if (m_isServing)
            return;
        if (m_parser.state() == http1::parse_state::Invalid) {
            const auto error = m_parser.error();
            const int status = m_isCutOff                   ? unavailable
                : error == http1::parse_error::HeadTooLarge ? headTooLarge
                : error == http1::parse_error::BodyTooLarge ? bodyTooLarge
                                                            : badRequest;
            const auto response = plainResponse(status, "{}");
            m_connection->write(http1::formatResponse(response.head, response.body, false));
            m_connection->closeAfterWrite();
            return;
        }
        if (m_parser.state() != http1::parse_state::Done)
            return;
        m_isServing = true;
        m_idleTimer.cancel();
        whole_request request { m_parser.head(), m_parser.takeBody() };
        updateHeldBytes(0);
        const std::weak_ptr<server_connection> weak = weak_from_this();
        m_handler(request, [weak, terms = http1::termsFor(request.head)](const whole_response& response) {
            if (const auto self = weak.lock())
                self->respond(response, terms);
        });
    }

    void respond(const whole_response& response, const http1::response_terms& terms)
    {
        m_connection->write(http1::formatResponse(response.head, response.body, terms));
        if (!terms.keepAlive) {
            m_connection->closeAfterWrite();
            return;
        }
        m_isServing = false;
        m_parser.next();
        startIdleTimer();
        serve();
    }

    connection_pointer m_connection;
    request_handler m_handler;
    service_options m_options;
    http1::request_parser m_parser;
    loop_timer m_idleTimer;
    bool m_isServing = false;
    bool m_isCutOff = false; ///< its request was dropped for want of memory
    std::optional<memory_lease> m_held; ///< bytes of the request that is being read; empty: they aren't counted
};

/// A call in flight. Its callback may release the last reference to it.
class pending_call : public http_call, public std::enable_shared_from_this<pending_call> {
public:
    pending_call(link::event_loop& loop, std::string_view method, callback done)
        : m_callback(std::move(done))
        , m_response(controlResponseLimits, method)
        , m_timer(loop)
    {
    }

    void start(link::event_loop& loop, const std::string& address, const whole_request& request, steady_time deadline)
    {
        const auto self = shared_from_this();
        m_connection = dial(loop, address,
            { nullptr, [self](std::string_view bytes) { self->onBytes(bytes); }, nullptr,
                [self](connection_end reason) { self->onEnded(reason); } });
        m_connection->write(http1::formatRequest(request.head, request.body));
        m_timer.set(deadline, [self] { self->finish(call_outcome::TimedOut); });
    }

    void cancel() override
    {
        m_callback = nullptr;
        finish(call_outcome::Broken);
    }

private:
    void onBytes(std::string_view bytes)
    {
        m_response.receive(bytes);
        if (m_response.end() != http1::message_end::Open)
            finish(http1::isWhole(m_response.end()) ? call_outcome::Responded : call_outcome::Broken);
    }

    void onEnded(connection_end reason)
    {
        if (reason == connection_end::Refused) {
            finish(call_outcome::Refused);
            return;
        }
        m_response.connectionEnded(
            reason == connection_end::Closed ? http1::transport_end::Closed : http1::transport_end::Reset);
        finish(http1::isWhole(m_response.end()) ? call_outcome::Responded : call_outcome::Broken);
    }

    void finish(call_outcome outcome)
    {
        const auto self = shared_from_this();
        m_timer.cancel();
        m_connection->abort(false);
        const auto done = std::exchange(m_callback, nullptr);
        if (!done)
            return;
        whole_response response;
        if (outcome == call_outcome::Responded)
            response = { m_response.head(), m_response.takeBody() };
        done(outcome, response);
    }

    callback m_callback;
    connection_pointer m_connection;
    http1::response_reader m_response;
    loop_timer m_timer;
};

} // namespace

struct http_service::implementation {
    implementation(link::event_loop& loop, request_handler handler, const service_options& options)
        : listener(loop, [&loop, handler = std::move(handler), options](const connection_pointer& connection) {
            std::make_shared<server_connection>(loop, connection, handler, options)->start();
        })
    {
    }
    tcp_listener listener;
};

http_service::http_service(link::event_loop& loop, request_handler handler, const service_options& options)
    : m_implementation(std::make_shared<implementation>(loop, std::move(handler), options))
{
}

http_service::~http_service() = default;

std::uint16_t http_service::listen(const std::string& address) { return m_implementation->listener.listen(address); }

void http_service::stop() { m_implementation->listener.stop(); }

std::shared_ptr<http_call> http_call::start(link::event_loop& loop, const std::string& address,
    const whole_request& request, steady_time deadline, callback done)
{
    auto call = std::make_shared<pending_call>(loop, request.head.method, std::move(done));
    call->start(loop, address, request, deadline);
    return call;
}

whole_response plainResponse(int status, const std::string& body, const std::string& contentType)
{
    whole_response response;
    response.head.status = status;
    for (const auto& row : reasonPhrases) {
        if (row.status == status)
            response.head.reason = row.text;
    }
    response.head.fields.push_back({ "Content-Type", contentType });
    response.body = body;
    return response;
}

} // namespace buckthornrail::net
