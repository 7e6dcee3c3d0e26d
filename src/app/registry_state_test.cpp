/// @file
/// @brief The registry's replicated state: highest version, short updates, snapshots.
#include "app/registry_state.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::app;

TEST_CASE("registry state: the highest version is in force, others change nothing", "[registry]")
{
    registry_state state;
    CHECK(state.applyCommand(encodePublish("1", { 7, "seven" })) == "1");
    CHECK(state.applyCommand(encodePublish("2", { 5, "five" })) == "2");
    CHECK(state.applyCommand(encodePublish("3", { 7, "other" })) == "3");
    CHECK(state.document().version == 7);
    CHECK(state.document().text == "seven");
    CHECK(state.applyCommand("no command").empty());
}

TEST_CASE("registry state: a snapshot holds it all, and an empty one nothing", "[registry]")
{
    registry_state state;
    registry::target_record record;
    record.id = "i-1";
    record.address = "10.0.0.1:80";
    record.layers = { 3, 9 };
    state.applyCommand(encodePublish("1", { 7, "seven" }));
    state.applyCommand(encodeTargets("2", { record }));
    registry_state other;
    REQUIRE(other.restoreState(state.saveState()));
    CHECK(other.document().text == "seven");
    CHECK(other.targets().records() == state.targets().records());
    CHECK(other.targets().revision() == state.targets().revision());
    REQUIRE(other.restoreState(""));
    CHECK(other.document().version == 0);
    CHECK(other.targets().records().empty());
    CHECK_FALSE(other.restoreState("damaged"));
}

TEST_CASE("registry state: an update turns any held text into the newest one", "[registry]")
{
    rc::prop("any texts", [] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
        registry_state state;
        versioned_text held;
        std::uint64_t version = 0;
        for (const auto& text : texts) {
            state.applyCommand(encodePublish(std::to_string(version + 1), { version + 1, text }));
            ++version;
            if (version % 3 == 0)
                continue; // some updates are missed
            for (const auto& update : state.documentUpdate(held.version))
                RC_ASSERT(applyTextUpdate(held, update));
            RC_ASSERT(held.version == version);
            RC_ASSERT(held.text == text);
        }
    });
}

TEST_CASE("registry state: an update that doesn't follow is refused, an old one ignored", "[registry]")
{
    versioned_text held { 3, "abc" };
    CHECK_FALSE(applyTextUpdate(held, { 2, 4, 1, 1, "x" }));
    CHECK_FALSE(applyTextUpdate(held, { 3, 4, 2, 2, "x" }));
    CHECK(applyTextUpdate(held, { 0, 2, 0, 0, "old" }));
    CHECK(held.text == "abc");
    CHECK(applyTextUpdate(held, { 3, 4, 1, 1, "x" }));
    CHECK(held.text == "axc");
}
