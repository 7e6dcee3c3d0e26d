/// @file
/// @brief The callers' HTTP interface. Reference: docs/API.md.
#pragma once

#include "app/entry/entry.hpp"

namespace buckthornrail::app {

/// @brief Routes of the interface.
std::vector<http::http_route> entryRoutes(link::event_loop& loop, entry& role, const settings::settings& settings);

/// @brief Reads a caller's request.
/// @return a 4xx failure that names what is wrong; nothing was run.
tl::expected<caller_request, failure> readCallerRequest(
    const http::http_request& request, const settings::settings& settings, steady_time now);

} // namespace buckthornrail::app
