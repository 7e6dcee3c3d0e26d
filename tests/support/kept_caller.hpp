/// @file
/// @brief A caller that uses its connections again, each until it is gone.
#pragma once

#include "support/gateway_world.hpp"

namespace test_support {

/// @brief Used by one thread.
class kept_caller {
public:
    explicit kept_caller(const gateway_world& world);
    kept_caller(const kept_caller&) = delete;
    kept_caller& operator=(const kept_caller&) = delete;
    ~kept_caller();

    /// @brief One request over the connection that is open to a gateway, or a new one.
    caller_answer call(const std::string& gateway, const std::string& method, const std::string& path,
        const std::string& requestId, std::chrono::milliseconds patience);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
