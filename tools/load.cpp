/// @file
/// @brief Open-loop load generator with a seeded schedule; verifies the text of every complete response.
///
/// Arrivals follow a Poisson process. Each request is sent when it is due, whether or not earlier ones have
/// received their response; `sent_late` counts requests sent over 100 ms late because all threads were busy. Latencies
/// are kept in histograms with a fixed number of buckets, so their memory doesn't grow with the run.
#include "stand_in_model.hpp"

#include "buckthornrail/http/http_client.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr std::uint32_t layers = 8; ///< of the stand-in model; the stand-in target's default
constexpr double firstBoundMs = 0.5; ///< upper bound of the first bucket
constexpr double bucketGrowth = 1.07; ///< ratio of the bounds of adjacent buckets
constexpr std::size_t bucketCount = 192; ///< covers latencies up to about 200 s
constexpr double steadyStart = 0.25; ///< fraction of the run before the steady window, in which throughput is counted

std::int64_t nowUs()
{
    const auto since = buckthornrail::boot_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

/// Latency histogram with geometric buckets; a percentile is exact to within one bucket (7%).
class latency_histogram {
public:
    void add(double ms)
    {
        const double bucket = ms <= firstBoundMs ? 0 : std::log(ms / firstBoundMs) / std::log(bucketGrowth) + 1;
        ++m_buckets[std::min(static_cast<std::size_t>(bucket), bucketCount - 1)];
        ++m_count;
    }
    /// @param fraction 0 to 1
    /// @return the upper bound in ms of the bucket that holds the percentile; 0 when the histogram is empty
    [[nodiscard]] double percentile(double fraction) const
    {
        const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
        std::uint64_t seen = 0;
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
            seen += m_buckets[bucket];
            if (seen >= rank && seen > 0)
                return firstBoundMs * std::pow(bucketGrowth, static_cast<double>(bucket));
        }
        return 0;
    }
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    std::array<std::uint64_t, bucketCount> m_buckets {};
    std::uint64_t m_count = 0;
};

struct load_options {
    std::vector<std::string> entries;
    double rate = 50; ///< mean requests per second
    double seconds = 10; ///< length of the schedule
    std::uint32_t threads = 200; ///< limit of requests in flight
    std::uint32_t tokens = 8; ///< per response
    std::uint32_t promptBytes = 200;
    std::uint32_t prefixes = 0; ///< shared prompt prefixes per workspace; 0: none
    std::uint32_t prefixBytes = 400;
    std::vector<std::string> workspaces;
    std::string pipeline = "essay-summary";
    std::uint32_t timeoutMs = 10000;
    double highPriorityShare = 0; ///< fraction of the requests, 0 to 1
    double funnelShare = 0; ///< fraction of the requests that go to the first entry, besides its part of the others
    std::uint64_t seed = 1;
    std::string jsonFile;
    bool timeline = false;
};

/// One request of the schedule.
struct planned_request {
    std::int64_t sendOffsetUs = 0; ///< since the start of the run
    std::string prompt;
    std::string workspace;
    bool isHighPriority = false;
    bool isFunnelled = false; ///< goes to the first entry, whichever's turn it is
};

/// Counts and latencies of the requests of one priority class.
struct class_result {
    std::uint64_t good = 0; ///< complete, with the expected text
    std::uint64_t goodTokens = 0;
    std::uint64_t refused = 0; ///< status 429, 503 or 504
    std::uint64_t refusedWithoutRetryAfter = 0;
    std::uint64_t failed = 0; ///< neither complete nor refused
    std::uint64_t wrong = 0; ///< complete, but with another text than expected
    latency_histogram firstTokenMs;
    latency_histogram gapMs; ///< between successive chunks of a response
    latency_histogram totalMs; ///< reported as `whole_ms`
    latency_histogram refusalMs;
};

class load_generator {
public:
    explicit load_generator(load_options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        const double meanIntervalUs = 1e6 / m_options.rate;
        std::exponential_distribution<double> interval(1.0 / meanIntervalUs);
        double arrivalUs = 0;
        while (arrivalUs < m_options.seconds * 1e6) {
            m_plan.push_back(planRequest(static_cast<std::int64_t>(arrivalUs)));
            arrivalUs += interval(m_random);
        }
    }

    json run()
    {
        m_beginUs = nowUs() + 200'000;
        std::vector<std::thread> threads;
        for (std::uint32_t index = 0; index < m_options.threads; ++index)
            threads.emplace_back([this] { runWorker(); });
        for (auto& thread : threads)
            thread.join();
        return report();
    }

private:
    planned_request planRequest(std::int64_t sendOffsetUs)
    {
        planned_request request;
        request.sendOffsetUs = sendOffsetUs;
        request.workspace = m_options.workspaces[m_random() % m_options.workspaces.size()];
        request.isHighPriority = std::uniform_real_distribution<>(0, 1)(m_random) < m_options.highPriorityShare;
        const bool mayBeFunnelled = m_options.funnelShare > 0; // otherwise nothing is drawn: a seed's schedule stays
        request.isFunnelled
            = mayBeFunnelled && std::uniform_real_distribution<>(0, 1)(m_random) < m_options.funnelShare;
        if (m_options.prefixes > 0) {
            const auto number = m_random() % m_options.prefixes;
            request.prompt = request.workspace + " shared beginning " + std::to_string(number) + " ";
            request.prompt.resize(m_options.prefixBytes, 'p');
        }
        request.prompt += "essay " + std::to_string(m_random()) + " ";
        request.prompt.resize(std::max<std::size_t>(request.prompt.size(), m_options.promptBytes), 'e');
        return request;
    }

    void runWorker()
    {
        while (true) {
            const std::size_t number = m_nextRequest++;
            if (number >= m_plan.size())
                return;
            const auto& request = m_plan[number];
            const std::int64_t dueUs = m_beginUs + request.sendOffsetUs;
            const std::int64_t waitUs = dueUs - nowUs();
            if (waitUs > 0)
                std::this_thread::sleep_for(std::chrono::microseconds(waitUs));
            else if (waitUs < -100'000)
                ++m_sentLate;
            send(request,
                request.isFunnelled ? m_options.entries.front() : m_options.entries[number % m_options.entries.size()]);
        }
    }

    void send(const planned_request& request, const std::string& entry)
    {
        http::client_request call;
        call.address = entry;
        call.method = "POST";
        call.path = "/v1/completions";
        call.contentType = "application/json";
        call.body = json({ { "model", m_options.pipeline }, { "prompt", request.prompt },
                             { "max_tokens", m_options.tokens }, { "stream", true } })
                        .dump();
        call.headers = { { "X-Workspace", request.workspace }, { "X-Timeout-Ms", std::to_string(m_options.timeoutMs) },
            { "X-Priority", request.isHighPriority ? "high" : "normal" } };
        call.deadline = buckthornrail::boot_clock::now() + milliseconds(m_options.timeoutMs + 5000);
        const std::int64_t sentUs = nowUs();
        std::int64_t firstUs = 0;
        std::int64_t lastUs = 0;
        std::string received;
        std::vector<double> gaps;
        int status = 0;
        const auto onHead = [&status](int value, const auto&) { status = value; };
        const auto onBody = [&](const char* data, std::size_t size) {
            const std::int64_t receivedUs = nowUs();
            received.append(data, size);
            if (firstUs == 0)
                firstUs = receivedUs;
            else
                gaps.push_back(static_cast<double>(receivedUs - lastUs) / 1000);
            lastUs = receivedUs;
            return true;
        };
        const auto response = http::call(call, onHead, onBody);
        recordResult(request, response, status, received, sentUs, firstUs, gaps);
    }

    void recordResult(const planned_request& request, const http::client_response& response, int status,
        const std::string& received, std::int64_t sentUs, std::int64_t firstUs, const std::vector<double>& gaps)
    {
        const std::int64_t doneUs = nowUs();
        const double totalMs = static_cast<double>(doneUs - sentUs) / 1000;
        bool finished = false;
        const std::string text = completionText(received, finished);
        const bool isComplete = response.outcome == http::client_outcome::Ok && status == 200 && finished;
        const bool isRefusal = status == 503 || status == 429 || status == 504;
        const bool isCorrect
            = !isComplete || text == stand_in::expectedResponse(request.prompt, m_options.tokens, layers);
        const std::scoped_lock lock(m_mutex);
        auto& result = m_results[request.isHighPriority ? "high" : "normal"];
        if (isComplete && isCorrect) {
            ++result.good;
            result.goodTokens += m_options.tokens;
            result.firstTokenMs.add(static_cast<double>(firstUs - sentUs) / 1000);
            result.totalMs.add(totalMs);
            for (const double gap : gaps)
                result.gapMs.add(gap);
            ++m_goodByWorkspace[request.workspace];
            // Throughput counts responses of the steady window only: the ramp-up and the responses after the last
            // request was due would distort it.
            const double endSeconds = static_cast<double>(doneUs - m_beginUs) / 1e6;
            if (endSeconds >= steadyStart * m_options.seconds && endSeconds < m_options.seconds)
                ++m_goodInSteadyWindow;
            m_lastGoodUs = std::max(m_lastGoodUs, doneUs);
        } else if (isComplete) {
            ++result.wrong;
        } else if (isRefusal) {
            ++result.refused;
            result.refusalMs.add(totalMs);
            result.refusedWithoutRetryAfter += hasRetryAfter(response) ? 0 : 1;
        } else {
            ++result.failed;
        }
        if (m_options.timeline)
            m_timeline.emplace_back((doneUs - m_beginUs) / 1000, isComplete && isCorrect);
    }

    static bool hasRetryAfter(const http::client_response& response)
    {
        return std::any_of(response.headers.begin(), response.headers.end(),
            [](const auto& header) { return header.name == "Retry-After"; });
    }

    /// @brief Concatenates the tokens of a server-sent event stream.
    /// @param finished set to true when the stream has its `[DONE]` event
    static std::string completionText(const std::string& received, bool& finished)
    {
        std::string text;
        std::istringstream lines(received);
        for (std::string line; std::getline(lines, line);) {
            if (line == "data: [DONE]")
                finished = true;
            const json event = line.starts_with("data: {") ? json::parse(line.substr(6), nullptr, false) : json();
            if (event.is_object() && event.contains("choices"))
                text += event["choices"][0].value("text", "");
        }
        return text;
    }

    json report()
    {
        json classes = json::object();
        std::uint64_t good = 0;
        std::uint64_t tokens = 0;
        for (const auto& [name, result] : m_results) {
            classes[name] = { { "good", result.good }, { "refused", result.refused }, { "failed", result.failed },
                { "wrong", result.wrong }, { "refused_without_retry_after", result.refusedWithoutRetryAfter },
                { "first_token_ms",
                    { { "p50", result.firstTokenMs.percentile(0.5) },
                        { "p95", result.firstTokenMs.percentile(0.95) } } },
                { "gap_ms", { { "p50", result.gapMs.percentile(0.5) }, { "p95", result.gapMs.percentile(0.95) } } },
                { "whole_ms",
                    { { "p50", result.totalMs.percentile(0.5) }, { "p95", result.totalMs.percentile(0.95) } } },
                { "refusal_ms",
                    { { "p50", result.refusalMs.percentile(0.5) }, { "p95", result.refusalMs.percentile(0.95) } } } };
            good += result.good;
            tokens += result.goodTokens;
        }
        const double durationSeconds = std::max(m_options.seconds, static_cast<double>(m_lastGoodUs - m_beginUs) / 1e6);
        json summary = { { "planned", m_plan.size() }, { "good", good }, { "seconds", durationSeconds },
            { "good_per_second", static_cast<double>(m_goodInSteadyWindow) / ((1 - steadyStart) * m_options.seconds) },
            { "tokens_per_second", static_cast<double>(tokens) / durationSeconds }, { "sent_late", m_sentLate.load() },
            { "classes", classes }, { "good_by_workspace", m_goodByWorkspace } };
        if (m_options.timeline) {
            std::sort(m_timeline.begin(), m_timeline.end());
            summary["timeline"] = m_timeline;
        }
        return summary;
    }

    load_options m_options;
    std::mt19937_64 m_random;
    std::vector<planned_request> m_plan;
    std::atomic<std::size_t> m_nextRequest { 0 };
    std::atomic<std::uint64_t> m_sentLate { 0 };
    std::int64_t m_beginUs = 0;
    std::int64_t m_lastGoodUs = 0;
    std::uint64_t m_goodInSteadyWindow = 0;
    std::mutex m_mutex;
    std::map<std::string, class_result> m_results;
    std::map<std::string, std::uint64_t> m_goodByWorkspace;
    std::vector<std::pair<std::int64_t, bool>> m_timeline;
};

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

load_options readOptions(int argc, char** argv)
{
    load_options options;
    TCLAP::CmdLine line("Sends open-loop load to entries and verifies the responses.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> entries(
        "", "entries", "Addresses of the entries, on loopback", true, "", "IP:port,...", line);
    TCLAP::ValueArg<std::string> workspaces(
        "", "workspaces", "Workspaces, drawn with equal probability", false, "w1", "names", line);
    TCLAP::ValueArg<std::string> pipeline("", "pipeline", "Pipeline", false, options.pipeline, "name", line);
    TCLAP::ValueArg<std::string> file("", "json", "File for the JSON report", false, "", "file", line);
    TCLAP::ValueArg<double> rate("", "rate", "Mean requests per second", false, options.rate, "number", line);
    TCLAP::ValueArg<double> seconds(
        "", "seconds", "Length of the schedule in seconds", false, options.seconds, "number", line);
    TCLAP::ValueArg<double> high("", "high", "Fraction of requests with high priority", false, 0, "0 to 1", line);
    TCLAP::ValueArg<double> funnel(
        "", "funnel", "Fraction of requests that the first entry gets besides its turn", false, 0, "0 to 1", line);
    const auto numberArg = [&line](const char* flag, const char* meaning, std::uint32_t fallback) {
        return std::make_unique<TCLAP::ValueArg<std::uint32_t>>("", flag, meaning, false, fallback, "number", line);
    };
    const auto threads = numberArg("threads", "Maximum number of requests in flight", options.threads);
    const auto tokens = numberArg("tokens", "Tokens per response", options.tokens);
    const auto promptBytes = numberArg("prompt-bytes", "Minimum size of a prompt in bytes", options.promptBytes);
    const auto prefixes = numberArg("prefixes", "Shared prompt prefixes per workspace; 0: none", 0);
    const auto prefixBytes = numberArg("prefix-bytes", "Size of a shared prefix in bytes", options.prefixBytes);
    const auto timeout = numberArg("timeout-ms", "Timeout of a request in ms", options.timeoutMs);
    const auto seed = numberArg("seed", "Seed of the schedule", 1);
    TCLAP::SwitchArg timeline("", "timeline", "Report the time and success of each request", line);
    line.parse(argc, argv);
    options.entries = split(entries.getValue());
    options.workspaces = split(workspaces.getValue());
    options.pipeline = pipeline.getValue();
    options.jsonFile = file.getValue();
    options.rate = rate.getValue();
    options.seconds = seconds.getValue();
    options.funnelShare = funnel.getValue();
    options.highPriorityShare = high.getValue();
    options.threads = threads->getValue();
    options.tokens = tokens->getValue();
    options.promptBytes = promptBytes->getValue();
    options.prefixes = prefixes->getValue();
    options.prefixBytes = prefixBytes->getValue();
    options.timeoutMs = timeout->getValue();
    options.seed = seed->getValue();
    options.timeline = timeline.getValue();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const load_options options = readOptions(argc, argv);
    for (const auto& entry : options.entries) {
        if (!entry.starts_with("127.")) {
            std::cerr << "entries must be loopback addresses (127.0.0.0/8)\n";
            return 2;
        }
    }
    const json report = load_generator(options).run();
    std::cout << report.dump() << "\n";
    if (!options.jsonFile.empty())
        std::ofstream(options.jsonFile) << report.dump(2) << "\n";
    return 0;
}
