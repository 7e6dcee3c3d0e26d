/// @file
/// @brief Admission of requests, and the parser of callers' requests.
#include "app/entry/entry_api.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::app;

namespace {

configuration::document testDocument()
{
    return *configuration::parseDocument(R"({
        "workspaces": { "a": { "weight": 3, "max_priority": "normal", "max_in_flight": 2 }, "b": {} },
        "models": { "m": { "layers": 8 } },
        "pipelines": { "p": { "model": "m", "versions": [ { "version": "1", "share": 100 } ], "workspaces": [ "a" ],
            "priority": "low" } },
        "services": { "s": { "non_idempotent": [ { "method": "POST", "path_prefix": "/bookings" } ] } }
    })");
}

caller_request completionOf(const std::string& workspace, const std::string& pipeline)
{
    caller_request request;
    request.workspace = workspace;
    request.pipeline = pipeline;
    return request;
}

caller_request callOf(const std::string& method, const std::string& path)
{
    caller_request request;
    request.workspace = "b";
    request.service = "s";
    request.call.method = method;
    request.call.path = path;
    return request;
}

result_code admissionCode(const caller_request& request, std::uint32_t inFlight = 0)
{
    const auto admission = admit(testDocument(), request, inFlight);
    return admission ? result_code::Ok : admission.error().code;
}

} // namespace

TEST_CASE("admission: requests are refused for each of the reasons", "[admission]")
{
    CHECK(admissionCode(completionOf("a", "p")) == result_code::Ok);
    CHECK(admissionCode(completionOf("nobody", "p")) == result_code::UnknownWorkspace);
    CHECK(admissionCode(completionOf("b", "p")) == result_code::UnknownWorkspace);
    CHECK(admissionCode(completionOf("a", "q")) == result_code::UnknownModel);
    CHECK(admissionCode(completionOf("a", "p"), 2) == result_code::WorkspaceLimit);
    CHECK(admissionCode(callOf("GET", "/bookings")) == result_code::Ok);
    CHECK(admissionCode(callOf("POST", "/bookings/7")) == result_code::KeyRequired);
    auto marked = callOf("GET", "/slots");
    marked.markedNonIdempotent = true;
    CHECK(admissionCode(marked) == result_code::KeyRequired);
    marked.idempotencyKey = "k";
    CHECK(admissionCode(marked) == result_code::Ok);
}

TEST_CASE("admission: parameters come from the workspace and the pipeline", "[admission]")
{
    auto request = completionOf("a", "p");
    CHECK(admit(testDocument(), request, 0)->priority == request_priority::Low);
    request.priority = request_priority::High;
    const auto admission = admit(testDocument(), request, 0);
    CHECK(admission->priority == request_priority::Normal); // limited by max_priority of the workspace
    CHECK(admission->weight == 3);
    CHECK(admission->layerCount == 8);
}

TEST_CASE("admission: only versions with a ready target and a share above 0 are drawn", "[admission]")
{
    const std::vector<configuration::share> versions { { "1", 70 }, { "2", 30 }, { "3", 0 } };
    std::uint32_t below = 0;
    const auto draw = [&below](std::uint32_t bound) {
        below = bound;
        return bound - 1;
    };
    CHECK(drawVersion(versions, { "1", "2", "3" }, draw) == "2");
    CHECK(below == 100);
    CHECK(drawVersion(versions, { "1", "3" }, draw) == "1");
    CHECK(below == 70);
    // None can be drawn: the first one is returned, for which routing then finds no target.
    CHECK(drawVersion(versions, { "3" }, draw) == "1");
}

TEST_CASE("requests: the timeout becomes a deadline, headers for the entry are not passed on", "[admission]")
{
    http::http_request request;
    request.method = "PUT";
    request.path = "/services/s/tickets/7";
    request.query = "a=b";
    request.headers = { { "X-Workspace", "b" }, { "X-Timeout-Ms", "250" }, { "Accept", "x" }, { "connection", "close" },
        { "X-Priority", "high" } };
    const steady_time now = steady_time {} + std::chrono::hours(1);
    const auto read = readCallerRequest(request, {}, now);
    REQUIRE(read);
    CHECK(read->deadline == now + milliseconds(250));
    CHECK(read->call.path == "/tickets/7?a=b");
    CHECK(read->priority == request_priority::High);
    CHECK(read->call.headers == std::vector<http::header_field> { { "X-Workspace", "b" }, { "Accept", "x" } });
    request.body = "other";
    CHECK(readCallerRequest(request, {}, now)->digest != read->digest);
}
