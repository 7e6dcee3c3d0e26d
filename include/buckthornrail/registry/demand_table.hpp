/// @file
/// @brief Sums of the demand by priority that gateways report, exchanged through the controllers.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/registry/demand_report.hpp"

#include <map>

namespace buckthornrail::registry {

/// @brief Adds a report to a sum, up to the limits of a report. Sums don't depend on the order of additions; values
/// that exceed 32 bits stay at the highest value.
/// @param sum in order of names and priorities
/// @param more in any order, with rows of the same service or priority added up
void add(demand_report& sum, const demand_report& more);

/// @brief Totals of the demand that sessions reported last. Soft state: it is empty on a new leader.
/// @ingroup registry
class demand_table {
public:
    /// @brief Replaces a session's report. It counts for one second.
    /// @param session number of the session
    /// @param report empty: the session has no demand for ranked services
    void update(std::uint64_t session, const demand_report& report, steady_time now);
    /// @brief Removes a session's report.
    void remove(std::uint64_t session);
    /// @return the sum of all other sessions' reports, without those that are older than one second
    [[nodiscard]] demand_report othersOf(std::uint64_t session, steady_time now) const;

private:
    struct session_entry {
        demand_report report;
        steady_time expiresAt {};
    };
    /// Totals have 64 bits, since a value at the 32-bit limit can't be subtracted again.
    struct rank_totals {
        std::int64_t reports = 0; ///< number of rows in the total
        std::int64_t offeredTokensPerSecond = 0;
        std::int64_t runningTokens = 0;
        std::int64_t waitingTokens = 0;
        std::int64_t promisedTokens = 0;
        std::int64_t dueTokens = 0;
    };
    struct service_totals {
        std::int64_t reports = 0; ///< number of reports in the total
        std::int64_t releasedTokensPerSecond = 0;
        std::map<std::uint32_t, rank_totals> ranks; ///< by priority
    };
    using totals_by_service = std::map<std::string, service_totals>;

    /// @brief Adds a multiple of a report to totals, and removes rows without reports.
    /// @param factor 1 to add the report, -1 to subtract it
    static void accumulate(totals_by_service& totals, const demand_report& report, std::int64_t factor);
    /// @return the report of a total
    [[nodiscard]] static demand_report reportOf(const totals_by_service& totals);

    std::map<std::uint64_t, session_entry> m_sessions;
    /// Of all sessions, also of expired reports. With 390 sessions and two services of three priorities, an update and
    /// othersOf() take 3 to 5 us; adding up all reports took 20 to 37 us.
    totals_by_service m_total;
};

} // namespace buckthornrail::registry
