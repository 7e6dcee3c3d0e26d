/// @file
/// @brief Validation of documents, conflicting and resent changes, deltas and snapshots.
#include "buckthornrail/configuration/configuration_store.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::configuration;
using nlohmann::json;

namespace {

json validDocument()
{
    return json::parse(R"({
        "workspaces": { "a": { "weight": 2, "max_priority": "high", "max_in_flight": 5 }, "b": {} },
        "models": { "m": { "layers": 8 } },
        "pipelines": { "p": { "model": "m", "versions": [ { "version": "1", "share": 40 },
            { "version": "2", "share": 60 } ], "pools": [ { "pool": "x", "share": 100 } ], "workspaces": [ "a" ],
            "priority": "low" } },
        "services": { "s": { "workspaces": [ "b" ], "non_idempotent": [ { "method": "POST", "path_prefix": "/b" } ] } }
    })");
}

std::string reasonOf(const json& value)
{
    const auto parsed = parseDocument(value.dump());
    return parsed ? std::string() : parsed.error().reason;
}

/// The reason why a document is rejected after one field is replaced.
std::string reasonWith(const std::string& pointer, const json& value)
{
    json changed = validDocument();
    changed[json::json_pointer(pointer)] = value;
    return reasonOf(changed);
}

change_command changeTo(
    const configuration_store& store, const json& document, configuration_version base, const std::string& id)
{
    return { id, base, "test", 0, makePatch(store.text(), formatDocument(*parseDocument(document.dump()))) };
}

json withWorkspaces(int count)
{
    json document = validDocument();
    for (int i = 0; i < count; ++i)
        document["workspaces"]["w" + std::to_string(i)] = json::object();
    return document;
}

} // namespace

TEST_CASE("document: parsing the formatted document yields an equal one", "[configuration]")
{
    const auto parsed = parseDocument(validDocument().dump());
    REQUIRE(parsed);
    CHECK(parsed->pipelines.at("p").versions[1].percent == 60);
    CHECK(parsed->workspaces.at("a").maxPriority == request_priority::High);
    CHECK(parseDocument(formatDocument(*parsed)) == *parsed);
}

TEST_CASE("document: each error names the path of the invalid field", "[configuration]")
{
    CHECK(reasonWith("/pipelines/p/model", "x") == "/pipelines/p/model: model 'x' is not defined");
    CHECK(reasonWith("/pipelines/p/versions/0/share", 41) == "/pipelines/p/versions: shares add up to 101, not 100");
    CHECK(reasonWith("/pipelines/p/versions", json::array())
        == "/pipelines/p/versions: must contain at least one version");
    CHECK(reasonWith("/pipelines/p/versions/1/version", "1") == "/pipelines/p/versions/1/version: is listed twice");
    CHECK(reasonWith("/pipelines/p/workspaces/0", "z") == "/pipelines/p/workspaces/0: workspace 'z' is not defined");
    CHECK(reasonWith("/pipelines/p/priority", "top") == "/pipelines/p/priority: must be one of low, normal, high");
    CHECK(reasonWith("/pipelines/p/colour", 1) == "/pipelines/p/colour: is not a known field");
    CHECK(reasonWith("/models/m/layers", 0) == "/models/m/layers: must be from 1 to 1000");
    CHECK(reasonWith("/models/m/layers", 1e30) == "/models/m/layers: must be a whole number");
    CHECK(reasonWith("/models/m/layers", 18446744073709551615ULL) == "/models/m/layers: must be from 1 to 1000");
    CHECK(reasonWith("/workspaces/a/weight", "2") == "/workspaces/a/weight: must be a whole number");
    CHECK(reasonWith("/workspaces/a", 3) == "/workspaces/a: must be an object");
    CHECK(reasonWith("/workspaces/a b", json::object()).starts_with("/workspaces/a b: a name must consist of"));
    CHECK(reasonWith("/services/s/non_idempotent/0/path_prefix", "b")
        == "/services/s/non_idempotent/0/path_prefix: must begin with '/'");
    CHECK(reasonWith("/extra", 1) == "/extra: is not a known field");
    CHECK(reasonOf(json::array()) == "/: must be an object");
    CHECK(parseDocument("{").error().code == result_code::InvalidDocument);
    CHECK(parseDocument(R"({"models":{"m":{},"m":{}}})").error().reason == "/: duplicate field 'm' in one object");
    CHECK(parseDocument(std::string(1000, '[')).error().reason == "/: is nested too deeply");
}

TEST_CASE(
    "store: one of two conflicting changes is accepted, and a resent one gets its first result", "[configuration]")
{
    configuration_store store;
    const auto first = changeTo(store, withWorkspaces(1), 0, "first");
    const auto second = changeTo(store, withWorkspaces(2), 0, "second");
    CHECK(store.apply(first).version == 1);
    const auto lost = store.apply(second);
    CHECK(lost.code == result_code::VersionConflict);
    CHECK(lost.version == 1);
    CHECK(store.apply(first).code == result_code::Ok);
    CHECK(store.apply(second).code == result_code::VersionConflict);
    CHECK(store.version() == 1);
    CHECK(store.history().size() == 1);
}

TEST_CASE("store: a change that can't be applied or is invalid changes nothing", "[configuration]")
{
    configuration_store store;
    CHECK(store.apply({ "a", 0, "", 0, "[{\"op\":\"remove\",\"path\":\"/nothing\"}]" }).code
        == result_code::InvalidDocument);
    CHECK(store.apply({ "b", 0, "", 0, "[{\"op\":\"add\",\"path\":\"/nothing\",\"value\":1}]" }).code
        == result_code::InvalidDocument);
    CHECK(store.version() == 0);
}

TEST_CASE("view: any receiver converges to the store's document, and its version never decreases",
    "[configuration][property]")
{
    rc::prop("receivers", [] {
        configuration_store store;
        configuration_view view;
        configuration_version highest = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
        std::vector<configuration_update> late;
        for (const int step : steps) {
            const auto change = changeTo(store, withWorkspaces(step), store.version(), std::to_string(store.version()));
            RC_ASSERT(store.apply(change).code == result_code::Ok);
            if (auto update = store.updateFor(view.version()); update && step % 3 == 0)
                late.push_back(*update);
            if (step % 4 == 0) {
                if (const auto update = store.updateFor(view.version()))
                    RC_ASSERT(view.apply(*update).value());
            }
            if (!late.empty() && step % 5 == 0)
                (void)view.apply(late[static_cast<std::size_t>(step) % late.size()]);
            RC_ASSERT(view.version() >= highest);
            highest = view.version();
        }
        if (const auto update = store.updateFor(view.version()))
            RC_ASSERT(view.apply(*update).has_value());
        RC_ASSERT(view.version() == store.version());
        RC_ASSERT(view.current() == store.current());
    });
}

TEST_CASE("store: a receiver that is far behind gets the whole document, another one a delta", "[configuration]")
{
    configuration_store store;
    for (int i = 0; i < 400; ++i)
        REQUIRE(store.apply(changeTo(store, withWorkspaces(i % 50), store.version(), std::to_string(i))).code
            == result_code::Ok);
    CHECK(store.updateFor(3)->from == 0);
    CHECK(store.updateFor(399)->from == 399);
    CHECK_FALSE(store.updateFor(400));
    configuration_store copy;
    REQUIRE(copy.restore(store.state()));
    CHECK(copy.text() == store.text());
    CHECK(copy.apply({ "399", 0, "", 0, "[]" }).version == 400);
}
