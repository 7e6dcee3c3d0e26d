/// @file
/// @brief The tables that `ctl admission` prints.
#include "app/shell/admission_listing.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

using namespace buckthornrail;
using nlohmann::json;

namespace {

/// Words of each line.
std::vector<std::vector<std::string>> wordsOf(const json& page)
{
    std::vector<std::vector<std::string>> lines;
    std::istringstream text(app::admissionListing(page));
    for (std::string line; std::getline(text, line);) {
        std::istringstream words(line);
        auto& row = lines.emplace_back();
        for (std::string word; words >> word;)
            row.push_back(word);
    }
    return lines;
}

} // namespace

// Guards against cells under the wrong title, and against cells that run together when one is longer than its column.
TEST_CASE("admission listing: it has a table for each service, and the queue", "[admission_listing]")
{
    const auto lines = wordsOf(json::parse(R"({"mode":"auto","others_age_ms":83,
        "services":[{"service":"chat","capacity_tokens":90000,"priorities":[
          {"priority":2,"offered_tokens_per_s":1,"running_tokens":2,"waiting_tokens":3,"promised_tokens":4,
           "due_tokens":1234567890,"reserved_share":0.123,"own_requested_tokens":7,"own_admitted_tokens":8}]}],
        "queued":[{"request":"a-1","service":"a-service-with-a-long-name","priority":1,"returning":true,"tokens":300,
          "age_ms":40,"left_ms":210},
          {"service":"chat","priority":2,"returning":false,"tokens":30,"age_ms":4,"left_ms":0}]})"));
    using words = std::vector<std::string>;
    REQUIRE(lines.size() == 8);
    CHECK(lines[0] == words { "admission", "auto,", "demand", "of", "the", "other", "gateways", "83", "ms", "old" });
    CHECK(lines[1] == words { "service", "chat,", "capacity", "90000", "tokens" });
    CHECK(lines[3] == words { "2", "1", "2", "3", "4", "1234567890", "0.123", "7", "8" });
    CHECK(lines[4] == words { "queued", "requests:", "2" });
    CHECK(lines[6] == words { "a-1", "a-service-with-a-long-name", "1", "true", "300", "40", "210" });
    CHECK(lines[7] == words { "-", "chat", "2", "false", "30", "4", "0" });
}

// Guards against an exception for the page of a gateway that ranks nothing.
TEST_CASE("admission listing: an empty page is one without services and requests", "[admission_listing]")
{
    CHECK(app::admissionListing(json::parse(R"({"mode":"off","queued":[],"services":[]})"))
        == "admission off, demand of the other gateways unknown\nqueued requests: 0");
}
