/// @file
/// @brief Detection of tasks that block an event loop.
#include "buckthornrail/link/event_loop.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::link;

TEST_CASE("loop watch: fast tasks and tasks that mostly consist of a reported one are not reported", "[link]")
{
    std::vector<std::string> reported;
    loop_watch watch([&reported](const slow_task& task) { reported.emplace_back(task.name); }, milliseconds(20));
    const steady_time zero {};
    const auto at = [zero](int ms) { return zero + milliseconds(ms); };
    watch.recordTask("short", at(0), at(19));
    CHECK(reported.empty());
    watch.recordTask("inner", at(30), at(60));
    watch.recordTask("outer", at(25), at(65)); // the inner task took most of its time
    CHECK(reported == std::vector<std::string> { "inner" });
    watch.recordTask("small", at(70), at(90));
    watch.recordTask("large", at(65), at(200)); // the small task took little of its time
    CHECK(reported == std::vector<std::string> { "inner", "small", "large" });
}

TEST_CASE("loop watch: a loop reports a timed task that blocks it", "[link]")
{
    event_loop loop;
    std::vector<slow_task> reported;
    loop.reportSlowTasks([&reported](const slow_task& task) { reported.push_back(task); });
    const auto begun = boot_clock::now();
    loop.runAt(begun + milliseconds(30), [&loop] {
        const timed_task task(loop, "sleep");
        std::this_thread::sleep_for(milliseconds(40));
    });
    loop.runAt(begun + milliseconds(100), [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(reported.size() == 1);
    CHECK(reported.front().name == "sleep");
    CHECK(reported.front().elapsed >= milliseconds(40));
}
