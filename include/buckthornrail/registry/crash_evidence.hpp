/// @file
/// @brief Weighs whether crashes of targets speak against a part of prompts.
///
/// A sound part is present at some crashes by chance. How surprising that is follows from the share of sound requests
/// that have the part: a part that all prompts share is present at every crash, which tells nothing.
#pragma once

#include <cstddef>
#include <cstdint>

namespace buckthornrail::registry {

/// Minus the natural logarithm of a probability, in hundredths.
using surprise = std::int32_t;

/// @return how surprising it is that a part is among the requests that had just begun at a crashed target, if something
/// else caused the crash
/// @param share of sound requests that have the part, 0 to 1
/// @param requests that had begun there
[[nodiscard]] surprise surpriseOfPresence(double share, double requests);

/// Crashes since the first one at which a part was present.
struct crash_evidence {
    surprise presence = 0; ///< sum over the crashes at which a further request with the part was present
    std::uint32_t hits = 0; ///< number of these crashes
    std::uint32_t ends = 0; ///< crashes at which the part was present or not
    std::uint32_t trials = 0; ///< crashes during a trial of the part

    /// @brief A target crashed.
    void countEnd() { ++ends; }
    /// @brief The crash counted last tells nothing new: only requests counted before had the part there.
    void ignoreEnd();
    /// @brief A further request with the part was present at the crash counted last. @return the value as counted
    surprise countHit(surprise value);
    /// @brief One of the crashes is explained. @param value of the part's presence there; 0: it was no hit
    void forgive(surprise value);
    /// @brief The crash counted last ended a trial.
    void countTrial() { ++trials; }
    /// @return the evidence against the part: how surprising it is that as many of the crashes hit it by chance
    [[nodiscard]] surprise total() const;
    bool operator==(const crash_evidence&) const = default;
};

} // namespace buckthornrail::registry
