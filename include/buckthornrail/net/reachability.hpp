/// @file
/// @brief Probes whether addresses accept TCP connections: the earliest indication that a process or its machine is
/// down.
#pragma once

#include "buckthornrail/net/tcp.hpp"

#include <map>

namespace buckthornrail::net {

/// Result of a connection attempt.
enum class reachability : std::uint8_t {
    Open,
    Refused, ///< the machine is up, but nothing listens on the port
    Silent, ///< no response: the machine is down or unreachable
};

struct reachability_options {
    /// Delay between the first and the second connection attempt of a probe. At 3% packet loss each way, a single
    /// SYN would report 6% of the healthy addresses as silent; two report less than 0.5%.
    milliseconds retryDelay { 15 };
    /// An address that hasn't responded within this time is Silent. The latency between failure domains is 0.6 ms,
    /// and a target accepts a connection within 1 ms.
    milliseconds timeout { 40 };
    /// When the timeout fires later than this, the probe is extended: the event loop was delayed, and a response may
    /// be waiting to be read.
    milliseconds maxTimerDelay { 20 };
    milliseconds openResultLifetime { 100 }; ///< an open address isn't probed again within this time
    milliseconds unreachableResultLifetime { 500 }; ///< Refused and Silent are reported again without a new probe
    milliseconds watchLifetime { 5000 }; ///< after the last watch() of an address
    /// Minimum time between two connection attempts to a watched address: its server may close idle connections.
    milliseconds watchReconnectDelay { 1000 };
};

/// @brief Probes addresses, with at most one probe per address in flight. Lives on the loop thread.
/// @ingroup net
class reachability_prober {
public:
    /// Receives every result other than Open, and after reprobe() Open too. Never called from within probe().
    using result_callback = std::function<void(const std::string& address, reachability result)>;

    reachability_prober(link::event_loop& loop, result_callback onResult, const reachability_options& options = {});
    reachability_prober(const reachability_prober&) = delete;
    reachability_prober& operator=(const reachability_prober&) = delete;
    ~reachability_prober();

    /// @brief Starts a probe, unless one is in flight or its result is cached.
    /// @param address "IP:port"
    void probe(const std::string& address);
    /// @brief Like probe(), but ignores a cached Open result and also reports Open.
    void reprobe(const std::string& address);
    /// @brief Discards the cached result and any probe in flight. To be called when another process takes over the
    /// address, as both concern the previous one.
    void forget(const std::string& address) { m_probesByAddress.erase(address); }
    /// @brief Keeps an idle connection to an address open for `watchLifetime`. The address is probed when the
    /// connection ends, which detects a crashed process within a few milliseconds without polling.
    void watch(const std::string& address);
    /// @brief Number of probes started so far, for metrics.
    [[nodiscard]] std::uint64_t probeCount() const { return m_probeCount; }

private:
    struct probe_state;
    struct watched_address {
        connection_pointer connection;
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
    std::map<std::string, std::shared_ptr<probe_state>>
        m_probesByAddress; ///< in flight, or finished with a cached result
    std::map<std::string, watched_address> m_watchedByAddress;
    steady_time m_nextExpiryCheckAt {};
    std::uint64_t m_probeCount = 0;
};

} // namespace buckthornrail::net
