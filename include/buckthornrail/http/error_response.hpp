/// @file
/// @brief The one form of error answers: JSON with numbered code, name, sentence, reason and `ran`.
#pragma once

#include "buckthornrail/http/http_server.hpp"

namespace buckthornrail::http {

/// @brief {"error":{"code":..,"name":..,"message":..,"reason":..,"ran":..}}
std::string errorBody(const failure& cause, ran_state ran);

/// @brief Status, Content-Type, Retry-After where coming back helps, and X-Request-Id when the request has one.
void respondError(http_exchange& exchange, const failure& cause, ran_state ran, const std::string& requestId = {});

} // namespace buckthornrail::http
