/// @file
/// @brief What an adapter to a platform translates for gateways and their controllers: its names, nothing else.
#pragma once

#include "buckthornrail/document/outline.hpp"
#include "buckthornrail/gateway/exchange.hpp"
#include "buckthornrail/http1/message.hpp"

#include <variant>

namespace buckthornrail::gateway {

/// What a caller's head says, decoded.
struct caller_head {
    std::string requestId;
    std::string key; ///< empty: none
    std::optional<milliseconds> timeout; ///< the caller waits no longer
    std::optional<std::uint64_t> lastEventId;
    request_size size;
};

/// What a gateway adds to a request that it passes on.
struct forwarding_context {
    std::string targetId; ///< any other target at that address refuses
    std::string workspace; ///< that holds the caller's key; empty: none
    milliseconds timeLeft { 0 };
    std::optional<std::uint64_t> lastEventId;
    std::vector<selected_part> path; ///< empty for a target without layers
};

/// @brief How a platform's callers and targets speak.
class traffic_dialect {
public:
    traffic_dialect() = default;
    traffic_dialect(const traffic_dialect&) = delete;
    traffic_dialect& operator=(const traffic_dialect&) = delete;
    virtual ~traffic_dialect() = default;

    [[nodiscard]] virtual caller_head readCaller(const http1::request_head& head) const = 0;
    /// @brief The caller's head as the target gets it.
    [[nodiscard]] virtual http1::request_head writeForwarded(
        const http1::request_head& head, const forwarding_context& added) const = 0;
    [[nodiscard]] virtual target_response readResponse(
        const http1::response_head& head, const std::string& requestId) const = 0;
    /// @brief What a response says on how its target wants to be treated, whatever it answers.
    [[nodiscard]] virtual target_pushback readPushback(const http1::response_head& head) const = 0;
    /// @brief The question which member of a path holds requests up. @param targetId any other target there refuses it
    [[nodiscard]] virtual http1::request_head writeReportRequest(const std::string& targetId) const = 0;
    /// @return address of the member that holds that request up, empty for none; MalformedMessage when the report can't
    /// be read
    [[nodiscard]] virtual tl::expected<std::string, failure> readReport(
        const std::string& body, const std::string& requestId) const = 0;
    /// @brief Name of the field that tells when to come back, and its value.
    [[nodiscard]] virtual http1::field writeRetryAfter(milliseconds wait) const = 0;
};

/// An operator publishes a document.
struct publish_request {
    std::uint64_t version = 0;
    std::string text; ///< as sent
};
/// An operator reads the document that is in force.
struct read_document_request { };
/// A target announces itself, or its end.
struct announce_request {
    registry::target_record record;
};
/// A call that can't be read.
struct invalid_request {
    int status = 0;
    std::string reason; ///< the field first, where one is unfit
    bool isRecord = false; ///< it speaks of a target
};
using control_request = std::variant<publish_request, read_document_request, announce_request, invalid_request>;

/// What a target says of itself when asked.
struct target_report {
    bool isBusy = false; ///< an order is being carried out
    std::uint64_t revision = 0; ///< count of orders begun; an order names the one it expects
    registry::layer_range layers;
    std::uint64_t startedMs = 0; ///< of the life that answers; 0: it doesn't say
};

/// An order to hold layers.
struct layer_order {
    std::string targetId;
    registry::layer_range layers;
    std::uint64_t fence = 0; ///< a target that has seen a higher one refuses
    std::uint64_t expectedRevision = 0;
    bool abortsRunning = false; ///< requests that pass through layers given up end at once instead of being waited for
};

/// @brief How a platform's operators and targets call controllers, and are called by them.
class control_dialect {
public:
    control_dialect() = default;
    control_dialect(const control_dialect&) = delete;
    control_dialect& operator=(const control_dialect&) = delete;
    virtual ~control_dialect() = default;

    [[nodiscard]] virtual control_request readRequest(
        const http1::request_head& head, const std::string& body) const = 0;
    /// @return InvalidDocument when the text can't be read or isn't valid
    [[nodiscard]] virtual tl::expected<route_document, failure> readDocument(const std::string& text) const = 0;
    /// @brief Cuts a document that was read as a whole before. @param text must outlive the result
    /// @return InvalidDocument when the text is no document
    [[nodiscard]] virtual tl::expected<document::outline, failure> splitDocument(const std::string& text) const = 0;
    /// @brief Reads an entry of an outline. @return InvalidDocument when it can't be read
    [[nodiscard]] virtual tl::expected<route, failure> readRoute(const std::string& entry) const = 0;
    /// @copydoc readRoute
    [[nodiscard]] virtual tl::expected<workspace_keys, failure> readWorkspace(const std::string& entry) const = 0;
    /// @brief Reads an outline's rest. @return InvalidDocument when it can't be read
    [[nodiscard]] virtual tl::expected<document_rest, failure> readRest(const std::string& rest) const = 0;
    /// @brief Body of the answer to an announcement. @param address where to announce from now on; empty: anywhere
    [[nodiscard]] virtual std::string writeAnnounceResponse(const std::string& address) const = 0;
    [[nodiscard]] virtual http1::request_head writeReportRequest(const std::string& targetId) const = 0;
    [[nodiscard]] virtual tl::expected<target_report, failure> readReport(const std::string& body) const = 0;
    /// @brief For how long a target that turns a call away wants none; nothing: it doesn't say.
    [[nodiscard]] virtual std::optional<milliseconds> readRetryAfter(const http1::response_head& head) const = 0;
    /// @brief Head and body of an order.
    [[nodiscard]] virtual std::pair<http1::request_head, std::string> writeOrder(const layer_order& order) const = 0;
};

} // namespace buckthornrail::gateway
