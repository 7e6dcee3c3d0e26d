/// @file
/// @brief Messages split at arbitrary positions, malformed messages, limits, framing, and event streams.
#include "buckthornrail/http1/message_parser.hpp"

#include "buckthornrail/http1/event_stream.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail::http1;

namespace {

const std::string chunkedRequest = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n";

parse_state parseAll(request_parser& parser, const std::string& bytes) { return parser.parse(bytes); }

parse_error errorOf(const std::string& bytes, const parser_limits& limits = {})
{
    request_parser parser(limits);
    return parseAll(parser, bytes) == parse_state::Invalid ? parser.error() : parse_error::None;
}

} // namespace

TEST_CASE("http1: pipelined requests are parsed wherever the input is split", "[http1]")
{
    rc::prop("any split of the input", [] {
        const std::string requests = chunkedRequest + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40));
        request_parser parser;
        std::string body;
        std::size_t offset = 0;
        const auto parseNext = [&](std::size_t size) {
            const std::string part = requests.substr(offset, size);
            offset += part.size();
            parser.parse(part);
            body += parser.takeBody();
        };
        for (const auto size : sizes)
            parseNext(size);
        parseNext(requests.size());
        RC_ASSERT(parser.state() == parse_state::Done);
        RC_ASSERT(body == "abcdefg");
        RC_ASSERT(parser.head().method == "POST");
        RC_ASSERT(parser.head().target == "/a/b?c=1");
        RC_ASSERT(parser.next() == parse_state::Done);
        RC_ASSERT(parser.head().target == "/next");
        RC_ASSERT(parser.unparsedBytes() == 0U);
    });
}

TEST_CASE("http1: ambiguous framing that allows request smuggling is rejected", "[http1]")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    CHECK(errorOf(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == parse_error::Malformed);
    CHECK(
        errorOf(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == parse_error::Malformed);
    CHECK(errorOf(start + "Content-Length: -1\r\n\r\n") == parse_error::Malformed);
    CHECK(errorOf("\x01\x02\r\n\r\n") == parse_error::Malformed);
}

TEST_CASE("http1: exceeded head and body limits are reported separately", "[http1]")
{
    const parser_limits limits { 100, 5 };
    CHECK(errorOf("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n", limits) == parse_error::HeadTooLarge);
    CHECK(errorOf("POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\nabcdef", limits) == parse_error::BodyTooLarge);
    CHECK(errorOf("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde", limits) == parse_error::None);
}

TEST_CASE("http1: a body without a length is never done, as its end is that of its connection", "[http1]")
{
    response_parser open;
    open.parse("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(open.state() == parse_state::Body);
    CHECK(open.head().framing == body_framing::UntilClose);
    CHECK(open.takeBody() == "abc");
}

TEST_CASE("http1: interim responses are skipped; bytes after the message stay unparsed", "[http1]")
{
    response_parser parser;
    parser.parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 500 extra");
    CHECK(parser.state() == parse_state::Done);
    CHECK(parser.head().status == 200);
    CHECK(parser.unparsedBytes() > 0);
}

TEST_CASE("http1: hop-by-hop fields are removed", "[http1]")
{
    std::vector<field> fields { { "Connection", "close, X-Hop" }, { "x-hop", "1" }, { "Keep-Alive", "timeout=5" },
        { "Transfer-Encoding", "chunked" }, { "X-End", "2" } };
    removeHopByHopFields(fields);
    REQUIRE(fields.size() == 1);
    CHECK(fields.front().name == "X-End");
}

TEST_CASE("http1: formatted messages can be parsed", "[http1]")
{
    response_parser whole;
    whole.parse(formatResponse({ 503, "Service Unavailable", { { "A", "b" } } }, "body", false));
    CHECK(whole.state() == parse_state::Done);
    CHECK(whole.takeBody() == "body");
    CHECK_FALSE(whole.head().keepAlive);

    response_parser chunked;
    chunked.parse(formatChunkedHead({ 200, "OK", {} }, true));
    chunked.parse(formatChunk("event"));
    CHECK(chunked.state() == parse_state::Body);
    chunked.parse(lastChunk);
    CHECK(chunked.state() == parse_state::Done);
    CHECK(chunked.takeBody() == "event");

    request_parser request;
    request.parse(formatRequest({ "POST", "/x", { { "Host", "h" } } }, ""));
    CHECK(request.state() == parse_state::Done);
}

TEST_CASE("event stream: only complete events are returned, in order", "[http1]")
{
    rc::prop("any split of the input", [] {
        const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 4\ndata: part";
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 9));
        event_stream_reader reader;
        std::vector<stream_event> events;
        std::string joined;
        std::size_t offset = 0;
        const auto parseNext = [&](std::size_t size) {
            for (auto& event : reader.parse(std::string_view(text).substr(offset, size))) {
                joined += event.bytes;
                events.push_back(std::move(event));
            }
            offset = std::min(offset + size, text.size());
        };
        for (const auto size : sizes)
            parseNext(size);
        parseNext(text.size());
        RC_ASSERT(events.size() == 3U);
        RC_ASSERT(events[0].id == 1U);
        RC_ASSERT(events[1].id == 2U);
        RC_ASSERT(!events[2].id.has_value());
        RC_ASSERT(text.starts_with(joined));
        RC_ASSERT(reader.hasPartialEvent());
    });
}
