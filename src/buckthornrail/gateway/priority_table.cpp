/// @file
/// @brief Numbering of priorities.
#include "buckthornrail/gateway/priority_table.hpp"

#include <algorithm>
#include <set>

namespace buckthornrail::gateway {
namespace {

/// Route priorities of each layered service, from routes that send it a share of their requests.
std::map<std::string, std::set<std::uint32_t>> routePriorities(const route_index& index)
{
    std::set<std::string> layered;
    for (const auto& service : index.rest()->services) {
        if (service.engine && service.engine->layers > 0)
            layered.insert(service.name);
    }
    std::map<std::string, std::set<std::uint32_t>> priorities;
    index.forEachRoute([&](const route& route) {
        for (const auto& share : route.services) {
            if (share.weight > 0 && layered.contains(share.service))
                priorities[share.service].insert(route.priority);
        }
    });
    return priorities;
}

std::set<std::optional<std::uint32_t>> workspacePriorities(const route_index& index)
{
    std::set<std::optional<std::uint32_t>> priorities { std::nullopt }; // of requests on public routes
    index.forEachWorkspace([&](const workspace_keys& workspace) { priorities.insert(workspace.priority); });
    return priorities;
}

} // namespace

priority_table::priority_table(const route_index& index)
{
    const auto workspaces = workspacePriorities(index);
    for (const auto& [service, routes] : routePriorities(index)) {
        if (routes.size() < 2)
            continue;
        std::set<rank> ranks;
        for (const auto route : routes) {
            for (const auto& workspace : workspaces)
                ranks.insert({ workspace.value_or(route), route });
        }
        m_services[service].assign(ranks.begin(), ranks.end());
    }
}

std::optional<std::uint32_t> priority_table::priorityOf(
    const std::string& service, const route& route, const workspace_keys* workspace) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto& ranks = found->second;
    const auto first = workspace == nullptr ? route.priority : workspace->priority.value_or(route.priority);
    const auto position = std::lower_bound(ranks.begin(), ranks.end(), rank { first, route.priority }) - ranks.begin();
    return std::min(static_cast<std::uint32_t>(position), lowestPriority);
}

std::map<std::string, std::vector<std::uint32_t>> priority_table::priorities() const
{
    std::map<std::string, std::vector<std::uint32_t>> result;
    for (const auto& [service, ranks] : m_services) {
        auto& numbers = result[service];
        for (std::uint32_t number = 0; number < ranks.size() && number <= lowestPriority; ++number)
            numbers.push_back(number);
    }
    return result;
}

} // namespace buckthornrail::gateway
