/// @file
/// @brief Tracks which requests had just started on a target when it crashed. Does no I/O.
#pragma once

#include "buckthornrail/gateway/target_pool.hpp"
#include "buckthornrail/registry/quarantine.hpp"

#include <deque>
#include <functional>

namespace buckthornrail::gateway {

/// Number of a call at this gateway. Never 0.
using call_number = std::uint64_t;

struct crash_watch_options {
    /// A request is no suspect when it has run for this long since its first event. Requests that crash a target do so
    /// as they start, and a target starts dozens of requests within a second.
    milliseconds suspectFor { 500 };
    /// A call whose connection was lost waits this long for the result of a probe of its target. A refused connection
    /// is reported within a round trip.
    milliseconds probeTimeout { 60 };
    /// Lost attempts are kept this long: the restart of a target that returns at once is detected by its next
    /// heartbeat.
    milliseconds lostTtl { 3000 };
    std::size_t maxLost = 1024;
    std::size_t maxSuspects = 256; ///< suspects of one crash; those that started last take precedence
};

/// @brief Tracks attempts from their start until they can no longer be the cause of a crash.
/// @ingroup gateway
class crash_watch {
public:
    using fingerprint_source = std::function<request_fingerprint(call_number)>;

    explicit crash_watch(const crash_watch_options& options = {})
        : m_options(options)
    {
    }

    /// @param parts of its path; the request may crash the target of any part
    void onAttemptOpened(call_number call, const std::vector<selected_part>& parts, steady_time now);
    void onFirstEvent(call_number call, steady_time now);
    /// @brief The connection to the attempt's first target ended before the response was complete.
    /// @return whether the request is a suspect if that target turns out to have crashed
    bool onConnectionLost(call_number call, const request_fingerprint& fingerprint, steady_time now);
    /// @brief The attempt has ended in any other way. Does nothing if it has ended already.
    void onAttemptClosed(call_number call) { m_open.erase(call); }
    /// @return whether the request of an open attempt would be a suspect if its target crashed now
    [[nodiscard]] bool mayHaveCrashedTarget(call_number call, steady_time now) const;
    /// @return whether an attempt of a call lost its connection and the target's state is not known yet
    [[nodiscard]] bool awaitsTargetState(call_number call, steady_time now) const;

    /// @brief The targets at an address have ended. @param replacement the target that uses the address now; empty:
    /// none
    /// @return for each of them, the requests that had just started there
    std::vector<registry::crash_report> onTargetsEnded(const std::string& address,
        const registry::target_incarnation& replacement, const fingerprint_source& fingerprintOf, steady_time now);
    /// @brief The target at an address accepts connections: calls that lost a connection to it need not wait any
    /// longer.
    void onTargetAlive(const std::string& address);

private:
    struct attempt {
        std::vector<selected_part> parts;
        steady_time openedAt {};
        steady_time suspectUntil {}; ///< set at the first event; unlimited before it
        bool hasEvent = false;
    };
    struct lost_attempt {
        call_number call = 0;
        request_fingerprint fingerprint;
        std::vector<selected_part> parts;
        steady_time probeDeadline {};
        steady_time expiresAt {};
    };

    /// @return targets of a path at an address, except for the replacement
    [[nodiscard]] static std::vector<registry::target_incarnation> endedTargets(const std::vector<selected_part>& parts,
        const std::string& address, const registry::target_incarnation& replacement);
    void dropExpired(steady_time now);

    crash_watch_options m_options;
    std::map<call_number, attempt> m_open;
    std::deque<lost_attempt> m_lost;
};

} // namespace buckthornrail::gateway
