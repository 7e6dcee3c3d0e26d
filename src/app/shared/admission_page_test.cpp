/// @file
/// @brief The page of a gateway's admission, as operators and `ctl admission` read it.
#include "app/shared/admission_page.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace buckthornrail;
using nlohmann::json;

namespace {

const steady_time now { std::chrono::seconds(100) };

app::identified_request queuedRequest(const std::string& id, milliseconds age, milliseconds left)
{
    return { id, { 7, "chat", 1, true, now + left, now - age, 300.4, 1000 } };
}

json pageOf(const app::admission_overview& overview) { return json::parse(app::admissionPage(overview, now)); }

} // namespace

// Guards against fields that are swapped, missing or renamed: scripts of operators read the page.
TEST_CASE("admission page: it has each priority of each service with all figures", "[admission_page]")
{
    app::admission_overview overview;
    overview.othersAge = milliseconds(83);
    overview.states = { { "chat", 0, 90000.4, 1200.6, 3000, 200, 100, 50, 0, 700, 600 },
        { "chat", 2, 90000.4, 800, 4000, 900, 70, 30, 0.12345, 500, 125 }, { "draft", 0, 10, 0, 0, 0, 0, 0, 0, 0, 0 } };
    CHECK(pageOf(overview) == json::parse(R"({"mode":"auto","others_age_ms":83,"queued":[],"services":[
        {"service":"chat","capacity_tokens":90000,"priorities":[
          {"priority":0,"offered_tokens_per_s":1201,"running_tokens":3000,"waiting_tokens":200,"promised_tokens":100,
           "due_tokens":50,"reserved_share":0.0,"own_requested_tokens":700,"own_admitted_tokens":600},
          {"priority":2,"offered_tokens_per_s":800,"running_tokens":4000,"waiting_tokens":900,"promised_tokens":70,
           "due_tokens":30,"reserved_share":0.123,"own_requested_tokens":500,"own_admitted_tokens":125}]},
        {"service":"draft","capacity_tokens":10,"priorities":[
          {"priority":0,"offered_tokens_per_s":0,"running_tokens":0,"waiting_tokens":0,"promised_tokens":0,
           "due_tokens":0,"reserved_share":0.0,"own_requested_tokens":0,"own_admitted_tokens":0}]}]})"));
}

// Guards against times of the wrong sign or origin, and against a negative time left of an expired request.
TEST_CASE("admission page: it lists queued requests in order, with their age and the time left", "[admission_page]")
{
    app::admission_overview overview;
    overview.queued = { queuedRequest("a-1", milliseconds(40), milliseconds(210)),
        queuedRequest("", milliseconds(1500), milliseconds(-3)) };
    CHECK(pageOf(overview).at("queued") == json::parse(R"([
        {"request":"a-1","service":"chat","priority":1,"returning":true,"tokens":300,"age_ms":40,"left_ms":210},
        {"service":"chat","priority":1,"returning":true,"tokens":300,"age_ms":1500,"left_ms":0}])"));
}

// Guards against an age of 0 before the first report, which would look like a current one.
TEST_CASE("admission page: without ranked services it is empty, and tells whether admission is off", "[admission_page]")
{
    CHECK(pageOf({}) == json::parse(R"({"mode":"auto","queued":[],"services":[]})"));
    CHECK(pageOf({ false, {}, {}, {} }).at("mode") == "off");
}

// Guards against an exception on the gateway's event loop: the id is a header field that the caller chooses.
TEST_CASE("admission page: an id that is not UTF-8 doesn't prevent the page", "[admission_page]")
{
    app::admission_overview overview;
    overview.queued = { queuedRequest("a\xff\"b", milliseconds(1), milliseconds(1)) };
    CHECK(pageOf(overview).at("queued").at(0).at("request") == "a\xef\xbf\xbd\"b");
}
