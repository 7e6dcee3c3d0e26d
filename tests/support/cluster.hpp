/// @file
/// @brief Cluster of entries, sidecars and controllers as real processes on loopback, with stand-in targets.
#pragma once

#include "support/child_process.hpp"
#include "support/invariants.hpp"
#include "support/relay.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace test_support {

/// A stand-in target with its sidecar.
struct target_spec {
    std::string kind = "openai"; ///< as in the settings of a sidecar
    std::string model = "essay-review"; ///< of a plain service: the name of the service
    std::uint32_t firstLayer = 0; ///< of a layer range
    std::uint32_t endLayer = 0; ///< of a layer range; the first layer after it
    std::uint32_t tokenMs = 20; ///< time for a token or an engine step
    std::uint32_t slots = 4; ///< requests served at a time
    bool viaRelay = false; ///< entries reach the sidecar through a relay
    std::string version = "1";
};

/// Numbers of processes and their settings.
struct cluster_spec {
    std::size_t controllers = 3;
    std::size_t entries = 2;
    std::vector<target_spec> targets;
    std::uint32_t snapshotEntries = 2000; ///< log entries between two snapshots of a controller
    std::string strategy = "finish_estimate"; ///< by which entries select a target
    std::uint32_t reportLagMs = 0; ///< interval at which stand-ins refresh their load reports
    std::uint32_t prefillUsPerByte = 0; ///< of stand-ins, for prompts whose prefix isn't cached
    std::uint32_t cacheEntries = 64; ///< capacity of the stand-ins' prefix caches
    std::uint32_t queueLimit = 16; ///< of sidecars
    std::uint32_t httpThreads = 400; ///< of entries
    std::uint32_t leaseMs = 1500;
    std::uint32_t heartbeatMs = 200;
    std::uint32_t electionTimeoutMs = 300;
};

struct http_response {
    int status = 0; ///< 0: no complete response was received
    nlohmann::json body; ///< discarded value when the body isn't JSON
    std::string text; ///< the body as received
    std::string requestId; ///< X-Request-Id
    std::string retryAfter; ///< Retry-After
};

/// @brief Starts all processes, initializes the replicated log and submits the standard configuration.
///
/// Processes are named "controller-0", "entry-0", "sidecar-0", "target-0" and so on. The destructor kills them by their
/// ids and deletes their files.
class cluster {
public:
    /// @brief Returns when all instances are ready. Throws std::runtime_error when that takes too long.
    explicit cluster(const cluster_spec& spec);
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    ~cluster();

    void start(const std::string& name);
    /// @param number of the signal, for example SIGSTOP
    void signal(const std::string& name, int number);
    /// @return the exit status; the negative number of the signal that ended the process; -1 after the timeout
    int waitForExit(const std::string& name, std::chrono::milliseconds timeout);
    /// @brief Sends SIGKILL and waits for the exit.
    void killHard(const std::string& name);
    /// @brief Deletes the data folder of a controller, which must not be running.
    void loseDisk(const std::string& controller);
    /// @param fault fields of the stand-in's "/stand_in/fault" call
    void injectFault(const std::string& target, const nlohmann::json& fault);
    /// @brief Makes the relay to a sidecar hold all data back, or forward it again. Its connections stay open.
    /// @param sidecar of a target with target_spec::viaRelay
    void setSilent(const std::string& sidecar, bool silent) { m_relays.at(sidecar)->setSilent(silent); }

    /// @brief Sends an HTTP request to a process and waits for the response.
    http_response call(const std::string& process, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::map<std::string, std::string>& headers = {}) const;
    /// @brief Sends a request to the running controllers in turn, until one responds with a status other than 503.
    /// @return the last response
    http_response callControllers(
        const std::string& method, const std::string& path, const std::string& body = {}) const;
    /// @param base version on which the change is based
    /// @param changeId identifies the change when it is sent again
    http_response putConfiguration(
        const nlohmann::json& document, std::uint64_t base, const std::string& changeId) const;

    /// @brief Sends a completion request through an entry.
    /// @return the record that the checks of invariants.hpp need
    caller_record complete(const std::string& entry, const std::string& prompt, std::uint32_t tokens,
        bool streams = false, const std::string& pipeline = "essay-summary") const;
    /// @brief Sends a non-idempotent request to the service "booking" through an entry.
    /// @param key idempotency key
    caller_record book(const std::string& entry, const std::string& key, const std::string& body) const;

    /// @return the execution logs of all targets
    [[nodiscard]] std::vector<execution_record> executions() const;
    [[nodiscard]] std::string leader() const; ///< name of a controller that reports itself as the leader; may be empty
    [[nodiscard]] bool isReady(const std::string& process) const;
    /// @return the configuration that the constructor submits as version 1
    [[nodiscard]] static nlohmann::json standardDocument();
    [[nodiscard]] std::string logOf(const std::string& name) const;
    [[nodiscard]] pid_t pidOf(const std::string& name) const { return m_pids.at(name); }
    [[nodiscard]] const std::vector<std::string>& controllerLinkAddresses() const { return m_controllerLinkAddresses; }
    [[nodiscard]] std::string httpAddress(const std::string& name) const { return m_httpAddresses.at(name); }
    /// @return whether all running instances are ready
    [[nodiscard]] bool allReady() const;

private:
    /// @brief Writes the settings files and determines the addresses and command lines of all processes.
    void defineProcesses(const cluster_spec& spec);
    void addProcess(const std::string& name, const std::vector<std::string>& command);

    std::string m_folder;
    std::map<std::string, std::vector<std::string>> m_commands;
    std::map<std::string, pid_t> m_pids;
    std::map<std::string, std::string> m_httpAddresses;
    std::map<std::string, std::string> m_targetAddresses; ///< of the stand-ins
    std::map<std::string, std::unique_ptr<relay>> m_relays; ///< by sidecar
    std::vector<std::string> m_startOrder;
    std::vector<std::string> m_controllerNames;
    std::vector<std::string> m_controllerLinkAddresses;
};

/// @brief Threads that each send one request after another, without pause, until stopped.
class background_callers {
public:
    /// @param sendRequest sends a request and waits for its result; called from all threads
    background_callers(
        std::size_t threads, std::function<caller_record(std::size_t thread, std::size_t number)> sendRequest);
    background_callers(const background_callers&) = delete;
    background_callers& operator=(const background_callers&) = delete;
    ~background_callers();
    /// @brief Waits for the requests in flight and ends the threads.
    /// @return the records of all requests, each with the time at which the request ended
    std::vector<std::pair<std::chrono::steady_clock::time_point, caller_record>> stop();

private:
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::pair<std::chrono::steady_clock::time_point, caller_record>> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace test_support
