/// @file
/// @brief Return times of refused callers: limits, spacing by the spare rate, spread without one, and sums.
#include "buckthornrail/gateway/return_schedule.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numbers>
#include <random>
#include <rapidcheck/catch.h>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::gateway;

namespace {

const steady_time start = steady_time {} + std::chrono::hours(1);

steady_time afterMs(std::int64_t ms) { return start + milliseconds(ms); }

double secondsOf(steady_time::duration time) { return std::chrono::duration<double>(time).count(); }

/// A request of 100 tokens whose caller waits 20 s, at a gateway that has no others beside it.
return_request makeRequest(double spareRate, double tokensAhead = 0)
{
    return_request request;
    request.tokens = 100;
    request.spareTokensPerSecond = spareRate;
    request.tokensAhead = tokensAhead;
    request.callerDeadline = afterMs(20'000);
    return request;
}

constexpr auto none = steady_time::max();

/// Gateways in front of a service whose requests each hold tokens for a random time. Callers that are refused return
/// once. There is no queue, so that each return that finds no room counts.
struct service_simulation {
    static constexpr double capacityPerSecond = 2000; ///< requests that end while all capacity is in use
    static constexpr double residenceSeconds = 1.7; ///< mean
    static constexpr double tokens = 1000; ///< of each request
    static constexpr milliseconds step { 5 };
    /// Gateways know each other's promises of up to this time ago.
    static constexpr milliseconds exchangeInterval { 200 };
    static constexpr std::chrono::seconds callerWait { 20 };

    struct caller_return {
        steady_time at {};
        steady_time refusedAt {};
        bool foundRoom = false;
    };

    std::mt19937_64 random;
    std::vector<return_schedule> schedules;
    double ignoringShare = 0; ///< of the refused callers return after 20 ms instead of the time they were told
    std::vector<double> othersPromised;
    std::multimap<steady_time, caller_return> pending; ///< by time of return
    std::vector<caller_return> returns; ///< of the callers that keep to the time
    double running = 0; ///< requests
    double offeredRate = 0; ///< tokens per second, moving average over 1 s
    double releasedRate = 0;
    std::size_t withoutTime = 0;

    service_simulation(std::size_t gateways, std::uint64_t seed)
        : random(seed)
        , othersPromised(gateways)
    {
        for (std::size_t gateway = 0; gateway < gateways; ++gateway)
            schedules.emplace_back(return_schedule_options {}, seed * 1000 + gateway);
    }

    std::int64_t draw(double mean) { return mean > 0 ? std::poisson_distribution<std::int64_t>(mean)(random) : 0; }
    bool tryAdmit()
    {
        if (running + 1 > capacityPerSecond * residenceSeconds)
            return false;
        ++running;
        return true;
    }
    void refuse(steady_time now)
    {
        const auto gateway = std::uniform_int_distribution<std::size_t>(0, schedules.size() - 1)(random);
        return_request request;
        request.tokens = tokens;
        request.spareTokensPerSecond = releasedRate - offeredRate;
        request.tokensAhead = othersPromised[gateway] + schedules[gateway].promisedTokens("s", 0, now);
        request.gateways = schedules.size();
        request.callerDeadline = now + callerWait;
        const auto at = schedules[gateway].promise("s", request, now);
        const bool ignores = std::uniform_real_distribution<double>(0, 1)(random) < ignoringShare;
        if (at == none)
            ++withoutTime;
        else if (ignores)
            pending.emplace(now + milliseconds(20), caller_return {});
        else
            pending.emplace(at, caller_return { at, now, false });
    }
    void exchangePromises(steady_time now)
    {
        double sum = 0;
        for (const auto& schedule : schedules)
            sum += schedule.promisedTokens("s", 0, now);
        for (std::size_t gateway = 0; gateway < schedules.size(); ++gateway)
            othersPromised[gateway] = sum - schedules[gateway].promisedTokens("s", 0, now);
    }
    void admitReturning(steady_time now)
    {
        while (!pending.empty() && pending.begin()->first <= now) {
            auto returning = pending.begin()->second;
            pending.erase(pending.begin());
            returning.foundRoom = tryAdmit();
            if (returning.refusedAt != steady_time {})
                returns.push_back(returning);
            else if (!returning.foundRoom && std::uniform_int_distribution<int>(0, 9)(random) > 0)
                refuse(now); // callers that ignore their time give up in one of ten cases
        }
    }
    /// @param offered first requests by time, as a multiple of the capacity
    void run(steady_time from, steady_time until, const std::function<double(double)>& offered)
    {
        const double stepSeconds = secondsOf(step);
        for (auto now = from; now < until; now += step) {
            const auto ended = std::min(running, static_cast<double>(draw(running * stepSeconds / residenceSeconds)));
            running -= ended;
            const auto arrived = draw(offered(secondsOf(now - start)) * capacityPerSecond * stepSeconds);
            offeredRate += static_cast<double>(arrived) * tokens - offeredRate * stepSeconds;
            releasedRate += ended * tokens - releasedRate * stepSeconds;
            if ((now - start) % exchangeInterval == steady_time::duration::zero())
                exchangePromises(now);
            admitReturning(now);
            for (std::int64_t request = 0; request < arrived; ++request) {
                if (!tryAdmit())
                    refuse(now);
            }
        }
    }
    /// @return share of the returns that found no room
    [[nodiscard]] double refusedAgainShare() const
    {
        const auto again
            = std::count_if(returns.begin(), returns.end(), [](const auto& entry) { return !entry.foundRoom; });
        return static_cast<double>(again) / static_cast<double>(returns.size());
    }
    /// @return the most returns in any 50 ms, as a multiple of the mean from the first to the last return
    [[nodiscard]] double peakOfReturns() const
    {
        std::map<std::int64_t, double> byInterval;
        for (const auto& entry : returns)
            ++byInterval[(entry.at - start) / milliseconds(50)];
        double most = 0;
        for (const auto& [interval, count] : byInterval)
            most = std::max(most, count);
        const auto intervals = byInterval.rbegin()->first - byInterval.begin()->first + 1;
        return most * static_cast<double>(intervals) / static_cast<double>(returns.size());
    }
};

/// Twice the capacity from second 3 to 6, and half of it before and afterwards.
double burstOfTwice(double second) { return second >= 3 && second < 6 ? 2 : 0.5; }

} // namespace

// Guards against callers that return before capacity is expected, and against a gateway whose callers return together.
TEST_CASE("return schedule: with a spare rate, promises follow the expected time and are spaced", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    const auto request = makeRequest(1000, 2000); // 2 s ahead, slots of 0.1 s
    for (int slot = 0; slot < 10; ++slot) {
        const auto at = schedule.promise("s", request, start);
        CHECK(at >= afterMs(2000 + slot * 100));
        CHECK(at <= afterMs(2000 + slot * 100 + 101));
    }
    CHECK(schedule.promisedCount("s", 0, start) == 10);
    CHECK(schedule.promisedTokens("s", 0, start) == 1000);
    auto shared = makeRequest(1000, 0);
    shared.priority = 1;
    shared.gateways = 5; // slots of 0.5 s
    const auto first = schedule.promise("s", shared, start);
    CHECK(first >= afterMs(120));
    CHECK(first <= afterMs(621));
    const auto second = schedule.promise("s", shared, start);
    CHECK(second >= afterMs(620));
    CHECK(second <= afterMs(1121));
}

// Guards against returns before any capacity can have come free, and against times that callers don't honour.
TEST_CASE("return schedule: at least 120 ms, and at most a third of the caller's time", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    CHECK(schedule.promise("s", makeRequest(1e9), start) >= afterMs(120));
    CHECK(schedule.promise("s", makeRequest(1e9), start) <= afterMs(121));
    auto late = makeRequest(1000, 10'000); // 10 s ahead, of 20 s
    CHECK(schedule.promise("s", late, start) <= afterMs(6667));
    CHECK(schedule.promise("s", late, start) >= afterMs(6666));
    auto hurried = makeRequest(1e9);
    hurried.callerDeadline = afterMs(300);
    CHECK(schedule.promise("s", hurried, start) == afterMs(100));
    hurried.spareTokensPerSecond = 0;
    CHECK(schedule.promise("s", hurried, start) == afterMs(100));
}

// Guards against callers that are told to return although nothing can be served before they leave.
TEST_CASE("return schedule: no time if capacity is expected after the caller's deadline", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    CHECK(schedule.promise("s", makeRequest(100, 2000), start) == none);
    CHECK(schedule.promise("s", makeRequest(1e-9, 2000), start) == none);
    CHECK(schedule.promise("s", makeRequest(1000), afterMs(20'000)) == none);
    CHECK(schedule.promise("s", makeRequest(-1), afterMs(30'000)) == none);
    CHECK(schedule.promisedCount("s", 0, start) == 0);
    CHECK(schedule.promisedTokens("s", 0, start) == 0);
    CHECK(schedule.promise("s", makeRequest(100, 1999), start) < none);
    auto patient = makeRequest(1e-3, 1e-3);
    patient.callerDeadline = none;
    CHECK(schedule.promise("t", patient, start) < none);
}

// Guards against returns into a shortage of unknown length, all at the same time.
TEST_CASE("return schedule: without a spare rate, times are spread over the upper half", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    const double spare = GENERATE(0.0, -500.0, std::numeric_limits<double>::quiet_NaN());
    std::vector<double> seconds(400);
    for (auto& second : seconds)
        second = secondsOf(schedule.promise("s", makeRequest(spare, 1e6), start) - start);
    std::sort(seconds.begin(), seconds.end());
    const double limit = 20.0 / 3;
    CHECK(seconds.front() >= (0.12 + limit) / 2);
    CHECK(seconds.back() <= limit);
    // Intervals of 250 ms are filled evenly: the n-th time is within one of them from its place in an even spread.
    for (std::size_t caller = 0; caller < seconds.size(); ++caller) {
        const double even = 0.12 + (limit - 0.12) * (0.5 + 0.5 * static_cast<double>(caller) / 400);
        CHECK(std::abs(seconds[caller] - even) < 0.25);
    }
}

// Guards against slots taken at a low spare rate that delay callers once capacity is free again.
TEST_CASE("return schedule: the spacing follows the spare rate", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    (void)schedule.promise("s", makeRequest(20), start); // a slot of 5 s
    CHECK(schedule.promise("s", makeRequest(100'000), start) <= afterMs(123));
}

// Guards against promises that count for ever, and against callers that vanish from the sums the moment they are due.
TEST_CASE("return schedule: a promise is due for 500 ms after its time, and then dropped", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    const auto at = schedule.promise("s", makeRequest(1000, 1000), start);
    CHECK(schedule.promisedTokens("s", 0, at - milliseconds(1)) == 100);
    CHECK(schedule.dueTokens("s", 0, at - milliseconds(1)) == 0);
    CHECK(schedule.promisedTokens("s", 0, at + milliseconds(1)) == 0);
    CHECK(schedule.promisedCount("s", 0, at + milliseconds(1)) == 0);
    CHECK(schedule.dueTokens("s", 0, at + milliseconds(1)) == 100);
    CHECK(schedule.dueTokens("s", 0, at + milliseconds(499)) == 100);
    CHECK(schedule.dueTokens("s", 0, at + milliseconds(502)) == 0);
    CHECK(schedule.dueTokens("s", 1, at) == 0);
    CHECK(schedule.dueTokens("t", 0, at) == 0);
    CHECK(schedule.promisedTokens("s", 0, start + std::chrono::hours(9)) == 0); // a suspended machine
}

// Guards against a burst whose refused callers return as the next burst. Load: twice the capacity over 3 s.
TEST_CASE(
    "return schedule: after a burst of twice the capacity, callers return spread and find room", "[return_schedule]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    CAPTURE(seed);
    service_simulation simulation(28, seed);
    simulation.run(start, afterMs(20'000), burstOfTwice);
    REQUIRE(simulation.returns.size() > 3000);
    CHECK(simulation.refusedAgainShare() <= 1.0 / 50);
    CHECK(simulation.peakOfReturns() <= 2);
    CHECK(simulation.withoutTime == 0);
}

// Guards against callers that spoil the times of others, and against sums that they leave behind. One in ten returns
// after 20 ms, again and again, whatever it was told.
TEST_CASE("return schedule: callers that ignore their time don't take the others' room", "[return_schedule]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    service_simulation simulation(28, seed);
    simulation.ignoringShare = 0.1;
    simulation.run(start, afterMs(20'000), burstOfTwice);
    CHECK(simulation.refusedAgainShare() <= 1.0 / 50);
    CHECK(simulation.peakOfReturns() <= 2);
    for (const auto& schedule : simulation.schedules) {
        CHECK(schedule.promisedTokens("s", 0, afterMs(20'000)) == 0);
        CHECK(schedule.dueTokens("s", 0, afterMs(20'000)) == 0);
    }
}

// Guards against returns into the next high half of demand that oscillates by 0.55 over 13 s.
TEST_CASE("return schedule: under oscillating demand, callers return in its low half", "[return_schedule]")
{
    constexpr double period = 13;
    const double limit = secondsOf(service_simulation::callerWait) / 3;
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    service_simulation simulation(28, seed);
    simulation.run(start, afterMs(52'000),
        [](double second) { return 0.9 + 0.55 * std::sin(2 * std::numbers::pi * second / period); });
    double allowed = 0;
    double inLowHalf = 0;
    for (const auto& entry : simulation.returns) {
        const double refusedAt = std::fmod(secondsOf(entry.refusedAt - start), period);
        const double returnedAt = std::fmod(secondsOf(entry.at - start), period);
        if (refusedAt + limit < period / 2)
            continue;
        ++allowed;
        inLowHalf += returnedAt >= period / 2 ? 1 : 0;
    }
    REQUIRE(allowed > 1000);
    CHECK(simulation.refusedAgainShare() <= 1.0 / 50);
    CHECK(inLowHalf >= 0.9 * allowed);
}

// Guards against promises for more capacity than comes free, in any second.
TEST_CASE("return schedule: promises never exceed the spare rate over any second", "[return_schedule][property]")
{
    rc::prop("any rate, number of gateways, sizes and pauses", [] {
        return_schedule schedule({}, *rc::gen::arbitrary<std::uint64_t>());
        const double highestRate = *rc::gen::inRange(1, 100'000);
        const auto gateways = *rc::gen::inRange<std::size_t>(1, 40);
        const double largest = *rc::gen::inRange(1, 5000);
        auto now = start;
        std::vector<std::pair<steady_time, double>> promised;
        for (const int pauseMs : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
            now += milliseconds(pauseMs);
            auto request = makeRequest(highestRate * *rc::gen::inRange(1, 101) / 100);
            request.gateways = gateways;
            request.tokens = largest * *rc::gen::inRange(1, 101) / 100;
            request.tokensAhead = schedule.promisedTokens("s", 0, now);
            request.callerDeadline = now + std::chrono::hours(1);
            const auto at = schedule.promise("s", request, now);
            if (at != none && at < now + std::chrono::minutes(20)) // its limit, whatever the rate
                promised.emplace_back(at, request.tokens);
        }
        std::sort(promised.begin(), promised.end());
        // A window may cut one slot at each end.
        const double allowed = highestRate / static_cast<double>(gateways) + 2 * largest;
        double sum = 0;
        auto first = promised.begin();
        for (const auto& [at, tokens] : promised) {
            sum += tokens;
            for (; first->first + std::chrono::seconds(1) <= at; ++first)
                sum -= first->second;
            RC_ASSERT(sum <= allowed * 1.000001);
        }
    });
}

// Guards against tokens that are lost or counted twice, sums below 0, and times outside the limits, for any requests.
TEST_CASE("return schedule: sums agree with the promises given, in any interleaving", "[return_schedule][property]")
{
    rc::prop("any requests at any times", [] {
        return_schedule schedule({}, *rc::gen::arbitrary<std::uint64_t>());
        struct given {
            steady_time at {};
            std::uint32_t priority = 0;
            double tokens = 0;
        };
        std::vector<given> promised;
        auto now = start;
        for (const int pauseMs : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000))) {
            now += milliseconds(pauseMs);
            auto request = makeRequest(*rc::gen::inRange(-1000, 1000), *rc::gen::inRange(-1000, 100'000));
            request.priority = *rc::gen::inRange<std::uint32_t>(0, 3);
            request.tokens = *rc::gen::inRange(0, 1000);
            request.callerDeadline = now + milliseconds(*rc::gen::inRange(-100, 30'000));
            const auto at = schedule.promise("s", request, now);
            if (at != none) {
                RC_ASSERT(at > now);
                RC_ASSERT(at <= now + (request.callerDeadline - now) / 3 + std::chrono::microseconds(1));
                RC_ASSERT(at >= std::min(now + milliseconds(120), now + (request.callerDeadline - now) / 3)
                        - std::chrono::microseconds(1));
                promised.push_back(
                    { std::chrono::floor<milliseconds>(at) + milliseconds(1), request.priority, request.tokens });
            }
            const auto asked = now + milliseconds(*rc::gen::inRange(0, 3000)); // sums are read later than promised
            for (std::uint32_t priority = 0; priority < 3; ++priority) {
                double later = 0;
                double due = 0;
                std::size_t count = 0;
                for (const auto& entry : promised) {
                    if (entry.priority != priority || entry.at + milliseconds(500) <= asked)
                        continue;
                    (entry.at > asked ? later : due) += entry.tokens;
                    count += entry.at > asked ? 1 : 0;
                }
                RC_ASSERT(schedule.promisedTokens("s", priority, asked) == later);
                RC_ASSERT(schedule.dueTokens("s", priority, asked) == due);
                RC_ASSERT(schedule.promisedCount("s", priority, asked) == count);
            }
        }
    });
}

// Guards against sums that fractions, or estimates that are no amounts, make negative.
TEST_CASE("return schedule: sums are never negative", "[return_schedule]")
{
    return_schedule schedule({}, 1);
    auto now = start;
    for (int caller = 0; caller < 2000; ++caller) {
        now += milliseconds(7);
        auto request = makeRequest(caller % 3 == 0 ? -1 : 500);
        request.tokens = caller % 50 == 0 ? -1e6 : caller * 0.1;
        request.callerDeadline = now + milliseconds(caller);
        (void)schedule.promise("s", request, now);
        for (int ahead = 0; ahead < 1000; ahead += 100) {
            REQUIRE(schedule.promisedTokens("s", 0, now + milliseconds(ahead)) >= 0);
            REQUIRE(schedule.dueTokens("s", 0, now + milliseconds(ahead)) >= 0);
        }
    }
}
