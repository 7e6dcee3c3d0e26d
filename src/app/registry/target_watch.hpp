/// @file
/// @brief Failure detection for targets: announcements renew leases, and a target is probed before it counts as lost.
#pragma once

#include "app/registry/target_backoffs.hpp"
#include "app/shared/process.hpp"
#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "buckthornrail/registry/lease_table.hpp"

#include <map>

namespace buckthornrail::app {

struct target_watch_callbacks {
    std::function<bool()> isLeader;
    std::function<bool(const link::target_heartbeat&)> forwardToLeader; ///< false: the leader is unreachable
    std::function<void(const registry::target_record&)> onLost; ///< the record with its new state
};

/// @brief Runs on a registry's loop thread. Only the leader's leases count.
class target_watch {
public:
    /// @param targets the replicated table; must outlive this object
    /// @param heartbeatPeriod how often targets announce themselves; leases last a few periods
    target_watch(link::event_loop& loop, const gateway::control_dialect& dialect, const registry::target_table& targets,
        target_backoffs& backoffs, milliseconds heartbeatPeriod, target_watch_callbacks callbacks);

    /// @brief Renews the lease of a target that announced itself. An announcement of an earlier incarnation than the
    /// known one, or one that arrives out of order, renews nothing.
    /// @return false when this controller isn't the leader and can't forward the announcement to it
    bool onAnnouncement(const std::string& targetId, const registry::announcement_order& order);
    /// @brief Probes a target at once that a gateway reports as unreachable, if the incarnation is the known one.
    void probeUnreachable(const registry::target_incarnation& target);
    /// @brief Probes a target that announces an earlier start than that of the known incarnation, which is gone or
    /// lost. The announcement may be late, or the target may be alive and its clock have been set back.
    /// @param onAlive called with the record when the target responds
    void verifyEarlierStart(
        const registry::target_record& record, std::function<void(const registry::target_record&)> onAlive);
    /// @brief Probes targets whose leases have expired.
    void probeExpired(steady_time now);
    /// @brief Drops all leases, so that every target gets a full new one. For a change of leader, or after this process
    /// has stalled.
    void resetLeases();

private:
    [[nodiscard]] steady_time nextLeaseDeadline() const;
    /// @brief Begins leases for targets that are new in the table.
    void startNewLeases();
    void probe(const registry::target_record& record);
    void onProbed(
        const registry::target_incarnation& probed, net::call_outcome outcome, const net::whole_response& response);
    /// @brief Whether a response comes from this incarnation of a target.
    [[nodiscard]] bool isResponseFrom(const registry::target_incarnation& probed, net::call_outcome outcome,
        const net::whole_response& response) const;
    void markLost(const registry::target_incarnation& target);

    link::event_loop& m_loop;
    const gateway::control_dialect& m_dialect;
    const registry::target_table& m_targets;
    target_backoffs& m_backoffs;
    milliseconds m_heartbeatPeriod;
    target_watch_callbacks m_callbacks;
    /// By target id: only one incarnation is known at a time, and a later one begins with a full lease.
    registry::lease_table m_leases;
    std::optional<std::uint64_t> m_leasedRevision; ///< table revision up to which leases have been started
    std::map<std::string, registry::announcement_order> m_newestAnnouncements; ///< by target id
    std::map<registry::target_incarnation, std::shared_ptr<net::http_call>> m_probes; ///< in flight
    std::map<registry::target_incarnation, std::shared_ptr<net::http_call>> m_verifications; ///< in flight
};

} // namespace buckthornrail::app
