/// @file
/// @brief Tracks which requests had just started on a target when it crashed. Does no I/O.
#pragma once

#include "buckthornrail/gateway/sound_parts.hpp"
#include "buckthornrail/gateway/target_pool.hpp"
#include "buckthornrail/registry/quarantine.hpp"

#include <deque>
#include <functional>
#include <set>

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
    sound_parts_options parts;
};

/// @brief Tracks attempts from their start until they can no longer be the cause of a crash.
/// @ingroup gateway
class crash_watch {
public:
    using fingerprint_source = std::function<request_fingerprint(call_number)>;

    explicit crash_watch(const crash_watch_options& options = {})
        : m_options(options)
        , m_soundParts(options.parts)
    {
    }

    /// @param parts of its path; the request may crash the target of any part
    /// @param promptParts fingerprints of the parts of its prompt that other requests may have too
    void onAttemptOpened(call_number call, const std::vector<selected_part>& parts, steady_time now,
        std::vector<request_fingerprint> promptParts = {});
    void onFirstEvent(call_number call, steady_time now);
    /// @brief Checks whether an open attempt has outlived the time in which its request could crash its target. From
    /// then on the request is no suspect, also not in later attempts, and counts as a sound one with its parts.
    /// @param isComplete whether the response is complete, which shows the same
    /// @return when the response began, the first time that the attempt is found to have outlived that time
    std::optional<steady_time> takeSurvival(call_number call, bool isComplete, steady_time now);
    /// @brief The call is over.
    void forgetCall(call_number call);
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
    /// @brief Sets the number of gateways, each of which reports the requests that had begun through it.
    void setGatewayCount(std::size_t count) { m_gatewayCount = count; }
    /// @brief The target at an address accepts connections: calls that lost a connection to it need not wait any
    /// longer.
    void onTargetAlive(const std::string& address);

private:
    struct attempt {
        std::vector<selected_part> parts;
        std::vector<request_fingerprint> promptParts;
        steady_time openedAt {};
        steady_time firstEventAt {};
        steady_time suspectUntil {}; ///< set at the first event; unlimited before it
        bool hasEvent = false;
    };
    struct lost_attempt {
        call_number call = 0;
        request_fingerprint fingerprint;
        std::vector<selected_part> parts;
        std::vector<request_fingerprint> promptParts;
        steady_time probeDeadline {};
        steady_time expiresAt {};
    };

    /// @return targets of a path at an address, except for the replacement
    [[nodiscard]] static std::vector<registry::target_incarnation> endedTargets(const std::vector<selected_part>& parts,
        const std::string& address, const registry::target_incarnation& replacement);
    /// Parts of the prompts of open attempts at targets that haven't crashed.
    struct open_parts {
        std::size_t attempts = 0;
        std::map<request_fingerprint, std::size_t> attemptsWith;
    };
    [[nodiscard]] open_parts partsOpenElsewhere(const std::string& crashedAddress) const;
    /// @param requests that had begun at the crashed target, over all gateways
    [[nodiscard]] std::vector<registry::suspect_part> suspectPartsOf(
        const std::vector<request_fingerprint>& promptParts, const open_parts& elsewhere, double requests) const;
    void dropExpired(steady_time now);

    crash_watch_options m_options;
    sound_parts m_soundParts;
    std::size_t m_gatewayCount = 1;
    std::set<call_number> m_soundCalls; ///< calls in progress whose requests crash no target
    std::map<call_number, attempt> m_open;
    std::deque<lost_attempt> m_lost;
};

} // namespace buckthornrail::gateway
