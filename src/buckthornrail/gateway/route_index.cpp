/// @file
/// @brief Look-up of routes and keys, and incremental changes.
#include "buckthornrail/gateway/route_index.hpp"

#include <algorithm>

namespace buckthornrail::gateway {

using document::entry_hash;

namespace {

std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

tl::unexpected<failure> mismatch(const std::string& reason)
{
    return tl::make_unexpected(failure { result_code::MalformedMessage, "document change: " + reason });
}

template <typename Table> bool containsAll(const Table& table, const std::vector<entry_hash>& hashes)
{
    return std::all_of(hashes.begin(), hashes.end(), [&table](entry_hash hash) { return table.contains(hash); });
}

} // namespace

route_index::route_index(route_document whole)
    : m_version(whole.version)
{
    auto rest = std::make_shared<document_rest>();
    rest->services = std::move(whole.services);
    rest->limits = whole.limits;
    rest->needsKeys = whole.needsKeys;
    m_rest = std::move(rest);
    // No change is ever applied to such an index, so any unique numbers do as hashes.
    entry_hash number = 0;
    for (auto& entry : whole.routes)
        add({ ++number, std::make_shared<route>(std::move(entry)) });
    for (auto& entry : whole.workspaces)
        add({ ++number, std::make_shared<workspace_keys>(std::move(entry)) });
}

tl::expected<void, failure> route_index::check(const decoded_change& change) const
{
    if (change.from != m_version) {
        return mismatch(
            "it is based on version " + std::to_string(change.from) + ", current is " + std::to_string(m_version));
    }
    if (!containsAll(m_routes, change.removedRoutes) || !containsAll(m_workspaces, change.removedWorkspaces))
        return mismatch("it removes entries that are not in the document");
    document::content_digest digest = m_digest;
    for (const auto hash : change.removedRoutes)
        digest.remove(hash);
    for (const auto hash : change.removedWorkspaces)
        digest.remove(hash);
    for (const auto& entry : change.routes)
        digest.add(entry.hash);
    for (const auto& entry : change.workspaces)
        digest.add(entry.hash);
    if (change.rest) {
        digest.remove(m_restHash);
        digest.add(change.restHash);
    }
    if (digest.sum() != change.digest)
        return mismatch("version " + std::to_string(change.to) + " would have a digest other than the announced one");
    return {};
}

tl::expected<void, failure> route_index::apply(const decoded_change& change)
{
    if (auto checked = check(change); !checked)
        return checked;
    for (const auto hash : change.removedRoutes)
        removeRoute(hash);
    for (const auto hash : change.removedWorkspaces)
        removeWorkspace(hash);
    addEntries(change);
    m_version = change.to;
    return {};
}

void route_index::addEntries(const decoded_change& part)
{
    for (const auto& entry : part.routes)
        add(entry);
    for (const auto& entry : part.workspaces)
        add(entry);
    if (!part.rest)
        return;
    m_digest.remove(m_restHash);
    m_digest.add(part.restHash);
    m_rest = part.rest;
    m_restHash = part.restHash;
}

tl::expected<void, failure> route_index::finalize(std::uint64_t version, std::uint64_t digest)
{
    if (m_digest.sum() != digest)
        return mismatch("version " + std::to_string(version) + " has a digest other than that of the received entries");
    m_version = version;
    return {};
}

void route_index::add(const decoded_entry<route>& entry)
{
    if (!m_routes.emplace(entry.hash, entry.value).second)
        return;
    m_digest.add(entry.hash);
    auto& host = m_byHost[entry.value->host];
    ++host.lengths[entry.value->pathPrefix.size()];
    host.byPrefix.emplace(entry.value->pathPrefix, entry.value);
}

void route_index::removeRoute(entry_hash hash)
{
    const auto found = m_routes.find(hash);
    if (found == m_routes.end())
        return; // a corrupt change lists it twice
    const route_pointer removed = found->second;
    m_routes.erase(found);
    m_digest.remove(hash);
    const auto host = m_byHost.find(removed->host);
    host->second.byPrefix.erase(removed->pathPrefix);
    const auto length = host->second.lengths.find(removed->pathPrefix.size());
    if (--length->second == 0)
        host->second.lengths.erase(length);
    if (host->second.byPrefix.empty())
        m_byHost.erase(host);
}

void route_index::add(const decoded_entry<workspace_keys>& entry)
{
    if (!m_workspaces.emplace(entry.hash, entry.value).second)
        return;
    m_digest.add(entry.hash);
    for (const auto& key : entry.value->keys)
        m_byKey.emplace(key, entry.value);
}

void route_index::removeWorkspace(entry_hash hash)
{
    const auto found = m_workspaces.find(hash);
    if (found == m_workspaces.end())
        return; // a corrupt change lists it twice
    const workspace_pointer removed = found->second;
    m_workspaces.erase(found);
    m_digest.remove(hash);
    for (const auto& key : removed->keys) {
        const auto [begin, end] = m_byKey.equal_range(key);
        const auto entry = std::find_if(begin, end, [&removed](const auto& item) { return item.second == removed; });
        if (entry != end)
            m_byKey.erase(entry);
    }
}

route_pointer route_index::find(std::string_view host, std::string_view target) const
{
    const auto known = m_byHost.find(withoutPort(host));
    if (known == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const auto& [length, count] : known->second.lengths) {
        if (length > path.size())
            continue;
        const auto found = known->second.byPrefix.find(path.substr(0, length));
        if (found != known->second.byPrefix.end())
            return found->second;
    }
    return nullptr;
}

workspace_pointer route_index::findWorkspace(std::string_view key) const
{
    const auto known = m_byKey.find(key);
    return known == m_byKey.end() ? nullptr : known->second;
}

void route_index::forEachRoute(const std::function<void(const route&)>& visit) const
{
    for (const auto& [name, host] : m_byHost) {
        for (const auto& [prefix, entry] : host.byPrefix)
            visit(*entry);
    }
}

void route_index::forEachWorkspace(const std::function<void(const workspace_keys&)>& visit) const
{
    for (const auto& [key, entry] : m_byKey)
        visit(*entry);
}

} // namespace buckthornrail::gateway
