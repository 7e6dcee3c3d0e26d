/// @file
/// @brief Links that don't open.
#include "buckthornrail/link/link_hub.hpp"
#include "support/mute_listener.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::link;

TEST_CASE("link: a dialled link that doesn't open is closed, once, and the hub goes on", "[link]")
{
    constexpr milliseconds openTimeout { 50 };
    constexpr milliseconds watchFor { 600 };
    const test_support::mute_listener mute;
    event_loop loop;
    std::vector<channel_number> closed;
    std::vector<channel_number> opened;
    hub_options options;
    options.openTimeout = openTimeout;
    link_hub hub(loop,
        { [&opened](channel_number channel, bool inbound) {
             if (!inbound)
                 opened.push_back(channel);
         },
            [&closed](channel_number channel) { closed.push_back(channel); },
            [](channel_number, const std::string&) {} },
        options);
    const auto port = hub.listen("127.0.0.1:0");
    REQUIRE(port != 0);
    channel_number dead = 0;
    channel_number alive = 0;
    loop.post([&] {
        dead = hub.dial(mute.address());
        alive = hub.dial("127.0.0.1:" + std::to_string(port));
    });
    loop.runAt(std::chrono::steady_clock::now() + watchFor, [&loop] { loop.stop(); });
    loop.run();
    CHECK(closed == std::vector<channel_number> { dead });
    CHECK(opened == std::vector<channel_number> { alive });
    CHECK(hub.send(alive, "still there"));
}
