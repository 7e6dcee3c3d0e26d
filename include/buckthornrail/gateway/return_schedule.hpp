/// @file
/// @brief Times at which callers that were refused for lack of capacity are to return. Does no I/O; callers pass the
/// time in.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace buckthornrail::gateway {

struct return_request {
    std::uint32_t priority = 0; ///< 0 is the highest
    double tokens = 0; ///< prompt tokens plus expected output tokens
    double spareTokensPerSecond = 0; ///< of all gateways, for this priority; 0 or less while there is a shortage
    double tokensAhead = 0; ///< waiting and promised at this and higher priorities, all gateways
    std::size_t gateways = 1; ///< that share the spare rate
    steady_time callerDeadline {}; ///< the caller waits no longer
    milliseconds latencyTarget { 0 }; ///< of the first event; no effect: the minimum delay suits targets from 500 ms
};

struct return_schedule_options {
    /// Capacity comes free within milliseconds, and a caller with a latency target of 500 ms can still be on time.
    milliseconds minDelay { 120 };
    /// Of the time that the caller has left; callers ignore a longer `Retry-After`.
    double maxShareOfTimeLeft = 1.0 / 3;
    /// After its time, a promise counts as due for this long: the caller's way back and its clock may delay it.
    milliseconds dueFor { 500 };
};

/// @brief Promises return times and sums the tokens of the promises by service and priority. Promises are not matched
/// to the callers that return, as these usually reach another gateway.
/// @ingroup gateway
class return_schedule {
public:
    /// @param seed of the random offsets; different at each gateway
    return_schedule(const return_schedule_options& options, std::uint64_t seed);

    /// @brief Promises the time at which capacity is expected for a refused request, spread so that callers don't
    /// return together. Times beyond the caller's limit are reduced to it.
    /// @return when the caller is to return; steady_time::max() if no capacity is expected before its deadline: no time
    /// is sent then, and nothing is promised
    steady_time promise(std::string_view service, const return_request& request, steady_time now);

    /// @return tokens of the promises whose time is after `now`
    [[nodiscard]] double promisedTokens(std::string_view service, std::uint32_t priority, steady_time now) const;
    /// @return tokens of the promises whose time came within return_schedule_options::dueFor
    [[nodiscard]] double dueTokens(std::string_view service, std::uint32_t priority, steady_time now) const;
    /// @return number of the promises whose time is after `now`
    [[nodiscard]] std::size_t promisedCount(std::string_view service, std::uint32_t priority, steady_time now) const;

private:
    struct promise_sum {
        double tokens = 0;
        std::size_t count = 0;
    };
    /// Promises of one priority of a service.
    struct rank_promises {
        std::map<steady_time, promise_sum> byTime; ///< by the end of the millisecond that contains the time
        std::map<steady_time, double> tokensByInterval; ///< by start of the interval
        steady_time countedAt {}; ///< time of the last promise(), to which the two sums apply
        promise_sum upcoming; ///< of byTime, after countedAt
        promise_sum due; ///< of byTime, up to countedAt
        steady_time lastSlotAt {}; ///< start of the last promise's slot
        double lastSlotTokens = 0;
    };
    /// Range of possible return times.
    struct return_range {
        steady_time earliest {};
        steady_time latest {};
    };

    static void subtract(promise_sum& sum, const promise_sum& part);
    [[nodiscard]] const rank_promises* find(std::string_view service, std::uint32_t priority) const;
    /// @return sum of the promises whose time is after `now`; visits only those since the last promise()
    [[nodiscard]] promise_sum promisedAfter(std::string_view service, std::uint32_t priority, steady_time now) const;
    /// @brief Finds or creates the promises of a priority, and drops those that are no longer due.
    rank_promises& rankOf(std::string_view service, std::uint32_t priority, steady_time now);
    [[nodiscard]] return_range rangeOf(const return_request& request, steady_time now) const;
    /// @brief Takes the next slot at this gateway's part of the spare rate, unless it starts after the range.
    /// @param expectedAt earliest start of the slot
    /// @return random time within the slot and the range
    steady_time promiseSlot(
        rank_promises& rank, const return_request& request, const return_range& range, steady_time expectedAt);
    /// @return random time in the upper half of the range, where this gateway has promised few tokens
    steady_time promiseWithoutSpareRate(const rank_promises& rank, const return_range& range);
    void record(rank_promises& rank, steady_time time, double tokens) const;
    /// @return start of the interval of rank_promises::tokensByInterval that contains the time
    [[nodiscard]] steady_time intervalOf(steady_time time) const;
    /// @brief Brings the sums up to date and drops promises that are no longer due.
    void advance(rank_promises& rank, steady_time now) const;
    /// @brief Drops priorities and services without promises that are still due.
    void dropPastRanks(steady_time now);

    return_schedule_options m_options;
    std::mt19937_64 m_random;
    /// Random start of the intervals of rank_promises::tokensByInterval: with equal ones, all gateways would fill the
    /// start of an interval at the same time.
    steady_time::duration m_intervalPhase;
    std::map<std::string, std::map<std::uint32_t, rank_promises>, std::less<>> m_services;
};

} // namespace buckthornrail::gateway
