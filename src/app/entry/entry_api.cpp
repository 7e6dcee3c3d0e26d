/// @file
/// @brief Parses callers' requests and writes the responses.
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
constexpr milliseconds loopTimeout { 3000 }; ///< for a query to the event loop
constexpr milliseconds resultGracePeriod { 5000 }; ///< from the request's deadline to the event loop's result

/// Headers not passed on to or from a service: those that apply to one connection, and those that the entry handles.
constexpr std::array<std::string_view, 13> excludedHeaders { "Host", "Connection", "Content-Length",
    "Transfer-Encoding", "Keep-Alive", "Upgrade", "TE", "Trailer", "Expect", "X-Timeout-Ms", "X-Priority",
    "X-Non-Idempotent", "Proxy-Connection" };

bool isExcluded(const std::string& name)
{
    return std::any_of(excludedHeaders.begin(), excludedHeaders.end(), [&name](std::string_view other) {
        return name.size() == other.size() && strncasecmp(name.data(), other.data(), other.size()) == 0;
    });
}

tl::unexpected<failure> badRequest(result_code code, const std::string& reason)
{
    return tl::make_unexpected(failure { code, reason });
}

/// Parses the headers that any request may have.
tl::expected<caller_request, failure> readHeaders(
    const http_request& request, const settings::settings& settings, steady_time now)
{
    caller_request result;
    result.id = randomId();
    result.workspace = request.header("X-Workspace").value_or("");
    if (result.workspace.empty())
        return badRequest(result_code::BadHeader, "X-Workspace is missing");
    result.idempotencyKey = request.header("Idempotency-Key").value_or("");
    if (result.idempotencyKey.size() > maxKeyLength)
        return badRequest(result_code::BadHeader, "Idempotency-Key is longer than 256 characters");
    const std::string mark = request.header("X-Non-Idempotent").value_or("false");
    if (mark != "true" && mark != "false")
        return badRequest(result_code::BadHeader, "X-Non-Idempotent must be true or false");
    result.markedNonIdempotent = mark == "true";
    if (const auto priority = request.header("X-Priority")) {
        result.priority = valueIn(priorityNames, *priority);
        if (!result.priority)
            return badRequest(result_code::BadHeader, "X-Priority must be low, normal or high");
    }
    std::uint32_t timeoutMs = settings.defaultTimeoutMs;
    if (const auto timeout = request.header("X-Timeout-Ms")) {
        const auto [end, error] = std::from_chars(timeout->data(), timeout->data() + timeout->size(), timeoutMs);
        const bool isNumber = error == std::errc() && end == timeout->data() + timeout->size();
        if (!isNumber || timeoutMs == 0 || timeoutMs > settings.maxTimeoutMs)
            return badRequest(result_code::BadHeader,
                "X-Timeout-Ms must be an integer from 1 to " + std::to_string(settings.maxTimeoutMs));
    }
    result.deadline = now + milliseconds(timeoutMs);
    return result;
}

/// @return the prompt of a chat: its messages, each followed by a line break
tl::expected<std::string, failure> readMessages(const json& body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty())
        return badRequest(result_code::MalformedRequest, "'messages' must be a non-empty array");
    std::string prompt;
    for (const auto& message : *found) {
        const bool isValid = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!isValid)
            return badRequest(result_code::MalformedRequest, "'role' and 'content' of each message must be strings");
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

tl::expected<void, failure> readCompletion(const http_request& request, bool isChat, caller_request& result)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return badRequest(result_code::MalformedRequest, "the body is not a JSON object");
    if (!body.contains("model") || !body["model"].is_string() || body["model"].get_ref<const std::string&>().empty())
        return badRequest(result_code::MalformedRequest, "'model' must be a non-empty string");
    result.pipeline = body["model"].get<std::string>();
    if (isChat) {
        auto prompt = readMessages(body);
        if (!prompt)
            return tl::make_unexpected(prompt.error());
        result.prompt = std::move(*prompt);
    } else {
        if (!body.contains("prompt") || !body["prompt"].is_string())
            return badRequest(result_code::MalformedRequest, "'prompt' must be a string");
        result.prompt = body["prompt"].get<std::string>();
    }
    if (body.contains("stream") && !body["stream"].is_boolean())
        return badRequest(result_code::MalformedRequest, "'stream' must be true or false");
    result.isStream = body.value("stream", false);
    result.maxTokens = defaultMaxTokens;
    if (body.contains("max_tokens")) {
        const json& limit = body["max_tokens"];
        if (!limit.is_number_unsigned() || limit.get<std::uint64_t>() < 1
            || limit.get<std::uint64_t>() > maxTokensLimit)
            return badRequest(result_code::MalformedRequest, "'max_tokens' must be an integer from 1 to 32768");
        result.maxTokens = limit.get<std::uint32_t>();
    }
    return {};
}

tl::expected<void, failure> readServiceCall(const http_request& request, caller_request& result)
{
    const std::string nameAndPath = request.path.substr(servicePrefix.size());
    const auto slash = nameAndPath.find('/');
    result.service = nameAndPath.substr(0, slash);
    if (result.service.empty())
        return badRequest(result_code::MalformedRequest, "the path has no service name");
    auto& call = result.call;
    call.kind = dispatch::work_kind::ServiceCall;
    call.method = request.method;
    call.path = slash == std::string::npos ? "/" : nameAndPath.substr(slash);
    if (!request.query.empty())
        call.path += "?" + request.query;
    for (const auto& header : request.headers) {
        if (!isExcluded(header.name))
            call.headers.push_back(header);
    }
    call.body = request.body;
    return {};
}

std::uint64_t requestDigest(const http_request& request)
{
    const std::string input = request.method + "\n" + request.path + "\n" + request.query + "\n" + request.body;
    return XXH64(input.data(), input.size(), 0);
}

/// Writes the response of one request, from its events.
class response_writer {
public:
    response_writer(const caller_request& request, bool isChat, http_exchange& exchange)
        : m_request(request)
        , m_isChat(isChat)
        , m_exchange(exchange)
    {
    }

    /// @brief Writes a frame of a stream at once; collects the frames of other responses.
    /// @return false if the caller has disconnected
    bool write(const dispatch::response_frame& frame)
    {
        if (frame.kind == dispatch::frame_kind::Head) {
            m_status = frame.status;
            m_headers = frame.headers;
            return true;
        }
        if (!m_request.isStream) {
            m_body += frame.bytes;
            ++m_tokens;
            return true;
        }
        if (!m_hasStreamStarted) {
            m_hasStreamStarted = true;
            m_exchange.beginStream(200,
                { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" },
                    { "X-Request-Id", m_request.id } });
        }
        return m_exchange.writeChunk("data: " + dump(completionBody(frame.bytes, "")) + "\n\n");
    }

    /// @brief Completes the response.
    void finish(const final_result& end)
    {
        if (end.result.code != result_code::Ok) {
            writeError(end);
            return;
        }
        if (m_hasStreamStarted) {
            m_exchange.writeChunk("data: " + dump(completionBody("", end.finishReason)) + "\n\ndata: [DONE]\n\n");
            m_exchange.endStream();
            return;
        }
        if (!m_request.pipeline.empty()) {
            json body = completionBody(m_body, end.finishReason);
            body["usage"] = { { "completion_tokens", m_tokens } };
            m_exchange.respond(
                200, { { "Content-Type", "application/json" }, { "X-Request-Id", m_request.id } }, dump(body) + "\n");
            return;
        }
        std::vector<header_field> headers { { "X-Request-Id", m_request.id } };
        for (const auto& header : m_headers) {
            if (!isExcluded(header.name))
                headers.push_back(header);
        }
        m_exchange.respond(m_status, headers, m_body);
    }

private:
    static std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    [[nodiscard]] json completionBody(const std::string& text, const std::string& finishReason) const
    {
        json choice = { { "index", 0 }, { "finish_reason", finishReason.empty() ? json() : json(finishReason) } };
        if (m_isChat)
            choice[m_request.isStream ? "delta" : "message"] = { { "role", "assistant" }, { "content", text } };
        else
            choice["text"] = text;
        const std::string object = m_isChat ? "chat.completion" : "text_completion";
        return { { "id", m_request.id }, { "object", m_isChat && m_request.isStream ? object + ".chunk" : object },
            { "model", m_request.pipeline }, { "choices", json::array({ choice }) } };
    }

    void writeError(const final_result& end)
    {
        if (m_hasStreamStarted) {
            m_exchange.writeChunk("event: error\ndata: " + http::errorBody(end.result, end.ran) + "\n\n");
            m_exchange.abortStream();
            return;
        }
        http::respondError(m_exchange, end.result, end.ran, m_request.id);
    }

    const caller_request& m_request;
    bool m_isChat;
    http_exchange& m_exchange;
    bool m_hasStreamStarted = false;
    int m_status = 200;
    std::vector<header_field> m_headers;
    std::string m_body;
    std::uint32_t m_tokens = 0;
};

/// Counts one handler as active during its lifetime.
class active_handler_count {
public:
    explicit active_handler_count(std::atomic<int>& counter)
        : m_counter(counter)
    {
        ++m_counter;
    }
    active_handler_count(const active_handler_count&) = delete;
    active_handler_count& operator=(const active_handler_count&) = delete;
    ~active_handler_count() { --m_counter; }

private:
    std::atomic<int>& m_counter;
};

/// Handlers of the API. They run on the HTTP server's threads and post to the event loop.
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
        const active_handler_count guard(m_role.activeHandlers());
        const auto parsed = readCallerRequest(request, m_settings, steadyNow());
        if (!parsed) {
            http::respondError(exchange, parsed.error(), ran_state::No);
            return;
        }
        const auto queue = std::make_shared<response_queue>();
        m_loop.post([this, parsed = *parsed, queue] { m_role.submit(parsed, queue); });
        response_writer writer(*parsed, request.path == "/v1/chat/completions", exchange);
        const steady_time resultDeadline = parsed->deadline + resultGracePeriod;
        while (const auto event = queue->pop(resultDeadline)) {
            if (const auto* end = std::get_if<final_result>(&*event)) {
                writer.finish(*end);
                return;
            }
            if (!writer.write(std::get<dispatch::response_frame>(*event))) {
                exchange.abortStream();
                m_loop.post([this, id = parsed->id] { m_role.callerGone(id); });
                return;
            }
        }
        writer.finish(
            { { result_code::OutcomeUnknown, "the entry produced no result in time" }, ran_state::Unknown, "" });
    }

    void models(const http_request& request, http_exchange& exchange)
    {
        const std::string workspace = request.header("X-Workspace").value_or("");
        const auto names = callOnLoop<std::vector<std::string>>(
            m_loop, loopTimeout, [this, workspace](const auto& reply) { reply(m_role.allowedPipelines(workspace)); });
        json list = json::array();
        for (const auto& name : names.value_or(std::vector<std::string> {}))
            list.push_back({ { "id", name }, { "object", "model" } });
        respondJson(exchange, { { "object", "list" }, { "data", list } });
    }

    void explain(const http_request& request, http_exchange& exchange)
    {
        const std::string id = request.path.substr(explainPrefix.size());
        const auto decisions = callOnLoop<std::vector<std::string>>(
            m_loop, loopTimeout, [this, id](const auto& reply) { reply(m_role.explain(id)); });
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
    result->digest = requestDigest(request);
    tl::expected<void, failure> read;
    if (request.path.starts_with(servicePrefix)) {
        read = readServiceCall(request, *result);
    } else if (request.method != "POST") {
        read = badRequest(result_code::MalformedRequest, "the method must be POST");
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
