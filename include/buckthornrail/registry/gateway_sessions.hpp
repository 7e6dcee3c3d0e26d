/// @file
/// @brief What gateways tell of their work and are told of each other's, with their sessions spread over all
/// controllers.
///
/// Controllers that follow report to the leader in sums; the leader answers with the sums of all others. So a
/// gateway's heartbeat costs the controller that it has its session with, and no other.
#pragma once

#include "buckthornrail/registry/gateway_table.hpp"
#include "buckthornrail/registry/limit_table.hpp"
#include "buckthornrail/registry/load_table.hpp"

namespace buckthornrail::registry {

/// A gateway's session, or a link to a member, at one controller. Never 0.
using session_number = std::uint64_t;

/// A gateway's heartbeat, as far as other gateways have to do with it.
struct gateway_heartbeat {
    gateway_usage usage;
    std::uint32_t openAttempts = 0; ///< under way at targets
    std::uint64_t targetRevision = 0; ///< of the table that `loads` fits
    target_loads loads;
};

/// Sums over some sessions.
struct session_totals {
    std::uint32_t gateways = 0;
    std::uint32_t openAttempts = 0;
    std::uint64_t targetRevision = 0; ///< of the table that `loads` fits
    target_loads loads; ///< empty: not told
};

/// A controller that follows, to the leader.
struct member_report {
    std::uint64_t sequence = 0;
    session_totals sums; ///< of all its sessions
    std::vector<gateway_usage> lives; ///< heard since the last report, or in one that was never answered
};

/// What earlier processes of a gateway had spent; see gateway_table::earlierRetries.
struct earlier_retries {
    std::string gateway;
    retry_counts spent;
};

/// Which one of the gateways counted a gateway is.
struct gateway_ordinal {
    std::string gateway;
    std::uint32_t ordinal = 0;
};

/// The leader's answer.
struct fleet_report {
    std::uint64_t answers = 0; ///< sequence of the report
    session_totals others; ///< all sessions but those of the controller that reported
    std::uint32_t budgetSharers = 0; ///< gateways that may have spent of the budget of repeats; 0: not known yet
    std::vector<earlier_retries> earlier; ///< for those lives in the report that asked
    std::vector<gateway_ordinal> ordinals; ///< of all lives in the report, among the sharers
    std::vector<limit_report> limits; ///< that the controller lacks
};

/// What one gateway is told of the others.
struct fleet_summary {
    std::uint32_t gateways = 1; ///< with a session now, itself included
    std::uint32_t budgetSharers = 0; ///< 0: not known, or not known to include it
    std::optional<std::uint32_t> ordinal; ///< which one of the sharers it is; nothing: not known
    std::optional<retry_counts> earlier; ///< spent by processes before it; nothing: not known, or not wanted
    std::uint32_t othersOpenAttempts = 0;
    target_loads othersLoads; ///< empty: not told
};

/// @brief Kept by each controller from heartbeats and reports; soft state. Callers pass the time in.
/// @ingroup registry
class gateway_sessions {
public:
    explicit gateway_sessions(const gateway_table_options& gatewayTable = {})
        : m_gatewayTable(gatewayTable)
    {
    }

    /// @brief This controller begins to lead, or leads no more.
    void begin(bool leads, steady_time now);
    void recordHeartbeat(
        session_number session, const gateway_heartbeat& heartbeat, const target_table& table, steady_time now);
    /// @brief A session or a link to a member has ended.
    void forget(session_number session);

    /// @brief What a controller that follows tells the leader.
    [[nodiscard]] member_report report(const target_table& table);
    /// @brief At the leader: takes a member's report. @param member number of the link that it came over
    [[nodiscard]] fleet_report answer(
        session_number member, const member_report& report, const target_table& table, steady_time now);
    /// @brief At the member: takes the leader's answer.
    void applyLeaderAnswer(const fleet_report& answer, const target_table& table);

    /// @brief What a gateway is told. @param session one that was heard
    [[nodiscard]] fleet_summary summaryFor(session_number session, const target_table& table, steady_time now) const;

private:
    struct gateway_entry {
        gateway_heartbeat heartbeat;
        bool isUnreported = false; ///< heard since the last report
        std::uint64_t reportedIn = 0; ///< first report with its life that may have been answered; 0: none yet
        std::optional<retry_counts> earlier; ///< as the leader answered for that life
        std::optional<std::uint32_t> ordinal; ///< the same
    };

    /// @return sums of the sessions here, without loads
    [[nodiscard]] session_totals ownSums() const;
    [[nodiscard]] bool isCounted(const gateway_entry& one) const;

    bool m_leads = false;
    std::map<session_number, gateway_entry> m_sessions;
    std::uint32_t m_openAttempts = 0; ///< of these sessions
    std::map<session_number, session_totals> m_members; ///< at the leader; loads are on the board
    session_totals m_elsewhere; ///< at a member: all other controllers' sessions, as told last
    std::uint32_t m_budgetSharers = 0; ///< at a member, as told last
    std::uint64_t m_reported = 0; ///< sequence of the last report
    std::uint64_t m_answered = 0; ///< highest sequence that was answered
    load_table m_loads; ///< by session, by member, and under `elsewhere`
    gateway_table m_gatewayTable; ///< at the leader
};

} // namespace buckthornrail::registry
