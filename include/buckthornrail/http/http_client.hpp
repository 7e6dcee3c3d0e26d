/// @file
/// @brief HTTP client by cpp-httplib. (CivetWeb's own client can't time out while it reads a body.)
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/messages.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::http {

using dispatch::header_field;

struct client_request {
    std::string address; ///< "IP:port"
    std::string method;
    std::string path; ///< with the query
    std::vector<header_field> headers;
    std::string body;
    std::string contentType;
    steady_time deadline {}; ///< of the whole call
    milliseconds connectTimeout { 1000 };
};

enum class client_outcome {
    Ok,
    NotSent, ///< no connection: the other side got nothing
    Broken, ///< the connection ended early
    TimedOut,
    Cancelled,
};

struct client_response {
    client_outcome outcome = client_outcome::Broken;
    int status = 0;
    std::vector<header_field> headers;
    std::string body; ///< empty when a receiver took it
};

/// Stops a call from another thread.
class call_canceller {
public:
    call_canceller();
    call_canceller(const call_canceller&) = delete;
    call_canceller& operator=(const call_canceller&) = delete;
    ~call_canceller();
    void cancel();

    struct implementation;
    implementation& internals() { return *m_implementation; }

private:
    std::unique_ptr<implementation> m_implementation;
};

/// Gets the body piece by piece. @return false to stop the call
using body_receiver = std::function<bool(const char* data, std::size_t size)>;
/// Gets status and headers before the body.
using head_receiver = std::function<void(int status, const std::vector<header_field>& headers)>;

/// @brief Makes one call; blocks. @param canceller may be null
client_response call(const client_request& request, const head_receiver& onHead = {}, const body_receiver& onBody = {},
    call_canceller* canceller = nullptr);

} // namespace buckthornrail::http
