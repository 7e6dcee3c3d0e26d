/// @file
/// @brief Targets whose responses never end, in each part of a message: what a gateway holds of them, how long it reads
/// them, and that sound requests beside them are served.
#include "support/endless_kinds.hpp"
#include "support/gateway_cluster.hpp"
#include "support/raw_peer.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <thread>

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// Memory of the smallest machine that a gateway runs on.
constexpr long machineKilobytes = 112L * 1024;
constexpr seconds callerTimeout { 6 };
/// A sender of 30 MB a second must have been closed by then, in each of its attempts.
constexpr seconds fastCloseTimeout { 3 };

/// @return the peak of a process's resident memory since resetPeak(), in KB
long peakKilobytes(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stol(line.substr(line.find(':') + 1));
    }
    return 0;
}

void resetPeak(int pid) { std::ofstream("/proc/" + std::to_string(pid) + "/clear_refs") << "5"; }

/// Calls sound paths until it is stopped.
class sound_caller {
public:
    sound_caller(gateway_cluster& cluster, std::string gateway)
        : m_thread([this, &cluster, gateway = std::move(gateway)] { run(cluster, gateway); })
    {
    }
    sound_caller(const sound_caller&) = delete;
    sound_caller& operator=(const sound_caller&) = delete;
    ~sound_caller() { stop(); }
    void stop()
    {
        m_stops = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    [[nodiscard]] int calls() const { return m_calls; }
    [[nodiscard]] int served() const { return m_served; }

private:
    void run(gateway_cluster& cluster, const std::string& gateway)
    {
        while (!m_stops) {
            const std::string id = "sound-" + std::to_string(++s_number);
            const bool isStream = m_calls % 2 == 0;
            const auto response = isStream ? cluster.call(gateway, "POST", "/stream/" + id + "/n3", id, seconds(8))
                                           : cluster.call(gateway, "GET", "/safe/" + id, id, seconds(8));
            ++m_calls;
            m_served += response.status == 200 && response.isComplete ? 1 : 0;
        }
    }

    static inline std::atomic<int> s_number = 0;
    std::atomic<bool> m_stops = false;
    std::atomic<int> m_calls = 0;
    std::atomic<int> m_served = 0;
    std::thread m_thread;
};

std::vector<caller_response> callEndless(
    gateway_cluster& cluster, const std::string& gateway, const endless_kind& kind, int count, bool isSlow = false)
{
    static int number = 0;
    std::vector<std::future<caller_response>> calls;
    for (int i = 0; i < count; ++i) {
        const std::string id = "rude-" + std::to_string(++number);
        const std::string path = (kind.isStream ? "/stream/" : "/safe/") + id + std::string(endlessMarker)
            + std::string(kind.name) + (isSlow ? std::string(slowMarker) : std::string());
        const auto timeout = isSlow ? milliseconds(1500) : std::chrono::duration_cast<milliseconds>(callerTimeout);
        calls.push_back(
            std::async(std::launch::async, [&cluster, gateway, path, id, timeout, isStream = kind.isStream] {
                return cluster.call(gateway, isStream ? "POST" : "GET", path, id, timeout);
            }));
    }
    std::vector<caller_response> responses;
    for (auto& call : calls)
        responses.push_back(call.get());
    return responses;
}

/// @return whether the gateway's metrics count a bound
bool hasCounted(gateway_cluster& cluster, const std::string& gateway, std::string_view bound)
{
    const auto metrics = cluster.healthPage(gateway, "/metrics");
    return metrics.find("messages_cut_off{kind=\"" + std::string(bound) + "\"}") != std::string::npos;
}

} // namespace

// Guards against bytes that never end: they took 140 to 380 MB in a gateway, on a machine with 112.
TEST_CASE("endless responses: each part of a message is bounded, beside sound requests", "[endless]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const auto gateway = cluster.gateways().front();
    const int pid = cluster.pidOf(gateway);
    for (const auto& kind : endlessKinds) {
        INFO(kind.name);
        const auto endsBefore = cluster.fleet().endlessEnds().size();
        resetPeak(pid);
        sound_caller sound(cluster, gateway);
        const auto responses = callEndless(cluster, gateway, kind, 4);
        sound.stop();
        for (const auto& response : responses)
            CHECK_FALSE((response.status == 200 && response.isComplete));
        CHECK(peakKilobytes(pid) < machineKilobytes);
        CHECK(sound.served() == sound.calls());
        const auto ends = cluster.fleet().endlessEnds();
        CHECK(ends.size() >= endsBefore + 4);
        for (auto at = endsBefore; at < ends.size(); ++at)
            CHECK(ends[at].lasted < fastCloseTimeout);
        if (!kind.bound.empty())
            CHECK(hasCounted(cluster, gateway, kind.bound));
    }
}

TEST_CASE("endless responses: forty at once stay below the machine's memory", "[endless]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const auto gateway = cluster.gateways().front();
    const int pid = cluster.pidOf(gateway);
    for (const std::string_view name : { "body_by_close", "body_in_chunks", "trailers", "stream_first_event" }) {
        const auto* kind = endlessKindIn(std::string(endlessMarker) + std::string(name));
        REQUIRE(kind != nullptr);
        INFO(kind->name);
        resetPeak(pid);
        sound_caller sound(cluster, gateway);
        (void)callEndless(cluster, gateway, *kind, 40);
        sound.stop();
        CHECK(peakKilobytes(pid) < machineKilobytes);
        CHECK(sound.served() == sound.calls());
    }
}

TEST_CASE("endless responses: slow ones end with their request", "[endless]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const auto gateway = cluster.gateways().front();
    for (const auto& kind : endlessKinds) {
        INFO(kind.name);
        const auto began = steady_clock::now();
        sound_caller sound(cluster, gateway);
        for (const auto& response : callEndless(cluster, gateway, kind, 4, true))
            CHECK_FALSE((response.status == 200 && response.isComplete));
        sound.stop();
        CHECK(steady_clock::now() - began < seconds(3));
        CHECK(sound.served() == sound.calls());
    }
}

TEST_CASE("endless requests: callers that never end their bodies don't fill the gateway's memory", "[endless]")
{
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const auto gateway = cluster.gateways().front();
    const int pid = cluster.pidOf(gateway);
    constexpr std::size_t sentBytes = 3U << 20U; // below the document's bound for a body
    constexpr int callers = 40;
    resetPeak(pid);
    sound_caller sound(cluster, gateway);
    std::vector<std::future<std::string>> received;
    for (int i = 0; i < callers; ++i) {
        received.push_back(std::async(std::launch::async, [&cluster, gateway, i] {
            auto connection = raw_connection::to(cluster.addressOf(gateway));
            std::string request = "POST /safe/body HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
            for (const auto& [name, value] : gateway_cluster::callerFields("body-" + std::to_string(i), seconds(6)))
                request += name + ": " + value + "\r\n";
            connection.send(request + "\r\n300000\r\n" + std::string(sentBytes, 'x'));
            return connection.receiveUntil("\r\n\r\n");
        }));
    }
    for (auto& response : received)
        CHECK_FALSE(response.get().starts_with("HTTP/1.1 200"));
    sound.stop();
    CHECK(peakKilobytes(pid) < machineKilobytes);
    CHECK(sound.served() == sound.calls());
    CHECK(hasCounted(cluster, gateway, "open_bytes"));
}
