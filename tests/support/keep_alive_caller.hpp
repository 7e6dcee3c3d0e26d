/// @file
/// @brief A caller that uses its connections again, each until it is gone.
#pragma once

#include "support/gateway_world.hpp"

namespace test_support {

/// @brief Used by one thread.
class keep_alive_caller {
public:
    explicit keep_alive_caller(const gateway_world& world);
    keep_alive_caller(const keep_alive_caller&) = delete;
    keep_alive_caller& operator=(const keep_alive_caller&) = delete;
    ~keep_alive_caller();

    /// @brief One request over the connection that is open to a gateway, or a new one.
    caller_response call(const std::string& gateway, const std::string& method, const std::string& path,
        const std::string& requestId, std::chrono::milliseconds timeout);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
