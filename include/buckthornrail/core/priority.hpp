/// @file
/// @brief Priority classes of requests.
#pragma once

#include "buckthornrail/core/enum_names.hpp"

#include <cstdint>

namespace buckthornrail {

/// Requests of a higher class start first.
enum class request_priority : std::uint8_t { Low, Normal, High };

inline constexpr std::array priorityNames {
    enum_name<request_priority> { request_priority::Low, "low" },
    enum_name<request_priority> { request_priority::Normal, "normal" },
    enum_name<request_priority> { request_priority::High, "high" },
};

} // namespace buckthornrail
