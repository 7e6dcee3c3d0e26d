/// @file
/// @brief Faulty responses of targets in a soak test.
#pragma once

#include "support/stand_in_fleet.hpp"

#include <array>
#include <random>

namespace test_support {

/// @return faults in which one way to break responses off, and how often they state no length, are drawn
inline target_faults drawResponseFaults(std::mt19937_64& random)
{
    constexpr std::array cuts { response_cut::Reset, response_cut::Close, response_cut::ProperEnd };
    target_faults faults { 0.1, 0.1, 0.1, 0.1, 3 };
    faults.cut = cuts[random() % cuts.size()];
    faults.unframedRate = static_cast<double>(random() % 3) / 2;
    faults.extraBytesRate = 0.2;
    return faults;
}

} // namespace test_support
