/// @file
/// @brief Checking documents and finding routes.
#include "buckthornrail/gateway/route_document.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace buckthornrail::gateway {
namespace {

tl::unexpected<failure> invalid(const std::string& reason)
{
    return tl::make_unexpected(failure { result_code::InvalidDocument, reason });
}

std::uint64_t totalWeight(const route& one)
{
    return std::accumulate(one.services.begin(), one.services.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const service_share& share) { return sum + share.weight; });
}

std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

tl::expected<void, failure> checkRoute(const route& one, const std::set<std::string_view>& services)
{
    if (one.longestWait.count() <= 0)
        return invalid("route " + one.name + " leaves no time to answer");
    if (totalWeight(one) == 0)
        return invalid("route " + one.name + ": the weights add up to 0");
    for (const auto& share : one.services) {
        if (!services.contains(share.service))
            return invalid("route " + one.name + " names the unknown service " + share.service);
    }
    return {};
}

} // namespace

tl::expected<void, failure> checkDocument(const route_document& document)
{
    std::set<std::string_view> services;
    for (const auto& one : document.services)
        services.insert(one.name);
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const auto& one : document.routes) {
        if (auto checked = checkRoute(one, services); !checked)
            return checked;
        if (!places.emplace(one.host, one.pathPrefix).second)
            return invalid("route " + one.name + " shares its host and prefix with another one");
    }
    std::map<std::string_view, std::string_view> holders;
    for (const auto& one : document.workspaces) {
        for (const auto& key : one.keys) {
            const auto [known, isNew] = holders.emplace(key, one.workspace);
            if (!isNew && known->second != one.workspace)
                return invalid("workspaces " + one.workspace + " and " + std::string(known->second) + " share a key");
        }
    }
    return {};
}

route_index::route_index(route_document document)
    : m_document(std::move(document))
{
    for (const auto& one : m_document.routes)
        m_byHost[one.host].push_back(&one);
    for (auto& [host, routes] : m_byHost) {
        std::sort(routes.begin(), routes.end(),
            [](const route* a, const route* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const auto& one : m_document.workspaces) {
        for (const auto& key : one.keys)
            m_byKey.emplace(key, &one);
    }
}

const route* route_index::find(std::string_view host, std::string_view target) const
{
    const auto known = m_byHost.find(withoutPort(host));
    if (known == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const auto* one : known->second) {
        if (path.starts_with(one->pathPrefix))
            return one;
    }
    return nullptr;
}

const workspace_keys* route_index::holderOf(std::string_view key) const
{
    const auto known = m_byKey.find(key);
    return known == m_byKey.end() ? nullptr : known->second;
}

const service* route_index::findService(std::string_view name) const
{
    const auto known = std::find_if(m_document.services.begin(), m_document.services.end(),
        [name](const service& one) { return one.name == name; });
    return known == m_document.services.end() ? nullptr : &*known;
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
