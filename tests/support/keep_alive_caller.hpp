/// @file
/// @brief A caller that reuses its connections (HTTP keep-alive).
#pragma once

#include "support/gateway_cluster.hpp"

namespace test_support {

/// @brief Holds one connection per gateway until it breaks. Not thread-safe.
class keep_alive_caller {
public:
    /// @param cluster must outlive the caller
    explicit keep_alive_caller(const gateway_cluster& cluster);
    keep_alive_caller(const keep_alive_caller&) = delete;
    keep_alive_caller& operator=(const keep_alive_caller&) = delete;
    ~keep_alive_caller();

    /// @brief Sends one request over the open connection to a gateway; opens one if there is none.
    /// @param timeout for each of connecting, reading and writing; also sent as the request's deadline
    /// @return status 0: no complete response
    caller_response call(const std::string& gateway, const std::string& method, const std::string& path,
        const std::string& requestId, std::chrono::milliseconds timeout);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
