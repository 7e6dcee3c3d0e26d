/// @file
/// @brief Whether and how an entry serves a request, by the configuration in force. No I/O.
#pragma once

#include "buckthornrail/configuration/document.hpp"
#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/messages.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace buckthornrail::app {

/// A request as the HTTP thread read it.
struct caller_request {
    std::string id;
    std::string workspace;
    std::string pipeline; ///< empty: a service call
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isStream = false;
    std::string service;
    dispatch::work_order call; ///< method, path, headers and body of a service call
    std::string idempotencyKey;
    bool markedNonIdempotent = false; ///< by the caller
    std::optional<request_priority> priority;
    std::uint64_t digest = 0;
    steady_time deadline {};
};

/// What the configuration grants a request.
struct admission_result {
    std::string model; ///< empty: a service call
    std::uint32_t layerCount = 0;
    std::vector<configuration::share> versions; ///< of which one is drawn
    std::vector<configuration::share> pools;
    std::uint32_t weight = 1;
    request_priority priority = request_priority::Normal;
    bool nonIdempotent = false;
};

/// @param inFlight requests of the workspace that this entry is serving
/// @return the terms, or the reason to refuse: UnknownWorkspace, UnknownModel, UnknownService, WorkspaceLimit,
/// KeyRequired
tl::expected<admission_result, failure> admit(
    const configuration::document& document, const caller_request& request, std::uint32_t inFlight);

/// @brief True when a workspace is one of those listed; an empty list means all.
bool isWorkspaceAllowed(const std::vector<std::string>& allowed, const std::string& workspace);

/// @brief Draws a version by its share among those that ready targets serve; a version without a share gets nothing.
/// @param draw gives a number from 0 to its argument less one
std::string drawVersion(const std::vector<configuration::share>& versions, const std::set<std::string>& ready,
    const std::function<std::uint32_t(std::uint32_t)>& draw);

} // namespace buckthornrail::app
