/// @file
/// @brief Incident: requests with one part in their prompts crashed 50 targets, as no two of them were alike.
///
/// After five crashes, requests with that part were sent to targets 37 more times. Each crash aborted the streams of
/// the target. Crashes were counted by a digest of the whole request, so each new request with the part counted as
/// the first one of its kind.
#include "support/gateway_cluster.hpp"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock_type = std::chrono::steady_clock;

namespace {

constexpr seconds waitTimeout { 15 };
/// From the fifth crash by a part until every gateway knows the part.
constexpr std::size_t crashesUntilKnown = 5;
constexpr seconds knownAfter { 3 };
/// Requests with the part that may reach targets later than that.
constexpr std::size_t maxLaterArrivals = 3;
/// Sound requests are served as before from this time after the crashes.
constexpr seconds undisturbedAfter { 6 };
constexpr double minServedShare = 0.5; ///< of the share before the crashes
constexpr milliseconds soundInterval { 25 };
constexpr const char* systemPrompt = "5e"; ///< part of all prompts
constexpr const char* culprit = "bad0"; ///< the part that crashes targets

std::string uniquePart()
{
    static std::atomic<int> number { 0 };
    std::ostringstream text;
    text << std::hex << 0x10000 + ++number;
    return text.str();
}

/// Chooses the parts of one prompt.
using prompt_source = std::function<std::vector<std::string>(std::mt19937& random)>;

/// One call and the time at which its response had arrived.
struct part_call {
    caller_response response;
    clock_type::time_point sentAt;
};

/// Sends requests with unlike prompts and bodies to all gateways in turn, until it is stopped.
class prompt_caller {
public:
    prompt_caller(gateway_cluster& cluster, std::string prefix, prompt_source promptOf, milliseconds interval, int seed)
        : m_cluster(cluster)
        , m_prefix(std::move(prefix))
        , m_promptOf(std::move(promptOf))
        , m_interval(interval)
        , m_random(seed)
        , m_thread([this] { run(); })
    {
    }
    prompt_caller(const prompt_caller&) = delete;
    prompt_caller& operator=(const prompt_caller&) = delete;
    ~prompt_caller() { stop(); }

    /// @return the calls, in order
    const std::vector<part_call>& stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_calls;
    }

private:
    void run()
    {
        static std::atomic<int> number { 0 };
        while (!m_isStopping) {
            const std::string id = m_prefix + std::to_string(++number);
            const auto& gateways = m_cluster.gateways();
            caller_request request;
            request.id = id;
            request.path = "/stream/" + id + "/n20";
            request.timeout = seconds(3);
            request.promptParts = m_promptOf(m_random);
            request.body = "{\"prompt\":\"" + id + "\"}";
            const auto sentAt = clock_type::now();
            m_calls.push_back({ m_cluster.call(gateways[m_random() % gateways.size()], request), sentAt });
            std::this_thread::sleep_for(m_interval);
        }
    }

    gateway_cluster& m_cluster;
    std::string m_prefix;
    prompt_source m_promptOf;
    milliseconds m_interval;
    std::mt19937 m_random;
    std::atomic<bool> m_isStopping { false };
    std::vector<part_call> m_calls;
    std::thread m_thread;
};

/// Prompts of sound requests: the system prompt, one of a few documents and a part of their own.
std::vector<std::string> soundPrompt(std::mt19937& random)
{
    return { systemPrompt, "d0c" + std::to_string(random() % 6), uniquePart() };
}

bool isServed(const part_call& call) { return call.response.isComplete && call.response.status == 200; }

/// Share of the calls sent in a period that were served.
double servedShare(
    const std::vector<const std::vector<part_call>*>& callers, clock_type::time_point from, clock_type::time_point to)
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto* calls : callers) {
        for (const auto& call : *calls) {
            if (call.sentAt < from || call.sentAt >= to)
                continue;
            ++sent;
            served += isServed(call) ? 1 : 0;
        }
    }
    return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
}

std::vector<clock_type::time_point> crashTimes(gateway_cluster& cluster, const std::string& part)
{
    std::vector<clock_type::time_point> times;
    for (const auto& crash : cluster.fleet().crashes()) {
        if (crash.promptPart == part)
            times.push_back(crash.crashedAt);
    }
    return times;
}

/// Arrivals at targets of requests with a part, later than all gateways must know it.
std::size_t laterArrivals(gateway_cluster& cluster, const std::string& part)
{
    const auto crashes = crashTimes(cluster, part);
    if (crashes.size() < crashesUntilKnown)
        return 0;
    const auto knownFrom = crashes[crashesUntilKnown - 1] + knownAfter;
    std::size_t count = 0;
    for (const auto& arrival : cluster.fleet().allArrivals()) {
        const auto& parts = arrival.promptParts;
        const bool hasPart = std::find(parts.begin(), parts.end(), part) != parts.end();
        count += hasPart && arrival.arrivedAt > knownFrom ? 1 : 0;
    }
    return count;
}

void checkKnown(gateway_cluster& cluster, const std::string& part)
{
    const std::size_t crashes = crashTimes(cluster, part).size();
    const std::size_t later = laterArrivals(cluster, part);
    INFO("part " << part << ": " << crashes << " crashes, " << later << " later arrivals");
    CHECK(later <= maxLaterArrivals);
    if (later > maxLaterArrivals)
        WARN("part " << part << ": " << crashes << " crashes, " << later
                     << " later arrivals; logs: " << cluster.keepFolder());
}

/// Checks that a part has crashed no more targets than are needed to know it; keeps the logs when it has.
void checkCrashes(gateway_cluster& cluster, const std::string& part)
{
    const std::size_t crashes = crashTimes(cluster, part).size();
    CHECK(crashes <= crashesUntilKnown);
    if (crashes > crashesUntilKnown)
        WARN("logs: " << cluster.keepFolder());
}

/// Sound callers and callers of requests with crashing parts, for some time.
class mixed_traffic {
public:
    explicit mixed_traffic(gateway_cluster& cluster)
        : m_cluster(cluster)
    {
        for (int seed = 0; seed < soundCallers; ++seed)
            m_sound.push_back(std::make_unique<prompt_caller>(cluster, "sound", soundPrompt, soundInterval, seed));
        std::this_thread::sleep_for(seconds(2));
        m_culpritsFrom = clock_type::now();
    }

    void addCulprit(const prompt_source& promptOf, milliseconds interval)
    {
        const int seed = 100 + static_cast<int>(m_culprits.size());
        m_culprits.push_back(std::make_unique<prompt_caller>(m_cluster, "bad", promptOf, interval, seed));
    }

    /// @brief Stops the callers and checks that sound requests are served as before the crashes.
    /// @param lastCrash the fifth crash, or the last one
    void checkSound(clock_type::time_point lastCrash)
    {
        const auto end = clock_type::now();
        std::vector<const std::vector<part_call>*> calls;
        for (auto& caller : m_sound)
            calls.push_back(&caller->stop());
        const double before = servedShare(calls, {}, m_culpritsFrom);
        const double after = servedShare(calls, lastCrash + undisturbedAfter, end);
        INFO("sound requests served: before " << before << ", after " << after);
        CHECK(before > 0.9);
        CHECK(after >= minServedShare * before);
        for (const auto* each : calls) {
            CHECK(
                std::none_of(each->begin(), each->end(), [](const auto& call) { return call.response.status == 400; }));
        }
    }

    std::vector<std::unique_ptr<prompt_caller>>& culprits() { return m_culprits; }

private:
    static constexpr int soundCallers = 6;

    gateway_cluster& m_cluster;
    std::vector<std::unique_ptr<prompt_caller>> m_sound;
    std::vector<std::unique_ptr<prompt_caller>> m_culprits;
    clock_type::time_point m_culpritsFrom {};
};

clock_type::time_point knownFrom(gateway_cluster& cluster, const std::string& part)
{
    const auto crashes = crashTimes(cluster, part);
    REQUIRE_FALSE(crashes.empty());
    return crashes[std::min(crashes.size(), crashesUntilKnown) - 1];
}

} // namespace

TEST_CASE("crashing part: no two requests alike, it is known to all gateways after five crashes", "[incident]")
{
    const auto [name, promptOf] = GENERATE(table<std::string, prompt_source>({
        { "in the middle, beside parts of sound requests",
            [](std::mt19937& random) {
                return std::vector<std::string> { systemPrompt, "d0c" + std::to_string(random() % 6), culprit,
                    uniquePart() };
            } },
        { "first, before parts that come once",
            [](std::mt19937&) {
                return std::vector<std::string> { culprit, uniquePart(), uniquePart(), uniquePart() };
            } },
        { "always beside the same part of sound requests",
            [](std::mt19937&) {
                return std::vector<std::string> { systemPrompt, "d0c1", culprit, uniquePart() };
            } },
    }));
    CAPTURE(name);
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    cluster.fleet().setCrashingParts({ { culprit } });
    mixed_traffic traffic(cluster);
    for (int caller = 0; caller < 3; ++caller)
        traffic.addCulprit(promptOf, milliseconds(150));
    std::this_thread::sleep_for(seconds(12));
    checkKnown(cluster, culprit);
    traffic.checkSound(knownFrom(cluster, culprit));
    for (auto& caller : traffic.culprits()) {
        const auto& calls = caller->stop();
        REQUIRE(calls.size() > 5);
        // A final response without a time to retry.
        CHECK(calls.back().response.status == 400);
        CHECK(calls.back().response.retryAfter.empty());
    }
}

TEST_CASE("crashing part: two parts at once, one of them rare, on paths whose last member crashes", "[incident]")
{
    const std::string rare = "bad1";
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    cluster.fleet().setCrashingParts({ { culprit, true }, { rare, false } });
    mixed_traffic traffic(cluster);
    traffic.addCulprit(
        [](std::mt19937&) {
            return std::vector<std::string> { systemPrompt, culprit, uniquePart() };
        },
        milliseconds(100));
    traffic.addCulprit(
        [rare](std::mt19937& random) {
            return std::vector<std::string> { systemPrompt, "d0c" + std::to_string(random() % 6), rare, uniquePart() };
        },
        milliseconds(900));
    std::this_thread::sleep_for(seconds(14));
    checkKnown(cluster, culprit);
    checkKnown(cluster, rare);
    traffic.checkSound(std::max(knownFrom(cluster, culprit), knownFrom(cluster, rare)));
}

TEST_CASE("crashing part: it stays known when leaders, gateways and power are lost", "[incident]")
{
    gateway_cluster cluster(3);
    REQUIRE(cluster.start());
    cluster.fleet().setCrashingParts({ { culprit } });
    const auto sendOnce = [&] {
        for (const auto& gateway : cluster.gateways()) {
            const std::string id = "part" + uniquePart();
            caller_request request;
            request.id = id;
            request.path = "/stream/" + id + "/n20";
            request.promptParts = { systemPrompt, culprit, uniquePart() };
            (void)cluster.call(gateway, request);
        }
    };
    for (int round = 0; round < 4; ++round)
        sendOnce();
    checkCrashes(cluster, culprit);
    SECTION("the leader is killed")
    {
        cluster.killHard(cluster.leader());
        REQUIRE(waitUntil([&] { return !cluster.leader().empty(); }, waitTimeout));
    }
    SECTION("a gateway restarts")
    {
        cluster.killHard(cluster.gateways().front());
        cluster.startProcess(cluster.gateways().front());
    }
    SECTION("all registries and gateways are killed at once")
    {
        for (const auto& processes : { cluster.registries(), cluster.gateways() }) {
            for (const auto& name : processes)
                cluster.signal(name, SIGKILL);
        }
        for (const auto& processes : { cluster.registries(), cluster.gateways() }) {
            for (const auto& name : processes) {
                (void)cluster.waitForExit(name, seconds(5));
                cluster.startProcess(name);
            }
        }
    }
    const auto serves = [&cluster](const std::string& gateway) {
        const std::string id = "well" + uniquePart();
        caller_request request;
        request.id = id;
        request.path = "/stream/" + id + "/n5";
        request.promptParts = { systemPrompt, "d0c1", uniquePart() };
        return cluster.call(gateway, request).isComplete;
    };
    for (const auto& gateway : cluster.gateways())
        REQUIRE(waitUntil([&] { return serves(gateway); }, waitTimeout));
    for (int round = 0; round < 3; ++round)
        sendOnce();
    checkCrashes(cluster, culprit);
}

TEST_CASE("crashing part: parts that all prompts share aren't held back while targets are killed", "[incident]")
{
    constexpr std::size_t enginesPerDomain = 4;
    constexpr milliseconds maxRefusalTime { 1000 };
    gateway_cluster cluster(3, enginesPerDomain);
    REQUIRE(cluster.start());
    cluster.fleet().setCrashingParts({ { culprit } });
    std::vector<std::unique_ptr<prompt_caller>> callers;
    for (int seed = 0; seed < 12; ++seed)
        callers.push_back(std::make_unique<prompt_caller>(cluster, "sound", soundPrompt, soundInterval, seed));
    std::this_thread::sleep_for(seconds(1));
    prompt_caller bad(
        cluster, "bad",
        [](std::mt19937& random) {
            return std::vector<std::string> { systemPrompt, "d0c" + std::to_string(random() % 6), culprit,
                uniquePart() };
        },
        milliseconds(200), 99);
    // A sixth of the engines is killed at once, several times, each time including engines that are the first of a
    // path.
    for (int time = 0; time < 4; ++time) {
        for (std::size_t index = 0; index < cluster.engines().size(); index += 6)
            cluster.fleet().kill(cluster.engines()[index]);
        std::this_thread::sleep_for(milliseconds(600));
        for (std::size_t index = 0; index < cluster.engines().size(); index += 6)
            cluster.fleet().restart(cluster.engines()[index]);
        std::this_thread::sleep_for(milliseconds(900));
    }
    std::this_thread::sleep_for(seconds(3));
    (void)bad.stop();
    checkKnown(cluster, culprit);
    for (auto& caller : callers) {
        const auto& calls = caller->stop();
        CHECK(std::none_of(calls.begin(), calls.end(), [](const auto& call) { return call.response.status == 400; }));
        CHECK(isServed(calls.back()));
        auto refusedSince = clock_type::time_point::max();
        milliseconds longest { 0 };
        for (const auto& call : calls) {
            const bool isHeld = call.response.body.find("request_held") != std::string::npos;
            if (!isHeld) {
                refusedSince = clock_type::time_point::max();
                continue;
            }
            refusedSince = std::min(refusedSince, call.sentAt);
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(call.sentAt - refusedSince));
        }
        CHECK(longest < maxRefusalTime);
    }
}
