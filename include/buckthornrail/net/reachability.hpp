/// @file
/// @brief Whether an address takes connections: the soonest sign that a process or its machine is gone.
#pragma once

#include "buckthornrail/net/tcp.hpp"

#include <map>

namespace buckthornrail::net {

/// What came of opening a connection.
enum class reachability : std::uint8_t {
    Open,
    Refused, ///< the machine is up, and nothing listens
    Silent, ///< no answer: the machine is gone or cut off
};

struct reachability_options {
    /// A second opening packet follows the first one, as links lose some: of three in a hundred lost each way, one
    /// alone would call six in a hundred sound addresses silent, two less than one in two hundred.
    milliseconds retryDelay { 15 };
    /// No answer by then is taken for silence. Domains are 0.6 ms apart, and a target takes 1 ms for a connection.
    milliseconds timeout { 40 };
    /// A process that is itself late by so much doesn't judge yet: what has come may wait to be read.
    milliseconds maxTimerDelay { 20 };
    milliseconds openResultLifetime { 100 }; ///< an address that took a connection isn't tried again for so long
    milliseconds unreachableResultLifetime { 500 }; ///< a verdict is told again, without a trial, for so long
    milliseconds watchLifetime { 5000 }; ///< an address that nobody asked to watch for so long is watched no more
    /// A watched connection is opened again no sooner than so long after the last time: its address may be one that
    /// closes idle ones.
    milliseconds watchReconnectDelay { 1000 };
};

/// @brief Tries addresses, each once at a time however many ask. Lives on the loop thread.
/// @ingroup net
class reachability_prober {
public:
    /// Told of addresses that aren't Open, and by reprobe() of all; not from within a check.
    using result_callback = std::function<void(const std::string& address, reachability result)>;

    reachability_prober(link::event_loop& loop, result_callback onResult, const reachability_options& options = {});
    reachability_prober(const reachability_prober&) = delete;
    reachability_prober& operator=(const reachability_prober&) = delete;
    ~reachability_prober();

    void probe(const std::string& address);
    /// @brief Tries an address though it was found open not long ago, and tells whatever comes of it, Open too.
    void reprobe(const std::string& address);
    /// @brief Another process has the address from now on: what was found, and what is being tried, is of the one
    /// before.
    void forget(const std::string& address) { m_probesByAddress.erase(address); }
    /// @brief Keeps an idle connection to an address for a while. When it ends, the address is checked: so a process
    /// that crashes is known within a few milliseconds, without a question.
    void watch(const std::string& address);
    /// @brief Trials begun so far, for metrics.
    [[nodiscard]] std::uint64_t probeCount() const { return m_probeCount; }

private:
    struct probe_state;
    struct watched_address {
        channel_pointer channel;
        steady_time expiresAt {};
        steady_time reconnectAt {};
    };

    void startProbe(const std::string& address);
    void startConnection(const std::string& address, const std::shared_ptr<probe_state>& state);
    void scheduleTimeout(const std::string& address, steady_time deadline);
    void finishProbe(const std::string& address, reachability result);
    void connectWatch(const std::string& address, watched_address& watched, steady_time now);
    void removeExpiredWatches(steady_time now);

    link::event_loop& m_loop;
    result_callback m_onResult;
    reachability_options m_options;
    std::map<std::string, std::shared_ptr<probe_state>> m_probesByAddress; ///< under way, or settled not long ago
    std::map<std::string, watched_address> m_watchedByAddress;
    steady_time m_nextExpiryCheckAt {};
    std::uint64_t m_probeCount = 0;
};

} // namespace buckthornrail::net
