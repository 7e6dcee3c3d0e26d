/// @file
/// @brief Heads of HTTP/1.1 messages, as values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::http1 {

/// One header field. Names are compared without regard to case.
struct field {
    std::string name;
    std::string value;
    bool operator==(const field&) const = default;
};

/// How the end of a body is told.
enum class body_framing : std::uint8_t {
    None, ///< there is none
    Length, ///< Content-Length
    Chunked,
    UntilClose, ///< the end of the connection ends it
};

/// Start line and header fields of a request.
struct request_head {
    std::string method;
    std::string target; ///< path and query, as sent
    std::vector<field> fields;
    bool keepAlive = true;
    bool expectsContinue = false; ///< the sender waits for "100 Continue" before the body
};

/// Status line and header fields of a response.
struct response_head {
    int status = 0;
    std::string reason;
    std::vector<field> fields;
    bool keepAlive = true;
    body_framing framing = body_framing::None;
};

/// @brief Compares names of header fields.
bool areFieldNamesEqual(std::string_view a, std::string_view b);

/// @brief Value of the first field with that name, if any.
std::optional<std::string_view> valueOf(const std::vector<field>& fields, std::string_view name);

/// @brief Removes every field with that name.
void removeFields(std::vector<field>& fields, std::string_view name);

/// @brief Removes what concerns one connection only: Connection and the fields that it names, framing, upgrades.
void removeHopByHopFields(std::vector<field>& fields);

/// @brief The request as bytes, with a Content-Length when there is a body or the method usually has one.
std::string formatRequest(const request_head& head, std::string_view body);

/// @brief A whole response as bytes.
std::string formatResponse(const response_head& head, std::string_view body, bool keepAlive);

/// @brief Head of a chunked response as bytes.
std::string formatChunkedHead(const response_head& head, bool keepAlive);

/// @brief One chunk as bytes; not for empty ones, which would end the body.
std::string formatChunk(std::string_view bytes);

/// Ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace buckthornrail::http1
