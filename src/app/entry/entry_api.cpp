/// @file
/// @brief Callers' requests: reading them, and writing answers.
#include "app/entry/entry_api.hpp"

#include "app/controller/operator_access.hpp"
#include "buckthornrail/http/error_response.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <strings.h>
#include <xxhash.h>

namespace buckthornrail::app {
namespace {

using http::header_field;
using http::http_exchange;
using http::http_request;
using nlohmann::json;

constexpr std::uint32_t defaultMaxTokens = 16;
constexpr std::uint32_t maxTokensLimit = 32768;
constexpr std::size_t maxKeyLength = 256;
constexpr std::string_view servicePrefix = "/services/";
constexpr std::string_view explainPrefix = "/v1/explain/";
constexpr milliseconds loopPatience { 3000 };
constexpr milliseconds finalPatience { 5000 }; ///< after the deadline, for the loop's last word

/// Headers of one connection, and ours; they are not passed on to a service.
constexpr std::array<std::string_view, 13> privateHeaders { "Host", "Connection", "Content-Length", "Transfer-Encoding",
    "Keep-Alive", "Upgrade", "TE", "Trailer", "Expect", "X-Timeout-Ms", "X-Priority", "X-Non-Idempotent",
    "Proxy-Connection" };

bool isPrivate(const std::string& name)
{
    return std::any_of(privateHeaders.begin(), privateHeaders.end(), [&name](std::string_view other) {
        return name.size() == other.size() && strncasecmp(name.data(), other.data(), other.size()) == 0;
    });
}

tl::unexpected<failure> wrong(result_code code, const std::string& reason)
{
    return tl::make_unexpected(failure { code, reason });
}

/// Reads the headers that every request may carry.
tl::expected<caller_request, failure> readHeaders(
    const http_request& request, const settings::settings& settings, steady_time now)
{
    caller_request result;
    result.id = randomName();
    result.workspace = request.header("X-Workspace").value_or("");
    if (result.workspace.empty())
        return wrong(result_code::BadHeader, "X-Workspace is missing");
    result.idempotencyKey = request.header("Idempotency-Key").value_or("");
    if (result.idempotencyKey.size() > maxKeyLength)
        return wrong(result_code::BadHeader, "Idempotency-Key is longer than 256 characters");
    const std::string mark = request.header("X-Non-Idempotent").value_or("false");
    if (mark != "true" && mark != "false")
        return wrong(result_code::BadHeader, "X-Non-Idempotent must be true or false");
    result.markedNonIdempotent = mark == "true";
    if (const auto priority = request.header("X-Priority")) {
        result.priority = valueIn(priorityNames, *priority);
        if (!result.priority)
            return wrong(result_code::BadHeader, "X-Priority must be low, normal or high");
    }
    std::uint32_t timeoutMs = settings.defaultTimeoutMs;
    if (const auto timeout = request.header("X-Timeout-Ms")) {
        const auto [end, error] = std::from_chars(timeout->data(), timeout->data() + timeout->size(), timeoutMs);
        const bool whole = error == std::errc() && end == timeout->data() + timeout->size();
        if (!whole || timeoutMs == 0 || timeoutMs > settings.maxTimeoutMs)
            return wrong(result_code::BadHeader,
                "X-Timeout-Ms must be a whole number from 1 to " + std::to_string(settings.maxTimeoutMs));
    }
    result.deadline = now + milliseconds(timeoutMs);
    return result;
}

/// The prompt of a chat: its messages, one a line.
tl::expected<std::string, failure> readMessages(const json& body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty())
        return wrong(result_code::MalformedRequest, "'messages' must be a list that isn't empty");
    std::string prompt;
    for (const auto& message : *found) {
        const bool isWhole = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!isWhole)
            return wrong(result_code::MalformedRequest, "each message needs 'role' and 'content' as texts");
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

tl::expected<void, failure> readCompletion(const http_request& request, bool isChat, caller_request& result)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return wrong(result_code::MalformedRequest, "the body is not a JSON object");
    if (!body.contains("model") || !body["model"].is_string() || body["model"].get_ref<const std::string&>().empty())
        return wrong(result_code::MalformedRequest, "'model' must be a text");
    result.pipeline = body["model"].get<std::string>();
    if (isChat) {
        auto prompt = readMessages(body);
        if (!prompt)
            return tl::make_unexpected(prompt.error());
        result.prompt = std::move(*prompt);
    } else {
        if (!body.contains("prompt") || !body["prompt"].is_string())
            return wrong(result_code::MalformedRequest, "'prompt' must be a text");
        result.prompt = body["prompt"].get<std::string>();
    }
    if (body.contains("stream") && !body["stream"].is_boolean())
        return wrong(result_code::MalformedRequest, "'stream' must be true or false");
    result.streams = body.value("stream", false);
    result.maxTokens = defaultMaxTokens;
    if (body.contains("max_tokens")) {
        const json& limit = body["max_tokens"];
        if (!limit.is_number_unsigned() || limit.get<std::uint64_t>() < 1
            || limit.get<std::uint64_t>() > maxTokensLimit)
            return wrong(result_code::MalformedRequest, "'max_tokens' must be a whole number from 1 to 32768");
        result.maxTokens = limit.get<std::uint32_t>();
    }
    return {};
}

tl::expected<void, failure> readServiceCall(const http_request& request, caller_request& result)
{
    const std::string rest = request.path.substr(servicePrefix.size());
    const auto slash = rest.find('/');
    result.service = rest.substr(0, slash);
    if (result.service.empty())
        return wrong(result_code::MalformedRequest, "the path names no service");
    auto& call = result.call;
    call.kind = dispatch::work_kind::ServiceCall;
    call.method = request.method;
    call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!request.query.empty())
        call.path += "?" + request.query;
    for (const auto& header : request.headers) {
        if (!isPrivate(header.name))
            call.headers.push_back(header);
    }
    call.body = request.body;
    return {};
}

std::uint64_t digestOf(const http_request& request)
{
    const std::string whole = request.method + "\n" + request.path + "\n" + request.query + "\n" + request.body;
    return XXH64(whole.data(), whole.size(), 0);
}

/// Writes the answer of one request as its events come.
class answer_writer {
public:
    answer_writer(const caller_request& request, bool isChat, http_exchange& exchange)
        : m_request(request)
        , m_isChat(isChat)
        , m_exchange(exchange)
    {
    }

    /// @return false when the caller has gone.
    bool take(const dispatch::answer_frame& frame)
    {
        if (frame.kind == dispatch::frame_kind::Head) {
            m_status = frame.status;
            m_headers = frame.headers;
            return true;
        }
        if (!m_request.streams) {
            m_body += frame.bytes;
            ++m_tokens;
            return true;
        }
        if (!m_streaming) {
            m_streaming = true;
            m_exchange.beginStream(200,
                { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" },
                    { "X-Request-Id", m_request.id } });
        }
        return m_exchange.writeChunk("data: " + dump(choice(frame.bytes, "")) + "\n\n");
    }

    void finish(const answer_finished& end)
    {
        if (end.result.code != result_code::Ok) {
            fail(end);
            return;
        }
        if (m_streaming) {
            m_exchange.writeChunk("data: " + dump(choice("", end.finishReason)) + "\n\ndata: [DONE]\n\n");
            m_exchange.endStream();
            return;
        }
        if (!m_request.pipeline.empty()) {
            json whole = choice(m_body, end.finishReason);
            whole["usage"] = { { "completion_tokens", m_tokens } };
            m_exchange.respond(
                200, { { "Content-Type", "application/json" }, { "X-Request-Id", m_request.id } }, dump(whole) + "\n");
            return;
        }
        std::vector<header_field> headers { { "X-Request-Id", m_request.id } };
        for (const auto& header : m_headers) {
            if (!isPrivate(header.name))
                headers.push_back(header);
        }
        m_exchange.respond(m_status, headers, m_body);
    }

private:
    static std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    [[nodiscard]] json choice(const std::string& text, const std::string& finishReason) const
    {
        json one = { { "index", 0 }, { "finish_reason", finishReason.empty() ? json() : json(finishReason) } };
        if (m_isChat)
            one[m_request.streams ? "delta" : "message"] = { { "role", "assistant" }, { "content", text } };
        else
            one["text"] = text;
        const std::string object = m_isChat ? "chat.completion" : "text_completion";
        return { { "id", m_request.id }, { "object", m_isChat && m_request.streams ? object + ".chunk" : object },
            { "model", m_request.pipeline }, { "choices", json::array({ one }) } };
    }

    void fail(const answer_finished& end)
    {
        if (m_streaming) {
            m_exchange.writeChunk("event: error\ndata: " + http::errorBody(end.result, end.ran) + "\n\n");
            m_exchange.endStream();
            return;
        }
        http::respondError(m_exchange, end.result, end.ran, m_request.id);
    }

    const caller_request& m_request;
    bool m_isChat;
    http_exchange& m_exchange;
    bool m_streaming = false;
    int m_status = 200;
    std::vector<header_field> m_headers;
    std::string m_body;
    std::uint32_t m_tokens = 0;
};

/// Counts while it lives.
class serving_count {
public:
    explicit serving_count(std::atomic<int>& counter)
        : m_counter(counter)
    {
        ++m_counter;
    }
    serving_count(const serving_count&) = delete;
    serving_count& operator=(const serving_count&) = delete;
    ~serving_count() { --m_counter; }

private:
    std::atomic<int>& m_counter;
};

/// Callers' requests, run on the HTTP server's threads.
class caller_api {
public:
    caller_api(link::event_loop& loop, entry& role, const settings::settings& settings)
        : m_loop(loop)
        , m_role(role)
        , m_settings(settings)
    {
    }

    void serve(const http_request& request, http_exchange& exchange)
    {
        const serving_count count(m_role.serving());
        const auto wanted = readCallerRequest(request, m_settings, steadyNow());
        if (!wanted) {
            http::respondError(exchange, wanted.error(), ran_state::No);
            return;
        }
        const auto queue = std::make_shared<answer_queue>();
        m_loop.post([this, wanted = *wanted, queue] { m_role.submit(wanted, queue); });
        answer_writer writer(*wanted, request.path == "/v1/chat/completions", exchange);
        const steady_time patience = wanted->deadline + finalPatience;
        while (const auto event = queue->pop(patience)) {
            if (const auto* end = std::get_if<answer_finished>(&*event)) {
                writer.finish(*end);
                return;
            }
            if (!writer.take(std::get<dispatch::answer_frame>(*event))) {
                m_loop.post([this, id = wanted->id] { m_role.abandon(id); });
                return;
            }
        }
        writer.finish({ { result_code::OutcomeUnknown, "the entry gave no answer" }, ran_state::Unknown, "" });
    }

    void models(const http_request& request, http_exchange& exchange)
    {
        const std::string workspace = request.header("X-Workspace").value_or("");
        const auto names = askLoop<std::vector<std::string>>(
            m_loop, loopPatience, [this, workspace](const auto& reply) { reply(m_role.pipelinesOf(workspace)); });
        json list = json::array();
        for (const auto& name : names.value_or(std::vector<std::string> {}))
            list.push_back({ { "id", name }, { "object", "model" } });
        respondJson(exchange, { { "object", "list" }, { "data", list } });
    }

    void explain(const http_request& request, http_exchange& exchange)
    {
        const std::string id = request.path.substr(explainPrefix.size());
        const auto decisions = askLoop<std::vector<std::string>>(
            m_loop, loopPatience, [this, id](const auto& reply) { reply(m_role.explain(id)); });
        if (!decisions || decisions->empty()) {
            http::respondError(exchange, { result_code::NotFound, "no recent request has this id" }, ran_state::No);
            return;
        }
        respondJson(exchange, { { "request", id }, { "decisions", *decisions } });
    }

private:
    static void respondJson(http_exchange& exchange, const json& body)
    {
        exchange.respond(200, { { "Content-Type", "application/json" } },
            body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
    }

    link::event_loop& m_loop;
    entry& m_role;
    const settings::settings& m_settings;
};

} // namespace

tl::expected<caller_request, failure> readCallerRequest(
    const http_request& request, const settings::settings& settings, steady_time now)
{
    auto result = readHeaders(request, settings, now);
    if (!result)
        return result;
    result->digest = digestOf(request);
    tl::expected<void, failure> read;
    if (request.path.starts_with(servicePrefix)) {
        read = readServiceCall(request, *result);
    } else if (request.method != "POST") {
        read = wrong(result_code::MalformedRequest, "use POST");
    } else {
        read = readCompletion(request, request.path == "/v1/chat/completions", *result);
    }
    if (!read)
        return tl::make_unexpected(read.error());
    return result;
}

std::vector<http::http_route> entryRoutes(link::event_loop& loop, entry& role, const settings::settings& settings)
{
    const auto api = std::make_shared<caller_api>(loop, role, settings);
    const operator_access access(settings);
    const auto serve = [api](const auto& request, auto& exchange) { api->serve(request, exchange); };
    return {
        { "/v1/completions", serve },
        { "/v1/chat/completions", serve },
        { std::string(servicePrefix), serve },
        { "/v1/models", [api](const auto& request, auto& exchange) { api->models(request, exchange); } },
        { std::string(explainPrefix),
            access.guard([api](const auto& request, auto& exchange) { api->explain(request, exchange); }) },
    };
}

} // namespace buckthornrail::app
