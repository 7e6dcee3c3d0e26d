/// @file
/// @brief Named value of a log line.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <string>
#include <string_view>

namespace buckthornrail {

/// Written as "name=value".
struct log_field {
    std::string_view name;
    std::string value;
};

/// @return the value of a field that holds a time in ms
inline std::string inMs(milliseconds time) { return std::to_string(time.count()); }

} // namespace buckthornrail
