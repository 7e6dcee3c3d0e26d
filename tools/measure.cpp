/// @file
/// @brief Measures throughput and latency of selection strategies, and recovery times, over real processes.
///
/// `policy` and `ours` compare the throughput of each load case with the bound that the targets' speeds set;
/// `recovery` injects faults.
#include "support/cluster.hpp"

#include <array>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace test_support; // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t tokens = 8; ///< per response
constexpr double loadSeconds = 8;

/// Targets, load and fault of one measurement.
struct load_case {
    std::string name;
    std::vector<target_spec> targets;
    double load = 1; ///< offered load as a multiple of the throughput bound
    std::vector<std::string> loadFlags;
    std::function<void(cluster&)> injectFault; ///< called two seconds after the load starts; may be empty
    std::uint32_t reportLagMs = 0;
    std::uint32_t prefillUsPerByte = 0;
    std::uint32_t cacheEntries = 64;
};

target_spec makeTarget(std::uint32_t tokenMs)
{
    target_spec target;
    target.tokenMs = tokenMs;
    target.slots = 4;
    return target;
}

/// @brief Requests per second that the targets serve when all their slots are always busy.
double throughputBound(const load_case& loadCase)
{
    double bound = 0;
    for (const auto& target : loadCase.targets)
        bound += target.slots * 1000.0 / (target.tokenMs * tokens);
    return bound;
}

json runLoad(const cluster& system, double rate, double duration, const std::vector<std::string>& flags)
{
    const std::string file = "/tmp/buckthornrail-load-" + std::to_string(::getpid()) + ".json";
    std::string command = std::string(BUCKTHORNRAIL_BUILD_DIR) + "/tools/load --entries "
        + system.httpAddress("entry-0") + "," + system.httpAddress("entry-1") + " --rate " + std::to_string(rate)
        + " --seconds " + std::to_string(duration) + " --tokens " + std::to_string(tokens) + " --json " + file;
    for (const auto& flag : flags)
        command += " " + flag;
    if (std::system((command + " >/dev/null").c_str()) != 0)
        std::cerr << "the load tool failed\n";
    std::ifstream stream(file);
    json report = json::parse(stream, nullptr, false);
    ::unlink(file.c_str());
    return report;
}

std::vector<load_case> loadCases()
{
    const std::vector<target_spec> mixed { makeTarget(10), makeTarget(20), makeTarget(40), makeTarget(80) };
    const std::vector<target_spec> even { makeTarget(20), makeTarget(20), makeTarget(20), makeTarget(20) };
    std::vector<load_case> all;
    all.push_back({ "mixed speeds 1:2:4:8, load 0.8", mixed, 0.8, {}, {} });
    all.push_back({ "mixed speeds, saturated (1.2)", mixed, 1.2, {}, {} });
    all.push_back({ "late load reports (2 s), load 0.8", mixed, 0.8, {}, {}, 2000 });
    all.push_back({ "shared prefixes, small caches, load 0.6", even, 0.6,
        { "--prefixes 6 --prefix-bytes 400 --prompt-bytes 440 --workspaces w1,w2" }, {}, 0, 200, 4 });
    all.push_back({ "surge at 3x", mixed, 3, { "--high 0.05" }, {} });
    all.push_back({ "a target 10x slower, load 0.5", even, 0.5, {}, [](cluster& system) {
                       system.injectFault("target-0", { { "token_ms", 200 } });
                   } });
    all.push_back({ "a target dies, load 0.5", even, 0.5, {}, [](cluster& system) { system.killHard("target-0"); } });
    return all;
}

/// Results of one load case. Latencies are in ms.
struct case_result {
    double goodPerSecond = 0;
    double firstTokenP50Ms = 0;
    double firstTokenP95Ms = 0;
    double highPriorityFirstTokenP95Ms = 0;
    double refusalP95Ms = 0;
    std::uint64_t wrong = 0;
    std::uint64_t failed = 0;
};

case_result measure(const load_case& loadCase, const std::string& strategy)
{
    cluster_spec spec;
    spec.targets = loadCase.targets;
    spec.strategy = strategy;
    spec.reportLagMs = loadCase.reportLagMs;
    spec.prefillUsPerByte = loadCase.prefillUsPerByte;
    spec.cacheEntries = loadCase.cacheEntries;
    cluster system(spec);
    const double rate = throughputBound(loadCase) * loadCase.load;
    runLoad(system, rate / 2, 2, loadCase.loadFlags); // warm-up: lets the estimates converge
    std::thread fault;
    if (loadCase.injectFault) {
        fault = std::thread([&] {
            std::this_thread::sleep_for(seconds(2));
            loadCase.injectFault(system);
        });
    }
    const json report = runLoad(system, rate, loadSeconds, loadCase.loadFlags);
    if (fault.joinable())
        fault.join();
    case_result result;
    result.goodPerSecond = report.value("good_per_second", 0.0);
    for (const auto& [name, part] : report["classes"].items()) {
        result.wrong += part.value("wrong", 0U);
        result.failed += part.value("failed", 0U);
        const double first = part["first_token_ms"].value("p95", 0.0);
        if (name == "normal")
            result.firstTokenP50Ms = part["first_token_ms"].value("p50", 0.0);
        (name == "high" ? result.highPriorityFirstTokenP95Ms : result.firstTokenP95Ms) = first;
        result.refusalP95Ms = std::max(result.refusalP95Ms, part["refusal_ms"].value("p95", 0.0));
    }
    return result;
}

void measureStrategies(const std::vector<std::string>& strategies, const std::string& nameFilter)
{
    std::printf("%-42s %-18s %8s %8s %7s %9s %9s %9s %10s %6s %6s\n", "case", "strategy", "bound/s", "good/s", "ratio",
        "ttft p50", "ttft p95", "high p95", "refuse p95", "failed", "wrong");
    for (const auto& loadCase : loadCases()) {
        if (loadCase.name.find(nameFilter) == std::string::npos)
            continue;
        for (const auto& strategy : strategies) {
            const auto result = measure(loadCase, strategy);
            const double offered = std::min(loadCase.load, 1.0) * throughputBound(loadCase);
            std::printf("%-42s %-18s %8.1f %8.1f %7.2f %9.1f %9.1f %9.1f %10.1f %6lu %6lu\n", loadCase.name.c_str(),
                strategy.c_str(), throughputBound(loadCase), result.goodPerSecond, result.goodPerSecond / offered,
                result.firstTokenP50Ms, result.firstTokenP95Ms, result.highPriorityFirstTokenP95Ms, result.refusalP95Ms,
                result.failed, result.wrong);
            std::fflush(stdout);
        }
    }
}

/// Times since a fault was injected.
struct recovery_result {
    double firstGoodMs = 0; ///< first successful response
    double settledMs = 0; ///< last failed response, or last response more than 150 ms after the one before
    int failedCount = 0;
};

recovery_result measureRecovery(const std::function<void(cluster&)>& fault)
{
    cluster_spec spec;
    spec.targets = { makeTarget(10), makeTarget(10), makeTarget(10) };
    cluster system(spec);
    background_callers callers(8, [&](std::size_t thread, std::size_t number) {
        const std::string prompt = std::to_string(thread) + "-" + std::to_string(number);
        const std::string entry = thread % 2 == 0 && system.isReady("entry-0") ? "entry-0" : "entry-1";
        return system.complete(entry, prompt, 5);
    });
    std::this_thread::sleep_for(seconds(1));
    const auto begin = std::chrono::steady_clock::now();
    fault(system);
    std::this_thread::sleep_for(seconds(6));
    recovery_result result;
    std::chrono::steady_clock::time_point lastDisturbance = begin;
    std::chrono::steady_clock::time_point previous = begin;
    bool seenGood = false;
    auto records = callers.stop();
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    const auto ms = [&](auto when) { return std::chrono::duration<double, std::milli>(when - begin).count(); };
    for (const auto& [when, record] : records) {
        if (when < begin)
            continue;
        const bool good = record.hasResponse && record.code == buckthornrail::result_code::Ok;
        if (good && !seenGood)
            result.firstGoodMs = ms(when);
        seenGood = seenGood || good;
        result.failedCount += good ? 0 : 1;
        if (!good || when - previous > milliseconds(150))
            lastDisturbance = when;
        previous = when;
    }
    result.settledMs = ms(lastDisturbance);
    return result;
}

void measureRecoveries(int runs)
{
    const std::vector<std::pair<std::string, std::function<void(cluster&)>>> faults {
        { "controller leader killed", [](cluster& system) { system.killHard(system.leader()); } },
        { "sidecar killed", [](cluster& system) { system.killHard("sidecar-0"); } },
        { "sidecar paused", [](cluster& system) { system.signal("sidecar-0", SIGSTOP); } },
        { "target killed in mid-response", [](cluster& system) { system.killHard("target-0"); } },
        { "target stalls in mid-response",
            [](cluster& system) {
                system.injectFault("target-0", { { "stall_after", 2 } });
            } },
        { "entry drained", [](cluster& system) { system.signal("entry-0", SIGTERM); } },
    };
    std::printf("%-30s %5s %16s %16s %16s %16s %5s\n", "fault", "runs", "first good med", "first good max",
        "settled med", "settled max", "bad");
    for (const auto& [name, fault] : faults) {
        std::vector<double> first;
        std::vector<double> settled;
        int failedCount = 0;
        for (int run = 0; run < runs; ++run) {
            const auto result = measureRecovery(fault);
            first.push_back(result.firstGoodMs);
            settled.push_back(result.settledMs);
            failedCount += result.failedCount;
        }
        std::sort(first.begin(), first.end());
        std::sort(settled.begin(), settled.end());
        std::printf("%-30s %5d %13.0f ms %13.0f ms %13.0f ms %13.0f ms %5d\n", name.c_str(), runs,
            first[first.size() / 2], first.back(), settled[settled.size() / 2], settled.back(), failedCount);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    const std::string argument = argc > 2 ? argv[2] : "";
    if (command == "policy") {
        std::vector<std::string> strategies(argv + std::min(argc, 3), argv + argc);
        if (strategies.empty())
            strategies = { "random", "round_robin", "least_outstanding", "finish_estimate" };
        measureStrategies(strategies, argument);
        return 0;
    }
    if (command == "ours") {
        measureStrategies({ "finish_estimate" }, argument);
        return 0;
    }
    if (command == "recovery") {
        measureRecoveries(argument.empty() ? 3 : std::stoi(argument));
        return 0;
    }
    std::cerr << "usage: measure policy [CASE [STRATEGY...]] | ours [CASE] | recovery [RUNS]\n";
    return 2;
}
