/// @file
/// @brief Load that gateways put on targets, exchanged through the controllers.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

#include <span>

namespace buckthornrail::registry {

/// Key-value memory that open attempts need at each target of a target table, in the table's order. The unit is a
/// thousand tokens times layers, which keeps messages small: 58 targets take about 100 bytes.
using target_loads = std::vector<std::uint32_t>;

/// Larger target tables are left out of load reports, since each of the messages, one per gateway, would grow with
/// them.
inline constexpr std::size_t maxTargetsInLoadReport = 400;

/// @brief Totals of the loads that sessions reported last. Soft state: it is empty on a new leader.
/// @ingroup registry
class load_table {
public:
    /// @brief Replaces a session's loads. Has no effect when their number differs from the table's or the table is too
    /// large.
    /// @param session number of the session
    /// @param table targets that the loads refer to
    /// @param loads one value per target, see target_loads
    void update(std::uint64_t session, const target_table& table, std::span<const std::uint32_t> loads);
    /// @brief Removes a session's loads.
    void remove(std::uint64_t session);
    /// @return the loads of all other sessions at the table's targets; empty when the table is too large
    [[nodiscard]] target_loads othersOf(std::uint64_t session, const target_table& table) const;

private:
    /// By target id, since positions in the target table change when targets come and go.
    using loads_by_id = std::map<std::string, std::uint64_t>;

    std::map<std::uint64_t, loads_by_id> m_sessions;
    loads_by_id m_total;
};

} // namespace buckthornrail::registry
