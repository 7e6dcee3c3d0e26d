/// @file
/// @brief Relay by asio.
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

constexpr std::chrono::milliseconds checkPeriod { 20 };
constexpr std::chrono::milliseconds slowness { 120 }; ///< of each piece in mode Slow

/// A bound on what all lanes of one direction carry together. Used on the relay's thread; the rate may be set from
/// others.
class shared_rate {
public:
    explicit shared_rate(std::atomic<std::uint64_t>& bytesPerSecond)
        : m_rate(bytesPerSecond)
    {
    }

    /// @brief Books a piece. @return when it may go on
    std::chrono::steady_clock::time_point book(std::size_t size)
    {
        const auto now = std::chrono::steady_clock::now();
        const std::uint64_t rate = m_rate.load();
        if (rate == 0)
            return now;
        m_free = std::max(m_free, now) + std::chrono::microseconds(size * 1'000'000 / rate);
        return m_free;
    }

    /// @brief As much as goes on in a hundredth of a second, so that bytes come evenly.
    [[nodiscard]] std::size_t pieceBytes(std::size_t longest) const
    {
        constexpr std::uint64_t piecesPerSecond = 100;
        const std::uint64_t rate = m_rate.load();
        return rate == 0 ? longest : std::clamp<std::size_t>(rate / piecesPerSecond, 1, longest);
    }

private:
    std::atomic<std::uint64_t>& m_rate;
    std::chrono::steady_clock::time_point m_free;
};

/// One direction of a bridge.
struct lane {
    lane(asio::io_context& io, tcp::socket& source, tcp::socket& sink, bool isOutward, shared_rate& bound)
        : from(source)
        , to(sink)
        , timer(io)
        , outward(isOutward)
        , rate(bound)
    {
    }
    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    bool outward;
    shared_rate& rate;
    std::array<char, 16384> buffer {};
};

/// Two sockets whose bytes go from one to the other.
struct bridge : std::enable_shared_from_this<bridge> {
    bridge(asio::io_context& io, std::atomic<relay_mode>& chosen, shared_rate& outwardRate, shared_rate& inwardRate)
        : near(io)
        , far(io)
        , mode(chosen)
        , outward(io, near, far, true, outwardRate)
        , inward(io, far, near, false, inwardRate)
    {
    }

    [[nodiscard]] bool isHeld(const lane& one) const
    {
        const auto now = mode.load();
        return now == relay_mode::Silent || (now == relay_mode::OutwardOnly && !one.outward)
            || (now == relay_mode::InwardOnly && one.outward);
    }

    void pump(lane& one)
    {
        one.from.async_read_some(asio::buffer(one.buffer, one.rate.pieceBytes(one.buffer.size())),
            [self = shared_from_this(), &one](auto error, auto size) {
                if (error)
                    self->close();
                else
                    self->hold(one, size);
            });
    }

    /// Lets a piece wait for its turn under the bound on the rate.
    void hold(lane& one, std::size_t size)
    {
        const bool slow = mode.load() == relay_mode::Slow;
        const auto turn = one.rate.book(size);
        if (turn <= std::chrono::steady_clock::now()) {
            pass(one, size, slow);
            return;
        }
        one.timer.expires_at(turn);
        one.timer.async_wait([self = shared_from_this(), &one, size, slow](auto error) {
            if (!error)
                self->pass(one, size, slow);
        });
    }

    void pass(lane& one, std::size_t size, bool slow)
    {
        if (slow || isHeld(one)) {
            one.timer.expires_after(slow ? slowness : checkPeriod);
            one.timer.async_wait([self = shared_from_this(), &one, size](auto error) {
                if (!error)
                    self->pass(one, size, false);
            });
            return;
        }
        asio::async_write(one.to, asio::buffer(one.buffer, size), [self = shared_from_this(), &one](auto error, auto) {
            if (error)
                self->close();
            else
                self->pump(one);
        });
    }

    void close()
    {
        std::error_code ignored;
        for (auto* socket : { &near, &far }) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        outward.timer.cancel();
        inward.timer.cancel();
    }

    tcp::socket near;
    tcp::socket far;
    std::atomic<relay_mode>& mode;
    lane outward;
    lane inward;
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
        auto one = std::make_shared<bridge>(io, mode, outwardRate, inwardRate);
        bridges.push_back(one);
        acceptor.async_accept(one->near, [this, one](auto error) {
            if (error)
                return;
            one->far.async_connect(target, [one](auto failed) {
                if (failed) {
                    one->close();
                    return;
                }
                one->pump(one->outward);
                one->pump(one->inward);
            });
            accept();
        });
    }

    asio::io_context io;
    std::atomic<relay_mode> mode { relay_mode::Pass };
    std::atomic<std::uint64_t> bytesPerSecond { 0 };
    shared_rate outwardRate { bytesPerSecond };
    shared_rate inwardRate { bytesPerSecond };
    std::vector<std::weak_ptr<bridge>> bridges;
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

void relay::resetAll()
{
    asio::post(m_implementation->io, [this] {
        for (const auto& one : std::exchange(m_implementation->bridges, {})) {
            if (const auto open = one.lock())
                open->close();
        }
    });
}

} // namespace test_support
