/// @file
/// @brief Options of a soak test.
#pragma once

#include <chrono>
#include <cstdint>

namespace test_support {

struct soak_options {
    std::uint64_t seed = 1; ///< of the faults and the calls
    std::chrono::seconds duration { 15 };
    std::size_t gateways = 3;
    std::size_t enginesPerDomain = 4;
    bool withPushback = false; ///< targets name rate limits and request backoffs
    bool withCrashingPart = false; ///< a part of prompts crashes targets throughout
    bool withRanks = false; ///< callers of routes with different priorities exceed the engines' memory
    bool withReplacements = false; ///< registries are replaced for good
};

} // namespace test_support
