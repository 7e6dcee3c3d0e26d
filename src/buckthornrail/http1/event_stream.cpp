/// @file
/// @brief Splits event streams at blank lines and parses event ids.
#include "buckthornrail/http1/event_stream.hpp"

#include <algorithm>
#include <charconv>

namespace buckthornrail::http1 {
namespace {

constexpr std::string_view idPrefix = "id:";
constexpr std::size_t maxLineEndBytes = 2;

/// @return whether an event has a line that is neither blank nor a comment
bool hasDataLine(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (!line.empty() && line != "\r" && !line.starts_with(':'))
            return true;
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return false;
}

std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(idPrefix))
            continue;
        line.remove_prefix(idPrefix.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc())
            return id;
    }
    return std::nullopt;
}

/// @return offset after the next blank line, or npos
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    while (true) {
        const auto end = text.find('\n', from);
        if (end == std::string_view::npos)
            return end;
        std::size_t next = end + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
        from = end + 1;
    }
}

} // namespace

bool event_stream_reader::hasPartialEvent() const
{
    std::string_view rest = m_pending;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        const std::string_view line = rest.substr(0, end);
        const bool isBlank = line.empty() || line == "\r";
        const bool isComment = line.starts_with(':') && end != std::string_view::npos;
        if (!isBlank && !isComment)
            return true;
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return false;
}

std::vector<stream_event> event_stream_reader::parse(std::string_view bytes)
{
    if (m_error != event_stream_error::None)
        return {};
    m_pending.append(bytes);
    std::vector<stream_event> events;
    std::size_t start = 0;
    std::size_t from = m_searched;
    while (true) {
        const auto end = findEventEnd(m_pending, from);
        if (end == std::string::npos)
            break;
        stream_event event;
        event.bytes = m_pending.substr(start, end - start);
        event.id = parseEventId(event.bytes);
        m_hasIds = m_hasIds || event.id;
        event.hasContent = event.id || (!m_hasIds && hasDataLine(event.bytes));
        m_paddingBytes = event.hasContent ? 0 : m_paddingBytes + event.bytes.size();
        events.push_back(std::move(event));
        start = end;
        from = end;
    }
    m_pending.erase(0, start);
    // A line feed at the end may be followed by the rest of a blank line.
    m_searched = m_pending.size() - std::min(m_pending.size(), maxLineEndBytes);
    checkBounds();
    return events;
}

void event_stream_reader::checkBounds()
{
    if (m_pending.size() > m_maxEventBytes)
        m_error = event_stream_error::EventTooLarge;
    else if (m_paddingBytes > m_maxPaddingBytes)
        m_error = event_stream_error::PaddingTooLarge;
    if (m_error != event_stream_error::None)
        std::string().swap(m_pending);
}

} // namespace buckthornrail::http1
