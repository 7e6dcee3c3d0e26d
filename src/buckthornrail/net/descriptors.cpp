/// @file
/// @brief Limit of file descriptors, from the operating system.
#include "buckthornrail/net/descriptors.hpp"

#include <sys/resource.h>

namespace buckthornrail::net {
namespace {

constexpr std::size_t defaultLimit = 1024; ///< POSIX systems allow this many unless told otherwise

} // namespace

std::size_t descriptorLimit()
{
    rlimit limit {};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : defaultLimit;
}

} // namespace buckthornrail::net
