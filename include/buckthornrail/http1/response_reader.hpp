/// @file
/// @brief Reads one response and decides whether it is whole, from its bytes and the end of its connection. No I/O.
#pragma once

#include "buckthornrail/core/enum_names.hpp"
#include "buckthornrail/http1/event_stream.hpp"
#include "buckthornrail/http1/message_parser.hpp"

#include <optional>

namespace buckthornrail::http1 {

/// How the connection that carries a response ended.
enum class transport_end : std::uint8_t {
    Closed, ///< the sender closed it in order (end of stream)
    Reset, ///< reset, timed out or failed in another way
};

/// How a response ended.
enum class message_end : std::uint8_t {
    Open, ///< it hasn't ended
    Length, ///< after the stated number of bytes, or after the head where there is no body: whole
    LastChunk, ///< after the last chunk: whole
    Close, ///< by an orderly close, and neither a length nor chunks were stated: whole as far as the bytes tell
    ClosedEarly, ///< by an orderly close before the end that the framing requires
    Reset, ///< with the connection, out of order
    InsideEvent, ///< as the framing requires, but within an event of an event stream
    Malformed, ///< not a response
    OverBound, ///< a part of it is larger than its bound, see response_reader::exceeded()
};

inline constexpr std::array messageEndNames {
    enum_name<message_end> { message_end::Open, "open" },
    enum_name<message_end> { message_end::Length, "length" },
    enum_name<message_end> { message_end::LastChunk, "last_chunk" },
    enum_name<message_end> { message_end::Close, "close" },
    enum_name<message_end> { message_end::ClosedEarly, "closed_early" },
    enum_name<message_end> { message_end::Reset, "reset" },
    enum_name<message_end> { message_end::InsideEvent, "inside_event" },
    enum_name<message_end> { message_end::Malformed, "malformed" },
    enum_name<message_end> { message_end::OverBound, "over_bound" },
};

/// Bound that a message from another process may not exceed.
enum class message_bound : std::uint8_t {
    None,
    Head,
    Interim,
    Body,
    ChunkLine,
    ChunkOverhead,
    Trailers,
    Event,
    Padding,
    OpenBytes, ///< of all open messages together
    Progress, ///< time without content
};

inline constexpr std::array messageBoundNames {
    enum_name<message_bound> { message_bound::None, "none" },
    enum_name<message_bound> { message_bound::Head, "head" },
    enum_name<message_bound> { message_bound::Interim, "interim_heads" },
    enum_name<message_bound> { message_bound::Body, "body" },
    enum_name<message_bound> { message_bound::ChunkLine, "chunk_line" },
    enum_name<message_bound> { message_bound::ChunkOverhead, "chunk_overhead" },
    enum_name<message_bound> { message_bound::Trailers, "trailers" },
    enum_name<message_bound> { message_bound::Event, "event" },
    enum_name<message_bound> { message_bound::Padding, "event_padding" },
    enum_name<message_bound> { message_bound::OpenBytes, "open_bytes" },
    enum_name<message_bound> { message_bound::Progress, "progress" },
};

/// @return the bound that a parser's error names; None: the message is malformed
message_bound boundOf(parse_error error);

/// @return whether a response that ended in this way is whole
constexpr bool isWhole(message_end end)
{
    return end == message_end::Length || end == message_end::LastChunk || end == message_end::Close;
}

/// @brief Reads one response. Bytes after its end are ignored: they belong to no response.
class response_reader {
public:
    /// @param requestMethod of the request: the response to HEAD has no body, whatever its head states
    explicit response_reader(const parser_limits& limits = {}, std::string_view requestMethod = {});

    /// @brief Processes received bytes.
    void receive(std::string_view bytes);
    /// @brief Processes the end of the connection. Has no effect once the response has ended.
    void connectionEnded(transport_end how);
    /// @brief Ends the response because it exceeds a bound that its owner checks. Drops what is held of it.
    void cutOff(message_bound bound);

    [[nodiscard]] bool hasHead() const;
    [[nodiscard]] const response_head& head() const { return m_parser.head(); }
    /// @return whether the body is an event stream, as its Content-Type states
    [[nodiscard]] bool isEventStream() const { return m_events.has_value(); }
    /// @return the complete events of an event stream that were received since the last call
    std::vector<stream_event> takeEvents();
    /// @return the part of the body that was received since the last call; of an event stream, its complete events
    std::string takeBody();
    [[nodiscard]] message_end end() const { return m_end; }
    /// @return the bound that an OverBound response exceeds
    [[nodiscard]] message_bound exceeded() const { return m_exceeded; }
    /// @brief Number of bytes held in memory.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    void readBody();
    /// @brief Ends the response where its framing says so.
    void conclude(message_end how);

    parser_limits m_limits;
    response_parser m_parser;
    std::optional<event_stream_reader> m_events; ///< empty: the body isn't an event stream, or there is no head yet
    std::vector<stream_event> m_completeEvents;
    bool m_isHeadRead = false;
    message_end m_end = message_end::Open;
    message_bound m_exceeded = message_bound::None;
};

} // namespace buckthornrail::http1
