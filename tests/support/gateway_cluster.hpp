/// @file
/// @brief Registries and gateways as real processes on loopback, with stand-in targets.
#pragma once

#include "support/child_process.hpp"
#include "support/relay.hpp"
#include "support/stand_in_fleet.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace test_support {

inline constexpr std::chrono::milliseconds defaultCallTimeout { 5000 };

/// The response that a caller received from a gateway or registry.
struct caller_response {
    int status = 0; ///< 0: no response
    bool isComplete = false; ///< it ended as its framing requires
    std::string body;
    std::string serverStamp; ///< X-Buckthornrail-Server-Stamp, set by the target
    std::string retryAfter; ///< Retry-After; empty: none
};

/// A caller's request to a gateway.
struct caller_request {
    std::string method = "POST";
    std::string path;
    std::string id; ///< sent as the attempt's id, unique
    std::chrono::milliseconds timeout = defaultCallTimeout; ///< also sent as the request's deadline
    std::string key = "key-1"; ///< API key of the tenant
    std::vector<std::string> promptParts; ///< ids of the parts of its prompt, in order; empty: not stated
    std::string body;
};

/// A streaming route to the layered service, its path prefix is its name.
struct stream_route {
    std::string name;
    std::uint32_t priority = 5; ///< 0 is the highest; 5 is that of the route "stream"
    std::chrono::milliseconds latencyTarget { 200 };
    std::chrono::milliseconds timeout { 8000 };
    bool isResumable = true;
};

/// Options of a configuration document to publish.
struct document_options {
    std::string extraRoute; ///< name of a further route, also its path prefix; empty: none
    std::size_t fillerRoutes = 0; ///< further routes, each with its own path
    /// Letters in the path of a filler route. They are random with a fixed seed, so that the document compresses badly.
    std::size_t fillerPathLength = 20;
    std::vector<stream_route> streamRoutes; ///< further routes to the layered service
    std::uint64_t tokenBytes = 16; ///< key-value memory of a token, over all layers; bounds the requests of an engine
    std::string key = "key-1"; ///< API key of the tenant
};

/// @brief Runs registries and gateways, and in three failure domains engines and a target of a plain service.
///
/// The destructor kills the processes, each by its id.
class gateway_cluster {
public:
    /// @param gateways number of gateways
    /// @param enginesPerDomain number of engines in each failure domain
    /// @param registries number of registries; the settings of all processes list the first three
    /// @param gatewaySettings lines added to section [gateway] of the gateways' settings
    explicit gateway_cluster(std::size_t gateways = 2, std::size_t enginesPerDomain = 4, std::size_t registries = 3,
        std::string gatewaySettings = {});
    gateway_cluster(const gateway_cluster&) = delete;
    gateway_cluster& operator=(const gateway_cluster&) = delete;
    ~gateway_cluster();

    /// @brief Makes the steady clock of each process stand still while SIGSTOP pauses the process, as on a suspended
    /// machine. Call before start().
    void suspendClocks();
    /// @brief Starts all processes and targets, and waits until every gateway serves requests.
    /// @return false: a step timed out
    bool start();
    void startProcess(const std::string& name);
    void signal(const std::string& name, int number);
    /// @return the exit status, or the negated signal that ended the process; -1: it still runs after the timeout
    int waitForExit(const std::string& name, std::chrono::milliseconds timeout);
    /// @brief Limits the file descriptors that a running process may have open.
    void limitDescriptors(const std::string& name, std::size_t count);
    /// @brief Sends SIGKILL and waits for the end of the process.
    void killHard(const std::string& name);
    /// @brief Deletes the storage of a registry that isn't running, which joins as a blank member at its next start.
    void loseDisk(const std::string& registry);
    /// @brief Starts a blank registry at a new address. @param seeds registries that its settings list @return its name
    std::string addRegistry(const std::vector<std::string>& seeds);
    /// @brief Forgets a registry whose process has ended for good. Targets no longer announce themselves there.
    void retireRegistry(const std::string& name);
    /// @brief Lists other registries in the settings of a process, which reads them on SIGHUP or at its next start.
    void setSeeds(const std::string& process, const std::vector<std::string>& seeds);
    [[nodiscard]] int pidOf(const std::string& name) const { return m_pids.at(name); }
    [[nodiscard]] bool isRunning(const std::string& name) const { return m_pids.contains(name); }

    /// @brief Publishes a document with this version at one registry. @return the status; 0: no response
    int publish(std::uint64_t version, const std::string& registry, const std::string& extraRoute = {});
    int publish(std::uint64_t version, const std::string& registry, const document_options& options);
    /// @brief Tries the registries in order until one acknowledges the document. @return the last status
    int publishToAny(std::uint64_t version, const std::string& extraRoute = {});
    /// @return the version of a registry's current document; std::nullopt: it responded with an error or not at all
    std::optional<std::uint64_t> readVersion(const std::string& registry);
    /// @return name of the registry that is the leader; empty: none is
    std::string leader();

    /// @brief Sends one request to a gateway over a new connection.
    /// @param requestId sent as the attempt's id, unique
    /// @param timeout also sent as the request's deadline
    /// @param key API key of the tenant
    caller_response call(const std::string& gateway, const std::string& method, const std::string& path,
        const std::string& requestId, std::chrono::milliseconds timeout = defaultCallTimeout,
        const std::string& key = "key-1");
    /// @brief Sends one request to a gateway over a new connection.
    caller_response call(const std::string& gateway, const caller_request& request);
    /// @return names and values of the header fields that a caller sends
    static std::vector<std::pair<std::string, std::string>> callerFields(const std::string& requestId,
        std::chrono::milliseconds timeout, const std::string& key = "key-1", std::size_t promptTokens = 10);
    /// @brief Sets the length of the prompts that callers state. Call while there are no callers.
    void setPromptTokens(std::size_t tokens) { m_promptTokens = tokens; }
    [[nodiscard]] std::size_t promptTokens() const { return m_promptTokens; }
    /// @return the address for callers of a gateway, or for control of a registry
    [[nodiscard]] const std::string& addressOf(const std::string& process) const { return m_addresses.at(process); }
    /// @return the status of a gateway's /readyz; 0: no response
    int readyStatus(const std::string& gateway);
    /// @return the body of a page on a gateway's HTTP port, such as /admission or /metrics; empty: no response
    std::string healthPage(const std::string& gateway, const std::string& path);
    /// @brief Appends lines to the settings file of a process. It reads them on SIGHUP, or when it is started.
    void appendSettings(const std::string& name, const std::string& lines);
    /// @return state of a target on a registry's status page; empty: the registry doesn't know the target
    std::string targetState(const std::string& registry, const std::string& targetId);
    /// @brief Announces a target that doesn't exist to one registry. @return the status; 0: no response
    int announceUnreachableTarget(const std::string& registry);
    /// @brief Sends a target's record to a registry, as the target or another writer does.
    /// @param method PUT announces the target, DELETE removes it
    /// @return the status; 0: no response
    int sendRecord(
        const std::string& registry, const std::string& method, const std::string& id, const std::string& body);
    /// @brief Announces a target as sendRecord() does. @return the body of the response; empty: no response
    std::string responseToRecord(const std::string& registry, const std::string& id, const std::string& body);
    /// @return how many gateways have their session with a registry; -1: no usable response
    int sessionCount(const std::string& registry);
    /// @return a target's line on a registry's status page; empty: the registry doesn't know the target
    std::string targetLine(const std::string& registry, const std::string& targetId);
    std::string metricsOf(const std::string& registry);
    /// @brief Sends an operator's request, which no platform sends, to a registry's control address.
    caller_response callRegistry(const std::string& registry, const std::string& method, const std::string& path);

    /// @brief The relay in front of a registry's link address.
    relay& linkRelay(const std::string& registry) { return *m_relays.at(registry); }
    stand_in_fleet& fleet() { return *m_fleet; }
    [[nodiscard]] const std::vector<std::string>& registries() const { return m_registries; }
    [[nodiscard]] const std::vector<std::string>& gateways() const { return m_gateways; }
    [[nodiscard]] const std::vector<std::size_t>& engines() const { return m_engines; }
    [[nodiscard]] const std::vector<std::size_t>& plainTargets() const { return m_plainTargets; }
    [[nodiscard]] std::string logOf(const std::string& name) const;
    /// @brief Keeps the logs when the destructor runs. @return their folder
    std::string keepFolder();

    /// @return body of a stream with this number of events
    static std::string streamBody(const std::string& path, std::uint64_t events);

private:
    void writeSettings();
    void writeFile(const std::string& name, const std::string& role, const std::string& text);
    /// @param bootstrap whether the registry may form a new log
    void writeRegistrySettings(
        const std::string& name, const std::string& domain, const std::string& seeds, bool bootstrap);
    /// @brief Reserves the addresses of a registry.
    void addRegistryAddresses(const std::string& name);
    /// @return link addresses, separated by commas
    [[nodiscard]] std::string linkAddresses(const std::vector<std::string>& registries) const;
    void announceControllers();

    std::string m_folder;
    bool m_keepsFolder = false;
    std::map<std::string, std::vector<std::string>> m_commands;
    std::map<std::string, pid_t> m_pids;
    std::map<std::string, std::string> m_addresses; ///< of gateways for callers, of registries for control
    std::map<std::string, std::string> m_health; ///< addresses of the gateways' health pages
    std::map<std::string, std::unique_ptr<relay>> m_relays; ///< by registry
    std::vector<std::string> m_registries;
    std::map<std::string, std::string> m_registryIps;
    std::string m_linkPort; ///< of all registries
    std::string m_controlPort; ///< of all registries
    std::vector<std::string> m_gateways;
    std::vector<std::size_t> m_engines;
    std::vector<std::size_t> m_plainTargets;
    std::size_t m_enginesPerDomain;
    std::size_t m_promptTokens = 10;
    std::string m_gatewaySettings;
    std::unique_ptr<stand_in_fleet> m_fleet;
};

} // namespace test_support
