/// @file
/// @brief Error answers.
#include "buckthornrail/http/error_answer.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::http {

std::string errorBody(const failure& why, ran_state ran)
{
    const auto& row = describe(why.code);
    nlohmann::json error = { { "code", static_cast<int>(why.code) }, { "name", row.name }, { "message", row.message },
        { "ran", nameOf(ran) } };
    if (!why.reason.empty())
        error["reason"] = why.reason;
    const nlohmann::json body = { { "error", error } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respondError(http_exchange& exchange, const failure& why, ran_state ran, const std::string& requestId)
{
    const auto& row = describe(why.code);
    std::vector<header_field> headers { { "Content-Type", "application/json" } };
    if (row.retryAfterSeconds > 0)
        headers.push_back({ "Retry-After", std::to_string(row.retryAfterSeconds) });
    if (!requestId.empty())
        headers.push_back({ "X-Request-Id", requestId });
    exchange.respond(row.httpStatus, headers, errorBody(why, ran) + "\n");
}

} // namespace buckthornrail::http
