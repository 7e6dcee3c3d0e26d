/// @file
/// @brief A caller and a server of raw bytes on blocking loopback sockets, which end their connections as tests need.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace test_support {

/// How a raw peer ends a connection, or saw it end.
enum class raw_end { Closed, Reset, Silent };

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// @brief One connection. The destructor closes it.
class raw_connection {
public:
    explicit raw_connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    ~raw_connection()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
    }

    /// @param address "127.0.0.1:port"
    static raw_connection to(const std::string& address)
    {
        const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        auto peer = loopbackAddress(port);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the sockets API
        REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0);
        return raw_connection(descriptor);
    }

    void send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /// @brief Receives until a text has arrived or the connection ends or is silent. @return what has arrived
    std::string receiveUntil(std::string_view text, int timeoutMs = 8000)
    {
        std::string received;
        std::array<char, 4096> buffer {};
        while (text.empty() || received.find(text) == std::string::npos) {
            pollfd readable { m_descriptor, POLLIN, 0 };
            if (poll(&readable, 1, timeoutMs) <= 0)
                return received;
            const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                m_end = count == 0 ? raw_end::Closed : raw_end::Reset;
                return received;
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return received;
    }

    /// @brief Receives until the connection ends.
    std::string receiveAll() { return receiveUntil({}); }
    /// @return how the peer ended the connection, as far as received
    [[nodiscard]] raw_end end() const { return m_end; }

    /// @brief Ends the sending direction only.
    void shutDownSending() const { shutdown(m_descriptor, SHUT_WR); }
    void finish(raw_end how)
    {
        const linger discard { 1, 0 };
        if (how == raw_end::Reset) {
            setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        } else {
            // Closing with unread bytes would reset the connection.
            constexpr int drainTimeoutMs = 300;
            shutDownSending();
            (void)receiveUntil({}, drainTimeoutMs);
        }
        close(std::exchange(m_descriptor, -1));
    }

private:
    int m_descriptor;
    raw_end m_end = raw_end::Silent;
};

/// @brief Accepts one connection, receives a request, sends prepared bytes and ends the connection.
class raw_server {
public:
    /// @param readUntil the request is read up to this text; what follows stays unread, so that the end is a reset
    raw_server(std::string response, raw_end end, std::string readUntil = "\r\n\r\n")
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = loopbackAddress(0);
        socklen_t size = sizeof address;
        // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): required by the sockets API
        REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(listen(m_socket, 8) == 0);
        REQUIRE(getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this, response = std::move(response), end, readUntil = std::move(readUntil)] {
            raw_connection connection(accept(m_socket, nullptr, nullptr));
            (void)connection.receiveUntil(readUntil);
            connection.send(response);
            if (end == raw_end::Silent) {
                (void)connection.receiveAll();
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(30)); // the response arrives before the end
            connection.finish(end);
        });
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    int m_socket;
    std::string m_address;
    std::thread m_thread;
};

} // namespace test_support
