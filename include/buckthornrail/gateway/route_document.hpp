/// @file
/// @brief The document that operators publish for gateways: routes, services, caller limits and keys of workspaces.
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

/// Whether a request may be retried.
enum class request_kind : std::uint8_t {
    Safe, ///< idempotent: may run more than once
    Unsafe, ///< runs at most once
    Stream, ///< an event stream; runs again only if its route is resumable
};

inline constexpr std::array requestKindNames {
    enum_name<request_kind> { request_kind::Safe, "safe" },
    enum_name<request_kind> { request_kind::Unsafe, "unsafe" },
    enum_name<request_kind> { request_kind::Stream, "stream" },
};

/// A service and its share of a route's requests.
struct service_share {
    std::string service;
    std::uint32_t weight = 0;
};

/// Maps the requests of a host and path prefix to services.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::Safe;
    milliseconds timeout { 0 }; ///< from the request's arrival to its final response
    milliseconds latencyTarget { 0 }; ///< target for the time to the response, or to a stream's first event
    milliseconds eventGapTarget { 0 }; ///< target for the pause between two events of a stream; 0: none
    std::uint32_t priority = 5; ///< 0 is the highest
    std::vector<service_share> services; ///< the sum of the weights is positive
    /// Maximum number of targets that one request is sent to. Targets that refuse it or have ended do not count.
    std::uint32_t maxAttempts = 1;
    bool isPublic = false; ///< callers need no key
    bool resumable = false; ///< an interrupted stream may continue at another target after its last event
};

/// Performance of a kind of accelerator, as configured.
struct accelerator_kind {
    std::string name;
    double memoryMb = 0;
    double stepFactor = 1; ///< multiplies the time of a step
    double prefillFactor = 1; ///< multiplies the time of a prefill
};

/// Performance model of a service whose engines hold ranges of a model's layers.
struct layered_engine {
    std::uint32_t layers = 0;
    double layerMb = 0; ///< weights of a layer
    double tokenBytes = 0; ///< key-value memory of a token over all layers
    double stepMs = 0; ///< time of a step over all layers with stepFactor 1
    double stepMsPerSequence = 0; ///< added for each sequence of the step
    double stepMsPerContextToken = 0; ///< added for each token that the sequences of the step hold in memory
    std::uint32_t stepsPerPass = 1; ///< tokens that an engine generates for each sequence before it admits new work
    double prefillTokensPerSecond = 0; ///< over all layers with prefillFactor 1; 0: not known
    double usualPromptTokens = 0;
    double usualOutputTokens = 0;
    double loadSeconds = 0; ///< time to load all layers
    double activationBytes = 0; ///< size of a token's activations between two targets
    double linkMbps = 0; ///< bandwidth of the shared link between two failure domains; 0: unlimited
    std::vector<accelerator_kind> kinds;

    /// @brief Time that a token's activations occupy the link between two domains, in milliseconds.
    [[nodiscard]] double linkMsPerToken() const
    {
        constexpr double bitsPerByte = 8;
        constexpr double bitsPerMsAndMbps = 1000;
        return linkMbps > 0 ? activationBytes * bitsPerByte / (linkMbps * bitsPerMsAndMbps) : 0;
    }
};

/// A group of targets that requests are sent to.
struct service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< of each target, from all callers together
    std::optional<layered_engine> engine; ///< set for engines that hold ranges of layers
};

/// Limits on requests and connections of callers.
struct caller_limits {
    std::uint32_t maxHeadBytes = 16U << 10U;
    std::uint32_t maxBodyBytes = 4U << 20U;
    milliseconds headerTimeout { 3000 }; ///< for a complete request head
    milliseconds idleTimeout { 15000 }; ///< after which an idle connection is closed
};

/// A workspace and the keys of its callers.
struct workspace_keys {
    std::string workspace;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< overrides the route's
};

/// The parts of a document other than routes and workspaces.
struct document_rest {
    std::vector<service> services;
    caller_limits limits;
    bool needsKeys = false; ///< the document names workspaces
};

/// The whole document, as validated when operators publish it. Gateways hold it as a route_index.
struct route_document {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    bool needsKeys = false; ///< the document names workspaces
    std::vector<workspace_keys> workspaces;
};

/// @brief Validates a document before it comes into force.
/// @return InvalidDocument with the reason: unknown service, two routes with the same host and prefix, weights that add
/// up to 0, a timeout of 0, or a key that two workspaces share
tl::expected<void, failure> checkDocument(const route_document& document);

/// @brief Chooses a service in proportion to the weights. @param draw random, uniform in [0, 1)
const std::string& pickService(const route& route, double draw);

} // namespace buckthornrail::gateway
