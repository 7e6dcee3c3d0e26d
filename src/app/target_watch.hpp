/// @file
/// @brief Which targets are still there: leases renewed by announcements, and a question before one counts as lost.
#pragma once

#include "app/process.hpp"
#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/net/http_service.hpp"

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
        milliseconds heartbeatPeriod, target_watch_callbacks callbacks);

    /// @brief A target has announced itself. @return false when this isn't the leader and can't tell it
    bool heard(const std::string& targetId, std::uint64_t sequence);
    /// @brief A gateway calls a target dark: it is asked at once.
    void suspect(const std::string& targetId);
    /// @brief Asks targets whose leases have ended.
    void step(steady_time now);
    /// @brief The leader has changed: leases begin anew.
    void forget() { m_leases.clear(); }

private:
    [[nodiscard]] steady_time nextLeaseEnd() const;
    void probe(const registry::target_record& record);
    void lose(const std::string& targetId);

    link::event_loop& m_loop;
    const gateway::control_dialect& m_dialect;
    const registry::target_table& m_targets;
    milliseconds m_heartbeatPeriod;
    target_watch_callbacks m_callbacks;
    std::map<std::string, steady_time> m_leases; ///< end of each, by target
    std::map<std::string, std::uint64_t> m_sequences; ///< of the newest announcement heard
    std::map<std::string, std::shared_ptr<net::http_call>> m_probes; ///< under way
};

} // namespace buckthornrail::app
