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
    Malformed, ///< not a response, or larger than a limit
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
};

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

    [[nodiscard]] bool hasHead() const;
    [[nodiscard]] const response_head& head() const { return m_parser.head(); }
    /// @return whether the body is an event stream, as its Content-Type states
    [[nodiscard]] bool isEventStream() const { return m_events.has_value(); }
    /// @return the complete events of an event stream that were received since the last call
    std::vector<stream_event> takeEvents();
    /// @return the part of the body that was received since the last call; of an event stream, its complete events
    std::string takeBody();
    [[nodiscard]] message_end end() const { return m_end; }

private:
    void readBody();
    /// @brief Ends the response where its framing says so.
    void conclude(message_end how);

    response_parser m_parser;
    std::optional<event_stream_reader> m_events; ///< empty: the body isn't an event stream, or there is no head yet
    std::vector<stream_event> m_completeEvents;
    bool m_isHeadRead = false;
    message_end m_end = message_end::Open;
};

} // namespace buckthornrail::http1
