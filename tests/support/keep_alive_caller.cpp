/// @file
/// @brief Keep-alive connections with cpp-httplib.
#include "support/keep_alive_caller.hpp"

#include <httplib.h>

namespace test_support {

struct keep_alive_caller::implementation {
    const gateway_cluster& cluster;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients; ///< by gateway
};

keep_alive_caller::keep_alive_caller(const gateway_cluster& cluster)
    : m_implementation(new implementation { cluster, {} })
{
}

keep_alive_caller::~keep_alive_caller() = default;

caller_response keep_alive_caller::call(const std::string& gateway, const std::string& method, const std::string& path,
    const std::string& requestId, std::chrono::milliseconds timeout)
{
    auto& client = m_implementation->clients[gateway];
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + m_implementation->cluster.addressOf(gateway));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    for (const auto& [name, value] :
        gateway_cluster::callerFields(requestId, timeout, "key-1", m_implementation->cluster.promptTokens()))
        request.headers.emplace(name, value);
    const auto result = client->send(request);
    caller_response response;
    if (!result) {
        client.reset(); // late bytes on this connection would be taken for the next response
        return response;
    }
    response.status = result->status;
    response.isComplete = true;
    response.body = result->body;
    response.serverStamp = result->get_header_value("X-Buckthornrail-Server-Stamp");
    response.retryAfter = result->get_header_value("Retry-After");
    return response;
}

} // namespace test_support
