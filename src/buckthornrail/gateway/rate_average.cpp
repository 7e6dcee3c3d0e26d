/// @file
/// @brief Exponential averages and a sum over a sliding window.
#include "buckthornrail/gateway/rate_average.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

/// @return seconds since an earlier time; 0 if it is in the future
double elapsedSeconds(steady_time since, steady_time now)
{
    return std::max(0.0, std::chrono::duration<double>(now - since).count());
}

} // namespace

void rate_average::add(double amount, steady_time now)
{
    m_perSecond = perSecond(now) + amount / m_seconds;
    m_updatedAt = std::max(m_updatedAt, now);
}

double rate_average::perSecond(steady_time now) const
{
    return m_perSecond * std::exp(-elapsedSeconds(m_updatedAt, now) / m_seconds);
}

void ratio_average::update(double numerator, double denominator, steady_time now)
{
    const double weight = 1 - std::exp(-elapsedSeconds(m_updatedAt, now) / m_seconds);
    m_numerator += weight * (numerator - m_numerator);
    m_denominator += weight * (denominator - m_denominator);
    m_updatedAt = std::max(m_updatedAt, now);
}

void two_second_sum::add(double amount, steady_time now)
{
    const std::int64_t number = slotNumber(now);
    auto& current = m_slots.at(static_cast<std::size_t>(number) % slotCount);
    if (current.number != number)
        current = { number, 0 };
    current.amount += amount;
}

double two_second_sum::sum(steady_time now) const
{
    const std::int64_t oldest = slotNumber(now) - static_cast<std::int64_t>(slotCount);
    double sum = 0;
    for (const auto& part : m_slots) {
        if (part.number > oldest)
            sum += part.amount;
    }
    return sum;
}

} // namespace buckthornrail::gateway
