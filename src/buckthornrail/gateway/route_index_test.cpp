/// @file
/// @brief Look-ups and incremental changes of the route index.
#include "buckthornrail/gateway/route_index.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>

using namespace buckthornrail;
using namespace buckthornrail::gateway;
using document::entry_hash;

namespace {

std::shared_ptr<const route> routeAt(const std::string& host, const std::string& prefix, const std::string& name)
{
    route added;
    added.name = name;
    added.host = host;
    added.pathPrefix = prefix;
    return std::make_shared<const route>(added);
}

std::shared_ptr<const workspace_keys> workspaceOf(const std::string& name, std::vector<std::string> keys)
{
    return std::make_shared<const workspace_keys>(workspace_keys { name, std::move(keys), std::nullopt });
}

/// Builds changes to an index and keeps the digest up to date.
class change_maker {
public:
    decoded_change begin(std::uint64_t from, std::uint64_t to)
    {
        decoded_change change;
        change.from = from;
        change.to = to;
        return change;
    }

    void add(decoded_change& change, entry_hash hash, std::shared_ptr<const route> value)
    {
        change.routes.push_back({ hash, std::move(value) });
        m_digest.add(hash);
    }

    void add(decoded_change& change, entry_hash hash, std::shared_ptr<const workspace_keys> value)
    {
        change.workspaces.push_back({ hash, std::move(value) });
        m_digest.add(hash);
    }

    void removeRoute(decoded_change& change, entry_hash hash)
    {
        change.removedRoutes.push_back(hash);
        m_digest.remove(hash);
    }

    void removeWorkspace(decoded_change& change, entry_hash hash)
    {
        change.removedWorkspaces.push_back(hash);
        m_digest.remove(hash);
    }

    decoded_change end(decoded_change change) const
    {
        change.digest = m_digest.sum();
        return change;
    }

private:
    document::content_digest m_digest;
};

} // namespace

TEST_CASE("route index: a change adds, replaces and removes entries; returned entries stay valid", "[gateway]")
{
    change_maker maker;
    route_index index;
    auto first = maker.begin(0, 5);
    maker.add(first, 1, routeAt("h", "/a/", "old"));
    maker.add(first, 2, routeAt("h", "/a/b/", "deep"));
    maker.add(first, 3, workspaceOf("w", { "k1", "k2" }));
    REQUIRE(index.apply(maker.end(first)));
    const auto earlier = index.find("h", "/a/x");
    REQUIRE(earlier);
    CHECK(earlier->name == "old");

    auto second = maker.begin(5, 9);
    maker.removeRoute(second, 1);
    maker.add(second, 4, routeAt("h", "/a/", "new"));
    maker.removeRoute(second, 2);
    maker.removeWorkspace(second, 3);
    maker.add(second, 5, workspaceOf("w", { "k2" }));
    REQUIRE(index.apply(maker.end(second)));
    CHECK(index.version() == 9);
    CHECK(index.find("h", "/a/b/x")->name == "new");
    CHECK(index.findWorkspace("k1") == nullptr);
    CHECK(index.findWorkspace("k2")->workspace == "w");
    CHECK(index.routeCount() == 1);
    CHECK(earlier->name == "old");
}

TEST_CASE("route index: a change that doesn't match is rejected and has no effect", "[gateway]")
{
    change_maker maker;
    route_index index;
    auto first = maker.begin(0, 5);
    maker.add(first, 1, routeAt("h", "/a/", "r"));
    REQUIRE(index.apply(maker.end(first)));

    change_maker other = maker;
    auto wrong = other.begin(5, 6);
    SECTION("other base version") { wrong.from = 4; }
    SECTION("removes an unknown entry") { other.removeRoute(wrong, 77); }
    SECTION("lacks an entry of its version")
    {
        auto ignored = other.begin(5, 6);
        other.add(ignored, 8, routeAt("h", "/b/", "missing"));
    }
    SECTION("removes an entry twice") { wrong.removedRoutes = { 1, 1 }; }
    CHECK_FALSE(index.apply(other.end(wrong)));
    CHECK(index.version() == 5);
    CHECK(index.find("h", "/a/x")->name == "r");
}

TEST_CASE("route index: look-ups equal a linear search through all routes", "[gateway]")
{
    rc::prop("any routes", [] {
        const auto parts = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        const auto pathOf = [](const std::vector<int>& names) {
            std::string path = "/";
            for (const int name : names)
                path += std::string(1, static_cast<char>('a' + name)) + "/";
            return path;
        };
        change_maker maker;
        route_index index;
        std::map<std::string, entry_hash> hashByPrefix;
        auto change = maker.begin(0, 1);
        entry_hash next = 0;
        for (const auto& names : *rc::gen::container<std::vector<std::vector<int>>>(parts)) {
            if (!hashByPrefix.emplace(pathOf(names), ++next).second)
                continue;
            maker.add(change, next, routeAt("h", pathOf(names), pathOf(names)));
        }
        RC_ASSERT(index.apply(maker.end(change)).has_value());
        auto removing = maker.begin(1, 2);
        for (auto entry = hashByPrefix.begin(); entry != hashByPrefix.end();) {
            if (*rc::gen::arbitrary<bool>()) {
                ++entry;
                continue;
            }
            maker.removeRoute(removing, entry->second);
            entry = hashByPrefix.erase(entry);
        }
        RC_ASSERT(index.apply(maker.end(removing)).has_value());
        const std::string path = pathOf(*parts) + "x";
        std::optional<std::string> longest;
        for (const auto& [prefix, hash] : hashByPrefix) {
            if (path.starts_with(prefix) && (!longest || prefix.size() > longest->size()))
                longest = prefix;
        }
        const auto found = index.find("h:80", path + "?/q/");
        RC_ASSERT((found != nullptr) == longest.has_value());
        if (found)
            RC_ASSERT(found->name == *longest);
    });
}
