/// @file
/// @brief HTTP API of an entry for callers. Reference: docs/API.md.
#pragma once

#include "app/entry/entry.hpp"

namespace buckthornrail::app {

/// @brief HTTP routes of the API.
/// @param role must outlive the routes, as must `loop` and `settings`
std::vector<http::http_route> entryRoutes(link::event_loop& loop, entry& role, const settings::settings& settings);

/// @brief Parses a caller's request. Its timeout becomes a deadline, counted from `now`.
/// @return the request, or BadHeader or MalformedRequest with the part that is invalid; nothing has run then
tl::expected<caller_request, failure> readCallerRequest(
    const http::http_request& request, const settings::settings& settings, steady_time now);

} // namespace buckthornrail::app
