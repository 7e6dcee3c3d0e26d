/// @file
/// @brief Effective priorities of a document's requests.
#include "buckthornrail/gateway/priority_table.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::gateway;

namespace {

route routeWith(const std::string& name, std::uint32_t priority, std::vector<service_share> services)
{
    route added;
    added.name = name;
    added.host = "h";
    added.pathPrefix = "/" + name + "/";
    added.priority = priority;
    added.services = std::move(services);
    return added;
}

workspace_keys workspaceWith(const std::string& name, std::optional<std::uint32_t> priority)
{
    return { name, { "key-" + name }, priority };
}

/// A document with a layered service "model" and a plain one "desk".
route_document documentWith(std::vector<route> routes, std::vector<workspace_keys> workspaces)
{
    route_document document;
    document.version = 1;
    document.routes = std::move(routes);
    document.workspaces = std::move(workspaces);
    service model;
    model.name = "model";
    model.engine.emplace().layers = 80;
    service desk;
    desk.name = "desk";
    document.services = { model, desk };
    return document;
}

} // namespace

TEST_CASE("priority table: a service is ranked only if its routes differ in priority", "[priority]")
{
    // Deployments whose routes are all alike must be served without admission by priority.
    const auto alike = documentWith({ routeWith("a", 1, { { "model", 1 } }), routeWith("b", 1, { { "model", 1 } }) },
        { workspaceWith("w", 0), workspaceWith("v", 1) });
    CHECK_FALSE(priority_table(route_index(alike)).isRanked("model"));
    CHECK(priority_table(route_index(alike)).priorities().empty());

    const auto plain = documentWith(
        { routeWith("a", 1, { { "desk", 1 } }), routeWith("b", 2, { { "desk", 1 } }) }, { workspaceWith("w", 0) });
    CHECK_FALSE(priority_table(route_index(plain)).isRanked("desk"));

    const auto unused = documentWith(
        { routeWith("a", 1, { { "model", 1 } }), routeWith("b", 2, { { "model", 0 }, { "desk", 1 } }) }, {});
    CHECK_FALSE(priority_table(route_index(unused)).isRanked("model"));

    const auto ranked
        = documentWith({ routeWith("a", 1, { { "model", 1 } }), routeWith("b", 2, { { "model", 1 } }) }, {});
    CHECK(priority_table(route_index(ranked)).isRanked("model"));
}

// Guards against an order by route that ignores the workspace's priority.
TEST_CASE("priority table: the workspace's priority comes first, then the route's", "[priority]")
{
    const auto first = routeWith("a", 0, { { "model", 1 } });
    const auto last = routeWith("b", 2, { { "model", 1 } });
    const auto preferred = workspaceWith("w", 0);
    const auto usual = workspaceWith("v", 1);
    const priority_table table(route_index(documentWith({ first, last }, { preferred, usual })));
    const auto priority = [&table](const route& route, const workspace_keys& workspace) {
        return table.priorityOf("model", route, &workspace).value();
    };
    CHECK(priority(first, preferred) == 0);
    CHECK(priority(first, preferred) < priority(last, preferred));
    CHECK(priority(last, preferred) < priority(first, usual));
    CHECK(priority(first, usual) < priority(last, usual));
    CHECK_FALSE(table.priorityOf("desk", first, &usual).has_value());
}

// Guards against requests without a workspace priority that get a fixed one.
TEST_CASE("priority table: without a workspace's priority the route's decides", "[priority]")
{
    const auto first = routeWith("a", 0, { { "model", 1 } });
    const auto last = routeWith("b", 2, { { "model", 1 } });
    const auto workspace = workspaceWith("w", std::nullopt);
    const priority_table table(route_index(documentWith({ first, last }, { workspace })));
    CHECK(table.priorityOf("model", first, &workspace) == table.priorityOf("model", first, nullptr));
    CHECK(*table.priorityOf("model", first, nullptr) < *table.priorityOf("model", last, nullptr));
}

// Guards against a priority header above 9, which targets don't accept.
TEST_CASE("priority table: more priorities than targets accept share the last number", "[priority]")
{
    std::vector<route> routes;
    for (std::uint32_t i = 0; i < 15; ++i)
        routes.push_back(routeWith("r" + std::to_string(i), i, { { "model", 1 } }));
    const priority_table table(route_index(documentWith(routes, {})));
    CHECK(table.priorityOf("model", routes[8], nullptr) == 8U);
    CHECK(table.priorityOf("model", routes[9], nullptr) == lowestPriority);
    CHECK(table.priorityOf("model", routes[14], nullptr) == lowestPriority);
    CHECK(table.priorities().at("model").size() == lowestPriority + 1);
}
