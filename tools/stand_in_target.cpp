/// @file
/// @brief Stand-in for a target of any kind, with configurable speed, batch slots, prefix cache and fault injection.
///
/// It logs every execution as a line of JSON. The tests of exactly-once execution compare that log with the
/// responses that callers received.
#include "stand_in_execution_log.hpp"
#include "stand_in_model.hpp"
#include "stand_in_prefix_cache.hpp"
#include "stand_in_slots.hpp"

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/http/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using buckthornrail::milliseconds;
using buckthornrail::steady_time;
using buckthornrail::http::http_exchange;
using buckthornrail::http::http_request;
using nlohmann::json;
using stand_in::batch_slots;
using stand_in::execution_log;
using stand_in::prefix_cache;

struct stand_in_options {
    std::string address;
    std::string name;
    std::string logFile;
    std::uint32_t tokenMs = 5; ///< time for a token or an engine step
    std::uint32_t prefillUsPerByte = 0; ///< for prompts whose prefix isn't cached
    std::uint32_t slots = 4; ///< requests that run concurrently
    std::uint32_t layers = 8;
    std::uint32_t cacheEntries = 64;
    std::uint32_t reportLagMs = 0; ///< the load report is refreshed only when this time has passed
    std::uint32_t serviceMs = 2; ///< time for a service call
    std::uint32_t loadMs = 200; ///< time to load a version
    bool checksFences = true; ///< false: executes load orders with an outdated fencing token
    bool sendsTokensTwice = false; ///< sends all tokens of a response again after the last one
    std::uint32_t firstTokenDelayMs = 0; ///< delay between the response head and the first token
    std::uint32_t cacheEventLagMs = 500; ///< age at which cache events become visible
    std::uint32_t cacheEventSkipInterval = 7; ///< every n-th cache event is never published; 0: none
    std::uint32_t stallAfter = 0; ///< stalls before this token (counted from 1) and each later one; 0: never
    std::uint32_t dieAfter = 0; ///< kills its own process before this token (counted from 1); 0: never
};

class stand_in_target {
public:
    explicit stand_in_target(stand_in_options options)
        : m_options(std::move(options))
        , m_log(m_options.logFile)
        , m_slots(m_options.slots)
        , m_cache(m_options.cacheEntries)
    {
    }

    void serve(const http_request& request, http_exchange& exchange)
    {
        const auto& path = request.path;
        if (path == "/v1/completions")
            complete(request, exchange, "prompt", false);
        else if (path.ends_with("/generate_stream"))
            complete(request, exchange, "text_input", true);
        else if (path == "/engine/step")
            executeStep(request, exchange);
        else if (path == "/engine/close")
            closeRequest(request, exchange);
        else if (path == "/engine/state" || path.ends_with("/stats"))
            respond(exchange, 200, loadReport());
        else if (path == "/engine/order")
            loadVersion(request, exchange);
        else if (path == "/engine/cache_events")
            respond(exchange, 200,
                m_cache.events(buckthornrail::boot_clock::now(), milliseconds(m_options.cacheEventLagMs),
                    m_options.cacheEventSkipInterval));
        else if (path == "/engine/loaded")
            respond(exchange, 200, loadedVersion());
        else if (path == "/cancel")
            cancel(request, exchange);
        else if (path == "/stand_in/fault")
            injectFault(request, exchange);
        else if (path == "/metrics")
            exchange.respond(200, {}, metricsText());
        else if (path == "/health" || path == "/healthz" || path.ends_with("/ready"))
            respond(exchange, m_ready ? 200 : 503, json::object());
        else
            serveCall(request, exchange);
    }

private:
    static void respond(http_exchange& exchange, int status, const json& body)
    {
        exchange.respond(status, { { "Content-Type", "application/json" } },
            body.dump(-1, ' ', false, json::error_handler_t::replace));
    }

    static void sleepUs(std::uint64_t microseconds)
    {
        std::this_thread::sleep_for(std::chrono::microseconds(microseconds));
    }

    /// @brief Sets the fault settings that the body names; the others stay. Fields:
    /// {"token_ms":..,"stall_after":..,"die_after":..,"ready":..,"service_ms":..,
    /// "answers_twice":..,"answer_late_ms":..}
    void injectFault(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        m_options.tokenMs = body.value("token_ms", m_options.tokenMs);
        m_options.stallAfter = body.value("stall_after", m_options.stallAfter);
        m_options.dieAfter = body.value("die_after", m_options.dieAfter);
        m_options.serviceMs = body.value("service_ms", m_options.serviceMs);
        m_options.sendsTokensTwice = body.value("answers_twice", m_options.sendsTokensTwice);
        m_options.firstTokenDelayMs = body.value("answer_late_ms", m_options.firstTokenDelayMs);
        m_ready = body.value("ready", m_ready.load());
        respond(exchange, 200, json::object());
    }

    /// @brief Loads a version of a model. An order with an outdated fencing token is refused when fences
    /// are checked.
    void loadVersion(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        const auto fence = body.value("fence", std::uint64_t { 0 });
        {
            const std::scoped_lock lock(m_mutex);
            if (m_options.checksFences && fence < m_highestFence) {
                respond(exchange, 409, { { "error", "old fencing number" } });
                return;
            }
            m_highestFence = std::max(m_highestFence, fence);
        }
        log({ { "event", "load_begun" }, { "fence", fence } });
        sleepUs(std::uint64_t { m_options.loadMs } * 1000);
        const std::scoped_lock lock(m_mutex);
        m_model = body.value("model", "");
        m_version = body.value("version", "");
        log({ { "event", "load_done" }, { "fence", fence }, { "version", m_version } });
        respond(exchange, 200, json::object());
    }

    json loadedVersion()
    {
        const std::scoped_lock lock(m_mutex);
        return { { "model", m_model }, { "version", m_version } };
    }

    json loadReport()
    {
        const auto [running, waiting] = reportedLoad();
        return { { "ready", m_ready.load() }, { "running", running }, { "waiting", waiting }, { "executing", running },
            { "pending", waiting } };
    }

    std::string metricsText()
    {
        const auto [running, waiting] = reportedLoad();
        return "num_requests_running " + std::to_string(running) + "\nnum_requests_waiting " + std::to_string(waiting)
            + "\n";
    }

    /// @brief Running and waiting requests as of the last refresh, which is at most the report lag ago.
    std::pair<std::uint32_t, std::uint32_t> reportedLoad()
    {
        const std::scoped_lock lock(m_mutex);
        const steady_time now = buckthornrail::boot_clock::now();
        if (now >= m_reportDeadline) {
            m_reportedLoad = m_slots.counts();
            m_reportDeadline = now + milliseconds(m_options.reportLagMs);
        }
        return m_reportedLoad;
    }

    void log(json row)
    {
        row["target"] = m_options.name;
        m_log.append(row);
    }

    /// @brief Kills this process or sleeps 30 s when a fault is set for this token.
    /// @param token counted from 0
    void applyFault(std::uint32_t token) const
    {
        if (m_options.dieAfter != 0 && token + 1 >= m_options.dieAfter)
            std::raise(SIGKILL);
        if (m_options.stallAfter != 0 && token + 1 >= m_options.stallAfter)
            std::this_thread::sleep_for(std::chrono::seconds(30));
    }

    bool isCancelled(const std::string& request)
    {
        const std::scoped_lock lock(m_mutex);
        return m_cancelled.contains(request);
    }

    void cancel(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::string key = body.value("request", "") + "/" + std::to_string(body.value("attempt", 0));
        {
            const std::scoped_lock lock(m_mutex);
            m_cancelled.insert(key);
        }
        log({ { "event", "cancel" }, { "request", body.value("request", "") },
            { "attempt", body.value("attempt", 0) } });
        respond(exchange, 200, json::object());
    }

    void complete(const http_request& request, http_exchange& exchange, const char* promptField, bool isKServe)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains(promptField)) {
            respond(exchange, 400, { { "error", "no prompt" } });
            return;
        }
        std::string text = body[promptField].get<std::string>();
        const std::uint32_t limit
            = isKServe ? body["parameters"].value("max_tokens", 16U) : body.value("max_tokens", 16U);
        const std::string id = request.header("X-Request-Id").value_or("");
        const std::string attempt = request.header("X-Attempt").value_or("0");
        m_slots.acquire();
        log({ { "event", "run" }, { "request", id }, { "attempt", std::stoul(attempt) } });
        if (!m_cache.touch(text))
            sleepUs(std::uint64_t { m_options.prefillUsPerByte } * text.size());
        exchange.beginStream(200, { { "Content-Type", "text/event-stream" } });
        sleepUs(std::uint64_t { m_options.firstTokenDelayMs } * 1000);
        bool alive = true;
        std::vector<std::string> events;
        for (std::uint32_t token = 0; token < limit && alive; ++token) {
            applyFault(token);
            sleepUs(std::uint64_t { m_options.tokenMs } * 1000);
            const std::string tokenText
                = stand_in::tokenOf(stand_in::runLayers(stand_in::embed(text), 0, m_options.layers));
            text += tokenText;
            const bool last = token + 1 == limit;
            events.push_back("data: " + event(tokenText, last, isKServe).dump() + "\n\n");
            alive = exchange.writeChunk(events.back()) && !isCancelled(id + "/" + attempt);
        }
        for (std::size_t index = 0; index < events.size() && alive && m_options.sendsTokensTwice; ++index)
            alive = exchange.writeChunk(events[index]);
        if (alive && !isKServe)
            exchange.writeChunk("data: [DONE]\n\n");
        exchange.endStream();
        m_slots.release();
        log({ { "event", alive ? "done" : "stopped" }, { "request", id }, { "attempt", std::stoul(attempt) } });
    }

    static json event(const std::string& tokenText, bool last, bool isKServe)
    {
        const json reason = last ? json("length") : json();
        if (isKServe)
            return { { "text_output", tokenText }, { "finish_reason", reason } };
        return { { "choices", json::array({ { { "text", tokenText }, { "finish_reason", reason } } }) } };
    }

    void executeStep(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::string id = body.value("request", "");
        const auto token = body.value("token", 0U);
        const auto first = body.value("first_layer", 0U);
        const auto end = body.value("end_layer", 0U);
        const std::string input = body.value("input", "");
        log({ { "event", "step" }, { "request", id }, { "generation", body.value("generation", 0U) },
            { "token", token }, { "first_layer", first }, { "end_layer", end } });
        applyFault(token);
        m_slots.acquire();
        sleepUs(std::uint64_t { m_options.tokenMs } * 1000);
        m_slots.release();
        std::uint64_t value = 0;
        if (first == 0) {
            const std::scoped_lock lock(m_mutex);
            auto& text = m_stageTexts[id + "/" + std::to_string(body.value("generation", 0U))];
            text = token == 0 ? input : text + input;
            value = stand_in::embed(text);
        } else {
            value = std::stoull(input);
        }
        value = stand_in::runLayers(value, first, end);
        if (!body.value("last_stage", false)) {
            respond(exchange, 200, { { "output", std::to_string(value) } });
            return;
        }
        const bool last = token + 1 >= body.value("max_tokens", 1U);
        respond(exchange, 200,
            { { "output", stand_in::tokenOf(value) }, { "last", last }, { "finish_reason", last ? "length" : "" } });
    }

    void closeRequest(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::string id = body.value("request", "") + "/";
        const std::scoped_lock lock(m_mutex);
        std::erase_if(m_stageTexts, [&id](const auto& item) { return item.first.starts_with(id); });
        respond(exchange, 200, json::object());
    }

    void serveCall(const http_request& request, http_exchange& exchange)
    {
        m_slots.acquire();
        log({ { "event", "call" }, { "request", request.header("X-Request-Id").value_or("") },
            { "attempt", std::stoul(request.header("X-Attempt").value_or("0")) }, { "method", request.method },
            { "path", request.path }, { "body", request.body } });
        applyFault(0);
        sleepUs(std::uint64_t { m_options.serviceMs } * 1000);
        m_slots.release();
        exchange.respond(request.method == "POST" ? 201 : 200,
            { { "Content-Type", "application/json" }, { "X-Service", m_options.name } },
            json({ { "service", m_options.name }, { "method", request.method }, { "path", request.path },
                     { "query", request.query }, { "number", ++m_callCount }, { "body", request.body } })
                .dump());
    }

    stand_in_options m_options;
    execution_log m_log;
    batch_slots m_slots;
    prefix_cache m_cache;
    std::mutex m_mutex;
    std::set<std::string> m_cancelled;
    std::map<std::string, std::string> m_stageTexts; ///< text so far at layer 0, by "request/generation"
    std::pair<std::uint32_t, std::uint32_t> m_reportedLoad;
    steady_time m_reportDeadline {};
    std::uint64_t m_highestFence = 0;
    std::string m_model;
    std::string m_version;
    std::atomic<bool> m_ready { true };
    std::atomic<std::uint64_t> m_callCount { 0 };
};

stand_in_options readOptions(int argc, char** argv)
{
    stand_in_options options;
    TCLAP::CmdLine line("Stand-in for a target, for tests and demos.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("", "address", "Address to listen on", true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> name("", "name", "Name in the execution log", false, "target", "name", line);
    TCLAP::ValueArg<std::string> log("", "log", "Execution log", false, "", "file", line);
    const auto numberArg = [&line](const char* flag, const char* meaning, std::uint32_t fallback) {
        return std::make_unique<TCLAP::ValueArg<std::uint32_t>>("", flag, meaning, false, fallback, "number", line);
    };
    const auto tokenMs = numberArg("token-ms", "Time for a token or an engine step in ms", options.tokenMs);
    const auto prefill
        = numberArg("prefill-us-per-byte", "Prefill time per byte of a prompt that isn't cached, in us", 0);
    const auto slots = numberArg("slots", "Requests that run concurrently", options.slots);
    const auto layers = numberArg("layers", "Layers of the model", options.layers);
    const auto cache = numberArg("cache", "Capacity of the prefix cache in entries", options.cacheEntries);
    const auto lag = numberArg("report-lag-ms", "Interval at which load reports are refreshed, in ms", 0);
    const auto serviceMs = numberArg("service-ms", "Time for a service call in ms", options.serviceMs);
    const auto loadMs = numberArg("load-ms", "Time to load a version in ms", options.loadMs);
    TCLAP::SwitchArg ignoresFences("", "ignore-fences", "Execute load orders with an outdated fencing token", line);
    line.parse(argc, argv);
    options.loadMs = loadMs->getValue();
    options.checksFences = !ignoresFences.getValue();
    options.address = address.getValue();
    options.name = name.getValue();
    options.logFile = log.getValue();
    options.tokenMs = tokenMs->getValue();
    options.prefillUsPerByte = prefill->getValue();
    options.slots = slots->getValue();
    options.layers = layers->getValue();
    options.cacheEntries = cache->getValue();
    options.reportLagMs = lag->getValue();
    options.serviceMs = serviceMs->getValue();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop, nullptr);
    const stand_in_options options = readOptions(argc, argv);
    stand_in_target target(options);
    buckthornrail::http::server_options server;
    server.address = options.address;
    server.threads = options.slots * 4 + 16;
    const auto started = buckthornrail::http::http_server::start(
        server, { { "/", [&target](const auto& request, auto& exchange) { target.serve(request, exchange); } } });
    if (!started) {
        std::cerr << started.error() << "\n";
        return 1;
    }
    int signal = 0;
    sigwait(&stop, &signal);
    return 0;
}
