/// @file
/// @brief A named value of a log line.
#pragma once

#include <string>
#include <string_view>

namespace buckthornrail {

/// One "name=value" of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

} // namespace buckthornrail
