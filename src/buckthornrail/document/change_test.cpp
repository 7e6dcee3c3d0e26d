/// @file
/// @brief Tests of the changes between versions and of their slices.
#include "buckthornrail/document/change.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace buckthornrail::document;

namespace {

/// Texts of a version's entries.
struct version {
    std::vector<std::string> routes;
    std::vector<std::string> workspaces;
    std::string rest = "{}";
};

outline outlineOf(std::uint64_t number, const version& texts)
{
    outline result;
    result.version = number;
    result.routes.assign(texts.routes.begin(), texts.routes.end());
    result.workspaces.assign(texts.workspaces.begin(), texts.workspaces.end());
    result.rest = texts.rest;
    return result;
}

/// Applies slices to entries held by hash.
struct receiver {
    std::map<entry_hash, std::string> routes;
    std::map<entry_hash, std::string> workspaces;
    std::string rest;

    static void take(std::map<entry_hash, std::string>& entries, const entry_changes& changes)
    {
        for (const auto hash : changes.removed)
            RC_ASSERT(entries.erase(hash) == 1U);
        for (const auto& text : changes.added)
            RC_ASSERT(entries.emplace(hashOf(text), text).second);
    }

    void take(const std::vector<change_slice>& slices)
    {
        for (const auto& slice : slices) {
            take(routes, slice.part.routes);
            take(workspaces, slice.part.workspaces);
            if (!slice.part.rest.empty())
                rest = slice.part.rest;
        }
    }

    [[nodiscard]] std::uint64_t digest() const
    {
        content_digest sum;
        for (const auto& [hash, text] : routes)
            sum.add(hash);
        for (const auto& [hash, text] : workspaces)
            sum.add(hash);
        sum.add(hashOf(rest));
        return sum.sum();
    }
};

std::set<std::string> textsOf(const std::map<entry_hash, std::string>& entries)
{
    std::set<std::string> texts;
    for (const auto& [hash, text] : entries)
        texts.insert(text);
    return texts;
}

} // namespace

TEST_CASE("document change: a receiver that applies all slices of a version holds that version", "[document]")
{
    rc::prop("any versions", [] {
        const auto entries = rc::gen::container<std::vector<std::string>>(
            rc::gen::map(rc::gen::inRange(0, 40), [](int name) { return "entry-" + std::to_string(name); }));
        change_tracker sender;
        receiver copy;
        const auto versions = *rc::gen::inRange(1, 8);
        for (int number = 1; number <= versions; ++number) {
            const version next { *entries, *entries, "{" + std::to_string(*rc::gen::inRange(0, 3)) + "}" };
            const auto slices = sender.advanceTo(outlineOf(static_cast<std::uint64_t>(number), next));
            copy.take(slices);
            RC_ASSERT(textsOf(copy.routes) == std::set<std::string>(next.routes.begin(), next.routes.end()));
            RC_ASSERT(
                textsOf(copy.workspaces) == std::set<std::string>(next.workspaces.begin(), next.workspaces.end()));
            RC_ASSERT(copy.rest == next.rest);
            RC_ASSERT(slices.back().digest == copy.digest());
        }
    });
}

TEST_CASE("document change: a change of one entry out of ten thousand is one slice", "[document]")
{
    version before;
    for (int i = 0; i < 10'000; ++i)
        before.routes.push_back("route " + std::to_string(i));
    change_tracker sender;
    sender.advanceTo(outlineOf(1, before));
    version after = before;
    after.routes[4711] = "route 4711, changed";
    const auto slices = sender.advanceTo(outlineOf(2, after));
    REQUIRE(slices.size() == 1);
    CHECK(slices.front().from == 1);
    CHECK(slices.front().to == 2);
    CHECK(slices.front().part.routes.removed == std::vector<entry_hash> { hashOf("route 4711") });
    CHECK(slices.front().part.routes.added == std::vector<std::string> { "route 4711, changed" });
    CHECK(slices.front().part.rest.empty());
}

TEST_CASE("document change: slices are limited in size, numbered, and hold whole entries", "[document]")
{
    constexpr std::size_t entryBytes = 200;
    constexpr std::size_t bound = 24U << 10U;
    version whole;
    for (int i = 0; i < 2000; ++i) {
        std::string entry = std::to_string(i);
        entry.resize(entryBytes, '.');
        whole.routes.push_back(entry);
    }
    whole.workspaces = { std::string(bound * 2, 'w'), "small" }; // an entry above the limit has its own slice
    const auto slices = slicesOf(outlineOf(7, whole));
    std::size_t entries = 0;
    for (std::size_t i = 0; i < slices.size(); ++i) {
        const auto& slice = slices[i];
        CHECK(slice.number == i);
        CHECK(slice.count == slices.size());
        CHECK(slice.from == 0);
        CHECK(slice.to == 7);
        std::size_t bytes = 0;
        for (const auto* kind : { &slice.part.routes, &slice.part.workspaces }) {
            for (const auto& text : kind->added)
                bytes += text.size();
            entries += kind->added.size();
        }
        CHECK((bytes <= bound || slice.part.workspaces.added.size() == 1));
    }
    CHECK(entries == 2002);
    CHECK(slices.size() < 25);
}
