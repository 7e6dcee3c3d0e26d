/// @file
/// @brief TCP connections on asio. Every source that includes asio is compiled as C++17, so that asio's types have the
/// same layout in all of them.
#include "buckthornrail/net/tcp.hpp"

#include "../link/loop_implementation.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace buckthornrail::net {
namespace {

using asio::ip::tcp;

constexpr std::size_t readBufferBytes = 16U << 10U; ///< one buffer per loop thread, shared by its connections
constexpr int keepAliveIntervalSeconds = 1; ///< idle time before, and interval between, TCP keep-alive probes
constexpr int listenBacklog = 1024; ///< a full queue drops the SYN, which the client retransmits after seconds
constexpr std::size_t maxAcceptsPerWakeUp = 16;
constexpr std::chrono::milliseconds peerCloseTimeout { 2000 }; ///< of a silent peer, from the end of sending
constexpr std::chrono::milliseconds acceptRetryInterval { 20 }; ///< while no file descriptor is free

std::optional<tcp::endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error)
        return std::nullopt;
    const unsigned long port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

void setIntOption(tcp::socket& socket, int level, int name, int value)
{
    // When the option can't be set, the connection works with the default of the operating system.
    (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

class asio_connection : public tcp_connection, public std::enable_shared_from_this<asio_connection> {
public:
    asio_connection(tcp::socket socket, const connection_options& options)
        : m_socket(std::move(socket))
        , m_closeTimer(m_socket.get_executor())
        , m_options(options)
    {
    }

    void connect(const std::string& address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->end(connection_end::Refused); });
            return;
        }
        std::error_code error;
        m_socket.open(endpoint->protocol(), error);
        if (!error)
            setSocketOptions();
        m_socket.async_connect(*endpoint, [self = shared_from_this()](const std::error_code& failed) {
            if (self->m_hasEnded)
                return;
            if (failed) {
                self->end(connection_end::Refused);
                return;
            }
            self->m_isOpen = true;
            const auto opened = self->m_handlers.opened;
            if (opened)
                opened();
            self->flush();
            self->awaitRead();
        });
    }

    void start()
    {
        m_isOpen = true;
        setSocketOptions();
        awaitRead();
    }

    void setHandlers(connection_handlers handlers) override { m_handlers = std::move(handlers); }

    void write(std::string_view bytes) override
    {
        if (m_hasEnded || m_isClosing)
            return;
        if (!m_isOpen || !m_pending.empty()) {
            m_pending.append(bytes);
            return;
        }
        std::error_code error;
        const std::size_t written = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block) {
            postFailure();
            return;
        }
        if (written < bytes.size()) {
            m_pending.assign(bytes.substr(written));
            awaitWrite();
        }
    }

    [[nodiscard]] std::size_t pendingBytes() const override { return m_pending.size(); }

    void setReading(bool enabled) override
    {
        const bool wasReading = std::exchange(m_isReading, enabled);
        if (enabled && !wasReading && m_isOpen && !m_hasEnded && !m_isAwaitingRead)
            awaitRead();
    }

    void resetUnlessClosedInOrder() override { setLinger(true); }

    void closeAfterWrite() override
    {
        if (m_hasEnded)
            return;
        m_isClosing = true;
        if (m_pending.empty())
            shutDownSend();
    }

    void abort(bool reset) override
    {
        if (std::exchange(m_hasEnded, true))
            return;
        if (reset)
            setLinger(true);
        std::error_code ignored;
        m_socket.close(ignored);
        m_closeTimer.cancel();
        release();
    }

private:
    /// @param enabled whether closing the socket discards what isn't sent, and resets the connection
    void setLinger(bool enabled)
    {
        std::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
    }

    void setSocketOptions()
    {
        std::error_code ignored;
        m_socket.non_blocking(true, ignored);
        m_socket.set_option(tcp::no_delay(true), ignored);
        setIntOption(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(m_options.peerTimeout.count()));
        setIntOption(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        setIntOption(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIntervalSeconds);
        setIntOption(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        setIntOption(m_socket, IPPROTO_TCP, TCP_KEEPCNT,
            std::max(1, static_cast<int>(m_options.peerTimeout / std::chrono::seconds(keepAliveIntervalSeconds))));
    }

    void awaitRead()
    {
        if (m_hasEnded || !m_isReading)
            return;
        m_isAwaitingRead = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const std::error_code& error) {
            self->m_isAwaitingRead = false;
            if (self->m_hasEnded || error || !self->m_isReading)
                return;
            self->readNow();
        });
    }

    void readNow()
    {
        static thread_local std::array<char, readBufferBytes> buffer;
        std::error_code error;
        const std::size_t count = m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            awaitRead();
            return;
        }
        if (error) {
            // A failed write has taken the connection's error: it was reset, though it reads like an orderly close.
            const bool isOrderly = error == asio::error::eof && !m_hasWriteFailed;
            end(isOrderly ? connection_end::Closed : connection_end::Reset);
            return;
        }
        if (m_isClosing) {
            if (m_awaitsPeerClose)
                awaitPeerClose(); // it still sends
            awaitRead(); // discard received data: closing with unread bytes would reset the connection
            return;
        }
        const auto self = shared_from_this();
        if (m_handlers.received)
            m_handlers.received(std::string_view(buffer.data(), count));
        awaitRead();
    }

    void awaitWrite()
    {
        m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const std::error_code& error) {
            if (!self->m_hasEnded && !error)
                self->flush();
        });
    }

    void flush()
    {
        if (m_pending.empty() || m_hasEnded)
            return;
        std::error_code error;
        const std::size_t written = m_socket.write_some(asio::buffer(m_pending), error);
        if (error && error != asio::error::would_block) {
            postFailure();
            return;
        }
        m_pending.erase(0, written);
        if (!m_pending.empty()) {
            awaitWrite();
            return;
        }
        std::string().swap(m_pending); // releases the memory of idle connections
        if (m_isClosing) {
            shutDownSend();
            return;
        }
        const auto self = shared_from_this();
        if (m_handlers.drained)
            m_handlers.drained();
    }

    /// Shuts down the sending side and reads until the peer has closed too. Closing with unread bytes would reset the
    /// connection, and the peer could lose the response.
    void shutDownSend()
    {
        setLinger(false);
        std::error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
        if (error) {
            abort(false);
            return;
        }
        release();
        setReading(true);
        awaitPeerClose();
    }

    /// Frees the descriptor when the peer keeps its side open and sends nothing more.
    void awaitPeerClose()
    {
        m_awaitsPeerClose = true;
        m_closeTimer.expires_at(boot_clock::now() + peerCloseTimeout);
        m_closeTimer.async_wait([self = shared_from_this()](const std::error_code& error) {
            if (!error)
                self->abort(false);
        });
    }

    /// Reports a write error from the event loop, because write() must not call `ended`. What the peer sent before it
    /// closed comes first: it may be a whole response to a request that it didn't read to its end.
    void postFailure()
    {
        m_hasWriteFailed = true;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->deliverReceived();
            self->end(connection_end::Reset);
        });
    }

    void deliverReceived()
    {
        std::array<char, readBufferBytes> buffer;
        std::error_code error;
        while (!m_hasEnded && m_isReading && !m_isClosing && m_handlers.received) {
            const std::size_t count = m_socket.read_some(asio::buffer(buffer), error);
            if (error)
                return;
            m_handlers.received(std::string_view(buffer.data(), count));
        }
    }

    void end(connection_end reason)
    {
        if (std::exchange(m_hasEnded, true))
            return;
        std::error_code ignored;
        m_socket.close(ignored);
        m_closeTimer.cancel();
        const auto ended = std::move(m_handlers.ended);
        release();
        if (ended)
            ended(reason);
    }

    /// Destroys the handlers to break the reference cycle with their owners. This is posted, since a handler may be
    /// running.
    void release()
    {
        asio::post(m_socket.get_executor(), [handlers = std::move(m_handlers)] {});
        m_handlers = {};
    }

    tcp::socket m_socket;
    link::boot_timer m_closeTimer;
    connection_options m_options;
    connection_handlers m_handlers;
    std::string m_pending;
    bool m_isOpen = false;
    bool m_hasEnded = false;
    bool m_isClosing = false;
    bool m_awaitsPeerClose = false; ///< all is sent, and the sending side is shut down
    bool m_isReading = true;
    bool m_isAwaitingRead = false;
    bool m_hasWriteFailed = false;
};

} // namespace

connection_pointer dial(
    link::event_loop& loop, const std::string& address, connection_handlers handlers, const connection_options& options)
{
    auto connection = std::make_shared<asio_connection>(tcp::socket(loop.implementation().io), options);
    connection->setHandlers(std::move(handlers));
    connection->connect(address);
    return connection;
}

struct tcp_listener::implementation : std::enable_shared_from_this<tcp_listener::implementation> {
    implementation(
        link::event_loop& loop, std::function<void(connection_pointer)> callback, const connection_options& limits)
        : acceptor(loop.implementation().io)
        , retryTimer(loop.implementation().io)
        , accepted(std::move(callback))
        , options(limits)
    {
    }

    void awaitAccept()
    {
        acceptor.async_wait(tcp::acceptor::wait_read, [self = shared_from_this()](const std::error_code& error) {
            if (error || self->stopped)
                return;
            if (self->acceptPending())
                self->awaitAccept();
            else
                self->awaitDescriptors();
        });
    }

    /// Connections are pending, but no descriptor is free: waiting for them again would return at once.
    void awaitDescriptors()
    {
        retryTimer.expires_at(boot_clock::now() + acceptRetryInterval);
        retryTimer.async_wait([self = shared_from_this()](const std::error_code& error) {
            if (!error && !self->stopped)
                self->awaitAccept();
        });
    }

    /// @return false when descriptors have run out
    bool acceptPending()
    {
        for (std::size_t count = 0; count < maxAcceptsPerWakeUp; ++count) {
            std::error_code error;
            tcp::socket socket(acceptor.get_executor());
            acceptor.accept(socket, error);
            if (error == asio::error::no_descriptors || error == std::errc::too_many_files_open_in_system)
                return false;
            if (error)
                return true; // no pending connection
            auto connection = std::make_shared<asio_connection>(std::move(socket), options);
            accepted(connection);
            connection->start();
        }
        return true;
    }

    tcp::acceptor acceptor;
    link::boot_timer retryTimer;
    std::function<void(connection_pointer)> accepted;
    connection_options options;
    bool stopped = false;
};

tcp_listener::tcp_listener(
    link::event_loop& loop, std::function<void(connection_pointer)> accepted, const connection_options& options)
    : m_implementation(std::make_shared<implementation>(loop, std::move(accepted), options))
{
}

tcp_listener::~tcp_listener() { stop(); }

std::uint16_t tcp_listener::listen(const std::string& address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return 0;
    auto& acceptor = m_implementation->acceptor;
    std::error_code error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (error)
        return 0;
    acceptor.listen(listenBacklog, error);
    acceptor.non_blocking(true, error);
    if (error)
        return 0;
    m_implementation->awaitAccept();
    return acceptor.local_endpoint(error).port();
}

void tcp_listener::stop()
{
    if (std::exchange(m_implementation->stopped, true))
        return;
    std::error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->retryTimer.cancel();
}

struct loop_timer::implementation {
    explicit implementation(link::event_loop& loop)
        : timer(loop.implementation().io)
    {
    }
    link::boot_timer timer;
    /// Incremented by set(), cancel() and the destructor, so that a handler that was already queued does nothing.
    std::shared_ptr<std::uint64_t> generation = std::make_shared<std::uint64_t>(0);
};

loop_timer::loop_timer(link::event_loop& loop)
    : m_implementation(std::make_unique<implementation>(loop))
{
}

loop_timer::~loop_timer() { ++*m_implementation->generation; }

void loop_timer::set(steady_time when, std::function<void()> task)
{
    auto& impl = *m_implementation;
    const std::uint64_t currentGeneration = ++*impl.generation;
    impl.timer.expires_at(when);
    impl.timer.async_wait(
        [task = std::move(task), generation = impl.generation, currentGeneration](const std::error_code& error) {
            if (!error && *generation == currentGeneration)
                task();
        });
}

void loop_timer::cancel()
{
    ++*m_implementation->generation;
    m_implementation->timer.cancel();
}

} // namespace buckthornrail::net
