/// @file
/// @brief Parsers on boost::beast::http::basic_parser that collect the head and the body.
#include "buckthornrail/http1/message_parser.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <type_traits>
#include <utility>

namespace buckthornrail::http1 {
namespace {

namespace beast = boost::beast;
using beast::error_code;

constexpr int http11 = 11; ///< Beast's number of HTTP/1.1

template <typename Head>
class collecting_parser : public beast::http::basic_parser<std::is_same_v<Head, request_head>> {
    static constexpr bool isRequest = std::is_same_v<Head, request_head>;

public:
    Head head;
    std::string body;
    std::uint64_t bodyBytes = 0; ///< received so far, also those that were taken
    bool headDone = false;

private:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target, int version,
        error_code& /*error*/) override
    {
        if constexpr (isRequest) {
            head.method.assign(method.data(), method.size());
            head.target.assign(target.data(), target.size());
            head.version = version >= http11 ? http_version::Http11 : http_version::Http10;
        }
    }
    void on_response_impl(int code, beast::string_view reason, int, error_code& /*error*/) override
    {
        if constexpr (!isRequest) {
            head.status = code;
            head.reason.assign(reason.data(), reason.size());
        }
    }
    void on_field_impl(
        beast::http::field, beast::string_view name, beast::string_view value, error_code& /*error*/) override
    {
        head.fields.push_back({ std::string(name), std::string(value) });
    }
    void on_header_impl(error_code& /*error*/) override
    {
        headDone = true;
        head.keepAlive = this->keep_alive();
        if constexpr (isRequest) {
            const auto expect = valueOf(head.fields, "Expect");
            head.expectsContinue
                = expect && areFieldNamesEqual(*expect, "100-continue") && head.version == http_version::Http11;
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& /*error*/) override { }
    std::size_t on_body_impl(beast::string_view part, error_code& /*error*/) override
    {
        body.append(part.data(), part.size());
        bodyBytes += part.size();
        return part.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code& /*error*/) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view part, error_code& /*error*/) override
    {
        body.append(part.data(), part.size());
        bodyBytes += part.size();
        return part.size();
    }
    void on_finish_impl(error_code& /*error*/) override { }
};

constexpr int firstFinalStatus = 200;
/// Framing of a chunked body that is allowed beside a multiple of its data: a chunk of one byte takes six.
constexpr std::uint64_t chunkOverheadBase = 64U << 10U;
constexpr std::uint64_t chunkOverheadFactor = 8;
constexpr std::string_view lineEnd = "\r\n";

} // namespace

template <typename Head> struct message_parser<Head>::implementation {
    implementation(const parser_limits& parserLimits, body_presence bodyPresence)
        : limits(parserLimits)
        , presence(bodyPresence)
    {
        reset();
    }

    void reset()
    {
        parser = std::make_unique<collecting_parser<Head>>();
        parser->eager(true);
        parser->skip(presence == body_presence::Never);
        parser->header_limit(limits.maxHeadBytes);
        parser->body_limit(limits.maxBodyBytes);
        state = parse_state::Head;
        parseError = parse_error::None;
        parsedBytes = 0;
        headBytes = 0;
    }

    parse_state parse()
    {
        while (!pending.empty() && state != parse_state::Done && state != parse_state::Invalid) {
            error_code error;
            const std::size_t used = parser->put(boost::asio::buffer(pending.data(), pending.size()), error);
            pending.erase(0, used);
            parsedBytes += used;
            if (error && error != beast::http::error::need_more) {
                fail(error);
                return state;
            }
            updateState();
            if (error == beast::http::error::need_more || used == 0)
                break;
        }
        checkFraming();
        return state;
    }

    /// Checks the bounds that Beast's parser doesn't have.
    void checkFraming()
    {
        if (state != parse_state::Body || !parser->chunked())
            return;
        const auto overhead = parsedBytes - headBytes + pending.size() - std::min(parsedBytes, parser->bodyBytes);
        if (overhead > chunkOverheadBase + chunkOverheadFactor * parser->bodyBytes) {
            failAs(parse_error::ChunkOverheadTooLarge);
            return;
        }
        // Beast leaves an incomplete chunk line, or the last one with incomplete trailers, unparsed.
        const auto lineStart = pending.starts_with(lineEnd) ? lineEnd.size() : 0;
        const auto end = pending.find(lineEnd, lineStart);
        if (end == std::string::npos && pending.size() > limits.maxChunkLineBytes)
            failAs(parse_error::ChunkLineTooLong);
        else if (end != std::string::npos && pending.size() - end > limits.maxTrailerBytes)
            failAs(parse_error::TrailersTooLarge);
    }

    /// Updates the state from Beast's parser. Interim (1xx) responses are skipped.
    void updateState()
    {
        if (parser->headDone && headBytes == 0)
            headBytes = parsedBytes - std::min(parsedBytes, parser->bodyBytes);
        state = parser->is_done() ? parse_state::Done : parser->headDone ? parse_state::Body : parse_state::Head;
        if constexpr (std::is_same_v<Head, response_head>) {
            if (state == parse_state::Done && parser->head.status < firstFinalStatus) {
                interimBytes += parsedBytes;
                reset();
                if (interimBytes > limits.maxInterimBytes)
                    failAs(parse_error::InterimTooLarge);
                return;
            }
            if (parser->headDone)
                parser->head.framing = bodyFraming();
        }
    }

    [[nodiscard]] body_framing bodyFraming() const
    {
        if (parser->chunked())
            return body_framing::Chunked;
        if (parser->content_length())
            return body_framing::Length;
        return parser->need_eof() ? body_framing::UntilClose : body_framing::None;
    }

    void fail(const error_code& error)
    {
        failAs(error == beast::http::error::header_limit  ? parse_error::HeadTooLarge
                : error == beast::http::error::body_limit ? parse_error::BodyTooLarge
                                                          : parse_error::Malformed);
    }

    void failAs(parse_error error)
    {
        state = parse_state::Invalid;
        parseError = error;
        std::string().swap(pending);
        std::string().swap(parser->body);
    }

    parser_limits limits;
    body_presence presence;
    std::unique_ptr<collecting_parser<Head>> parser;
    std::string pending;
    std::uint64_t parsedBytes = 0; ///< of the message
    std::uint64_t headBytes = 0; ///< of them, up to the body; 0: the head is incomplete
    std::uint64_t interimBytes = 0; ///< of the interim heads before it
    parse_state state = parse_state::Head;
    parse_error parseError = parse_error::None;
};

template <typename Head>
message_parser<Head>::message_parser(const parser_limits& limits, body_presence body)
    : m_implementation(std::make_unique<implementation>(limits, body))
{
}

template <typename Head> message_parser<Head>::~message_parser() = default;

template <typename Head> parse_state message_parser<Head>::parse(std::string_view bytes)
{
    m_implementation->pending.append(bytes);
    return m_implementation->parse();
}

template <typename Head> parse_state message_parser<Head>::next()
{
    m_implementation->interimBytes = 0;
    m_implementation->reset();
    return m_implementation->parse();
}

template <typename Head> parse_state message_parser<Head>::state() const { return m_implementation->state; }

template <typename Head> parse_error message_parser<Head>::error() const { return m_implementation->parseError; }

template <typename Head> const Head& message_parser<Head>::head() const { return m_implementation->parser->head; }

template <typename Head> std::string message_parser<Head>::takeBody()
{
    return std::exchange(m_implementation->parser->body, {});
}

template <typename Head> std::size_t message_parser<Head>::unparsedBytes() const
{
    return m_implementation->pending.size();
}

template <typename Head> std::size_t message_parser<Head>::heldBytes() const
{
    return m_implementation->pending.size() + m_implementation->parser->body.size();
}

template <typename Head> void message_parser<Head>::liftBodyLimit()
{
    m_implementation->parser->body_limit(boost::none);
}

template <typename Head> void message_parser<Head>::discard() { m_implementation->failAs(parse_error::Malformed); }

template <typename Head> bool message_parser<Head>::isIdle() const
{
    return m_implementation->state == parse_state::Head && m_implementation->pending.empty();
}

template class message_parser<request_head>;
template class message_parser<response_head>;

} // namespace buckthornrail::http1
