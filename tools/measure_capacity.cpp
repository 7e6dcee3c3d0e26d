/// @file
/// @brief Measures what each role costs for control as sessions, targets and workspaces grow; see docs/CAPACITY.md.
#include "support/cluster.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace test_support; // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int sampleSeconds = 8;

/// Processor time and memory of a process.
struct usage {
    double cpuSeconds = 0;
    double residentMb = 0;
    double linkBytes = 0;
};

double metric(const std::string& text, const std::string& name)
{
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

usage usageOf(const cluster& system, const std::string& name)
{
    const std::string folder = "/proc/" + std::to_string(system.pidOf(name));
    usage result;
    std::ifstream stat(folder + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int at = 0; at < 11; ++at)
        fields >> skipped;
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    result.cpuSeconds = (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    for (std::string row; std::getline(status, row);) {
        if (row.starts_with("VmRSS:"))
            result.residentMb = std::stod(row.substr(6)) / 1024;
    }
    const auto metrics = system.call(name, "GET", "/metrics").text;
    result.linkBytes
        = metric(metrics, "buckthornrail_link_bytes_sent") + metric(metrics, "buckthornrail_link_bytes_received");
    return result;
}

json documentWith(std::size_t workspaces)
{
    json document = cluster::standardDocument();
    for (std::size_t at = 0; at < workspaces; ++at)
        document["workspaces"]["workspace-" + std::to_string(at)] = { { "weight", 1 + at % 4 } };
    for (int at = 0; at < 33; ++at)
        document["models"]["model-" + std::to_string(at)] = { { "layers", 8 } };
    return document;
}

struct sample_row {
    std::size_t sessions = 0;
    std::size_t workspaces = 0;
};

void measureRow(cluster& system, const sample_row& row)
{
    std::string controllers;
    for (const auto& address : system.controllerLinks())
        controllers += (controllers.empty() ? "" : ",") + address;
    const std::string file = "/tmp/buckthornrail-swarm-" + std::to_string(::getpid()) + ".json";
    const std::string command = std::string(BUCKTHORNRAIL_BUILD_DIR) + "/tools/session_swarm --controllers "
        + controllers + " --sessions " + std::to_string(row.sessions) + " --seconds "
        + std::to_string(sampleSeconds + 8) + " > " + file;
    std::thread swarm([&] {
        if (row.sessions > 0 && std::system(command.c_str()) != 0)
            std::cerr << "the swarm failed\n";
    });
    std::this_thread::sleep_for(seconds(6));
    const std::vector<std::string> names { system.leader(), "entry-0", "sidecar-0" };
    std::vector<usage> before;
    before.reserve(names.size());
    for (const auto& name : names)
        before.push_back(usageOf(system, name));
    std::this_thread::sleep_for(seconds(sampleSeconds));
    for (std::size_t at = 0; at < names.size(); ++at) {
        const usage after = usageOf(system, names[at]);
        std::printf("%8zu %10zu  %-14s %9.2f%% %9.1f MB %9.2f KB/s\n", row.sessions, row.workspaces,
            at == 0 ? "leader" : names[at].c_str(), 100 * (after.cpuSeconds - before[at].cpuSeconds) / sampleSeconds,
            after.residentMb, (after.linkBytes - before[at].linkBytes) / sampleSeconds / 1000);
    }
    swarm.join();
    std::ifstream stream(file);
    std::string report;
    std::getline(stream, report);
    std::printf("%8zu %10zu  swarm: %s\n", row.sessions, row.workspaces, report.c_str());
    std::fflush(stdout);
    ::unlink(file.c_str());
}

/// Time from the operator's call until every daemon has applied the version.
void measureSpread(cluster& system, std::size_t workspaces, std::uint64_t base)
{
    const json document = documentWith(workspaces);
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = system.putConfiguration(document, base, "spread-" + std::to_string(base));
    const auto accepted = std::chrono::steady_clock::now();
    const std::string line = "configuration_applied version=" + std::to_string(base + 1) + " ";
    const bool everywhere = waitUntil(
        [&] {
            return system.logOf("entry-0").find(line) != std::string::npos
                && system.logOf("sidecar-0").find(line) != std::string::npos;
        },
        seconds(20));
    const auto done = std::chrono::steady_clock::now();
    const auto ms = [&](auto when) { return std::chrono::duration<double, std::milli>(when - begin).count(); };
    std::printf(
        "change with %zu workspaces: status %d, %zu bytes sent, accepted after %.0f ms, applied %s after %.0f ms\n",
        workspaces, answer.status, document.dump().size(), ms(accepted), everywhere ? "everywhere" : "NOT everywhere",
        ms(done));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    const bool onlyLargest = argc > 1 && std::string(argv[1]) == "largest";
    cluster_spec spec;
    spec.entries = 1;
    spec.targets = { target_spec {} };
    spec.httpThreads = 64;
    spec.leaseMs = 3000;
    spec.heartbeatMs = 1000;
    spec.electionTimeoutMs = 700;
    cluster system(spec);
    std::printf("%8s %10s  %-14s %10s %12s %14s\n", "sessions", "workspaces", "process", "cpu", "memory", "links");
    if (onlyLargest) {
        measureSpread(system, 7500, 1);
        measureRow(system, { 1290, 7500 });
        measureRow(system, { 2600, 7500 });
        return 0;
    }
    measureRow(system, { 0, 2 });
    measureRow(system, { 430, 2 });
    measureRow(system, { 1290, 2 });
    measureSpread(system, 750, 1);
    measureRow(system, { 0, 750 });
    measureSpread(system, 7500, 2);
    measureRow(system, { 0, 7500 });
    measureSpread(system, 7501, 3); // a small change to a large document
    measureRow(system, { 1290, 7501 });
    measureRow(system, { 2600, 7501 });
    return 0;
}
