/// @file
/// @brief Named value of a log line.
#pragma once

#include <string>
#include <string_view>

namespace buckthornrail {

/// Written as "name=value".
struct log_field {
    std::string_view name;
    std::string value;
};

} // namespace buckthornrail
