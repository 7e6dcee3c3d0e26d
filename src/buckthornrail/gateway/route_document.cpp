/// @file
/// @brief Validation of route documents and weighted choice of services.
#include "buckthornrail/gateway/route_document.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace buckthornrail::gateway {
namespace {

tl::unexpected<failure> invalid(const std::string& reason)
{
    return tl::make_unexpected(failure { result_code::InvalidDocument, reason });
}

std::uint64_t totalWeight(const route& route)
{
    return std::accumulate(route.services.begin(), route.services.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const service_share& share) { return sum + share.weight; });
}

tl::expected<void, failure> checkRoute(const route& route, const std::set<std::string_view>& services)
{
    if (route.timeout.count() <= 0)
        return invalid("route " + route.name + ": the timeout must be positive");
    if (totalWeight(route) == 0)
        return invalid("route " + route.name + ": the weights add up to 0");
    for (const auto& share : route.services) {
        if (!services.contains(share.service))
            return invalid("route " + route.name + " names the unknown service " + share.service);
    }
    return {};
}

} // namespace

tl::expected<void, failure> checkDocument(const route_document& document)
{
    std::set<std::string_view> services;
    for (const auto& service : document.services)
        services.insert(service.name);
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const auto& route : document.routes) {
        if (auto checked = checkRoute(route, services); !checked)
            return checked;
        if (!places.emplace(route.host, route.pathPrefix).second)
            return invalid("route " + route.name + " shares its host and prefix with another route");
    }
    std::map<std::string_view, std::string_view> workspaceOfKey;
    for (const auto& workspace : document.workspaces) {
        for (const auto& key : workspace.keys) {
            const auto [known, isNew] = workspaceOfKey.emplace(key, workspace.workspace);
            if (!isNew && known->second != workspace.workspace)
                return invalid(
                    "workspaces " + workspace.workspace + " and " + std::string(known->second) + " share a key");
        }
    }
    return {};
}

const std::string& pickService(const route& route, double draw)
{
    double left = draw * static_cast<double>(totalWeight(route));
    for (const auto& share : route.services) {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return route.services.back().service;
}

} // namespace buckthornrail::gateway
