/// @file
/// @brief Which gateways share the budget of repeats, and what each has spent, as far as a leader can know.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornrail::registry {

/// Repeats of one service that a gateway has spent in its window.
struct service_retries {
    std::string service;
    std::uint32_t repeats = 0;

    bool operator==(const service_retries&) const = default;
};

using retry_counts = std::vector<service_retries>;

/// What a gateway's heartbeat says of it.
struct gateway_usage {
    std::string id;
    std::uint64_t incarnation = 0; ///< drawn by each process at its start
    retry_counts spent;
    bool isComplete = false; ///< `spent` holds all of the window, also what earlier processes spent
};

struct gateway_table_options {
    /// As long as the longest window of repeats that is usual: a gateway counts for so long after its last word.
    milliseconds window { 10000 };
    /// A leader says nothing of the number before: every living gateway has found it by then, within about a second.
    milliseconds settlingPeriod { 2000 };
    /// What a process spent is known when it was heard so shortly before the next one; a restart takes one to two
    /// seconds.
    milliseconds restartTime { 3000 };
};

/// @brief Kept by the leader from heartbeats; soft state. Callers pass the time in.
/// @ingroup registry
class gateway_table {
public:
    explicit gateway_table(const gateway_table_options& options = {})
        : m_options(options)
    {
    }

    /// @brief This controller begins to lead: it has heard nothing yet.
    void begin(steady_time now);
    void recordHeartbeat(const gateway_usage& one, steady_time now);
    /// @brief Gateways heard within the window. @return 0: not known yet
    [[nodiscard]] std::size_t count(steady_time now) const;
    /// @brief The gateways counted, in order of their ids. The place of each is its number among them.
    [[nodiscard]] std::vector<std::string> liveGateways(steady_time now) const;
    /// @brief What earlier processes of a gateway had spent within the window when the one heard last started.
    /// @return nothing when it isn't known, or `spent` holds it already
    [[nodiscard]] std::optional<retry_counts> earlierRetries(const std::string& id) const;

private:
    struct entry {
        gateway_usage last;
        std::optional<retry_counts> earlier; ///< by the processes before it; nothing: not known
        steady_time restartDeadline {}; ///< a next process that is heard until then follows at once
        steady_time deadline {};
    };

    gateway_table_options m_options;
    std::map<std::string, entry> m_gateways;
    steady_time m_settledAt = steady_time::max();
};

} // namespace buckthornrail::registry
