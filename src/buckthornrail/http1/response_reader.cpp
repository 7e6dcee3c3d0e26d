/// @file
/// @brief Combines the parser of responses with the reader of event streams.
#include "buckthornrail/http1/response_reader.hpp"

#include <iterator>
#include <utility>

namespace buckthornrail::http1 {
namespace {

constexpr std::string_view eventStreamType = "text/event-stream";

struct bound_row {
    parse_error error;
    message_bound bound;
};

constexpr std::array boundRows {
    bound_row { parse_error::HeadTooLarge, message_bound::Head },
    bound_row { parse_error::InterimTooLarge, message_bound::Interim },
    bound_row { parse_error::BodyTooLarge, message_bound::Body },
    bound_row { parse_error::ChunkLineTooLong, message_bound::ChunkLine },
    bound_row { parse_error::ChunkOverheadTooLarge, message_bound::ChunkOverhead },
    bound_row { parse_error::TrailersTooLarge, message_bound::Trailers },
};

bool isEventStreamHead(const response_head& head)
{
    const auto type = valueOf(head.fields, "Content-Type").value_or("");
    const bool isEncoded = valueOf(head.fields, "Content-Encoding").has_value();
    return !isEncoded && areFieldNamesEqual(type.substr(0, eventStreamType.size()), eventStreamType);
}

} // namespace

message_bound boundOf(parse_error error)
{
    for (const auto& row : boundRows) {
        if (row.error == error)
            return row.bound;
    }
    return message_bound::None;
}

response_reader::response_reader(const parser_limits& limits, std::string_view requestMethod)
    : m_limits(limits)
    , m_parser(limits, requestMethod == "HEAD" ? body_presence::Never : body_presence::AsStated)
{
}

void response_reader::receive(std::string_view bytes)
{
    if (m_end != message_end::Open)
        return;
    const auto state = m_parser.parse(bytes);
    if (state == parse_state::Invalid) {
        const auto bound = boundOf(m_parser.error());
        if (bound == message_bound::None)
            m_end = message_end::Malformed;
        else
            cutOff(bound);
        return;
    }
    readBody();
    if (m_end != message_end::Open)
        return;
    if (state == parse_state::Done)
        conclude(head().framing == body_framing::Chunked ? message_end::LastChunk : message_end::Length);
}

void response_reader::connectionEnded(transport_end how)
{
    if (m_end != message_end::Open)
        return;
    if (how == transport_end::Reset) {
        m_end = message_end::Reset;
        return;
    }
    if (hasHead() && head().framing == body_framing::UntilClose)
        conclude(message_end::Close);
    else
        m_end = message_end::ClosedEarly;
}

bool response_reader::hasHead() const
{
    return m_parser.state() == parse_state::Body || m_parser.state() == parse_state::Done;
}

void response_reader::readBody()
{
    if (!hasHead())
        return;
    if (!std::exchange(m_isHeadRead, true) && isEventStreamHead(head())) {
        m_events.emplace(m_limits.maxEventBytes, m_limits.maxPaddingBytes);
        m_parser.liftBodyLimit();
    }
    if (!m_events)
        return;
    auto events = m_events->parse(m_parser.takeBody());
    std::move(events.begin(), events.end(), std::back_inserter(m_completeEvents));
    if (m_events->error() == event_stream_error::EventTooLarge)
        cutOff(message_bound::Event);
    else if (m_events->error() == event_stream_error::PaddingTooLarge)
        cutOff(message_bound::Padding);
}

void response_reader::cutOff(message_bound bound)
{
    m_end = message_end::OverBound;
    m_exceeded = bound;
    m_completeEvents.clear();
    m_parser.discard();
    if (m_events)
        (void)m_events->takeRest();
}

std::size_t response_reader::heldBytes() const
{
    const auto inEvents = m_events ? m_events->heldBytes() : 0;
    return m_parser.heldBytes() + inEvents;
}

void response_reader::conclude(message_end how)
{
    m_end = how;
    if (!m_events)
        return;
    if (m_events->hasPartialEvent()) {
        m_end = message_end::InsideEvent;
        return;
    }
    if (auto rest = m_events->takeRest(); !rest.empty())
        m_completeEvents.push_back({ std::move(rest), std::nullopt });
}

std::vector<stream_event> response_reader::takeEvents() { return std::exchange(m_completeEvents, {}); }

std::string response_reader::takeBody()
{
    if (!m_events)
        return m_parser.takeBody();
    std::string body;
    for (const auto& event : takeEvents())
        body += event.bytes;
    return body;
}

} // namespace buckthornrail::http1
