/// @file
/// @brief Links between processes: binary messages over WebSockets. Plain C++17, see event_loop.hpp.
///
/// Long messages are sent in chunks, a limited number of them in flight. Each received chunk and each acknowledgement
/// counts as activity, so a link doesn't time out while a long message is in transit, however long that takes. Messages
/// of one link arrive in the order in which they were sent.
#pragma once

#include "buckthornrail/link/event_loop.hpp"

#include <cstdint>
#include <string>

namespace buckthornrail::link {

/// Identifies a link within this process; never reused. 0: no link.
using link_number = std::uint64_t;

/// Why a link ended. Logs have the names that nameOf() returns.
enum class link_end_cause : std::uint8_t {
    ClosedByPeer, ///< the peer closed or reset the connection, or never accepted it
    KeepAliveTimeout, ///< nothing was received for three keep-alive periods
    OpenTimeout, ///< dialled, and not open within hub_options::openTimeout
    SendBufferFull, ///< more than hub_options::maxBufferedBytes waited to be sent
    ProtocolError, ///< the peer sent an invalid chunk, or a message that is too long
    ClosedLocally, ///< close() or stop() was called
};

/// @brief Name of a cause in logs, such as "peer_ended".
const char* nameOf(link_end_cause cause);

/// Details of the end of a link, for logs.
struct link_end {
    link_end_cause cause = link_end_cause::ClosedByPeer;
    milliseconds silence { 0 }; ///< since data was last received from the peer
    std::size_t waitingBytes = 0; ///< passed to send() and not yet written to the connection
};

/// Callbacks; called on the loop thread.
struct hub_handlers {
    std::function<void(link_number, bool inbound)> opened;
    std::function<void(link_number)> closed; ///< once for every link that was opened or dialled
    std::function<void(link_number, std::string)> received;
    /// May be empty. A chunk of a longer message was received, or the peer has acknowledged one.
    std::function<void(link_number)> progressed = nullptr;
    /// May be empty. Called just before `closed`.
    std::function<void(link_number, const link_end&)> ending = nullptr;
};

struct hub_options {
    std::size_t maxMessageBytes = 32U << 20U; ///< of a received message; a link with a longer one is closed
    std::size_t maxBufferedBytes = 64U << 20U; ///< unsent; a link whose peer reads too slowly for it is closed
    milliseconds keepAlivePeriod { 2000 }; ///< between pings; a link without activity for three of them is closed
    /// Only a complete chunk counts as contact with the sender, so a chunk that takes longer than the shortest election
    /// timeout (0.3 s) starts an election. In that time a link of 14 KB/s transfers one of 4 KB. One of 16 KB takes
    /// 0.2 s at 80 KB/s: a member with such a link may lose its leader while ten other processes keep its machine busy.
    std::size_t maxChunkBytes = 4U << 10U;
    /// Unacknowledged chunks of long messages on a link. Bounds the data queued in the network ahead of a short message
    /// on another link of this process: 25 links with 128 KB each delay it by 150 ms at 170 Mbit/s. 128 KB per round
    /// trip allow 3 MB/s between regions with a round trip of 40 ms.
    std::size_t maxChunksInFlight = 32;
    /// A dialled link that isn't open by then is closed. Where machines are often replaced it should be well below a
    /// second, after which the operating system retransmits an unacknowledged SYN: a new dial then reaches a peer as
    /// soon as it is up.
    milliseconds openTimeout { 2000 };
};

/// @brief Accepts and dials links. Not thread-safe: to be used on the loop thread, or before the loop runs.
/// @ingroup link
class link_hub {
public:
    link_hub(event_loop& loop, hub_handlers handlers, hub_options options = {});
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;
    ~link_hub();

    /// @brief Accepts links at "IP:port"; port 0 selects a free one.
    /// @return the port; 0 when it can't listen at the address
    std::uint16_t listen(const std::string& address);
    /// @brief Starts to open a link to "host:port"; `opened` or `closed` is called later.
    link_number dial(const std::string& address);
    /// @brief Sends a message or queues it.
    /// @return false when the link isn't open or its send buffer is full; the message is not sent
    bool send(link_number link, const std::string& message);
    /// @brief Closes a link without a closing handshake; has no effect on an unknown one.
    void close(link_number link);
    /// @brief Stops listening and closes all links without calling `ending` or `closed`.
    void stop();
    /// @brief Bytes sent so far, with the framing of chunks, for metrics.
    [[nodiscard]] std::uint64_t bytesSent() const;
    /// @brief Bytes received so far, with the framing of chunks, for metrics.
    [[nodiscard]] std::uint64_t bytesReceived() const;
    /// @brief Bytes passed to send() that haven't been written to the connections yet, over all links.
    [[nodiscard]] std::size_t bytesWaiting() const;
    /// @brief Bytes passed to send() that haven't been written to this link's connection yet; 0 for an unknown link.
    [[nodiscard]] std::size_t bytesWaiting(link_number link) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace buckthornrail::link
