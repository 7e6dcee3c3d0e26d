/// @file
/// @brief Both HTTP clients and both HTTP servers of the product: where a message ends, and how a break is passed on.
#include "app/sidecar/target_adapter.hpp"
#include "buckthornrail/http/http_client.hpp"
#include "buckthornrail/http/http_server.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "support/child_process.hpp"
#include "support/raw_peer.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace test_support;

namespace {

constexpr milliseconds callTimeout { 1000 };

/// What a sender sends, and whether its response is whole.
struct sent_response {
    std::string name;
    std::string bytes;
    raw_end end;
    bool isWhole;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string streamHead = ok + "Content-Type: text/event-stream\r\n";
const std::string chunkedStreamHead = streamHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string firstEvent = "id: 1\ndata: a\n\n";

std::string chunk(const std::string& bytes) { return http1::formatChunk(bytes); }

const std::vector<sent_response>& sentResponses()
{
    static const std::string end { http1::lastChunk };
    static const std::vector<sent_response> responses {
        { "length, closed", ok + "Content-Length: 3\r\n\r\nabc", raw_end::Closed, true },
        { "length, silent", ok + "Content-Length: 3\r\n\r\nabc", raw_end::Silent, true },
        { "length, reset after it", ok + "Content-Length: 3\r\n\r\nabc", raw_end::Reset, true },
        { "length, bytes after it", ok + "Content-Length: 3\r\n\r\nabcHTTP/1.1 500 x\r\n\r\n", raw_end::Closed, true },
        { "length, one byte short", ok + "Content-Length: 3\r\n\r\nab", raw_end::Closed, false },
        { "length, no body", ok + "Content-Length: 3\r\n\r\n", raw_end::Closed, false },
        { "length, reset within", ok + "Content-Length: 3\r\n\r\nab", raw_end::Reset, false },
        { "length, silent within", ok + "Content-Length: 3\r\n\r\nab", raw_end::Silent, false },
        { "chunks, closed", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc") + end, raw_end::Closed, true },
        { "chunks, reset after", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc") + end, raw_end::Reset, true },
        { "chunks, none", ok + "Transfer-Encoding: chunked\r\n\r\n", raw_end::Closed, false },
        { "chunks, at a border", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc"), raw_end::Closed, false },
        { "chunks, in a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", raw_end::Closed, false },
        { "chunks, in the last", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc") + "0\r\n", raw_end::Closed,
            false },
        { "chunks, at a border, reset", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc"), raw_end::Reset,
            false },
        { "chunks, not a size", ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", raw_end::Closed, false },
        { "close", ok + "\r\nabc", raw_end::Closed, true },
        { "close, no body", ok + "\r\n", raw_end::Closed, true },
        { "close, reset", ok + "\r\nabc", raw_end::Reset, false },
        { "close, silent", ok + "\r\nabc", raw_end::Silent, false },
        { "stream by close", streamHead + "\r\n" + firstEvent, raw_end::Closed, true },
        { "stream by close, in an event", streamHead + "\r\n" + firstEvent + "id: 2\nda", raw_end::Closed, false },
        { "stream by close, in the blank line", streamHead + "\r\n" + firstEvent + "id: 2\n", raw_end::Closed, false },
        { "stream by close, at a border, reset", streamHead + "\r\n" + firstEvent, raw_end::Reset, false },
        { "stream in chunks", chunkedStreamHead + chunk(firstEvent) + end, raw_end::Closed, true },
        { "stream in chunks, in an event", chunkedStreamHead + chunk(firstEvent + "id: 2\nda") + end, raw_end::Closed,
            false },
        { "stream in chunks, no event", chunkedStreamHead + end, raw_end::Closed, true },
        { "nothing", "", raw_end::Closed, false },
        { "in the head", "HTTP/1.1 200 O", raw_end::Closed, false },
        { "no response", "hello\r\n\r\n", raw_end::Closed, false },
    };
    return responses;
}

net::call_outcome callOnLoop(const std::string& address, const std::string& body = {})
{
    link::event_loop loop;
    auto result = net::call_outcome::TimedOut;
    std::shared_ptr<net::http_call> call;
    loop.post([&] {
        const net::whole_request request { { "POST", "/", { { "Host", "h" } } }, body };
        call = net::http_call::start(loop, address, request, boot_clock::now() + callTimeout,
            [&](net::call_outcome outcome, const net::whole_response&) {
                result = outcome;
                loop.stop();
            });
    });
    loop.run();
    return result;
}

http::client_outcome callBlocking(const std::string& address)
{
    http::client_request request;
    request.address = address;
    request.method = "GET";
    request.path = "/";
    request.deadline = boot_clock::now() + callTimeout;
    return http::call(request).outcome;
}

dispatch::work_outcome runAtTarget(const std::string& kind, const std::string& bytes, raw_end end, std::string& text)
{
    const raw_server server(bytes, end);
    settings::settings settings;
    settings.targetKind = kind;
    settings.targetAddress = server.address();
    const auto adapter = app::makeTargetAdapter(settings);
    http::call_canceller canceller;
    dispatch::work_order work;
    work.method = "GET";
    work.path = "/";
    return adapter->run({ "r", 1 }, work, boot_clock::now() + callTimeout, canceller,
        [&text](const dispatch::response_frame& frame) { text += frame.bytes; });
}

/// An HTTP server of entries with a stream that is ended and one that is broken off.
std::unique_ptr<http::http_server> startServer(const std::string& address)
{
    const auto stream = [](bool isWhole) {
        return [isWhole](const http::http_request&, http::http_exchange& exchange) {
            exchange.beginStream(200, {});
            exchange.writeChunk("part");
            if (isWhole)
                exchange.endStream();
            else
                exchange.abortStream();
        };
    };
    const auto echo = [](const http::http_request& request, http::http_exchange& exchange) {
        exchange.respond(200, {}, "got " + request.body);
    };
    http::server_options options;
    options.address = address;
    auto server = http::http_server::start(
        options, { { "/whole", stream(true) }, { "/cut", stream(false) }, { "/echo", echo } });
    REQUIRE(server);
    return std::move(*server);
}

std::string exchangeBytes(const std::string& address, const std::string& request)
{
    auto connection = raw_connection::to(address);
    connection.send(request);
    return connection.receiveAll();
}

} // namespace

TEST_CASE("message end: both clients call a response whole exactly if its sender ended it", "[message_end]")
{
    for (const auto& sent : sentResponses()) {
        INFO(sent.name);
        {
            const raw_server server(sent.bytes, sent.end);
            CHECK((callOnLoop(server.address()) == net::call_outcome::Responded) == sent.isWhole);
        }
        {
            const raw_server server(sent.bytes, sent.end);
            CHECK((callBlocking(server.address()) == http::client_outcome::Ok) == sent.isWhole);
        }
    }
}

// Guards against a whole response that is lost because its sender closed before it had read the request.
TEST_CASE("message end: a whole response arrives although the request couldn't be sent", "[message_end]")
{
    const std::string body(32U << 20U, 'b');
    const raw_server server("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", raw_end::Reset);
    CHECK(callOnLoop(server.address(), body) == net::call_outcome::Responded);
    const raw_server unframed("HTTP/1.1 413 Too Large\r\n\r\nno", raw_end::Reset);
    CHECK(callOnLoop(unframed.address(), body) == net::call_outcome::Broken);
}

TEST_CASE("message end: a target's answer is whole once it has said how it finished", "[message_end]")
{
    const std::string token = "data: {\"choices\":[{\"text\":\"a\"}]}";
    const std::string last = "data: {\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}";
    const auto lineEnd = GENERATE(std::string("\n"), std::string("\r\n"));
    const std::string blank = lineEnd + lineEnd;
    std::string text;
    SECTION("whole, by close")
    {
        const auto outcome
            = runAtTarget("openai", streamHead + "\r\n" + token + blank + last + blank, raw_end::Closed, text);
        CHECK(outcome.code == result_code::Ok);
        CHECK(text == "ab");
    }
    SECTION("reset after the finish reason")
    {
        const auto outcome
            = runAtTarget("openai", chunkedStreamHead + chunk(token + blank + last + blank), raw_end::Reset, text);
        CHECK(outcome.code == result_code::Ok);
        CHECK(outcome.finishReason == "stop");
    }
    SECTION("closed before it")
    {
        const auto outcome = runAtTarget("openai", streamHead + "\r\n" + token + blank, raw_end::Closed, text);
        CHECK(outcome.code == result_code::AnswerIncomplete);
    }
    SECTION("closed within its event")
    {
        const auto outcome = runAtTarget("openai", streamHead + "\r\n" + token + blank + last, raw_end::Closed, text);
        CHECK(outcome.code != result_code::Ok);
    }
}

// Guards against an event stream of a plain service that ends within an event and is passed on as whole.
TEST_CASE("message end: a plain service's event stream that ends within an event is broken off", "[message_end]")
{
    std::string text;
    CHECK(
        runAtTarget("plain_service", streamHead + "\r\n" + firstEvent, raw_end::Closed, text).code == result_code::Ok);
    CHECK(runAtTarget("plain_service", streamHead + "\r\n" + firstEvent + "id: 2", raw_end::Closed, text).code
        == result_code::TargetFailed);
}

TEST_CASE("message end: the entries' server shows whether a stream is whole, by the caller's version", "[message_end]")
{
    const auto address = freeAddress();
    const auto server = startServer(address);
    const std::string host = "Host: h\r\n\r\n";
    const auto whole = exchangeBytes(address, "GET /whole HTTP/1.1\r\nConnection: close\r\n" + host);
    CHECK(whole.ends_with("4\r\npart\r\n0\r\n\r\n"));
    // Although the connection would be kept.
    const auto cut = exchangeBytes(address, "GET /cut HTTP/1.1\r\n" + host);
    CHECK(cut.ends_with("4\r\npart\r\n"));
    const auto old = exchangeBytes(address, "GET /whole HTTP/1.0\r\n" + host);
    CHECK(old.ends_with("\r\n\r\npart"));
    CHECK(old.find("chunked") == std::string::npos);
}

TEST_CASE("message end: the entries' server takes a request only if it is whole", "[message_end]")
{
    const auto address = freeAddress();
    const auto server = startServer(address);
    const std::string head = "POST /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    CHECK(
        exchangeBytes(address, head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").ends_with("got abc"));
    auto broken = raw_connection::to(address);
    broken.send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    broken.shutDownSending();
    CHECK(broken.receiveAll().find("got") == std::string::npos);
    // Neither a length nor chunks: there is no body.
    CHECK(exchangeBytes(address, head + "\r\n").ends_with("got "));
    // The response to HEAD has no body, so that the next one is found.
    auto kept = raw_connection::to(address);
    kept.send("HEAD /echo HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(kept.receiveUntil("\r\n\r\n").ends_with("\r\n\r\n"));
    kept.send("GET /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    // CivetWeb may close it; what comes otherwise is the next response, not a body of the first.
    const auto next = kept.receiveAll();
    CHECK((next.empty() || next.starts_with("HTTP/1.1 200 OK")));
}
