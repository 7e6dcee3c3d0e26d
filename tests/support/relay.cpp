/// @file
/// @brief TCP relay with asio.
#include "support/relay.hpp"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace test_support {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds modeCheckInterval { 20 }; ///< while the mode holds a chunk back
constexpr std::chrono::milliseconds slowModeDelay { 120 }; ///< of each chunk

/// Limits the throughput of all connections in one direction. Used on the relay's thread; other threads may set the
/// rate.
class shared_rate_limit {
public:
    explicit shared_rate_limit(std::atomic<std::uint64_t>& bytesPerSecond)
        : m_rate(bytesPerSecond)
    {
    }

    /// @brief Reserves bandwidth for a chunk. @param size in bytes @return when the chunk may be forwarded
    std::chrono::steady_clock::time_point reserve(std::size_t size)
    {
        const auto now = std::chrono::steady_clock::now();
        const std::uint64_t rate = m_rate.load();
        if (rate == 0)
            return now;
        m_nextFreeAt = std::max(m_nextFreeAt, now) + std::chrono::microseconds(size * 1'000'000 / rate);
        return m_nextFreeAt;
    }

    /// @brief The bytes that the rate allows in 10 ms, so that they are forwarded evenly.
    [[nodiscard]] std::size_t maxChunkBytes(std::size_t bufferSize) const
    {
        constexpr std::uint64_t chunksPerSecond = 100;
        const std::uint64_t rate = m_rate.load();
        return rate == 0 ? bufferSize : std::clamp<std::size_t>(rate / chunksPerSecond, 1, bufferSize);
    }

private:
    std::atomic<std::uint64_t>& m_rate;
    std::chrono::steady_clock::time_point m_nextFreeAt;
};

/// One direction of a relayed connection.
struct stream_direction {
    stream_direction(asio::io_context& io, tcp::socket& source, tcp::socket& sink, bool isUpstreamDirection,
        shared_rate_limit& rateLimit)
        : from(source)
        , to(sink)
        , timer(io)
        , isUpstream(isUpstreamDirection)
        , rate(rateLimit)
    {
    }
    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    bool isUpstream;
    shared_rate_limit& rate;
    std::array<char, 16384> buffer {};
};

/// A relayed connection: the client's socket and the one to the relay's target.
struct connection_pair : std::enable_shared_from_this<connection_pair> {
    connection_pair(asio::io_context& io, std::atomic<relay_mode>& relayMode, shared_rate_limit& upstreamRate,
        shared_rate_limit& downstreamRate)
        : client(io)
        , server(io)
        , mode(relayMode)
        , upstream(io, client, server, true, upstreamRate)
        , downstream(io, server, client, false, downstreamRate)
    {
    }

    [[nodiscard]] bool isBlocked(const stream_direction& direction) const
    {
        const auto currentMode = mode.load();
        return currentMode == relay_mode::Silent || (currentMode == relay_mode::UpstreamOnly && !direction.isUpstream)
            || (currentMode == relay_mode::DownstreamOnly && direction.isUpstream);
    }

    void readNext(stream_direction& direction)
    {
        direction.from.async_read_some(
            asio::buffer(direction.buffer, direction.rate.maxChunkBytes(direction.buffer.size())),
            [self = shared_from_this(), &direction](auto error, auto size) {
                if (error)
                    self->close();
                else
                    self->waitForRate(direction, size);
            });
    }

    /// Forwards a chunk once the rate limit allows it.
    void waitForRate(stream_direction& direction, std::size_t size)
    {
        const bool isSlow = mode.load() == relay_mode::Slow;
        const auto sendAt = direction.rate.reserve(size);
        if (sendAt <= std::chrono::steady_clock::now()) {
            forward(direction, size, isSlow);
            return;
        }
        direction.timer.expires_at(sendAt);
        direction.timer.async_wait([self = shared_from_this(), &direction, size, isSlow](auto error) {
            if (!error)
                self->forward(direction, size, isSlow);
        });
    }

    /// Forwards a chunk, in mode Slow after a delay, once the mode lets this direction pass.
    void forward(stream_direction& direction, std::size_t size, bool isSlow)
    {
        if (isSlow || isBlocked(direction)) {
            direction.timer.expires_after(isSlow ? slowModeDelay : modeCheckInterval);
            direction.timer.async_wait([self = shared_from_this(), &direction, size](auto error) {
                if (!error)
                    self->forward(direction, size, false);
            });
            return;
        }
        asio::async_write(direction.to, asio::buffer(direction.buffer, size),
            [self = shared_from_this(), &direction](auto error, auto) {
                if (error)
                    self->close();
                else
                    self->readNext(direction);
            });
    }

    void close()
    {
        std::error_code ignored;
        for (auto* socket : { &client, &server }) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        upstream.timer.cancel();
        downstream.timer.cancel();
    }

    tcp::socket client;
    tcp::socket server;
    std::atomic<relay_mode>& mode;
    stream_direction upstream;
    stream_direction downstream;
};

} // namespace

struct relay::implementation {
    explicit implementation(const std::string& address)
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        const auto colon = address.find(':');
        target = tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        accept();
        thread = std::thread([this] { io.run(); });
    }

    ~implementation()
    {
        io.stop();
        thread.join();
    }

    void accept()
    {
        auto connection = std::make_shared<connection_pair>(io, mode, upstreamRate, downstreamRate);
        connections.push_back(connection);
        acceptor.async_accept(connection->client, [this, connection](auto error) {
            if (error)
                return;
            connection->server.async_connect(target, [connection](auto failed) {
                if (failed) {
                    connection->close();
                    return;
                }
                connection->readNext(connection->upstream);
                connection->readNext(connection->downstream);
            });
            accept();
        });
    }

    asio::io_context io;
    std::atomic<relay_mode> mode { relay_mode::Pass };
    std::atomic<std::uint64_t> bytesPerSecond { 0 };
    shared_rate_limit upstreamRate { bytesPerSecond };
    shared_rate_limit downstreamRate { bytesPerSecond };
    std::vector<std::weak_ptr<connection_pair>> connections;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::thread thread;
};

relay::relay(const std::string& target)
    : m_implementation(std::make_unique<implementation>(target))
{
}

relay::~relay() = default;

std::string relay::address() const
{
    return "127.0.0.1:" + std::to_string(m_implementation->acceptor.local_endpoint().port());
}

void relay::setMode(relay_mode mode) { m_implementation->mode = mode; }

void relay::setRate(std::uint64_t bytesPerSecond) { m_implementation->bytesPerSecond = bytesPerSecond; }

void relay::resetConnections()
{
    asio::post(m_implementation->io, [this] {
        for (const auto& connection : std::exchange(m_implementation->connections, {})) {
            if (const auto open = connection.lock())
                open->close();
        }
    });
}

} // namespace test_support
