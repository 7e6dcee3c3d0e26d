/// @file
/// @brief Names of instances, requests and attempts.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace buckthornrail {

/// Name of a process of the system, from its settings; unique.
using instance_id = std::string;

/// Random number that a process draws when it starts; tells its lives apart.
using incarnation_number = std::uint64_t;

/// Version of the configuration; each accepted change adds one. 0: none.
using configuration_version = std::uint64_t;

/// One try to run a request at one target.
struct attempt_id {
    std::string request;
    std::uint32_t number = 0;
    auto operator<=>(const attempt_id&) const = default;
};

/// @brief "request/number", for logs.
inline std::string toString(const attempt_id& attempt)
{
    return attempt.request + "/" + std::to_string(attempt.number);
}

} // namespace buckthornrail
