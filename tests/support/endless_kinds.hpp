/// @file
/// @brief Responses that never end, by the part of the message that goes on.
#pragma once

#include <array>
#include <string_view>

namespace test_support {

/// Stands in a prefix for the fields that make a response authentic.
inline constexpr std::string_view endlessFieldsMark = "@";
inline constexpr std::string_view endlessMarker = "/endless-";
inline constexpr std::string_view slowMarker = "/slow";

struct endless_kind {
    std::string_view name;
    bool isStream = false; ///< in response to a streaming request
    std::string_view prefix; ///< sent once
    std::string_view unit; ///< sent again and again
    std::string_view bound; ///< that a gateway names when it closes the connection
};

inline constexpr std::string_view longText
    = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

inline constexpr std::array endlessKinds {
    endless_kind { "status_line", false, "HTTP/1.1 200 ", longText, "head" },
    endless_kind { "field_name", false, "HTTP/1.1 200 OK\r\n@", longText, "head" },
    endless_kind { "field_value", false, "HTTP/1.1 200 OK\r\n@X: ", longText, "head" },
    endless_kind { "fields", false, "HTTP/1.1 200 OK\r\n@", "X: yyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", "head" },
    endless_kind { "interim", false, "", "HTTP/1.1 100 Continue\r\n\r\n", "interim_heads" },
    endless_kind {
        "interim_fields", false, "", "HTTP/1.1 103 Early Hints\r\nLink: yyyyyyyyyyyy\r\n\r\n", "interim_heads" },
    endless_kind { "body_by_close", false, "HTTP/1.1 200 OK\r\n@\r\n", longText, "body" },
    endless_kind {
        "body_by_length", false, "HTTP/1.1 200 OK\r\n@Content-Length: 999999999999\r\n\r\n", longText, "body" },
    endless_kind { "body_in_chunks", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n",
        "14\r\nxxxxxxxxxxxxxxxxxxxx\r\n", "body" },
    endless_kind { "body_in_one_chunk", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
        longText, "body" },
    endless_kind { "error_body", false, "HTTP/1.1 500 Failed\r\n@\r\n", longText, "" },
    endless_kind { "error_body_in_chunks", false, "HTTP/1.1 404 Failed\r\n@Transfer-Encoding: chunked\r\n\r\n",
        "14\r\nxxxxxxxxxxxxxxxxxxxx\r\n", "body" },
    endless_kind {
        "chunk_size", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n", "0000000000", "chunk_line" },
    endless_kind {
        "chunk_extension", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n5;", longText, "chunk_line" },
    endless_kind { "chunk_extensions", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n",
        "1;a=xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n", "chunk_overhead" },
    endless_kind { "trailers", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "X: yyyyyyyyyyyy\r\n", "trailers" },
    endless_kind {
        "trailer", false, "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", longText, "trailers" },
    endless_kind { "no_response", false, "", longText, "" },
    endless_kind { "stream_first_event", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", longText, "event" },
    endless_kind { "stream_next_event", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ", longText,
        "event" },
    endless_kind { "stream_event_in_chunks", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        "14\r\nxxxxxxxxxxxxxxxxxxxx\r\n", "event" },
    endless_kind { "stream_event_lines", true, "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\n",
        "data: a\n", "event" },
    endless_kind { "stream_comments", true, "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\n", ": c\n\n",
        "event_padding" },
    endless_kind {
        "stream_comment_lines", true, "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\n", ": c\n", "event" },
    endless_kind { "stream_comments_later", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", ": c\n\n", "event_padding" },
    endless_kind { "stream_blank_lines", true, "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\n", "\n",
        "event_padding" },
    endless_kind { "stream_events_without_id", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", "data: b\n\n",
        "event_padding" },
    endless_kind { "stream_chunk_extension", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5;", longText,
        "chunk_line" },
    endless_kind { "stream_trailers", true,
        "HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: "
        "a\n\n\r\n0\r\n",
        "X: yyyyyyyyyyyy\r\n", "trailers" },
};

/// @return the kind that a path asks for; null: an ordinary response
inline const endless_kind* endlessKindIn(std::string_view path)
{
    const auto at = path.find(endlessMarker);
    if (at == std::string_view::npos)
        return nullptr;
    auto name = path.substr(at + endlessMarker.size());
    name = name.substr(0, name.find('/'));
    for (const auto& kind : endlessKinds) {
        if (kind.name == name)
            return &kind;
    }
    return nullptr;
}

} // namespace test_support
