/// @file
/// @brief Look-up tables of the document in force, updated incrementally.
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

/// A decoded entry of a document and the hash of its encoded form.
template <typename Entry> struct decoded_entry {
    document::entry_hash hash = 0;
    std::shared_ptr<const Entry> value;
};

/// A decoded change from one version of a document to another.
struct decoded_change {
    std::uint64_t from = 0; ///< base version; 0: none, the change holds the whole document
    std::uint64_t to = 0; ///< resulting version
    std::uint64_t digest = 0; ///< of all entries at version `to`
    std::vector<document::entry_hash> removedRoutes;
    std::vector<document::entry_hash> removedWorkspaces;
    std::vector<decoded_entry<route>> routes;
    std::vector<decoded_entry<workspace_keys>> workspaces;
    std::shared_ptr<const document_rest> rest; ///< empty: unchanged
    document::entry_hash restHash = 0; ///< of the encoded form of `rest`
};

/// @brief Routes, keys and services of one version. Returned entries are immutable and outlive later changes.
class route_index {
public:
    route_index() = default;
    /// @brief Builds the index of a whole document. No changes can be applied to it.
    explicit route_index(route_document whole);

    /// @brief Applies a change atomically.
    /// @return MalformedMessage when it doesn't match the current version or its entries; nothing is changed then
    tl::expected<void, failure> apply(const decoded_change& change);
    /// @brief Adds entries to an index that is being built, without validation. Call finalize() at the end.
    void addEntries(const decoded_change& part);
    /// @brief Sets the version of an index that addEntries() has built.
    /// @param digest of the version's entries
    /// @return MalformedMessage when the digest of the added entries differs
    tl::expected<void, failure> finalize(std::uint64_t version, std::uint64_t digest);

    /// @brief Finds the route with the longest matching path prefix.
    /// @param host with or without a port
    /// @param target path with an optional query
    /// @return null when no route matches
    [[nodiscard]] route_pointer find(std::string_view host, std::string_view target) const;
    /// @brief Finds the workspace of a key. @return null for an unknown key
    [[nodiscard]] workspace_pointer findWorkspace(std::string_view key) const;

    /// @brief Calls a function with each route.
    void forEachRoute(const std::function<void(const route&)>& visit) const;
    /// @brief Calls a function with the workspace of each key.
    void forEachWorkspace(const std::function<void(const workspace_keys&)>& visit) const;

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::shared_ptr<const document_rest>& rest() const { return m_rest; }
    [[nodiscard]] std::size_t routeCount() const { return m_routes.size(); }

private:
    /// Hashes strings and views alike, so that look-ups don't copy.
    struct text_hash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the standard library requires this name
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };

    /// Routes of a host. The views point into the routes.
    struct host_routes {
        std::map<std::size_t, std::size_t, std::greater<>> lengths; ///< number of prefixes by length, longest first
        std::unordered_map<std::string_view, route_pointer> byPrefix;
    };

    /// @brief Checks whether a change can be applied. @return the reason if it can't
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
    /// The views point into the workspaces. A key may occur twice if a workspace is listed twice.
    std::unordered_multimap<std::string_view, workspace_pointer> m_byKey;
};

} // namespace buckthornrail::gateway
