/// @file
/// @brief A TCP relay that injects faults into open connections.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace test_support {

/// How bytes are forwarded. Upstream is from the side that dialled the relay to the relay's target. Bytes that a mode
/// holds back are forwarded once a later mode allows it.
enum class relay_mode {
    Pass,
    Silent, ///< neither direction
    UpstreamOnly,
    DownstreamOnly,
    Slow, ///< both directions, each chunk with a delay
};

class relay {
public:
    /// @brief Listens on a free loopback port. @param target "IP:port" to forward to
    explicit relay(const std::string& target);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    /// @return "IP:port" on which the relay listens
    [[nodiscard]] std::string address() const;
    void setMode(relay_mode mode);
    void setSilent(bool silent) { setMode(silent ? relay_mode::Silent : relay_mode::Pass); }
    /// @brief Limits the throughput of all connections together, in each direction.
    /// @param bytesPerSecond 0: no limit
    void setRate(std::uint64_t bytesPerSecond);
    /// @brief Resets every open connection.
    void resetConnections();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
