/// @file
/// @brief Small HTTP/1.1 server and client on the event loop: whole messages in, whole messages out.
#pragma once

#include "buckthornrail/http1/message_parser.hpp"
#include "buckthornrail/net/tcp.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthornrail::net {

/// A whole message.
struct whole_request {
    http1::request_head head;
    std::string body;
};
struct whole_response {
    http1::response_head head;
    std::string body;
};

/// @brief Answers one request; callable once, at any later time, also when the caller is gone.
using responder = std::function<void(const whole_response&)>;
using request_handler = std::function<void(const whole_request&, responder)>;

struct service_options {
    http1::parser_limits limits { 16U << 10U, 8U << 20U };
    milliseconds idleTimeout { 30000 };
};

/// @brief Serves whole requests. Lives on the loop thread.
/// @ingroup net
class http_service {
public:
    http_service(link::event_loop& loop, request_handler handler, const service_options& options = {});
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;
    ~http_service();

    /// @return the port, or 0 when the address can't be used
    std::uint16_t listen(const std::string& address);
    /// @brief Accepts no more.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// How a call ended.
enum class call_outcome : std::uint8_t {
    Answered,
    Refused, ///< no connection: the request did not leave
    Broken, ///< the connection ended first, or what came is no response
    TimedOut,
};

/// @brief One request over a connection of its own. Destroying the handle ends it silently.
class http_call {
public:
    using callback = std::function<void(call_outcome, const whole_response&)>;

    /// @param deadline the callback comes by then
    static std::shared_ptr<http_call> start(link::event_loop& loop, const std::string& address,
        const whole_request& request, steady_time deadline, callback done);
    http_call() = default;
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    virtual ~http_call() = default;
    /// @brief Ends the call; the callback doesn't come.
    virtual void cancel() = 0;
};

/// @brief A response with a text or JSON body.
whole_response plainResponse(int status, const std::string& body, const std::string& contentType = "application/json");

} // namespace buckthornrail::net
