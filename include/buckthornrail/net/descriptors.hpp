/// @file
/// @brief File descriptors of this process.
#pragma once

#include <cstddef>

namespace buckthornrail::net {

/// @return how many file descriptors this process may have open; its limit may change at run time
[[nodiscard]] std::size_t descriptorLimit();

} // namespace buckthornrail::net
