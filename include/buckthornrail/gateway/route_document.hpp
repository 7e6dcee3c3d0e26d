/// @file
/// @brief What operators publish for gateways: routes by host and path, services, limits, keys of workspaces.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/enum_names.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace buckthornrail::gateway {

/// What may be repeated.
enum class request_kind : std::uint8_t {
    Safe, ///< may run more than once
    Unsafe, ///< runs at most once
    Stream, ///< an event stream; may run again only where its route says that it may be resumed
};

inline constexpr std::array requestKindNames {
    enum_name<request_kind> { request_kind::Safe, "safe" },
    enum_name<request_kind> { request_kind::Unsafe, "unsafe" },
    enum_name<request_kind> { request_kind::Stream, "stream" },
};

/// A service and its part of a route's requests.
struct service_share {
    std::string service;
    std::uint32_t weight = 0;
};

/// One route.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::Safe;
    milliseconds timeout { 0 }; ///< the caller has its final answer by then
    milliseconds latencyTarget { 0 }; ///< an answer, or a stream's first event, is on time within it
    milliseconds eventGapTarget { 0 }; ///< longest pause between events of a stream on time; 0: none
    std::uint32_t priority = 5; ///< 0 is first
    std::vector<service_share> services; ///< weights don't add up to 0
    std::uint32_t maxAttempts = 1; ///< targets that one request may be sent to
    bool isPublic = false; ///< needs no key
    bool resumable = false; ///< a stream may go on elsewhere after its last event
};

/// A kind of accelerator, as the engines' operators describe it.
struct accelerator_kind {
    std::string name;
    double memoryMb = 0;
    double stepFactor = 1; ///< times a step's time
    double prefillFactor = 1; ///< times the time to read a prompt
};

/// How the engines of a service work that hold ranges of a model's layers.
struct layered_engine {
    std::uint32_t layers = 0;
    double layerMb = 0; ///< weights of a layer
    double tokenBytes = 0; ///< key-value memory of a token over all layers
    double stepMs = 0; ///< a step of the whole model at factor 1
    double stepMsPerSequence = 0;
    double stepMsPerContextToken = 0; ///< for each token that the sequences of the step hold in memory
    std::uint32_t stepsPerPass = 1; ///< tokens that an engine makes for its sequences before it takes new work
    double prefillTokensPerSecond = 0;
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    double loadSeconds = 0; ///< loading all layers
    double activationBytes = 0; ///< that a token hands from one target to the next
    double pipeMbps = 0; ///< between two failure domains, shared by all that crosses there; 0: not bounded
    std::vector<accelerator_kind> kinds;

    /// @brief What a token takes of the pipe between two domains.
    [[nodiscard]] double pipeMsPerToken() const
    {
        constexpr double bitsPerByte = 8;
        constexpr double bitsPerMsAndMbps = 1000;
        return pipeMbps > 0 ? activationBytes * bitsPerByte / (pipeMbps * bitsPerMsAndMbps) : 0;
    }
};

/// A service that requests are sent to.
struct service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< each target takes from all callers together
    std::optional<layered_engine> engine; ///< set for engines that hold ranges of layers
};

/// Bounds on what callers may send.
struct caller_limits {
    std::uint32_t maxHeadBytes = 16U << 10U;
    std::uint32_t maxBodyBytes = 4U << 20U;
    milliseconds headerTimeout { 3000 }; ///< a head must be whole by then
    milliseconds idleTimeout { 15000 }; ///< an idle connection is closed after it
};

/// Who may call, and with which keys.
struct workspace_keys {
    std::string workspace;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< goes before the route's
};

/// What a document holds besides routes and workspaces.
struct document_rest {
    std::vector<service> services;
    caller_limits limits;
    bool needsKeys = false; ///< the document names workspaces
};

/// The whole document, as operators are answered by it; gateways hold it as a route_index.
struct route_document {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    bool needsKeys = false; ///< the document names workspaces
    std::vector<workspace_keys> workspaces;
};

/// @brief Checks what a document must hold before it may be in force.
/// @return InvalidDocument with the reason: unknown service, two routes at one place, weights that add up to 0, no
/// time to answer in, or a key of two workspaces
tl::expected<void, failure> checkDocument(const route_document& document);

/// @brief Picks a service by the weights. @param draw uniform in [0, 1)
const std::string& pickService(const route& route, double draw);

} // namespace buckthornrail::gateway
