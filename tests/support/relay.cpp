/// @file
/// @brief Relay by asio.
#include "support/relay.hpp"

#include <array>
#include <asio.hpp>
#include <thread>

namespace test_support {
namespace {

using asio::ip::tcp;

/// Two sockets whose bytes go from one to the other.
struct bridge : std::enable_shared_from_this<bridge> {
    bridge(asio::io_context& io, std::atomic<bool>& silentFlag)
        : near(io)
        , far(io)
        , timer(io)
        , silent(silentFlag)
    {
    }

    void pump(tcp::socket& from, tcp::socket& to, std::array<char, 16384>& buffer)
    {
        from.async_read_some(
            asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](auto error, auto size) {
                if (error) {
                    self->close();
                    return;
                }
                self->pass(from, to, buffer, size);
            });
    }

    void pass(tcp::socket& from, tcp::socket& to, std::array<char, 16384>& buffer, std::size_t size)
    {
        if (silent) {
            timer.expires_after(std::chrono::milliseconds(20));
            timer.async_wait([self = shared_from_this(), &from, &to, &buffer, size](auto error) {
                if (!error || error == asio::error::operation_aborted)
                    self->pass(from, to, buffer, size);
            });
            return;
        }
        asio::async_write(
            to, asio::buffer(buffer, size), [self = shared_from_this(), &from, &to, &buffer](auto error, auto) {
                if (error)
                    self->close();
                else
                    self->pump(from, to, buffer);
            });
    }

    void close()
    {
        std::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    tcp::socket near;
    tcp::socket far;
    asio::steady_timer timer;
    std::atomic<bool>& silent;
    std::array<char, 16384> outward {};
    std::array<char, 16384> inward {};
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
        auto one = std::make_shared<bridge>(io, silent);
        acceptor.async_accept(one->near, [this, one](auto error) {
            if (error)
                return;
            one->far.async_connect(target, [one](auto failed) {
                if (failed) {
                    one->close();
                    return;
                }
                one->pump(one->near, one->far, one->outward);
                one->pump(one->far, one->near, one->inward);
            });
            accept();
        });
    }

    asio::io_context io;
    std::atomic<bool> silent { false };
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

void relay::setSilent(bool silent) { m_implementation->silent = silent; }

} // namespace test_support
