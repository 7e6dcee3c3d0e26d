/// @file
/// @brief Adapters to the four kinds of targets.
#include "app/sidecar/target_adapter.hpp"

#include "app/shared/process.hpp"
#include "buckthornrail/http1/event_stream.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

namespace buckthornrail::app {
namespace {

using nlohmann::json;

constexpr milliseconds probeTimeout { 800 };
constexpr milliseconds cancelTimeout { 500 };
constexpr int firstErrorStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr int staleFenceStatus = 409;
constexpr const char* jsonType = "application/json";
constexpr const char* requestIdHeader = "X-Request-Id";
constexpr const char* attemptHeader = "X-Attempt";

http::client_response get(const std::string& address, const std::string& path)
{
    http::client_request request;
    request.address = address;
    request.method = "GET";
    request.path = path;
    request.deadline = steadyNow() + probeTimeout;
    return http::call(request);
}

bool isOk(const http::client_response& response)
{
    return response.outcome == http::client_outcome::Ok && response.status < firstErrorStatus;
}

http::client_request makePost(
    const std::string& address, const std::string& path, const json& body, steady_time deadline)
{
    http::client_request request;
    request.address = address;
    request.method = "POST";
    request.path = path;
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    request.contentType = jsonType;
    request.deadline = deadline;
    return request;
}

void addAttemptHeaders(http::client_request& request, const attempt_id& attempt)
{
    request.headers.push_back({ requestIdHeader, attempt.request });
    request.headers.push_back({ attemptHeader, std::to_string(attempt.number) });
}

/// Outcome of work whose call to the target has ended; Ok only for a successful response.
work_outcome outcomeOf(const http::client_response& response)
{
    work_outcome outcome;
    switch (response.outcome) {
    case http::client_outcome::NotSent:
        outcome.code = result_code::TargetNotReady;
        outcome.reason = "can't connect to the target";
        outcome.notStarted = true;
        return outcome;
    case http::client_outcome::TimedOut:
        outcome.code = result_code::TargetStalled;
        return outcome;
    case http::client_outcome::Cancelled:
        outcome.code = result_code::Cancelled;
        return outcome;
    case http::client_outcome::Broken:
        outcome.code = result_code::TargetFailed;
        outcome.reason = "the connection to the target was lost before the response was complete";
        return outcome;
    case http::client_outcome::Ok:
        break;
    }
    if (response.status >= firstServerErrorStatus) {
        outcome.code = result_code::TargetFailed;
        outcome.reason = "the target responded with status " + std::to_string(response.status);
    } else if (response.status >= firstErrorStatus) {
        outcome.code = result_code::TargetRejected;
        outcome.reason = "the target responded with status " + std::to_string(response.status);
    }
    return outcome;
}

/// Takes the data out of a stream of server-sent events.
class event_splitter {
public:
    /// @param onEvent receives the data of each complete event; returns false to stop
    /// @return false if onEvent stopped
    bool add(const char* data, std::size_t size, const std::function<bool(const std::string&)>& onEvent)
    {
        for (const auto& event : m_reader.parse(std::string_view(data, size))) {
            const auto text = dataOf(event.bytes);
            if (text && !onEvent(*text))
                return false;
        }
        return true;
    }

private:
    /// @return the first data line of an event; empty: it has none
    static std::optional<std::string> dataOf(std::string_view event)
    {
        constexpr std::string_view prefix = "data: ";
        while (!event.empty()) {
            const auto end = event.find('\n');
            std::string_view line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
            if (!line.starts_with(prefix))
                continue;
            line.remove_prefix(prefix.size());
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            return std::string(line);
        }
        return std::nullopt;
    }

    http1::event_stream_reader m_reader;
};

/// Orders to load a model, accepted in the same form by all kinds of targets that run one.
class model_adapter : public target_adapter {
public:
    explicit model_adapter(std::string address)
        : m_address(std::move(address))
    {
    }

    bool sendOrder(const dispatch::target_order& order, steady_time deadline) override
    {
        const json body = { { "fence", order.fence }, { "model", order.model }, { "version", order.version } };
        const auto response = http::call(makePost(m_address, "/engine/order", body, deadline));
        return response.status != staleFenceStatus;
    }

    std::pair<std::string, std::string> loadedModel() override
    {
        const json body = json::parse(get(m_address, "/engine/loaded").body, nullptr, false);
        if (!body.is_object())
            return {};
        return { body.value("model", ""), body.value("version", "") };
    }

protected:
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    std::string m_address;
};

/// Base of the two kinds that stream tokens as server-sent events.
class streaming_adapter : public model_adapter {
public:
    using model_adapter::model_adapter;

    work_outcome run(const attempt_id& attempt, const dispatch::work_order& work, steady_time deadline,
        http::call_canceller& canceller, const frame_sink& sink) override
    {
        auto request = makePost(address(), pathFor(work), bodyFor(work), deadline);
        addAttemptHeaders(request, attempt);
        event_splitter splitter;
        std::string finishReason;
        std::string parseError;
        const auto takeEvent = [&](const std::string& data) {
            if (!finishReason.empty())
                return true; // the response is complete: ignore a target that sends it again
            try {
                dispatch::response_frame frame;
                frame.attempt = attempt;
                if (readEvent(data, frame.bytes, finishReason))
                    sink(std::move(frame));
            } catch (const json::exception& error) {
                parseError = error.what();
                return false;
            }
            return true;
        };
        const auto onBody = [&](const char* data, std::size_t size) { return splitter.add(data, size, takeEvent); };
        const auto response = http::call(request, {}, onBody, &canceller);
        work_outcome outcome = outcomeOf(response);
        // A target that has said how its answer finished owes nothing more.
        if (!finishReason.empty() && response.outcome == http::client_outcome::Broken)
            outcome = {};
        outcome.finishReason = finishReason;
        if (!parseError.empty())
            return { result_code::TargetFailed, "malformed event in the stream: " + parseError, "", false };
        if (outcome.code == result_code::Ok && finishReason.empty())
            return { result_code::AnswerIncomplete, "the stream ended without a finish reason", "", false };
        return outcome;
    }

    void cancel(const attempt_id& attempt) override
    {
        auto request = makePost(address(), "/cancel", { { "request", attempt.request }, { "attempt", attempt.number } },
            steadyNow() + cancelTimeout);
        (void)http::call(request);
    }

protected:
    [[nodiscard]] virtual std::string pathFor(const dispatch::work_order& work) const = 0;
    [[nodiscard]] virtual json bodyFor(const dispatch::work_order& work) const = 0;
    /// @param finishReason set if the event ends the response
    /// @return whether the event holds a token
    virtual bool readEvent(const std::string& data, std::string& token, std::string& finishReason) const = 0;
};

class openai_adapter : public streaming_adapter {
public:
    using streaming_adapter::streaming_adapter;

    target_status probe() override
    {
        target_status status;
        status.ready = isOk(get(address(), "/health"));
        const auto metrics = get(address(), "/metrics");
        std::istringstream lines(metrics.body);
        for (std::string line; std::getline(lines, line);) {
            std::istringstream fields(line);
            std::string name;
            double value = 0;
            if (!(fields >> name >> value))
                continue;
            if (name == "num_requests_running")
                status.running = static_cast<std::uint32_t>(value);
            if (name == "num_requests_waiting")
                status.queued = static_cast<std::uint32_t>(value);
        }
        return status;
    }

protected:
    [[nodiscard]] std::string pathFor(const dispatch::work_order& /*work*/) const override { return "/v1/completions"; }

    [[nodiscard]] json bodyFor(const dispatch::work_order& work) const override
    {
        return { { "model", work.model }, { "prompt", work.prompt }, { "max_tokens", work.maxTokens },
            { "stream", true } };
    }

    bool readEvent(const std::string& data, std::string& token, std::string& finishReason) const override
    {
        if (data == "[DONE]")
            return false;
        const json event = json::parse(data);
        const json& choice = event.at("choices").at(0);
        if (choice.contains("finish_reason") && choice.at("finish_reason").is_string())
            finishReason = choice.at("finish_reason").get<std::string>();
        token = choice.value("text", "");
        return !token.empty();
    }
};

class kserve_adapter : public streaming_adapter {
public:
    kserve_adapter(const std::string& address, std::string model, std::string version)
        : streaming_adapter(address)
        , m_modelPath("/v2/models/" + std::move(model) + "/versions/" + std::move(version))
    {
    }

    target_status probe() override
    {
        target_status status;
        status.ready = isOk(get(address(), "/v2/health/ready")) && isOk(get(address(), m_modelPath + "/ready"));
        const auto stats = get(address(), m_modelPath + "/stats");
        const json body = json::parse(stats.body, nullptr, false);
        if (body.is_object()) {
            status.running = body.value("executing", 0U);
            status.queued = body.value("pending", 0U);
        }
        return status;
    }

protected:
    [[nodiscard]] std::string pathFor(const dispatch::work_order& /*work*/) const override
    {
        return m_modelPath + "/generate_stream";
    }

    [[nodiscard]] json bodyFor(const dispatch::work_order& work) const override
    {
        return { { "text_input", work.prompt }, { "parameters", { { "max_tokens", work.maxTokens } } } };
    }

    bool readEvent(const std::string& data, std::string& token, std::string& finishReason) const override
    {
        const json event = json::parse(data);
        if (event.contains("finish_reason") && event.at("finish_reason").is_string())
            finishReason = event.at("finish_reason").get<std::string>();
        token = event.value("text_output", "");
        return !token.empty();
    }

private:
    std::string m_modelPath; ///< of the model's version
};

class layer_range_adapter : public model_adapter {
public:
    using model_adapter::model_adapter;

    target_status probe() override
    {
        target_status status;
        const json body = json::parse(get(address(), "/engine/state").body, nullptr, false);
        if (!body.is_object())
            return status;
        status.ready = body.value("ready", false);
        status.running = body.value("running", 0U);
        status.queued = body.value("waiting", 0U);
        return status;
    }

    work_outcome run(const attempt_id& /*attempt*/, const dispatch::work_order& /*work*/, steady_time /*deadline*/,
        http::call_canceller& /*canceller*/, const frame_sink& /*sink*/) override
    {
        return { result_code::TargetRejected, "a layer_range target can't run whole requests", "", true };
    }

    step_outcome runStep(const step_order& order, steady_time deadline) override
    {
        const auto& step = order.step;
        const json body = { { "request", step.request }, { "generation", step.generation }, { "token", step.token },
            { "first_layer", order.firstLayer }, { "end_layer", order.endLayer }, { "input", step.input },
            { "last_stage", order.isLastStage }, { "max_tokens", order.maxTokens } };
        const auto response = http::call(makePost(address(), "/engine/step", body, deadline));
        const work_outcome outcome = outcomeOf(response);
        if (outcome.code != result_code::Ok)
            return { outcome.code, outcome.reason, "", false, "" };
        try {
            const json result = json::parse(response.body);
            return { result_code::Ok, "", result.at("output").get<std::string>(), result.value("last", false),
                result.value("finish_reason", "") };
        } catch (const json::exception& error) {
            return { result_code::TargetFailed, error.what(), "", false, "" };
        }
    }

    void closeStage(const std::string& request) override
    {
        (void)http::call(makePost(address(), "/engine/close", { { "request", request } }, steadyNow() + cancelTimeout));
    }
};

class plain_service_adapter : public target_adapter {
public:
    explicit plain_service_adapter(std::string address)
        : m_address(std::move(address))
    {
    }

    target_status probe() override
    {
        target_status status;
        status.ready = isOk(get(m_address, "/healthz"));
        return status;
    }

    work_outcome run(const attempt_id& attempt, const dispatch::work_order& work, steady_time deadline,
        http::call_canceller& canceller, const frame_sink& sink) override
    {
        http::client_request request;
        request.address = m_address;
        request.method = work.method;
        request.path = work.path;
        request.body = work.body;
        request.headers = work.headers;
        request.deadline = deadline;
        addAttemptHeaders(request, attempt);
        const auto onHead = [&](int status, const std::vector<http::header_field>& headers) {
            dispatch::response_frame head;
            head.attempt = attempt;
            head.kind = dispatch::frame_kind::Head;
            head.status = status;
            head.headers = headers;
            sink(std::move(head));
        };
        const auto onBody = [&](const char* data, std::size_t size) {
            dispatch::response_frame frame;
            frame.attempt = attempt;
            frame.bytes.assign(data, size);
            sink(std::move(frame));
            return true;
        };
        const auto response = http::call(request, onHead, onBody, &canceller);
        // Error statuses of a plain service are part of its response, and are forwarded to the caller.
        if (response.outcome == http::client_outcome::Ok)
            return {};
        return outcomeOf(response);
    }

    bool sendOrder(const dispatch::target_order& /*order*/, steady_time /*deadline*/) override { return true; }
    std::pair<std::string, std::string> loadedModel() override { return {}; }

private:
    std::string m_address;
};

} // namespace

step_outcome target_adapter::runStep(const step_order& /*order*/, steady_time /*deadline*/)
{
    return { result_code::TargetRejected, "the target can't run steps: it doesn't hold a range of layers", "", false,
        "" };
}

std::unique_ptr<target_adapter> makeTargetAdapter(const settings::settings& settings)
{
    switch (valueIn(membership::targetKindNames, settings.targetKind).value_or(membership::target_kind::OpenAi)) {
    case membership::target_kind::KServe:
        return std::make_unique<kserve_adapter>(settings.targetAddress, settings.model, settings.version);
    case membership::target_kind::LayerRange:
        return std::make_unique<layer_range_adapter>(settings.targetAddress);
    case membership::target_kind::PlainService:
        return std::make_unique<plain_service_adapter>(settings.targetAddress);
    case membership::target_kind::OpenAi:
        break;
    }
    return std::make_unique<openai_adapter>(settings.targetAddress);
}

} // namespace buckthornrail::app
