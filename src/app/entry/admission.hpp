/// @file
/// @brief Admission of a request by the active configuration: whether and with which parameters an entry serves it.
/// Does no I/O.
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

/// A caller's request, as parsed on the HTTP thread.
struct caller_request {
    std::string id;
    std::string workspace;
    std::string pipeline; ///< empty: the request is a service call
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isStream = false;
    std::string service; ///< used if `pipeline` is empty
    dispatch::work_order call; ///< method, path, headers and body of a service call
    std::string idempotencyKey;
    bool markedNonIdempotent = false; ///< by the caller, with X-Non-Idempotent
    std::optional<request_priority> priority; ///< empty: that of the pipeline
    std::uint64_t digest = 0; ///< hash of method, path, query and body, compared when a key is sent again
    steady_time deadline {};
};

/// Parameters of an admitted request, from the configuration.
struct admission_result {
    std::string model; ///< empty: the request is a service call
    std::uint32_t layerCount = 0;
    std::vector<configuration::share> versions; ///< one is drawn by these shares
    std::vector<configuration::share> pools;
    std::uint32_t weight = 1;
    request_priority priority = request_priority::Normal;
    bool nonIdempotent = false;
};

/// @brief Checks a request against the configuration.
/// @param inFlight number of the workspace's requests in flight at this entry
/// @return the parameters, or why the request is refused: UnknownWorkspace, UnknownModel, UnknownService,
/// WorkspaceLimit or KeyRequired
tl::expected<admission_result, failure> admit(
    const configuration::document& document, const caller_request& request, std::uint32_t inFlight);

/// @return whether a workspace is in a list of allowed ones; an empty list allows all
bool isWorkspaceAllowed(const std::vector<std::string>& allowed, const std::string& workspace);

/// @brief Draws a version in proportion to the shares. Only versions in `ready` whose share isn't 0 can be drawn.
/// @param ready versions that ready targets serve
/// @param draw returns a random number below its argument
/// @return the version; the first one if none can be drawn; empty if there are no versions
std::string drawVersion(const std::vector<configuration::share>& versions, const std::set<std::string>& ready,
    const std::function<std::uint32_t(std::uint32_t)>& draw);

} // namespace buckthornrail::app
