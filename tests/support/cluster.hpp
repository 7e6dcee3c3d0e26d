/// @file
/// @brief The system as real processes on loopback, with stand-in targets, for tests and measurements.
#pragma once

#include "support/child_process.hpp"
#include "support/promises.hpp"
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

struct target_spec {
    std::string kind = "openai";
    std::string model = "essay-review"; ///< for a plain service, its name
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    std::uint32_t tokenMs = 20;
    std::uint32_t slots = 4;
    bool viaRelay = false; ///< entries reach the sidecar through a relay
    std::string version = "1";
};

struct cluster_spec {
    std::size_t controllers = 3;
    std::size_t entries = 2;
    std::vector<target_spec> targets;
    std::uint32_t snapshotEntries = 2000;
    std::string strategy = "finish_estimate";
    std::uint32_t reportLagMs = 0; ///< of the stand-ins, as the rest
    std::uint32_t prefillUsPerByte = 0;
    std::uint32_t cacheEntries = 64;
    std::uint32_t queueLimit = 16;
    std::uint32_t httpThreads = 400; ///< of entries
    std::uint32_t leaseMs = 1500;
    std::uint32_t heartbeatMs = 200;
    std::uint32_t electionTimeoutMs = 300;
};

/// What one HTTP call came to; status 0: no answer.
struct http_response {
    int status = 0;
    nlohmann::json body;
    std::string text;
    std::string requestId;
    std::string retryAfter;
};

/// @brief Starts everything, forms the log, submits the standard configuration. Ends its processes by id.
class cluster {
public:
    explicit cluster(const cluster_spec& spec);
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    ~cluster();

    void start(const std::string& name);
    void signal(const std::string& name, int number);
    /// @return the exit status, or -1 when it didn't end in time; -signal when a signal ended it.
    int waitForExit(const std::string& name, std::chrono::milliseconds timeout);
    void killHard(const std::string& name);
    void loseDisk(const std::string& controller);
    void injectFault(const std::string& target, const nlohmann::json& fault);
    void setSilent(const std::string& sidecar, bool silent) { m_relays.at(sidecar)->setSilent(silent); }

    http_response call(const std::string& process, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::map<std::string, std::string>& headers = {}) const;
    /// @brief Asks the controllers in turn until one confirms.
    http_response callControllers(
        const std::string& method, const std::string& path, const std::string& body = {}) const;
    http_response putConfiguration(
        const nlohmann::json& document, std::uint64_t base, const std::string& changeId) const;

    /// @brief One completion through an entry, judged later by the promises.
    caller_record complete(const std::string& entry, const std::string& prompt, std::uint32_t tokens,
        bool streams = false, const std::string& pipeline = "essay-summary") const;
    /// @brief One booking.
    caller_record book(const std::string& entry, const std::string& key, const std::string& body) const;

    [[nodiscard]] std::vector<execution_record> executions() const;
    [[nodiscard]] std::string leader() const; ///< name of the leading controller, or empty
    [[nodiscard]] bool isReady(const std::string& process) const;
    [[nodiscard]] static nlohmann::json standardDocument();
    [[nodiscard]] std::string logOf(const std::string& name) const;
    [[nodiscard]] pid_t pidOf(const std::string& name) const { return m_pids.at(name); }
    [[nodiscard]] const std::vector<std::string>& controllerLinkAddresses() const { return m_controllerLinkAddresses; }
    [[nodiscard]] std::string httpAddress(const std::string& name) const { return m_httpAddresses.at(name); }
    /// @brief True when every known instance is ready.
    [[nodiscard]] bool allReady() const;

private:
    void defineProcesses(const cluster_spec& spec);
    void addProcess(const std::string& name, const std::vector<std::string>& command);

    std::string m_folder;
    std::map<std::string, std::vector<std::string>> m_commands;
    std::map<std::string, pid_t> m_pids;
    std::map<std::string, std::string> m_httpAddresses;
    std::map<std::string, std::string> m_targetAddresses; ///< addresses of the stand-ins
    std::map<std::string, std::unique_ptr<relay>> m_relays;
    std::vector<std::string> m_startOrder;
    std::vector<std::string> m_controllerNames;
    std::vector<std::string> m_controllerLinkAddresses;
};

/// @brief Callers that send requests without pause through given entries until stopped.
class background_callers {
public:
    /// @param sendRequest makes one request; called from several threads
    background_callers(
        std::size_t threads, std::function<caller_record(std::size_t thread, std::size_t number)> sendRequest);
    background_callers(const background_callers&) = delete;
    background_callers& operator=(const background_callers&) = delete;
    ~background_callers();
    /// @brief Ends and gives all records, with the time at which each ended.
    std::vector<std::pair<std::chrono::steady_clock::time_point, caller_record>> stop();

private:
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::pair<std::chrono::steady_clock::time_point, caller_record>> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace test_support
