/// @file
/// @brief Incremental reader of text/event-stream (server-sent events).
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornrail::http1 {

/// One complete event, including the blank line that terminates it.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< empty when the event has no id or the id is not numeric
    /// Whether it brings the stream forward. Comments and blank lines don't, nor does an event without an id once
    /// events have had ids.
    bool hasContent = true;
};

/// Why an event stream is cut off.
enum class event_stream_error : std::uint8_t {
    None,
    EventTooLarge,
    PaddingTooLarge, ///< too much without content since the last event with content
};

/// @brief Splits a byte stream into events. Buffers an incomplete event, because a sender may fail in the middle of
/// one.
class event_stream_reader {
public:
    /// @param maxEventBytes of one event
    /// @param maxPaddingBytes without content, since the last event with content
    explicit event_stream_reader(std::size_t maxEventBytes = std::numeric_limits<std::size_t>::max(),
        std::size_t maxPaddingBytes = std::numeric_limits<std::size_t>::max())
        : m_maxEventBytes(maxEventBytes)
        , m_maxPaddingBytes(maxPaddingBytes)
    {
    }

    /// @brief Appends received bytes.
    /// @return the events that are complete now, in order
    std::vector<stream_event> parse(std::string_view bytes);
    /// @return whether part of an event is buffered. Blank lines and complete comment lines are no part of one.
    [[nodiscard]] bool hasPartialEvent() const;
    /// @brief Moves out the buffered bytes: after the last event, the blank lines and comments that follow it.
    std::string takeRest() { return std::exchange(m_pending, {}); }
    /// @return why the stream is cut off; nothing more is parsed then
    [[nodiscard]] event_stream_error error() const { return m_error; }
    [[nodiscard]] std::size_t heldBytes() const { return m_pending.size(); }

private:
    /// @brief Checks the bounds after events were taken out.
    void checkBounds();

    std::size_t m_maxEventBytes;
    std::size_t m_maxPaddingBytes;
    std::string m_pending;
    std::size_t m_searched = 0; ///< pending bytes in which no event ends
    std::size_t m_paddingBytes = 0; ///< since the last event with content
    bool m_hasIds = false; ///< an event has had an id
    event_stream_error m_error = event_stream_error::None;
};

} // namespace buckthornrail::http1
