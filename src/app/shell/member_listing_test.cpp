/// @file
/// @brief The text that `ctl members` prints.
#include "app/shell/member_listing.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace buckthornrail;
using nlohmann::json;

TEST_CASE("member listing: who votes, who is missing, and how many losses can be borne", "[member_listing]")
{
    const json page { { "leader", "a:1" }, { "term", 7 }, { "voters", 3 }, { "quorum", 2 }, { "reachable_voters", 2 },
        { "bearable_losses", 0 }, { "tolerated_losses", 1 },
        { "members",
            json::array({ { { "address", "a:1" }, { "voter", true }, { "leader", true }, { "reachable", true } },
                { { "address", "b:1" }, { "voter", true }, { "reachable", false }, { "silent_ms", 9120 } },
                { { "address", "c:1" }, { "voter", true }, { "leaving", true } },
                { { "address", "d:1" }, { "voter", false } } }) } };
    CHECK(app::memberListing(page)
        == "losses that can be borne now: 0 of 1  TOO FEW; voters 3, reachable 2, quorum 2, term 7\n"
           "a:1  voter  leader\nb:1  voter  silent for 9120 ms\nc:1  voter  leaving\nd:1  learner");
}

TEST_CASE("member listing: without a leader, and without members", "[member_listing]")
{
    const json page { { "leader", "" }, { "bearable_losses", 1 }, { "tolerated_losses", 1 } };
    CHECK(app::memberListing(page)
        == "losses that can be borne now: 1 of 1; voters 0, reachable 0, quorum 0, term 0; NO LEADER");
}
