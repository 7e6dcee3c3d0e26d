/// @file
/// @brief Start, faults and requests of the registries and gateways.
#include "support/gateway_cluster.hpp"

#include "buckthornrail/http/http_client.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>

namespace test_support {
namespace {

using namespace buckthornrail;
using nlohmann::json;

constexpr std::size_t seedCount = 3; ///< registries that the settings of every process list
constexpr milliseconds startTimeout { 20000 };
constexpr milliseconds controlTimeout { 1500 };
constexpr milliseconds killTimeout { 5000 }; ///< until a process that got SIGKILL has ended

json routeOf(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service)
{
    return { { "name", name }, { "host", "h.example" }, { "path-prefix", prefix }, { "kind", kind },
        { "timeout-ms", 8000 }, { "target-latency-ms", 200 }, { "service", service }, { "max-attempts", 2 },
        { "resumable", kind == "streaming" } };
}

std::string documentOf(std::uint64_t version, const document_options& options)
{
    const std::string& extraRoute = options.extraRoute;
    json routes = json::array({ routeOf("stream", "/stream/", "streaming", "llm"),
        routeOf("safe", "/safe/", "safe", "app"), routeOf("unsafe", "/unsafe/", "unsafe", "app") });
    if (!extraRoute.empty())
        routes.push_back(routeOf(extraRoute, "/" + extraRoute + "/", "safe", "app"));
    for (const auto& route : options.streamRoutes) {
        json stream = routeOf(route.name, "/" + route.name + "/", "streaming", "llm");
        stream["priority"] = route.priority;
        stream["target-latency-ms"] = route.latencyTarget.count();
        stream["timeout-ms"] = route.timeout.count();
        stream["resumable"] = route.isResumable;
        routes.push_back(std::move(stream));
    }
    std::mt19937 random(1);
    for (std::size_t index = 0; index < options.fillerRoutes; ++index) {
        std::string path;
        while (path.size() < options.fillerPathLength)
            path += static_cast<char>('a' + random() % 26);
        routes.push_back(routeOf("filler-" + std::to_string(index), "/" + path + "/", "safe", "app"));
    }
    const json engine { { "layers", stand_in_fleet::layers }, { "layer-mb", 100 },
        { "kv-token-bytes", options.tokenBytes }, { "step_ms", 1 }, { "usual", { { "prompt", 10 }, { "answer", 10 } } },
        { "kinds", json::array({ { { "name", "l4" }, { "mb", 650 }, { "pace", 1 }, { "read-x", 1 } } }) } };
    const json document { { "version", version }, { "routes", routes },
        { "services",
            json::array({ { { "name", "llm" }, { "health-path", "/healthz" }, { "engine", engine } },
                { { "name", "app" }, { "health-path", "/healthz" } } }) },
        { "tenants", json::array({ { { "name", "w1" }, { "api-keys", json::array({ options.key }) } } }) } };
    return document.dump();
}

/// Value of the header field that states the parts of a prompt: "ID:TOKENS,ID:TOKENS".
std::string promptPrefix(const std::vector<std::string>& parts)
{
    constexpr const char* tokensOfPart = ":40";
    std::string value;
    for (const auto& part : parts)
        value += (value.empty() ? "" : ",") + part + tokensOfPart;
    return value;
}

http::client_response sendRequest(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, std::vector<http::header_field> headers, milliseconds timeout)
{
    http::client_request request;
    request.address = address;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    request.contentType = body.empty() ? "" : "application/json";
    request.deadline = buckthornrail::boot_clock::now() + timeout;
    return http::call(request);
}

} // namespace

gateway_cluster::gateway_cluster(
    std::size_t gateways, std::size_t enginesPerDomain, std::size_t registries, std::string gatewaySettings)
    : m_enginesPerDomain(enginesPerDomain)
    , m_gatewaySettings(std::move(gatewaySettings))
{
    std::string folderTemplate = (std::filesystem::temp_directory_path() / "gateway-cluster-XXXXXX").string();
    m_folder = ::mkdtemp(folderTemplate.data());
    for (std::size_t index = 0; index < registries; ++index)
        m_registries.push_back("registry-" + std::to_string(index + 1));
    for (std::size_t index = 0; index < gateways; ++index)
        m_gateways.push_back("gateway-" + std::to_string(index + 1));
    writeSettings();
}

gateway_cluster::~gateway_cluster()
{
    for (const auto& [name, pid] : m_pids)
        ::kill(pid, SIGKILL);
    for (const auto& [name, pid] : m_pids)
        (void)waitForProcess(pid, killTimeout);
    m_fleet.reset();
    std::error_code ignored;
    if (!m_keepsFolder)
        std::filesystem::remove_all(m_folder, ignored);
}

std::string gateway_cluster::keepFolder()
{
    m_keepsFolder = true;
    return m_folder;
}

void gateway_cluster::writeFile(const std::string& name, const std::string& role, const std::string& text)
{
    const std::string file = m_folder + "/" + name + ".ini";
    std::ofstream(file) << text;
    m_commands[name] = { binaryPath("buckthornrail"), role, "--settings", file };
}

std::string gateway_cluster::linkAddresses(const std::vector<std::string>& registries) const
{
    std::string links;
    for (const auto& name : registries)
        links += (links.empty() ? "" : ", ") + m_relays.at(name)->address();
    return links;
}

void gateway_cluster::addRegistryAddresses(const std::string& name)
{
    // The registries have the same ports and different IP addresses, as on separate machines.
    m_registryIps[name] = "127.0.0.1" + std::to_string(m_registryIps.size() + 1);
    m_relays[name] = std::make_unique<relay>(m_registryIps[name] + ":" + m_linkPort);
    m_addresses[name] = m_registryIps[name] + ":" + m_controlPort;
}

void gateway_cluster::writeRegistrySettings(
    const std::string& name, const std::string& domain, const std::string& seeds, bool bootstrap)
{
    writeFile(name, "registry",
        "[instance]\nid = " + name + "\nfailure_domain = " + domain + "\n[http]\naddress = " + m_addresses[name]
            + "\n[link]\naddress = " + m_registryIps[name] + ":" + m_linkPort + "\nannounce = "
            + m_relays.at(name)->address() + "\nkeep_alive_ms = 300\n[controllers]\naddresses = " + seeds
            + "\n[registry]\nbootstrap = " + (bootstrap ? "true" : "false")
            + "\ntarget_heartbeat_ms = 200\n[storage]\nfolder = " + m_folder + "/data-" + name
            + "\nelection_timeout_ms = 300\nsnapshot_entries = 100\n");
}

void gateway_cluster::writeSettings()
{
    m_linkPort = freeAddress().substr(10);
    m_controlPort = freeAddress().substr(10);
    for (const auto& name : m_registries)
        addRegistryAddresses(name);
    const std::vector<std::string> seeds(m_registries.begin(),
        m_registries.begin() + static_cast<std::ptrdiff_t>(std::min(seedCount, m_registries.size())));
    const std::string links = linkAddresses(seeds);
    for (std::size_t index = 0; index < m_registries.size(); ++index)
        writeRegistrySettings(m_registries[index], "d" + std::to_string(index + 1), links, true);
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        const std::string& name = m_gateways[index];
        m_addresses[name] = freeAddress();
        m_health[name] = freeAddress();
        writeFile(name, "gateway",
            "[instance]\nid = " + name + "\nfailure_domain = d" + std::to_string(index % 3 + 1) + "\n[http]\naddress = "
                + m_health[name] + "\n[gateway]\naddress = " + m_addresses[name] + "\n" + m_gatewaySettings
                + "\n[controllers]\naddresses = " + links + "\nheartbeat_ms = 200\n[link]\nkeep_alive_ms = 300\n");
    }
}

std::string gateway_cluster::addRegistry(const std::vector<std::string>& seeds)
{
    const std::string name = "registry-" + std::to_string(m_registryIps.size() + 1);
    addRegistryAddresses(name);
    const std::string domain = "d" + std::to_string((m_registryIps.size() - 1) % 3 + 1);
    writeRegistrySettings(name, domain, linkAddresses(seeds), false);
    m_registries.push_back(name);
    announceControllers();
    startProcess(name);
    return name;
}

void gateway_cluster::retireRegistry(const std::string& name)
{
    std::erase(m_registries, name);
    announceControllers();
}

void gateway_cluster::announceControllers()
{
    std::vector<std::string> controlAddresses;
    for (const auto& name : m_registries)
        controlAddresses.push_back(m_addresses.at(name));
    m_fleet->setControllers(controlAddresses);
}

void gateway_cluster::setSeeds(const std::string& process, const std::vector<std::string>& seeds)
{
    const std::string file = m_folder + "/" + process + ".ini";
    const std::string key = "\naddresses = ";
    std::string text = readFile(file);
    const auto begin = text.find(key) + key.size();
    text.replace(begin, text.find('\n', begin) - begin, linkAddresses(seeds));
    std::ofstream(file) << text;
}

void gateway_cluster::suspendClocks()
{
    const std::string library = binaryPath("tests/libsuspended_clock.so");
    for (auto& [name, command] : m_commands)
        command.insert(command.begin(), { "/usr/bin/env", "LD_PRELOAD=" + library });
}

bool gateway_cluster::start()
{
    for (const auto& name : m_registries)
        startProcess(name);
    for (const auto& name : m_gateways)
        startProcess(name);
    std::vector<std::string> controlAddresses;
    for (const auto& name : m_registries)
        controlAddresses.push_back(m_addresses.at(name));
    m_fleet = std::make_unique<stand_in_fleet>(controlAddresses);
    for (const std::string domain : { "d1", "d2", "d3" }) {
        for (std::size_t index = 0; index < m_enginesPerDomain; ++index)
            m_engines.push_back(m_fleet->add("llm", domain, "l4"));
        m_plainTargets.push_back(m_fleet->add("app", domain, ""));
    }
    const auto isServing = [this] {
        return std::all_of(m_gateways.begin(), m_gateways.end(), [this](const std::string& name) {
            const std::string id = "start-" + name + std::to_string(std::rand());
            return call(name, "POST", "/stream/n1", id).status == 200;
        });
    };
    return waitUntil([this] { return publishToAny(1) == 200; }, startTimeout)
        && waitUntil([this] { return m_fleet->hasChain("d1") && m_fleet->hasChain("d2") && m_fleet->hasChain("d3"); },
            startTimeout)
        && waitUntil(isServing, startTimeout);
}

void gateway_cluster::startProcess(const std::string& name)
{
    m_pids[name] = spawnProcess(m_commands.at(name), m_folder + "/" + name + ".log");
}

void gateway_cluster::limitDescriptors(const std::string& name, std::size_t count)
{
    const rlimit limit { count, count };
    if (prlimit(m_pids.at(name), RLIMIT_NOFILE, &limit, nullptr) != 0)
        throw std::runtime_error("can't limit the descriptors of " + name);
}

void gateway_cluster::signal(const std::string& name, int number) { ::kill(m_pids.at(name), number); }

int gateway_cluster::waitForExit(const std::string& name, std::chrono::milliseconds timeout)
{
    const int status = waitForProcess(m_pids.at(name), timeout);
    if (status != -1)
        m_pids.erase(name);
    return status;
}

void gateway_cluster::killHard(const std::string& name)
{
    signal(name, SIGKILL);
    (void)waitForExit(name, killTimeout);
}

void gateway_cluster::loseDisk(const std::string& registry)
{
    std::filesystem::remove_all(m_folder + "/data-" + registry);
    // A blank member must join the others, not form a new log.
    std::string text = readFile(m_folder + "/" + registry + ".ini");
    const std::string setting = "bootstrap = true";
    if (const auto position = text.find(setting); position != std::string::npos)
        text.replace(position, setting.size(), "bootstrap = false");
    std::ofstream(m_folder + "/" + registry + ".ini") << text;
}

int gateway_cluster::publish(std::uint64_t version, const std::string& registry, const std::string& extraRoute)
{
    document_options options;
    options.extraRoute = extraRoute;
    return publish(version, registry, options);
}

int gateway_cluster::publish(std::uint64_t version, const std::string& registry, const document_options& options)
{
    return sendRequest(m_addresses.at(registry), "PUT", "/config", documentOf(version, options), {}, controlTimeout)
        .status;
}

int gateway_cluster::publishToAny(std::uint64_t version, const std::string& extraRoute)
{
    int status = 0;
    for (const auto& name : m_registries) {
        status = publish(version, name, extraRoute);
        if (status == 200)
            break;
    }
    return status;
}

std::optional<std::uint64_t> gateway_cluster::readVersion(const std::string& registry)
{
    const auto response = sendRequest(m_addresses.at(registry), "GET", "/config", "", {}, controlTimeout);
    if (response.status != 200)
        return std::nullopt;
    return json::parse(response.body).at("version").get<std::uint64_t>();
}

std::string gateway_cluster::leader()
{
    for (const auto& name : m_registries) {
        if (!isRunning(name))
            continue;
        const auto response = sendRequest(m_addresses.at(name), "GET", "/metrics", "", {}, controlTimeout);
        if (response.body.find("buckthornrail_is_leader 1") != std::string::npos)
            return name;
    }
    return {};
}

caller_response gateway_cluster::call(const std::string& gateway, const std::string& method, const std::string& path,
    const std::string& requestId, std::chrono::milliseconds timeout, const std::string& key)
{
    return call(gateway, { method, path, requestId, timeout, key, {}, {} });
}

caller_response gateway_cluster::call(const std::string& gateway, const caller_request& request)
{
    std::vector<http::header_field> headers;
    for (auto& [name, value] : callerFields(request.id, request.timeout, request.key, m_promptTokens))
        headers.push_back({ name, value });
    if (!request.promptParts.empty())
        headers.push_back({ "X-Buckthornrail-Prompt-Prefix", promptPrefix(request.promptParts) });
    const auto response = sendRequest(
        m_addresses.at(gateway), request.method, request.path, request.body, std::move(headers), request.timeout);
    caller_response result;
    result.status = response.status;
    result.isComplete = response.outcome == http::client_outcome::Ok;
    result.body = response.body;
    for (const auto& header : response.headers) {
        if (header.name == "X-Buckthornrail-Server-Stamp")
            result.serverStamp = header.value;
        if (header.name == "Retry-After")
            result.retryAfter = header.value;
    }
    return result;
}

std::vector<std::pair<std::string, std::string>> gateway_cluster::callerFields(
    const std::string& requestId, std::chrono::milliseconds timeout, const std::string& key, std::size_t promptTokens)
{
    return { { "Host", "h.example" }, { "X-Buckthornrail-Attempt-Id", requestId },
        { "X-Buckthornrail-Deadline-Ms", std::to_string(timeout.count()) }, { "Authorization", "Bearer " + key },
        { "X-Buckthornrail-Token-Count", std::to_string(promptTokens) + ",10" } };
}

int gateway_cluster::readyStatus(const std::string& gateway)
{
    return sendRequest(m_health.at(gateway), "GET", "/readyz", "", {}, controlTimeout).status;
}

std::string gateway_cluster::healthPage(const std::string& gateway, const std::string& path)
{
    return sendRequest(m_health.at(gateway), "GET", path, "", {}, controlTimeout).body;
}

void gateway_cluster::appendSettings(const std::string& name, const std::string& lines)
{
    std::ofstream(m_folder + "/" + name + ".ini", std::ios::app) << lines;
}

std::string gateway_cluster::targetLine(const std::string& registry, const std::string& targetId)
{
    const auto response = sendRequest(m_addresses.at(registry), "GET", "/status", "", {}, controlTimeout);
    const auto position = response.body.find("target " + targetId + " ");
    return position == std::string::npos
        ? std::string()
        : response.body.substr(position, response.body.find('\n', position) - position);
}

std::string gateway_cluster::metricsOf(const std::string& registry)
{
    return sendRequest(m_addresses.at(registry), "GET", "/metrics", "", {}, controlTimeout).body;
}

caller_response gateway_cluster::callRegistry(
    const std::string& registry, const std::string& method, const std::string& path)
{
    const auto response = sendRequest(m_addresses.at(registry), method, path, "", {}, controlTimeout);
    caller_response result;
    result.status = response.status;
    result.isComplete = response.outcome == http::client_outcome::Ok;
    result.body = response.body;
    return result;
}

int gateway_cluster::sendRecord(
    const std::string& registry, const std::string& method, const std::string& id, const std::string& body)
{
    return sendRequest(m_addresses.at(registry), method, "/instances/" + id, body, {}, controlTimeout).status;
}

std::string gateway_cluster::responseToRecord(
    const std::string& registry, const std::string& id, const std::string& body)
{
    return sendRequest(m_addresses.at(registry), "PUT", "/instances/" + id, body, {}, controlTimeout).body;
}

int gateway_cluster::sessionCount(const std::string& registry)
{
    const std::string linePrefix = "\ngateways ";
    const auto response = sendRequest(m_addresses.at(registry), "GET", "/status", "", {}, controlTimeout);
    const auto found = response.body.find(linePrefix);
    return found == std::string::npos ? -1 : std::stoi(response.body.substr(found + linePrefix.size()));
}

std::string gateway_cluster::targetState(const std::string& registry, const std::string& targetId)
{
    std::istringstream line(targetLine(registry, targetId));
    std::string state;
    for (int column = 0; column < 5; ++column)
        line >> state; // the fifth column
    return state;
}

int gateway_cluster::announceUnreachableTarget(const std::string& registry)
{
    return sendRecord(
        registry, "PUT", "i-alone", R"({"service":"app","address":"127.0.0.1:9","zone":"d1","state":"ready","seq":1})");
}

std::string gateway_cluster::logOf(const std::string& name) const { return readFile(m_folder + "/" + name + ".log"); }

std::string gateway_cluster::streamBody(const std::string& path, std::uint64_t events)
{
    std::string body;
    for (std::uint64_t id = 1; id <= events; ++id)
        body += stand_in_fleet::eventBytes(path, id);
    return body;
}

} // namespace test_support
