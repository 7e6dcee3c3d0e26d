/// @file
/// @brief Effective priorities of a document's requests, for services whose routes differ in priority.
#pragma once

#include "buckthornrail/gateway/route_index.hpp"
#include "buckthornrail/registry/demand_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornrail::gateway {

/// Highest number, and thus lowest rank, of an effective priority. Targets accept 0 to 9.
inline constexpr std::uint32_t lowestPriority = registry::maxPrioritiesInDemand - 1;

/// @brief Numbers the priorities of each ranked service from 0, the highest.
///
/// A service is ranked if it has layers and two of its routes have different priorities. Its requests are ordered by
/// the priority of their workspace, or of their route if the workspace has none, and then by that of their route.
class priority_table {
public:
    priority_table() = default;
    /// @brief Numbers the priorities of a document.
    explicit priority_table(const route_index& index);

    [[nodiscard]] bool isRanked(const std::string& service) const { return m_services.contains(service); }
    /// @param workspace of the caller; null: none
    /// @return the effective priority, 0 to lowestPriority; empty for a service that isn't ranked
    [[nodiscard]] std::optional<std::uint32_t> priorityOf(
        const std::string& service, const route& route, const workspace_keys* workspace) const;
    /// @return the priorities in use of each ranked service, in ascending order
    [[nodiscard]] std::map<std::string, std::vector<std::uint32_t>> priorities() const;

private:
    using rank = std::pair<std::uint32_t, std::uint32_t>; ///< of workspace or route, then of the route

    std::map<std::string, std::vector<rank>> m_services; ///< distinct ranks of each ranked service, in order
};

} // namespace buckthornrail::gateway
