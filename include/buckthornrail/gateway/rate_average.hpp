/// @file
/// @brief Averages of irregular events over time. Callers pass the time in; a time before the last one counts as that.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace buckthornrail::gateway {

/// @brief Exponential moving average of the rate at which an amount is added.
class rate_average {
public:
    explicit rate_average(double seconds)
        : m_seconds(seconds)
    {
    }

    void add(double amount, steady_time now);
    /// @return amount per second
    [[nodiscard]] double perSecond(steady_time now) const;

private:
    double m_seconds; ///< time constant
    double m_perSecond = 0; ///< at m_updatedAt
    steady_time m_updatedAt {};
};

/// @brief Ratio of two quantities, each averaged over time with the same time constant.
class ratio_average {
public:
    explicit ratio_average(double seconds)
        : m_seconds(seconds)
    {
    }

    /// @brief States the present values, which are taken to have applied since the last call.
    void update(double numerator, double denominator, steady_time now);
    /// @brief Leaves the time since the last call out of the averages.
    void skip(steady_time now) { m_updatedAt = now; }
    /// @param whenUnknown result while the average of the denominator is 0
    [[nodiscard]] double ratio(double whenUnknown) const
    {
        return m_denominator > 0 ? m_numerator / m_denominator : whenUnknown;
    }

private:
    double m_seconds; ///< time constant
    double m_numerator = 0;
    double m_denominator = 0;
    steady_time m_updatedAt {};
};

/// @brief Sum of what was added within the last two seconds, with a resolution of an eighth of that.
class two_second_sum {
public:
    void add(double amount, steady_time now);
    [[nodiscard]] double sum(steady_time now) const;

private:
    static constexpr std::size_t slotCount = 8;
    static constexpr milliseconds slotTime { 250 };

    [[nodiscard]] static std::int64_t slotNumber(steady_time now) { return now.time_since_epoch() / slotTime; }

    struct slot {
        std::int64_t number = -1; ///< time since the epoch in slots
        double amount = 0;
    };
    std::array<slot, slotCount> m_slots {};
};

} // namespace buckthornrail::gateway
