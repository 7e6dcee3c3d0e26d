/// @file
/// @brief Links between processes: binary messages over WebSockets. Plain C++17, see event_loop.hpp.
///
/// A long message travels in pieces, of which only a few may be under way. Each piece that comes, and each that the
/// other end has taken, is a sign of life: what is on its way never counts for silence, however long it takes. Messages
/// of one link arrive in the order in which they were sent.
#pragma once

#include "buckthornrail/link/event_loop.hpp"

#include <cstdint>
#include <string>

namespace buckthornrail::link {

/// Number of a link within this process; never used again. 0 is no link.
using channel_number = std::uint64_t;

/// Why a link ended.
enum class link_end_cause : std::uint8_t {
    PeerEnded, ///< the connection was closed or reset at the other end, or never accepted
    Silent, ///< nothing was heard of the other end for three keep-alive periods
    NotOpened, ///< dialled, and not open in time
    ReadTooSlowly, ///< more waited to be sent than a link may hold
    IllFormed, ///< the other end sent what is no piece of a message, or a message that is too long
    OwnWish, ///< close() or stop() was called
};

/// @brief Name of a cause, in lower case.
const char* nameOf(link_end_cause cause);

/// What is known of a link at its end, for logs.
struct link_end {
    link_end_cause cause = link_end_cause::PeerEnded;
    milliseconds silence { 0 }; ///< since the other end was heard last
    std::size_t waitingBytes = 0; ///< given to send(), and not taken by the connection
};

/// Called on the loop thread.
struct hub_handlers {
    std::function<void(channel_number, bool inbound)> opened;
    std::function<void(channel_number)> closed; ///< once for every channel that was opened or dialled
    std::function<void(channel_number, std::string)> received;
    /// May be empty. A piece of a longer message has come, or the other end has taken one.
    std::function<void(channel_number)> progressed = nullptr;
    std::function<void(channel_number, const link_end&)> ending = nullptr; ///< may be empty; just before `closed`
};

struct hub_options {
    std::size_t maxMessageBytes = 32U << 20U;
    std::size_t maxBufferedBytes = 64U << 20U; ///< a link whose other end reads too slowly is closed
    milliseconds keepAlivePeriod { 2000 }; ///< ping; a link silent for three of them is closed
    /// Longest piece. One that takes longer than the patience of who waits counts for silence: elections begin after
    /// 0.3 s at the least, in which a link of 14 KB a second carries one. With 16 KB a member at 80 KB a second lost
    /// its leader in 3 of 5 runs beside ten busy processes, with 4 KB in none of 5.
    std::size_t pieceBytes = 4U << 10U;
    /// Pieces of long messages that the other end hasn't taken yet. What may wait in the network before a short message
    /// on another link of this process: 25 links with 128 KB each are 150 ms at 170 Mbit/s. 128 KB a round trip is
    /// 3 MB a second between regions 40 ms apart.
    std::size_t piecesUnderWay = 32;
    /// A dialled link that isn't open by then is closed. Where machines come and go this is well below a second, after
    /// which the system sends an unanswered opening packet again: whoever dials anew reaches a peer as soon as it is
    /// up.
    milliseconds openTimeout { 2000 };
};

/// @brief Accepts and dials links. All functions are called on the loop thread, or before it runs.
/// @ingroup link
class link_hub {
public:
    link_hub(event_loop& loop, hub_handlers handlers, hub_options options = {});
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;
    ~link_hub();

    /// @brief Accepts links at "IP:port"; port 0 takes a free one.
    /// @return the port, or 0 when the address can't be used.
    std::uint16_t listen(const std::string& address);
    /// @brief Begins to open a link; `opened` or `closed` follows.
    channel_number dial(const std::string& address);
    /// @return false when the link isn't open; the message was not sent.
    bool send(channel_number channel, const std::string& message);
    void close(channel_number channel);
    /// @brief Accepts no more, and closes all links.
    void stop();
    /// @brief Bytes of messages sent and received so far, for metrics.
    [[nodiscard]] std::uint64_t bytesSent() const;
    [[nodiscard]] std::uint64_t bytesReceived() const;
    /// @brief Bytes given to send() that the connections haven't taken yet, over all links.
    [[nodiscard]] std::size_t bytesWaiting() const;
    /// @brief The same of one link.
    [[nodiscard]] std::size_t bytesWaiting(channel_number channel) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace buckthornrail::link
