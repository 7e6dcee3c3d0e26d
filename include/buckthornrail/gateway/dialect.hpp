/// @file
/// @brief Interfaces of a platform adapter: translate between the platform's HTTP messages and the types used here.
#pragma once

#include "buckthornrail/document/outline.hpp"
#include "buckthornrail/gateway/exchange.hpp"
#include "buckthornrail/http1/message.hpp"

#include <variant>

namespace buckthornrail::gateway {

/// Decoded head of a caller's request.
struct caller_head {
    std::string requestId;
    std::string key; ///< empty: none
    std::optional<milliseconds> timeout; ///< how long the caller waits for the final response
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller has received of a stream
    request_size size;
    std::vector<std::string> sharedParts; ///< ids of the parts of its prompt that other requests may have too, in order
};

/// What a gateway adds to a request that it forwards.
struct forwarding_context {
    std::string targetId; ///< any other target at that address refuses the request
    std::string workspace; ///< that owns the caller's key; empty: none
    milliseconds timeLeft { 0 };
    std::optional<std::uint64_t> lastEventId;
    std::vector<selected_part> path; ///< empty for a target without layers
    std::optional<std::uint32_t> priority; ///< 0 to lowestPriority; empty: the service isn't ranked
};

/// @brief Translates the requests and responses of a platform's callers and targets.
class traffic_dialect {
public:
    traffic_dialect() = default;
    traffic_dialect(const traffic_dialect&) = delete;
    traffic_dialect& operator=(const traffic_dialect&) = delete;
    virtual ~traffic_dialect() = default;

    [[nodiscard]] virtual caller_head readCaller(const http1::request_head& head) const = 0;
    /// @return head of the request that is sent to the target
    [[nodiscard]] virtual http1::request_head writeForwarded(
        const http1::request_head& head, const forwarding_context& added) const = 0;
    [[nodiscard]] virtual target_response readResponse(
        const http1::response_head& head, const std::string& requestId) const = 0;
    /// @brief Pushback in the head of any response of a target.
    [[nodiscard]] virtual target_pushback readPushback(const http1::response_head& head) const = 0;
    /// @brief Request for a report on which member of a path stalls requests. @param targetId any other target refuses
    /// it
    [[nodiscard]] virtual http1::request_head writeReportRequest(const std::string& targetId) const = 0;
    /// @return address of the member that stalls the request, empty for none; MalformedMessage when the report can't be
    /// decoded
    [[nodiscard]] virtual tl::expected<std::string, failure> readReport(
        const std::string& body, const std::string& requestId) const = 0;
    /// @brief Header field that states when a caller may retry. @param wait time until then
    [[nodiscard]] virtual http1::field writeRetryAfter(milliseconds wait) const = 0;
};

/// An operator publishes a document.
struct publish_request {
    std::uint64_t version = 0;
    std::string text; ///< as sent
};
/// An operator reads the document in force.
struct read_document_request { };
/// A target announces itself, or that it is gone.
struct announce_request {
    registry::target_record record;
};
/// A request that can't be decoded.
struct invalid_request {
    int status = 0;
    std::string reason; ///< starts with the field if one is invalid
    bool isRecord = false; ///< it concerns a target record
};
using control_request = std::variant<publish_request, read_document_request, announce_request, invalid_request>;

/// State that a target reports on request.
struct target_report {
    bool isBusy = false; ///< a layer order is in progress
    std::uint64_t revision = 0; ///< number of orders started; an order names the revision it expects
    registry::layer_range layers;
    std::uint64_t startedMs = 0; ///< start time of the process that reports, ms since the epoch; 0: not reported
};

/// Order to a target to load layers.
struct layer_order {
    std::string targetId;
    registry::layer_range layers;
    std::uint64_t fence = 0; ///< fencing token: a target that has seen a higher one refuses the order
    std::uint64_t expectedRevision = 0;
    bool abortsRunning = false; ///< aborts requests that use released layers instead of waiting for them
};

/// @brief Translates the requests between a platform's operators, targets and the controllers.
class control_dialect {
public:
    control_dialect() = default;
    control_dialect(const control_dialect&) = delete;
    control_dialect& operator=(const control_dialect&) = delete;
    virtual ~control_dialect() = default;

    [[nodiscard]] virtual control_request readRequest(
        const http1::request_head& head, const std::string& body) const = 0;
    /// @return InvalidDocument when the text can't be decoded or isn't valid
    [[nodiscard]] virtual tl::expected<route_document, failure> readDocument(const std::string& text) const = 0;
    /// @brief Splits a valid document into its entries. @param text must outlive the result
    /// @return InvalidDocument when the text is not a document
    [[nodiscard]] virtual tl::expected<document::outline, failure> splitDocument(const std::string& text) const = 0;
    /// @brief Decodes an entry of an outline. @return InvalidDocument when it can't be decoded
    [[nodiscard]] virtual tl::expected<route, failure> readRoute(const std::string& entry) const = 0;
    /// @copydoc readRoute
    [[nodiscard]] virtual tl::expected<workspace_keys, failure> readWorkspace(const std::string& entry) const = 0;
    /// @brief Decodes the remainder of an outline. @return InvalidDocument when it can't be decoded
    [[nodiscard]] virtual tl::expected<document_rest, failure> readRest(const std::string& rest) const = 0;
    /// @brief Body of the response to an announcement. @param address where to send the next ones; empty: anywhere
    [[nodiscard]] virtual std::string writeAnnounceResponse(const std::string& address) const = 0;
    [[nodiscard]] virtual http1::request_head writeReportRequest(const std::string& targetId) const = 0;
    [[nodiscard]] virtual tl::expected<target_report, failure> readReport(const std::string& body) const = 0;
    /// @return backoff time that a target which refuses requests asks for; empty: not stated
    [[nodiscard]] virtual std::optional<milliseconds> readRetryAfter(const http1::response_head& head) const = 0;
    /// @brief Head and body of an order.
    [[nodiscard]] virtual std::pair<http1::request_head, std::string> writeOrder(const layer_order& order) const = 0;
};

} // namespace buckthornrail::gateway
