/// @file
/// @brief Exchange of load, demand and retry usage between gateways whose sessions are spread over all controllers.
///
/// Followers report the totals of their sessions to the leader, which responds with the totals of all other
/// controllers. A gateway's heartbeat is thus processed only by the controller that has its session.
#pragma once

#include "buckthornrail/registry/demand_table.hpp"
#include "buckthornrail/registry/gateway_table.hpp"
#include "buckthornrail/registry/limit_table.hpp"
#include "buckthornrail/registry/load_table.hpp"

namespace buckthornrail::registry {

/// Identifies a gateway's session, or a link to another controller, at one controller. Never 0.
using session_number = std::uint64_t;

/// A gateway's load, demand and use of the retry budget, from its heartbeat.
struct gateway_activity {
    gateway_usage usage;
    std::uint32_t openAttempts = 0; ///< in flight at targets
    std::uint64_t targetRevision = 0; ///< of the target table that `loads` refers to
    target_loads loads;
    demand_report demand;
};

/// Totals over a set of sessions.
struct session_totals {
    std::uint32_t gateways = 0;
    std::uint32_t openAttempts = 0; ///< in flight at targets
    std::uint64_t targetRevision = 0; ///< of the target table that `loads` refers to
    target_loads loads; ///< empty: unknown
    demand_report demand; ///< empty: none, or unknown
};

/// A follower's report to the leader.
struct member_report {
    std::uint64_t sequence = 0;
    session_totals sums; ///< of all its sessions
    std::vector<gateway_usage> lives; ///< gateways with a heartbeat since the last report, or not yet acknowledged
};

/// Retries that earlier processes of a gateway had spent; see gateway_table::earlierRetries.
struct earlier_retries {
    std::string gateway;
    retry_counts spent;
};

/// A gateway's index among the live gateways in order of their ids.
struct gateway_ordinal {
    std::string gateway;
    std::uint32_t ordinal = 0;
};

/// The leader's response to a member_report.
struct fleet_report {
    std::uint64_t reportSequence = 0; ///< of the report that this responds to
    session_totals others; ///< of all sessions except the reporting controller's
    /// Number of live gateways: those that may have spent from the retry budget. 0: unknown.
    std::uint32_t budgetSharers = 0;
    std::vector<earlier_retries> earlier; ///< for the reported gateways whose own count isn't complete, where known
    std::vector<gateway_ordinal> ordinals; ///< of all reported gateways
    std::vector<limit_report> limits; ///< that the controller lacks
};

/// What is sent to a gateway about the others.
struct fleet_summary {
    std::uint32_t gateways = 1; ///< with an open session, including itself
    /// Number of live gateways, among which the retry budget is divided. 0: unknown, or may not include the receiver.
    std::uint32_t budgetSharers = 0;
    std::optional<std::uint32_t> ordinal; ///< its index among the live gateways; nothing: unknown
    std::optional<retry_counts> earlier; ///< retries that its earlier processes spent; nothing: unknown or not needed
    std::uint32_t othersOpenAttempts = 0; ///< in flight at targets
    target_loads othersLoads; ///< empty: unknown
    demand_report othersDemand; ///< empty: none, or unknown
};

/// @brief A controller's gateway sessions and its knowledge of the other controllers' sessions, from heartbeats and
/// reports; soft state. Callers pass the current time in.
/// @ingroup registry
class gateway_sessions {
public:
    explicit gateway_sessions(const gateway_table_options& gatewayTable = {})
        : m_gatewayTable(gatewayTable)
    {
    }

    /// @brief Drops what other controllers reported when this controller becomes the leader or a follower.
    /// @param isLeader whether it is the leader now
    void reset(bool isLeader, steady_time now);
    /// @brief Records a gateway's heartbeat.
    /// @param table current targets; loads that refer to another revision are ignored
    void recordHeartbeat(
        session_number session, const gateway_activity& activity, const target_table& table, steady_time now);
    /// @brief Removes a session, or a link to a member, that has ended.
    void remove(session_number session);

    /// @brief At a follower: makes the next report to the leader.
    [[nodiscard]] member_report report(const target_table& table, steady_time now);
    /// @brief At the leader: records a member's report. @return the response, without limits
    /// @param member number of the link that the report came over
    [[nodiscard]] fleet_report respondTo(
        session_number member, const member_report& report, const target_table& table, steady_time now);
    /// @brief At a follower: applies the leader's response. Outdated responses are ignored.
    void applyLeaderResponse(const fleet_report& response, const target_table& table, steady_time now);

    /// @brief Makes the summary for the gateway of a session.
    /// @param session one with a recorded heartbeat; a default summary is returned otherwise
    [[nodiscard]] fleet_summary summaryFor(session_number session, const target_table& table, steady_time now) const;

private:
    struct gateway_entry {
        gateway_activity activity;
        bool isUnreported = false; ///< has a heartbeat since the last report
        /// Sequence of the report whose response confirms that the leader counts this incarnation. 0: none.
        std::uint64_t reportedIn = 0;
        std::optional<retry_counts> earlier; ///< from the leader's response for this incarnation
        std::optional<std::uint32_t> ordinal; ///< from the leader's response for this incarnation
    };

    struct member_entry {
        std::uint64_t sequence = 0; ///< of the report with these totals
        session_totals totals;
    };

    /// @brief At the leader: records a member's sums, unless they are older than those already recorded.
    void recordSums(session_number member, const member_report& report, const target_table& table, steady_time now);
    /// @return totals of this controller's sessions, without loads and demand
    [[nodiscard]] session_totals ownTotals() const;
    /// @brief Whether the leader has responded to a report with this gateway's incarnation, and so counts it.
    [[nodiscard]] bool isCounted(const gateway_entry& entry) const;

    bool m_isLeader = false;
    std::map<session_number, gateway_entry> m_sessions;
    std::uint32_t m_openAttempts = 0; ///< total of m_sessions
    /// At the leader, by link; their loads are in m_loads and their demand in m_demand.
    std::map<session_number, member_entry> m_members;
    session_totals m_otherControllers; ///< at a follower: all other controllers' sessions, from the last response
    std::uint32_t m_budgetSharers = 0; ///< at a follower, from the last response
    std::uint64_t m_reportSequence = 0; ///< sequence of the last report
    std::uint64_t m_acknowledgedSequence = 0; ///< highest sequence that the leader responded to
    load_table m_loads; ///< by session, by member link, and at a follower under `otherControllers`
    demand_table m_demand; ///< by the same numbers as m_loads
    gateway_table m_gatewayTable; ///< used at the leader
};

} // namespace buckthornrail::registry
