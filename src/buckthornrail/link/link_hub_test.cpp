/// @file
/// @brief Links that don't open.
#include "buckthornrail/link/link_hub.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace buckthornrail;
using namespace buckthornrail::link;

namespace {

/// A port that takes connections and never says a word.
class mute_listener {
public:
    mute_listener()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the sockets' own way
        auto* plain = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(bind(m_socket, plain, size) == 0);
        REQUIRE(listen(m_socket, 8) == 0);
        REQUIRE(getsockname(m_socket, plain, &size) == 0);
        m_port = ntohs(address.sin_port);
    }
    mute_listener(const mute_listener&) = delete;
    mute_listener& operator=(const mute_listener&) = delete;
    ~mute_listener() { close(m_socket); }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

} // namespace

TEST_CASE("link: a dialled link that doesn't open is closed, once, and the hub goes on", "[link]")
{
    constexpr milliseconds openTimeout { 50 };
    constexpr milliseconds watchFor { 600 };
    const mute_listener mute;
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
