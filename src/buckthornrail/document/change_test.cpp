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

outline outlineOf(std::uint64_t number, const version& one)
{
    outline result;
    result.version = number;
    result.routes.assign(one.routes.begin(), one.routes.end());
    result.workspaces.assign(one.workspaces.begin(), one.workspaces.end());
    result.rest = one.rest;
    return result;
}

/// Applies slices to entries held by hash.
struct receiver {
    std::map<entry_hash, std::string> routes;
    std::map<entry_hash, std::string> workspaces;
    std::string rest;

    static void take(std::map<entry_hash, std::string>& held, const entry_changes& changes)
    {
        for (const auto hash : changes.removed)
            RC_ASSERT(held.erase(hash) == 1U);
        for (const auto& text : changes.added)
            RC_ASSERT(held.emplace(hashOf(text), text).second);
    }

    void take(const std::vector<change_slice>& slices)
    {
        for (const auto& one : slices) {
            take(routes, one.part.routes);
            take(workspaces, one.part.workspaces);
            if (!one.part.rest.empty())
                rest = one.part.rest;
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

std::set<std::string> textsOf(const std::map<entry_hash, std::string>& held)
{
    std::set<std::string> texts;
    for (const auto& [hash, text] : held)
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
        receiver held;
        const auto versions = *rc::gen::inRange(1, 8);
        for (int number = 1; number <= versions; ++number) {
            const version next { *entries, *entries, "{" + std::to_string(*rc::gen::inRange(0, 3)) + "}" };
            const auto slices = sender.advanceTo(outlineOf(static_cast<std::uint64_t>(number), next));
            held.take(slices);
            RC_ASSERT(textsOf(held.routes) == std::set<std::string>(next.routes.begin(), next.routes.end()));
            RC_ASSERT(
                textsOf(held.workspaces) == std::set<std::string>(next.workspaces.begin(), next.workspaces.end()));
            RC_ASSERT(held.rest == next.rest);
            RC_ASSERT(slices.back().digest == held.digest());
        }
    });
}

TEST_CASE("document change: a change of one entry out of ten thousand is one slice", "[document]")
{
    version before;
    for (int at = 0; at < 10'000; ++at)
        before.routes.push_back("route " + std::to_string(at));
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
    for (int at = 0; at < 2000; ++at) {
        std::string entry = std::to_string(at);
        entry.resize(entryBytes, '.');
        whole.routes.push_back(entry);
    }
    whole.workspaces = { std::string(bound * 2, 'w'), "small" }; // an entry above the limit has its own slice
    const auto slices = slicesOf(outlineOf(7, whole));
    std::size_t entries = 0;
    for (std::size_t at = 0; at < slices.size(); ++at) {
        const auto& one = slices[at];
        CHECK(one.number == at);
        CHECK(one.count == slices.size());
        CHECK(one.from == 0);
        CHECK(one.to == 7);
        std::size_t bytes = 0;
        for (const auto* kind : { &one.part.routes, &one.part.workspaces }) {
            for (const auto& text : kind->added)
                bytes += text.size();
            entries += kind->added.size();
        }
        CHECK((bytes <= bound || one.part.workspaces.added.size() == 1));
    }
    CHECK(entries == 2002);
    CHECK(slices.size() < 25);
}
