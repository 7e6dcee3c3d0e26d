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
enum class parse_error : std::uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

/// Whether a message may have a body.
enum class body_presence : std::uint8_t {
    AsStated, ///< as its head states
    Never, ///< the response to a HEAD request
};

struct parser_limits {
    std::uint32_t maxHeadBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
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
