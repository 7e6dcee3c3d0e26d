/// @file
/// @brief Answers to calls for control, and their log line.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/net/http_service.hpp"

namespace buckthornrail::app {

/// An operator's call goes to another member after a second without an answer.
inline constexpr milliseconds controlCallTimeout { 900 };

/// @brief An answer with a reason, as JSON.
net::whole_response errorResponse(int status, const std::string& reason);

/// @brief Logs what became of a call.
void logCall(const std::string& what, int status, const std::string& detail);

} // namespace buckthornrail::app
