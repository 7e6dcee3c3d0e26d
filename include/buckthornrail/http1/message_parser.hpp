/// @file
/// @brief Incremental HTTP/1.1 parsers based on Boost.Beast, independent of I/O.
#pragma once

#include "buckthornrail/http1/message.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace buckthornrail::http1 {

/// Progress of a parser.
enum class parse_state : std::uint8_t {
    Head, ///< the start line and header fields are incomplete
    Body, ///< the head is complete, the body is not
    Done, ///< the message is complete; further bytes belong to the next one
    Invalid, ///< malformed, or larger than a limit
};

/// Why a message is Invalid.
enum class parse_error : std::uint8_t {
    None,
    Malformed,
    HeadTooLarge,
    InterimTooLarge,
    BodyTooLarge,
    ChunkLineTooLong,
    ChunkOverheadTooLarge,
    TrailersTooLarge,
};

/// Whether a message may have a body.
enum class body_presence : std::uint8_t {
    AsStated, ///< as its head states
    Never, ///< the response to a HEAD request
};

/// Bounds for each part of one message, so that a sender that never ends a part is cut off. All are in bytes.
struct parser_limits {
    std::uint32_t maxHeadBytes = 16U << 10U; ///< start line and header fields
    std::uint64_t maxBodyBytes = 4U << 20U; ///< body without its framing
    std::uint32_t maxInterimBytes = 16U << 10U; ///< all interim (1xx) heads before the final one together
    std::uint32_t maxChunkLineBytes = 4U << 10U; ///< line before a chunk: its size and extensions
    std::uint32_t maxTrailerBytes = 16U << 10U; ///< fields after the last chunk
    std::uint32_t maxEventBytes = 1U << 20U; ///< one event of an event stream
    /// Comments, blank lines and, once events have ids, events without one: what arrives between two events with
    /// content.
    std::uint32_t maxPaddingBytes = 256U << 10U;
};

/// @brief Parses one message at a time. After Done, next() starts the following one with the remaining bytes. A body
/// that ends with its connection is never Done: response_reader decides whether it is whole.
/// @tparam Head request_head or response_head
template <typename Head> class message_parser {
public:
    explicit message_parser(const parser_limits& limits = {}, body_presence body = body_presence::AsStated);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    ~message_parser();

    /// @brief Appends received bytes and parses them. @return the new state
    parse_state parse(std::string_view bytes);
    /// @brief Starts the next message with the remaining bytes. @return the new state
    parse_state next();

    [[nodiscard]] parse_state state() const;
    [[nodiscard]] parse_error error() const;
    [[nodiscard]] const Head& head() const;
    /// @brief Moves out the part of the body that was received since the last call.
    std::string takeBody();
    /// @brief Number of buffered bytes not parsed yet; after Done, those that follow the message.
    [[nodiscard]] std::size_t unparsedBytes() const;
    /// @brief Number of bytes held in memory: those that aren't parsed, and the body that wasn't taken.
    [[nodiscard]] std::size_t heldBytes() const;
    /// @brief Lifts the bound on the body, whose parts are bounded by its reader. To be called once the head is
    /// complete.
    void liftBodyLimit();
    /// @brief Drops what is held; the message can't be parsed any further.
    void discard();
    /// @return true when no byte of the next message has been received
    [[nodiscard]] bool isIdle() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

using request_parser = message_parser<request_head>;
using response_parser = message_parser<response_head>;

extern template class message_parser<request_head>;
extern template class message_parser<response_head>;

} // namespace buckthornrail::http1
