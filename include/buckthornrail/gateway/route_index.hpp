/// @file
/// @brief The document in force as look-up tables, changed in place entry by entry.
#pragma once

#include "buckthornrail/document/change.hpp"
#include "buckthornrail/gateway/route_document.hpp"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace buckthornrail::gateway {

using route_pointer = std::shared_ptr<const route>;
using workspace_pointer = std::shared_ptr<const workspace_keys>;

/// An entry, decoded.
template <typename Entry> struct decoded_entry {
    document::entry_hash hash = 0;
    std::shared_ptr<const Entry> value;
};

/// A change, decoded.
struct decoded_change {
    std::uint64_t from = 0; ///< 0: none; it makes the whole document
    std::uint64_t to = 0;
    std::uint64_t digest = 0; ///< of the document at `to`
    std::vector<document::entry_hash> removedRoutes;
    std::vector<document::entry_hash> removedWorkspaces;
    std::vector<decoded_entry<route>> routes;
    std::vector<decoded_entry<workspace_keys>> workspaces;
    std::shared_ptr<const document_rest> rest; ///< empty: as before
    document::entry_hash restHash = 0; ///< of that
};

/// @brief Routes, keys and services of one version. What it gives out stays whole while others hold it.
class route_index {
public:
    route_index() = default;
    /// @brief A document that was read as a whole.
    explicit route_index(route_document whole);

    /// @brief Takes a change over, whole or not at all.
    /// @return MalformedMessage when it doesn't follow from what is held
    tl::expected<void, failure> apply(const decoded_change& change);
    /// @brief Adds entries to an index that isn't in force yet; nothing is checked.
    void put(const decoded_change& part);
    /// @brief Ends what put() has made.
    /// @return MalformedMessage when the version holds other entries
    tl::expected<void, failure> finalize(std::uint64_t version, std::uint64_t digest);

    /// @brief Route of a host and a path: the longest prefix wins. @param target path, perhaps with a query
    [[nodiscard]] route_pointer find(std::string_view host, std::string_view target) const;
    /// @brief Workspace that holds a key, if any.
    [[nodiscard]] workspace_pointer findWorkspace(std::string_view key) const;

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::shared_ptr<const document_rest>& rest() const { return m_rest; }
    [[nodiscard]] std::size_t routeCount() const { return m_routes.size(); }

private:
    /// Hashes strings and views alike, so that look-ups make no copy.
    struct text_hash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the library asks for this name
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };

    /// Routes of a host. The views are into the routes.
    struct host_routes {
        std::map<std::size_t, std::size_t, std::greater<>> lengths; ///< prefixes by their length, longest first
        std::unordered_map<std::string_view, route_pointer> byPrefix;
    };

    /// @brief Whether a change can be taken over. @return the reason if it can't
    [[nodiscard]] tl::expected<void, failure> check(const decoded_change& change) const;
    void add(const decoded_entry<route>& entry);
    void add(const decoded_entry<workspace_keys>& entry);
    void removeRoute(document::entry_hash hash);
    void removeWorkspace(document::entry_hash hash);

    std::uint64_t m_version = 0;
    document::content_digest m_digest;
    std::shared_ptr<const document_rest> m_rest = std::make_shared<document_rest>();
    document::entry_hash m_restHash = 0;
    std::unordered_map<document::entry_hash, route_pointer> m_routes;
    std::unordered_map<document::entry_hash, workspace_pointer> m_workspaces;
    std::unordered_map<std::string, host_routes, text_hash, std::equal_to<>> m_byHost;
    /// By views into the workspaces. A key may stand twice where one workspace is named twice.
    std::unordered_multimap<std::string_view, workspace_pointer> m_byKey;
};

} // namespace buckthornrail::gateway
