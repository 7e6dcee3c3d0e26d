/// @file
/// @brief Formats and sends error responses.
#include "buckthornrail/http/error_response.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::http {

std::string errorBody(const failure& cause, ran_state ran)
{
    const auto& row = describe(cause.code);
    nlohmann::json error = { { "code", static_cast<int>(cause.code) }, { "name", row.name }, { "message", row.message },
        { "ran", nameOf(ran) } };
    if (!cause.reason.empty())
        error["reason"] = cause.reason;
    const nlohmann::json body = { { "error", error } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respondError(http_exchange& exchange, const failure& cause, ran_state ran, const std::string& requestId)
{
    const auto& row = describe(cause.code);
    std::vector<header_field> headers { { "Content-Type", "application/json" } };
    if (row.retryAfterSeconds > 0)
        headers.push_back({ "Retry-After", std::to_string(row.retryAfterSeconds) });
    if (!requestId.empty())
        headers.push_back({ "X-Request-Id", requestId });
    exchange.respond(row.httpStatus, headers, errorBody(cause, ran) + "\n");
}

} // namespace buckthornrail::http
