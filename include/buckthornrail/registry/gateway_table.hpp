/// @file
/// @brief The gateways that share the retry budget, and the retries that each has spent, as known to the leader.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornrail::registry {

/// Retries of one service's requests that a gateway has spent within its budget's window.
struct service_retries {
    std::string service;
    std::uint32_t repeats = 0; ///< number of retries

    bool operator==(const service_retries&) const = default;
};

using retry_counts = std::vector<service_retries>;

/// A gateway's use of the retry budget, from its heartbeat.
struct gateway_usage {
    std::string id;
    std::uint64_t incarnation = 0; ///< random number that each process draws at its start
    retry_counts spent; ///< within the budget's window
    bool isComplete = false; ///< `spent` covers the whole window, including earlier processes
};

struct gateway_table_options {
    /// A gateway counts as live for this long after its last heartbeat. As long as the longest usual window of a retry
    /// budget, since a gateway that has ended may have spent its part until then.
    milliseconds window { 10000 };
    /// A new leader reports no number of gateways during this time. All live gateways connect to it within about a
    /// second.
    milliseconds settlingPeriod { 2000 };
    /// Maximum time between the last heartbeat of a process and the first one of the next for the retries of the former
    /// to count as known. A restart takes one to two seconds.
    milliseconds restartTime { 3000 };
};

/// @brief Live gateways and their spent retries. The leader fills it from heartbeats; soft state. Callers pass the
/// current time in.
/// @ingroup registry
class gateway_table {
public:
    explicit gateway_table(const gateway_table_options& options = {})
        : m_options(options)
    {
    }

    /// @brief Clears the table and starts the settling period when this controller becomes the leader.
    void reset(steady_time now);
    /// @brief Records a heartbeat, and drops gateways whose window has passed.
    void recordHeartbeat(const gateway_usage& usage, steady_time now);
    /// @brief Number of live gateways, those with a heartbeat within the window. @return 0 during the settling period
    [[nodiscard]] std::size_t count(steady_time now) const;
    /// @brief Whether a gateway is live and its last recorded heartbeat came from this incarnation.
    [[nodiscard]] bool contains(const std::string& id, std::uint64_t incarnation, steady_time now) const;
    /// @brief Ids of the live gateways in ascending order. A gateway's index is its ordinal.
    [[nodiscard]] std::vector<std::string> liveGateways(steady_time now) const;
    /// @brief Retries that earlier processes of a gateway had spent within the window when its current one started.
    /// @return nothing when unknown, or when the gateway's own count includes them
    [[nodiscard]] std::optional<retry_counts> earlierRetries(const std::string& id) const;

private:
    struct entry {
        gateway_usage last;
        std::optional<retry_counts> earlier; ///< spent by earlier processes; nothing: unknown
        steady_time restartDeadline {}; ///< a new process that reports before it succeeds the last one directly
        steady_time deadline {}; ///< the gateway counts as live before it
    };

    gateway_table_options m_options;
    std::map<std::string, entry> m_gateways;
    steady_time m_settledAt = steady_time::max();
};

} // namespace buckthornrail::registry
