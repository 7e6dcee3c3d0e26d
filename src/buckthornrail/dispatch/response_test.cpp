/// @file
/// @brief Responses are complete and contain only frames of their attempt.
#include "buckthornrail/dispatch/response.hpp"
#include "buckthornrail/dispatch/response_store.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::dispatch;

namespace {

struct complete_response {
    std::vector<response_frame> frames;
    response_end end;
};

complete_response makeResponse(const std::string& request, const std::vector<std::string>& texts)
{
    complete_response response;
    response_digest digest;
    for (const auto& text : texts) {
        response_frame frame;
        frame.attempt = { request, 1 };
        frame.sequence = static_cast<std::uint32_t>(response.frames.size());
        frame.bytes = text;
        digest.add(frame);
        response.frames.push_back(std::move(frame));
    }
    response.end
        = { { request, 1 }, result_code::Ok, "", static_cast<std::uint32_t>(texts.size()), digest.value(), "stop" };
    return response;
}

} // namespace

TEST_CASE("response: complete and unmixed under reordering, duplicates, loss and frames of another request",
    "[response][property]")
{
    rc::prop("assembly", [](const std::vector<std::string>& own, const std::vector<std::string>& foreign) {
        const auto mine = makeResponse("mine", own);
        const auto other = makeResponse("other", foreign);
        std::vector<response_frame> wire = mine.frames;
        wire.insert(wire.end(), other.frames.begin(), other.frames.end());
        for (const auto& frame : mine.frames) {
            if (*rc::gen::inRange(0, 3) == 0)
                wire.push_back(frame);
        }
        std::shuffle(wire.begin(), wire.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        const bool loses = *rc::gen::arbitrary<bool>() && !own.empty();
        const auto lost = *rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(own.size()) + 1);
        response_assembler assembler({ "mine", 1 });
        std::vector<std::string> delivered;
        const auto endIndex = *rc::gen::inRange<std::size_t>(0, wire.size() + 1);
        for (std::size_t index = 0; index <= wire.size(); ++index) {
            if (index == endIndex) {
                assembler.end(other.end);
                assembler.end(mine.end);
            }
            if (index == wire.size()
                || (loses && wire[index].attempt.request == "mine" && wire[index].sequence == lost))
                continue;
            for (const auto& frame : assembler.add(wire[index]))
                delivered.push_back(frame.bytes);
        }
        const bool isComplete = !loses || lost >= own.size();
        RC_ASSERT((assembler.state() == assembly_state::Complete) == isComplete);
        if (isComplete)
            RC_ASSERT(delivered == own);
        RC_ASSERT(std::equal(delivered.begin(), delivered.end(), own.begin()));
    });
}

TEST_CASE("response: a changed byte or a wrong frame count is detected", "[response]")
{
    auto response = makeResponse("r", { "one", "two" });
    response_assembler changed({ "r", 1 });
    response.frames[1].bytes = "twO";
    for (const auto& frame : response.frames)
        changed.add(frame);
    changed.end(response.end);
    CHECK(changed.state() == assembly_state::Failed);
    response_assembler shorter({ "r", 1 });
    shorter.add(makeResponse("r", { "one", "two" }).frames[0]);
    response.end.frameCount = 1;
    shorter.end(response.end);
    CHECK(shorter.state() == assembly_state::Failed);
}

TEST_CASE("response store: the oldest responses are evicted, but the record that they ran stays", "[response]")
{
    response_store store(10);
    for (const std::string name : { "a", "b" }) {
        store.begin({ name, 1 });
        response_frame frame;
        frame.attempt = { name, 1 };
        frame.bytes = "12345678";
        store.add(frame);
        store.end({ { name, 1 } });
    }
    REQUIRE(store.find({ "a", 1 }) != nullptr);
    CHECK(store.find({ "a", 1 })->evicted);
    CHECK_FALSE(store.find({ "b", 1 })->evicted);
    CHECK(store.bytes() == 8);
    CHECK(store.find({ "c", 1 }) == nullptr);
}
