/// @file
/// @brief A TCP relay that can harm what it carries while the connections stay open.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace test_support {

/// What becomes of bytes. "Outward" is from who dials to who is dialled.
enum class relay_mode { Pass, Silent, UpstreamOnly, DownstreamOnly, Slow };

class relay {
public:
    /// @brief Listens on a free loopback port and forwards to "IP:port".
    explicit relay(const std::string& target);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    [[nodiscard]] std::string address() const;
    void setMode(relay_mode mode);
    void setSilent(bool silent) { setMode(silent ? relay_mode::Silent : relay_mode::Pass); }
    /// @brief What all connections together carry in each direction, in bytes a second; 0: no bound.
    void setRate(std::uint64_t bytesPerSecond);
    /// @brief Breaks every connection that it carries.
    void resetConnections();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
