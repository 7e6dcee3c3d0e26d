/// @file
/// @brief A TCP relay that can go silent: bytes stop in both directions while the connections stay open.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace test_support {

class relay {
public:
    /// @brief Listens on a free loopback port and forwards to "IP:port".
    explicit relay(const std::string& target);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    [[nodiscard]] std::string address() const;
    void setSilent(bool silent);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
