/// @file
/// @brief Open timeouts of links, and chunked messages over slow ones.
#include "buckthornrail/link/link_hub.hpp"
#include "support/relay.hpp"
#include "support/unresponsive_listener.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::link;

TEST_CASE("link: a dialled link that doesn't open is closed once, and other links keep working", "[link]")
{
    constexpr milliseconds openTimeout { 50 };
    constexpr milliseconds runTime { 600 };
    const test_support::unresponsive_listener unresponsive;
    event_loop loop;
    std::vector<link_number> closed;
    std::vector<link_number> opened;
    hub_options options;
    options.openTimeout = openTimeout;
    link_hub hub(loop,
        { [&opened](link_number link, bool inbound) {
             if (!inbound)
                 opened.push_back(link);
         },
            [&closed](link_number link) { closed.push_back(link); }, [](link_number, const std::string&) {} },
        options);
    const auto port = hub.listen("127.0.0.1:0");
    REQUIRE(port != 0);
    link_number dead = 0;
    link_number alive = 0;
    loop.post([&] {
        dead = hub.dial(unresponsive.address());
        alive = hub.dial("127.0.0.1:" + std::to_string(port));
    });
    loop.runAt(boot_clock::now() + runTime, [&loop] { loop.stop(); });
    loop.run();
    CHECK(closed == std::vector<link_number> { dead });
    CHECK(opened == std::vector<link_number> { alive });
    CHECK(hub.send(alive, "still there"));
}

namespace {

/// Two hubs on one loop; the second records the messages that it receives from the first.
struct hub_pair {
    explicit hub_pair(const hub_options& options)
        : near(loop,
            { [this](link_number, bool) { isOpen = true; }, [this](link_number) { ++closed; },
                [](link_number, const std::string&) {}, [this](link_number) { ++chunksAcknowledged; } },
            options)
        , far(loop,
              { [](link_number, bool) {}, [this](link_number) { ++closed; },
                  [this](link_number, const std::string& message) { received.push_back(message); },
                  [this](link_number) { ++chunksReceived; } },
              options)
        , port(far.listen("127.0.0.1:0"))
    {
    }

    /// Runs the loop until a condition holds. @return false when it doesn't hold in time
    bool runUntil(const std::function<bool()>& holds, milliseconds timeout)
    {
        constexpr milliseconds step { 5 };
        const auto deadline = boot_clock::now() + timeout;
        bool isMet = false;
        std::function<void()> poll = [&] {
            isMet = holds();
            if (isMet || boot_clock::now() >= deadline)
                loop.stop();
            else
                loop.runAt(boot_clock::now() + step, poll);
        };
        loop.post(poll);
        loop.run();
        return isMet;
    }

    event_loop loop;
    bool isOpen = false;
    int closed = 0;
    std::size_t chunksAcknowledged = 0; ///< as reported to `near`
    std::size_t chunksReceived = 0; ///< as reported to `far`
    std::vector<std::string> received;
    link_hub near;
    link_hub far;
    std::uint16_t port;
};

} // namespace

TEST_CASE("link: a transfer that outlasts the keep-alive timeout keeps its link and the order of messages", "[link]")
{
    constexpr milliseconds keepAlive { 50 }; // a link without activity for 150 ms is closed
    constexpr std::size_t length = 400'000;
    constexpr std::uint64_t bytesPerSecond = 400'000;
    hub_options options;
    options.keepAlivePeriod = keepAlive;
    hub_pair hubs(options);
    test_support::relay between("127.0.0.1:" + std::to_string(hubs.port));
    between.setRate(bytesPerSecond);
    link_number link = 0;
    hubs.loop.post([&] { link = hubs.near.dial(between.address()); });
    const std::string message(length, 'x');
    bool isSent = false;
    const auto hasAll = [&] {
        if (hubs.isOpen && !isSent) {
            isSent = hubs.near.send(link, message) && hubs.near.send(link, "behind it");
            CHECK(hubs.near.bytesWaiting() > length / 2);
        }
        return hubs.received.size() == 2;
    };
    CHECK(hubs.runUntil(hasAll, milliseconds(5000)));
    CHECK(hubs.closed == 0);
    REQUIRE(hubs.received.size() == 2);
    CHECK(hubs.received[0] == message);
    CHECK(hubs.received[1] == "behind it");
    const std::size_t chunks = length / options.maxChunkBytes; // except the final one
    CHECK(hubs.chunksReceived == chunks);
    CHECK(hubs.chunksAcknowledged + options.maxChunksInFlight >= chunks);
    CHECK(hubs.near.bytesWaiting() == 0);
}

TEST_CASE("link: messages of all lengths arrive complete and in order", "[link]")
{
    rc::prop("lengths around the chunk size", [] {
        hub_options options;
        options.maxChunkBytes = 8;
        options.maxChunksInFlight = 2;
        const auto messages = *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());
        hub_pair hubs(options);
        link_number link = 0;
        hubs.loop.post([&] { link = hubs.near.dial("127.0.0.1:" + std::to_string(hubs.port)); });
        bool isSent = false;
        RC_ASSERT(hubs.runUntil(
            [&] {
                if (hubs.isOpen && !std::exchange(isSent, hubs.isOpen)) {
                    for (const auto& message : messages)
                        RC_ASSERT(hubs.near.send(link, message));
                }
                return hubs.isOpen && hubs.received.size() == messages.size();
            },
            milliseconds(5000)));
        RC_ASSERT(hubs.received == messages);
    });
}
