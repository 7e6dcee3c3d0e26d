/// @file
/// @brief Registries and gateways as real processes on loopback, before stand-in targets.
#pragma once

#include "support/child_process.hpp"
#include "support/relay.hpp"
#include "support/stand_in_fleet.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace test_support {

/// What a caller got.
struct caller_response {
    int status = 0; ///< 0: no answer
    bool isComplete = false; ///< with the end that its form demands
    std::string body;
    std::string serverStamp; ///< of the target
    std::string retryAfter;
};

/// A document to publish.
struct document_options {
    std::string extraRoute; ///< named in its host's path; empty: none
    std::size_t fillerRoutes = 0; ///< routes besides, each with a path of its own
    /// Length of a filler's path: letters drawn from a fixed seed, which no compression makes short.
    std::size_t fillerPathLength = 20;
};

/// @brief Registries, gateways, three failure domains of engines, and a plain service. Ends its processes by id.
class gateway_world {
public:
    /// @param registries of which all processes are told the first three
    /// @param gatewaySettings further lines of the gateways' section of their settings
    explicit gateway_world(std::size_t gateways = 2, std::size_t enginesPerDomain = 4, std::size_t registries = 3,
        std::string gatewaySettings = {});
    gateway_world(const gateway_world&) = delete;
    gateway_world& operator=(const gateway_world&) = delete;
    ~gateway_world();

    /// @brief From now on the steady clock of a process stands still while it is stopped by a signal, as that of a
    /// suspended machine does. Call before start().
    void suspendClocks();
    /// @brief Starts all and waits until requests can be served. @return false when that didn't come
    bool start();
    void startProcess(const std::string& name);
    void signal(const std::string& name, int number);
    int waitForExit(const std::string& name, std::chrono::milliseconds timeout);
    void killHard(const std::string& name);
    void loseDisk(const std::string& registry);
    [[nodiscard]] bool isRunning(const std::string& name) const { return m_pids.contains(name); }

    /// @brief Publishes a document under a version to one registry. @return the status; 0: no answer
    int publish(std::uint64_t version, const std::string& registry, const std::string& extraRoute = {});
    int publish(std::uint64_t version, const std::string& registry, const document_options& options);
    /// @brief Publishes until one of the registries acknowledges. @return the last status
    int publishToAny(std::uint64_t version, const std::string& extraRoute = {});
    /// @brief The version that a registry reads back; nothing when it doesn't know.
    std::optional<std::uint64_t> readVersion(const std::string& registry);
    /// @brief Name of the registry that leads, or empty.
    std::string leader();

    /// @brief One request through a gateway. @param requestId the caller's, unique
    caller_response call(const std::string& gateway, const std::string& method, const std::string& path,
        const std::string& requestId, std::chrono::milliseconds timeout = std::chrono::milliseconds(5000),
        const std::string& key = "key-1");
    /// @brief Names and values of the fields that a caller sends.
    static std::vector<std::pair<std::string, std::string>> callerFields(
        const std::string& requestId, std::chrono::milliseconds timeout, const std::string& key = "key-1");
    [[nodiscard]] const std::string& addressOf(const std::string& process) const { return m_addresses.at(process); }
    int readyStatus(const std::string& gateway);
    /// @brief State of a target as a registry shows it; empty when it is unknown there.
    std::string targetState(const std::string& registry, const std::string& targetId);
    /// @brief Announces a target that isn't there, to one registry. @return the status
    int announceUnreachableTarget(const std::string& registry);
    /// @brief What a target, or another writer, sends to a registry. @return the status
    int sendRecord(
        const std::string& registry, const std::string& method, const std::string& id, const std::string& body);
    /// @brief The body of the answer to such a call; empty: none came.
    std::string responseToRecord(const std::string& registry, const std::string& id, const std::string& body);
    /// @brief How many gateways have their session with a registry. @return -1: it didn't answer
    int sessionCount(const std::string& registry);
    /// @brief A registry's line on a target at its status page; empty when it is unknown there.
    std::string targetLine(const std::string& registry, const std::string& targetId);
    std::string metricsOf(const std::string& registry);
    /// @brief An operator's call to a registry that is not of the platform.
    caller_response callRegistry(const std::string& registry, const std::string& method, const std::string& path);

    /// @brief The relay before a registry's links.
    relay& linkRelay(const std::string& registry) { return *m_relays.at(registry); }
    stand_in_fleet& fleet() { return *m_fleet; }
    [[nodiscard]] const std::vector<std::string>& registries() const { return m_registries; }
    [[nodiscard]] const std::vector<std::string>& gateways() const { return m_gateways; }
    [[nodiscard]] const std::vector<std::size_t>& engines() const { return m_engines; }
    [[nodiscard]] const std::vector<std::size_t>& plainTargets() const { return m_plainTargets; }
    [[nodiscard]] std::string logOf(const std::string& name) const;
    /// @brief Leaves the logs where they are. @return their folder
    std::string keepFolder();

    /// @brief Body of a stream with so many events.
    static std::string streamBody(const std::string& path, std::uint64_t events);

private:
    void writeSettings();

    std::string m_folder;
    bool m_keepsFolder = false;
    std::map<std::string, std::vector<std::string>> m_commands;
    std::map<std::string, pid_t> m_pids;
    std::map<std::string, std::string> m_addresses; ///< for callers, or for control
    std::map<std::string, std::string> m_health;
    std::map<std::string, std::unique_ptr<relay>> m_relays; ///< by registry
    std::vector<std::string> m_registries;
    std::vector<std::string> m_gateways;
    std::vector<std::size_t> m_engines;
    std::vector<std::size_t> m_plainTargets;
    std::size_t m_enginesPerDomain;
    std::string m_gatewaySettings;
    std::unique_ptr<stand_in_fleet> m_fleet;
};

} // namespace test_support
