/// @file
/// @brief TCP on the event loop: one channel for each connection, callbacks instead of threads. Plain C++17, see
/// event_loop.hpp.
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
enum class channel_end : std::uint8_t {
    Closed, ///< the peer sent all it had and closed
    Reset, ///< broken: a reset, a timeout of the system, or an error
    Refused, ///< never opened, so no byte has left
};

/// Called on the loop thread. After `ended` nothing follows.
struct channel_handlers {
    std::function<void()> opened; ///< a dialled channel stands
    std::function<void(std::string_view)> received;
    std::function<void()> drained; ///< everything written has been handed to the system
    std::function<void(channel_end)> ended;
};

struct channel_options {
    /// A peer that acknowledges nothing for so long counts as gone. Partitions are silent, so nothing else tells.
    milliseconds peerTimeout { 3000 };
};

/// @brief One TCP connection. Lives on the loop thread.
/// @ingroup net
class tcp_channel {
public:
    tcp_channel() = default;
    tcp_channel(const tcp_channel&) = delete;
    tcp_channel& operator=(const tcp_channel&) = delete;
    virtual ~tcp_channel() = default;

    virtual void setHandlers(channel_handlers handlers) = 0;
    /// @brief Writes now what the system takes, and keeps the rest.
    virtual void write(std::string_view bytes) = 0;
    /// @brief Bytes that the system hasn't taken yet.
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
    /// @brief Stops and starts reading, to slow down a peer.
    virtual void setReading(bool enabled) = 0;
    /// @brief Closes once everything written is out; `ended` doesn't come.
    virtual void closeAfterWrite() = 0;
    /// @brief Ends at once; `ended` doesn't come. @param reset true: the peer sees a broken connection
    virtual void abort(bool reset) = 0;
};

using channel_pointer = std::shared_ptr<tcp_channel>;

/// @brief Opens a connection to "IP:port".
channel_pointer dial(
    link::event_loop& loop, const std::string& address, channel_handlers handlers, const channel_options& options = {});

/// @brief Accepts connections.
class tcp_listener {
public:
    /// @param accepted is given each new channel; it must set handlers before it returns
    tcp_listener(
        link::event_loop& loop, std::function<void(channel_pointer)> accepted, const channel_options& options = {});
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /// @brief Listens at "IP:port"; port 0 takes a free one. @return the port, or 0 when the address can't be used
    std::uint16_t listen(const std::string& address);
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// @brief One timer that can be set again. Lives on the loop thread.
class loop_timer {
public:
    explicit loop_timer(link::event_loop& loop);
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;
    ~loop_timer();

    /// @brief Calls `task` at `when`, instead of what was set before.
    void set(steady_time when, std::function<void()> task);
    void cancel();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace buckthornrail::net
