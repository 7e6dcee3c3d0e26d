/// @file
/// @brief Error responses to operators' calls, and the log of the calls.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/net/http_service.hpp"

namespace buckthornrail::app {

/// Time limit for committing or confirming the requested operation. Operators' clients try another controller after one
/// second without a response.
inline constexpr milliseconds controlCallTimeout { 900 };

/// @param status HTTP status
/// @param reason returned in the JSON body
/// @return an error response
net::whole_response errorResponse(int status, const std::string& reason);

/// @brief Logs the outcome of a call.
/// @param operation the requested operation
/// @param status HTTP status of the response
void logCall(const std::string& operation, int status, const std::string& detail);

} // namespace buckthornrail::app
