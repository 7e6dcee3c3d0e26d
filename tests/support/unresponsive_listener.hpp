/// @file
/// @brief A loopback port that accepts connections, or leaves them pending, and never sends a byte.
#pragma once

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace test_support {

class unresponsive_listener {
public:
    explicit unresponsive_listener(int backlog = 8)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(m_address);
        REQUIRE(bind(m_socket, socketAddress(), size) == 0);
        REQUIRE(listen(m_socket, backlog) == 0);
        REQUIRE(getsockname(m_socket, socketAddress(), &size) == 0);
    }
    unresponsive_listener(const unresponsive_listener&) = delete;
    unresponsive_listener& operator=(const unresponsive_listener&) = delete;
    ~unresponsive_listener() { stop(); }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port)); }

    /// @brief Fills the accept queue with connections. With a backlog of 0 the kernel drops the SYN packets of later
    /// ones.
    void fillBacklog()
    {
        constexpr int connections = 3;
        for (int index = 0; index < connections; ++index) {
            m_pendingConnections.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            // Most of them never complete.
            (void)connect(m_pendingConnections.back(), socketAddress(), sizeof(m_address));
        }
    }

    /// @brief Closes the port as the crash of a process does: connections are reset, and later ones are refused.
    void stop()
    {
        for (const int connection : m_pendingConnections)
            close(connection);
        m_pendingConnections.clear();
        if (m_socket >= 0)
            close(m_socket);
        m_socket = -1;
    }

private:
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the sockets API
    sockaddr* socketAddress() { return reinterpret_cast<sockaddr*>(&m_address); }

    int m_socket;
    sockaddr_in m_address {};
    std::vector<int> m_pendingConnections;
};

} // namespace test_support
