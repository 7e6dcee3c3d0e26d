/// @file
/// @brief Asynchronous TCP connections on the event loop, with callbacks. Restricted to C++17, see event_loop.hpp.
#pragma once

#include "buckthornrail/link/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornrail::net {

/// How a connection ended.
enum class connection_end : std::uint8_t {
    Closed, ///< the peer closed the connection in order (end of stream)
    Reset, ///< connection reset, TCP timeout or another I/O error
    Refused, ///< the connection was never established, so nothing was sent
};

/// Callbacks of a connection, called on the loop thread. `ended` is the last one.
struct connection_handlers {
    std::function<void()> opened; ///< an outgoing connection is established
    std::function<void(std::string_view)> received;
    std::function<void()> drained; ///< the operating system has accepted all written bytes
    std::function<void(connection_end)> ended;
};

struct connection_options {
    /// The connection is reset when the peer acknowledges nothing for this long. Nothing else detects a network
    /// partition, which sends no error.
    milliseconds peerTimeout { 3000 };
};

/// @brief One TCP connection. Lives on the loop thread.
/// @ingroup net
class tcp_connection {
public:
    tcp_connection() = default;
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    virtual ~tcp_connection() = default;

    virtual void setHandlers(connection_handlers handlers) = 0;
    /// @brief Writes as much as the operating system accepts now, and buffers the rest.
    virtual void write(std::string_view bytes) = 0;
    /// @brief Number of buffered bytes that the operating system hasn't accepted yet.
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
    /// @brief Pauses or resumes reading, which applies backpressure to the peer.
    virtual void setReading(bool enabled) = 0;
    /// @brief From now on, any end of the connection but closeAfterWrite() resets it, also the end of this process, so
    /// that the peer doesn't take it for an end in order.
    virtual void resetUnlessClosedInOrder() = 0;
    /// @brief Closes the connection after all written bytes are sent; `ended` is not called.
    virtual void closeAfterWrite() = 0;
    /// @brief Closes the connection immediately; `ended` is not called.
    /// @param reset true to send a reset to the peer instead of an end of stream
    virtual void abort(bool reset) = 0;
};

using connection_pointer = std::shared_ptr<tcp_connection>;

/// @brief Opens a connection. Failures are reported by `ended`, never from within this call.
/// @param address "IP:port"
connection_pointer dial(link::event_loop& loop, const std::string& address, connection_handlers handlers,
    const connection_options& options = {});

/// @brief Accepts incoming connections.
class tcp_listener {
public:
    /// @param accepted receives each new connection, and must set its handlers before it returns
    tcp_listener(link::event_loop& loop, std::function<void(connection_pointer)> accepted,
        const connection_options& options = {});
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /// @brief Starts listening.
    /// @param address "IP:port"; port 0 selects a free port
    /// @return the port, or 0 when the address can't be used
    std::uint16_t listen(const std::string& address);
    /// @brief Stops accepting. Established connections stay open.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// @brief A restartable one-shot timer. Lives on the loop thread.
class loop_timer {
public:
    explicit loop_timer(link::event_loop& loop);
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;
    ~loop_timer();

    /// @brief Schedules `task` for `when`, and cancels the task scheduled before.
    void set(steady_time when, std::function<void()> task);
    void cancel();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace buckthornrail::net
