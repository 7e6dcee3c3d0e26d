/// @file
/// @brief Error responses to operators' calls, and the log of the calls.
#include "app/shared/control_response.hpp"

namespace buckthornrail::app {

net::whole_response errorResponse(int status, const std::string& reason)
{
    std::string body = "{\"reason\":\"";
    for (const char symbol : reason) {
        if (symbol == '"' || symbol == '\\')
            body += '\\';
        body += static_cast<unsigned char>(symbol) < ' ' ? ' ' : symbol;
    }
    return net::plainResponse(status, body + "\"}");
}

void logCall(const std::string& operation, int status, const std::string& detail)
{
    telemetry::logEvent(event_code::OperatorCall,
        { { "what", operation }, { "status", std::to_string(status) }, { "detail", detail } });
}

} // namespace buckthornrail::app
