/// @file
/// @brief Start lines and header fields of HTTP/1.1 messages, and functions to format messages.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::http1 {

/// One header field. Names are case-insensitive.
struct field {
    std::string name;
    std::string value;
    bool operator==(const field&) const = default;
};

/// How the end of a body is determined.
enum class body_framing : std::uint8_t {
    None, ///< the message has no body
    Length, ///< Content-Length
    Chunked, ///< Transfer-Encoding: chunked
    UntilClose, ///< the body ends when the connection is closed
};

enum class http_version : std::uint8_t { Http10, Http11 };

/// Start line and header fields of a request.
struct request_head {
    std::string method;
    std::string target; ///< path and query as received, not decoded
    std::vector<field> fields;
    bool keepAlive = true;
    http_version version = http_version::Http11;
    bool expectsContinue = false; ///< the client waits for "100 Continue" before it sends the body
};

/// Status line and header fields of a response.
struct response_head {
    int status = 0;
    std::string reason;
    std::vector<field> fields;
    bool keepAlive = true;
    body_framing framing = body_framing::None;
};

/// How a response is to be framed for its recipient.
struct response_terms {
    bool keepAlive = true; ///< the connection stays open after the response
    bool acceptsChunks = true; ///< false: a stream ends with the connection, and a reset shows that it isn't whole
    bool hasBody = true; ///< false: the request was HEAD
};

/// @return the terms for the response to a request
response_terms termsFor(const request_head& request);

/// @brief Compares two field names case-insensitively.
bool areFieldNamesEqual(std::string_view a, std::string_view b);

/// @return the value of the first field with that name, if any; valid as long as `fields` is unchanged
std::optional<std::string_view> valueOf(const std::vector<field>& fields, std::string_view name);

/// @brief Removes all fields with that name.
void removeFields(std::vector<field>& fields, std::string_view name);

/// @brief Removes hop-by-hop fields: Connection, the fields that it lists, Transfer-Encoding, Upgrade and the like.
void removeHopByHopFields(std::vector<field>& fields);

/// @brief Formats a request, with Content-Length if there is a body or the method usually has one.
std::string formatRequest(const request_head& head, std::string_view body);

/// @brief Formats a complete response with Content-Length.
std::string formatResponse(const response_head& head, std::string_view body, bool keepAlive);

/// @brief Formats a complete response as its recipient needs it.
std::string formatResponse(const response_head& head, std::string_view body, const response_terms& terms);

/// @brief Formats the head of a response with chunked transfer encoding.
std::string formatChunkedHead(const response_head& head, bool keepAlive);

/// @brief Formats the head of a stream: in chunks, or ending with the connection.
std::string formatStreamHead(const response_head& head, const response_terms& terms);
/// @brief Formats a part of a stream. @param bytes must not be empty
std::string formatStreamPart(std::string_view bytes, const response_terms& terms);
/// @return what ends a stream before its connection is closed or kept
std::string_view streamEnd(const response_terms& terms);

/// @brief Formats one chunk.
/// @param bytes must not be empty: an empty chunk ends the body
std::string formatChunk(std::string_view bytes);

/// Terminates a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace buckthornrail::http1
