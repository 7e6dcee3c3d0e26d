/// @file
/// @brief Identifiers of instances, configuration versions and attempts.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace buckthornrail {

/// Unique name of a process of the system, from its settings.
using instance_id = std::string;

/// Random number drawn at the start of a process; distinguishes it from earlier processes of the same instance.
using incarnation_number = std::uint64_t;

/// Version of the configuration, incremented by each accepted change. 0: none.
using configuration_version = std::uint64_t;

/// Identifies one attempt to run a request at one target.
struct attempt_id {
    std::string request;
    std::uint32_t number = 0;
    auto operator<=>(const attempt_id&) const = default;
};

/// @brief Formats an attempt for logs. @return "request/number"
inline std::string toString(const attempt_id& attempt)
{
    return attempt.request + "/" + std::to_string(attempt.number);
}

} // namespace buckthornrail
