/// @file
/// @brief Error responses of the HTTP server, in JSON: numeric code, name, message, reason and `ran`.
#pragma once

#include "buckthornrail/http/http_server.hpp"

namespace buckthornrail::http {

/// @brief Formats the body of an error response.
/// @param ran whether the request was executed
/// @return {"error":{"code":..,"name":..,"message":..,"reason":..,"ran":..}}; `reason` is omitted when empty
std::string errorBody(const failure& cause, ran_state ran);

/// @brief Sends an error response with Content-Type, Retry-After if the error is worth a retry, and X-Request-Id.
/// @param requestId of the request; X-Request-Id is omitted when empty
void respondError(http_exchange& exchange, const failure& cause, ran_state ran, const std::string& requestId = {});

} // namespace buckthornrail::http
