/// @file
/// @brief Parts a text/event-stream into whole events and reads their ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::http1 {

/// One whole event, with the blank line that ends it.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< nothing: the event has none, or not a number
};

/// @brief Holds back what isn't a whole event yet: a sender may stop in the middle of one.
class event_stream_reader {
public:
    /// @brief Takes bytes in. @return the events that are whole now
    std::vector<stream_event> put(std::string_view bytes);
    /// @brief True when part of an event has come.
    [[nodiscard]] bool hasPartialEvent() const { return !m_pending.empty(); }

private:
    std::string m_pending;
};

} // namespace buckthornrail::http1
