/// @file
/// @brief A port on loopback that takes connections, or lets them hang, and never says a word.
#pragma once

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace test_support {

class mute_listener {
public:
    explicit mute_listener(int backlog = 8)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(m_address);
        REQUIRE(bind(m_socket, plainAddress(), size) == 0);
        REQUIRE(listen(m_socket, backlog) == 0);
        REQUIRE(getsockname(m_socket, plainAddress(), &size) == 0);
    }
    mute_listener(const mute_listener&) = delete;
    mute_listener& operator=(const mute_listener&) = delete;
    ~mute_listener() { stop(); }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port)); }

    /// Connections that hang in the queue: with a backlog of 0 the system drops the opening packets that follow.
    void fill()
    {
        for (int at = 0; at < 3; ++at) {
            m_fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            (void)connect(m_fillers.back(), plainAddress(), sizeof(m_address)); // most of them stay under way
        }
    }

    /// Ends as a crashed process does: its connections are reset, and later ones are refused.
    void stop()
    {
        for (const int filler : m_fillers)
            close(filler);
        m_fillers.clear();
        if (m_socket >= 0)
            close(m_socket);
        m_socket = -1;
    }

private:
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the sockets' own way
    sockaddr* plainAddress() { return reinterpret_cast<sockaddr*>(&m_address); }

    int m_socket;
    sockaddr_in m_address {};
    std::vector<int> m_fillers;
};

} // namespace test_support
