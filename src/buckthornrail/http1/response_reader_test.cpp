/// @file
/// @brief Whether a response is whole: every framing, cut anywhere, ended in every way, with bytes after its end.
#include "buckthornrail/http1/response_reader.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <rapidcheck/catch.h>

using namespace buckthornrail::http1;

namespace {

/// What happens to the connection after the last byte.
enum class last_act { Closed, Reset, Silent };

/// A response as a sender means it, and the offsets that decide what a cut leaves of it.
struct planned_response {
    std::string wire;
    std::size_t headBytes = 0;
    body_framing framing = body_framing::Length;
    bool isEventStream = false;
    std::string body;
    std::vector<std::size_t> eventEnds; ///< offsets in the body
};

std::string eventText(std::size_t id, bool hasCarriageReturn)
{
    const std::string lineEnd = hasCarriageReturn ? "\r\n" : "\n";
    return "id: " + std::to_string(id) + lineEnd + "data: token " + std::to_string(id) + lineEnd + lineEnd;
}

std::string inChunks(const std::string& body, std::size_t chunkBytes)
{
    std::string out;
    for (std::size_t offset = 0; offset < body.size(); offset += chunkBytes)
        out += formatChunk(std::string_view(body).substr(offset, chunkBytes));
    return out + std::string(lastChunk);
}

planned_response drawResponse()
{
    planned_response plan;
    plan.framing = *rc::gen::weightedElement<body_framing>(
        { { 1, body_framing::Length }, { 1, body_framing::Chunked }, { 3, body_framing::UntilClose } });
    plan.isEventStream = *rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } });
    if (plan.isEventStream) {
        const auto count = *rc::gen::inRange<std::size_t>(0, 6);
        const bool hasCarriageReturn = *rc::gen::arbitrary<bool>();
        for (std::size_t id = 1; id <= count; ++id) {
            plan.body += eventText(id, hasCarriageReturn);
            plan.eventEnds.push_back(plan.body.size());
        }
    } else {
        plan.body = std::string(*rc::gen::inRange<std::size_t>(0, 60), 'x');
    }
    std::string head = "HTTP/1.1 200 OK\r\n";
    if (plan.isEventStream)
        head += "Content-Type: text/event-stream; charset=utf-8\r\n";
    if (plan.framing == body_framing::Length)
        head += "Content-Length: " + std::to_string(plan.body.size()) + "\r\n";
    if (plan.framing == body_framing::Chunked)
        head += "Transfer-Encoding: chunked\r\n";
    head += "\r\n";
    plan.headBytes = head.size();
    const auto chunkBytes = *rc::gen::inRange<std::size_t>(1, 40);
    plan.wire = head + (plan.framing == body_framing::Chunked ? inChunks(plan.body, chunkBytes) : plan.body);
    return plan;
}

/// @return whether a prefix of the body ends between two events, before the first one or after the last one
bool isAtEventBorder(const planned_response& plan, std::size_t bodyBytes)
{
    return bodyBytes == 0 || std::find(plan.eventEnds.begin(), plan.eventEnds.end(), bodyBytes) != plan.eventEnds.end();
}

message_end expectedEnd(const planned_response& plan, std::size_t cut, last_act act)
{
    if (plan.framing != body_framing::UntilClose && cut >= plan.wire.size())
        return plan.framing == body_framing::Chunked ? message_end::LastChunk : message_end::Length;
    if (act == last_act::Silent)
        return message_end::Open;
    if (act == last_act::Reset)
        return message_end::Reset;
    if (plan.framing != body_framing::UntilClose || cut < plan.headBytes)
        return message_end::ClosedEarly;
    const bool isInside = plan.isEventStream && !isAtEventBorder(plan, cut - plan.headBytes);
    return isInside ? message_end::InsideEvent : message_end::Close;
}

/// @brief Passes bytes to a reader in parts of any size. @return the body
std::string receiveInParts(response_reader& reader, const std::string& bytes)
{
    std::string body;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 50);
        reader.receive(std::string_view(bytes).substr(offset, size));
        body += reader.takeBody();
        offset += size;
    }
    return body;
}

void end(response_reader& reader, last_act act)
{
    if (act != last_act::Silent)
        reader.connectionEnded(act == last_act::Closed ? transport_end::Closed : transport_end::Reset);
}

message_end endOf(const std::string& wire, std::optional<transport_end> how, std::string_view method = "GET")
{
    response_reader reader({}, method);
    reader.receive(wire);
    if (how)
        reader.connectionEnded(*how);
    return reader.end();
}

const std::string unframedStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

} // namespace

TEST_CASE("response reader: a response is whole exactly if its sender ended it, wherever it is cut", "[http1]")
{
    rc::prop("any framing, cut, end of the connection and division into reads", [] {
        const auto plan = drawResponse();
        const std::string extra = plan.framing == body_framing::UntilClose
            ? ""
            : *rc::gen::element<std::string>("", "HTTP/1.1 500 extra\r\n\r\n", "x");
        const std::string all = plan.wire + extra;
        const auto first
            = *rc::gen::weightedElement<std::size_t>({ { 1, 0 }, { 3, plan.headBytes }, { 2, all.size() } });
        const auto cut = *rc::gen::inRange<std::size_t>(first, all.size() + 1);
        const auto act = *rc::gen::weightedElement<last_act>(
            { { 3, last_act::Closed }, { 1, last_act::Reset }, { 1, last_act::Silent } });
        response_reader reader;
        std::string body = receiveInParts(reader, all.substr(0, cut));
        end(reader, act);
        body += reader.takeBody();
        RC_TAG(std::string(nameIn(messageEndNames, reader.end())));
        RC_ASSERT(nameIn(messageEndNames, reader.end()) == nameIn(messageEndNames, expectedEnd(plan, cut, act)));
        RC_ASSERT(plan.body.starts_with(body));
        if (isWhole(reader.end()) && reader.end() != message_end::Close)
            RC_ASSERT(body == plan.body);
        if (plan.isEventStream)
            RC_ASSERT(isAtEventBorder(plan, body.size()));
    });
}

TEST_CASE("response reader: a stream that is passed on is whole for its recipient exactly if it was ended", "[http1]")
{
    rc::prop("any recipient, events and end", [] {
        response_terms terms;
        terms.keepAlive = *rc::gen::arbitrary<bool>();
        terms.acceptsChunks = *rc::gen::arbitrary<bool>();
        terms.hasBody = *rc::gen::arbitrary<bool>();
        const bool isEnded = *rc::gen::arbitrary<bool>();
        const auto count = *rc::gen::inRange<std::size_t>(0, 5);
        std::string wire = formatStreamHead({ 200, "OK", { { "Content-Type", "text/event-stream" } } }, terms);
        std::string body;
        for (std::size_t id = 1; terms.hasBody && id <= count; ++id) {
            body += eventText(id, false);
            wire += formatStreamPart(eventText(id, false), terms);
        }
        if (isEnded)
            wire += streamEnd(terms);
        response_reader reader({}, terms.hasBody ? "GET" : "HEAD");
        std::string received = receiveInParts(reader, wire);
        // A break reaches a recipient that accepts no chunks as a reset, and any other as an early close.
        reader.connectionEnded(isEnded || terms.acceptsChunks ? transport_end::Closed : transport_end::Reset);
        received += reader.takeBody();
        RC_ASSERT(received == body);
        RC_ASSERT(isWhole(reader.end()) == (isEnded || !terms.hasBody));
    });
}

// Guards against an event stream that its sender broke off within an event and that counts as whole.
TEST_CASE("response reader: an event stream that ends within an event isn't whole, however it is framed", "[http1]")
{
    const std::string cutBody = eventText(1, false) + "id: 2\ndata: hal";
    const std::string type = "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n";
    CHECK(endOf(type + "\r\n" + cutBody, transport_end::Closed) == message_end::InsideEvent);
    CHECK(endOf(type + "Content-Length: " + std::to_string(cutBody.size()) + "\r\n\r\n" + cutBody, std::nullopt)
        == message_end::InsideEvent);
    CHECK(endOf(type + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(cutBody, 7), std::nullopt)
        == message_end::InsideEvent);
    // A line break short of the blank line that ends the event.
    CHECK(endOf(unframedStream + "id: 1\ndata: a\n", transport_end::Closed) == message_end::InsideEvent);
    CHECK(endOf(unframedStream + "id: 1\r\ndata: a\r\n\r", transport_end::Closed) == message_end::InsideEvent);
}

// Guards against a whole event stream that counts as broken for what follows its last event.
TEST_CASE("response reader: blank lines and comments after the last event belong to a whole stream", "[http1]")
{
    for (const std::string rest : { "", "\n", "\r\n\r\n", ": done\n", ": done\n\n", "\n: a\r\n: b\n" }) {
        CAPTURE(rest);
        response_reader reader;
        reader.receive(unframedStream + eventText(1, false) + rest);
        reader.connectionEnded(transport_end::Closed);
        CHECK(reader.end() == message_end::Close);
        CHECK(reader.takeBody() == eventText(1, false) + rest);
    }
    CHECK(
        endOf(unframedStream + eventText(1, false) + ": cut comm", transport_end::Closed) == message_end::InsideEvent);
}

TEST_CASE("response reader: the end of the connection completes a response without a length, but not a truncated one",
    "[http1]")
{
    CHECK(endOf("HTTP/1.1 200 OK\r\n\r\nabc", transport_end::Closed) == message_end::Close);
    CHECK(endOf("HTTP/1.0 200 OK\r\n\r\nabc", transport_end::Closed) == message_end::Close);
    CHECK(endOf("HTTP/1.1 200 OK\r\n\r\nabc", transport_end::Reset) == message_end::Reset);
    CHECK(endOf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", transport_end::Closed) == message_end::ClosedEarly);
    CHECK(endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", transport_end::Closed)
        == message_end::ClosedEarly);
    CHECK(endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", transport_end::Closed)
        == message_end::ClosedEarly);
    CHECK(endOf("", transport_end::Closed) == message_end::ClosedEarly);
    CHECK(endOf("HTTP/1.1 200 OK\r\n", transport_end::Closed) == message_end::ClosedEarly);
    CHECK(endOf("garbage\r\n\r\n", transport_end::Closed) == message_end::Malformed);
    CHECK(endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", transport_end::Closed)
        == message_end::Malformed);
    CHECK(endOf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", std::nullopt)
        == message_end::Malformed);
}

TEST_CASE("response reader: responses that have no body are whole after their head", "[http1]")
{
    CHECK(endOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", std::nullopt, "HEAD") == message_end::Length);
    CHECK(
        endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::nullopt, "HEAD") == message_end::LastChunk);
    CHECK(endOf("HTTP/1.1 200 OK\r\n\r\n", std::nullopt, "HEAD") == message_end::Length);
    CHECK(endOf("HTTP/1.1 204 No Content\r\n\r\n", std::nullopt) == message_end::Length);
    CHECK(endOf("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", std::nullopt) == message_end::Length);
    CHECK(endOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", std::nullopt, "HEAD") == message_end::Length);
}

TEST_CASE("response reader: once a response has ended, nothing that follows changes that", "[http1]")
{
    response_reader reader;
    reader.receive("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 500 extra\r\n\r\n");
    CHECK(reader.end() == message_end::Length);
    reader.receive("more");
    reader.connectionEnded(transport_end::Reset);
    CHECK(reader.end() == message_end::Length);
    CHECK(reader.takeBody() == "abc");

    response_reader lost;
    lost.receive("HTTP/1.1 200 OK\r\n\r\nabc");
    lost.connectionEnded(transport_end::Reset);
    lost.connectionEnded(transport_end::Closed);
    CHECK(lost.end() == message_end::Reset);
}
