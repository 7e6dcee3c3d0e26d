/// @file
/// @brief Kept connections by cpp-httplib.
#include "support/kept_caller.hpp"

#include <httplib.h>

namespace test_support {

struct kept_caller::implementation {
    const gateway_world& world;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients; ///< by gateway
};

kept_caller::kept_caller(const gateway_world& world)
    : m_implementation(new implementation { world, {} })
{
}

kept_caller::~kept_caller() = default;

caller_answer kept_caller::call(const std::string& gateway, const std::string& method, const std::string& path,
    const std::string& requestId, std::chrono::milliseconds patience)
{
    auto& client = m_implementation->clients[gateway];
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + m_implementation->world.addressOf(gateway));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    client->set_connection_timeout(patience);
    client->set_read_timeout(patience);
    client->set_write_timeout(patience);
    httplib::Request request;
    request.method = method;
    request.path = path;
    for (const auto& [name, value] : gateway_world::callerFields(requestId, patience))
        request.headers.emplace(name, value);
    const auto result = client->send(request);
    caller_answer answer;
    if (!result) {
        client.reset(); // what may still come on it belongs to no request
        return answer;
    }
    answer.status = result->status;
    answer.isWhole = true;
    answer.body = result->body;
    answer.stamp = result->get_header_value("X-Buckthornrail-Server-Stamp");
    answer.comeBack = result->get_header_value("Retry-After");
    return answer;
}

} // namespace test_support
