/// @file
/// @brief Which targets are still there: leases renewed by announcements, and a question before one counts as lost.
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
    std::function<bool(const link::target_heard&)> tellLeader; ///< false: it can't be reached
    std::function<void(const registry::target_record&)> lost; ///< the record as it should be
};

/// @brief Lives on the loop thread of a registry. Only the leader's leases count.
class target_watch {
public:
    target_watch(link::event_loop& loop, const gateway::control_dialect& dialect, const registry::target_table& targets,
        target_backoffs& rests, milliseconds heartbeatPeriod, target_watch_callbacks callbacks);

    /// @brief A target has announced itself. An announcement of a life before the one known, or a late one, renews
    /// nothing. @return false when this isn't the leader and can't tell it
    bool heard(const std::string& targetId, const registry::announcement_order& order);
    /// @brief A gateway calls a life of a target dark: it is asked at once, if it is the one known.
    void suspect(const registry::target_incarnation& target);
    /// @brief Asks whether a target lives that announces an earlier start than the life known, which is over.
    /// @param answered called with the record when it does
    void verify(const registry::target_record& record, std::function<void(const registry::target_record&)> answered);
    /// @brief Asks targets whose leases have ended.
    void step(steady_time now);
    /// @brief The leader has changed: leases begin anew.
    void forget();

private:
    [[nodiscard]] steady_time nextLeaseEnd() const;
    /// @brief Begins leases for targets that have come since.
    void followTable();
    void probe(const registry::target_record& record);
    void onProbed(
        const registry::target_incarnation& asked, net::call_outcome outcome, const net::whole_response& response);
    /// @brief Whether a response comes from a life of a target.
    [[nodiscard]] bool isAnswerOf(const registry::target_incarnation& asked, net::call_outcome outcome,
        const net::whole_response& response) const;
    void lose(const registry::target_incarnation& target);

    link::event_loop& m_loop;
    const gateway::control_dialect& m_dialect;
    const registry::target_table& m_targets;
    target_backoffs& m_rests;
    milliseconds m_heartbeatPeriod;
    target_watch_callbacks m_callbacks;
    /// By id: there is one life under it, and a later one begins with a whole lease.
    registry::lease_table m_leases;
    std::optional<std::uint64_t> m_followedRevision; ///< of the table, when leases were last begun for it
    std::map<std::string, registry::announcement_order> m_newest; ///< announcement heard
    std::map<registry::target_incarnation, std::shared_ptr<net::http_call>> m_probes; ///< under way
    std::map<registry::target_incarnation, std::shared_ptr<net::http_call>> m_verifications; ///< the same
};

} // namespace buckthornrail::app
