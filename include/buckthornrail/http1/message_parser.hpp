/// @file
/// @brief Incremental parsers of HTTP/1.1 messages over Boost.Beast, without I/O.
#pragma once

#include "buckthornrail/http1/message.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace buckthornrail::http1 {

/// Where a parser stands.
enum class parse_state : std::uint8_t {
    Head, ///< the head isn't whole yet
    Body,
    Done, ///< the message is whole; what follows belongs to another one
    Invalid, ///< not HTTP, or over a limit
};

/// Why a message is refused.
enum class parse_error : std::uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

struct parser_limits {
    std::uint32_t maxHeadBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
};

/// @brief Parses one message at a time; after Done, next() begins the following one with the bytes left over.
/// @tparam Head request_head or response_head
template <typename Head> class message_parser {
public:
    explicit message_parser(const parser_limits& limits = {});
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    ~message_parser();

    /// @brief Takes bytes in. @return where it stands now
    parse_state put(std::string_view bytes);
    /// @brief The connection ended cleanly; ends a body without a length.
    parse_state putEof();
    /// @brief Begins the next message, with what is left of the bytes put in.
    parse_state next();

    [[nodiscard]] parse_state state() const;
    [[nodiscard]] parse_error error() const;
    [[nodiscard]] const Head& head() const;
    /// @brief Takes out the part of the body that has come since the last call.
    std::string takeBody();
    /// @brief Bytes after the end of the message.
    [[nodiscard]] std::size_t unparsedBytes() const;
    /// @brief True when no byte of a message has come.
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
