/// @file
/// @brief Incremental reader of text/event-stream (server-sent events).
#pragma once

#include <cstdint>
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
};

/// @brief Splits a byte stream into events. Buffers an incomplete event, because a sender may fail in the middle of
/// one.
class event_stream_reader {
public:
    /// @brief Appends received bytes.
    /// @return the events that are complete now, in order
    std::vector<stream_event> parse(std::string_view bytes);
    /// @return whether part of an event is buffered. Blank lines and complete comment lines are no part of one.
    [[nodiscard]] bool hasPartialEvent() const;
    /// @brief Moves out the buffered bytes: after the last event, the blank lines and comments that follow it.
    std::string takeRest() { return std::exchange(m_pending, {}); }

private:
    std::string m_pending;
};

} // namespace buckthornrail::http1
