/// @file
/// @brief Turns that hold up a loop.
#include "buckthornrail/link/event_loop.hpp"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::link;

TEST_CASE("loop watch: turns within their bounds aren't told of, others are by their longest work", "[link]")
{
    std::vector<held_turn> told;
    loop_watch watch({ milliseconds(20), milliseconds(4) }, [&told](const held_turn& held) { told.push_back(held); });
    const auto ms = [](int count) { return std::chrono::nanoseconds(milliseconds(count)); };
    watch.begin(ms(0));
    watch.worked("short", ms(19));
    watch.end(ms(3));
    CHECK(told.empty());
    watch.begin(ms(3));
    watch.worked("inner", ms(30));
    watch.worked("outer", ms(35)); // most of it was the inner one
    watch.worked("other", ms(10));
    watch.end(ms(4));
    REQUIRE(told.size() == 1);
    CHECK(told.back().work == "inner");
    CHECK(told.back().elapsed == milliseconds(30));
    watch.begin(ms(4));
    watch.end(ms(8));
    REQUIRE(told.size() == 2);
    CHECK(told.back().work.empty());
    CHECK(told.back().processor == milliseconds(4));
}

TEST_CASE("loop watch: a loop tells of work that blocks it, and not of waiting", "[link]")
{
    event_loop loop;
    std::vector<held_turn> told;
    loop.watchTurns({ milliseconds(20), milliseconds(1000) }, [&told](const held_turn& held) { told.push_back(held); });
    const auto begun = boot_clock::now();
    loop.runAt(begun + milliseconds(60), [&loop] {
        const named_work work(loop, "sleep");
        std::this_thread::sleep_for(milliseconds(40));
    });
    loop.runAt(begun + milliseconds(200), [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(told.size() == 1);
    CHECK(told.front().work == "sleep");
    CHECK(told.front().elapsed >= milliseconds(40));
}
