/// @file
/// @brief Which requests had just begun at a target when it ended. Without I/O.
#pragma once

#include "buckthornrail/gateway/target_pool.hpp"
#include "buckthornrail/registry/quarantine.hpp"

#include <deque>
#include <functional>

namespace buckthornrail::gateway {

/// A call at this gateway. Never 0.
using call_number = std::uint64_t;

struct crash_watch_options {
    /// What has run for so long since its first event isn't to blame: a request that ends its target does so as it
    /// begins to run, and a target has begun dozens within any second.
    milliseconds blamedFor { 500 };
    /// An attempt that was cut off waits so long for word whether its target is gone. A connection that is refused
    /// tells within a round trip.
    milliseconds verdictPatience { 60 };
    /// A target that comes back at once is found out by its next heartbeat.
    milliseconds keepLost { 3000 };
    std::size_t mostLost = 1024;
    std::size_t mostBlamed = 256; ///< of one end; those that began last go first
};

/// @brief Follows attempts from when they are opened until they can't be to blame any more.
/// @ingroup gateway
class crash_watch {
public:
    using fingerprint_source = std::function<request_fingerprint(call_number)>;

    explicit crash_watch(const crash_watch_options& options = {})
        : m_options(options)
    {
    }

    /// @param parts of its path; a target of any part may end under it
    void onAttemptOpened(call_number call, const std::vector<selected_part>& parts, steady_time now);
    void onFirstEvent(call_number call, steady_time now);
    /// @brief The connection to the attempt's first target has ended early.
    /// @return whether the attempt may be to blame, if that target is found to have ended
    bool onConnectionLost(call_number call, const request_fingerprint& fingerprint, steady_time now);
    /// @brief The attempt is over in any other way; nothing happens if it is over already.
    void onAttemptClosed(call_number call) { m_open.erase(call); }
    /// @brief Whether an open attempt may be to blame, should its target end now.
    [[nodiscard]] bool mayHaveCrashedTarget(call_number call, steady_time now) const;
    /// @brief Whether an attempt of a call was cut off, and it isn't known yet whether its target has ended.
    [[nodiscard]] bool awaitsVerdict(call_number call, steady_time now) const;

    /// @brief The targets at an address have ended. @param survivor the one that has it now; empty: none
    /// @return for each, what had just begun there
    std::vector<registry::crash_report> onTargetsEnded(const std::string& address,
        const registry::target_incarnation& survivor, const fingerprint_source& fingerprintOf, steady_time now);
    /// @brief The target at an address takes connections: what was cut off there isn't known to have ended it.
    void onTargetAlive(const std::string& address);

private:
    struct attempt {
        std::vector<selected_part> parts;
        steady_time openedAt {};
        steady_time blamedUntil {}; ///< set with the first event; before it there is no end
        bool hasEvent = false;
    };
    struct lost_attempt {
        call_number call = 0;
        request_fingerprint fingerprint;
        std::vector<selected_part> parts;
        steady_time verdictBy {};
        steady_time keepUntil {};
    };

    /// @brief Targets of a path at an address, but the survivor.
    [[nodiscard]] static std::vector<registry::target_incarnation> endedOf(const std::vector<selected_part>& parts,
        const std::string& address, const registry::target_incarnation& survivor);
    void dropOld(steady_time now);

    crash_watch_options m_options;
    std::map<call_number, attempt> m_open;
    std::deque<lost_attempt> m_lost;
};

} // namespace buckthornrail::gateway
