/// @file
/// @brief What gateways tell each other, through the controllers, of their work at targets.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

#include <span>

namespace buckthornrail::registry {

/// Key-value memory that open attempts need at each target of a table, in the table's order and in thousands of tokens
/// times layers: 58 targets take about 100 bytes of a message.
using target_loads = std::vector<std::uint32_t>;

/// Tables of more targets aren't told of: each message would grow with them, and there are as many as gateways.
inline constexpr std::size_t maxTargetsInLoadReport = 400;

/// @brief Sums up what the sessions have told last. Soft state: a new leader has heard nothing yet.
/// @ingroup registry
class load_table {
public:
    /// @brief Replaces what a session told before. A row that doesn't fit the table changes nothing.
    /// @param session number of the session
    void update(std::uint64_t session, const target_table& table, std::span<const std::uint32_t> row);
    void forget(std::uint64_t session);
    /// @brief Work of all other sessions at the table's targets; empty when the table is too large.
    [[nodiscard]] target_loads othersOf(std::uint64_t session, const target_table& table) const;

private:
    /// By id, since the table's order changes with its targets.
    using sums = std::map<std::string, std::uint64_t>;

    std::map<std::uint64_t, sums> m_told;
    sums m_total;
};

} // namespace buckthornrail::registry
