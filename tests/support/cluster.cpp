/// @file
/// @brief Process control, fault injection and HTTP calls of the cluster.
#include "support/cluster.hpp"

#include "buckthornrail/http/http_client.hpp"
#include "stand_in_model.hpp"
#include "support/child_process.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace test_support {
namespace {

using namespace buckthornrail;
using nlohmann::json;

constexpr std::uint32_t layers = 8;
constexpr milliseconds callTimeout { 30000 };
constexpr std::chrono::seconds startStepTimeout { 20 }; ///< for each step of the start
constexpr std::chrono::seconds exitTimeout { 10 }; ///< of a killed process, at the end of the cluster
constexpr std::chrono::seconds killTimeout { 5 };

ran_state parseRanState(const json& error)
{
    const std::string text = error.value("ran", "unknown");
    return text == "no" ? ran_state::No : text == "yes" ? ran_state::Yes : ran_state::Unknown;
}

void recordError(const json& body, caller_record& record)
{
    const json error = body.is_object() ? body.value("error", json::object()) : json::object();
    record.code = resultFromNumber(error.value("code", std::uint16_t { 4004 })).value_or(result_code::OutcomeUnknown);
    record.ran = parseRanState(error);
}

} // namespace

cluster::cluster(const cluster_spec& spec)
{
    auto folder = (std::filesystem::temp_directory_path() / "buckthornrail-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder for the cluster");
    m_folder = folder;
    std::signal(SIGPIPE, SIG_IGN);
    defineProcesses(spec);
    for (const auto& name : m_startOrder)
        start(name);
    const auto initialized = [&] { return call("controller-0", "POST", "/v1/cluster/init", "{}").status == 200; };
    const auto allVote = [&] {
        const auto status = callControllers("GET", "/v1/status");
        if (status.status != 200)
            return false;
        std::size_t voters = 0;
        for (const auto& member : status.body["controllers"])
            voters += member["voter"].get<bool>() ? 1 : 0;
        return voters == spec.controllers;
    };
    const auto configured = [&] { return putConfiguration(standardDocument(), 0, "first").status == 200; };
    const auto ready = [&] {
        return allReady()
            && callControllers("GET", "/v1/status").body["instances"].size() == spec.entries + spec.targets.size();
    };
    if (!waitUntil(initialized, startStepTimeout) || !waitUntil(allVote, startStepTimeout)
        || !waitUntil(configured, startStepTimeout) || !waitUntil(ready, startStepTimeout)) {
        for (const auto& name : m_startOrder)
            std::cerr << "== " << name << "\n" << logOf(name);
        throw std::runtime_error("the cluster was not ready in time; the logs of its processes are printed above");
    }
}

cluster::~cluster()
{
    for (const auto& [name, pid] : m_pids) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        (void)waitForProcess(pid, exitTimeout);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void cluster::defineProcesses(const cluster_spec& spec)
{
    std::string controllers;
    std::vector<std::string> links;
    for (std::size_t index = 0; index < spec.controllers; ++index) {
        links.push_back(freeAddress());
        controllers += (index == 0 ? "" : ",") + links.back();
    }
    const auto common = [&](const std::string& name, const std::string& domain) {
        m_httpAddresses[name] = freeAddress();
        return "[instance]\nid = " + name + "\nfailure_domain = " + domain
            + "\n[http]\naddress = " + m_httpAddresses[name] + "\n[controllers]\naddresses = " + controllers
            + "\nlease_ms = " + std::to_string(spec.leaseMs) + "\n";
    };
    const auto add = [&](const std::string& name, const std::string& role, const std::string& text) {
        const std::string file = m_folder + "/" + name + ".ini";
        std::ofstream(file) << text;
        addProcess(name, { binaryPath("buckthornrail"), role, "--settings", file });
    };
    for (std::size_t index = 0; index < spec.controllers; ++index) {
        const std::string name = "controller-" + std::to_string(index);
        m_controllerNames.push_back(name);
        m_controllerLinkAddresses.push_back(links[index]);
        add(name, "controller",
            common(name, "domain-" + std::to_string(index)) + "[link]\naddress = " + links[index]
                + "\n[storage]\nfolder = " + m_folder + "/data-" + name
                + "\nelection_timeout_ms = " + std::to_string(spec.electionTimeoutMs)
                + "\nsnapshot_entries = " + std::to_string(spec.snapshotEntries) + "\n");
    }
    for (std::size_t index = 0; index < spec.entries; ++index) {
        const std::string name = "entry-" + std::to_string(index);
        add(name, "entry",
            common(name, "domain-" + std::to_string(index)) + "heartbeat_ms = " + std::to_string(spec.heartbeatMs)
                + "\n[entry]\nprogress_timeout_ms = 1500\nstrategy = " + spec.strategy
                + "\n[http]\nthreads = " + std::to_string(spec.httpThreads) + "\n");
    }
    for (std::size_t index = 0; index < spec.targets.size(); ++index) {
        const auto& target = spec.targets[index];
        const std::string name = "sidecar-" + std::to_string(index);
        const std::string targetName = "target-" + std::to_string(index);
        m_targetAddresses[targetName] = freeAddress();
        addProcess(targetName,
            { binaryPath("tools/stand_in_target"), "--address", m_targetAddresses[targetName], "--name", targetName,
                "--log", m_folder + "/executions.jsonl", "--layers", std::to_string(layers), "--token-ms",
                std::to_string(target.tokenMs), "--slots", std::to_string(target.slots), "--report-lag-ms",
                std::to_string(spec.reportLagMs), "--prefill-us-per-byte", std::to_string(spec.prefillUsPerByte),
                "--cache", std::to_string(spec.cacheEntries) });
        const std::string link = freeAddress();
        std::string text = common(name, "domain-" + std::to_string(index % 3))
            + "heartbeat_ms = " + std::to_string(spec.heartbeatMs) + "\n[link]\naddress = " + link + "\n";
        if (target.viaRelay) {
            m_relays[name] = std::make_unique<relay>(link);
            text += "announce = " + m_relays[name]->address() + "\n";
        }
        text += "[target]\nkind = " + target.kind + "\naddress = " + m_targetAddresses[targetName]
            + "\nprobe_ms = 200\nslots = " + std::to_string(target.slots)
            + "\nqueue_limit = " + std::to_string(spec.queueLimit) + "\n";
        if (target.kind == "plain_service")
            text += "service = " + target.model + "\n";
        else
            text += "model = " + target.model + "\nversion = " + target.version + "\n";
        if (target.kind == "layer_range")
            text += "first_layer = " + std::to_string(target.firstLayer)
                + "\nend_layer = " + std::to_string(target.endLayer) + "\n";
        add(name, "sidecar", text);
    }
}

void cluster::addProcess(const std::string& name, const std::vector<std::string>& command)
{
    m_commands[name] = command;
    m_startOrder.push_back(name);
}

void cluster::start(const std::string& name)
{
    m_pids[name] = spawnProcess(m_commands.at(name), m_folder + "/" + name + ".log");
}

void cluster::signal(const std::string& name, int number) { ::kill(m_pids.at(name), number); }

int cluster::waitForExit(const std::string& name, std::chrono::milliseconds timeout)
{
    const int status = waitForProcess(m_pids.at(name), timeout);
    if (status != -1)
        m_pids.erase(name);
    return status;
}

void cluster::killHard(const std::string& name)
{
    signal(name, SIGKILL);
    (void)waitForExit(name, killTimeout);
}

void cluster::loseDisk(const std::string& controller) { std::filesystem::remove_all(m_folder + "/data-" + controller); }

void cluster::injectFault(const std::string& target, const json& fault)
{
    http::client_request request;
    request.address = m_targetAddresses.at(target);
    request.method = "POST";
    request.path = "/stand_in/fault";
    request.body = fault.dump();
    request.deadline = buckthornrail::boot_clock::now() + callTimeout;
    (void)http::call(request);
}

http_response cluster::call(const std::string& process, const std::string& method, const std::string& path,
    const std::string& body, const std::map<std::string, std::string>& headers) const
{
    http::client_request request;
    request.address = m_httpAddresses.at(process);
    request.method = method;
    request.path = path;
    request.body = body;
    request.contentType = "application/json";
    request.deadline = buckthornrail::boot_clock::now() + callTimeout;
    for (const auto& [name, value] : headers)
        request.headers.push_back({ name, value });
    const auto received = http::call(request);
    http_response response;
    if (received.outcome != http::client_outcome::Ok)
        return response;
    response.status = received.status;
    response.text = received.body;
    response.body = json::parse(received.body, nullptr, false);
    for (const auto& header : received.headers) {
        if (header.name == "X-Request-Id")
            response.requestId = header.value;
        if (header.name == "Retry-After")
            response.retryAfter = header.value;
    }
    return response;
}

http_response cluster::callControllers(
    const std::string& method, const std::string& path, const std::string& body) const
{
    http_response last;
    for (const auto& name : m_controllerNames) {
        if (!m_pids.contains(name))
            continue;
        last = call(name, method, path, body);
        if (last.status != 0 && last.status != 503)
            return last;
    }
    return last;
}

http_response cluster::putConfiguration(const json& document, std::uint64_t base, const std::string& changeId) const
{
    const json change = { { "base", base }, { "change_id", changeId }, { "author", "test" }, { "document", document } };
    return callControllers("PUT", "/v1/config", change.dump());
}

caller_record cluster::complete(const std::string& entry, const std::string& prompt, std::uint32_t tokens, bool streams,
    const std::string& pipeline) const
{
    const json body = { { "model", pipeline }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", streams } };
    const auto response
        = call(entry, "POST", "/v1/completions", body.dump(), { { "X-Workspace", "w1" }, { "X-Timeout-Ms", "20000" } });
    caller_record record;
    record.request = response.requestId;
    record.expected = stand_in::expectedResponse(prompt, tokens, layers);
    record.hasResponse = response.status != 0;
    record.ran = ran_state::Yes;
    if (response.status != 200) {
        recordError(response.body, record);
        return record;
    }
    if (!streams) {
        record.text = response.body["choices"][0]["text"].get<std::string>();
        return record;
    }
    record.code = result_code::AnswerIncomplete; // unless "data: [DONE]" follows
    std::istringstream lines(response.text);
    bool isError = false;
    for (std::string line; std::getline(lines, line);) {
        isError = isError || line == "event: error";
        if (line == "data: [DONE]")
            record.code = result_code::Ok;
        if (!line.starts_with("data: {"))
            continue;
        const json event = json::parse(line.substr(6));
        if (isError)
            recordError(event, record);
        else
            record.text += event["choices"][0]["text"].get<std::string>();
    }
    return record;
}

caller_record cluster::book(const std::string& entry, const std::string& key, const std::string& body) const
{
    const auto response = call(entry, "POST", "/services/booking/bookings", body,
        { { "X-Workspace", "w1" }, { "Idempotency-Key", key }, { "X-Timeout-Ms", "15000" } });
    caller_record record;
    record.request = response.requestId;
    record.key = key;
    record.hasResponse = response.status != 0;
    record.ran = ran_state::Yes;
    if (response.status == 201)
        record.text = response.text;
    else
        recordError(response.body, record);
    record.expected = record.text;
    return record;
}

std::vector<execution_record> cluster::executions() const
{
    std::vector<execution_record> records;
    std::ifstream stream(m_folder + "/executions.jsonl");
    for (std::string line; std::getline(stream, line);) {
        const json row = json::parse(line, nullptr, false);
        const std::string event = row.is_object() ? row.value("event", "") : "";
        if (event != "run" && event != "call" && event != "step")
            continue;
        execution_record record;
        record.target = row.value("target", "");
        record.request = row.value("request", "");
        record.attempt = row.value("attempt", 0U);
        record.isStep = event == "step";
        record.generation = row.value("generation", 0U);
        record.token = row.value("token", 0U);
        record.firstLayer = row.value("first_layer", 0U);
        record.endLayer = row.value("end_layer", 0U);
        if (row.value("path", "") == "/bookings")
            record.key = row.value("body", "");
        records.push_back(std::move(record));
    }
    return records;
}

std::string cluster::leader() const
{
    for (const auto& name : m_controllerNames) {
        if (!m_pids.contains(name))
            continue;
        const auto status = call(name, "GET", "/v1/status");
        if (status.status == 200 && status.body["role"] == "leader")
            return name;
    }
    return {};
}

bool cluster::isReady(const std::string& process) const { return call(process, "GET", "/readyz").status == 200; }

bool cluster::allReady() const
{
    for (const auto& [name, address] : m_httpAddresses) {
        if (m_pids.contains(name) && !isReady(name))
            return false;
    }
    return true;
}

json cluster::standardDocument()
{
    return {
        { "workspaces", { { "w1", { { "max_priority", "high" } } }, { "w2", json::object() } } },
        { "models", { { "essay-review", { { "layers", layers } } }, { "hull-report", { { "layers", layers } } } } },
        { "pipelines",
            { { "essay-summary",
                  { { "model", "essay-review" }, { "versions", { { { "version", "1" }, { "share", 100 } } } } } },
                { "hull-inspection",
                    { { "model", "hull-report" }, { "versions", { { { "version", "1" }, { "share", 100 } } } } } } } },
        { "services",
            { { "booking", { { "non_idempotent", { { { "method", "POST" }, { "path_prefix", "/bookings" } } } } } } } }
    };
}

std::string cluster::logOf(const std::string& name) const { return readFile(m_folder + "/" + name + ".log"); }

background_callers::background_callers(
    std::size_t threads, std::function<caller_record(std::size_t thread, std::size_t number)> sendRequest)
{
    for (std::size_t thread = 0; thread < threads; ++thread) {
        m_threads.emplace_back([this, thread, sendRequest] {
            for (std::size_t number = 0; !m_stopping; ++number) {
                auto record = sendRequest(thread, number);
                const std::scoped_lock lock(m_mutex);
                m_records.emplace_back(std::chrono::steady_clock::now(), std::move(record));
            }
        });
    }
}

background_callers::~background_callers() { (void)stop(); }

std::vector<std::pair<std::chrono::steady_clock::time_point, caller_record>> background_callers::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_records;
}

} // namespace test_support
