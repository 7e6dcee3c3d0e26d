/// @file
/// @brief Work that holds up a loop.
#include "buckthornrail/link/event_loop.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::link;

TEST_CASE("loop watch: work within its bound isn't told of, nor what only holds a piece told of", "[link]")
{
    std::vector<std::string> told;
    loop_watch watch([&told](const held_loop& held) { told.emplace_back(held.work); }, milliseconds(20));
    const steady_time zero {};
    const auto at = [zero](int ms) { return zero + milliseconds(ms); };
    watch.worked("short", at(0), at(19));
    CHECK(told.empty());
    watch.worked("inner", at(30), at(60));
    watch.worked("outer", at(25), at(65)); // most of it was the inner one
    CHECK(told == std::vector<std::string> { "inner" });
    watch.worked("small", at(70), at(90));
    watch.worked("large", at(65), at(200)); // little of it was the small one
    CHECK(told == std::vector<std::string> { "inner", "small", "large" });
}

TEST_CASE("loop watch: a loop tells of named work that blocks it", "[link]")
{
    event_loop loop;
    std::vector<held_loop> told;
    loop.watchWork([&told](const held_loop& held) { told.push_back(held); });
    const auto begun = boot_clock::now();
    loop.runAt(begun + milliseconds(30), [&loop] {
        const named_work work(loop, "sleep");
        std::this_thread::sleep_for(milliseconds(40));
    });
    loop.runAt(begun + milliseconds(100), [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(told.size() == 1);
    CHECK(told.front().work == "sleep");
    CHECK(told.front().elapsed >= milliseconds(40));
}
